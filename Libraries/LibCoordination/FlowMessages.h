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
    /// Agents that have passed the packet on so far.
    std::uint8_t hops = 0;
    MemberId sender = 0;
    Endpoint senderDaemon;
    std::vector<std::byte> packet;

    bool operator==(const Envelope &) const = default;
};

/// Asks an agent whether it owns a flow or knows who does.
struct LocateQuery {
    ServiceId service = 0;
    FlowKey flow;
    MemberId sender = 0;
    Endpoint senderDaemon;

    bool operator==(const LocateQuery &) const = default;
};

/// Answers a LocateQuery, or tells the sender of an Envelope that its belief in the owner was wrong.
struct LocateReply {
    FlowKey flow;
    MemberId sender = 0;
    /// Whether `owner` is known; false says that the sender neither owns the flow nor knows the owner.
    bool isFound = false;
    MemberId owner = 0;
    Endpoint ownerDaemon;
    Incarnation incarnation = 0;

    bool operator==(const LocateReply &) const = default;
};

/// Tells the witness of flows that the sender owns them.
struct Announce {
    MemberId owner = 0;
    Endpoint ownerDaemon;
    Incarnation incarnation = 0;
    std::vector<FlowKey> flows;

    bool operator==(const Announce &) const = default;
};

/// Tells the witness of flows that they ended.
struct Release {
    MemberId owner = 0;
    std::vector<FlowKey> flows;

    bool operator==(const Release &) const = default;
};

/// Everything that daemons send one another in datagrams.
using FlowMessage = std::variant<Envelope, LocateQuery, LocateReply, Announce, Release, Heartbeat>;

} // namespace Papaya
