#pragma once

#include "LibCoordination/FlowProtocol.h"

/// Load-based decisions on which agent accepts a new flow.
namespace Papaya {

/// Decides whether this agent accepts a new flow that has been forwarded `hops` times, from its own load and the load reports
/// of the other members. Taken and TakenAtLastHop mean that it accepts. Every other reason states why it does not.
[[nodiscard]] PlacementReason decideNewFlow(const AgentFlows &agent, std::uint8_t hops);

/// Returns the agent to which a new flow is forwarded: the less loaded of the two highest-ranked eligible members other than
/// this agent and `previous`, from which the flow came. Returns null if there is no such member.
[[nodiscard]] const Member *chooseNextAgent(const AgentFlows &agent, const FlowKey &flow, MemberId previous);

} // namespace Papaya
