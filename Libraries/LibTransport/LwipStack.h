#pragma once

#include "LibState/FlowKey.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

struct tcp_pcb;

namespace Papaya {

class LwipConnection;

/// Holds lwIP's core lock. Every call on LwipStack and LwipConnection is made under it, since lwIP's own thread runs the
/// timers of all connections.
class LwipLock
{
public:
    LwipLock();
    ~LwipLock();
    LwipLock(const LwipLock &) = delete;
    LwipLock &operator=(const LwipLock &) = delete;
};

/// The TCP endpoint in user space. There is one in a process, because lwIP keeps its state in globals.
class LwipStack
{
public:
    /// Called, under the lock and from either thread, with each IP packet that the stack sends.
    using PacketSink = std::function<void(std::span<const std::byte>)>;

    /// Starts the stack on the first call. It is never destroyed, since lwIP's thread cannot be ended.
    static LwipStack &start(PacketSink sink);

    /// Gives the stack an address. Fails with StackRefused when lwIP has no room for another interface.
    [[nodiscard]] Result<void> addAddress(std::uint32_t address);

    /// Returns whether the stack has an address.
    [[nodiscard]] bool hasAddress(std::uint32_t address) const;

    /// Listens on an endpoint whose address was added before. Fails with StackRefused.
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

    /// Opens a connection from an address of the stack. Fails with StackRefused.
    [[nodiscard]] Result<std::unique_ptr<LwipConnection>> connect(std::uint32_t localAddress, const Endpoint &remote);

    /// Feeds one IP packet. Packets for addresses that the stack does not have are dropped, as lwIP would forward them.
    void input(std::span<const std::byte> packet);

    /// Drops the connection of a flow without a word to the caller.
    void abandon(const FlowKey &flow);

    /// Returns how many connections the stack still works on: handshakes under way, open ones, and closed ones whose last bytes
    /// are not acknowledged yet.
    [[nodiscard]] std::size_t activeConnectionCount() const;

    /// Returns the connections that were accepted since the last call.
    [[nodiscard]] std::vector<std::unique_ptr<LwipConnection>> takeAccepted();

    /// Returns the tokens of the connections on which something happened since the last call.
    [[nodiscard]] std::vector<std::uint64_t> takeReady();

    LwipStack(const LwipStack &) = delete;
    LwipStack &operator=(const LwipStack &) = delete;
    ~LwipStack();

private:
    friend class LwipConnection;
    struct Interfaces;

    explicit LwipStack(PacketSink sink);

    static signed char acceptConnection(void *argument, tcp_pcb *pcb, signed char error);
    void noteReady(LwipConnection *connection);
    void forgetReady(LwipConnection *connection);

    PacketSink m_sink;
    std::unique_ptr<Interfaces> m_interfaces;
    std::vector<std::unique_ptr<LwipConnection>> m_accepted;
    std::vector<LwipConnection *> m_ready;
};

} // namespace Papaya
