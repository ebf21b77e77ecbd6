#include "LibCoordination/UnconfirmedRequests.h"

namespace Papaya {

void recordUnconfirmed(AgentRelay &agent, const Endpoint &entry, const PacketSummary &summary, TimePoint now)
{
    if (summary.isReset) {
        removeUnconfirmed(agent, summary.flow);
        return;
    }
    if (summary.length == 0 || hasRecordedAllFlows(agent, now))
        return;
    const auto known = agent.unconfirmedRequests.find(summary.flow);
    if (known != agent.unconfirmedRequests.end()) {
        known->second.entry = entry;
        known->second.lastSeenAt = now;
        return;
    }
    if (agent.flows.size() + agent.unconfirmedRequests.size() >= agent.limits.flows)
        return;
    ++agent.load.runningRequests;
    agent.unconfirmedRequests[summary.flow] = {entry, now, now, agent.load.runningRequests};
}

void confirmRequest(AgentRelay &agent, const FlowKey &key, AgentFlow &flow)
{
    const auto request = agent.unconfirmedRequests.find(key);
    if (request == agent.unconfirmedRequests.end())
        return;
    // The number of running requests stays as it is: the request counts at the flow from now on.
    flow.entry = request->second.entry;
    flow.requestStartedAt = request->second.startedAt;
    flow.concurrency = request->second.concurrency;
    agent.unconfirmedRequests.erase(request);
}

void removeUnconfirmed(AgentRelay &agent, const FlowKey &key)
{
    agent.load.runningRequests -= static_cast<std::uint32_t>(agent.unconfirmedRequests.erase(key));
}

void removeExpiredUnconfirmed(AgentRelay &agent, TimePoint now)
{
    const auto removed = std::erase_if(agent.unconfirmedRequests, [&](const auto &request) {
        return now - request.second.lastSeenAt >= agent.limits.unconfirmedRequestRetention;
    });
    agent.load.runningRequests -= static_cast<std::uint32_t>(removed);
}

} // namespace Papaya
