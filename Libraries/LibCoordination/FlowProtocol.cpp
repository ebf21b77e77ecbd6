#include "LibCoordination/FlowProtocol.h"

#include "LibCoordination/FlowPlacement.h"
#include "LibCoordination/FlowSearch.h"

#include <algorithm>

namespace Papaya {

namespace {

Envelope passOn(const AgentFlows &agent, const Envelope &envelope)
{
    Envelope copy = envelope;
    copy.hops = static_cast<std::uint8_t>(envelope.hops + 1);
    copy.sender = agent.self;
    copy.senderDaemon = agent.selfDaemon;
    return copy;
}

bool remember(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry)
{
    if (agent.directory.size() >= agent.limits.directoryLimit && !agent.directory.contains(flow))
        return false;
    agent.directory[flow] = entry;
    return true;
}

bool isDirectoryEntryUsable(const AgentFlows &agent, const DirectoryEntry &entry, TimePoint now)
{
    if (entry.expiresAt <= now || entry.probesSent > 0)
        return false;
    const auto *owner = findMember(agent, entry.owner);
    // An owner that is not in the list yet may have just joined; its own announcement vouches for it.
    if (owner == nullptr)
        return true;
    if (owner->health == MemberHealth::Expired)
        return false;
    return entry.incarnation == 0 || owner->incarnation == 0 || owner->incarnation == entry.incarnation;
}

bool isOwnHandshake(const FlowRecord &record, const SegmentSummary &segment)
{
    if (record.stage != FlowStage::Embryonic || segment.isSyn || !segment.hasAcknowledgement)
        return true;
    return !record.initialSequence || segment.acknowledgement == *record.initialSequence + 1;
}

void takeFlow(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, PlacementReason reason, TimePoint now, Effects &effects)
{
    FlowRecord record;
    record.changedAt = now;
    agent.owned[flow] = record;
    agent.directory.erase(flow);
    agent.ownerSearches.erase(flow);
    effects.emplace_back(RecordDecision {flow, reason, agent.self});
    effects.emplace_back(DeliverPacket {envelope.packet});
}

/// Places a SYN that belongs to no flow known here.
void placeNewFlow(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects)
{
    const auto reason = decideNewFlow(agent, envelope.hops);
    if (reason == PlacementReason::Taken || reason == PlacementReason::TakenAtLastHop) {
        takeFlow(agent, envelope, flow, reason, now, effects);
        return;
    }
    // An agent that cannot take the flow at all may pass it on further than one that would only rather not.
    const auto handOnLimit = reason == PlacementReason::HandedOn ? agent.limits.handOnLimit : agent.limits.hopLimit - 1;
    const auto *next = envelope.hops < handOnLimit ? chooseNext(agent, flow, envelope.sender) : nullptr;
    if (next == nullptr && reason == PlacementReason::HandedOn) {
        takeFlow(agent, envelope, flow, PlacementReason::TakenAtLastHop, now, effects);
        return;
    }
    if (next == nullptr) {
        effects.emplace_back(RecordDecision {flow, reason, 0});
        // While others could take the flow, a reset would be wrong: the caller repeats its SYN, and the views agree by then.
        if (chooseNext(agent, flow, 0) == nullptr)
            effects.emplace_back(SendReset {envelope.packet});
        return;
    }
    DirectoryEntry entry;
    entry.owner = next->id;
    entry.ownerDaemon = next->daemon;
    entry.incarnation = next->incarnation;
    entry.expiresAt = now + agent.limits.embryonicTime;
    entry.forwardedAtHops = envelope.hops;
    if (!remember(agent, flow, entry)) {
        takeFlow(agent, envelope, flow, PlacementReason::TableFull, now, effects);
        return;
    }
    effects.emplace_back(RecordDecision {flow, PlacementReason::HandedOn, next->id});
    effects.emplace_back(SendMessage {next->daemon, passOn(agent, envelope)});
}

/// Returns whether a new flow came back to an agent that had handed it on, as it can when agents see the members differently.
bool hasComeBack(const DirectoryEntry &entry, const Envelope &envelope)
{
    return entry.forwardedAtHops && envelope.hops > *entry.forwardedAtHops;
}

/// Tells the entry daemon that sent a packet where the flow's next ones may go at once.
void hintSender(const AgentFlows &agent,
                const Envelope &envelope,
                const FlowKey &flow,
                DirectoryEntry &entry,
                TimePoint now,
                Effects &effects)
{
    if (now - entry.hintedAt < agent.limits.hintInterval)
        return;
    entry.hintedAt = now;
    const LocateReply hint {flow, agent.self, true, entry.owner, entry.ownerDaemon, entry.incarnation};
    effects.emplace_back(SendMessage {envelope.senderDaemon, hint});
}

/// Routes a packet of a flow that this agent does not own.
void routeForeign(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now, Effects &effects)
{
    const auto &flow = segment.flow;
    const auto entry = agent.directory.find(flow);
    const bool isUsable = entry != agent.directory.end() && entry->second.owner != envelope.sender && !hasComeBack(entry->second, envelope)
                          && isDirectoryEntryUsable(agent, entry->second, now);
    if (isUsable) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::DirectoryOwner, entry->second.owner});
        effects.emplace_back(SendMessage {entry->second.ownerDaemon, passOn(agent, envelope)});
        if (envelope.hops == 0 && !entry->second.forwardedAtHops)
            hintSender(agent, envelope, flow, entry->second, now, effects);
        return;
    }
    if (segment.isReset) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::StrayReset, 0});
        return;
    }
    if (segment.isSyn && !segment.hasAcknowledgement) {
        placeNewFlow(agent, envelope, flow, now, effects);
        return;
    }
    if (envelope.hops > 0) {
        const LocateReply reply {flow, agent.self, false, 0, {}, 0};
        effects.emplace_back(SendMessage {envelope.senderDaemon, reply});
    }
    startLocate(agent, envelope, flow, now, effects);
}

