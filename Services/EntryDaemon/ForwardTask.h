#pragma once

#include "LibCoordination/MemberTable.h"
#include "LibCoordination/RoutingTable.h"
#include "LibProtocol/DaemonSettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/DaemonMessages.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"

#include <optional>

namespace Papaya {

/// Forwards IP packets from the fabric to the first-ranked agent of their flow. Keeps no state of any flow but a bounded
/// cache of hints.
class ForwardTask : public caf::blocking_actor
{
public:
    ForwardTask(caf::actor_config &config, DaemonSettings settings, DatagramSocket fabric, DatagramSocket daemon, caf::actor program);

    void act() override;

private:
    void drainMailbox();
    void onFabricPacket(std::span<const std::byte> packet);
    void onDaemonDatagram(std::span<const std::byte> datagram);
    void onTick();
    void takeMachines(const VmList &machines);
    void rebuildTable();
    void logDecision(const FlowKey &flow, const RouteDecision &decision);
    [[nodiscard]] StatusReport report();
    [[nodiscard]] ExplainReport explain(const std::string &flow) const;

    DaemonSettings m_settings;
    DatagramSocket m_fabric;
    DatagramSocket m_daemon;
    caf::actor m_program;
    EventPoll m_poll;
    MemberId m_self;
    MemberTable m_members;
    std::shared_ptr<const Configuration> m_configuration;
    RoutingTable m_table;
    FlowHints m_hints;
    /// What the table was built from, to notice when it has to be built again.
    std::uint64_t m_tableSignature = 0;
    Metrics m_metrics;
    LogRateLimiter m_logBudget;
    std::array<std::uint64_t, 4> m_routed {};
    std::optional<TimePoint> m_stopAt;
    bool m_isStopped = false;
};

} // namespace Papaya
