#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <cstddef>
#include <span>

namespace Papaya {

/// What became of a datagram as far as the sender's kernel knows.
enum class TargetSendOutcome {
    Sent,
    /// The peer's port is closed, as an earlier datagram showed.
    PortClosed,
    /// The datagram was dropped; the network may drop it as well.
    Dropped,
};

/// A non-blocking UDP socket that sends to one peer, so that the kernel tells when the peer's port is closed.
class ConnectedDatagramSocket
{
public:
    /// Opens a socket at any port of `local` and connects it. Fails with SocketFailed.
    [[nodiscard]] static Result<ConnectedDatagramSocket> connect(const Endpoint &local, const Endpoint &peer);

    /// Sends one datagram.
    [[nodiscard]] TargetSendOutcome send(std::span<const std::byte> datagram) const;

    /// Returns whether an earlier datagram found the peer's port closed; asking clears it.
    [[nodiscard]] bool takePortClosedError() const;

    [[nodiscard]] int descriptor() const { return m_descriptor.get(); }

private:
    explicit ConnectedDatagramSocket(FileDescriptor descriptor);

    FileDescriptor m_descriptor;
};

} // namespace Papaya
