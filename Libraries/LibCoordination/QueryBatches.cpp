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
    const auto pending = std::find_if(
        batch.pendingFlows.begin(), batch.pendingFlows.end(), [&](const PendingFlow &candidate) { return candidate.flow == flow; });
    if (pending != batch.pendingFlows.end()) {
        pending->service = service;
        return;
    }
    if (batch.pendingFlows.empty())
        ++queries.agentsWithPendingFlows;
    batch.pendingFlows.push_back({service, flow});
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

std::size_t nextQuerySize(const QueryBatches &queries, const Endpoint &agent)
{
    const auto batch = queries.batches.find(agent);
    if (batch == queries.batches.end() || batch->second.pendingFlows.empty())
        return 0;
    const auto &pending = batch->second.pendingFlows;
    const auto count =
        std::count_if(pending.begin(), pending.end(), [&](const PendingFlow &flow) { return flow.service == pending.front().service; });
    return std::min(static_cast<std::size_t>(count), queries.limits.maximumFlowsPerQuery);
}

RelayQuery dequeueQuery(QueryBatches &queries, const Endpoint &agent, TimePoint now)
{
    auto &batch = queries.batches[agent];
    const auto count = nextQuerySize(queries, agent);
    RelayQuery query;
    if (count > 0)
        query.service = batch.pendingFlows.front().service;
    std::erase_if(batch.pendingFlows, [&](const PendingFlow &pending) {
        if (pending.service != query.service || query.flows.size() == count)
            return false;
        query.flows.push_back(pending.flow);
        return true;
    });
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
