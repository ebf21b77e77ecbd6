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
    /// The agent accepted a SYN; the handshake is not complete.
    Embryonic,
    Established,
    /// Both sides have closed the flow. The entry stays for segments that arrive late (RFC 9293, TIME-WAIT).
    TimeWait,
};

/// A flow that this agent owns.
struct FlowRecord {
    FlowStage stage = FlowStage::Embryonic;
    /// The initial sequence number of this agent's handshake, once it was sent. It distinguishes this handshake from one of
    /// another agent.
    std::optional<std::uint32_t> initialSequence;
    TimePoint changedAt;
    /// The witness of this flow: the member that the last announcement was sent to, and that keeps a directory entry of the
    /// flow. 0 before the first announcement, and again when another member becomes the witness or the witness restarts: the
    /// announcements then start over.
    MemberId witness = 0;
    /// Number of announcements sent to the witness, and the time of the next one. Announcements are repeated because they may
    /// be lost and are not acknowledged.
    std::uint32_t announcements = 0;
    TimePoint nextAnnouncementAt;
};

/// The flows that this agent owns.
using FlowTable = std::unordered_map<FlowKey, FlowRecord>;

/// Directory entry of a flow that another agent owns.
struct DirectoryEntry {
    MemberId owner = 0;
    Endpoint ownerDaemon;
    Incarnation incarnation = 0;
    /// The entry expires at this time unless the owner announces the flow again.
    TimePoint expiresAt;
    /// Number of keep-alive probes sent to the caller since the owner's lease expired or the owner restarted, and the time of
    /// the last one.
    int probesSent = 0;
    TimePoint probedAt;
    /// When a hint with the owner was last sent to an entry daemon.
    TimePoint hintedAt;
    /// For a new flow that this agent forwarded and that no agent has announced yet: the number of hops in its envelope when it
    /// arrived here.
    std::optional<std::uint8_t> forwardedAtHops;
};

/// The flows that other agents announced to this one, or that it forwarded to another agent.
using FlowDirectory = std::unordered_map<FlowKey, DirectoryEntry>;

} // namespace Papaya