/// Returns why an envelope must not be handled here at all, or nothing.
std::optional<PlacementReason> findRefusal(const AgentFlows &agent, const Envelope &envelope, const FlowKey &flow)
{
    if (envelope.service != agent.service || agent.service == 0)
        return PlacementReason::WrongService;
    if (envelope.hops >= agent.limits.hopLimit)
        return PlacementReason::HopLimit;
    if (agent.owned.contains(flow))
        return std::nullopt;
    const auto isServed =
        std::find(agent.serviceAddresses.begin(), agent.serviceAddresses.end(), flow.service) != agent.serviceAddresses.end();
    if (isServed)
        return std::nullopt;
    return envelope.revision > agent.revision ? PlacementReason::RevisionBehind : PlacementReason::UnknownAddress;
}

} // namespace

const Member *findMember(const AgentFlows &agent, MemberId id)
{
    const auto found = std::find_if(agent.members.begin(), agent.members.end(), [&](const Member &member) { return member.id == id; });
    return found == agent.members.end() ? nullptr : &*found;
}

void eraseOwned(AgentFlows &agent, FlowTable::iterator flow)
{
    if (flow->second.witness != 0)
        agent.released.emplace_back(flow->second.witness, flow->first);
    agent.owned.erase(flow);
}

Effects onEnvelope(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now)
{
    Effects effects;
    const auto &flow = segment.flow;
    if (const auto refusal = findRefusal(agent, envelope, flow)) {
        effects.emplace_back(RecordDecision {flow, *refusal, 0});
        return effects;
    }
    const auto owned = agent.owned.find(flow);
    if (owned == agent.owned.end()) {
        routeForeign(agent, envelope, segment, now, effects);
        return effects;
    }
    if (!isOwnHandshake(owned->second, segment)) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::ForeignHandshake, 0});
        startLocate(agent, envelope, flow, now, effects);
        return effects;
    }
    effects.emplace_back(RecordDecision {flow, PlacementReason::Owned, agent.self});
    effects.emplace_back(DeliverPacket {envelope.packet});
    return effects;
}

