#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Papaya {

/// Reason for a decision on a flow in an entry daemon, as logs and counters print it. The names of the values mirror the
/// printed names.
enum class RelayReason : std::uint8_t {
    /// A new flow went to the target with the least expected cost.
    Placed,
    /// A retransmitted SYN went to another target, since the first one did not answer.
    PlacedAgain,
    /// A target returned the SYN, and the SYN went to another target.
    PlacedAfterReturn,
    /// A target was busy, and the SYN went to another target.
    PlacedAfterBusy,
    /// The caller completed the handshake with this target.
    Opened,
    /// The entry daemon has no entry for the flow, or the target that it assumed returned a packet, so the entry daemon asks the
    /// agents which target holds the flow.
    SearchStarted,
    SearchFound,
    /// Agents have not answered a search, and are asked again. The decision names one of them.
    SearchUnanswered,
    /// A search did not send all its probes, because searches have used up their share of the link's bandwidth. The search
    /// continues with the caller's next packet, or on a tick if agents were asked that have not answered.
    SearchDeferred,
    /// The daemon has not read routes and targets since its start: a SYN was reset, another packet was dropped.
    NotInformed,
    /// The flow was reset: no route has the address that it is sent to.
    UnknownRoute,
    /// The flow was reset: no target of the route's services accepts new flows.
    NoTarget,
    /// The flow was reset: the only targets left for its SYN are in evacuated domains.
    Evacuated,
    /// The flow was reset: every target returned its SYN.
    AllReturned,
    /// The flow was reset: its target returned a packet because it no longer holds the flow, and no other target holds it.
    LostAtTarget,
    /// The flow was reset: no target holds it, according to all agents.
    HeldByNobody,
    /// The flow was reset: its target has terminated or was replaced.
    TargetGone,
    /// The flow was reset: the agent of its target, or an agent whose target may hold it, has exceeded its answer timeout, and
    /// the requests of the route are idempotent.
    AgentUnreachable,
    /// The packet was dropped: its address may belong to a route that this daemon has not received yet.
    RouteNotYetKnown,
    /// The packet was dropped: its flow is being searched for, and the buffer for the flow's packets is full.
    TooManyHeld,
    /// The table of flows is full: a SYN was reset, another packet was dropped.
    TableFull,
    /// The SYN was reset: no target can answer the flow's first request before the route's timeout. It was sent to no target.
    NoRoom,
};

inline constexpr std::size_t RelayReasonCount = 22;

/// Returns the stable name of a reason for logs and counters.
[[nodiscard]] std::string_view relayReasonName(RelayReason reason);

} // namespace Papaya
