#pragma once

#include "LibCoordination/EntryRelay.h"

#include <vector>

/// Snapshots of routes and targets that entry daemons exchange when one of them starts. If the platform cannot be read in that
/// time, the daemon would otherwise drop the packets of flows that it has to search for, although its peers have all the data that
/// the search needs. If the platform was restored from a copy shortly before, the routes and targets that it returns may be older
/// than those of the peers.
namespace Papaya {

/// A snapshot of the routes and targets of an entry daemon. The type is named after the `Knowledge` message that carries it.
struct RelayKnowledge {
    RouteTable routes;
    std::vector<PublishedTarget> targets;
};

/// Returns a snapshot for other entry daemons, or nothing before this one has read routes and targets. Targets whose withdrawal
/// is in effect are left out.
[[nodiscard]] std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now);

/// Applies the snapshot of another entry daemon, unless the snapshot has no routes. Returns whether its routes came into force.
///
/// If this daemon already has routes and targets, newer routes replace its own, and the targets that it lacks are added, but count
/// as withdrawn after `EntryRelayLimits::relistingTime` unless the platform lists them by then.
///
/// The targets of a snapshot do not count as a current list: a flow that no target is known to hold is not reset before the
/// platform itself was read, and `EntryRelayLimits::relistingTime` has passed since then (`RelayReason::HeldByNobody`,
/// `RelayReason::AgentUnreachable`). A flow to an address for which the snapshot has no route is reset (`RelayReason::UnknownRoute`).
bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output);

} // namespace Papaya
