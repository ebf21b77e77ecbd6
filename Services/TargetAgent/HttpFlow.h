#pragma once

#include "LibCoordination/RequestPolicy.h"
#include "LibTransport/LwipConnection.h"

#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Papaya {

/// A caller's connection to an HTTP service. Requests on one connection are answered one at a time, in the order of arrival.
class HttpFlow
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// Result of reading from the caller.
    enum class ReadResult {
        /// No complete request has arrived, or none may be read: one is still open, or the connection is to be closed.
        NeedsMore,
        /// takeRequest() returns a complete request.
        RequestReady,
        /// The caller sent invalid HTTP, or a header or body that is too large. See failureStatus().
        Malformed,
        /// The caller closed or reset the connection, and no request is open.
        Ended,
    };

    explicit HttpFlow(std::unique_ptr<LwipConnection> connection);

    /// Reads until one request is complete. Call under LwipLock.
    [[nodiscard]] ReadResult readRequest();
    [[nodiscard]] Request takeRequest() { return std::move(m_request); }
    /// Returns the HTTP status with which a malformed request is answered.
    [[nodiscard]] unsigned failureStatus() const { return m_failureStatus; }

    /// Queues the response to the open request, which ends it. If `closesAfterwards`, the connection is closed once the response
    /// was sent.
    void queueResponse(Response response, bool closesAfterwards);

    /// Sends queued bytes. Call under LwipLock. Returns whether the flow has ended: either the connection broke, or everything was
    /// sent and the connection has been closed.
    [[nodiscard]] bool pump();

    [[nodiscard]] bool hasOpenRequest() const { return m_openRequest != 0; }
    [[nodiscard]] RequestId openRequest() const { return m_openRequest; }
    void setOpenRequest(RequestId id) { m_openRequest = id; }
    [[nodiscard]] bool isSending() const { return !m_sendBuffer.empty(); }
    [[nodiscard]] LwipConnection &connection() { return *m_connection; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    [[nodiscard]] ReadResult parseReceived();
    void sendContinue();

    std::unique_ptr<LwipConnection> m_connection;
    std::optional<Parser> m_parser;
    std::string m_receiveBuffer;
    std::string m_sendBuffer;
    Request m_request;
    RequestId m_openRequest = 0;
    unsigned m_failureStatus = 0;
    bool m_hasSentContinue = false;
    bool m_closesAfterSending = false;
};

} // namespace Papaya
