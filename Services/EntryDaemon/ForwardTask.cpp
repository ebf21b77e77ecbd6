#include "ForwardTask.h"

#include "LibCoordination/FlowMessages.h"
#include "LibCoordination/PeerSelection.h"
#include "LibCoordination/RendezvousHash.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"
#include "LibTransport/ExplainFlow.h"
#include "LibTransport/MonotonicClock.h"

#include <nlohmann/json.hpp>

namespace Papaya {

namespace {

constexpr std::uint64_t FabricToken = 1;
constexpr std::uint64_t DaemonToken = 2;
constexpr Duration PollTime {20};
/// Lines on single packets are for watching, not for accounting: the counters have every packet.
constexpr int PacketLinesPerSecond = 5;
/// The time for which a stopping daemon goes on forwarding, while the fabric learns that it leaves.
constexpr Duration StopDelay {2'000};
constexpr std::size_t HintSlots = 65'536;
constexpr std::size_t ExplainedRanks = 4;

} // namespace

ForwardTask::ForwardTask(caf::actor_config &config,
                         DaemonSettings settings,
                         DatagramSocket fabric,
                         DatagramSocket daemon,
                         caf::actor program)
    : caf::blocking_actor(config)
    , m_settings(std::move(settings))
    , m_fabric(std::move(fabric))
    , m_daemon(std::move(daemon))
    , m_program(std::move(program))
    , m_self(hashOf(m_settings.name))
    , m_hints(HintSlots)
    , m_logBudget(PacketLinesPerSecond)
{
}

void ForwardTask::act()
{
    m_poll.addReader(m_fabric.descriptor(), FabricToken);
    m_poll.addReader(m_daemon.descriptor(), DaemonToken);
    while (!m_isStopped) {
        m_poll.wait(PollTime, [&](std::uint64_t token) {
            if (token == FabricToken)
                m_fabric.receive([&](std::span<const std::byte> packet, const Endpoint &) { onFabricPacket(packet); });
            else
                m_daemon.receive([&](std::span<const std::byte> datagram, const Endpoint &) { onDaemonDatagram(datagram); });
        });
        drainMailbox();
    }
    send(m_program, Stopped {});
}

void ForwardTask::drainMailbox()
{
    while (!mailbox().empty()) {
        receive([&](Tick) { onTick(); },
                [&](const ConfigurationInForce &inForce) {
                    m_configuration = inForce.configuration;
                    rebuildTable();
                },
                [&](const VmListInForce &inForce) { takeMachines(*inForce.list); },
                [&](StatusRequest) { return report(); },
                [&](const ExplainRequest &question) { return explain(question.flow); },
                [&](Stop) { m_stopAt = currentTime() + StopDelay; });
    }
}

void ForwardTask::onFabricPacket(std::span<const std::byte> packet)
{
    const auto segment = parsePacket(packet, PacketDirection::FromCaller);
    if (segment.has_error()) {
        m_metrics.count("packets_dropped", segment.error().subject);
        return;
    }
    const auto &flow = segment.value().flow;
    const auto decision = segment.value().isSyn ? routeFlow(m_table, flow) : routeFlowByHints(m_table, m_hints, flow, currentTime());
    ++m_routed[static_cast<std::size_t>(decision.reason)];
    logDecision(flow, decision);
    if (decision.destination == nullptr)
        return;
    const Envelope header {decision.route->service, m_table.revision, 0, m_self, m_settings.daemon, {}};
    m_daemon.send(decision.destination->daemon, encodeEnvelope(header, packet));
}

void ForwardTask::onDaemonDatagram(std::span<const std::byte> datagram)
{
    const auto message = decodeDatagram(datagram);
    if (message.has_error()) {
        m_metrics.count("datagrams_dropped", failureKindName(message.error().kind));
        return;
    }
    const auto now = currentTime();
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message.value()))
        applyHeartbeat(m_members, *heartbeat, now);
    else if (const auto *hint = std::get_if<LocateReply>(&message.value()); hint != nullptr && hint->isFound)
        m_hints.set(hint->flow, hint->owner, now + HintLifetime);
    else
        m_metrics.count("datagrams_dropped", "unexpected_message");
}

void ForwardTask::onTick()
{
    const auto now = currentTime();
    if (tick(m_members, now))
        EventLog("pause_detected", LogLevel::Warning).with("name", m_settings.name);
    rebuildTable();
    if (const auto suppressed = m_logBudget.takeSuppressed(); suppressed > 0 && m_logBudget.allow(now))
        EventLog("packet_lines_suppressed").with("count", suppressed);
    if (m_stopAt && now >= *m_stopAt)
        m_isStopped = true;
}

void ForwardTask::takeMachines(const VmList &machines)
{
    if (!applyVmList(m_members, machines, currentTime()))
        return;
    m_members.unobserved = unobservedBy(machines.machines, m_settings.name, PeerLimits {});
    rebuildTable();
}

void ForwardTask::rebuildTable()
{
    if (!m_configuration)
        return;
    const auto now = currentTime();
    const auto signature = eligibilitySignature(m_members, now) + m_configuration->revision;
    if (signature == m_tableSignature)
        return;
    m_tableSignature = signature;
    m_table = buildRoutingTable(*m_configuration, membersOfServices(m_members, *m_configuration, now));
    for (const auto &route : m_table.services)
        EventLog("routing_table").with("revision", m_table.revision).with("service", route.name).with("eligible", route.eligible.size());
}

void ForwardTask::logDecision(const FlowKey &flow, const RouteDecision &decision)
{
    if (!m_logBudget.allow(currentTime()))
        return;
    EventLog("packet_routed")
        .with("flow", toString(flow))
        .with("reason", routeReasonName(decision.reason))
        .with("service", decision.route == nullptr ? "-" : decision.route->name)
        .with("target", decision.destination == nullptr ? "-" : decision.destination->name)
        .with("revision", m_table.revision);
}

StatusReport ForwardTask::report()
{
    for (std::size_t reason = 0; reason < m_routed.size(); ++reason) {
        const auto name = routeReasonName(static_cast<RouteReason>(reason));
        m_metrics.count("packets_routed", name, std::exchange(m_routed[reason], 0));
    }
    nlohmann::json status;
    status["name"] = m_settings.name;
    status["role"] = "entry";
    status["revision"] = m_table.revision;
    status["vm_list_version"] = m_members.machines.version;
    status["stopping"] = m_stopAt.has_value();
    for (const auto &route : m_table.services) {
        for (const auto &member : route.eligible)
            status["services"][route.name]["targets"].push_back(member.name);
        m_metrics.setGauge("eligible_targets_" + route.name, static_cast<double>(route.eligible.size()));
    }
    m_metrics.setGauge("configuration_revision", static_cast<double>(m_table.revision));
    StatusReport report;
    report.isReady = m_table.revision > 0 && !m_members.machines.machines.empty() && !m_stopAt;
    report.statusJson = status.dump();
    report.metricsText = m_metrics.prometheusText();
    return report;
}

ExplainReport ForwardTask::explain(const std::string &text) const
{
    return explainFlow(text, [&](const FlowKey &flow, nlohmann::json &answer) {
        const auto decision = routeFlow(m_table, flow);
        answer["reason"] = routeReasonName(decision.reason);
        answer["revision"] = m_table.revision;
        if (decision.route == nullptr)
            return;
        answer["service"] = decision.route->name;
        for (const auto index : rendezvousRank(decision.route->eligibleIds, hashOf(flow), ExplainedRanks))
            answer["ranking"].push_back(decision.route->eligible[index].name);
    });
}

} // namespace Papaya
