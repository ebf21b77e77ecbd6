#pragma once

#include "LibBalancing/Evacuation.h"
#include "LibCoordination/EntryRelay.h"

/// Evacuations of failure domains at an entry daemon: what it learns of them, tells agents, and decides on SYNs. Open flows, searches,
/// probes and queries do not depend on evacuations.
namespace Papaya {

/// Applies a full read of the platform.
void onEvacuationsListed(EntryRelay &entry, const EvacuationList &list, TimePoint now, EntryOutput &output);

/// Applies a statement on a domain. Agents of the domain's targets are told a newer one at once.
void onEvacuationStated(EntryRelay &entry,
                        const std::string &domain,
                        const EvacuationStatement &statement,
                        EvacuationSource source,
                        TimePoint now,
                        EntryOutput &output);

/// Applies the statement of an agent that returned a SYN. An agent whose statement is older than this daemon's is told the newer one.
void onEvacuationNotice(EntryRelay &entry, const Endpoint &agent, const RelayNotice &notice, TimePoint now, EntryOutput &output);

/// Ends the evacuations whose grace after a restore of the platform has passed. Called on each tick.
void settleEvacuationsOfEntry(EntryRelay &entry, TimePoint now, EntryOutput &output);

/// Returns the subscription to the reports of a target's agent.
[[nodiscard]] RelayEnvelope makeSubscription(const EntryRelay &entry, const PublishedTarget &target, TimePoint now);

/// Returns whether the target of a service at an agent is in an evacuated domain.
[[nodiscard]] bool isEvacuatedAt(const EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now);

/// Returns whether a SYN starts a later flow with the ports of one whose target is in an evacuated domain by now. The SYN must not follow
/// the earlier flow there.
[[nodiscard]] bool isNewFlowAtEvacuated(const EntryRelay &entry, const EntryFlow &flow, const PacketSummary &summary, TimePoint now);

/// Returns the reason to reset a SYN that no target is left for: `Evacuated` if the route has usable targets in evacuated domains only,
/// otherwise `fallback`.
[[nodiscard]] RelayReason reasonWithoutTarget(const EntryRelay &entry, const FlowKey &key, RelayReason fallback, TimePoint now);

} // namespace Papaya
