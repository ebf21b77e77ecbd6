#include "LibCoordination/ListEvidence.h"

#include "LibBalancing/VmEntries.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns whether a run of a target holds no flow from before this daemon's start: it began together with the daemon, or has ended.
bool isRunNew(const EntryRelay &entry, const TargetRecord &record)
{
    if (record.load.state == TargetState::Closed)
        return true;
    if (entry.startIncarnation == 0 || record.published.incarnation == 0)
        return false;
    const auto difference =
        std::max(entry.startIncarnation, record.published.incarnation) - std::min(entry.startIncarnation, record.published.incarnation);
    return difference <= static_cast<Incarnation>(entry.limits.commonStartTime.count());
}

/// Returns whether every listed target whose agent has sent a message began its run together with this daemon, and these are at least half
/// of the listed targets. Then the whole system has lost power, and a target that the list lacks holds no earlier flow either.
bool haveAllTargetsJustStarted(const EntryRelay &entry, TimePoint now)
{
    std::size_t listed = 0;
    std::size_t newRuns = 0;
    for (const auto &[id, record] : entry.directory.targets) {
        if (record.withdrawnAt || record.isDisownedByAgent || isSuperseded(entry.directory, record, now))
            continue;
        ++listed;
        if (!record.lastMessageAt)
            continue;
        if (!isRunNew(entry, record))
            return false;
        ++newRuns;
    }
    return newRuns > 0 && newRuns * 2 >= listed;
}

} // namespace

bool areTargetsCurrentAsOf(const EntryRelay &entry, TimePoint time)
{
    return entry.targetsCurrentAsOf >= time;
}

ListEvidence listEvidence(const EntryRelay &entry, TimePoint now)
{
    if (!entry.firstTargetListAsOf)
        return ListEvidence::None;
    if (areTargetsCurrentAsOf(entry, *entry.firstTargetListAsOf + entry.limits.relistingTime))
        return ListEvidence::Elapsed;
    if (entry.peerEvidence == PeerEvidence::Settled)
        return ListEvidence::Peer;
    return haveAllTargetsJustStarted(entry, now) ? ListEvidence::CommonStart : ListEvidence::None;
}

std::string_view listEvidenceName(ListEvidence evidence)
{
    switch (evidence) {
    case ListEvidence::None:
        return "none";
    case ListEvidence::Elapsed:
        return "elapsed";
    case ListEvidence::Peer:
        return "peer";
    case ListEvidence::CommonStart:
        return "common_start";
    }
    return "unknown";
}

bool isListCheckDue(const EntryRelay &entry, TimePoint now)
{
    if (!mayListLackTargets(entry, now))
        return false;
    return entry.firstTargetListAsOf && now - *entry.firstTargetListAsOf >= entry.limits.relistingTime;
}

bool mayListLackTargets(const EntryRelay &entry, TimePoint now)
{
    return listEvidence(entry, now) == ListEvidence::None;
}

} // namespace Papaya
