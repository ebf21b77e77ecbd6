#pragma once

#include "LibTransport/LwipConnection.h"
#include "LibTransport/StreamSocket.h"

#include <memory>
#include <vector>

namespace Papaya {

/// The state of a bridge after pump().
enum class BridgeState {
    /// At least one direction is still open.
    Open,
    /// Both directions ended with FIN.
    Done,
    /// One connection failed, so both were reset.
    Broken,
};

/// What a bridge does when the kernel socket reaches the end of the stream.
enum class EndOfStreamPolicy {
    /// Send FIN on the LwipStack connection immediately.
    Propagate,
    /// Send FIN on the LwipStack connection after confirmEndOfStream(). The kernel closes the connections of a killed process with FIN,
    /// so FIN alone does not mean that the stream is complete.
    AwaitConfirmation,
};

/// Copies bytes in both directions between a connection of LwipStack and a kernel TCP socket, with back-pressure and half-close.
class StreamBridge
{
public:
    StreamBridge(std::unique_ptr<LwipConnection> connection, FileDescriptor stream, EndOfStreamPolicy policy);

    /// Copies as much as possible without blocking. The calling thread must hold LwipLock. After a result other than Open, the bridge must
    /// not be used any more.
    BridgeState pump();

    /// Returns whether the kernel socket reached the end of the stream and confirmEndOfStream() has not been called.
    [[nodiscard]] bool isAwaitingConfirmation() const { return m_hasReachedEndOfStream && !m_isEndOfStreamConfirmed; }
    /// Returns whether the kernel socket reached the end of the stream.
    [[nodiscard]] bool hasReachedEndOfStream() const { return m_hasReachedEndOfStream; }
    /// Confirms that the program at the other end of the kernel socket closed the stream on purpose. The next pump() sends FIN.
    void confirmEndOfStream() { m_isEndOfStreamConfirmed = true; }
    /// Resets both connections. The bridge must not be used any more.
    void resetBoth();

    [[nodiscard]] LwipConnection &connection() { return *m_connection; }
    [[nodiscard]] int descriptor() const { return m_stream.get(); }

private:
    /// Checks whether the kernel socket is connected. Returns false if the connection attempt failed.
    [[nodiscard]] bool advanceConnect();
    /// Copies from the LwipStack connection to the kernel socket. Returns false if the socket failed.
    [[nodiscard]] bool pumpToStream();
    /// Copies from the kernel socket to the LwipStack connection. Returns false if the socket failed.
    [[nodiscard]] bool pumpToConnection();
    /// Writes the pending bytes to the LwipStack connection. Returns whether it accepted all of them.
    bool flushPending();

    std::unique_ptr<LwipConnection> m_connection;
    FileDescriptor m_stream;
    /// Bytes read from the kernel socket that the LwipStack connection has not accepted.
    std::vector<std::byte> m_pending;
    bool m_isStreamConnected = false;
    bool m_hasReachedEndOfStream = false;
    bool m_isEndOfStreamConfirmed;
    bool m_hasSentConnectionFin = false;
    bool m_hasSentStreamFin = false;
};

} // namespace Papaya
