#pragma once

#include "LibState/Clock.h"
#include "LibState/RelayMessages.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

/// Batches the flows of many searches into few query datagrams. After a restart of the whole system nearly every flow is lost
/// and has to be denied by every agent. One datagram for each flow and agent would fill links of low bandwidth.
namespace Papaya {

/// Limits of the batching.
struct QueryLimits {
    /// Minimum time between two queries to one agent.
    Duration batchInterval {15};
    /// A query without an answer within this time counts as lost. The searches then repeat their requests.
    Duration answerTimeout {100};
    /// Limit on the flows in one query. The answer for this many flows fits into one datagram too.
    std::size_t maximumFlowsPerQuery = 64;
};

/// A flow that an agent is to be asked for.
struct PendingFlow {
    /// The service whose target may hold the flow.
    ServiceId service = 0;
    FlowKey flow;
};

/// The flows of the next queries to one agent. A query names one service, so the flows of another one go into the next query.
struct QueryBatch {
    std::vector<PendingFlow> pendingFlows;
    /// When the last query was sent; nothing before the first one.
    std::optional<TimePoint> sentAt;
    /// Whether the answer to the last query is outstanding. Only one query to an agent is in flight at a time, so that slow
    /// links and daemons get fewer and longer queries.
    bool isInFlight = false;
};

/// The pending queries to all agents.
struct QueryBatches {
    QueryLimits limits;
    std::unordered_map<Endpoint, QueryBatch> batches;
    /// Number of agents whose batch has pending flows.
    std::size_t agentsWithPendingFlows = 0;
};

/// Adds a flow to the queries to an agent. If it is in the agent's batch already, the later service counts.
void enqueueFlow(QueryBatches &queries, const Endpoint &agent, ServiceId service, const FlowKey &flow);

/// Records that an agent answered its query, or that the query was not sent.
void markAnswered(QueryBatches &queries, const Endpoint &agent);

/// Returns the number of flows in the next query to an agent.
[[nodiscard]] std::size_t nextQuerySize(const QueryBatches &queries, const Endpoint &agent);

/// Returns the agents whose next query may be sent now, the one with the oldest last query first.
[[nodiscard]] std::vector<Endpoint> agentsDue(const QueryBatches &queries, TimePoint now);

/// Removes the pending flows of the next query from an agent's batch and returns them as a query, which counts as sent at
/// `now`.
[[nodiscard]] RelayQuery dequeueQuery(QueryBatches &queries, const Endpoint &agent, TimePoint now);

/// Removes batches without pending flows whose last query is older than `answerTimeout`.
void removeIdleBatches(QueryBatches &queries, TimePoint now);

} // namespace Papaya
