#include "LibTransport/ConnectedDatagramSocket.h"

#include "LibTransport/SocketAddress.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace Papaya {

Result<ConnectedDatagramSocket> ConnectedDatagramSocket::connect(const Endpoint &local, const Endpoint &peer)
{
    FileDescriptor descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    auto localAddress = toSocketAddress(local);
    localAddress.sin_port = 0;
    const auto peerAddress = toSocketAddress(peer);
    const bool isConnected = descriptor.isOpen()
                             && ::bind(descriptor.get(), reinterpret_cast<const sockaddr *>(&localAddress), sizeof(localAddress)) == 0
                             && ::connect(descriptor.get(), reinterpret_cast<const sockaddr *>(&peerAddress), sizeof(peerAddress)) == 0;
    if (!isConnected)
        return Failure {FailureKind::SocketFailed, 0, "connect " + toString(peer) + ": " + std::strerror(errno)};
    return ConnectedDatagramSocket(std::move(descriptor));
}

ConnectedDatagramSocket::ConnectedDatagramSocket(FileDescriptor descriptor)
    : m_descriptor(std::move(descriptor))
{
}

TargetSendOutcome ConnectedDatagramSocket::send(std::span<const std::byte> datagram) const
{
    const auto sent = ::send(m_descriptor.get(), datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0)
        return TargetSendOutcome::Sent;
    return errno == ECONNREFUSED ? TargetSendOutcome::PortClosed : TargetSendOutcome::Dropped;
}

bool ConnectedDatagramSocket::takePortClosedError() const
{
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(m_descriptor.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == ECONNREFUSED;
}

} // namespace Papaya
