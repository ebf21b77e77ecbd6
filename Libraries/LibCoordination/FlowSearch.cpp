#include "LibCoordination/FlowSearch.h"

#include <algorithm>
#include <cassert>

namespace Papaya {

namespace {

/// Ends a search that found no owner: the held packets are answered with a reset.
void concludeNobodyOwns(AgentFlows &agent, const FlowKey &flow, Effects &effects)
{
    const auto pending = agent.ownerSearches.find(flow);
    assert(pending != agent.ownerSearches.end());
    effects.emplace_back(RecordDecision {flow, PlacementReason::NobodyOwns, 0});
    // Every held packet is answered, as a reset may be lost.
    for (const auto &packet : std::exchange(pending->second.heldPackets, {}))
        effects.emplace_back(SendReset {packet});
    pending->second.isUnowned = true;
    // An entry whose owner is lost stays until all its probes were sent, since the reset may be lost as well.
    const auto entry = agent.directory.find(flow);
    if (entry != agent.directory.end() && entry->second.probesSent == 0)
        agent.directory.erase(entry);
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

} // namespace

void startLocate(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects)
{
    if (const auto known = agent.ownerSearches.find(flow); known != agent.ownerSearches.end()) {
        if (known->second.isUnowned) {
            effects.emplace_back(RecordDecision {flow, PlacementReason::NobodyOwns, 0});
            effects.emplace_back(SendReset {envelope.packet});
            return;
        }
        if (known->second.heldPackets.size() < agent.limits.heldPacketsPerFlow)
            known->second.heldPackets.push_back(envelope.packet);
        effects.emplace_back(RecordDecision {flow, PlacementReason::LocateHeld, 0});
        return;
    }
    if (agent.ownerSearches.size() >= agent.limits.locateLimit) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::TableFull, 0});
        return;
    }
    PendingLocate pending;
    pending.heldPackets.push_back(envelope.packet);
    pending.startedAt = now;
    effects.emplace_back(RecordDecision {flow, PlacementReason::LocateStarted, 0});
    askAllMembers(agent, flow, agent.ownerSearches.emplace(flow, std::move(pending)).first->second, now, effects);
}

void concludeFound(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry, Effects &effects)
{
    const auto pending = agent.ownerSearches.find(flow);
    if (pending == agent.ownerSearches.end())
        return;
    effects.emplace_back(RecordDecision {flow, PlacementReason::LocateFound, entry.owner});
    for (auto &packet : pending->second.heldPackets) {
        Envelope envelope {agent.service, agent.revision, 1, agent.self, agent.selfDaemon, std::move(packet)};
        effects.emplace_back(SendMessage {entry.ownerDaemon, std::move(envelope)});
    }
    agent.ownerSearches.erase(pending);
}

void reviewLocates(AgentFlows &agent, TimePoint now, Effects &effects)
{
    std::erase_if(agent.ownerSearches,
                  [&](const auto &entry) { return entry.second.isUnowned && now - entry.second.startedAt >= agent.limits.unownedTime; });
    std::vector<FlowKey> unowned;
    for (auto &[flow, pending] : agent.ownerSearches) {
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

} // namespace Papaya
