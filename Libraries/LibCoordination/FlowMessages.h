#pragma once

#include "LibCoordination/MemberTable.h"
#include "LibState/FlowKey.h"

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace Papaya {

/// An IP packet of a flow on its way to the agent that owns it.
struct Envelope {
    ServiceId service = 0;
    std::uint64_t revision = 0;
    /// Number of agents that have forwarded the packet so far.
    std::uint8_t hops = 0;
    MemberId sender = 0;
    Endpoint senderDaemon;
    std::vector<std::byte> packet;

    bool operator==(const Envelope &) const = default;
};

/// Asks an agent for the owner of a flow, in a search that FlowSearch.h describes. The agent answers with a LocateReply that
/// names itself, the owner in its flow directory, or no owner.
struct LocateQuery {
    ServiceId service = 0;
    FlowKey flow;
    MemberId sender = 0;
    Endpoint senderDaemon;

    bool operator==(const LocateQuery &) const = default;
};

/// Answers a LocateQuery. Two kinds of LocateReply are sent without a query: one with an owner, as a hint for an entry daemon,
/// and one without an owner, to the agent that forwarded a packet. The latter is sent if the receiver of this packet neither
/// owns the flow nor has a usable directory entry for it.
struct LocateReply {
    FlowKey flow;
    MemberId sender = 0;
    /// Whether `owner` is set. If false, the sender neither owns the flow nor has a usable directory entry for it.
    bool isFound = false;
    MemberId owner = 0;
    Endpoint ownerDaemon;
    Incarnation incarnation = 0;

    bool operator==(const LocateReply &) const = default;
};

/// Announces the ownership of flows to their witness, the agent that keeps a directory entry of each flow in case its owner
/// fails.
struct Announce {
    MemberId owner = 0;
    Endpoint ownerDaemon;
    Incarnation incarnation = 0;
    std::vector<FlowKey> flows;

    bool operator==(const Announce &) const = default;
};

/// Requests that the witness of flows that have ended remove its directory entries of them.
struct Release {
    MemberId owner = 0;
    std::vector<FlowKey> flows;

    bool operator==(const Release &) const = default;
};

/// Any message that daemons exchange in datagrams.
using FlowMessage = std::variant<Envelope, LocateQuery, LocateReply, Announce, Release, Heartbeat>;

} // namespace Papaya
