#pragma once

#include "LibCoordination/RequestPolicy.h"
#include "LibTransport/LwipConnection.h"

#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Papaya {

/// A caller's connection of an HTTP service. Requests on one connection are answered one after another, in their order.
class HttpFlow
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// What reading from the caller came to.
    enum class ReadResult {
        NeedsMore,
        RequestReady,
        /// The caller sent something that is not HTTP, or too large: see failureStatus().
        Malformed,
        /// The caller closed or broke the connection and no request is open.
        Ended,
    };

    explicit HttpFlow(std::unique_ptr<LwipConnection> connection);

    /// Reads until one request is whole, under LwipLock.
    [[nodiscard]] ReadResult readRequest();
    [[nodiscard]] Request takeRequest() { return std::move(m_request); }
    /// Returns the status that answers a malformed request.
    [[nodiscard]] unsigned failureStatus() const { return m_failureStatus; }

    /// Queues a response, which ends the open request. The connection closes after it when `closes`.
    void answer(Response response, bool closes);

    /// Sends what is queued, under LwipLock. Returns whether the flow is over: all was sent and it is to be closed, or it broke.
    [[nodiscard]] bool pump();

    [[nodiscard]] bool hasOpenRequest() const { return m_openRequest != 0; }
    [[nodiscard]] RequestId openRequest() const { return m_openRequest; }
    void setOpenRequest(RequestId id) { m_openRequest = id; }
    [[nodiscard]] bool isSending() const { return !m_outbox.empty(); }
    [[nodiscard]] LwipConnection &connection() { return *m_connection; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    [[nodiscard]] ReadResult parseInbox();
    void answerExpectation();

    std::unique_ptr<LwipConnection> m_connection;
    std::optional<Parser> m_parser;
    std::string m_inbox;
    std::string m_outbox;
    Request m_request;
    RequestId m_openRequest = 0;
    unsigned m_failureStatus = 0;
    bool m_hasAnsweredExpectation = false;
    bool m_closesWhenSent = false;
};

} // namespace Papaya
