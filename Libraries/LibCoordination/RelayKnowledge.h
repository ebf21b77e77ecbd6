#pragma once

#include "LibCoordination/EntryRelay.h"

#include <vector>

/// What entry daemons tell one another while the platform cannot be read. A daemon that starts then would otherwise drop the
/// packets of flows that it has to find, although the daemons beside it know all that it needs.
namespace Papaya {

/// The routes and targets that an entry daemon knows.
struct RelayKnowledge {
    RouteTable routes;
    std::vector<PublishedTarget> targets;
};

/// Returns what an entry daemon can tell others; nothing while it knows too little itself. Targets that the platform no longer
/// lists are left out.
[[nodiscard]] std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now);

/// Takes what another entry daemon told, unless this one has read the platform or was told already. Returns whether it was taken.
/// The list of targets does not count as current, so no flow is reset because of it.
bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output);

} // namespace Papaya
