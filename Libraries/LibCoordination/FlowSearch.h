#pragma once

#include "LibCoordination/FlowProtocol.h"

/// The search for the owner of a flow among the agents of a service. Only the FlowProtocol and FlowUpkeep sources use it.
namespace Papaya {

/// Holds a packet of a flow whose owner has to be found, and queries all members for the owner. If an earlier search
/// ended without an owner less than `noOwnerCacheTime` after its start, answers the packet with a reset instead.
void startOwnerSearch(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects);

/// Ends the search for a flow's owner, if one is running, and forwards the held packets to the owner that `entry` names.
void finishSearchWithOwner(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry, Effects &effects);

/// Repeats unanswered queries, stops waiting for members whose lease expired or that left the member list, ends searches to
/// which no member replied with an owner, and removes the results of ended searches after `noOwnerCacheTime`.
void updateOwnerSearches(AgentFlows &agent, TimePoint now, Effects &effects);

} // namespace Papaya
