#pragma once

#include "LibBalancing/TargetChoice.h"
#include "LibBalancing/TargetDirectory.h"
#include "LibBalancing/TokenBucket.h"
#include "LibCoordination/QueryBatches.h"
#include "LibCoordination/RelayReason.h"
#include "LibState/PacketSummary.h"
#include "LibState/RelayMessages.h"
#include "LibState/RouteTable.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Decision functions of an entry daemon that relays packets unchanged to targets, which terminate the TCP flows themselves.
/// The entry daemon caches the target of each flow whose packets it receives. Another entry daemon, or this one after a
/// restart, finds the target again by asking the agents. These functions read no clock, socket or random source: the task that
/// calls them passes the time and carries out the output.
namespace Papaya {

/// Limits and timeouts of an entry daemon.
struct EntryRelayLimits {
    std::size_t flows = 60'000;
    /// Packets of one flow that are buffered while the flow's target is being searched for. An agent may take an earlier flow with the same
    /// ports for the flow; then its target gets all of them.
    std::size_t bufferedPackets = 2;
    /// Packets of an open flow that are forwarded to a target that nothing has confirmed to hold it. With the next one a search begins.
    int maximumUnconfirmedPackets = 2;
    /// If a target has not answered a SYN within this time, the caller's next retransmission of the SYN goes to another target.
    Duration synTimeout {120};
    /// After this many agents have rejected a SYN as busy, the SYN goes to the one of them with the earliest expected finish. An attempt
    /// takes about 2 ms, which is less than the wait behind one request.
    std::size_t maximumBusyAttempts = 5;
    /// Once this time has passed since the SYN arrived, the next target gets it, busy or not. Where daemons are short of processor time, an
    /// attempt may take 300 ms, and the caller would give up before the fifth.
    Duration busyAttemptTime {20};
    /// When agents' answers to SYNs take this long on average, no target is asked whether it is busy.
    Duration slowPlacementTime {20};
    /// After this many agents have returned a SYN that busy targets take too, the flow is reset: most targets are cold then, and further
    /// attempts would delay the caller's own retry.
    std::size_t maximumRefusals = 5;
    /// Agents that have not answered a search within this time are asked again, on the caller's next packet or on the next
    /// tick.
    Duration searchRetryInterval {150};
    /// An agent that was sent a probe is only queried until this time has passed, since the probe or its answer may still be waiting in
    /// a socket: further copies would reach targets that do not hold the flow.
    Duration probeRetryInterval {600};
    /// How long a search waits for agents that have not answered before it sends a probe, and the time between two such probes. The target
    /// of a silent agent may hold the flow, and get no packet for as long. The users' rule on open flows allows two packets at other
    /// targets in two seconds, and several entry daemons may search for one flow, one after the other.
    Duration probeDelay {1'000};
    Duration probeInterval {2'500};
    /// A probe is sent only if the caller sent a packet to this entry daemon within this time. Otherwise the caller's packets reach another
    /// entry daemon by now, which searches too.
    Duration probePacketValidity {1'000};
    /// An entry daemon that has not read the messages of the last while is overloaded. The answer to a probe would wait in its socket.
    Duration maximumReadDelay {1'000};
    /// How long the entry of a finished or reset flow, or of an incomplete handshake, is kept to answer late packets.
    Duration endedFlowRetention {3'000};
    /// Maximum distance of two acknowledgement numbers of one flow within `endedFlowRetention`. A packet with a more distant one belongs to
    /// a later flow with the same ports.
    std::uint32_t acknowledgementWindow = 76'800;
    /// Maximum number of bytes that a caller sends on one flow. A SYN whose sequence number is further away from the flow's last one
    /// belongs to a later flow.
    std::uint32_t flowSequenceRange = 2'097'152;
    /// How long the entry of an open flow is kept without packets.
    Duration flowIdleTimeout {62'000};
    /// For this long after a change of the routes, packets of unknown flows to addresses without a route are dropped instead of
    /// reset: other entry daemons may have received the new route earlier.
    Duration routePropagationTime {1'500};
    /// A flow that every agent denied is reset once the list of targets is current. If the requests of its route are idempotent, the
    /// flow is reset after this time even with an older list, though not while the list may lack targets that serve: waiting longer
    /// for a slow platform costs the caller more than opening another flow.
    Duration maximumResetDelay {300};
    /// Targets whose entries expired while the platform was unavailable, or that registered after the copy from which it was restored, are
    /// listed again within this time of its return. A daemon that has just started does not know when the platform returned, so its first
    /// list may lack them for this long.
    Duration relistingTime {2'500};
    /// A target that started within this time of the daemon's start, before or after, started together with it. The platform keeps an entry
    /// for three heartbeat intervals, which is longer, so the entry of such a target has not expired yet.
    Duration commonStartTime {2'000};
    /// Maximum lifetime of a flow. For this long after its start an entry daemon may have missed services that a route had
    /// earlier and whose flows are still open.
    Duration maximumFlowAge {62'000};
    /// A daemon that was inactive for this long, although it ticks ten times a second, was paused: answers may be waiting
    /// unread in its sockets.
    Duration pauseThreshold {350};
    /// An agent that sent a message within this time is not pinged.
    Duration agentContactValidity {200};
    /// An agent of a withdrawn target that sent no message for this long is pinged: its target counts as gone only if it leaves queries
    /// unanswered.
    Duration withdrawnContactInterval {600};
    /// Limit on the agents that a search queries although no route table that this entry daemon received maps the flow's
    /// address to their service.
    std::size_t maximumUnrelatedAgents = 256;
};

/// A target that may hold a flow: it was sent the flow's SYN, or a search asked its agent for the flow.
struct FlowCandidate {
    Endpoint agent;
    ServiceId service = 0;
    TimePoint sentAt;
    /// While searching: whether the flow's address has the target's service or is known to have had it.
    bool isRelated = true;
    /// While searching: when a packet was last sent to the target as a probe.
    std::optional<TimePoint> probedAt {};
    /// While searching: whether the agent answered the last query that it cannot tell whether its target holds the flow.
    bool isUndecided = false;
    /// While searching: whether the target, if it holds the flow, has got the first buffered packet by a probe.
    bool hasFirstPacket = false;
    /// The initial sequence number of the target's SYN-ACK, if its agent reported one.
    std::optional<std::uint32_t> sequence {};
    bool hasReturnedSyn = false;
    /// Whether the agent rejected the SYN because its target was busy.
    bool isBusy = false;
    /// Whether the SYN was sent so that a busy target takes it too.
    bool mayBeBusy = false;
    /// Whether the agent returned the SYN as busy even so, since its target is cold. Then the target gets no more copies of it.
    bool isRefused = false;
};

/// An agent's answer that its target does not hold a flow.
struct FlowDenial {
    Endpoint agent;
    /// The service whose target the agent was asked for. An agent whose target has another service denies all flows of this one.
    ServiceId service = 0;
};

/// The stage of a flow at an entry daemon.
enum class EntryFlowStage : std::uint8_t {
    /// The caller has not completed a handshake.
    Opening,
    /// The caller has completed a handshake, or a search found the target.
    Open,
    /// The agents are being asked which target holds the flow.
    Searching,
    /// This entry daemon has reset the flow.
    Ended,
};

/// Why an entry daemon assumes that a flow is open at a target.
enum class FlowEvidence : std::uint8_t {
    /// Nothing has confirmed it: the flow's SYN was sent to this target last.
    Assumed,
    /// The caller acknowledged the sequence number of the target's SYN-ACK.
    Handshake,
    /// The target's agent reported a SYN-ACK after the caller had completed a handshake.
    LateSynAck,
    /// The target's agent answered a search or a query that the target holds the flow.
    Held,
};

/// Returns the stable name of an evidence for logs.
[[nodiscard]] std::string_view flowEvidenceName(FlowEvidence evidence);

/// Cache entry of one flow at an entry daemon.
struct EntryFlow {
    EntryFlowStage stage = EntryFlowStage::Opening;
    /// While opening: the targets that were sent the SYN. While searching: the agents that were asked and have not answered.
    std::vector<FlowCandidate> candidates;
    /// While searching: the agents that reported that their target does not hold the flow. A denial stays valid during the
    /// search, since only a SYN opens the flow at another target.
    std::vector<FlowDenial> deniedBy;
    /// When the last probe of the flow was sent.
    std::optional<TimePoint> probedAt;
    /// While searching: when the last of the buffered packets was received.
    TimePoint bufferedAt;
    /// While searching: whether every agent whose target may hold the flow was asked.
    bool areAllAgentsAsked = false;
    std::vector<std::vector<std::byte>> bufferedPackets;
    Endpoint agent;
    ServiceId service = 0;
    FlowEvidence evidence = FlowEvidence::Assumed;
    /// Packets that were forwarded while the evidence is `FlowEvidence::Assumed`.
    int unconfirmedPackets = 0;
    /// Whether a FIN or a reset from the caller was forwarded.
    bool isFinished = false;
    /// Sequence number of the caller's last packet.
    std::uint32_t callerSequence = 0;
    /// Sequence number of the SYN; nothing if this daemon did not place the flow. A later flow with the same ports has another one.
    std::optional<std::uint32_t> synSequence;
    /// The last acknowledgement number from the caller. The caller accepts a reset only near this sequence number.
    std::uint32_t acknowledged = 0;
    /// The acknowledgement number of the caller's first packet after the SYN, which belongs to one target's SYN-ACK.
    std::uint32_t handshakeAcknowledgement = 0;
    /// Sequence number of the caller's last data, and whether the caller has retransmitted that data because no answer arrived.
    std::optional<std::uint32_t> lastDataSequence;
    bool isRetransmitting = false;
    /// Start of the current stage; while searching, when the search started or last repeated its requests.
    TimePoint changedAt;
    TimePoint lastSeenAt;
    /// While searching: start of the search.
    TimePoint searchStartedAt;
};

/// What other entry daemons have told this one since its start.
enum class PeerEvidence : std::uint8_t {
    None,
    /// One of them has a settled list, and this daemon has all its targets.
    Settled,
    /// All peers were asked, and none has a settled list: they have started lately too, or do not answer.
    SystemStart,
};

/// Where an entry daemon learned of an evacuation or its end.
enum class EvacuationSource : std::uint8_t {
    Platform,
    /// The snapshot of another entry daemon.
    Peer,
    /// An agent that returned a SYN.
    Agent,
};

/// Returns the stable name of a source for logs.
[[nodiscard]] std::string_view evacuationSourceName(EvacuationSource source);

/// The state of one entry daemon.
struct EntryRelay {
    EntryRelayLimits limits;
    ChoiceWeights weights;
    std::string failureDomain;
    RouteTable routes;
    TimePoint routesChangedAt;
    /// The services that each address had in earlier route tables. Existing flows stay at their targets when a route changes.
    std::unordered_map<Endpoint, std::vector<ServiceId>> formerServices;
    TimePoint startedAt;
    /// The VM's wall-clock time at the daemon's start, in Unix milliseconds, to compare with the incarnations of targets; 0 if unknown.
    Incarnation startIncarnation = 0;
    PeerEvidence peerEvidence = PeerEvidence::None;
    /// Time of the last packet, message or tick.
    TimePoint lastActiveAt;
    /// Whether a list of targets was read since the start, from the platform or from another entry daemon.
    bool hasTargetList = false;
    /// The directory holds every target that the platform listed up to this time; zero before the platform itself was read.
    TimePoint targetsCurrentAsOf;
    /// The time up to which the first list that was read from the platform is complete; nothing before it. If the platform was unreachable
    /// before that list could count as complete, the first list since its return.
    std::optional<TimePoint> firstTargetListAsOf;
    /// The platform's revision up to which all changes have been applied; number 0 before the platform itself was read.
    PlatformRevision receivedRevision;
    /// Flows that the agents of all targets in the directory denied. They are reset only when the list of targets is current,
    /// since their target may have been listed too recently to be in the directory.
    std::vector<FlowKey> pendingResets;
    TargetDirectory directory;
    /// Moving average of the time in milliseconds until an agent's answer to a placed SYN was read.
    double placementTime = 0;
    std::unordered_map<FlowKey, EntryFlow> flows;
    /// Bandwidth of the VM's link that searches may use; one token is one byte. Unlimited searches after a restart of the whole
    /// system filled the link, and no answer got through.
    TokenBucket searchBandwidth;
    QueryBatches queries;
};

/// Carries out the decisions of the entry daemon.
class EntryOutput
{
public:
    virtual ~EntryOutput() = default;

    virtual void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) = 0;
    virtual void sendQuery(const Endpoint &agent, const RelayQuery &query) = 0;
    /// Sends the caller a TCP reset with this sequence number. The caller's stack accepts a reset only if its sequence number is
    /// near the one that the stack expects next.
    virtual void resetCaller(const FlowKey &flow, std::uint32_t sequence) = 0;
    /// Requests the platform's changes immediately instead of with the next periodic read, and whether there are others than those received
    /// (markListChecked()). May be called often.
    virtual void refreshTargets() = 0;
    virtual void recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent) = 0;
    /// Records that a failure domain was evacuated, or that its evacuation has ended.
    virtual void recordEvacuation(const std::string &domain, const EvacuationStatement &statement, EvacuationSource source)
    {
        (void)domain;
        (void)statement;
        (void)source;
    }
};

/// Processes one packet from a caller. `packet` is the whole packet and `summary` its parsed header.
void onCallerPacket(EntryRelay &entry, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, EntryOutput &output);

/// Processes an agent's notice. `returned` is the parsed header of the packet attached to the notice, if there is one.
void onNotice(EntryRelay &entry,
              const Endpoint &agent,
              const RelayNotice &notice,
              const std::optional<PacketSummary> &returned,
              TimePoint now,
              EntryOutput &output);

/// Processes an agent's load report. If the target's port is closed, resets the target's flows and treats the report as the
/// agent's denial of every flow that is being searched for.
void onReport(EntryRelay &entry, const Endpoint &agent, const RelayReport &report, TimePoint now, EntryOutput &output);

/// Records that every message of an agent that reached this daemon's socket before a time has been processed. Timeouts of agents
/// are judged up to this time only: a later answer may be waiting in the socket.
void markAgentMessagesRead(EntryRelay &entry, TimePoint until);

/// Processes an agent's answer to a query.
void onAnswer(EntryRelay &entry, const Endpoint &agent, const RelayAnswer &answer, TimePoint now, EntryOutput &output);

/// Records that a list of targets was read from the platform or from another entry daemon. The targets of the first list that are
/// not cold count as propagated to all entry daemons.
void markTargetsListed(EntryRelay &entry, TimePoint now);

/// Returns whether routes and targets have been read. Until then a missing route or flow does not mean that it does not exist.
[[nodiscard]] bool hasRoutesAndTargets(const EntryRelay &entry);

/// Records that the platform has reported all changes up to a time and a revision.
void markTargetsCurrent(EntryRelay &entry, TimePoint asOf, const PlatformRevision &revision = {});

/// Records the platform's revision at a time, as a call on another connection than the watch's returned it. If it is the received one, all
/// changes up to that time have been applied.
void markListChecked(EntryRelay &entry, const PlatformRevision &revision, TimePoint asOf);

/// Records that the platform is reachable again, or for the first time. Entries that expired while it was unavailable are listed again
/// within `relistingTime` from now on. Call before its list is applied.
void markPlatformReachable(EntryRelay &entry, TimePoint now);

/// Applies a route table if its version is newer than the current one. Returns whether it was applied.
bool setRoutes(EntryRelay &entry, RouteTable routes, TimePoint now);

/// Applies a target that the platform published. If the target replaces another one on its VM, asks the agent which flows the new
/// target holds, among the open flows that the cache has at this VM.
PublicationEffect onTargetPublished(EntryRelay &entry, const PublishedTarget &target, TimePoint now, EntryOutput &output);

/// Records that this daemon is active. If it was paused, restarts the answer timeouts of all agents with unanswered requests.
/// The functions that process packets, messages and ticks call this one first.
void detectPause(EntryRelay &entry, TimePoint now);

/// Resets the flows of terminated targets, repeats unanswered searches, retries pending resets, sends due queries and removes
/// expired entries. Call ten times a second.
void onEntryTick(EntryRelay &entry, TimePoint now, EntryOutput &output);

} // namespace Papaya
