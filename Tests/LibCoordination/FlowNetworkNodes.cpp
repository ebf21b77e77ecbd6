#include "LibCoordination/FlowNetworkNodes.h"

#include <algorithm>
#include <cstring>

/// The behaviour of the entry daemons, agents and callers of a FlowNetwork.
namespace Papaya {

namespace {

constexpr Duration TickInterval {100};
constexpr Duration HeartbeatInterval {500};
constexpr Duration SynRetry {1'000};
constexpr Duration SegmentRetry {300};
constexpr Duration SegmentInterval {700};
/// A leaving target must get no new work after a few seconds; issue 4 states 5 s.
constexpr Duration LeavingBound {5'000};

std::vector<std::byte> toBytes(const SegmentSummary &segment)
{
    std::vector<std::byte> bytes(sizeof(segment));
    std::memcpy(bytes.data(), &segment, sizeof(segment));
    return bytes;
}

SegmentSummary fromBytes(std::span<const std::byte> bytes)
{
    SegmentSummary segment;
    std::memcpy(&segment, bytes.data(), sizeof(segment));
    return segment;
}

} // namespace

void FlowNetwork::handleAtEntry(Entry &entry, const Event &event)
{
    if (const auto *list = std::get_if<VmList>(&event.payload)) {
        (void)applyVmList(entry.members, *list, m_now);
    } else if (const auto *message = std::get_if<FlowMessage>(&event.payload)) {
        if (const auto *heartbeat = std::get_if<Heartbeat>(message))
            applyHeartbeat(entry.members, *heartbeat, m_now);
        else if (const auto *hint = std::get_if<LocateReply>(message); hint != nullptr && hint->isFound && m_usesHints)
            entry.hints.set(hint->flow, hint->owner, m_now + HintLifetime);
    } else if (const auto *segment = std::get_if<SegmentSummary>(&event.payload)) {
        const auto decision =
            segment->isSyn ? routeFlow(entry.table, segment->flow) : routeFlowByHints(entry.table, entry.hints, segment->flow, m_now);
        if (decision.destination != nullptr)
            transmit(decision.destination->daemon, Envelope {decision.route->service, 1, 0, 1, entry.daemon, toBytes(*segment)}, 1);
    }
}

void FlowNetwork::handleAtAgent(Agent &agent, const FlowMessage &message)
{
    if (const auto *envelope = std::get_if<Envelope>(&message))
        executeEffects(agent, onEnvelope(agent.flows, *envelope, fromBytes(envelope->packet), m_now), envelope->hops);
    else if (const auto *query = std::get_if<LocateQuery>(&message))
        executeEffects(agent, onLocateQuery(agent.flows, *query, m_now), 0);
    else if (const auto *reply = std::get_if<LocateReply>(&message))
        executeEffects(agent, onLocateReply(agent.flows, *reply, m_now), 0);
    else if (const auto *announce = std::get_if<Announce>(&message))
        executeEffects(agent, onAnnounce(agent.flows, *announce, m_now), 0);
    else if (const auto *release = std::get_if<Release>(&message))
        onRelease(agent.flows, *release);
    else if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        applyHeartbeat(agent.members, *heartbeat, m_now);
}

void FlowNetwork::handleAtCaller(const SegmentToCaller &segment)
{
    auto &caller = *m_callerByFlow.at(segment.flow);
    if (caller.stage == Caller::Stage::Ended)
        return;
    switch (segment.kind) {
    case SegmentToCaller::Kind::SynAck:
        if (caller.stage == Caller::Stage::Opening) {
            caller.stage = Caller::Stage::Established;
            caller.remoteSequence = segment.sequence;
            ++m_counts.established;
        }
        // The caller answers every SYN with an ACK, also a repeated SYN and the SYN of another agent. The ACK carries the sequence
        // number that the caller expects next from the first agent.
        sendFromCaller(caller, {caller.flow, 1, caller.remoteSequence + 1, false, false, true});
        return;
    case SegmentToCaller::Kind::Answer:
        if (segment.sequence == caller.remoteSequence)
            caller.unansweredSince.reset();
        return;
    case SegmentToCaller::Kind::Probe:
        // The caller answers a segment outside its receive window with an ACK.
        if (caller.stage == Caller::Stage::Established)
            sendFromCaller(caller, {caller.flow, 1, caller.remoteSequence + 1, false, false, true});
        return;
    case SegmentToCaller::Kind::Reset:
        if (caller.stage == Caller::Stage::Opening)
            ++m_counts.refused;
        else if (isHeldByRunningStack(caller))
            ++m_counts.brokenWhileOwned;
        else
            ++m_counts.resetAfterLoss;
        caller.stage = Caller::Stage::Ended;
        return;
    }
}

void FlowNetwork::executeEffects(Agent &agent, const Effects &effects, std::uint8_t hops)
{
    for (const auto &effect : effects) {
        if (const auto *send = std::get_if<SendMessage>(&effect))
            transmit(send->to, send->message, agent.flows.self);
        else if (const auto *packet = std::get_if<DeliverPacket>(&effect))
            deliver(agent, packet->packet, hops);
        else if (const auto *reset = std::get_if<SendReset>(&effect))
            transmitToCaller({SegmentToCaller::Kind::Reset, fromBytes(reset->packet).flow, 0});
        else if (const auto *probe = std::get_if<SendProbe>(&effect))
            transmitToCaller({SegmentToCaller::Kind::Probe, probe->flow, probe->sequence});
        else if (const auto *drop = std::get_if<DropConnection>(&effect))
            agent.stack.erase(drop->flow);
        else if (const auto *decided = std::get_if<RecordDecision>(&effect)) {
            const bool isAccepted = decided->reason == PlacementReason::Taken || decided->reason == PlacementReason::TakenAtLastHop;
            if (isAccepted && agent.leavingSince && m_now - *agent.leavingSince > LeavingBound)
                ++m_counts.acceptedWhileLeaving;
        }
    }
}

void FlowNetwork::deliver(Agent &agent, std::span<const std::byte> packet, std::uint8_t hops)
{
    const auto segment = fromBytes(packet);
    const auto &caller = *m_callerByFlow.at(segment.flow);
    ++m_delivered;
    m_hops += hops;
    if (segment.isSyn) {
        const auto [entry, isNew] = agent.stack.try_emplace(segment.flow, m_nextSequence);
        if (isNew)
            m_nextSequence += 1'000;
        onHandshakeSent(agent.flows, segment.flow, entry->second);
        transmitToCaller({SegmentToCaller::Kind::SynAck, segment.flow, entry->second});
        return;
    }
    const auto connection = agent.stack.find(segment.flow);
    const bool belongsToConnection = connection != agent.stack.end() && segment.acknowledgement == connection->second + 1;
    if (!belongsToConnection) {
        if (caller.stage == Caller::Stage::Established)
            ++m_counts.misdelivered;
        // A TCP stack answers a segment that belongs to none of its connections with a reset.
        transmitToCaller({SegmentToCaller::Kind::Reset, segment.flow, 0});
        return;
    }
    onEstablished(agent.flows, segment.flow, m_now);
    transmitToCaller({SegmentToCaller::Kind::Answer, segment.flow, connection->second});
}

void FlowNetwork::tickAgent(Agent &agent)
{
    if (!agent.isRunning || agent.isPaused || m_now - agent.lastTickAt < TickInterval)
        return;
    agent.lastTickAt = m_now;
    if (tick(agent.members, m_now))
        agent.flows.ownerSearches.clear();
    const bool isLeaving =
        std::any_of(agent.members.machines.machines.begin(), agent.members.machines.machines.end(), [&](const auto &machine) {
            return machine.name == agent.name && machine.state == VmState::Leaving;
        });
    auto members = membersOfGroup(agent.members, "ledger", m_now);
    for (auto &member : members) {
        if (member.id != agent.flows.self)
            continue;
        member.health = MemberHealth::Alive;
        member.incarnation = agent.flows.incarnation;
    }
    setMembers(agent.flows, std::move(members));
    retryHandshakes(agent);
    agent.flows.load.isLeaving = isLeaving;
    agent.flows.load.report.connections = static_cast<std::uint32_t>(agent.stack.size());
    executeEffects(agent, onTick(agent.flows, m_now), 0);
    if (m_now - agent.lastHeartbeatAt < HeartbeatInterval)
        return;
    agent.lastHeartbeatAt = m_now;
    const Heartbeat heartbeat {agent.flows.self, agent.daemon, agent.flows.incarnation, isLeaving, 1, agent.flows.load.report};
    for (const auto &other : m_agents) {
        if (other->name != agent.name)
            transmit(other->daemon, heartbeat, agent.flows.self);
    }
    for (const auto &entry : m_entries)
        transmit(entry->daemon, heartbeat, agent.flows.self);
}

/// Retransmits the SYN of each connection in an agent's TCP stack until the caller acknowledges it.
void FlowNetwork::retryHandshakes(Agent &agent)
{
    if (m_now - agent.handshakesRetriedAt < SynRetry)
        return;
    agent.handshakesRetriedAt = m_now;
    for (const auto &[flow, record] : agent.flows.owned) {
        if (record.stage == FlowStage::Embryonic && agent.stack.contains(flow))
            transmitToCaller({SegmentToCaller::Kind::SynAck, flow, agent.stack.at(flow)});
    }
}

void FlowNetwork::tickEntry(Entry &entry)
{
    if (m_now - entry.lastTickAt < TickInterval)
        return;
    entry.lastTickAt = m_now;
    (void)tick(entry.members, m_now);
    entry.table = buildRoutingTable(m_configuration, membersOfServices(entry.members, m_configuration, m_now));
}

void FlowNetwork::tickCaller(Caller &caller)
{
    if (caller.stage == Caller::Stage::Opening && m_now - caller.sentAt >= SynRetry) {
        sendFromCaller(caller, {caller.flow, 0, 0, true, false, false});
        return;
    }
    if (caller.stage != Caller::Stage::Established)
        return;
    if (caller.unansweredSince && m_now - caller.sentAt >= SegmentRetry) {
        sendFromCaller(caller, {caller.flow, 1, caller.remoteSequence + 1, false, false, true});
    } else if (!caller.unansweredSince && !caller.isIdle && m_now - caller.sentAt >= SegmentInterval) {
        caller.unansweredSince = m_now;
        sendFromCaller(caller, {caller.flow, 1, caller.remoteSequence + 1, false, false, true});
    }
}

void FlowNetwork::sendFromCaller(Caller &caller, const SegmentSummary &segment)
{
    caller.sentAt = m_now;
    const int copies = chance(m_faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        // Each copy may reach a different entry daemon.
        const auto &entry = *m_entries[std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random)];
        if (!chance(m_faults.loss))
            schedule(m_now + randomDelay(m_faults.delayLimit), {m_now, 0, entry.daemon, segment});
    }
}

bool FlowNetwork::isHeldByRunningStack(const Caller &caller) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &agent) {
        const auto connection = agent->stack.find(caller.flow);
        return agent->isRunning && !agent->isPaused && connection != agent->stack.end() && connection->second == caller.remoteSequence;
    });
}

} // namespace Papaya
