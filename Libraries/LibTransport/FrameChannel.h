#pragma once

#include "LibTransport/StreamSocket.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace Papaya {

/// Sends and receives length-prefixed frames over a kernel TCP connection. The prefix is the body size as a 32-bit integer in network
/// byte order.
class FrameChannel
{
public:
    /// Called with the body of each complete frame. Returns false if the body is malformed and the connection must be closed.
    using Handler = std::function<bool(std::span<const std::byte>)>;

    explicit FrameChannel(FileDescriptor stream);

    /// Queues one frame. pump() writes it.
    void send(std::span<const std::byte> body);

    /// Reads and writes as much as possible without blocking, and calls `handler` for each frame read. The channel must be destroyed
    /// after a failure. Errors:
    /// - ConnectFailed: the connection could not be established.
    /// - SocketFailed: the stream ended, or a write failed.
    /// - FrameTooLarge: a received frame or the send buffer exceeds its limit.
    /// - MalformedFrame: the handler rejected a frame.
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
