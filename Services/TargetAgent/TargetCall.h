#pragma once

#include "LibCoordination/RequestPolicy.h"
#include "LibTransport/StreamSocket.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace Papaya {

/// One attempt to run a request at the target. Each attempt uses its own connection, which shows exactly whether any byte of the
/// request was sent.
class TargetCall
{
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// `request` is the serialized request. `isHead` means that the response has no body.
    TargetCall(RequestId id, FileDescriptor stream, std::string request, bool isHead);

    /// Sends and receives as much as possible without blocking. Returns how the attempt ended, or nothing while it runs.
    [[nodiscard]] std::optional<AttemptOutcome> pump();

    [[nodiscard]] RequestId requestId() const { return m_id; }
    [[nodiscard]] int descriptor() const { return m_stream.get(); }

    /// Returns the response. Call after pump() has returned Answered or Refused.
    [[nodiscard]] Response takeResponse() { return std::move(m_response); }

    /// Resets the connection, which signals to the target that the response is no longer needed.
    void cancel();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// Returns false when the connection is broken.
    [[nodiscard]] bool writeRequest();
    [[nodiscard]] std::optional<AttemptOutcome> readResponse();
    [[nodiscard]] std::optional<AttemptOutcome> parseReceived();
    [[nodiscard]] AttemptOutcome completeResponse();
    /// Returns how the attempt ends when its connection breaks: NothingSent if no byte of the request was sent, otherwise Broken.
    [[nodiscard]] AttemptOutcome connectionFailure() const;
    void resetParser();

    RequestId m_id;
    FileDescriptor m_stream;
    std::string m_request;
    std::size_t m_sentBytes = 0;
    bool m_isHead;
    bool m_isConnected = false;
    std::string m_receiveBuffer;
    std::optional<Parser> m_parser;
    Response m_response;
};

} // namespace Papaya
