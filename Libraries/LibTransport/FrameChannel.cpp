#include "LibTransport/FrameChannel.h"

#include "LibProtocol/PeerFrameCodec.h"

#include <arpa/inet.h>

#include <array>
#include <cstring>

namespace Papaya {

namespace {

constexpr std::size_t PrefixSize = sizeof(std::uint32_t);
constexpr std::size_t ReadBufferSize = 64UL * 1024;
constexpr std::size_t SendBufferSizeLimit = 4 * FrameSizeLimit;

std::uint32_t readPrefix(std::span<const std::byte> bytes)
{
    std::uint32_t size = 0;
    std::memcpy(&size, bytes.data(), PrefixSize);
    return ntohl(size);
}

void eraseFront(std::vector<std::byte> &bytes, std::size_t size)
{
    bytes.erase(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
}

} // namespace

FrameChannel::FrameChannel(FileDescriptor stream)
    : m_stream(std::move(stream))
{
}

void FrameChannel::send(std::span<const std::byte> body)
{
    const auto prefix = htonl(static_cast<std::uint32_t>(body.size()));
    const auto *bytes = reinterpret_cast<const std::byte *>(&prefix);
    m_sendBuffer.insert(m_sendBuffer.end(), bytes, bytes + PrefixSize);
    m_sendBuffer.insert(m_sendBuffer.end(), body.begin(), body.end());
}

Result<void> FrameChannel::pump(const Handler &handler)
{
    if (!m_isConnected) {
        const auto progress = connectProgress(m_stream);
        if (progress == ConnectProgress::Failed)
            return Failure {FailureKind::ConnectFailed, 0, "peer"};
        if (progress == ConnectProgress::Pending)
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        m_isConnected = true;
    }
    BOOST_OUTCOME_TRY(readFrames(handler));
    return writeFrames();
}

Result<void> FrameChannel::readFrames(const Handler &handler)
{
    std::array<std::byte, ReadBufferSize> buffer;
    while (true) {
        const auto transfer = readStream(m_stream, buffer);
        if (transfer.state == StreamState::WouldBlock)
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        if (transfer.state != StreamState::Transferred)
            return Failure {FailureKind::SocketFailed, 0, "peer_ended"};
        m_receiveBuffer.insert(m_receiveBuffer.end(), buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(transfer.size));
        BOOST_OUTCOME_TRY(dispatchFrames(handler));
    }
}

Result<void> FrameChannel::dispatchFrames(const Handler &handler)
{
    std::size_t offset = 0;
    while (m_receiveBuffer.size() - offset >= PrefixSize) {
        const auto rest = std::span<const std::byte>(m_receiveBuffer).subspan(offset);
        const std::size_t size = readPrefix(rest);
        if (size > FrameSizeLimit)
            return Failure {FailureKind::FrameTooLarge, 0, std::to_string(size)};
        if (rest.size() < PrefixSize + size)
            break;
        if (!handler(rest.subspan(PrefixSize, size)))
            return Failure {FailureKind::MalformedFrame, 0, "peer"};
        offset += PrefixSize + size;
    }
    eraseFront(m_receiveBuffer, offset);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> FrameChannel::writeFrames()
{
    while (!m_sendBuffer.empty()) {
        const auto transfer = writeStream(m_stream, m_sendBuffer);
        if (transfer.state == StreamState::Broken)
            return Failure {FailureKind::SocketFailed, 0, "peer_write"};
        if (transfer.state == StreamState::WouldBlock)
            break;
        eraseFront(m_sendBuffer, transfer.size);
    }
    if (m_sendBuffer.size() > SendBufferSizeLimit)
        return Failure {FailureKind::FrameTooLarge, 0, "peer_outbox"};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace Papaya
