#include "LibTransport/StreamSocket.h"

#include "LibTransport/SocketAddress.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace Papaya {

namespace {

constexpr int ListenBacklog = 1'024;
constexpr int Enabled = 1;

FileDescriptor openStream()
{
    return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void disableNagle(const FileDescriptor &stream)
{
    ::setsockopt(stream.get(), IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
}

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOTCONN || error == EINPROGRESS;
}

StreamTransfer toTransfer(ssize_t size)
{
    if (size > 0)
        return {StreamState::Transferred, static_cast<std::size_t>(size)};
    return {wouldBlock(errno) ? StreamState::WouldBlock : StreamState::Broken, 0};
}

} // namespace

Result<FileDescriptor> listenStream(const Endpoint &endpoint)
{
    auto listener = openStream();
    const auto address = toSocketAddress(endpoint);
    ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
    const bool isListening = ::bind(listener.get(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
                             && ::listen(listener.get(), ListenBacklog) == 0;
    if (!isListening)
        return Failure {FailureKind::SocketFailed, 0, "listen " + toString(endpoint) + ": " + std::strerror(errno)};
    return listener;
}

std::optional<FileDescriptor> acceptStream(const FileDescriptor &listener)
{
    FileDescriptor stream(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!stream.isOpen())
        return std::nullopt;
    disableNagle(stream);
    return stream;
}

Result<FileDescriptor> connectStream(const Endpoint &endpoint)
{
    auto stream = openStream();
    const auto address = toSocketAddress(endpoint);
    const int result = ::connect(stream.get(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (result != 0 && errno != EINPROGRESS)
        return Failure {FailureKind::ConnectFailed, 0, toString(endpoint) + ": " + std::strerror(errno)};
    disableNagle(stream);
    return stream;
}

ConnectProgress connectProgress(const FileDescriptor &stream)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(stream.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return ConnectProgress::Failed;
    sockaddr_in peer {};
    socklen_t peerSize = sizeof(peer);
    if (::getpeername(stream.get(), reinterpret_cast<sockaddr *>(&peer), &peerSize) == 0)
        return ConnectProgress::Connected;
    return errno == ENOTCONN ? ConnectProgress::Pending : ConnectProgress::Failed;
}

PortState probeTcpPort(const Endpoint &endpoint, Duration limit)
{
    const auto stream = openStream();
    if (!stream.isOpen())
        return PortState::Unknown;
    const auto address = toSocketAddress(endpoint);
    if (::connect(stream.get(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return PortState::Open;
    if (errno != EINPROGRESS)
        return errno == ECONNREFUSED ? PortState::Closed : PortState::Unknown;
    pollfd pollEntry {stream.get(), POLLOUT, 0};
    if (::poll(&pollEntry, 1, static_cast<int>(limit.count())) <= 0)
        return PortState::Unknown;
    int error = 0;
    socklen_t size = sizeof(error);
    if (::getsockopt(stream.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return PortState::Unknown;
    if (error == 0)
        return PortState::Open;
    return error == ECONNREFUSED ? PortState::Closed : PortState::Unknown;
}

StreamTransfer readStream(const FileDescriptor &stream, std::span<std::byte> buffer)
{
    const auto size = ::recv(stream.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size == 0)
        return {StreamState::EndOfStream, 0};
    return toTransfer(size);
}

StreamTransfer writeStream(const FileDescriptor &stream, std::span<const std::byte> bytes)
{
    return toTransfer(::send(stream.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

void shutdownStreamWrite(const FileDescriptor &stream)
{
    ::shutdown(stream.get(), SHUT_WR);
}

void resetStream(FileDescriptor &stream)
{
    const linger immediately {1, 0};
    ::setsockopt(stream.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    stream.reset();
}

} // namespace Papaya
