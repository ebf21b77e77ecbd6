#pragma once

#include "LibState/Clock.h"
#include "LibState/PacketSummary.h"
#include "LibState/RelayMessages.h"

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// The decisions of an agent whose target ends the flows itself: the agent passes packets both ways, tells entry daemons what
/// became of them, and learns the target's load and flows from what goes by. Nothing here reads a clock or a socket.
namespace Papaya {

/// The limits of an agent.
struct AgentRelayLimits {
    std::size_t flows = 60'000;
    std::size_t entryDaemons = 1'024;
    /// Flows of which it is unknown whether the target holds them.
    std::size_t offers = 8'192;
    /// An entry daemon that was not heard for this long gets no more reports.
    Duration subscription {10'000};
    /// The least time between two reports to one entry daemon.
    Duration reportInterval {250};
    /// Reports in a second to all entry daemons together; with many of them, each hears less often.
    int reportsPerSecond = 25;
    /// How long an entry of a finished flow stays.
    Duration finishedTime {3'000};
    /// How long a flow without packets is remembered.
    Duration idleTime {62'000};
    /// No flow is older, so an agent that has run for this long knows all flows of its target.
    Duration flowLifetime {62'000};
    /// A target that has let a SYN wait for this long, and was silent since, counts as down.
    Duration answerTime {300};
    /// A packet that the target would send back was offered this long ago and was not.
    Duration offerTime {150};
    /// The least time between the end of a process and the start of the next one on the same VM.
    Duration restartTime {100};
    /// The weight of a new response time in the mean, in percent.
    int responseWeight = 12;
};

/// What an agent remembers of one flow of its target.
struct AgentFlow {
    /// The initial sequence number that the target chose, if its answer to the SYN was seen.
    std::optional<std::uint32_t> sequence;
    /// The entry daemon that sent the last packet of the flow.
    Endpoint entry;
    TimePoint seenAt;
    /// When the request began whose answer has not.
    std::optional<TimePoint> requestedAt;
    bool isOpen = false;
    bool isCallerFinished = false;
    bool isTargetFinished = false;
};

/// A search that the target itself has to answer.
struct FlowOffer {
    Endpoint entry;
    TimePoint offeredAt;
};

/// An entry daemon that gets reports.
struct ReportSubscription {
    TimePoint heardAt;
    TimePoint reportedAt;
};

/// The state of one agent.
struct AgentRelay {
    AgentRelayLimits limits;
    ServiceId service = 0;
    /// The port that entry daemons use among daemons; with a mark it makes their address.
    std::uint16_t daemonPort = 0;
    TimePoint startedAt;
    /// The VM's time of day at the start, in Unix milliseconds, to compare with runs of the target on the same VM; 0 if unknown.
    Incarnation agentIncarnation = 0;
    /// Whether the agent has seen every flow of its target, as on the first start of the system.
    bool hasCompleteFlowTable = false;
    std::unordered_map<FlowKey, AgentFlow> flows;
    std::unordered_map<FlowKey, FlowOffer> offers;
    std::unordered_map<Endpoint, ReportSubscription> subscriptions;
    TargetLoad load;
    /// When the oldest SYN was passed on that the target has not reacted to.
    std::optional<TimePoint> unansweredSince;
};

/// Carries out what the agent decides.
class AgentOutput
{
public:
    virtual ~AgentOutput() = default;

    /// Passes a caller's packet to the target with a mark, which the target keeps should it send the packet back.
    virtual void sendToTarget(std::span<const std::byte> packet, std::uint32_t mark) = 0;
    virtual void sendToCaller(const Endpoint &caller, std::span<const std::byte> packet) = 0;
    virtual void sendNotice(const Endpoint &entry, const RelayNotice &notice) = 0;
    virtual void sendReport(const Endpoint &entry, const RelayReport &report) = 0;
};

/// Handles an envelope from an entry daemon. `summary` was read from its packet; there is none in a subscription.
void onEnvelope(AgentRelay &agent,
                const Endpoint &entry,
                const RelayEnvelope &envelope,
                const std::optional<PacketSummary> &summary,
                TimePoint now,
                AgentOutput &output);

/// Answers an entry daemon's query.
[[nodiscard]] RelayAnswer answerQuery(AgentRelay &agent, const Endpoint &entry, const RelayQuery &query, TimePoint now);

/// Handles a packet that the target sent, or sent back.
void onTargetPacket(AgentRelay &agent, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, AgentOutput &output);

/// Notes that the target's port is closed: no program holds its flows. Every entry daemon is told at once.
void onPortClosed(AgentRelay &agent, TimePoint now, AgentOutput &output);

/// Returns whether the target has left packets unanswered for so long that its port should be looked at.
[[nodiscard]] bool isPortCheckDue(const AgentRelay &agent, TimePoint now);

/// Sends the reports that are due and forgets old flows. Call ten times a second.
void onAgentTick(AgentRelay &agent, TimePoint now, AgentOutput &output);

} // namespace Papaya
