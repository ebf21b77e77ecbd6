#pragma once

#include "LibCoordination/FlowMessages.h"
#include "LibCoordination/PlacementReason.h"
#include "LibState/FlowTable.h"

#include <functional>
#include <string_view>
#include <vector>

/// The protocol by which the agents of one service take flows, hand them on, find their owners and end those that were lost.
///
/// Nothing here reads a clock, a socket or a random source: each function changes the plain state it is given and returns
/// the effects for its caller to carry out.
namespace Papaya {

/// The limits of the protocol.
struct FlowProtocolLimits {
    /// Agents that may pass a new flow on before one has to take it.
    std::uint8_t handOnLimit = 2;
    /// Agents that may pass any packet on before it is dropped as looping.
    std::uint8_t hopLimit = 5;
    std::size_t directoryLimit = 200'000;
    std::size_t locateLimit = 4'096;
    std::size_t heldPacketsPerFlow = 4;
    std::size_t flowsPerAnnounce = 80;
    std::size_t probesPerTick = 256;
    int probesPerFlow = 5;
    Duration probeInterval {800};
    Duration embryonicTime {20'000};
    /// Twice the maximum segment lifetime that lwIP assumes (RFC 9293, section 3.4.1: MSL).
    Duration lingerTime {120'000};
    Duration locateRetry {200};
    /// Nobody is said to own a flow before all members were asked over this long: its owner may have joined a moment ago,
    /// unknown to the members but for the witness, which hears of the flow a moment later.
    Duration locateSettleTime {1'000};
    /// The pauses after the first announcement of a flow and after the second; later ones are a refresh apart.
    Duration firstAnnounceRetry {1'000};
    Duration secondAnnounceRetry {5'000};
    Duration announceRefresh {30'000};
    /// How long packets of a flow that nobody owns are answered with a reset without another search.
    Duration unownedTime {5'000};
    Duration directoryLease {90'000};
    /// How often at most entry daemons are told of the owner of one flow.
    Duration hintInterval {200};
    /// A new flow is handed on when the agent's pressure exceeds the members' mean by this factor.
    double pressureFactor = 1.25;
};

/// What the TCP header of a packet says, in the terms on which decisions depend.
struct SegmentSummary {
    FlowKey flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool isSyn = false;
    bool isReset = false;
    bool hasAcknowledgement = false;
};

/// The agent's own exact load.
struct LocalLoad {
    LoadReport report;
    bool isLeaving = false;
    /// Whether the target refuses connections, or has not answered its first health check.
    bool isTargetDown = false;
};

/// A flow whose owner is being looked for.
struct PendingLocate {
    std::vector<MemberId> awaiting;
    std::vector<std::vector<std::byte>> heldPackets;
    TimePoint startedAt;
    TimePoint askedAt;
    /// Whether the search ended without an owner; the verdict answers further packets for a while.
    bool isUnowned = false;
};

/// The state of one agent.
struct AgentFlows {
    FlowProtocolLimits limits;
    ServiceId service = 0;
    std::uint64_t revision = 0;
    std::vector<Endpoint> serviceAddresses;
    MemberId self = 0;
    Endpoint selfDaemon;
    Incarnation incarnation = 0;
    /// All agents of the service, this one among them.
    std::vector<Member> members;
    LocalLoad load;
    FlowTable owned;
    FlowDirectory directory;
    std::unordered_map<FlowKey, PendingLocate> ownerSearches;
    /// Flows that ended since the last tick, with the witness that has to be told.
    std::vector<std::pair<MemberId, FlowKey>> released;
};

/// Send a message to another daemon.
struct SendMessage {
    Endpoint to;
    FlowMessage message;
};

/// Give a packet to the TCP stack.
struct DeliverPacket {
    std::vector<std::byte> packet;
};

/// Answer a packet with a TCP reset.
struct SendReset {
    std::vector<std::byte> packet;
};

/// Send the caller a segment outside its window, so that it answers and learns of the lost flow (RFC 9293, section 3.10.7.4).
struct SendProbe {
    FlowKey flow;
    std::uint32_t sequence = 0;
};

/// Drop the stack's connection of a flow without telling the caller.
struct DropConnection {
    FlowKey flow;
};

/// A decision to be logged and counted.
struct RecordDecision {
    FlowKey flow;
    PlacementReason reason;
    MemberId target = 0;
};

using Effect = std::variant<SendMessage, DeliverPacket, SendReset, SendProbe, DropConnection, RecordDecision>;
using Effects = std::vector<Effect>;

/// Returns a member by its id; nothing when the list does not have it.
[[nodiscard]] const Member *findMember(const AgentFlows &agent, MemberId id);

/// Removes an owned flow and notes that its witness has to be told.
void eraseOwned(AgentFlows &agent, FlowTable::iterator flow);

/// Handles one packet that arrived in an envelope. `segment` was read from the envelope's packet.
[[nodiscard]] Effects onEnvelope(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now);

/// Handles the other messages. Heartbeats are the member table's and are ignored here.
[[nodiscard]] Effects onLocateQuery(AgentFlows &agent, const LocateQuery &query, TimePoint now);
[[nodiscard]] Effects onLocateReply(AgentFlows &agent, const LocateReply &reply, TimePoint now);
[[nodiscard]] Effects onAnnounce(AgentFlows &agent, const Announce &announce, TimePoint now);
void onRelease(AgentFlows &agent, const Release &release);

/// Notes the sequence number of our own SYN, seen on its way out.
void onHandshakeSent(AgentFlows &agent, const FlowKey &flow, std::uint32_t initialSequence);

/// Notes that the stack completed the handshake of a flow.
void onEstablished(AgentFlows &agent, const FlowKey &flow, TimePoint now);

/// Notes that the service is done with a flow; the entry lingers for late segments.
void onClosed(AgentFlows &agent, const FlowKey &flow, TimePoint now);

/// Notes that the stack dropped a flow: nothing of it is left.
void onAborted(AgentFlows &agent, const FlowKey &flow);

/// Replaces the members, and has every flow announced again whose witness changed or restarted.
void setMembers(AgentFlows &agent, std::vector<Member> members);

/// Announces, releases, probes for lost owners, repeats queries and expires what is old.
[[nodiscard]] Effects onTick(AgentFlows &agent, TimePoint now);

/// Returns the member that has to know of a flow owned by `owner`: the first-ranked eligible one other than the owner; 0 if none.
[[nodiscard]] MemberId witnessOf(const AgentFlows &agent, MemberId owner, const FlowKey &flow);

} // namespace Papaya
