#pragma once

#include "LibTransport/LwipConnection.h"
#include "LibTransport/StreamSocket.h"

#include <memory>
#include <vector>

namespace Papaya {

/// How a bridge stands after it was pumped.
enum class BridgeState {
    Open,
    /// Both directions ended in order.
    Done,
    /// One side broke; the other was reset.
    Broken,
};

/// What a bridge does when the kernel side sent its last byte.
enum class EndOfStreamPolicy {
    /// The end is passed on at once.
    Propagate,
    /// The end is passed on once confirmEndOfStream() was called: the kernel closes the connections of a killed process in order, which
    /// would make a stream that was cut look whole.
    AwaitConfirmation,
};

/// Carries the bytes of one connection between the stack and a kernel socket, with back-pressure and half-closes.
class StreamBridge
{
public:
    StreamBridge(std::unique_ptr<LwipConnection> connection, FileDescriptor stream, EndOfStreamPolicy policy);

    /// Moves what can be moved, under LwipLock. Once it returned something other than Open, the bridge is over.
    BridgeState pump();

    /// Whether the kernel side ended and that end waits to be confirmed.
    [[nodiscard]] bool isAwaitingConfirmation() const { return m_hasStreamEnded && !m_isEndConfirmed; }
    /// Whether the kernel side sent its last byte.
    [[nodiscard]] bool hasReachedEndOfStream() const { return m_hasStreamEnded; }
    /// Confirms that the kernel side ended because its program meant it to.
    void confirmEndOfStream() { m_isEndConfirmed = true; }
    /// Resets both sides. The bridge is over then.
    void resetBoth();

    [[nodiscard]] LwipConnection &connection() { return *m_connection; }
    [[nodiscard]] int descriptor() const { return m_stream.get(); }

private:
    /// Whether the kernel side can still be used.
    [[nodiscard]] bool advanceConnect();
    [[nodiscard]] bool pumpToStream();
    [[nodiscard]] bool pumpToConnection();
    /// Hands what was read from the stream to the connection. Returns whether nothing is left over.
    bool flushPending();

    std::unique_ptr<LwipConnection> m_connection;
    FileDescriptor m_stream;
    std::vector<std::byte> m_pending;
    bool m_isStreamConnected = false;
    bool m_hasStreamEnded = false;
    bool m_isEndConfirmed;
    bool m_hasShutConnection = false;
    bool m_hasShutStream = false;
};

} // namespace Papaya
