#pragma once

#include "LibCoordination/EntryRelay.h"

#include <vector>

/// Snapshots of routes and targets that entry daemons exchange while the platform cannot be read. A daemon that starts in that
/// time would otherwise drop the packets of flows that it has to search for, although its peers have all the data that the
/// search needs.
namespace Papaya {

/// A snapshot of the routes and targets of an entry daemon. It is named after the message that carries it.
struct RelayKnowledge {
    RouteTable routes;
    std::vector<PublishedTarget> targets;
};

/// Returns a snapshot for other entry daemons, or nothing before this one has read routes and targets. Targets that the
/// platform no longer lists are left out.
[[nodiscard]] std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now);

/// Applies the snapshot of another entry daemon, unless this one already has routes and targets from the platform or from an
/// earlier snapshot. Returns whether it was applied. The targets in it do not count as a current list, so no flow is reset
/// because of it.
bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output);

} // namespace Papaya
