#include "LibTransport/DatagramSocket.h"

#include "LibProtocol/DatagramCodec.h"
#include "LibTransport/SocketAddress.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace Papaya {

namespace {

constexpr int SocketBufferSize = 4 * 1024 * 1024;

} // namespace

struct DatagramSocket::ReceiveBuffers {
    std::array<std::array<std::byte, DatagramSizeLimit>, BatchSize> bytes {};
    std::array<sockaddr_in, BatchSize> senders {};
    std::array<iovec, BatchSize> vectors {};
    std::array<mmsghdr, BatchSize> headers {};

    void prepare()
    {
        for (std::size_t index = 0; index < BatchSize; ++index) {
            vectors[index] = {bytes[index].data(), bytes[index].size()};
            auto &header = headers[index].msg_hdr;
            header = {};
            header.msg_name = &senders[index];
            header.msg_namelen = sizeof(sockaddr_in);
            header.msg_iov = &vectors[index];
            header.msg_iovlen = 1;
        }
    }
};

struct DatagramSocket::SendBuffers {
    std::array<std::array<std::byte, DatagramSizeLimit>, BatchSize> bytes {};
    std::array<sockaddr_in, BatchSize> receivers {};
    std::array<iovec, BatchSize> vectors {};
    std::array<mmsghdr, BatchSize> headers {};
    std::size_t count = 0;
};

DatagramSocket::DatagramSocket(FileDescriptor descriptor)
    : m_descriptor(std::move(descriptor))
    , m_receiveBuffers(std::make_shared<ReceiveBuffers>())
{
}

Result<DatagramSocket> DatagramSocket::bind(const Endpoint &endpoint)
{
    FileDescriptor descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const auto address = toSocketAddress(endpoint);
    const bool isBound =
        descriptor.isOpen() && ::bind(descriptor.get(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    if (!isBound)
        return Failure {FailureKind::SocketFailed, 0, "bind " + toString(endpoint) + ": " + std::strerror(errno)};
    // A burst may exceed the default buffer within one iteration of the event loop. If the kernel rejects the larger size, the default
    // remains and the socket still works.
    ::setsockopt(descriptor.get(), SOL_SOCKET, SO_RCVBUF, &SocketBufferSize, sizeof(SocketBufferSize));
    ::setsockopt(descriptor.get(), SOL_SOCKET, SO_SNDBUF, &SocketBufferSize, sizeof(SocketBufferSize));
    return DatagramSocket(std::move(descriptor));
}

std::size_t DatagramSocket::receive(const Handler &handler)
{
    m_receiveBuffers->prepare();
    const int count = ::recvmmsg(m_descriptor.get(), m_receiveBuffers->headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
    if (count <= 0)
        return 0;
    for (std::size_t index = 0; index < static_cast<std::size_t>(count); ++index) {
        const auto &header = m_receiveBuffers->headers[index];
        if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0)
            continue;
        handler(std::span(m_receiveBuffers->bytes[index]).first(header.msg_len), fromSocketAddress(m_receiveBuffers->senders[index]));
    }
    return static_cast<std::size_t>(count);
}

void DatagramSocket::send(const Endpoint &to, std::span<const std::byte> datagram) const
{
    const auto address = toSocketAddress(to);
    (void)::sendto(m_descriptor.get(),
                   datagram.data(),
                   datagram.size(),
                   MSG_DONTWAIT | MSG_NOSIGNAL,
                   reinterpret_cast<const sockaddr *>(&address),
                   sizeof(address));
}

void DatagramSocket::queue(const Endpoint &to, std::span<const std::byte> datagram)
{
    if (datagram.size() > DatagramSizeLimit)
        return;
    if (!m_sendBuffers)
        m_sendBuffers = std::make_shared<SendBuffers>();
    const auto index = m_sendBuffers->count++;
    std::copy(datagram.begin(), datagram.end(), m_sendBuffers->bytes[index].begin());
    m_sendBuffers->receivers[index] = toSocketAddress(to);
    m_sendBuffers->vectors[index] = {m_sendBuffers->bytes[index].data(), datagram.size()};
    auto &header = m_sendBuffers->headers[index].msg_hdr;
    header = {};
    header.msg_name = &m_sendBuffers->receivers[index];
    header.msg_namelen = sizeof(sockaddr_in);
    header.msg_iov = &m_sendBuffers->vectors[index];
    header.msg_iovlen = 1;
    if (m_sendBuffers->count == BatchSize)
        flush();
}

void DatagramSocket::flush()
{
    if (!m_sendBuffers)
        return;
    std::size_t sent = 0;
    while (sent < m_sendBuffers->count) {
        const auto count = static_cast<unsigned>(m_sendBuffers->count - sent);
        const int accepted = ::sendmmsg(m_descriptor.get(), m_sendBuffers->headers.data() + sent, count, MSG_DONTWAIT | MSG_NOSIGNAL);
        // An error applies to the first datagram of the call only, so that one is skipped and the rest is sent.
        sent += accepted > 0 ? static_cast<std::size_t>(accepted) : 1;
    }
    m_sendBuffers->count = 0;
}

} // namespace Papaya
