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

/// Holds lwIP's core lock while in scope. Every call to LwipStack and LwipConnection requires it, since lwIP's own thread runs the
/// timers of all connections.
class LwipLock
{
public:
    LwipLock();
    ~LwipLock();
    LwipLock(const LwipLock &) = delete;
    LwipLock &operator=(const LwipLock &) = delete;
};

/// A TCP stack in user space, based on lwIP. A process has only one, because lwIP keeps its state in global variables.
class LwipStack
{
public:
    /// Called with each IP packet that the stack sends. The core lock is held, and the call may come from lwIP's thread or from the
    /// thread that uses the stack.
    using PacketSink = std::function<void(std::span<const std::byte>)>;

    /// Starts the stack on the first call and returns it. Later calls return the same stack and ignore `sink`. The stack is never
    /// destroyed, since lwIP's thread cannot be stopped.
    static LwipStack &start(PacketSink sink);

    /// Adds a local address (IPv4, host byte order). Fails with StackRefused if lwIP cannot add another interface.
    [[nodiscard]] Result<void> addAddress(std::uint32_t address);

    /// Returns whether `address` was added as a local address.
    [[nodiscard]] bool hasAddress(std::uint32_t address) const;

    /// Listens on an endpoint whose address must have been added. Fails with StackRefused.
    [[nodiscard]] Result<void> listen(const Endpoint &endpoint);

    /// Starts a connection from a local address to `remote`. Fails with StackRefused.
    [[nodiscard]] Result<std::unique_ptr<LwipConnection>> connect(std::uint32_t localAddress, const Endpoint &remote);

    /// Processes one received IP packet. Drops packets whose destination is not a local address, since lwIP would forward them.
    void input(std::span<const std::byte> packet);

    /// Discards the connection of a flow without sending FIN or RST to the caller.
    void abandon(const FlowKey &flow);

    /// Returns the number of active connections: connections in the handshake, established ones, and closed ones with unacknowledged
    /// data.
    [[nodiscard]] std::size_t activeConnectionCount() const;

    /// Returns the connections accepted since the last call.
    [[nodiscard]] std::vector<std::unique_ptr<LwipConnection>> takeAccepted();

    /// Returns the tokens of the connections that had an event since the last call.
    [[nodiscard]] std::vector<std::uint64_t> takeReady();

    LwipStack(const LwipStack &) = delete;
    LwipStack &operator=(const LwipStack &) = delete;
    ~LwipStack();

private:
    friend class LwipConnection;
    struct Interfaces;

    explicit LwipStack(PacketSink sink);

    static signed char acceptConnection(void *argument, tcp_pcb *pcb, signed char error);
    /// Adds a connection to those that the next takeReady() returns.
    void markReady(LwipConnection *connection);
    void removeReady(LwipConnection *connection);

    PacketSink m_sink;
    std::unique_ptr<Interfaces> m_interfaces;
    std::vector<std::unique_ptr<LwipConnection>> m_accepted;
    std::vector<LwipConnection *> m_ready;
};

} // namespace Papaya
