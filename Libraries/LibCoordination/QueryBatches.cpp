#include "LibCoordination/QueryBatches.h"

#include <algorithm>

namespace Papaya {

namespace {

bool isDue(const QueryBatch &batch, const QueryLimits &limits, TimePoint now)
{
    if (batch.waiting.empty())
        return false;
    if (!batch.sentAt)
        return true;
    const auto elapsed = now - *batch.sentAt;
    return elapsed >= (batch.isUnderWay ? limits.answerTime : limits.gatherTime);
}

} // namespace

void addQuestion(QueryBatches &queries, const Endpoint &agent, ServiceId service, const FlowKey &flow)
{
    auto &batch = queries.batches[agent];
    batch.service = service;
    if (std::find(batch.waiting.begin(), batch.waiting.end(), flow) != batch.waiting.end())
        return;
    if (batch.waiting.empty())
        ++queries.agentsWaiting;
    batch.waiting.push_back(flow);
}

void noteAnswered(QueryBatches &queries, const Endpoint &agent)
{
    const auto batch = queries.batches.find(agent);
    if (batch != queries.batches.end())
        batch->second.isUnderWay = false;
}

std::vector<Endpoint> agentsDue(const QueryBatches &queries, TimePoint now)
{
    std::vector<std::pair<TimePoint, Endpoint>> due;
    if (queries.agentsWaiting == 0)
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

RelayQuery takeQuery(QueryBatches &queries, const Endpoint &agent, TimePoint now)
{
    auto &batch = queries.batches[agent];
    RelayQuery query;
    query.service = batch.service;
    const auto count = std::min(batch.waiting.size(), queries.limits.maximumFlowsPerQuery);
    const auto end = batch.waiting.begin() + static_cast<std::ptrdiff_t>(count);
    query.flows.assign(batch.waiting.begin(), end);
    batch.waiting.erase(batch.waiting.begin(), end);
    if (batch.waiting.empty() && count > 0)
        --queries.agentsWaiting;
    batch.sentAt = now;
    batch.isUnderWay = true;
    return query;
}

void forgetIdleBatches(QueryBatches &queries, TimePoint now)
{
    std::erase_if(queries.batches, [&](const auto &entry) {
        const auto &batch = entry.second;
        return batch.waiting.empty() && batch.sentAt && now - *batch.sentAt >= queries.limits.answerTime;
    });
}

} // namespace Papaya
