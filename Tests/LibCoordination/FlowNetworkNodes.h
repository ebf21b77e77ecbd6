#pragma once

#include "LibCoordination/FlowNetwork.h"

/// The private types of FlowNetwork, for its source files only.
namespace Papaya {

struct FlowNetwork::SegmentToCaller {
    enum class Kind { SynAck, Answer, Reset, Probe };
    Kind kind = Kind::Answer;
    FlowKey flow;
    std::uint32_t sequence = 0;
};

struct FlowNetwork::Event {
    TimePoint due;
    std::uint64_t order = 0;
    Endpoint to;
    std::variant<FlowMessage, SegmentSummary, SegmentToCaller, VmList> payload;

    bool operator<(const Event &other) const { return std::pair(due, order) > std::pair(other.due, other.order); }
};

struct FlowNetwork::Agent {
    std::string name;
    Endpoint daemon;
    AgentFlows flows;
    MemberTable members;
    bool isRunning = true;
    bool isPaused = false;
    std::optional<TimePoint> leavingSince;
    std::deque<FlowMessage> socketBuffer;
    /// The TCP stack: the agent's initial sequence number of each connection.
    std::map<FlowKey, std::uint32_t> stack;
    TimePoint lastTickAt;
    TimePoint lastHeartbeatAt;
    TimePoint handshakesRetriedAt;
};

struct FlowNetwork::Entry {
    Endpoint daemon;
    MemberTable members;
    RoutingTable table;
    FlowHints hints {4'096};
    TimePoint lastTickAt;
};

struct FlowNetwork::Caller {
    enum class Stage { Opening, Established, Ended };
    FlowKey flow;
    Stage stage = Stage::Opening;
    bool isIdle = false;
    std::uint32_t remoteSequence = 0;
    TimePoint sentAt;
    /// When the segment that is still unanswered was first sent.
    std::optional<TimePoint> unansweredSince;
};

} // namespace Papaya
