#include "ForwardTask.h"

#include "LibBalancing/RendezvousHash.h"
#include "LibCoordination/FlowMessages.h"
#include "LibCoordination/PeerSelection.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"
#include "LibTransport/ExplainFlow.h"
#include "LibTransport/MonotonicClock.h"

#include <nlohmann/json.hpp>

namespace Papaya {

namespace {

constexpr std::uint64_t FabricToken = 1;
constexpr std::uint64_t DaemonToken = 2;
constexpr Duration PollTimeout {20};
/// Limit for log lines about single packets. The lines are only a sample; the metrics count every packet.
constexpr int PacketLinesPerSecond = 5;
/// A stopping daemon keeps forwarding for this long, which gives the fabric time to stop sending it packets.
constexpr Duration StopDelay {2'000};
constexpr std::size_t HintSlots = 65'536;
/// Number of targets in the ranking that explain() returns.
constexpr std::size_t ExplainedRanks = 4;

} // namespace

ForwardTask::ForwardTask(caf::actor_config &config,
                         DaemonSettings settings,
                         DatagramSocket fabric,
                         DatagramSocket daemon,
                         caf::actor program)
    : caf::blocking_actor(config)
    , m_settings(std::move(settings))
    , m_fabricSocket(std::move(fabric))
    , m_daemonSocket(std::move(daemon))
    , m_program(std::move(program))
    , m_memberId(hashOf(m_settings.name))
    , m_hints(HintSlots)
    , m_packetLogLimiter(PacketLinesPerSecond)
{
}

void ForwardTask::act()
{
    m_poll.addReader(m_fabricSocket.descriptor(), FabricToken);
    m_poll.addReader(m_daemonSocket.descriptor(), DaemonToken);
    while (!m_isStopped) {
        m_poll.wait(PollTimeout, [&](std::uint64_t token) {
            if (token == FabricToken)
                m_fabricSocket.receive([&](std::span<const std::byte> packet, const Endpoint &) { onFabricPacket(packet); });
            else
                m_daemonSocket.receive([&](std::span<const std::byte> datagram, const Endpoint &) { onDaemonDatagram(datagram); });
        });
        processMessages();
    }
    send(m_program, Stopped {});
}

void ForwardTask::processMessages()
{
    drainMailbox(
        *this,
        m_messageGuard,
        [&](Tick) { onTick(); },
        [&](const ConfigurationInForce &inForce) {
            m_configuration = inForce.configuration;
            rebuildRoutingTable();
        },
        [&](const VmListInForce &inForce) { onVmList(*inForce.list); },
        answerRequest<StatusRequest>(m_messageGuard, [&](const StatusRequest &) { return report(); }),
        answerRequest<ExplainRequest>(m_messageGuard, [&](const ExplainRequest &request) { return explain(request.flow); }),
        [&](Stop) { m_stopAt = currentTime() + StopDelay; });
}

void ForwardTask::onFabricPacket(std::span<const std::byte> packet)
{
    const auto segment = parsePacket(packet, PacketDirection::FromCaller);
    if (segment.has_error()) {
        m_metrics.count("packets_dropped", segment.error().subject);
        return;
    }
    const auto &flow = segment.value().flow;
    const auto decision =
        segment.value().isSyn ? routeFlow(m_routingTable, flow) : routeFlowByHints(m_routingTable, m_hints, flow, currentTime());
    ++m_packetsByReason[static_cast<std::size_t>(decision.reason)];
    logDecision(flow, decision);
    if (decision.destination == nullptr)
        return;
    const Envelope header {decision.route->service, m_routingTable.revision, 0, m_memberId, m_settings.daemon, {}};
    m_daemonSocket.send(decision.destination->daemon, encodeEnvelope(header, packet));
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
    rebuildRoutingTable();
    if (const auto suppressed = m_packetLogLimiter.takeSuppressed(); suppressed > 0 && m_packetLogLimiter.allow(now))
        EventLog("packet_lines_suppressed").with("count", suppressed);
    if (m_stopAt && now >= *m_stopAt)
        m_isStopped = true;
}

void ForwardTask::onVmList(const VmList &vmList)
{
    if (!applyVmList(m_members, vmList, currentTime()))
        return;
    m_members.unobserved = unobservedBy(vmList.machines, m_settings.name, PeerLimits {});
    rebuildRoutingTable();
}

void ForwardTask::rebuildRoutingTable()
{
    if (!m_configuration)
        return;
    const auto now = currentTime();
    const auto signature = eligibilitySignature(m_members, now) + m_configuration->revision;
    if (signature == m_routingTableSignature)
        return;
    m_routingTableSignature = signature;
    m_routingTable = buildRoutingTable(*m_configuration, membersOfServices(m_members, *m_configuration, now));
    for (const auto &route : m_routingTable.services)
        EventLog("routing_table")
            .with("revision", m_routingTable.revision)
            .with("service", route.name)
            .with("eligible", route.eligible.size());
}

void ForwardTask::logDecision(const FlowKey &flow, const RouteDecision &decision)
{
    if (!m_packetLogLimiter.allow(currentTime()))
        return;
    EventLog("packet_routed")
        .with("flow", toString(flow))
        .with("reason", routeReasonName(decision.reason))
        .with("service", decision.route == nullptr ? "-" : decision.route->name)
        .with("target", decision.destination == nullptr ? "-" : decision.destination->name)
        .with("revision", m_routingTable.revision);
}

StatusReport ForwardTask::report()
{
    for (std::size_t reason = 0; reason < m_packetsByReason.size(); ++reason) {
        const auto name = routeReasonName(static_cast<RouteReason>(reason));
        m_metrics.count("packets_routed", name, std::exchange(m_packetsByReason[reason], 0));
    }
    nlohmann::json status;
    status["name"] = m_settings.name;
    status["role"] = "entry";
    status["revision"] = m_routingTable.revision;
    status["vm_list_version"] = m_members.machines.version;
    status["stopping"] = m_stopAt.has_value();
    for (const auto &route : m_routingTable.services) {
        for (const auto &member : route.eligible)
            status["services"][route.name]["targets"].push_back(member.name);
        m_metrics.setGauge("eligible_targets_" + route.name, static_cast<double>(route.eligible.size()));
    }
    m_metrics.setGauge("configuration_revision", static_cast<double>(m_routingTable.revision));
    StatusReport report;
    report.isReady = m_routingTable.revision > 0 && !m_members.machines.machines.empty() && !m_stopAt;
    report.statusJson = status.dump();
    report.metricsText = m_metrics.prometheusText();
    return report;
}

ExplainReport ForwardTask::explain(const std::string &text) const
{
    return explainFlow(text, [&](const FlowKey &flow, nlohmann::json &answer) {
        const auto decision = routeFlow(m_routingTable, flow);
        answer["reason"] = routeReasonName(decision.reason);
        answer["revision"] = m_routingTable.revision;
        if (decision.route == nullptr)
            return;
        answer["service"] = decision.route->name;
        for (const auto index : rendezvousRank(decision.route->eligibleIds, hashOf(flow), ExplainedRanks))
            answer["ranking"].push_back(decision.route->eligible[index].name);
    });
}

} // namespace Papaya
