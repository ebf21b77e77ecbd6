#pragma once

#include "LibTransport/StreamSocket.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace Papaya {

/// Frames on a kernel TCP connection: a length of four bytes in network order, then as many bytes.
class FrameChannel
{
public:
    /// Called with the body of each whole frame. Returns whether the connection is worth keeping.
    using Handler = std::function<bool(std::span<const std::byte>)>;

    explicit FrameChannel(FileDescriptor stream);

    /// Queues one frame.
    void send(std::span<const std::byte> body);

    /// Moves what can be moved. Fails with SocketFailed at the end of the stream, FrameTooLarge or MalformedFrame; the
    /// channel is to be destroyed then.
    [[nodiscard]] Result<void> pump(const Handler &handler);

    [[nodiscard]] int descriptor() const { return m_stream.get(); }

private:
    [[nodiscard]] Result<void> readFrames(const Handler &handler);
    [[nodiscard]] Result<void> dispatchFrames(const Handler &handler);
    [[nodiscard]] Result<void> writeFrames();

    FileDescriptor m_stream;
    std::vector<std::byte> m_receiveBuffer;
    std::vector<std::byte> m_sendBuffer;
    bool m_isConnected = false;
};

} // namespace Papaya
