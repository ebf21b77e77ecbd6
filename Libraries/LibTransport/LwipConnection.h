#pragma once

#include "LibState/FlowKey.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>

struct pbuf;
struct tcp_pcb;

namespace Papaya {

class LwipStack;

/// One TCP connection of LwipStack. lwIP's callbacks only record events. The owner polls for them with LwipStack::takeReady() and the
/// methods below while it holds LwipLock.
class LwipConnection
{
public:
    LwipConnection(LwipStack &stack, tcp_pcb *pcb);
    ~LwipConnection();
    LwipConnection(const LwipConnection &) = delete;
    LwipConnection &operator=(const LwipConnection &) = delete;

    /// Returns the flow, with the remote endpoint as the caller and the local endpoint as the service.
    [[nodiscard]] const FlowKey &flow() const { return m_flow; }

    /// A number that the owner may use to identify the connection. Returned by LwipStack::takeReady().
    [[nodiscard]] std::uint64_t token() const { return m_token; }
    void setToken(std::uint64_t token) { m_token = token; }

    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// Returns whether the remote endpoint sent FIN. Received bytes may still be unread.
    [[nodiscard]] bool hasReceivedFin() const { return m_hasReceivedFin; }
    /// Returns whether the connection was reset or timed out.
    [[nodiscard]] bool isBroken() const { return m_isBroken; }

    /// Returns the next contiguous unread bytes. Empty if there are none.
    [[nodiscard]] std::span<const std::byte> peek() const;
    /// Marks the first `size` bytes returned by peek() as read, which opens the receive window by the same amount.
    void consume(std::size_t size);

    /// Returns the number of bytes that write() would accept now.
    [[nodiscard]] std::size_t writableSize() const;
    /// Queues bytes for sending. Returns the number of bytes accepted.
    std::size_t write(std::span<const std::byte> bytes);
    /// Sends the queued bytes as far as the windows permit.
    void flush();

    /// Sends FIN after the queued bytes. Received bytes can still be read.
    void shutdownWrite();
    /// Discards unread bytes and closes both directions with FIN after the queued bytes.
    void close();
    /// Closes the connection with RST.
    void abort();

private:
    friend class LwipStack;

    static signed char onReceived(void *argument, tcp_pcb *pcb, pbuf *buffer, signed char error);
    static signed char onSent(void *argument, tcp_pcb *pcb, std::uint16_t size);
    static signed char onConnected(void *argument, tcp_pcb *pcb, signed char error);
    static void onError(void *argument, signed char error);

    void attach();
    void detach();
    void freeReceived();

    LwipStack &m_stack;
    tcp_pcb *m_pcb = nullptr;
    FlowKey m_flow;
    std::uint64_t m_token = 0;
    std::deque<pbuf *> m_received;
    std::size_t m_offset = 0;
    bool m_isConnected = false;
    bool m_hasReceivedFin = false;
    bool m_isBroken = false;
    bool m_isReady = false;
};

} // namespace Papaya
