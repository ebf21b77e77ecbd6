#include "LibBalancing/VmEntries.h"
#include "LibCoordination/EntryEvacuation.h"
#include "LibCoordination/EntryRelay.h"
#include "LibCoordination/EntrySearch.h"
#include "LibCoordination/ListEvidence.h"

/// Periodic tasks of an entry daemon: queries agents that do not answer, resets flows whose targets have terminated or are unreachable,
/// repeats unanswered searches and removes expired entries.
namespace Papaya {

namespace {

bool isExpired(const EntryRelay &entry, const EntryFlow &flow, TimePoint now)
{
    const auto idle = now - flow.lastSeenAt;
    if (flow.stage == EntryFlowStage::Ended || flow.isFinished || flow.stage == EntryFlowStage::Opening)
        return idle >= entry.limits.endedFlowRetention;
    return idle >= entry.limits.flowIdleTimeout;
}

/// Ends an open flow when its target has terminated, or when the caller retransmits without an answer, the agent is
/// unreachable too and the requests of the flow's route are idempotent.
/// Returns whether the flow's entry has to be removed, since its target was only assumed.
[[nodiscard]] bool checkOpenFlow(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.isFinished)
        return false;
    const auto *record = findServiceByAgent(entry.directory, flow.agent, flow.service, now);
    if (record != nullptr && isTerminated(entry.directory, *record, now))
        return !endOpenFlow(entry, key, flow, RelayReason::TargetGone, now, output);
    const bool isUnreachable = flow.isRetransmitting && mayResetWithoutAgent(entry, key, flow.agent);
    return isUnreachable && !endOpenFlow(entry, key, flow, RelayReason::AgentUnreachable, now, output);
}

/// Returns whether this daemon has to know whether an agent answers: a request to it is unanswered, it announced its restart, or its
/// target is withdrawn and it has sent nothing for a while.
bool isContactRequired(const EntryRelay &entry, const TargetRecord &record, TimePoint now)
{
    if (record.unanswered || record.load.state == TargetState::AgentRestarting)
        return true;
    const bool isWithdrawn = record.withdrawnAt && *record.withdrawnAt <= now;
    const bool isQuiet = !record.lastMessageAt || now - *record.lastMessageAt >= entry.limits.withdrawnContactInterval;
    return isWithdrawn && isQuiet;
}

/// Queries the agents whose answer decides whether flows are reset, until they answer or their targets count as terminated.
void pingAgents(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    for (const auto &[id, record] : entry.directory.targets) {
        if (isContactRequired(entry, record, now) && !isTerminated(entry.directory, record, now))
            pingAgent(entry, record.published.agent, record.published.service, now, output);
    }
}

} // namespace

void onEntryTick(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    detectPause(entry, now);
    settleEvacuationsOfEntry(entry, now, output);
    pingAgents(entry, now, output);
    for (auto item = entry.flows.begin(); item != entry.flows.end();) {
        const auto current = item++;
        auto &[key, flow] = *current;
        if (flow.stage == EntryFlowStage::Searching)
            retrySearch(entry, key, flow, now, output);
        else if (flow.stage == EntryFlowStage::Open && checkOpenFlow(entry, key, flow, now, output))
            entry.flows.erase(current);
    }
    if (isListCheckDue(entry, now))
        output.refreshTargets();
    if (!mayListLackTargets(entry, now))
        retryPendingResets(entry, now, output);
    sendQueries(entry, now, output);
    removeIdleBatches(entry.queries, now);
    removeWithdrawn(entry.directory, now);
    std::erase_if(entry.flows, [&](const auto &flow) { return isExpired(entry, flow.second, now); });
}

} // namespace Papaya
