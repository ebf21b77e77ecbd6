#pragma once

#include "LibCoordination/AgentRelay.h"

/// Slow start of an agent's target, and the bound on the new flows of a cold one: what the agent learns from the packets that it relays and
/// from entry daemons, applied to the target's TargetPace and ColdBound. These functions read no clock and no socket.
namespace Papaya {

/// Applies what a Subscribe message states about the target's start and its cold time. The pace starts if the target has started lately
/// and the agent has not seen that start yet, or if the target has become cold. An agent that has restarted beside a target that has run
/// for long therefore sets no limit.
void applyTargetStart(AgentRelay &agent, const RelayEnvelope &envelope, TimePoint now);

/// Starts the pace if the target answers again after its port was closed or it was silent. Call on a packet of the target, before the
/// target's state and `unansweredSynSince` are updated.
void detectRecovery(AgentRelay &agent, TimePoint now);

/// Returns whether a packet may be passed to the target. If not, it is a SYN that is returned as busy, and counted.
[[nodiscard]] bool admitPacket(AgentRelay &agent, const RelayEnvelope &envelope, const PacketSummary &summary, TimePoint now);

/// Records the beginning of the answer to a flow's running request.
void recordFlowAnswer(AgentRelay &agent, const AgentFlow &flow, TimePoint now);

/// Records that a flow ended while a request ran. The pace starts when the target fails most of its requests.
void recordFailedRequest(AgentRelay &agent, TimePoint now);

} // namespace Papaya
