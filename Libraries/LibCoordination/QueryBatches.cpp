#include "LibCoordination/QueryBatches.h"

#include <algorithm>

namespace Papaya {

namespace {

bool isDue(const QueryBatch &batch, const QueryLimits &limits, TimePoint now)
{
    if (batch.pendingFlows.empty())
        return false;
    if (!batch.sentAt)
        return true;
    const auto elapsed = now - *batch.sentAt;
    return elapsed >= (batch.isInFlight ? limits.answerTimeout : limits.batchInterval);
}

} // namespace

void enqueueFlow(QueryBatches &queries, const Endpoint &agent, ServiceId service, const FlowKey &flow)
{
    auto &batch = queries.batches[agent];
    batch.service = service;
    if (std::find(batch.pendingFlows.begin(), batch.pendingFlows.end(), flow) != batch.pendingFlows.end())
        return;
    if (batch.pendingFlows.empty())
        ++queries.agentsWithPendingFlows;
    batch.pendingFlows.push_back(flow);
}

void markAnswered(QueryBatches &queries, const Endpoint &agent)
{
    const auto batch = queries.batches.find(agent);
    if (batch != queries.batches.end())
        batch->second.isInFlight = false;
}

std::vector<Endpoint> agentsDue(const QueryBatches &queries, TimePoint now)
{
    std::vector<std::pair<TimePoint, Endpoint>> due;
    if (queries.agentsWithPendingFlows == 0)
        return {};
    for (const auto &[agent, batch] : queries.batches) {
        if (isDue(batch, queries.limits, now))
            due.emplace_back(batch.sentAt.value_or(TimePoint {}), agent);
    }
    std::sort(due.begin(), due.end());
    std::vector<Endpoint> agents;
    agents.reserve(due.size());
    for (const auto &[sentAt, agent] : due)
        agents.push_back(agent);
    return agents;
}

RelayQuery dequeueQuery(QueryBatches &queries, const Endpoint &agent, TimePoint now)
{
    auto &batch = queries.batches[agent];
    RelayQuery query;
    query.service = batch.service;
    const auto count = std::min(batch.pendingFlows.size(), queries.limits.maximumFlowsPerQuery);
    const auto end = batch.pendingFlows.begin() + static_cast<std::ptrdiff_t>(count);
    query.flows.assign(batch.pendingFlows.begin(), end);
    batch.pendingFlows.erase(batch.pendingFlows.begin(), end);
    if (batch.pendingFlows.empty() && count > 0)
        --queries.agentsWithPendingFlows;
    batch.sentAt = now;
    batch.isInFlight = true;
    return query;
}

void removeIdleBatches(QueryBatches &queries, TimePoint now)
{
    std::erase_if(queries.batches, [&](const auto &entry) {
        const auto &batch = entry.second;
        return batch.pendingFlows.empty() && batch.sentAt && now - *batch.sentAt >= queries.limits.answerTimeout;
    });
}

} // namespace Papaya
