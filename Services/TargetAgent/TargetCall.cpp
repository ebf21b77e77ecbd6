#include "TargetCall.h"

#include "HttpOutcome.h"

#include <array>

namespace Papaya {

namespace {

namespace Http = boost::beast::http;

constexpr std::size_t ReadBufferSize = 32UL * 1024;
constexpr std::uint32_t HeaderSizeLimit = 64 * 1024;

} // namespace

TargetCall::TargetCall(RequestId id, FileDescriptor stream, std::string request, bool isHead)
    : m_id(id)
    , m_stream(std::move(stream))
    , m_request(std::move(request))
    , m_isHead(isHead)
{
    resetParser();
}

std::optional<AttemptOutcome> TargetCall::pump()
{
    if (!m_isConnected) {
        const auto progress = connectProgress(m_stream);
        if (progress == ConnectProgress::Failed)
            return AttemptOutcome::NothingSent;
        if (progress == ConnectProgress::Pending)
            return std::nullopt;
        m_isConnected = true;
    }
    if (!writeRequest())
        return connectionFailure();
    return readResponse();
}

void TargetCall::cancel()
{
    resetStream(m_stream);
}

bool TargetCall::writeRequest()
{
    while (m_sentBytes < m_request.size()) {
        const auto rest = std::as_bytes(std::span(m_request)).subspan(m_sentBytes);
        const auto transfer = writeStream(m_stream, rest);
        if (transfer.state == StreamState::Broken)
            return false;
        if (transfer.state == StreamState::WouldBlock)
            return true;
        m_sentBytes += transfer.size;
    }
    return true;
}

std::optional<AttemptOutcome> TargetCall::readResponse()
{
    std::array<std::byte, ReadBufferSize> buffer;
    while (true) {
        const auto transfer = readStream(m_stream, buffer);
        if (transfer.state == StreamState::WouldBlock)
            return std::nullopt;
        if (transfer.state == StreamState::Broken)
            return connectionFailure();
        if (transfer.state == StreamState::EndOfStream) {
            boost::beast::error_code error;
            if (m_parser->got_some())
                m_parser->put_eof(error);
            return !error && m_parser->is_done() ? completeResponse() : connectionFailure();
        }
        m_receiveBuffer.append(reinterpret_cast<const char *>(buffer.data()), transfer.size);
        if (const auto attemptOutcome = parseReceived())
            return attemptOutcome;
    }
}

std::optional<AttemptOutcome> TargetCall::parseReceived()
{
    while (!m_receiveBuffer.empty()) {
        boost::beast::error_code error;
        const auto used = m_parser->put(boost::asio::buffer(m_receiveBuffer), error);
        m_receiveBuffer.erase(0, used);
        if (error == Http::error::need_more)
            return std::nullopt;
        if (error)
            return AttemptOutcome::Broken;
        if (!m_parser->is_done())
            return used == 0 ? std::optional(AttemptOutcome::Broken) : std::nullopt;
        const bool isInterim = m_parser->get().result_int() < 200;
        if (!isInterim)
            return completeResponse();
        resetParser();
    }
    return std::nullopt;
}

AttemptOutcome TargetCall::completeResponse()
{
    m_response = m_parser->release();
    const auto outcome = fromBeast(m_response[toBeast(OutcomeHeader)]);
    return outcome == OutcomeNotRun ? AttemptOutcome::Refused : AttemptOutcome::Answered;
}

AttemptOutcome TargetCall::connectionFailure() const
{
    return m_sentBytes == 0 ? AttemptOutcome::NothingSent : AttemptOutcome::Broken;
}

void TargetCall::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->skip(m_isHead);
    m_parser->header_limit(HeaderSizeLimit);
    m_parser->body_limit(ResponseSizeLimit);
}

} // namespace Papaya
