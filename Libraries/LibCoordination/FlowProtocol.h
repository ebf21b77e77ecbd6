#pragma once

#include "LibCoordination/FlowMessages.h"
#include "LibCoordination/PlacementReason.h"
#include "LibState/FlowTable.h"

#include <functional>
#include <string_view>
#include <vector>

/// The protocol with which the agents of one service accept new flows, forward packets, locate the owners of flows, and reset
/// flows whose owner is lost.
///
/// The functions read no clock, socket or random source. Each one updates the AgentFlows state that it is given and returns
/// the effects that its caller has to execute. Heartbeats are not handled here but by the MemberTable.
namespace Papaya {

/// The limits of the protocol.
struct FlowProtocolLimits {
    /// The maximum number of times that a new flow is forwarded because of load. The agent that receives the flow after that
    /// many forwards accepts it in spite of its load, unless it cannot accept any new flow.
    std::uint8_t newFlowHopLimit = 2;
    /// The maximum number of times that any packet is forwarded. An agent that receives it after that many forwards drops it,
    /// because the packet is probably looping.
    std::uint8_t hopLimit = 5;
    /// The maximum number of directory entries. While the directory is full, a new flow is accepted instead of forwarded.
    std::size_t directoryLimit = 200'000;
    /// The maximum number of running owner searches and of kept results without an owner together.
    std::size_t ownerSearchLimit = 4'096;
    /// The maximum number of packets of one flow that are held during its owner search. Further ones are dropped.
    std::size_t heldPacketsPerFlow = 4;
    /// The maximum number of flows in one Announce or Release.
    std::size_t flowsPerAnnounce = 80;
    /// The maximum number of probes that one tick sends, over all flows whose owner is lost.
    std::size_t probesPerTick = 256;
    /// The number of probes to the caller of one flow whose owner is lost, and the interval between them.
    int probesPerFlow = 5;
    Duration probeInterval {800};
    /// How long an agent keeps an accepted flow without a complete handshake, and the directory entry of a forwarded new flow.
    Duration embryonicTimeout {20'000};
    /// How long the record of a closed flow stays: twice the maximum segment lifetime that lwIP assumes (RFC 9293, section 3.4.1:
    /// MSL).
    Duration timeWaitTimeout {120'000};
    /// The interval between two queries of an owner search to the same member.
    Duration ownerQueryInterval {200};
    /// The minimum duration of an owner search that ends without an owner; members are queried repeatedly until then. The owner
    /// may have joined so recently that the members do not list it yet. Then only the witness can name the owner, and only after
    /// the owner's announcement has arrived at the witness.
    Duration minimumSearchTime {1'000};
    /// The intervals after the first and after the second announcement of a flow. Later ones are `announceRefreshInterval` apart.
    Duration firstAnnounceInterval {1'000};
    Duration secondAnnounceInterval {5'000};
    Duration announceRefreshInterval {30'000};
    /// How long the result that a flow has no owner is used, counted from the start of the search. During this time, packets of
    /// the flow are answered with a reset without another search.
    Duration noOwnerCacheTime {5'000};
    /// How long a directory entry is valid after the last announcement of its flow.
    Duration directoryLease {90'000};
    /// The minimum interval between two owner hints to entry daemons for one flow.
    Duration hintInterval {200};
    /// A new flow is forwarded when the agent's load score exceeds the mean of all eligible members by this factor.
    double overloadFactor = 1.25;
};

/// The flow of a packet and the fields of its TCP header on which decisions depend.
struct SegmentSummary {
    FlowKey flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool isSyn = false;
    bool isReset = false;
    bool hasAcknowledgement = false;
};

/// The current load of this agent, measured locally and therefore exact.
struct LocalLoad {
    LoadReport report;
    bool isLeaving = false;
    /// Whether the target refuses connections or has not answered its first health check yet.
    bool isTargetDown = false;
};

/// The search for the owner of a flow.
struct OwnerSearch {
    /// Members that were queried and have not replied.
    std::vector<MemberId> unansweredMembers;
    std::vector<std::vector<std::byte>> heldPackets;
    TimePoint startedAt;
    TimePoint queriedAt;
    /// Whether the search ended without an owner. The result is kept for `noOwnerCacheTime`.
    bool isUnowned = false;
};

/// The flow protocol state of one agent.
struct AgentFlows {
    FlowProtocolLimits limits;
    ServiceId service = 0;
    std::uint64_t revision = 0;
    std::vector<Endpoint> serviceAddresses;
    MemberId self = 0;
    Endpoint selfDaemon;
    Incarnation incarnation = 0;
    /// All agents of the service, including this one.
    std::vector<Member> members;
    LocalLoad load;
    FlowTable owned;
    FlowDirectory directory;
    std::unordered_map<FlowKey, OwnerSearch> ownerSearches;
    /// Flows that ended since the last tick, with the witness to which a Release has to be sent.
    std::vector<std::pair<MemberId, FlowKey>> pendingReleases;
};

/// Effect: send a message to another daemon.
struct SendMessage {
    Endpoint to;
    FlowMessage message;
};

/// Effect: pass a packet to the local TCP stack.
struct DeliverPacket {
    std::vector<std::byte> packet;
};

/// Effect: answer a packet with a TCP reset.
struct SendReset {
    std::vector<std::byte> packet;
};

/// Effect: send the caller a segment outside its receive window. The caller answers it with an ACK (RFC 9293, section
/// 3.10.7.4). The agent that receives this ACK searches for the owner of the flow, and sends a reset if there is none.
struct SendProbe {
    FlowKey flow;
    std::uint32_t sequence = 0;
};

/// Effect: drop the connection of a flow in the local TCP stack without sending a reset to the caller.
struct DropConnection {
    FlowKey flow;
};

/// Effect: log a decision and count it in the metrics.
struct RecordDecision {
    FlowKey flow;
    PlacementReason reason;
    /// The agent that the decision concerns: the one that gets the packet, or the lost owner for ProbeLostOwner. 0 if there is
    /// none.
    MemberId target = 0;
};

using Effect = std::variant<SendMessage, DeliverPacket, SendReset, SendProbe, DropConnection, RecordDecision>;
using Effects = std::vector<Effect>;

/// Returns the member with an id, or null if the member list does not contain it.
[[nodiscard]] const Member *findMember(const AgentFlows &agent, MemberId id);

/// Removes an owned flow and schedules a Release to its witness.
void eraseOwnedFlow(AgentFlows &agent, FlowTable::iterator flow);

/// Routes a packet that arrived in an envelope. `segment` was parsed from the envelope's packet.
[[nodiscard]] Effects onEnvelope(AgentFlows &agent, const Envelope &envelope, const SegmentSummary &segment, TimePoint now);

/// Answers a query with the owner of a flow, if this agent owns it or has a usable directory entry for it.
[[nodiscard]] Effects onLocateQuery(AgentFlows &agent, const LocateQuery &query, TimePoint now);

/// Applies a reply to the owner search of its flow. A reply with an owner ends the search and forwards the held packets to this
/// owner. It also drops the connection of the flow in the local TCP stack if this agent accepted the flow too. A reply without
/// an owner marks its sender as answered. It also removes the directory entry that names the sender as the owner, unless the
/// sender counts as lost and probes to the caller have been sent.
[[nodiscard]] Effects onLocateReply(AgentFlows &agent, const LocateReply &reply, TimePoint now);

/// Stores the announced owner in the directory for each flow that this agent does not own, and ends the owner searches for these
/// flows.
[[nodiscard]] Effects onAnnounce(AgentFlows &agent, const Announce &announce, TimePoint now);

/// Removes the directory entries of flows that their owner has released.
void onRelease(AgentFlows &agent, const Release &release);

/// Records the initial sequence number of the SYN that the local TCP stack sent to the caller.
void onHandshakeSent(AgentFlows &agent, const FlowKey &flow, std::uint32_t initialSequence);

/// Marks a flow as established after the local TCP stack has completed its handshake.
void onEstablished(AgentFlows &agent, const FlowKey &flow, TimePoint now);

/// Marks a flow as closed on both sides. Its record stays for `timeWaitTimeout`, so that late segments still reach the stack.
void onClosed(AgentFlows &agent, const FlowKey &flow, TimePoint now);

/// Removes a flow whose connection the local TCP stack has dropped.
void onAborted(AgentFlows &agent, const FlowKey &flow);

/// Replaces the members. Flows whose witness changed or restarted are announced again at the next tick.
void setMembers(AgentFlows &agent, std::vector<Member> members);

/// Does the periodic work: announces and releases owned flows, probes the callers of flows whose owner is lost, repeats
/// queries, and removes expired records.
[[nodiscard]] Effects onTick(AgentFlows &agent, TimePoint now);

/// Returns the witness of a flow, the member to which `owner` announces it: the first-ranked eligible member other than the
/// owner, or 0 if there is none.
[[nodiscard]] MemberId witnessOf(const AgentFlows &agent, MemberId owner, const FlowKey &flow);

} // namespace Papaya