Effects onLocateQuery(AgentFlows &agent, const LocateQuery &query, TimePoint now)
{
    LocateReply reply {query.flow, agent.self, false, 0, {}, 0};
    const auto owned = agent.owned.find(query.flow);
    const auto entry = agent.directory.find(query.flow);
    if (owned != agent.owned.end()) {
        reply = {query.flow, agent.self, true, agent.self, agent.selfDaemon, agent.incarnation};
    } else if (entry != agent.directory.end() && entry->second.owner != query.sender && isDirectoryEntryUsable(agent, entry->second, now)) {
        reply = {query.flow, agent.self, true, entry->second.owner, entry->second.ownerDaemon, entry->second.incarnation};
    }
    return {SendMessage {query.senderDaemon, reply}};
}

Effects onLocateReply(AgentFlows &agent, const LocateReply &reply, TimePoint now)
{
    Effects effects;
    const auto pending = agent.ownerSearches.find(reply.flow);
    if (!reply.isFound) {
        const auto entry = agent.directory.find(reply.flow);
        // An entry whose owner is lost stays until all its probes were sent.
        if (entry != agent.directory.end() && entry->second.owner == reply.sender && entry->second.probesSent == 0)
            agent.directory.erase(entry);
        if (pending == agent.ownerSearches.end())
            return effects;
        std::erase(pending->second.awaiting, reply.sender);
        return effects;
    }
    if (pending == agent.ownerSearches.end() || reply.owner == agent.self)
        return effects;
    if (const auto owned = agent.owned.find(reply.flow); owned != agent.owned.end()) {
        // The caller completed another agent's handshake, so ours must not answer any more.
        effects.emplace_back(DropConnection {reply.flow});
        eraseOwned(agent, owned);
    }
    const DirectoryEntry entry {
        reply.owner, reply.ownerDaemon, reply.incarnation, now + agent.limits.directoryLease, 0, {}, {}, std::nullopt};
    (void)remember(agent, reply.flow, entry);
    concludeFound(agent, reply.flow, entry, effects);
    return effects;
}

Effects onAnnounce(AgentFlows &agent, const Announce &announce, TimePoint now)
{
    Effects effects;
    const DirectoryEntry entry {
        announce.owner, announce.ownerDaemon, announce.incarnation, now + agent.limits.directoryLease, 0, {}, {}, std::nullopt};
    for (const auto &flow : announce.flows) {
        if (agent.owned.contains(flow) || !remember(agent, flow, entry))
            continue;
        concludeFound(agent, flow, entry, effects);
    }
    return effects;
}

void onRelease(AgentFlows &agent, const Release &release)
{
    for (const auto &flow : release.flows) {
        const auto entry = agent.directory.find(flow);
        if (entry != agent.directory.end() && entry->second.owner == release.owner)
            agent.directory.erase(entry);
    }
}

void onHandshakeSent(AgentFlows &agent, const FlowKey &flow, std::uint32_t initialSequence)
{
    if (const auto owned = agent.owned.find(flow); owned != agent.owned.end())
        owned->second.initialSequence = initialSequence;
}

void onEstablished(AgentFlows &agent, const FlowKey &flow, TimePoint now)
{
    const auto owned = agent.owned.find(flow);
    if (owned == agent.owned.end())
        return;
    owned->second.stage = FlowStage::Established;
    owned->second.changedAt = now;
}

void onClosed(AgentFlows &agent, const FlowKey &flow, TimePoint now)
{
    const auto owned = agent.owned.find(flow);
    if (owned == agent.owned.end())
        return;
    owned->second.stage = FlowStage::TimeWait;
    owned->second.changedAt = now;
}

void onAborted(AgentFlows &agent, const FlowKey &flow)
{
    if (const auto owned = agent.owned.find(flow); owned != agent.owned.end())
        eraseOwned(agent, owned);
}

} // namespace Papaya
