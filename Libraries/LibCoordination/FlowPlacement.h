#pragma once

#include "LibCoordination/FlowProtocol.h"

/// Which agent takes a new flow, by load.
namespace Papaya {

/// Returns whether this agent would take a new flow at this hop by its own load and the members' reports.
[[nodiscard]] PlacementReason decideNewFlow(const AgentFlows &agent, std::uint8_t hops);

/// Returns who should get a flow that this agent does not take: the less loaded of the two next-ranked eligible members other
/// than `previous`; nobody when there is none.
[[nodiscard]] const Member *chooseNext(const AgentFlows &agent, const FlowKey &flow, MemberId previous);

} // namespace Papaya
