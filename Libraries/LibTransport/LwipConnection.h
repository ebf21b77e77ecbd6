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

/// One TCP connection of the stack. lwIP's callbacks only note what happened; the owner polls it through
/// LwipStack::takeReady() and the methods below, under LwipLock.
class LwipConnection
{
public:
    LwipConnection(LwipStack &stack, tcp_pcb *pcb);
    ~LwipConnection();
    LwipConnection(const LwipConnection &) = delete;
    LwipConnection &operator=(const LwipConnection &) = delete;

    /// Returns the flow with the caller's end as seen from an accepting stack.
    [[nodiscard]] const FlowKey &flow() const { return m_flow; }

    /// A number for the owner's use, such as its index of connections.
    [[nodiscard]] std::uint64_t token() const { return m_token; }
    void setToken(std::uint64_t token) { m_token = token; }

    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// Whether the other side sent FIN; bytes may still wait to be read.
    [[nodiscard]] bool hasReceivedFin() const { return m_hasReceivedFin; }
    /// Whether the connection ended with a reset, or timed out.
    [[nodiscard]] bool isBroken() const { return m_isBroken; }

    /// Returns the next bytes received; empty when none wait.
    [[nodiscard]] std::span<const std::byte> peek() const;
    /// Removes bytes that peek() returned, which opens the window by as much.
    void consume(std::size_t size);

    /// Returns how many bytes write() would take now.
    [[nodiscard]] std::size_t writableSize() const;
    /// Queues bytes for sending. Returns how many were taken.
    std::size_t write(std::span<const std::byte> bytes);
    /// Sends what was queued.
    void flush();

    /// Sends FIN after what was queued. Reading goes on.
    void shutdownWrite();
    /// Closes both directions in order, after what was queued.
    void close();
    /// Ends with a reset.
    void abort();

private:
    friend class LwipStack;

    static signed char onReceived(void *argument, tcp_pcb *pcb, pbuf *buffer, signed char error);
    static signed char onSent(void *argument, tcp_pcb *pcb, std::uint16_t size);
    static signed char onConnected(void *argument, tcp_pcb *pcb, signed char error);
    static void onError(void *argument, signed char error);

    void attach();
    void detach();
    void dropReceived();

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
