#pragma once

#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

/// The messages between relaying entry daemons and agents. Each travels in one datagram and may be lost.
namespace Papaya {

/// What an agent is to do with a packet.
enum class EnvelopePurpose : std::uint8_t {
    /// Pass the packet to the target.
    Forward,
    /// Pass the SYN to the target unless it has as many requests running as the envelope says, or more.
    Place,
    /// Say whether the target holds the flow of the packet, and pass the packet on if it does.
    Search,
    /// Nothing: the envelope has no packet and only asks for load reports.
    Subscribe,
};

/// A packet on its way from an entry daemon to the agent of a target.
struct RelayEnvelope {
    ServiceId service = 0;
    EnvelopePurpose purpose = EnvelopePurpose::Forward;
    std::span<const std::byte> packet;
    /// For Place: running requests from which on the target is busy.
    std::uint32_t busyThreshold = 0;
    /// For Subscribe: the run of the target that the platform publishes; 0 while unknown.
    Incarnation targetIncarnation = 0;
};

/// Asks an agent which of several flows its target holds, as far as the agent knows. The target gets no packet.
struct RelayQuery {
    ServiceId service = 0;
    std::vector<FlowKey> flows;
};

/// What an agent knows of a flow.
enum class FlowVerdict : std::uint8_t {
    /// The agent started after the flow may have been opened; only the target can tell.
    Unknown,
    Held,
    Denied,
};

/// An agent's knowledge of one flow.
struct FlowFinding {
    FlowKey flow;
    FlowVerdict verdict = FlowVerdict::Unknown;

    bool operator==(const FlowFinding &) const = default;
};

/// Whether a target reacts to packets.
enum class TargetState : std::uint8_t {
    Answering,
    /// It has let packets go unanswered; it may be out of reach for a while and still hold its flows.
    Silent,
    /// Its port is closed: no program runs there, and the flows of the former one are gone.
    Closed,
};

/// The load of one target as its agent sees it.
struct TargetLoad {
    /// Flows that are open at the target.
    std::uint32_t openFlows = 0;
    /// Requests that were passed on and whose answer has not begun.
    std::uint32_t runningRequests = 0;
    /// Mean time in microseconds until an answer begins; 0 while unknown.
    std::uint32_t responseTime = 0;
    TargetState state = TargetState::Answering;

    bool operator==(const TargetLoad &) const = default;
};

/// What became of a packet at an agent.
enum class NoticeKind : std::uint8_t {
    /// The target answered a SYN; `sequence` is the initial sequence number that it chose.
    Accepted,
    /// The target sent the packet back; it is attached.
    Returned,
    /// The target is busy, and the SYN was not passed on; it is attached.
    Busy,
    /// The target holds the flow that was searched for.
    Held,
    /// The target does not hold the flow that was searched for.
    Denied,
    /// The port of the target is closed; the packet is attached.
    TargetDown,
    /// The agent serves another service than the envelope named; the packet is attached.
    WrongService,
};

/// An agent's answer to an envelope.
struct RelayNotice {
    NoticeKind kind = NoticeKind::Accepted;
    FlowKey flow;
    std::uint32_t sequence = 0;
    ServiceId service = 0;
    TargetLoad load;
    std::span<const std::byte> packet;
};

/// An agent's periodic word on its target.
struct RelayReport {
    ServiceId service = 0;
    TargetLoad load;
};

/// An agent's answer to a query.
struct RelayAnswer {
    ServiceId service = 0;
    TargetLoad load;
    std::vector<FlowFinding> findings;
};

using RelayMessage = std::variant<RelayEnvelope, RelayNotice, RelayReport, RelayQuery, RelayAnswer>;

/// Returns the stable name of a notice for logs.
[[nodiscard]] std::string_view noticeKindName(NoticeKind kind);

} // namespace Papaya
