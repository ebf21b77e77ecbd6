#include "HttpFlow.h"

#include "HttpOutcome.h"

#include <sstream>

namespace Papaya {

namespace {

namespace Http = boost::beast::http;

constexpr std::uint32_t HeaderSizeLimit = 32 * 1024;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusPayloadTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;

unsigned statusForError(const boost::beast::error_code &error)
{
    if (error == Http::error::body_limit)
        return StatusPayloadTooLarge;
    if (error == Http::error::header_limit)
        return StatusHeaderTooLarge;
    return StatusBadRequest;
}

} // namespace

HttpFlow::HttpFlow(std::unique_ptr<LwipConnection> connection)
    : m_connection(std::move(connection))
{
    resetParser();
}

HttpFlow::ReadResult HttpFlow::readRequest()
{
    if (hasOpenRequest() || m_closesAfterSending)
        return ReadResult::NeedsMore;
    while (true) {
        const auto result = parseReceived();
        if (result != ReadResult::NeedsMore)
            return result;
        const auto bytes = m_connection->peek();
        if (bytes.empty())
            break;
        m_receiveBuffer.append(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        m_connection->consume(bytes.size());
    }
    const bool hasEnded = m_connection->isBroken() || m_connection->hasReceivedFin();
    return hasEnded ? ReadResult::Ended : ReadResult::NeedsMore;
}

void HttpFlow::queueResponse(Response response, bool closesAfterwards)
{
    std::ostringstream text;
    text << response;
    m_sendBuffer += text.str();
    m_openRequest = 0;
    m_closesAfterSending = m_closesAfterSending || closesAfterwards;
    resetParser();
}

bool HttpFlow::pump()
{
    if (m_connection->isBroken())
        return true;
    const auto written = m_connection->write(std::as_bytes(std::span(m_sendBuffer)));
    m_sendBuffer.erase(0, written);
    m_connection->flush();
    if (!m_sendBuffer.empty() || !m_closesAfterSending)
        return false;
    m_connection->close();
    return true;
}

void HttpFlow::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(HeaderSizeLimit);
    m_parser->body_limit(RequestSizeLimit);
    m_hasSentContinue = false;
}

HttpFlow::ReadResult HttpFlow::parseReceived()
{
    while (!m_receiveBuffer.empty()) {
        boost::beast::error_code error;
        const auto used = m_parser->put(boost::asio::buffer(m_receiveBuffer), error);
        m_receiveBuffer.erase(0, used);
        if (error && error != Http::error::need_more) {
            m_failureStatus = statusForError(error);
            return ReadResult::Malformed;
        }
        if (m_parser->is_done()) {
            m_request = m_parser->release();
            return ReadResult::RequestReady;
        }
        if (m_parser->is_header_done())
            sendContinue();
        if (error == Http::error::need_more || used == 0)
            break;
    }
    return ReadResult::NeedsMore;
}

void HttpFlow::sendContinue()
{
    if (m_hasSentContinue || m_parser->get()[Http::field::expect].empty())
        return;
    m_hasSentContinue = true;
    m_sendBuffer += "HTTP/1.1 100 Continue\r\n\r\n";
}

} // namespace Papaya
