#pragma once

#include "LibCoordination/AgentRelay.h"

/// Requests on flows that an agent does not know, since it started after they were opened. They count as running from the caller's data on,
/// so that the reports of an agent that has restarted do not show an idle target. The flow itself is recorded only when the target answers:
/// the target may return the packet, and then the agent must not claim that the flow is held.
namespace Papaya {

/// Records a caller's packet of a flow that is not in the agent's table.
void recordUnconfirmed(AgentRelay &agent, const Endpoint &entry, const PacketSummary &summary, TimePoint now);

/// Moves the request of a flow that the target has answered to the flow's entry in the agent's table.
void confirmRequest(AgentRelay &agent, const FlowKey &key, AgentFlow &flow);

/// Removes the request of a flow, if there is one: the target does not hold the flow, or the flow has ended.
void removeUnconfirmed(AgentRelay &agent, const FlowKey &key);

/// Removes the requests of flows that neither the target nor the caller has sent a packet of for a while.
void removeExpiredUnconfirmed(AgentRelay &agent, TimePoint now);

} // namespace Papaya
