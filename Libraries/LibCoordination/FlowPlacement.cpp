#include "LibCoordination/FlowPlacement.h"

#include "LibBalancing/RendezvousHash.h"

namespace Papaya {

namespace {

/// Up to this load score an agent accepts every new flow, because a mean over so few connections is not significant.
constexpr double AlwaysAcceptLoad = 8;

/// Returns an agent's load as one number: the open connections plus the expected wait in milliseconds.
double loadScore(const LoadReport &load)
{
    return static_cast<double>(load.connections) + static_cast<double>(load.expectedWait);
}

/// Returns the mean load score of this agent and the other eligible members, or 0 if there is no other eligible member.
double meanLoadScore(const AgentFlows &agent)
{
    double total = 0;
    int count = 0;
    for (const auto &member : agent.members) {
        if (member.id == agent.self || !isEligible(member))
            continue;
        total += loadScore(member.load);
        ++count;
    }
    return count == 0 ? 0 : (total + loadScore(agent.load.report)) / (count + 1);
}

/// Returns the eligible members except this agent in rendezvous rank order for a flow.
std::vector<const Member *> rankOtherAgents(const AgentFlows &agent, const FlowKey &flow)
{
    std::vector<const Member *> candidates;
    std::vector<std::uint64_t> ids;
    for (const auto &member : agent.members) {
        if (member.id == agent.self || !isEligible(member))
            continue;
        candidates.push_back(&member);
        ids.push_back(member.id);
    }
    std::vector<const Member *> ranked;
    for (const auto index : rendezvousRank(ids, hashOf(flow), candidates.size()))
        ranked.push_back(candidates[index]);
    return ranked;
}

} // namespace

const Member *chooseNextAgent(const AgentFlows &agent, const FlowKey &flow, MemberId previous)
{
    auto ranked = rankOtherAgents(agent, flow);
    std::erase_if(ranked, [&](const Member *member) { return member->id == previous; });
    if (ranked.empty())
        return nullptr;
    if (ranked.size() > 1 && loadScore(ranked[1]->load) < loadScore(ranked[0]->load))
        return ranked[1];
    return ranked[0];
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
    const bool isLastHop = hops >= agent.limits.newFlowHopLimit;
    const auto score = loadScore(load.report);
    if (score <= AlwaysAcceptLoad || score <= meanLoadScore(agent) * agent.limits.overloadFactor)
        return PlacementReason::Taken;
    return isLastHop ? PlacementReason::TakenAtLastHop : PlacementReason::HandedOn;
}

} // namespace Papaya
