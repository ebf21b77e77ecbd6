#include "LibCoordination/EntryRelay.h"
#include "LibCoordination/EntrySearch.h"

/// What an entry daemon does without a packet: it ends flows whose targets are gone or out of reach, goes on with searches, and
/// forgets what is old.
namespace Papaya {

namespace {

bool isForgettable(const EntryRelay &entry, const EntryFlow &flow, TimePoint now)
{
    const auto idle = now - flow.seenAt;
    if (flow.stage == EntryFlowStage::Ended || flow.isFinished || flow.stage == EntryFlowStage::Opening)
        return idle >= entry.limits.endedTime;
    return idle >= entry.limits.idleTime;
}

/// Ends an open flow when its target is gone, or when nothing comes back from it and its agent does not answer either.
void reviewOpenFlow(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    const auto *record = findByAgent(std::as_const(entry.directory), flow.agent);
    if (record == nullptr || flow.isFinished)
        return;
    if (isGone(entry.directory, *record, now))
        endFlow(key, flow, RelayReason::TargetGone, flow.acknowledged, now, output);
    else if (flow.isUnanswered && isOutOfReach(entry, key, flow.agent, now))
        endFlow(key, flow, RelayReason::AgentUnreachable, flow.acknowledged, now, output);
}

} // namespace

void onEntryTick(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    noteActivity(entry, now);
    for (auto &[key, flow] : entry.flows) {
        if (flow.stage == EntryFlowStage::Open)
            reviewOpenFlow(entry, key, flow, now, output);
        else if (flow.stage == EntryFlowStage::Searching)
            reviewSearch(entry, key, flow, now, output);
    }
    retryPendingResets(entry, now, output);
    sendQueries(entry, now, output);
    forgetIdleBatches(entry.queries, now);
    forgetDeparted(entry.directory, now);
    std::erase_if(entry.flows, [&](const auto &flow) { return isForgettable(entry, flow.second, now); });
}

} // namespace Papaya
