#pragma once

#include "LibCoordination/QueryBatches.h"
#include "LibCoordination/RelayReason.h"
#include "LibCoordination/TargetChoice.h"
#include "LibCoordination/TargetDirectory.h"
#include "LibCoordination/TokenBucket.h"
#include "LibState/PacketSummary.h"
#include "LibState/RelayMessages.h"
#include "LibState/RouteTable.h"

#include <cstddef>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/// The decisions of an entry daemon that passes packets to targets which end the flows themselves.
///
/// The entry daemon remembers the target of each flow whose packets it sees. That memory is a cache: another entry daemon, or
/// this one after a restart, finds the target again by asking the agents. Nothing here reads a clock, a socket or a random source.
namespace Papaya {

/// The limits of an entry daemon.
struct EntryRelayLimits {
    std::size_t flows = 60'000;
    /// Packets that wait for the end of a search, for each flow.
    std::size_t heldPackets = 4;
    /// A SYN that was not answered within this time goes to another target when the caller repeats it.
    Duration answerTime {120};
    /// Busy agents that send a SYN back before it goes to the best target, busy or not.
    std::size_t busyTries = 2;
    /// Agents that have not answered a search are asked again, with the caller's next packet, after this time.
    Duration searchRetry {150};
    /// How long the end of a flow is remembered, to answer packets that were under way.
    Duration endedTime {3'000};
    /// How long a flow is remembered without packets.
    Duration idleTime {62'000};
    /// Packets of unknown flows to unknown addresses are dropped, not reset, for this long after a change of the routes, since
    /// other entry daemons may have known the new route earlier.
    Duration routeSettleTime {1'500};
    /// What a watch of the platform may take to tell of a change.
    Duration watchLatency {150};
    /// How long a verdict on a flow whose requests may be repeated waits for a current list of targets. Its caller loses more by
    /// waiting for a slow platform than by opening another flow.
    Duration longestVerdictWait {300};
    /// No flow is older. For this long after its start an entry daemon cannot know which services a route had before.
    Duration flowLifetime {62'000};
    /// A daemon that did nothing for this long, though it ticks ten times a second, was paused: answers may wait in its sockets.
    Duration pauseTime {350};
    /// An agent that was heard within this time is not asked whether it is there.
    Duration freshTime {200};
    /// Agents of services that the flow's route does not have, as far as is known, that are asked about it at the most.
    std::size_t unrelatedAgents = 256;
};

/// A target that was sent the SYN of a flow.
struct FlowCandidate {
    Endpoint agent;
    ServiceId service = 0;
    TimePoint sentAt;
    /// While the flow is being searched for: whether the target may get the flow's packets, and whether it was offered one.
    bool mayGetPackets = true;
    bool wasOffered = false;
    /// The initial sequence number with which the target answered.
    std::optional<std::uint32_t> sequence {};
    bool hasReturned = false;
    /// Whether the agent would not pass the SYN on, since its target is busy.
    bool isBusy = false;
};

/// The stage of a flow at an entry daemon.
enum class EntryFlowStage : std::uint8_t {
    /// The caller has not completed a handshake.
    Opening,
    /// The target is known.
    Open,
    /// The agents are being asked who holds the flow.
    Searching,
    /// The flow was reset here.
    Ended,
};

/// What an entry daemon remembers of one flow.
struct EntryFlow {
    EntryFlowStage stage = EntryFlowStage::Opening;
    /// While opening: the targets that were tried. While searching: the agents that were asked and have not answered.
    std::vector<FlowCandidate> candidates;
    /// While searching: the agents that have denied the flow; that stays true, as only a SYN opens it elsewhere.
    std::vector<Endpoint> deniedBy;
    std::vector<std::vector<std::byte>> heldPackets;
    Endpoint agent;
    ServiceId service = 0;
    /// Whether the target is known to have held the flow, rather than taken to.
    bool isConfirmed = false;
    bool isFinished = false;
    /// The last sequence number that the caller expected; a reset has to be near it.
    std::uint32_t acknowledged = 0;
    /// Where the caller's last data began, and whether the caller has repeated it since, so that nothing has come back.
    std::optional<std::uint32_t> dataSequence;
    bool isUnanswered = false;
    TimePoint changedAt;
    TimePoint seenAt;
    /// While searching: when the search began.
    TimePoint searchStartedAt;
};

/// The state of one entry daemon.
struct EntryRelay {
    EntryRelayLimits limits;
    ChoiceWeights weights;
    std::string failureDomain;
    RouteTable routes;
    TimePoint routesChangedAt;
    /// The services that each address had in former route tables. Flows stay where they are when a route changes.
    std::unordered_map<Endpoint, std::vector<ServiceId>> formerServices;
    TimePoint startedAt;
    /// When this daemon last did anything.
    TimePoint activeAt;
    /// Whether the platform's list of targets was read since the start.
    bool hasTargetList = false;
    /// The known targets are all that the platform listed at this time.
    TimePoint targetsCompleteAt;
    /// Since when the platform is being watched without news; nothing while no watch waits.
    std::optional<TimePoint> watchStartedAt;
    /// Flows that every known agent denied, while a target may have been listed that is not known here yet.
    std::vector<FlowKey> awaitingVerdict;
    TargetDirectory directory;
    std::unordered_map<FlowKey, EntryFlow> flows;
    /// What searches may use of the VM's link, in bytes: after a restart of everything they would fill it, and no answer came.
    TokenBucket searchBandwidth;
    QueryBatches queries;
};

/// Carries out what the entry daemon decides.
class EntryOutput
{
public:
    virtual ~EntryOutput() = default;

    virtual void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) = 0;
    virtual void sendQuery(const Endpoint &agent, const RelayQuery &query) = 0;
    /// Sends the caller a reset that its end of the flow accepts at this sequence number.
    virtual void resetCaller(const FlowKey &flow, std::uint32_t sequence) = 0;
    /// Asks for the platform's changes now, rather than when the next batch of them is due.
    virtual void refreshTargets() = 0;
    virtual void recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent) = 0;
};

/// Handles one packet of a caller. `packet` is the whole packet that `summary` was read from.
void onCallerPacket(EntryRelay &entry, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, EntryOutput &output);

/// Handles an agent's notice. `returned` was read from the packet that is attached to it, if there is one.
void onNotice(EntryRelay &entry,
              const Endpoint &agent,
              const RelayNotice &notice,
              const std::optional<PacketSummary> &returned,
              TimePoint now,
              EntryOutput &output);

/// Handles an agent's load report.
void onReport(EntryRelay &entry, const Endpoint &agent, const RelayReport &report, TimePoint now, EntryOutput &output);

/// Handles an agent's answer to a query.
void onAnswer(EntryRelay &entry, const Endpoint &agent, const RelayAnswer &answer, TimePoint now, EntryOutput &output);

/// Notes that the platform's list of targets was read since the start.
void markTargetsListed(EntryRelay &entry, TimePoint now);

/// Returns whether routes and targets are known, so that an unknown address or flow says something.
[[nodiscard]] bool hasRoutesAndTargets(const EntryRelay &entry);

/// Notes that the platform told of all changes up to a time.
void markTargetsCurrent(EntryRelay &entry, TimePoint asOf);

/// Takes a newer route table. Older ones are ignored; returns whether it was taken.
bool setRoutes(EntryRelay &entry, RouteTable routes, TimePoint now);

/// Notes a target that the platform published. When it takes another's place on its VM, the agent is asked for the flows there.
PublicationEffect onTargetPublished(EntryRelay &entry, const PublishedTarget &target, TimePoint now, EntryOutput &output);

/// Notes that this daemon is doing something. Call before anything else with the same time.
void noteActivity(EntryRelay &entry, TimePoint now);

/// Forgets old flows, and resets those of targets that are gone. Call once a second.
void onEntryTick(EntryRelay &entry, TimePoint now, EntryOutput &output);

} // namespace Papaya
