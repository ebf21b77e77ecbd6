#pragma once

#include "LibBalancing/ColdBound.h"
#include "LibBalancing/Evacuation.h"
#include "LibBalancing/SlotReservations.h"
#include "LibBalancing/TargetPace.h"
#include "LibState/Clock.h"
#include "LibState/PacketSummary.h"
#include "LibState/RelayMessages.h"

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Decision functions of an agent whose target terminates the TCP flows itself. The agent relays packets in both directions,
/// sends entry daemons notices of what happened to their packets, and tracks the target's load and flows from the packets that
/// it relays. These functions read no clock and no socket.
namespace Papaya {

/// Limits and timeouts of an agent.
struct AgentRelayLimits {
    std::size_t flows = 60'000;
    std::size_t entryDaemons = 1'024;
    /// Probes that the target has not answered yet.
    std::size_t probes = 8'192;
    /// An entry daemon that sent no message for this long gets no more reports.
    Duration subscriptionTimeout {10'000};
    /// Minimum time between two reports to one entry daemon.
    Duration reportInterval {250};
    /// Limit on reports per second to all entry daemons together. With many entry daemons, each one gets reports less often.
    int reportsPerSecond = 25;
    /// For this long after its first subscription an entry daemon that subscribes again gets a report at once, not more often than
    /// `reportInterval`: its first report was lost.
    Duration firstReportTime {1'000};
    /// How long the entry of a finished flow or an unanswered probe is kept.
    Duration finishedFlowRetention {3'000};
    /// How long the entry of an incomplete handshake is kept. The caller's acknowledgement may wait for seconds in the sockets of daemons
    /// that are short of processor time, and the target still accepts it.
    Duration handshakeRetention {10'000};
    /// How long a request on a flow that the agent does not know counts as running without a packet of the flow. Callers retransmit data
    /// that the target does not acknowledge at most this far apart.
    Duration unconfirmedRequestRetention {3'000};
    /// How long the entry of an open flow is kept without packets.
    Duration flowIdleTimeout {62'000};
    /// Maximum lifetime of a flow. An agent that has run for this long has received packets of every open flow of its target.
    Duration maximumFlowAge {62'000};
    /// A target that left a SYN unanswered for this long, and sent nothing since, counts as silent.
    Duration synTimeout {300};
    /// A target that does not hold a probe's flow returns the probe within this time; after it, the target's port has to be
    /// checked.
    Duration probeTimeout {150};
    /// A target's port counts as closed if it refused connections at this interval, and the target sent no packet in between. A target
    /// that leaves may refuse connections a moment before its flows end.
    Duration refusalConfirmationTime {300};
    /// Minimum time between the end of a process and the start of its successor on the same VM.
    Duration minimumRestartTime {100};
    /// Weight of a new response time in the moving average, in percent.
    int responseTimeWeight = 12;
    /// A target without requests for this long is idle. From then on its response time falls to this many percent with each tick, until it
    /// is that of requests that ran alone. Ten ticks reduce it by a factor of 35.
    Duration idleFadeDelay {300};
    std::uint32_t idleFadePercent = 70;
};

/// What an agent has recorded of one flow of its target.
struct AgentFlow {
    /// The initial sequence number of the target's SYN-ACK, if the agent saw it.
    std::optional<std::uint32_t> sequence;
    /// Sequence number of the last SYN that the target was sent, and of the last one that it answered.
    std::uint32_t synSequence = 0;
    std::optional<std::uint32_t> answeredSyn;
    /// The entry daemon that sent the last packet of the flow.
    Endpoint entry;
    TimePoint lastSeenAt;
    /// Start of the request whose answer has not begun; nothing while no request runs.
    std::optional<TimePoint> requestStartedAt;
    /// Number of requests that ran when this one started, including this one.
    std::uint32_t concurrency = 0;
    /// Whether the target holds the flow open: the caller has acknowledged the target's SYN-ACK, or the target has sent packets
    /// other than a SYN-ACK.
    bool isOpen = false;
    bool isCallerFinished = false;
    /// Whether the caller has sent a reset.
    bool isReset = false;
    bool isTargetFinished = false;
};

/// A packet from an entry daemon's search that was sent to the target to find out whether the target holds the flow. A target
/// returns packets of flows that it does not hold.
struct FlowProbe {
    Endpoint entry;
    TimePoint sentAt;
};

/// A caller's request on a flow that the agent does not know, and that the target has not answered.
struct UnconfirmedRequest {
    /// The entry daemon that sent the last packet of the flow.
    Endpoint entry;
    TimePoint startedAt;
    TimePoint lastSeenAt;
    /// Number of requests that ran when this one started, including this one.
    std::uint32_t concurrency = 0;
};

/// An entry daemon that gets load reports.
struct ReportSubscription {
    TimePoint startedAt;
    TimePoint lastRenewedAt;
    TimePoint reportedAt;
};

/// Requests of the target since a time: those that it began to answer, and those whose flow ended before.
struct RequestOutcomes {
    TimePoint since;
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
};

/// Number of SYNs that were returned as busy although the target had free slots.
struct LimitedPlacements {
    /// Because the target had reached the limit of its pace.
    std::uint64_t byPace = 0;
    /// Because the target is cold and had got as many new flows in the last second as it may get.
    std::uint64_t byColdBound = 0;
};

/// The state of one agent.
struct AgentRelay {
    AgentRelayLimits limits;
    ServiceId service = 0;
    /// The port on which entry daemons receive datagrams from agents. With the mark of a returned packet, which holds the entry
    /// daemon's IPv4 address, it gives that daemon's endpoint.
    std::uint16_t daemonPort = 0;
    TimePoint startedAt;
    /// The VM's wall-clock time at the agent's start, in Unix milliseconds, to compare with the incarnation of a target on the
    /// same VM; 0 if unknown.
    Incarnation agentIncarnation = 0;
    /// Whether the agent has certainly seen every open flow of its target: on the first start of the system, if it started before
    /// the target or together with it, or after the target's port was closed. Without this flag the same holds once the agent has
    /// run for `maximumFlowAge`.
    bool hasCompleteFlowTable = false;
    /// When a flow was last left out because the table was full; nothing if that never happened.
    std::optional<TimePoint> tableFullAt;
    std::unordered_map<FlowKey, AgentFlow> flows;
    std::unordered_map<FlowKey, UnconfirmedRequest> unconfirmedRequests;
    std::unordered_map<FlowKey, FlowProbe> probes;
    std::unordered_map<Endpoint, ReportSubscription> subscriptions;
    TargetLoad load;
    /// When the target last had a running request or a reserved slot, as seen by a tick.
    TimePoint lastBusyAt;
    /// The newest statement on whether the target's failure domain is evacuated; number 0 if the agent was told none since its start.
    EvacuationStatement evacuation;
    /// The slots of flows whose SYN was passed on and whose first request has not arrived; `load.reservedSlots` is their number.
    SlotReservations reservations;
    /// When the first SYN was sent to the target since the target last sent a packet; nothing if there is none.
    std::optional<TimePoint> unansweredSynSince;
    /// When the target's port first refused a connection since the target last sent a packet; nothing if there is none.
    std::optional<TimePoint> portRefusedAt;
    /// The limit on the target's concurrent requests after a start or a recovery. `load.capacity` is a copy of its limit.
    TargetPace pace;
    /// The latest start of the target that the pace has taken into account.
    Incarnation pacedIncarnation = 0;
    /// Until when the target is cold, according to entry daemons.
    TimePoint coldUntil {Duration::min() / 2};
    ColdBound coldBound;
    RequestOutcomes requestOutcomes;
    LimitedPlacements limitedPlacements;
};

/// Carries out the decisions of the agent.
class AgentOutput
{
public:
    virtual ~AgentOutput() = default;

    /// Sends a caller's packet to the target with a mark. If the target returns the packet, it carries the same mark.
    virtual void sendToTarget(std::span<const std::byte> packet, std::uint32_t mark) = 0;
    virtual void sendToCaller(const Endpoint &caller, std::span<const std::byte> packet) = 0;
    virtual void sendNotice(const Endpoint &entry, const RelayNotice &notice) = 0;
    virtual void sendReport(const Endpoint &entry, const RelayReport &report) = 0;
};

/// Processes an envelope from an entry daemon. `summary` is the parsed header of its packet; a subscription has no packet.
void onEnvelope(AgentRelay &agent,
                const Endpoint &entry,
                const RelayEnvelope &envelope,
                const std::optional<PacketSummary> &summary,
                TimePoint now,
                AgentOutput &output);

/// Answers an entry daemon's query.
[[nodiscard]] RelayAnswer answerQuery(AgentRelay &agent, const Endpoint &entry, const RelayQuery &query, TimePoint now);

/// Processes a packet that the target sent or returned.
void onTargetPacket(AgentRelay &agent, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, AgentOutput &output);

/// Records that the target's port refused a connection. If that is confirmed by an earlier refusal, the port counts as closed.
void onPortRefused(AgentRelay &agent, TimePoint now, AgentOutput &output);

/// Records that the target's port accepted a connection.
void onPortOpen(AgentRelay &agent);

/// Returns whether the agent has recorded every open flow of its target, so that it may deny all others.
[[nodiscard]] bool hasRecordedAllFlows(const AgentRelay &agent, TimePoint now);

/// Records that the target's port is closed, so that no process holds its flows. Sends every subscribed entry daemon a report
/// immediately.
void onPortClosed(AgentRelay &agent, TimePoint now, AgentOutput &output);

/// Announces to every subscribed entry daemon that this agent is being restarted while its target keeps its flows, unless the
/// target's port is closed. All later messages carry the announcement too. Call several times before the agent ends, since
/// reports may be lost.
void announceRestart(AgentRelay &agent, TimePoint now, AgentOutput &output);

/// Returns whether the target left a SYN or a probe unanswered for so long that the agent's daemon should check whether the
/// target's port is open, or whether a refusal of the port has to be confirmed.
[[nodiscard]] bool isPortCheckDue(const AgentRelay &agent, TimePoint now);

/// Sends the reports that are due and removes expired flows, probes and subscriptions. Call ten times a second.
void onAgentTick(AgentRelay &agent, TimePoint now, AgentOutput &output);

} // namespace Papaya
