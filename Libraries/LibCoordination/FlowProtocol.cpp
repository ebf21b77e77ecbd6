#include "LibCoordination/FlowProtocol.h"

#include "LibCoordination/FlowPlacement.h"
#include "LibCoordination/FlowSearch.h"

#include <algorithm>

namespace Papaya {

namespace {

Envelope forwardedCopy(const AgentFlows &agent, const Envelope &envelope)
{
    Envelope copy = envelope;
    copy.hops = static_cast<std::uint8_t>(envelope.hops + 1);
    copy.sender = agent.self;
    copy.senderDaemon = agent.selfDaemon;
    return copy;
}

/// Stores a directory entry unless the directory is full. Returns whether it was stored.
bool storeDirectoryEntry(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry)
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
    // An owner that is missing from the member list may have just joined. Its own announcement shows that it was running.
    if (owner == nullptr)
        return true;
    if (owner->health == MemberHealth::Expired)
        return false;
    return entry.incarnation == 0 || owner->incarnation == 0 || owner->incarnation == entry.incarnation;
}

/// Returns false for an ACK that completes the handshake of another agent, since it does not acknowledge this agent's SYN.
bool belongsToOwnHandshake(const FlowRecord &record, const SegmentSummary &segment)
{
    if (record.stage != FlowStage::Embryonic || segment.isSyn || !segment.hasAcknowledgement)
        return true;
    return !record.initialSequence || segment.acknowledgement == *record.initialSequence + 1;
}

void acceptFlow(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, PlacementReason reason, TimePoint now, Effects &effects)
{
    FlowRecord record;
    record.changedAt = now;
    agent.owned[flow] = record;
    agent.directory.erase(flow);
    agent.ownerSearches.erase(flow);
    effects.emplace_back(RecordDecision {flow, reason, agent.self});
    effects.emplace_back(DeliverPacket {envelope.packet});
}

/// Accepts or forwards a SYN of a flow that this agent neither owns nor has a usable directory entry for.
void placeNewFlow(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects)
{
    const auto reason = decideNewFlow(agent, envelope.hops);
    if (reason == PlacementReason::Taken || reason == PlacementReason::TakenAtLastHop) {
        acceptFlow(agent, envelope, flow, reason, now, effects);
        return;
    }
    // An agent that cannot accept the flow at all may forward it after more hops than one that is merely loaded.
    const auto newFlowHopLimit = reason == PlacementReason::HandedOn ? agent.limits.newFlowHopLimit : agent.limits.hopLimit - 1;
    const auto *next = envelope.hops < newFlowHopLimit ? chooseNextAgent(agent, flow, envelope.sender) : nullptr;
    if (next == nullptr && reason == PlacementReason::HandedOn) {
        acceptFlow(agent, envelope, flow, PlacementReason::TakenAtLastHop, now, effects);
        return;
    }
    if (next == nullptr) {
        effects.emplace_back(RecordDecision {flow, reason, 0});
        // While another member could accept the flow, the packet is dropped without a reset. The caller retransmits its SYN, and by
        // then the agents' views of the members have converged.
        if (chooseNextAgent(agent, flow, 0) == nullptr)
            effects.emplace_back(SendReset {envelope.packet});
        return;
    }
    DirectoryEntry entry;
    entry.owner = next->id;
    entry.ownerDaemon = next->daemon;
    entry.incarnation = next->incarnation;
    entry.expiresAt = now + agent.limits.embryonicTimeout;
    entry.forwardedAtHops = envelope.hops;
    if (!storeDirectoryEntry(agent, flow, entry)) {
        acceptFlow(agent, envelope, flow, PlacementReason::TableFull, now, effects);
        return;
    }
    effects.emplace_back(RecordDecision {flow, PlacementReason::HandedOn, next->id});
    effects.emplace_back(SendMessage {next->daemon, forwardedCopy(agent, envelope)});
}

/// Returns whether a new flow returned to an agent that had forwarded it. This happens while agents have different views of the
/// members.
bool hasReturned(const DirectoryEntry &entry, const Envelope &envelope)
{
    return entry.forwardedAtHops && envelope.hops > *entry.forwardedAtHops;
}

/// Sends the entry daemon of a packet a hint with the flow's owner, so that the entry daemon sends later packets directly to
/// this owner.
void sendOwnerHint(const AgentFlows &agent,
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

/// Routes a packet of a flow that this agent does not own: forwards it to the owner in the directory, places it as a new flow,
/// or holds it during an owner search. A reset without a usable directory entry is dropped.
void routeRemoteFlow(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now, Effects &effects)
{
    const auto &flow = segment.flow;
    const auto entry = agent.directory.find(flow);
    const bool isUsable = entry != agent.directory.end() && entry->second.owner != envelope.sender && !hasReturned(entry->second, envelope)
                          && isDirectoryEntryUsable(agent, entry->second, now);
    if (isUsable) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::DirectoryOwner, entry->second.owner});
        effects.emplace_back(SendMessage {entry->second.ownerDaemon, forwardedCopy(agent, envelope)});
        if (envelope.hops == 0 && !entry->second.forwardedAtHops)
            sendOwnerHint(agent, envelope, flow, entry->second, now, effects);
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
    startOwnerSearch(agent, envelope, flow, now, effects);
}

