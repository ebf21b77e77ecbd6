#pragma once

#include "LibState/Clock.h"
#include "LibState/EvacuationStatement.h"
#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

/// The messages between relaying entry daemons and agents. Each one is sent in a single datagram and may be lost.
namespace Papaya {

/// What an agent does with the packet of an envelope.
enum class EnvelopePurpose : std::uint8_t {
    /// Send the packet to the target.
    Forward,
    /// Send the SYN to the target, unless its running requests and reserved slots reach `busyThreshold` or its capacity.
    Place,
    /// Report whether the target holds the packet's flow, and send the target the packet if it holds or may hold the flow.
    Search,
    /// The envelope has no packet and only subscribes to load reports.
    Subscribe,
};

/// A packet that an entry daemon sends to the agent of a target.
struct RelayEnvelope {
    ServiceId service = 0;
    EnvelopePurpose purpose = EnvelopePurpose::Forward;
    std::span<const std::byte> packet;
    /// For Place: the number of running requests and reserved slots at which the target counts as busy.
    std::uint32_t busyThreshold = 0;
    /// For Subscribe: the target's incarnation that the platform publishes; 0 if unknown.
    Incarnation targetIncarnation = 0;
    /// For a SYN: the priority of the flow's route; 0 is the most urgent.
    std::uint8_t priority = 0;
    /// For Subscribe: whether the target's failure domain is evacuated.
    EvacuationStatement evacuation {};
    /// For Subscribe: how much longer the target is cold, and how many new flows it bears a second meanwhile; 0 means no limit.
    Duration coldTime {0};
    std::uint32_t coldRate = 0;
};

/// Asks an agent which of several flows its target holds, according to the agent's flow table. The target is sent no packet.
struct RelayQuery {
    ServiceId service = 0;
    std::vector<FlowKey> flows;
};

/// An agent's answer to whether its target holds a flow.
enum class FlowVerdict : std::uint8_t {
    /// Only a probe of the target can determine whether it holds the flow. The agent started after the flow may have been opened,
    /// or the flow is in its table without being open (the handshake is incomplete, or both sides have finished).
    Unknown,
    Held,
    Denied,
};

/// An agent's answer on one flow.
struct FlowFinding {
    FlowKey flow;
    FlowVerdict verdict = FlowVerdict::Unknown;

    bool operator==(const FlowFinding &) const = default;
};

/// Whether a target answers packets.
enum class TargetState : std::uint8_t {
    Answering,
    /// The target left packets unanswered. It may be temporarily unreachable and still hold its flows.
    Silent,
    /// The target's port is closed: no process listens there, and the flows of the previous one are lost.
    Closed,
    /// The target's agent is being restarted as planned. The target keeps its flows, but no packets reach it until the next agent has
    /// started. Older versions read this state as `Silent`.
    AgentRestarting,
};

/// The load of one target, as measured by its agent.
struct TargetLoad {
    /// Number of open flows at the target.
    std::uint32_t openFlows = 0;
    /// Number of requests that were sent to the target and whose answer has not begun.
    std::uint32_t runningRequests = 0;
    /// Moving average of the time in microseconds until an answer begins; 0 before the first answer.
    std::uint32_t responseTime = 0;
    TargetState state = TargetState::Answering;
    /// Number of requests that the target bears at once, as its agent estimates; 0 without an estimate: then the published slots count.
    std::uint32_t capacity = 0;
    /// Number of flows that the target accepted a moment ago and whose first request has not arrived.
    std::uint32_t reservedSlots = 0;

    bool operator==(const TargetLoad &) const = default;
};

/// What happened to a packet at an agent, or what the agent answers to a search.
enum class NoticeKind : std::uint8_t {
    /// The target answered a SYN; `sequence` is the initial sequence number of its SYN-ACK.
    Accepted,
    /// The target returned the packet, which is attached.
    Returned,
    /// The target is busy and was not sent the SYN, which is attached.
    Busy,
    /// The target holds the flow that was searched for.
    Held,
    /// The target does not hold the flow that was searched for.
    Denied,
    /// The port of the target is closed; the packet is attached.
    TargetDown,
    /// The agent serves another service than the envelope named; the packet is attached.
    WrongService,
    /// The target's failure domain is evacuated, and the target was not sent the SYN, which is attached.
    Evacuated,
};

/// An agent's answer to an envelope.
struct RelayNotice {
    NoticeKind kind = NoticeKind::Accepted;
    FlowKey flow;
    std::uint32_t sequence = 0;
    ServiceId service = 0;
    TargetLoad load;
    std::span<const std::byte> packet;
    /// For Evacuated: what the agent was told of the evacuation.
    EvacuationStatement evacuation {};
};

/// An agent's periodic report on its target.
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

/// Returns the stable name of a target's state for logs.
[[nodiscard]] std::string_view targetStateName(TargetState state);

} // namespace Papaya
