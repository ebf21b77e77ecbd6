#include "LibCoordination/RelayKnowledge.h"

#include <algorithm>

namespace Papaya {

std::optional<RelayKnowledge> gatherKnowledge(const EntryRelay &entry, TimePoint now)
{
    if (!isInformed(entry))
        return std::nullopt;
    RelayKnowledge knowledge;
    knowledge.routes = entry.routes;
    for (const auto &[id, record] : entry.directory.targets) {
        if (record.withdrawnAt)
            continue;
        auto target = record.published;
        target.coldTime = std::max<Duration>(record.coldUntil - now, Duration(0));
        knowledge.targets.push_back(std::move(target));
    }
    return knowledge;
}

bool adoptKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output)
{
    if (isInformed(entry) || knowledge.routes.version == 0)
        return false;
    (void)setRoutes(entry, knowledge.routes, now);
    for (const auto &target : knowledge.targets)
        (void)onPublished(entry, target, now, output);
    noteTargetsListed(entry, now);
    return true;
}

} // namespace Papaya
