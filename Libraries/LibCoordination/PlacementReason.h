#pragma once

#include <string_view>

namespace Papaya {

/// The reason for the routing of a packet, or for the placement of a new flow. The values have the names that the logs and
/// counters use: to take a flow is to accept it, to hand it on is to forward it to another agent, and to locate its owner is to
/// search for the owner by querying all members.
enum class PlacementReason {
    /// This agent owns the flow.
    Owned,
    /// This agent accepted the new flow.
    Taken,
    /// This agent accepted the new flow in spite of its load, because the flow cannot be forwarded further.
    TakenAtLastHop,
    /// This agent forwarded the new flow, because of its load or because it cannot accept new flows.
    HandedOn,
    /// The packet was forwarded to the owner in the flow directory.
    DirectoryOwner,
    /// The packet is held, and a search for the flow's owner has started.
    LocateStarted,
    /// A search for the flow's owner is running. The packet is held, or dropped if too many are held already.
    LocateHeld,
    /// The search found the owner, and the held packets were forwarded to it.
    LocateFound,
    /// The search ended without an owner, and the packet is answered with a reset.
    NobodyOwns,
    /// The caller completed the handshake of another agent. A search for that agent has started.
    ForeignHandshake,
    /// The envelope is for another service than this agent's.
    WrongService,
    /// The service of this agent does not have the packet's destination address.
    UnknownAddress,
    /// The service of this agent does not have the packet's destination address, and the envelope carries a newer configuration
    /// revision than this agent's.
    RevisionBehind,
    /// The packet has been forwarded `hopLimit` times.
    HopLimit,
    /// The agent cannot accept the new flow: it has reached its connection limit.
    ConnectionLimit,
    /// The agent cannot accept the new flow: its target is down.
    TargetDown,
    /// The agent cannot accept the new flow: it is leaving.
    Leaving,
    /// The table of owner searches is full and the packet is dropped, or the directory is full and the new flow is accepted here.
    TableFull,
    /// The packet is a reset of a flow without a usable directory entry, and is dropped.
    StrayReset,
    /// The owner of the flow is lost, and its caller was probed.
    ProbeLostOwner,
};

/// Returns the stable name of a reason for logs and counters.
[[nodiscard]] std::string_view placementReasonName(PlacementReason reason);

} // namespace Papaya
