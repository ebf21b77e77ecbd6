#pragma once

#include "LibCoordination/MemberTable.h"
#include "LibCoordination/RoutingTable.h"
#include "LibProtocol/DaemonSettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/DaemonMessages.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/MessageGuard.h"

#include <optional>

namespace Papaya {

/// Forwards IP packets from the fabric to agents. A SYN goes to the first-ranked agent of its flow. Any other packet goes to the agent
/// that a hint names as the owner of the flow, or to the first-ranked agent if there is no valid hint. The hints are a bounded cache and
/// the only state kept per flow.
class ForwardTask : public caf::blocking_actor
{
public:
    ForwardTask(caf::actor_config &config, DaemonSettings settings, DatagramSocket fabric, DatagramSocket daemon, caf::actor program);

    void act() override;

private:
    void processMessages();
    void onFabricPacket(std::span<const std::byte> packet);
    void onDaemonDatagram(std::span<const std::byte> datagram);
    void onTick();
    void onVmList(const VmList &vmList);
    void rebuildRoutingTable();
    void logDecision(const FlowKey &flow, const RouteDecision &decision);
    [[nodiscard]] StatusReport report();
    [[nodiscard]] ExplainReport explain(const std::string &flow) const;

    DaemonSettings m_settings;
    DatagramSocket m_fabricSocket;
    DatagramSocket m_daemonSocket;
    caf::actor m_program;
    EventPoll m_poll;
    MemberId m_memberId;
    MemberTable m_members;
    std::shared_ptr<const Configuration> m_configuration;
    RoutingTable m_routingTable;
    FlowHints m_hints;
    /// Signature of the members and the configuration that the routing table was built from. The table is rebuilt when the signature
    /// changes.
    std::uint64_t m_routingTableSignature = 0;
    Metrics m_metrics;
    LogRateLimiter m_packetLogLimiter;
    std::array<std::uint64_t, 4> m_packetsByReason {};
    std::optional<TimePoint> m_stopAt;
    bool m_isStopped = false;
    MessageGuard m_messageGuard;
};

} // namespace Papaya