/// Returns the reason for which an envelope is dropped without routing, or nothing if it may be routed.
std::optional<PlacementReason> findRejection(const AgentFlows &agent, const Envelope &envelope, const FlowKey &flow)
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

void eraseOwnedFlow(AgentFlows &agent, FlowTable::iterator flow)
{
    if (flow->second.witness != 0)
        agent.pendingReleases.emplace_back(flow->second.witness, flow->first);
    agent.owned.erase(flow);
}

Effects onEnvelope(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now)
{
    Effects effects;
    const auto &flow = segment.flow;
    if (const auto rejection = findRejection(agent, envelope, flow)) {
        effects.emplace_back(RecordDecision {flow, *rejection, 0});
        return effects;
    }
    const auto owned = agent.owned.find(flow);
    if (owned == agent.owned.end()) {
        routeRemoteFlow(agent, envelope, segment, now, effects);
        return effects;
    }
    if (!belongsToOwnHandshake(owned->second, segment)) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::ForeignHandshake, 0});
        startOwnerSearch(agent, envelope, flow, now, effects);
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
    const auto search = agent.ownerSearches.find(reply.flow);
    if (!reply.isFound) {
        const auto entry = agent.directory.find(reply.flow);
        // An entry whose owner is lost stays until all its probes have been sent.
        if (entry != agent.directory.end() && entry->second.owner == reply.sender && entry->second.probesSent == 0)
            agent.directory.erase(entry);
        if (search == agent.ownerSearches.end())
            return effects;
        std::erase(search->second.unansweredMembers, reply.sender);
        return effects;
    }
    if (search == agent.ownerSearches.end() || reply.owner == agent.self)
        return effects;
    if (const auto owned = agent.owned.find(reply.flow); owned != agent.owned.end()) {
        // The caller completed the handshake of another agent, so the local stack must not answer for this flow any more.
        effects.emplace_back(DropConnection {reply.flow});
        eraseOwnedFlow(agent, owned);
    }
    const DirectoryEntry entry {
        reply.owner, reply.ownerDaemon, reply.incarnation, now + agent.limits.directoryLease, 0, {}, {}, std::nullopt};
    (void)storeDirectoryEntry(agent, reply.flow, entry);
    finishSearchWithOwner(agent, reply.flow, entry, effects);
    return effects;
}

Effects onAnnounce(AgentFlows &agent, const Announce &announce, TimePoint now)
{
    Effects effects;
    const DirectoryEntry entry {
        announce.owner, announce.ownerDaemon, announce.incarnation, now + agent.limits.directoryLease, 0, {}, {}, std::nullopt};
    for (const auto &flow : announce.flows) {
        if (agent.owned.contains(flow) || !storeDirectoryEntry(agent, flow, entry))
            continue;
        finishSearchWithOwner(agent, flow, entry, effects);
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
        eraseOwnedFlow(agent, owned);
}

} // namespace Papaya
