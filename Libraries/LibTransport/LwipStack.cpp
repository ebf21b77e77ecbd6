#include "LibTransport/LwipStack.h"

#include "LibTransport/LwipConnection.h"

// Debian's port declares its core lock without C linkage.
extern "C" {
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcpip.h>
}

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <future>

namespace Papaya {

namespace {

constexpr std::uint16_t InterfaceMtu = 1'500;
/// Silence after which the stack probes a caller, and how often it repeats the probe before it gives up.
constexpr std::uint32_t KeepAliveIdle = 30'000;
constexpr std::uint32_t KeepAliveInterval = 10'000;
constexpr std::uint32_t KeepAliveCount = 4;

ip4_addr_t toLwip(std::uint32_t address)
{
    return {lwip_htonl(address)};
}

err_t sendPacket(netif *interface, pbuf *packet, const ip4_addr_t * /*nextHop*/)
{
    std::array<std::byte, InterfaceMtu> buffer {};
    if (packet->tot_len > buffer.size())
        return ERR_BUF;
    const auto size = pbuf_copy_partial(packet, buffer.data(), packet->tot_len, 0);
    const auto &sink = *static_cast<LwipStack::PacketSink *>(interface->state);
    sink(std::span(buffer).first(size));
    return ERR_OK;
}

err_t initializeInterface(netif *interface)
{
    interface->name[0] = 'p';
    interface->name[1] = 'l';
    interface->mtu = InterfaceMtu;
    interface->output = sendPacket;
    interface->flags = NETIF_FLAG_LINK_UP;
    return ERR_OK;
}

} // namespace

LwipLock::LwipLock()
{
    LOCK_TCPIP_CORE();
}

LwipLock::~LwipLock()
{
    UNLOCK_TCPIP_CORE();
}

/// lwIP links interfaces into its own list, so their addresses must not change: hence the deque.
struct LwipStack::Interfaces {
    std::deque<netif> list;
};

LwipStack::LwipStack(PacketSink sink)
    : m_sink(std::move(sink))
    , m_interfaces(std::make_unique<Interfaces>())
{
}

LwipStack::~LwipStack() = default;

LwipStack &LwipStack::start(PacketSink sink)
{
    static LwipStack *stack = [&] {
        std::promise<void> started;
        tcpip_init([](void *argument) { static_cast<std::promise<void> *>(argument)->set_value(); }, &started);
        started.get_future().wait();
        return new LwipStack(std::move(sink));
    }();
    return *stack;
}

Result<void> LwipStack::addAddress(std::uint32_t address)
{
    if (hasAddress(address))
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    auto &interface = m_interfaces->list.emplace_back();
    const auto ip = toLwip(address);
    const ip4_addr_t mask {0xffffffffU};
    const ip4_addr_t gateway {0};
    if (netif_add(&interface, &ip, &mask, &gateway, &m_sink, initializeInterface, ip_input) == nullptr) {
        m_interfaces->list.pop_back();
        return Failure {FailureKind::StackRefused, 0, "interface"};
    }
    netif_set_default(&interface);
    netif_set_up(&interface);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool LwipStack::hasAddress(std::uint32_t address) const
{
    const auto ip = toLwip(address);
    return std::any_of(m_interfaces->list.begin(), m_interfaces->list.end(), [&](const netif &interface) {
        return netif_ip4_addr(&interface)->addr == ip.addr;
    });
}

Result<void> LwipStack::listen(const Endpoint &endpoint)
{
    ip_addr_t address {};
    ip_addr_copy_from_ip4(address, toLwip(endpoint.address));
    auto *pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    if (pcb == nullptr)
        return Failure {FailureKind::StackRefused, 0, "tcp_new"};
    if (tcp_bind(pcb, &address, endpoint.port) != ERR_OK) {
        tcp_close(pcb);
        return Failure {FailureKind::StackRefused, 0, "tcp_bind " + toString(endpoint)};
    }
    auto *listener = tcp_listen(pcb);
    if (listener == nullptr) {
        tcp_close(pcb);
        return Failure {FailureKind::StackRefused, 0, "tcp_listen " + toString(endpoint)};
    }
    tcp_arg(listener, this);
    tcp_accept(listener, acceptConnection);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<std::unique_ptr<LwipConnection>> LwipStack::connect(std::uint32_t localAddress, const Endpoint &remote)
{
    auto *pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    if (pcb == nullptr)
        return Failure {FailureKind::StackRefused, 0, "tcp_new"};
    ip_addr_t local {};
    ip_addr_copy_from_ip4(local, toLwip(localAddress));
    ip_addr_t destination {};
    ip_addr_copy_from_ip4(destination, toLwip(remote.address));
    const bool isStarted =
        tcp_bind(pcb, &local, 0) == ERR_OK && tcp_connect(pcb, &destination, remote.port, LwipConnection::onConnected) == ERR_OK;
    if (!isStarted) {
        tcp_abort(pcb);
        return Failure {FailureKind::StackRefused, 0, "tcp_connect " + toString(remote)};
    }
    return std::make_unique<LwipConnection>(*this, pcb);
}

void LwipStack::input(std::span<const std::byte> packet)
{
    if (m_interfaces->list.empty() || packet.size() < sizeof(ip_hdr) || packet.size() > InterfaceMtu)
        return;
    ip_hdr header {};
    std::memcpy(&header, packet.data(), sizeof(header));
    if (!hasAddress(lwip_ntohl(header.dest.addr)))
        return;
    auto *buffer = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.size()), PBUF_RAM);
    if (buffer == nullptr)
        return;
    pbuf_take(buffer, packet.data(), static_cast<u16_t>(packet.size()));
    auto &interface = m_interfaces->list.front();
    if (interface.input(buffer, &interface) != ERR_OK)
        pbuf_free(buffer);
}

void LwipStack::abandon(const FlowKey &flow)
{
    const auto caller = toLwip(flow.caller.address);
    const auto service = toLwip(flow.service.address);
    for (auto *pcb = tcp_active_pcbs; pcb != nullptr; pcb = pcb->next) {
        const bool isFlow = ip_2_ip4(&pcb->remote_ip)->addr == caller.addr && ip_2_ip4(&pcb->local_ip)->addr == service.addr
                            && pcb->remote_port == flow.caller.port && pcb->local_port == flow.service.port;
        if (isFlow) {
            tcp_abandon(pcb, 0);
            return;
        }
    }
}

std::size_t LwipStack::activeConnectionCount() const
{
    std::size_t count = 0;
    for (const auto *pcb = tcp_active_pcbs; pcb != nullptr; pcb = pcb->next)
        ++count;
    return count;
}

std::vector<std::unique_ptr<LwipConnection>> LwipStack::takeAccepted()
{
    return std::exchange(m_accepted, {});
}

std::vector<std::uint64_t> LwipStack::takeReady()
{
    std::vector<std::uint64_t> tokens;
    tokens.reserve(m_ready.size());
    for (auto *connection : std::exchange(m_ready, {})) {
        connection->m_isReady = false;
        tokens.push_back(connection->token());
    }
    return tokens;
}

signed char LwipStack::acceptConnection(void *argument, tcp_pcb *pcb, signed char error)
{
    if (error != ERR_OK || pcb == nullptr)
        return ERR_VAL;
    auto &stack = *static_cast<LwipStack *>(argument);
    ip_set_option(pcb, SOF_KEEPALIVE);
    pcb->keep_idle = KeepAliveIdle;
    pcb->keep_intvl = KeepAliveInterval;
    pcb->keep_cnt = KeepAliveCount;
    auto connection = std::make_unique<LwipConnection>(stack, pcb);
    connection->m_isConnected = true;
    stack.m_accepted.push_back(std::move(connection));
    return ERR_OK;
}

void LwipStack::noteReady(LwipConnection *connection)
{
    if (connection->m_isReady)
        return;
    connection->m_isReady = true;
    m_ready.push_back(connection);
}

void LwipStack::forgetReady(LwipConnection *connection)
{
    std::erase(m_ready, connection);
}

} // namespace Papaya
