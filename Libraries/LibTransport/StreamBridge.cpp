#include "LibTransport/StreamBridge.h"

#include <algorithm>
#include <array>

namespace Papaya {

namespace {

constexpr std::size_t ReadBufferSize = 16UL * 1024;

} // namespace

StreamBridge::StreamBridge(std::unique_ptr<LwipConnection> connection, FileDescriptor stream, EndOfStreamPolicy policy)
    : m_connection(std::move(connection))
    , m_stream(std::move(stream))
    , m_isEndOfStreamConfirmed(policy == EndOfStreamPolicy::Propagate)
{
}

BridgeState StreamBridge::pump()
{
    if (m_connection->isBroken() || !advanceConnect()) {
        resetBoth();
        return BridgeState::Broken;
    }
    if (!m_isStreamConnected || !m_connection->isConnected())
        return BridgeState::Open;
    if (!pumpToStream() || !pumpToConnection()) {
        resetBoth();
        return BridgeState::Broken;
    }
    if (!m_hasSentStreamFin || !m_hasSentConnectionFin)
        return BridgeState::Open;
    m_connection->close();
    m_stream.reset();
    return BridgeState::Done;
}

bool StreamBridge::advanceConnect()
{
    if (m_isStreamConnected)
        return true;
    const auto progress = connectProgress(m_stream);
    m_isStreamConnected = progress == ConnectProgress::Connected;
    return progress != ConnectProgress::Failed;
}

bool StreamBridge::pumpToStream()
{
    while (!m_connection->peek().empty()) {
        const auto transfer = writeStream(m_stream, m_connection->peek());
        if (transfer.state == StreamState::Broken)
            return false;
        if (transfer.state != StreamState::Transferred)
            return true;
        m_connection->consume(transfer.size);
    }
    if (m_connection->hasReceivedFin() && !m_hasSentStreamFin) {
        shutdownStreamWrite(m_stream);
        m_hasSentStreamFin = true;
    }
    return true;
}

bool StreamBridge::pumpToConnection()
{
    std::array<std::byte, ReadBufferSize> buffer;
    while (flushPending() && !m_hasReachedEndOfStream) {
        const auto room = std::min(m_connection->writableSize(), buffer.size());
        if (room == 0)
            break;
        const auto transfer = readStream(m_stream, std::span(buffer).first(room));
        if (transfer.state == StreamState::Broken)
            return false;
        if (transfer.state == StreamState::WouldBlock)
            break;
        if (transfer.state == StreamState::EndOfStream)
            m_hasReachedEndOfStream = true;
        else
            m_pending.assign(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(transfer.size));
    }
    if (m_hasReachedEndOfStream && m_isEndOfStreamConfirmed && m_pending.empty() && !m_hasSentConnectionFin) {
        m_connection->shutdownWrite();
        m_hasSentConnectionFin = true;
    }
    m_connection->flush();
    return true;
}

bool StreamBridge::flushPending()
{
    if (m_pending.empty())
        return true;
    const auto written = m_connection->write(m_pending);
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(written));
    return m_pending.empty();
}

void StreamBridge::resetBoth()
{
    m_connection->abort();
    resetStream(m_stream);
}

} // namespace Papaya
