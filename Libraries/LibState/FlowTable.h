#pragma once

#include "LibState/Clock.h"
#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Papaya {

/// The stage of a flow at the agent that owns it.
enum class FlowStage {
    /// A SYN was taken; the handshake is not complete.
    Embryonic,
    Established,
    /// Both sides are done; the entry stays while late segments may arrive (RFC 9293, TIME-WAIT).
    TimeWait,
};

/// A flow that this agent owns.
struct FlowRecord {
    FlowStage stage = FlowStage::Embryonic;
    /// Sequence number of our SYN, once it was sent; tells our handshake from another agent's.
    std::optional<std::uint32_t> initialSequence;
    TimePoint changedAt;
    /// The member that was last told of this flow; 0 while none was.
    MemberId witness = 0;
    /// How often the witness was told, and when it is told next: announcements may be lost and are not acknowledged.
    std::uint32_t announcements = 0;
    TimePoint nextAnnouncementAt;
};

/// The flows that this agent owns.
using FlowTable = std::unordered_map<FlowKey, FlowRecord>;

/// What this agent knows of a flow that another one owns.
struct DirectoryEntry {
    MemberId owner = 0;
    Endpoint ownerDaemon;
    Incarnation incarnation = 0;
    /// The entry is void after this time unless the owner announces the flow again.
    TimePoint expiresAt;
    /// Keep-alive probes sent to the caller since the owner was lost.
    int probesSent = 0;
    TimePoint probedAt;
    /// When an entry daemon was last told of the owner.
    TimePoint hintedAt;
    /// For a new flow that this agent handed on and nobody announced yet: the hops that its envelope had when it came here.
    std::optional<std::uint8_t> forwardedAtHops;
};

/// The flows that other agents announced to this one, or that it handed on.
using FlowDirectory = std::unordered_map<FlowKey, DirectoryEntry>;

} // namespace Papaya
