#include "LibBalancing/RendezvousHash.h"
#include "LibCoordination/FlowProtocol.h"
#include "LibCoordination/FlowSearch.h"

#include <algorithm>

/// The part of the flow protocol that depends on time and on changes of the members: announcements, releases, probes, expiry.
namespace Papaya {

namespace {

/// Removes owned flows whose handshake timed out or whose TIME-WAIT period is over.
void expireOwnedFlows(AgentFlows &agent, TimePoint now, Effects &effects)
{
    for (auto flow = agent.owned.begin(); flow != agent.owned.end();) {
        const auto current = flow++;
        const auto age = now - current->second.changedAt;
        const bool isHandshakeTimedOut = current->second.stage == FlowStage::Embryonic && age > agent.limits.embryonicTimeout;
        const bool isTimeWaitOver = current->second.stage == FlowStage::TimeWait && age > agent.limits.timeWaitTimeout;
        if (!isHandshakeTimedOut && !isTimeWaitOver)
            continue;
        if (isHandshakeTimedOut)
            effects.emplace_back(DropConnection {current->first});
        eraseOwnedFlow(agent, current);
    }
}

/// Returns the interval between an announcement of a flow and the next one, given the number of announcements before the former.
Duration announceIntervalAfter(const FlowProtocolLimits &limits, std::uint32_t earlierAnnouncements)
{
    switch (earlierAnnouncements) {
    case 0:
        return limits.firstAnnounceInterval;
    case 1:
        return limits.secondAnnounceInterval;
    default:
        return limits.announceRefreshInterval;
    }
}

/// Announces the flows that have no witness yet or whose announcement is due.
void announceOwnedFlows(AgentFlows &agent, TimePoint now, Effects &effects)
{
    std::unordered_map<MemberId, std::vector<FlowKey>> batches;
    for (auto &[flow, record] : agent.owned) {
        if (record.stage == FlowStage::TimeWait || (record.witness != 0 && now < record.nextAnnouncementAt))
            continue;
        record.witness = witnessOf(agent, agent.self, flow);
        if (record.witness == 0)
            continue;
        record.nextAnnouncementAt = now + announceIntervalAfter(agent.limits, record.announcements++);
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

/// Clears the witness of a flow, so that the announcements start over at the next tick.
void resetWitness(FlowRecord &record)
{
    record.witness = 0;
    record.announcements = 0;
}

/// Sends the pending releases to their witnesses. A release whose witness has left the member list is discarded.
void sendReleases(AgentFlows &agent, Effects &effects)
{
    std::unordered_map<MemberId, std::vector<FlowKey>> batches;
    for (const auto &[witness, flow] : agent.pendingReleases)
        batches[witness].push_back(flow);
    agent.pendingReleases.clear();
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

/// Returns whether the owner's lease expired or its process restarted. An owner that is missing from the member list does not
/// count as lost.
bool isOwnerLost(const AgentFlows &agent, const DirectoryEntry &entry)
{
    const auto *owner = findMember(agent, entry.owner);
    if (owner == nullptr)
        return false;
    if (owner->health == MemberHealth::Expired)
        return true;
    return entry.incarnation != 0 && owner->incarnation > entry.incarnation;
}

/// Sends probes to the callers of flows whose owner is lost, and removes a directory entry after its last probe.
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
        // This agent has no record of the sequence numbers of the flow. A hash that differs for each probe is very likely to be
        // outside the receive window of the caller.
        const auto attempt = static_cast<std::uint64_t>(++current->second.probesSent);
        const auto sequence = static_cast<std::uint32_t>(rendezvousWeight(hashOf(current->first), attempt));
        effects.emplace_back(RecordDecision {current->first, PlacementReason::ProbeLostOwner, current->second.owner});
        effects.emplace_back(SendProbe {current->first, sequence});
        ++sent;
    }
}

} // namespace

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
            resetWitness(record);
    }
}

Effects onTick(AgentFlows &agent, TimePoint now)
{
    Effects effects;
    expireOwnedFlows(agent, now, effects);
    std::erase_if(agent.directory, [&](const auto &entry) { return entry.second.expiresAt <= now; });
    announceOwnedFlows(agent, now, effects);
    sendReleases(agent, effects);
    probeLostOwners(agent, now, effects);
    updateOwnerSearches(agent, now, effects);
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

} // namespace Papaya
