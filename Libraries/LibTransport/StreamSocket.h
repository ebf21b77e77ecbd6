#pragma once

#include "LibState/Clock.h"
#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <cstddef>
#include <optional>
#include <span>

/// Non-blocking TCP sockets of the kernel.
namespace Papaya {

/// How far a connection attempt has come.
enum class ConnectProgress {
    Pending,
    Connected,
    Failed,
};

/// How a read or write ended.
enum class StreamState {
    /// Some bytes were moved.
    Transferred,
    /// Nothing can be moved now.
    WouldBlock,
    /// The other side has sent its last byte.
    EndOfStream,
    /// The connection is broken.
    Broken,
};

/// The end of one read or write, with the bytes moved.
struct StreamTransfer {
    StreamState state = StreamState::WouldBlock;
    std::size_t size = 0;
};

/// Opens a listening socket. Fails with SocketFailed.
[[nodiscard]] Result<FileDescriptor> listenStream(const Endpoint &endpoint);

/// Accepts one waiting connection, if there is one.
[[nodiscard]] std::optional<FileDescriptor> acceptStream(const FileDescriptor &listener);

/// Starts a connection. Fails with ConnectFailed when it is refused at once.
[[nodiscard]] Result<FileDescriptor> connectStream(const Endpoint &endpoint);

/// Returns how far a connection attempt has come.
[[nodiscard]] ConnectProgress connectProgress(const FileDescriptor &stream);

/// Connects and closes again, to see whether anything listens. Waits at most `limit`; Pending when nothing was known by then.
[[nodiscard]] ConnectProgress probeTcpPort(const Endpoint &endpoint, Duration limit);

/// Reads what is there, at most the buffer's size.
[[nodiscard]] StreamTransfer readStream(const FileDescriptor &stream, std::span<std::byte> buffer);

/// Writes as much as fits.
[[nodiscard]] StreamTransfer writeStream(const FileDescriptor &stream, std::span<const std::byte> bytes);

/// Sends FIN: no more will be written.
void shutdownStreamWrite(const FileDescriptor &stream);

/// Closes with a reset instead of FIN, so that the other side knows the stream is not whole.
void resetStream(FileDescriptor &stream);

} // namespace Papaya
