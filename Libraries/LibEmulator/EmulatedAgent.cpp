#include "LibEmulator/EmulatedAgent.h"

#include <utility>

namespace Papaya::Emulator {

namespace {

constexpr Duration TickInterval {100};
/// How long a stopping agent may relay packets before it would be killed.
constexpr Duration StopTime {5'000};

std::string verdictName(FlowVerdict verdict)
{
    switch (verdict) {
    case FlowVerdict::Unknown:
        return "unknown";
    case FlowVerdict::Held:
        return "held";
    case FlowVerdict::Denied:
        return "denied";
    }
    return {};
}

std::string describe(const PacketSummary &packet)
{
    if (packet.isInitialSyn())
        return "SYN " + std::to_string(packet.acknowledgement);
    return packet.length > 0 ? "data" : "ACK";
}

} // namespace

EmulatedAgent::EmulatedAgent(EventQueue &events, EmulatedNetwork &network, Endpoint address, std::unique_ptr<EmulatedTarget> target)
    : m_events(events)
    , m_network(network)
    , m_address(address)
    , m_target(std::move(target))
    , m_process(events, [this] { onIteration(); })
{
}

void EmulatedAgent::start(FlowTableState flowTable)
{
    m_relay = AgentRelay {};
    m_relay.pace.limits = m_paceLimits;
    m_relay.service = m_target->options().service;
    m_relay.daemonPort = m_address.port;
    m_relay.startedAt = m_events.now();
    m_relay.agentIncarnation = static_cast<Incarnation>(m_events.now().time_since_epoch().count());
    m_relay.hasCompleteFlowTable = flowTable == FlowTableState::Complete;
    m_tickedAt = {};
    m_stop.reset();
    m_process.start();
}

void EmulatedAgent::stopGracefully(EventQueue::Action onEnded)
{
    m_onEnded = std::move(onEnded);
    m_stop.emplace();
    m_stop->deadline = m_events.now() + StopTime;
    m_stop->targetCheckedAt = m_events.now();
    m_process.post([this] { checkTarget(); });
}

void EmulatedAgent::checkTarget()
{
    if (!m_target->isUp())
        onPortClosed(m_relay, m_events.now(), *this);
}

void EmulatedAgent::continueStop()
{
    if (!m_stop)
        return;
    switch (nextStopStep(*m_stop, m_relay, m_events.now())) {
    case AgentStopStep::Relay:
        return;
    case AgentStopStep::CheckTarget:
        checkTarget();
        return;
    case AgentStopStep::AnnounceRestart:
        announceRestart(m_relay, m_events.now(), *this);
        return;
    case AgentStopStep::End:
        m_stop.reset();
        m_process.stop();
        std::exchange(m_onEnded, {})();
        return;
    }
}

void EmulatedAgent::replaceTarget(std::unique_ptr<EmulatedTarget> target)
{
    m_formerTargets.push_back(std::exchange(m_target, std::move(target)));
    m_formerTargets.back()->crash();
    m_relay.service = m_target->options().service;
}

void EmulatedAgent::receiveFromEntry(const Endpoint &entry, std::vector<std::byte> datagram)
{
    m_process.arrive(ProcessSocket::Daemon, [this, entry, bytes = std::move(datagram)] { handleDatagram(entry, bytes); });
}

void EmulatedAgent::receiveFromTarget(const EmulatedPacket &packet)
{
    m_process.arrive(ProcessSocket::Packets, [this, packet] { handleTargetPacket(packet); });
}

void EmulatedAgent::handleDatagram(const Endpoint &entry, std::span<const std::byte> datagram)
{
    const auto message = decodeRelayDatagram(datagram);
    if (message.has_error())
        return;
    if (const auto *query = std::get_if<RelayQuery>(&message.value())) {
        answer(entry, *query);
        return;
    }
    const auto *envelope = std::get_if<RelayEnvelope>(&message.value());
    if (envelope == nullptr)
        return;
    std::optional<PacketSummary> summary;
    if (!envelope->packet.empty())
        summary = fromBytes(envelope->packet).summary;
    onEnvelope(m_relay, entry, *envelope, summary, m_events.now(), *this);
}

void EmulatedAgent::answer(const Endpoint &entry, const RelayQuery &query)
{
    const auto answer = answerQuery(m_relay, entry, query, m_events.now());
    for (const auto &finding : answer.findings)
        m_network.recordEvent(m_target->options().name, finding.flow, "answers " + verdictName(finding.verdict) + " to " + toString(entry));
    const auto bytes = m_encoder.encode(answer);
    m_network.sendToEntry(m_address, entry, {bytes.begin(), bytes.end()});
}

void EmulatedAgent::handleTargetPacket(const EmulatedPacket &packet)
{
    auto restored = packet;
    if (packet.summary.isReturned) {
        restored.summary.isReturned = false;
        restored.summary.mark = 0;
    }
    const auto bytes = toBytes(restored);
    onTargetPacket(m_relay, packet.summary, bytes, m_events.now(), *this);
}

void EmulatedAgent::sendToTarget(std::span<const std::byte> packet, std::uint32_t mark)
{
    auto copy = fromBytes(packet);
    copy.summary.mark = mark;
    if (m_target->isUp()) {
        const bool isNew = !m_target->holds(copy.summary.flow);
        m_network.recordEvent(
            m_target->options().name, copy.summary.flow, (isNew ? "other target gets " : "own target gets ") + describe(copy.summary));
        m_target->receive(copy);
        if (isNew && m_target->holds(copy.summary.flow)) {
            m_network.recordEvent(m_target->options().name, copy.summary.flow, "flow open at target");
            m_network.recordOpened(m_address, copy.summary.flow);
        }
        m_network.recordTargetPacket(m_address, copy.summary);
        return;
    }
    if (!m_target->isDraining())
        onPortClosed(m_relay, m_events.now(), *this);
}

void EmulatedAgent::sendToCaller(const Endpoint &, std::span<const std::byte> packet)
{
    m_network.sendToCallers(fromBytes(packet));
}

void EmulatedAgent::sendNotice(const Endpoint &entry, const RelayNotice &notice)
{
    m_network.recordEvent(
        m_target->options().name, notice.flow, "notice " + std::string(noticeKindName(notice.kind)) + " to " + toString(entry));
    const auto bytes = m_encoder.encode(notice);
    m_network.sendToEntry(m_address, entry, {bytes.begin(), bytes.end()});
}

void EmulatedAgent::sendReport(const Endpoint &entry, const RelayReport &report)
{
    const auto bytes = m_encoder.encode(report);
    m_network.sendToEntry(m_address, entry, {bytes.begin(), bytes.end()});
}

void EmulatedAgent::onIteration()
{
    const auto now = m_events.now();
    if (now - m_tickedAt >= TickInterval) {
        m_tickedAt = now;
        onAgentTick(m_relay, now, *this);
    }
    continueStop();
}

} // namespace Papaya::Emulator
