#include "LibCoordination/RelayKnowledge.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Applies the targets of a snapshot to a directory that already has a list of targets. What the snapshot says of a target is
/// ignored if the platform has withdrawn the target, since the snapshot may be older than the withdrawal.
void mergeTargets(EntryRelay &entry, std::span<const PublishedTarget> targets, TimePoint now, EntryOutput &output)
{
    for (const auto &target : targets) {
        const auto known = entry.directory.targets.find(target.id);
        const bool isMissing = known == entry.directory.targets.end();
        if (!isMissing && known->second.withdrawnAt)
            continue;
        (void)onTargetPublished(entry, target, now, output);
        if (isMissing)
            (void)applyWithdrawn(entry.directory, target.id, now + entry.limits.relistingTime);
    }
}

} // namespace

std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now)
{
    if (!hasRoutesAndTargets(entry))
        return std::nullopt;
    RelayKnowledge knowledge;
    knowledge.routes = entry.routes;
    for (const auto &[id, record] : entry.directory.targets) {
        if (record.withdrawnAt && *record.withdrawnAt <= now)
            continue;
        auto target = record.published;
        target.coldTime = std::max<Duration>(record.coldUntil - now, Duration(0));
        knowledge.targets.push_back(std::move(target));
    }
    return knowledge;
}

bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output)
{
    if (knowledge.routes.version == 0)
        return false;
    const bool isApplied = setRoutes(entry, knowledge.routes, now);
    if (entry.hasTargetList) {
        mergeTargets(entry, knowledge.targets, now, output);
        return isApplied;
    }
    for (const auto &target : knowledge.targets)
        (void)onTargetPublished(entry, target, now, output);
    markTargetsListed(entry, now);
    return isApplied;
}

} // namespace Papaya
