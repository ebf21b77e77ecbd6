#include "LibCoordination/FlowSearch.h"

#include <algorithm>
#include <cassert>

namespace Papaya {

namespace {

/// Ends a search that found no owner and answers the held packets with resets.
void finishSearchWithoutOwner(AgentFlows &agent, const FlowKey &flow, Effects &effects)
{
    const auto search = agent.ownerSearches.find(flow);
    assert(search != agent.ownerSearches.end());
    effects.emplace_back(RecordDecision {flow, PlacementReason::NobodyOwns, 0});
    // Every held packet is answered, because a reset may be lost.
    for (const auto &packet : std::exchange(search->second.heldPackets, {}))
        effects.emplace_back(SendReset {packet});
    search->second.isUnowned = true;
    // An entry whose owner is lost stays until all its probes have been sent, because this reset may be lost too.
    const auto entry = agent.directory.find(flow);
    if (entry != agent.directory.end() && entry->second.probesSent == 0)
        agent.directory.erase(entry);
}

/// Queries every member that has not replied yet.
void sendQueries(AgentFlows &agent, const FlowKey &flow, OwnerSearch &search, TimePoint now, Effects &effects)
{
    search.queriedAt = now;
    for (const auto id : search.unansweredMembers) {
        const auto *member = findMember(agent, id);
        if (member == nullptr)
            continue;
        effects.emplace_back(SendMessage {member->daemon, LocateQuery {agent.service, flow, agent.self, agent.selfDaemon}});
    }
}

/// Queries all members whose lease has not expired, including those that already replied.
void queryAllMembers(AgentFlows &agent, const FlowKey &flow, OwnerSearch &search, TimePoint now, Effects &effects)
{
    search.unansweredMembers.clear();
    for (const auto &member : agent.members) {
        if (member.id != agent.self && member.health != MemberHealth::Expired)
            search.unansweredMembers.push_back(member.id);
    }
    sendQueries(agent, flow, search, now, effects);
}

} // namespace

void startOwnerSearch(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects)
{
    if (const auto existing = agent.ownerSearches.find(flow); existing != agent.ownerSearches.end()) {
        if (existing->second.isUnowned) {
            effects.emplace_back(RecordDecision {flow, PlacementReason::NobodyOwns, 0});
            effects.emplace_back(SendReset {envelope.packet});
            return;
        }
        if (existing->second.heldPackets.size() < agent.limits.heldPacketsPerFlow)
            existing->second.heldPackets.push_back(envelope.packet);
        effects.emplace_back(RecordDecision {flow, PlacementReason::LocateHeld, 0});
        return;
    }
    if (agent.ownerSearches.size() >= agent.limits.ownerSearchLimit) {
        effects.emplace_back(RecordDecision {flow, PlacementReason::TableFull, 0});
        return;
    }
    OwnerSearch search;
    search.heldPackets.push_back(envelope.packet);
    search.startedAt = now;
    effects.emplace_back(RecordDecision {flow, PlacementReason::LocateStarted, 0});
    queryAllMembers(agent, flow, agent.ownerSearches.emplace(flow, std::move(search)).first->second, now, effects);
}

void finishSearchWithOwner(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry, Effects &effects)
{
    const auto search = agent.ownerSearches.find(flow);
    if (search == agent.ownerSearches.end())
        return;
    effects.emplace_back(RecordDecision {flow, PlacementReason::LocateFound, entry.owner});
    for (auto &packet : search->second.heldPackets) {
        Envelope envelope {agent.service, agent.revision, 1, agent.self, agent.selfDaemon, std::move(packet)};
        effects.emplace_back(SendMessage {entry.ownerDaemon, std::move(envelope)});
    }
    agent.ownerSearches.erase(search);
}

void updateOwnerSearches(AgentFlows &agent, TimePoint now, Effects &effects)
{
    std::erase_if(agent.ownerSearches, [&](const auto &entry) {
        return entry.second.isUnowned && now - entry.second.startedAt >= agent.limits.noOwnerCacheTime;
    });
    std::vector<FlowKey> unowned;
    for (auto &[flow, search] : agent.ownerSearches) {
        if (search.isUnowned)
            continue;
        std::erase_if(search.unansweredMembers, [&](MemberId id) {
            const auto *member = findMember(agent, id);
            return member == nullptr || member->health == MemberHealth::Expired;
        });
        const bool isQueryDue = now - search.queriedAt >= agent.limits.ownerQueryInterval;
        if (search.unansweredMembers.empty() && now - search.startedAt >= agent.limits.minimumSearchTime)
            unowned.push_back(flow);
        else if (search.unansweredMembers.empty() && isQueryDue)
            queryAllMembers(agent, flow, search, now, effects);
        else if (isQueryDue)
            sendQueries(agent, flow, search, now, effects);
    }
    for (const auto &flow : unowned)
        finishSearchWithoutOwner(agent, flow, effects);
}

} // namespace Papaya
