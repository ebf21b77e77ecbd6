#pragma once

#include "LibCoordination/FlowProtocol.h"

/// The search for the owner of a flow among the agents of a service. Used only by FlowProtocol.cpp and FlowUpkeep.cpp.
namespace Papaya {

/// Holds a packet of a flow whose owner has to be found, and queries all members for the owner unless a search is running. If a
/// search that started less than `noOwnerCacheTime` ago ended without an owner, answers the packet with a reset instead.
void startOwnerSearch(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects);

/// Ends the search for a flow's owner, if one is running, and forwards the held packets to the owner that `entry` names.
void finishSearchWithOwner(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry, Effects &effects);

/// Repeats queries, and stops waiting for members whose lease expired or that left the member list. Ends searches to which no
/// member replied with an owner, and removes the results of ended searches after `noOwnerCacheTime`.
void updateOwnerSearches(AgentFlows &agent, TimePoint now, Effects &effects);

} // namespace Papaya
