#pragma once

#include "LibState/PacketSummary.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/FileDescriptor.h"

#include <atomic>
#include <thread>
#include <unordered_map>

namespace Papaya {

/// A target on loopback that terminates flows itself and responds to each request with `REQUEST@NAME`. A packet of a flow
/// that this target has not opened is sent back to the agent, marked as returned, and counted. Its TCP port is open, so that agents
/// which check it find that the target runs.
class EchoTarget
{
public:
    /// Receives packets at `application` and sends packets to `outbound`. Accepts TCP connections at `application`, as targets do for
    /// health checks: their agents check there whether the target runs.
    EchoTarget(const Endpoint &application, const Endpoint &outbound, std::string name);
    ~EchoTarget();
    EchoTarget(const EchoTarget &) = delete;
    EchoTarget &operator=(const EchoTarget &) = delete;

    /// Returns the number of packets received that belonged to no flow of this target.
    [[nodiscard]] std::uint64_t strayPackets() const { return m_strayPackets; }

private:
    struct Flow {
        std::uint32_t sequence = 0;
        bool isOpen = false;
    };

    void run();
    void receive(std::span<const std::byte> packet);
    void send(const PacketSummary &summary, std::string_view data = {});

    DatagramSocket m_socket;
    FileDescriptor m_healthListener;
    Endpoint m_outbound;
    std::string m_name;
    std::unordered_map<FlowKey, Flow> m_flows;
    std::uint32_t m_nextSequence = 1'000;
    std::atomic<std::uint64_t> m_strayPackets = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Papaya
