#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Papaya {

/// Why a relaying daemon did what it did with a flow.
enum class RelayReason : std::uint8_t {
    /// A new flow went to the target with the least expected cost.
    Placed,
    /// A repeated SYN went to another target, since the first one did not answer.
    PlacedAgain,
    /// A target sent a SYN back, and it went to the next one.
    PlacedAfterReturn,
    /// A target was busy, and the SYN went to another one.
    PlacedAfterBusy,
    /// The caller acknowledged the handshake of this target.
    Opened,
    /// No daemon remembers here who holds the flow, so the agents are asked.
    SearchStarted,
    SearchFound,
    /// A search goes on: the named agent, and maybe others, have not answered.
    SearchUnanswered,
    /// A search waits for the caller's next packet, since searches use as much of the link as they may.
    SearchDeferred,
    /// This daemon has just started and knows no routes or targets yet: a SYN was reset, another packet dropped.
    NotInformed,
    /// The flow was reset: no route has its address.
    UnknownRoute,
    /// The flow was reset: no target of its services takes new flows.
    NoTarget,
    /// The flow was reset: every target sent its SYN back.
    AllReturned,
    /// The flow was reset: its target no longer holds it.
    LostAtTarget,
    /// The flow was reset: every agent denied holding it.
    HeldByNobody,
    /// The flow was reset: its target is gone.
    TargetGone,
    /// The flow was reset: its target's agent, or an agent that may know of it, has not answered for too long, and the caller may
    /// repeat its request elsewhere.
    AgentUnreachable,
    /// The packet was dropped: it may belong to a route that is not known here yet.
    RouteNotYetKnown,
    /// The packet was dropped: its flow is being searched for and enough packets wait.
    TooManyHeld,
    /// The packet was dropped: the table of flows is full.
    TableFull,
};

inline constexpr std::size_t RelayReasonCount = 20;

/// Returns the stable name of a reason for logs and counters.
[[nodiscard]] std::string_view relayReasonName(RelayReason reason);

} // namespace Papaya
