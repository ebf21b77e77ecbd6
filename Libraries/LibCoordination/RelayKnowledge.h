#pragma once

#include "LibCoordination/EntryRelay.h"

#include <map>
#include <string>
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
    /// Targets that are no longer listed and get no new flows, but may still hold earlier ones.
    std::vector<PublishedTarget> withdrawnTargets;
    /// Whether the sender's list includes every target that serves, also those whose entries expired while the platform was unavailable.
    bool isSettled = false;
    /// The sender's newest statement on each failure domain whose evacuation was ever stated.
    std::map<std::string, EvacuationStatement> evacuations {};
};

/// Describes the routes, targets and evacuated domains of an entry daemon to a peer. Daemons with the same ones have equal digests.
struct KnowledgeDigest {
    std::uint64_t routesVersion = 0;
    std::uint64_t hash = 0;

    bool operator==(const KnowledgeDigest &) const = default;
};

/// Returns the digest of the routes and targets of an entry daemon.
[[nodiscard]] KnowledgeDigest knowledgeDigest(const EntryRelay &entry, TimePoint now);

/// Answers a daemon that has just started; returns nothing before this one has read routes and targets. `digest` is that of the routes and
/// targets that the asking daemon has read from the platform. The answer has every statement on evacuations. It omits routes and targets if
/// that daemon has the same, or if this daemon's routes are not newer and its list is not settled: then the list was read from the platform
/// as recently as the other one's. Answers stay small while all daemons start at once.
[[nodiscard]] std::optional<RelayKnowledge>
answerKnowledgeRequest(const EntryRelay &entry, const std::optional<KnowledgeDigest> &digest, TimePoint now);

/// Records that no further answer of a peer is expected. If none of them came from a daemon with a settled list, the system has started as
/// a whole.
void finishPeerQueries(EntryRelay &entry);

/// Returns a snapshot for other entry daemons, or nothing before this one has read routes and targets. Targets whose withdrawal
/// is in effect are left out.
[[nodiscard]] std::optional<RelayKnowledge> exportKnowledge(const EntryRelay &entry, TimePoint now);

/// Applies the snapshot of another entry daemon; only its statements on evacuations if it has no routes. Returns whether its routes came
/// into force.
///
/// If this daemon already has routes and targets, newer routes replace its own, and the targets that it lacks are added, but count
/// as withdrawn after `EntryRelayLimits::relistingTime` unless the platform lists them by then.
///
/// The targets of a snapshot do not count as a current list: a flow that no target is known to hold is not reset before the
/// platform itself was read, and, unless the snapshot is settled, `EntryRelayLimits::relistingTime` has passed since then
/// (`RelayReason::HeldByNobody`, `RelayReason::AgentUnreachable`). A flow to an address for which the snapshot has no route is reset
/// (`RelayReason::UnknownRoute`).
bool importKnowledge(EntryRelay &entry, const RelayKnowledge &knowledge, TimePoint now, EntryOutput &output);

} // namespace Papaya
