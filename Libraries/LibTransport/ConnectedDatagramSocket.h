#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <cstddef>
#include <span>

namespace Papaya {

/// The result of a send as the local kernel reports it.
enum class TargetSendOutcome {
    /// The kernel accepted the datagram. Delivery is not confirmed.
    Sent,
    /// The peer answered an earlier datagram with ICMP port unreachable (ECONNREFUSED). The datagram was not sent.
    PortClosed,
    /// The kernel rejected the datagram for another reason, such as a full socket buffer.
    /// Senders treat this like a loss in the network.
    Dropped,
};

/// A non-blocking UDP socket that is connected to one peer. On a connected socket, the kernel reports ICMP port unreachable errors
/// from the peer.
class ConnectedDatagramSocket
{
public:
    /// Opens a socket at the address of `local` with an ephemeral port and connects it to `peer`. Fails with SocketFailed.
    [[nodiscard]] static Result<ConnectedDatagramSocket> connect(const Endpoint &local, const Endpoint &peer);

    /// Sends one datagram without blocking.
    [[nodiscard]] TargetSendOutcome send(std::span<const std::byte> datagram) const;

    /// Returns whether the peer reported its port as closed since the last call. Clears the socket's pending error (SO_ERROR).
    [[nodiscard]] bool takePortClosedError() const;

    [[nodiscard]] int descriptor() const { return m_descriptor.get(); }

private:
    explicit ConnectedDatagramSocket(FileDescriptor descriptor);

    FileDescriptor m_descriptor;
};

} // namespace Papaya
