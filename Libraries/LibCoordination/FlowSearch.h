#pragma once

#include "LibCoordination/FlowProtocol.h"

/// The search for the owner of a flow among the agents of a service. Used by FlowProtocol alone.
namespace Papaya {

/// Holds a packet of a flow without a known owner, and asks all members for it. While the verdict that nobody owns the flow
/// stands, the packet is answered with a reset.
void startLocate(AgentFlows &agent, const Envelope &envelope, const FlowKey &flow, TimePoint now, Effects &effects);

/// Ends a search, if there is one, whose flow's owner is known now: the held packets go there.
void concludeFound(AgentFlows &agent, const FlowKey &flow, const DirectoryEntry &entry, Effects &effects);

/// Repeats queries, stops waiting for members whose lease ran out or that left the list, and ends searches without an owner.
void reviewLocates(AgentFlows &agent, TimePoint now, Effects &effects);

} // namespace Papaya
