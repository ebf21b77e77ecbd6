#include "LibCoordination/FlowPlacement.h"

#include "LibCoordination/RendezvousHash.h"

namespace Papaya {

namespace {

/// Below this many connections an agent takes every new flow, since a mean over so few says nothing.
constexpr double PressureFloor = 8;

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

} // namespace

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
