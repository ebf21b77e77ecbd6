#pragma once

#include "LibState/Clock.h"
#include "LibState/RelayMessages.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

/// Gathers the questions of many searches into few datagrams. Answers the load after a loss of everything: nearly every caller's
/// flow is gone, each of them has to be denied by every agent, and one datagram for each flow and agent would fill thin links.
namespace Papaya {

/// How questions are gathered.
struct QueryLimits {
    /// The least time between two queries to one agent.
    Duration gatherTime {15};
    /// A query that was not answered within this time counts as lost; the searches ask again with their callers' next packets.
    Duration answerTime {100};
    /// Flows in one query; its answer fits one datagram as well.
    std::size_t maximumFlowsPerQuery = 64;
};

/// What one agent is to be asked.
struct QueryBatch {
    ServiceId service = 0;
    std::vector<FlowKey> waiting;
    /// When the last query was sent.
    std::optional<TimePoint> sentAt;
    /// Whether its answer has not come. One query at a time is under way, so that slow links and daemons get fewer, longer ones.
    bool isUnderWay = false;
};

/// The questions for all agents.
struct QueryBatches {
    QueryLimits limits;
    std::unordered_map<Endpoint, QueryBatch> batches;
    /// Agents that are to be asked something.
    std::size_t agentsWaiting = 0;
};

/// Adds a question to the next query for an agent, unless it waits already.
void addQuestion(QueryBatches &queries, const Endpoint &agent, ServiceId service, const FlowKey &flow);

/// Notes that an agent answered its query.
void noteAnswered(QueryBatches &queries, const Endpoint &agent);

/// Returns the agents whose next query may be sent now, those first that were asked longest ago.
[[nodiscard]] std::vector<Endpoint> agentsDue(const QueryBatches &queries, TimePoint now);

/// Removes and returns the next query for an agent, which counts as sent at `now`.
[[nodiscard]] RelayQuery takeQuery(QueryBatches &queries, const Endpoint &agent, TimePoint now);

/// Forgets agents that are not to be asked anything and were not asked for a while.
void forgetIdleBatches(QueryBatches &queries, TimePoint now);

} // namespace Papaya
