#include "LibCoordination/FlowProtocol.h"
#include "LibCoordination/FlowSearch.h"
#include "LibCoordination/RendezvousHash.h"

#include <algorithm>

/// What the agents do as time passes and members change: announcements, releases, probes, expiry.
namespace Papaya {

namespace {

void expireOwned(AgentFlows &agent, TimePoint now, Effects &effects)
{
    for (auto flow = agent.owned.begin(); flow != agent.owned.end();) {
        const auto current = flow++;
        const auto age = now - current->second.changedAt;
        const bool isStale = current->second.stage == FlowStage::Embryonic && age > agent.limits.embryonicTime;
        const bool isDone = current->second.stage == FlowStage::TimeWait && age > agent.limits.lingerTime;
        if (!isStale && !isDone)
            continue;
        if (isStale)
            effects.emplace_back(DropConnection {current->first});
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
        if (record.stage == FlowStage::TimeWait || (record.witness != 0 && now < record.nextAnnouncementAt))
            continue;
        record.witness = witnessOf(agent, agent.self, flow);
        if (record.witness == 0)
            continue;
        record.nextAnnouncementAt = now + pauseAfterAnnouncement(agent.limits, record.announcements++);
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

} // namespace Papaya
