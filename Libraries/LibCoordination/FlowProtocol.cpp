#include "LibCoordination/FlowProtocol.h"

#include "LibCoordination/RendezvousHash.h"

#include <algorithm>
#include <cassert>

namespace Papaya {

namespace {

/// Below this many connections an agent takes every new flow, since a mean over so few says nothing.
constexpr double PressureFloor = 8;

const Member *findMember(const AgentFlows &agent, MemberId id)
{
    const auto found = std::find_if(agent.members.begin(), agent.members.end(), [&](const Member &member) { return member.id == id; });
    return found == agent.members.end() ? nullptr : &*found;
}

/// One number for how loaded an agent is: open connections, and a millisecond of wait counted as one more.
double pressureOf(const LoadReport &load)
{
    return static_cast<double>(load.connections) + static_cast<double>(load.expectedWait);
}

double meanPressure(const AgentFlows &agent)
{
    double total = 0;
    int count = 0;
    for (const auto &member : agent.members) {
        if (member.id == agent.self || !isEligible(member))
            continue;
        total += pressureOf(member.load);
        ++count;
    }
    return count == 0 ? 0 : (total + pressureOf(agent.load.report)) / (count + 1);
}

/// Returns the eligible members other than this agent in rank order for a flow.
std::vector<const Member *> rankOthers(const AgentFlows &agent, const FlowKey &flow)
{
    std::vector<const Member *> others;
    std::vector<std::uint64_t> ids;
    for (const auto &member : agent.members) {
        if (member.id == agent.self || !isEligible(member))
            continue;
        others.push_back(&member);
        ids.push_back(member.id);
    }
    std::vector<const Member *> ranked;
    for (const auto index : rendezvousRank(ids, hashOf(flow), others.size()))
        ranked.push_back(others[index]);
    return ranked;
}

/// Returns who should get a flow that this agent does not take: the less loaded of the two next-ranked members.
const Member *chooseNext(const AgentFlows &agent, const FlowKey &flow, MemberId previous)
{
    auto ranked = rankOthers(agent, flow);
    std::erase_if(ranked, [&](const Member *member) { return member->id == previous; });
    if (ranked.empty())
        return nullptr;
    if (ranked.size() > 1 && pressureOf(ranked[1]->load) < pressureOf(ranked[0]->load))
        return ranked[1];
    return ranked[0];
}

Envelope passOn(const AgentFlows &agent, const Envelope &envelope)
{
    Envelope copy = envelope;
    copy.hops = static_cast<std::uint8_t>(envelope.hops + 1);
    copy.sender = agent.self;
    copy.senderDaemon = agent.selfDaemon;
    return copy;
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

bool remember(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry)
{
    if (agent.directory.size() >= agent.limits.directoryLimit && !agent.directory.contains(flow))
        return false;
    agent.directory[flow] = entry;
    return true;
}

void erasePending(AgentFlows &agent, const FlowKey &flow)
{
    agent.locates.erase(flow);
}

/// Ends a search that found no owner: the held packets are answered with a reset.
void concludeNobodyOwns(AgentFlows &agent, const FlowKey &flow, Effects &effects)
{
    const auto pending = agent.locates.find(flow);
    assert(pending != agent.locates.end());
    effects.emplace_back(NoteDecision {flow, PlacementReason::NobodyOwns, 0});
    // Every held packet is answered, as a reset may be lost.
    for (const auto &packet : std::exchange(pending->second.heldPackets, {}))
        effects.emplace_back(SendReset {packet});
    pending->second.isUnowned = true;
    // An entry whose owner is lost stays until all its probes were sent, since the reset may be lost as well.
    const auto entry = agent.directory.find(flow);
    if (entry != agent.directory.end() && entry->second.probesSent == 0)
        agent.directory.erase(entry);
}

/// Ends a search, if there is one, whose flow's owner is known now: the held packets go there.
void concludeFound(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry, Effects &effects)
{
    const auto pending = agent.locates.find(flow);
    if (pending == agent.locates.end())
        return;
    effects.emplace_back(NoteDecision {flow, PlacementReason::LocateFound, entry.owner});
    for (auto &packet : pending->second.heldPackets) {
        Envelope envelope {agent.service, agent.revision, 1, agent.self, agent.selfDaemon, std::move(packet)};
        effects.emplace_back(SendMessage {entry.ownerDaemon, std::move(envelope)});
    }
    agent.locates.erase(pending);
}

void askMembers(AgentFlows &agent, const FlowKey &flow, PendingLocate &pending, TimePoint now, Effects &effects)
{
    pending.askedAt = now;
    for (const auto id : pending.awaiting) {
        const auto *member = findMember(agent, id);
        if (member == nullptr)
            continue;
        effects.emplace_back(SendMessage {member->daemon, LocateQuery {agent.service, flow, agent.self, agent.selfDaemon}});
    }
}

void askAllMembers(AgentFlows &agent, const FlowKey &flow, PendingLocate &pending, TimePoint now, Effects &effects)
{
    pending.awaiting.clear();
    for (const auto &member : agent.members) {
        if (member.id != agent.self && member.health != MemberHealth::Expired)
            pending.awaiting.push_back(member.id);
    }
    askMembers(agent, flow, pending, now, effects);
}

void startLocate(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects)
{
    if (const auto known = agent.locates.find(flow); known != agent.locates.end()) {
        if (known->second.isUnowned) {
            effects.emplace_back(NoteDecision {flow, PlacementReason::NobodyOwns, 0});
            effects.emplace_back(SendReset {envelope.packet});
            return;
        }
        if (known->second.heldPackets.size() < agent.limits.heldPacketsPerFlow)
            known->second.heldPackets.push_back(envelope.packet);
        effects.emplace_back(NoteDecision {flow, PlacementReason::LocateHeld, 0});
        return;
    }
    if (agent.locates.size() >= agent.limits.locateLimit) {
        effects.emplace_back(NoteDecision {flow, PlacementReason::TableFull, 0});
        return;
    }
    PendingLocate pending;
    pending.heldPackets.push_back(envelope.packet);
    pending.startedAt = now;
    effects.emplace_back(NoteDecision {flow, PlacementReason::LocateStarted, 0});
    askAllMembers(agent, flow, agent.locates.emplace(flow, std::move(pending)).first->second, now, effects);
}

void takeFlow(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, PlacementReason reason, TimePoint now, Effects &effects)
{
    FlowRecord record;
    record.changedAt = now;
    agent.owned[flow] = record;
    agent.directory.erase(flow);
    erasePending(agent, flow);
    effects.emplace_back(NoteDecision {flow, reason, agent.self});
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
        effects.emplace_back(NoteDecision {flow, reason, 0});
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
    entry.handedOnAtHops = envelope.hops;
    if (!remember(agent, flow, entry)) {
        takeFlow(agent, envelope, flow, PlacementReason::TableFull, now, effects);
        return;
    }
    effects.emplace_back(NoteDecision {flow, PlacementReason::HandedOn, next->id});
    effects.emplace_back(SendMessage {next->daemon, passOn(agent, envelope)});
}

/// Returns whether a new flow came back to an agent that had handed it on, as it can when agents see the members differently.
bool hasComeBack(const DirectoryEntry &entry, const Envelope &envelope)
{
    return entry.handedOnAtHops && envelope.hops > *entry.handedOnAtHops;
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
        effects.emplace_back(NoteDecision {flow, PlacementReason::DirectoryOwner, entry->second.owner});
        effects.emplace_back(SendMessage {entry->second.ownerDaemon, passOn(agent, envelope)});
        if (envelope.hops == 0 && !entry->second.handedOnAtHops)
            hintSender(agent, envelope, flow, entry->second, now, effects);
        return;
    }
    if (segment.isReset) {
        effects.emplace_back(NoteDecision {flow, PlacementReason::StrayReset, 0});
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

void eraseOwned(AgentFlows &agent, FlowTable::iterator flow)
{
    if (flow->second.witness != 0)
        agent.released.emplace_back(flow->second.witness, flow->first);
    agent.owned.erase(flow);
}

void expireOwned(AgentFlows &agent, TimePoint now, Effects &effects)
{
    for (auto flow = agent.owned.begin(); flow != agent.owned.end();) {
        const auto current = flow++;
        const auto age = now - current->second.changedAt;
        const bool isStale = current->second.stage == FlowStage::Embryonic && age > agent.limits.embryonicTime;
        const bool isDone = current->second.stage == FlowStage::Lingering && age > agent.limits.lingerTime;
        if (!isStale && !isDone)
            continue;
        if (isStale)
            effects.emplace_back(ForgetFlow {current->first});
        eraseOwned(agent, current);
    }
}

Duration pauseAfterAnnouncement(const FlowProtocolLimits &limits, std::uint32_t announcements)
{
    switch (announcements) {
    case 0:
        return limits.firstAnnounceRetry;
    case 1:
        return limits.secondAnnounceRetry;
    default:
        return limits.announceRefresh;
    }
}

void announceOwned(AgentFlows &agent, TimePoint now, Effects &effects)
{
    std::unordered_map<MemberId, std::vector<FlowKey>> batches;
    for (auto &[flow, record] : agent.owned) {
        if (record.stage == FlowStage::Lingering || (record.witness != 0 && now < record.announceAt))
            continue;
        record.witness = witnessOf(agent, agent.self, flow);
        if (record.witness == 0)
            continue;
        record.announceAt = now + pauseAfterAnnouncement(agent.limits, record.announcements++);
        batches[record.witness].push_back(flow);
    }
    for (const auto &[witness, flows] : batches) {
        const auto *member = findMember(agent, witness);
        for (std::size_t first = 0; first < flows.size(); first += agent.limits.flowsPerAnnounce) {
            const auto last = std::min(flows.size(), first + agent.limits.flowsPerAnnounce);
            Announce announce {agent.self, agent.selfDaemon, agent.incarnation, {}};
            announce.flows.assign(flows.begin() + static_cast<std::ptrdiff_t>(first), flows.begin() + static_cast<std::ptrdiff_t>(last));
            effects.emplace_back(SendMessage {member->daemon, std::move(announce)});
        }
    }
}

/// Has a flow announced again from the start.
void forgetWitness(FlowRecord &record)
{
    record.witness = 0;
    record.announcements = 0;
}

void releaseEnded(AgentFlows &agent, Effects &effects)
{
    std::unordered_map<MemberId, std::vector<FlowKey>> batches;
    for (const auto &[witness, flow] : agent.released)
        batches[witness].push_back(flow);
    agent.released.clear();
    for (auto &[witness, flows] : batches) {
        const auto *member = findMember(agent, witness);
        if (member == nullptr)
            continue;
        for (std::size_t first = 0; first < flows.size(); first += agent.limits.flowsPerAnnounce) {
            const auto last = std::min(flows.size(), first + agent.limits.flowsPerAnnounce);
            Release release {agent.self, {}};
            release.flows.assign(flows.begin() + static_cast<std::ptrdiff_t>(first), flows.begin() + static_cast<std::ptrdiff_t>(last));
            effects.emplace_back(SendMessage {member->daemon, std::move(release)});
        }
    }
}

bool isOwnerLost(const AgentFlows &agent, const DirectoryEntry &entry)
{
    const auto *owner = findMember(agent, entry.owner);
    if (owner == nullptr)
        return false;
    if (owner->health == MemberHealth::Expired)
        return true;
    return entry.incarnation != 0 && owner->incarnation > entry.incarnation;
}

void probeLostOwners(AgentFlows &agent, TimePoint now, Effects &effects)
{
    std::size_t sent = 0;
    for (auto entry = agent.directory.begin(); entry != agent.directory.end() && sent < agent.limits.probesPerTick;) {
        const auto current = entry++;
        if (!isOwnerLost(agent, current->second) || now - current->second.probedAt < agent.limits.probeInterval)
            continue;
        current->second.probedAt = now;
        if (current->second.probesSent >= agent.limits.probesPerFlow) {
            agent.directory.erase(current);
            continue;
        }
        const auto attempt = static_cast<std::uint64_t>(++current->second.probesSent);
        const auto sequence = static_cast<std::uint32_t>(rendezvousWeight(hashOf(current->first), attempt));
        effects.emplace_back(NoteDecision {current->first, PlacementReason::ProbeLostOwner, current->second.owner});
        effects.emplace_back(SendProbe {current->first, sequence});
        ++sent;
    }
}

/// Stops waiting for members whose lease ran out or that left the list.
void reviewLocates(AgentFlows &agent, TimePoint now, Effects &effects)
{
    std::erase_if(agent.locates,
                  [&](const auto &entry) { return entry.second.isUnowned && now - entry.second.startedAt >= agent.limits.unownedTime; });
    std::vector<FlowKey> unowned;
    for (auto &[flow, pending] : agent.locates) {
        if (pending.isUnowned)
            continue;
        std::erase_if(pending.awaiting, [&](MemberId id) {
            const auto *member = findMember(agent, id);
            return member == nullptr || member->health == MemberHealth::Expired;
        });
        const bool isDueAgain = now - pending.askedAt >= agent.limits.locateRetry;
        if (pending.awaiting.empty() && now - pending.startedAt >= agent.limits.locateSettleTime)
            unowned.push_back(flow);
        else if (pending.awaiting.empty() && isDueAgain)
            askAllMembers(agent, flow, pending, now, effects);
        else if (isDueAgain)
            askMembers(agent, flow, pending, now, effects);
    }
    for (const auto &flow : unowned)
        concludeNobodyOwns(agent, flow, effects);
}

} // namespace

std::string_view placementReasonName(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::Owned:
        return "owned";
    case PlacementReason::Taken:
        return "taken";
    case PlacementReason::TakenAtLastHop:
        return "taken_at_last_hop";
    case PlacementReason::HandedOn:
        return "handed_on";
    case PlacementReason::DirectoryOwner:
        return "directory_owner";
    case PlacementReason::LocateStarted:
        return "locate_started";
    case PlacementReason::LocateHeld:
        return "locate_held";
    case PlacementReason::LocateFound:
        return "locate_found";
    case PlacementReason::NobodyOwns:
        return "nobody_owns";
    case PlacementReason::ForeignHandshake:
        return "foreign_handshake";
    case PlacementReason::WrongService:
        return "wrong_service";
    case PlacementReason::UnknownAddress:
        return "unknown_address";
    case PlacementReason::RevisionBehind:
        return "revision_behind";
    case PlacementReason::HopLimit:
        return "hop_limit";
    case PlacementReason::ConnectionLimit:
        return "connection_limit";
    case PlacementReason::TargetDown:
        return "target_down";
    case PlacementReason::Leaving:
        return "leaving";
    case PlacementReason::TableFull:
        return "table_full";
    case PlacementReason::StrayReset:
        return "stray_reset";
    case PlacementReason::ProbeLostOwner:
        return "probe_lost_owner";
    }
    return "unknown";
}

Effects onEnvelope(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now)
{
    Effects effects;
    const auto &flow = segment.flow;
    if (const auto refusal = findRefusal(agent, envelope, flow)) {
        effects.emplace_back(NoteDecision {flow, *refusal, 0});
        return effects;
    }
    const auto owned = agent.owned.find(flow);
    if (owned == agent.owned.end()) {
        routeForeign(agent, envelope, segment, now, effects);
        return effects;
    }
    if (!isOwnHandshake(owned->second, segment)) {
        effects.emplace_back(NoteDecision {flow, PlacementReason::ForeignHandshake, 0});
        startLocate(agent, envelope, flow, now, effects);
        return effects;
    }
    effects.emplace_back(NoteDecision {flow, PlacementReason::Owned, agent.self});
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
    const auto pending = agent.locates.find(reply.flow);
    if (!reply.isFound) {
        const auto entry = agent.directory.find(reply.flow);
        if (entry != agent.directory.end() && entry->second.owner == reply.sender)
            agent.directory.erase(entry);
        if (pending == agent.locates.end())
            return effects;
        std::erase(pending->second.awaiting, reply.sender);
        return effects;
    }
    if (pending == agent.locates.end() || reply.owner == agent.self)
        return effects;
    if (const auto owned = agent.owned.find(reply.flow); owned != agent.owned.end()) {
        // The caller completed another agent's handshake, so ours must not answer any more.
        effects.emplace_back(ForgetFlow {reply.flow});
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

void onFinished(AgentFlows &agent, const FlowKey &flow, TimePoint now)
{
    const auto owned = agent.owned.find(flow);
    if (owned == agent.owned.end())
        return;
    owned->second.stage = FlowStage::Lingering;
    owned->second.changedAt = now;
}

void onAborted(AgentFlows &agent, const FlowKey &flow)
{
    if (const auto owned = agent.owned.find(flow); owned != agent.owned.end())
        eraseOwned(agent, owned);
}

void setMembers(AgentFlows &agent, std::vector<Member> members)
{
    const auto previous = std::exchange(agent.members, std::move(members));
    const auto hasRestarted = [&](MemberId id) {
        const auto old = std::find_if(previous.begin(), previous.end(), [&](const Member &member) { return member.id == id; });
        const auto *current = findMember(agent, id);
        return old != previous.end() && current != nullptr && old->incarnation != current->incarnation;
    };
    for (auto &[flow, record] : agent.owned) {
        if (record.witness != 0 && (record.witness != witnessOf(agent, agent.self, flow) || hasRestarted(record.witness)))
            forgetWitness(record);
    }
}

Effects onTick(AgentFlows &agent, TimePoint now)
{
    Effects effects;
    expireOwned(agent, now, effects);
    std::erase_if(agent.directory, [&](const auto &entry) { return entry.second.expiresAt <= now; });
    announceOwned(agent, now, effects);
    releaseEnded(agent, effects);
    probeLostOwners(agent, now, effects);
    reviewLocates(agent, now, effects);
    return effects;
}

MemberId witnessOf(const AgentFlows &agent, MemberId owner, const FlowKey &flow)
{
    MemberId best = 0;
    std::uint64_t bestWeight = 0;
    const auto key = hashOf(flow);
    for (const auto &member : agent.members) {
        if (member.id == owner || !isEligible(member))
            continue;
        const auto weight = rendezvousWeight(member.id, key);
        if (best == 0 || weight > bestWeight) {
            best = member.id;
            bestWeight = weight;
        }
    }
    return best;
}

PlacementReason decideNewFlow(const AgentFlows &agent, std::uint8_t hops)
{
    const auto &load = agent.load;
    if (load.isTargetDown)
        return PlacementReason::TargetDown;
    if (load.report.connections >= load.report.connectionLimit)
        return PlacementReason::ConnectionLimit;
    if (load.isLeaving)
        return PlacementReason::Leaving;
    const bool isLastHop = hops >= agent.limits.handOnLimit;
    const auto pressure = pressureOf(load.report);
    if (pressure <= PressureFloor || pressure <= meanPressure(agent) * agent.limits.pressureFactor)
        return PlacementReason::Taken;
    return isLastHop ? PlacementReason::TakenAtLastHop : PlacementReason::HandedOn;
}

} // namespace Papaya
