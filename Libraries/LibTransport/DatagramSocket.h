#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace Papaya {

/// A non-blocking UDP socket that receives and sends in batches.
class DatagramSocket
{
public:
    /// Maximum number of datagrams that are received or sent in one system call.
    static constexpr std::size_t BatchSize = 64;

    /// Called for each datagram with its payload and its sender.
    using Handler = std::function<void(std::span<const std::byte>, const Endpoint &)>;

    /// Opens a socket and binds it to `endpoint`. Fails with SocketFailed.
    [[nodiscard]] static Result<DatagramSocket> bind(const Endpoint &endpoint);

    /// Receives one batch of datagrams without blocking. Drops datagrams larger than DatagramSizeLimit. Returns the number of datagrams
    /// received, including the dropped ones. Fewer than BatchSize mean that no further datagram was waiting.
    std::size_t receive(const Handler &handler);

    /// Sends one datagram without blocking. The datagram is dropped if the socket buffer is full, as it may also be dropped by the
    /// network.
    void send(const Endpoint &to, std::span<const std::byte> datagram) const;

    /// Queues one datagram for the next flush(). Calls flush() when the queue is full. Drops a datagram larger than DatagramSizeLimit.
    void queue(const Endpoint &to, std::span<const std::byte> datagram);

    /// Sends the queued datagrams, in one system call if possible. Drops the datagrams that the kernel rejects.
    void flush();

    [[nodiscard]] int descriptor() const { return m_descriptor.get(); }

private:
    struct ReceiveBuffers;
    struct SendBuffers;

    explicit DatagramSocket(FileDescriptor descriptor);

    FileDescriptor m_descriptor;
    std::shared_ptr<ReceiveBuffers> m_receiveBuffers;
    /// Allocated by the first queue(), since some sockets never queue.
    std::shared_ptr<SendBuffers> m_sendBuffers;
};

} // namespace Papaya
