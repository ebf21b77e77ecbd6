#include "LibTransport/LwipConnection.h"

#include "LibTransport/LwipStack.h"

#include <lwip/tcp.h>

#include <algorithm>

namespace Papaya {

namespace {

constexpr std::size_t WriteChunk = 32UL * 1024;

Endpoint fromLwip(const ip_addr_t &address, std::uint16_t port)
{
    return {lwip_ntohl(ip_2_ip4(&address)->addr), port};
}

} // namespace

LwipConnection::LwipConnection(LwipStack &stack, tcp_pcb *pcb)
    : m_stack(stack)
    , m_pcb(pcb)
    , m_flow {fromLwip(pcb->remote_ip, pcb->remote_port), fromLwip(pcb->local_ip, pcb->local_port)}
{
    attach();
}

LwipConnection::~LwipConnection()
{
    abort();
    dropReceived();
    if (m_isReady)
        m_stack.forgetReady(this);
}

std::span<const std::byte> LwipConnection::peek() const
{
    if (m_received.empty())
        return {};
    const auto *buffer = m_received.front();
    return std::span(static_cast<const std::byte *>(buffer->payload), buffer->len).subspan(m_offset);
}

void LwipConnection::consume(std::size_t size)
{
    if (m_pcb != nullptr)
        tcp_recved(m_pcb, static_cast<u16_t>(size));
    m_offset += size;
    while (!m_received.empty() && m_offset >= m_received.front()->len) {
        auto *buffer = m_received.front();
        m_received.pop_front();
        m_offset -= buffer->len;
        if (auto *next = buffer->next) {
            // The tail of a chain needs a reference of its own before the head lets go of it.
            pbuf_ref(next);
            pbuf_dechain(buffer);
            m_received.push_front(next);
        }
        pbuf_free(buffer);
    }
}

std::size_t LwipConnection::writableSize() const
{
    if (m_pcb == nullptr)
        return 0;
    return tcp_sndqueuelen(m_pcb) < TCP_SND_QUEUELEN / 2 ? tcp_sndbuf(m_pcb) : 0;
}

std::size_t LwipConnection::write(std::span<const std::byte> bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto size = std::min({bytes.size() - written, writableSize(), WriteChunk});
        if (size == 0 || tcp_write(m_pcb, bytes.data() + written, static_cast<u16_t>(size), TCP_WRITE_FLAG_COPY) != ERR_OK)
            break;
        written += size;
    }
    return written;
}

void LwipConnection::flush()
{
    if (m_pcb != nullptr)
        tcp_output(m_pcb);
}

void LwipConnection::shutdownWrite()
{
    if (m_pcb != nullptr)
        tcp_shutdown(m_pcb, 0, 1);
}

void LwipConnection::close()
{
    if (m_pcb == nullptr)
        return;
    // lwIP resets a connection that is closed with bytes unread, so they are counted as read first.
    while (!peek().empty())
        consume(peek().size());
    auto *pcb = m_pcb;
    detach();
    if (tcp_close(pcb) != ERR_OK)
        tcp_abort(pcb);
}

void LwipConnection::abort()
{
    if (m_pcb == nullptr)
        return;
    auto *pcb = m_pcb;
    detach();
    tcp_abort(pcb);
}

signed char LwipConnection::onReceived(void *argument, tcp_pcb * /*pcb*/, pbuf *buffer, signed char /*error*/)
{
    auto &connection = *static_cast<LwipConnection *>(argument);
    if (buffer == nullptr)
        connection.m_hasReceivedFin = true;
    else
        connection.m_received.push_back(buffer);
    connection.m_stack.noteReady(&connection);
    return ERR_OK;
}

signed char LwipConnection::onSent(void *argument, tcp_pcb * /*pcb*/, std::uint16_t /*size*/)
{
    auto &connection = *static_cast<LwipConnection *>(argument);
    connection.m_stack.noteReady(&connection);
    return ERR_OK;
}

signed char LwipConnection::onConnected(void *argument, tcp_pcb * /*pcb*/, signed char /*error*/)
{
    auto &connection = *static_cast<LwipConnection *>(argument);
    connection.m_isConnected = true;
    connection.m_stack.noteReady(&connection);
    return ERR_OK;
}

void LwipConnection::onError(void *argument, signed char /*error*/)
{
    auto &connection = *static_cast<LwipConnection *>(argument);
    // lwIP has freed the control block by now.
    connection.m_pcb = nullptr;
    connection.m_isBroken = true;
    connection.m_stack.noteReady(&connection);
}

void LwipConnection::attach()
{
    tcp_arg(m_pcb, this);
    tcp_recv(m_pcb, onReceived);
    tcp_sent(m_pcb, onSent);
    tcp_err(m_pcb, onError);
    tcp_nagle_disable(m_pcb);
}

void LwipConnection::detach()
{
    tcp_arg(m_pcb, nullptr);
    tcp_recv(m_pcb, nullptr);
    tcp_sent(m_pcb, nullptr);
    tcp_err(m_pcb, nullptr);
    m_pcb = nullptr;
}

void LwipConnection::dropReceived()
{
    for (auto *buffer : m_received)
        pbuf_free(buffer);
    m_received.clear();
}

} // namespace Papaya
