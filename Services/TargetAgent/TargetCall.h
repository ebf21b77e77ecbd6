#pragma once

#include "LibCoordination/RequestPolicy.h"
#include "LibTransport/StreamSocket.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace Papaya {

/// One attempt to run a request at the target, on a connection of its own: what was sent is then known exactly.
class TargetCall
{
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// `request` is the serialized request. `isHead` says that the answer has no body.
    TargetCall(RequestId id, FileDescriptor stream, std::string request, bool isHead);

    /// Moves what can be moved. Returns how the attempt ended, once it did.
    [[nodiscard]] std::optional<AttemptOutcome> pump();

    [[nodiscard]] RequestId requestId() const { return m_id; }
    [[nodiscard]] int descriptor() const { return m_stream.get(); }

    /// Returns the answer after pump() returned Answered or Refused.
    [[nodiscard]] Response takeResponse() { return std::move(m_response); }

    /// Breaks the connection, which tells the target that nobody waits any more.
    void cancel();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    [[nodiscard]] bool writeRequest();
    [[nodiscard]] std::optional<AttemptOutcome> readResponse();
    [[nodiscard]] std::optional<AttemptOutcome> parseInbox();
    [[nodiscard]] AttemptOutcome concludeResponse();
    [[nodiscard]] AttemptOutcome brokenEnd() const;
    void resetParser();

    RequestId m_id;
    FileDescriptor m_stream;
    std::string m_request;
    std::size_t m_sent = 0;
    bool m_isHead;
    bool m_isConnected = false;
    std::string m_inbox;
    std::optional<Parser> m_parser;
    Response m_response;
};

} // namespace Papaya
