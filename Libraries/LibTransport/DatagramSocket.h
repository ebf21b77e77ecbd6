#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace Papaya {

/// A non-blocking UDP socket that receives in batches.
class DatagramSocket
{
public:
    /// Called for each datagram with its bytes and its sender.
    using Handler = std::function<void(std::span<const std::byte>, const Endpoint &)>;

    /// Binds a socket. Fails with SocketFailed.
    [[nodiscard]] static Result<DatagramSocket> bind(const Endpoint &endpoint);

    /// Receives one batch of waiting datagrams. Returns how many there were. Those over the size limit are dropped.
    std::size_t receive(const Handler &handler);

    /// Sends one datagram; a full socket buffer drops it, as the network may.
    void send(const Endpoint &to, std::span<const std::byte> datagram) const;

    /// Keeps one datagram to be sent with others at the next flush(), which a full queue brings about. Oversized ones are dropped.
    void queue(const Endpoint &to, std::span<const std::byte> datagram);

    /// Sends what is queued in one system call where possible; what the kernel does not take is dropped.
    void flush();

    [[nodiscard]] int descriptor() const { return m_descriptor.get(); }

private:
    struct ReceiveBuffers;
    struct SendBuffers;

    explicit DatagramSocket(FileDescriptor descriptor);

    FileDescriptor m_descriptor;
    std::shared_ptr<ReceiveBuffers> m_receiveBuffers;
    /// Made by the first queue(), since not every socket queues.
    std::shared_ptr<SendBuffers> m_sendBuffers;
};

} // namespace Papaya
