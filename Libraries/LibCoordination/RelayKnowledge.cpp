#include "LibCoordination/RelayKnowledge.h"

#include <algorithm>

namespace Papaya {

std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now)
{
    if (!hasRoutesAndTargets(entry))
        return std::nullopt;
    RelayKnowledge knowledge;
    knowledge.routes = entry.routes;
    for (const auto &[id, record] : entry.directory.targets) {
        if (record.departedAt)
            continue;
        auto target = record.published;
        target.coldTime = std::max<Duration>(record.coldUntil - now, Duration(0));
        knowledge.targets.push_back(std::move(target));
    }
    return knowledge;
}

bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output)
{
    if (hasRoutesAndTargets(entry) || knowledge.routes.version == 0)
        return false;
    (void)setRoutes(entry, knowledge.routes, now);
    for (const auto &target : knowledge.targets)
        (void)onTargetPublished(entry, target, now, output);
    markTargetsListed(entry, now);
    return true;
}

} // namespace Papaya
