#pragma once

#include "LibState/Clock.h"
#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <cstddef>
#include <optional>
#include <span>

/// Functions for non-blocking kernel TCP sockets.
namespace Papaya {

/// The state of a connection attempt.
enum class ConnectProgress {
    Pending,
    Connected,
    Failed,
};

/// The outcome of a read or write.
enum class StreamState {
    /// At least one byte was transferred.
    Transferred,
    /// No byte can be transferred without blocking.
    WouldBlock,
    /// The peer sent FIN and all bytes have been read.
    EndOfStream,
    /// The connection failed.
    Broken,
};

/// The outcome of one read or write and the number of bytes transferred.
struct StreamTransfer {
    StreamState state = StreamState::WouldBlock;
    std::size_t size = 0;
};

/// Opens a listening socket. Fails with SocketFailed.
[[nodiscard]] Result<FileDescriptor> listenStream(const Endpoint &endpoint);

/// Accepts one connection. Returns nothing if none is pending.
[[nodiscard]] std::optional<FileDescriptor> acceptStream(const FileDescriptor &listener);

/// Starts to connect to `endpoint`. Fails with ConnectFailed if the kernel reports an error immediately.
[[nodiscard]] Result<FileDescriptor> connectStream(const Endpoint &endpoint);

/// Returns the state of a connection attempt.
[[nodiscard]] ConnectProgress connectProgress(const FileDescriptor &stream);

/// Whether a process listens on a TCP port.
enum class PortState {
    /// A connection was accepted.
    Open,
    /// A connection was refused.
    Closed,
    /// The attempt failed otherwise, or did not complete in time, which says nothing about the port.
    Unknown,
};

/// Connects and closes the connection, to find out whether a process listens on `endpoint`. Blocks at most for `limit`.
[[nodiscard]] PortState probeTcpPort(const Endpoint &endpoint, Duration limit);

/// Reads the available bytes, up to the size of the buffer.
[[nodiscard]] StreamTransfer readStream(const FileDescriptor &stream, std::span<std::byte> buffer);

/// Writes as many bytes as the socket buffer accepts.
[[nodiscard]] StreamTransfer writeStream(const FileDescriptor &stream, std::span<const std::byte> bytes);

/// Shuts down the sending direction (FIN).
void shutdownStreamWrite(const FileDescriptor &stream);

/// Closes the connection with RST instead of FIN, so that the peer detects that the stream is incomplete.
void resetStream(FileDescriptor &stream);

} // namespace Papaya
