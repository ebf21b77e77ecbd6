#pragma once

#include "LibCoordination/EntryRelay.h"

/// Search for the target of a flow that is not in the entry daemon's cache: the entry daemon asks the agents whose targets may
/// hold the flow.
namespace Papaya {

/// Starts a search for the target that holds the flow, and queries the agents that the flow's hash ranks first. Targets receive no packet
/// while their agents can tell whether they hold the flow.
void startSearch(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output);

/// Starts a search for an open flow whose target may hold it no longer. There is no packet to send to targets until the caller's next one.
void startSearchWithoutPacket(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Processes a further packet of a flow that is being searched for: buffers it. If the requests were sent
/// at least `searchRetryInterval` ago, the packet replaces the buffered ones, and the unanswered requests are repeated.
void continueSearch(EntryRelay &entry,
                    const PacketSummary &summary,
                    EntryFlow &flow,
                    std::span<const std::byte> packet,
                    TimePoint now,
                    EntryOutput &output);

/// Ends a search: the agent's target holds the flow. Sends the target the buffered packets.
void onFlowHeld(const Endpoint &agent, ServiceId service, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Records that the agent's target does not hold the flow, and continues with the agents that were not asked yet. After the
/// last denial the flow is reset once the list of targets is current, or under the conditions of `maximumResetDelay`.
void onFlowDenied(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Processes an agent's answer with `FlowVerdict::Unknown`. Sends the agent's target a packet of the flow as a probe, unless the
/// target belongs to a service whose targets must not receive the flow's packets. While other agents have not answered, one
/// probe is sent in `probeInterval`.
void onFlowUnknown(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Sends the queries that are due, within the bandwidth that searches may use. Call after each received packet or message, and
/// often enough in between for `QueryLimits::batchInterval`.
void sendQueries(EntryRelay &entry, TimePoint now, EntryOutput &output);

/// Continues a search without a packet from the caller: repeats unanswered requests and, if the requests of the flow's route
/// are idempotent, disregards unreachable agents. Call several times a second.
void retrySearch(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output);

/// Sends an agent an empty query to find out whether it is reachable, unless it sent a message within `agentContactValidity` or
/// was queried within `queryInterval`.
void pingAgent(EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now, EntryOutput &output);

/// Returns whether an agent is unreachable and the requests of the flow's route are idempotent, so that the flow may be reset
/// without the agent's answer. A flow whose request must not run twice is not reset, since its target may still answer.
[[nodiscard]] bool mayResetWithoutAgent(const EntryRelay &entry, const FlowKey &flow, const Endpoint &agent);

/// Continues the searches whose reset waits for a current list of targets: asks the agents of targets that were listed since, or
/// tries the reset again.
void retryPendingResets(EntryRelay &entry, TimePoint now, EntryOutput &output);

/// Ends an open flow whose cached target has terminated or is unreachable. Resets the flow if its handshake was confirmed at that target.
/// If the agent's flow table was the only evidence, searches for the flow again: the table may have had an earlier flow with the same
/// ports. Returns false if the target was only assumed: the caller of this function then removes the entry, so that the flow's next
/// packet starts a search.
[[nodiscard]] bool
endOpenFlow(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, RelayReason reason, TimePoint now, EntryOutput &output);

/// Resets a flow and keeps its entry for `endedFlowRetention`.
void resetFlow(const FlowKey &key, EntryFlow &flow, RelayReason reason, std::uint32_t sequence, TimePoint now, EntryOutput &output);

} // namespace Papaya
