#include "LibCoordination/EntrySearch.h"

#include "LibBalancing/VmEntries.h"
#include "LibCoordination/ListEvidence.h"
#include "LibCoordination/SearchPlan.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Bytes that an envelope adds to a packet on the link: the headers of Ethernet, IP and UDP and the envelope's own fields.
constexpr double EnvelopeOverhead = 120;

bool isAmong(std::span<const FlowCandidate> candidates, const Endpoint &agent)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
}

/// Returns whether an agent has denied the flow when it was asked for its target of this service.
bool hasDenied(const EntryFlow &flow, const FlowCandidate &candidate)
{
    return std::any_of(flow.deniedBy.begin(), flow.deniedBy.end(), [&](const FlowDenial &denial) {
        return denial.agent == candidate.agent && denial.service == candidate.service;
    });
}

/// Takes the bytes of a message of this size and its headers from the bandwidth that searches may use. Returns whether enough
/// bandwidth was left, so that the message may be sent.
bool consumeSearchBandwidth(EntryRelay &entry, std::size_t size, TimePoint now)
{
    return takeTokens(entry.searchBandwidth, EnvelopeOverhead + static_cast<double>(size), now);
}

/// Sends a packet to a target as a probe, within the bandwidth that searches may use. Returns whether it was sent.
bool sendProbe(EntryRelay &entry, FlowCandidate &candidate, std::span<const std::byte> packet, TimePoint now, EntryOutput &output)
{
    if (!consumeSearchBandwidth(entry, packet.size(), now))
        return false;
    candidate.sentAt = now;
    candidate.probedAt = now;
    candidate.hasFirstPacket = true;
    startAnswerTimeout(entry.directory, candidate.agent, now);
    output.sendToAgent(candidate.agent, {candidate.service, EnvelopePurpose::Search, packet});
    return true;
}

/// Adds the flow to the next queries to these agents; their targets receive no packet.
void enqueueQueries(EntryRelay &entry, const FlowKey &key, std::span<FlowCandidate> agents, TimePoint now)
{
    for (auto &candidate : agents) {
        candidate.sentAt = now;
        enqueueFlow(entry.queries, candidate.agent, candidate.service, key);
    }
}

/// Returns whether the requests of a flow are idempotent, so that callers repeat them when the flow is reset.
bool isIdempotent(const EntryRelay &entry, const FlowKey &flow)
{
    const auto route = entry.routes.routes.find(flow.service);
    return route != entry.routes.routes.end() && route->second.isIdempotent;
}

/// Returns the time up to which the list of targets has to be complete before a flow that every agent denied is reset. New
/// flows go only to targets that have been listed for at least `propagationTime`, unless most of the service's targets are
/// newer, or another target of the service had the same address before. A daemon that has just started does not know former addresses.
TimePoint requiredTargetListTime(const EntryRelay &entry, const FlowKey &key, const EntryFlow &flow)
{
    if (flow.searchStartedAt - entry.startedAt < entry.directory.limits.withdrawnTargetRetention)
        return flow.searchStartedAt;
    const auto route = entry.routes.routes.find(key.service);
    if (route == entry.routes.routes.end())
        return flow.searchStartedAt;
    const auto &services = route->second.services;
    const bool arePropagated = std::all_of(services.begin(), services.end(), [&](const WeightedService &service) {
        return service.weight == 0 || isMostlyPropagated(entry.directory, service.service, flow.searchStartedAt);
    });
    return arePropagated ? flow.searchStartedAt - entry.directory.limits.propagationTime : flow.searchStartedAt;
}

/// Returns whether the list of targets is sufficient to reset a flow that no target in the directory is known to hold.
bool isTargetListSufficient(const EntryRelay &entry, const FlowKey &key, const EntryFlow &flow, TimePoint now)
{
    if (mayListLackTargets(entry, now))
        return false;
    if (areTargetsCurrentAsOf(entry, requiredTargetListTime(entry, key, flow)))
        return true;
    const bool hasDelayElapsed = now - flow.searchStartedAt >= entry.limits.maximumResetDelay;
    return hasDelayElapsed && isIdempotent(entry, key);
}

/// Returns whether every agent that has not answered is unreachable and may be disregarded; true if all have answered.
bool areAllCandidatesUnreachable(const EntryRelay &entry, const FlowKey &key, const EntryFlow &flow)
{
    return std::all_of(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
        return mayResetWithoutAgent(entry, key, candidate.agent);
    });
}

/// Ends a search whose agents were all asked, unless one of them may still answer: resets the flow. If the flow's target may have
/// been listed too recently to be in the directory, the reset becomes pending instead.
void finishSearch(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (!areAllCandidatesUnreachable(entry, key, flow))
        return;
    const bool hasBeenDenied = flow.candidates.empty();
    if (!isTargetListSufficient(entry, key, flow, now)) {
        // retrySearch() tries again while there are candidates.
        if (hasBeenDenied)
            entry.pendingResets.push_back(key);
        output.refreshTargets();
        return;
    }
    if (!hasBeenDenied) {
        flow.agent = flow.candidates.front().agent;
        resetFlow(key, flow, RelayReason::AgentUnreachable, flow.acknowledged, now, output);
        return;
    }
    const auto reason = flow.evidence == FlowEvidence::Assumed ? RelayReason::HeldByNobody : RelayReason::LostAtTarget;
    resetFlow(key, flow, reason, flow.acknowledged, now, output);
}

/// Returns the agents of the plan that were not asked yet.
std::vector<FlowCandidate> unaskedAgents(const SearchPlan &plan, const EntryFlow &flow)
{
    std::vector<FlowCandidate> agents;
    for (const auto &agent : plan.agents) {
        if (!isAmong(flow.candidates, agent.agent) && !hasDenied(flow, agent))
            agents.push_back(agent);
    }
    return agents;
}

/// Returns whether the flow's target is among those whose agents cannot tell, and is reachable: the list has every target that serves, and
/// every other agent has denied the flow or is unreachable.
bool isTargetAmongUndecided(const EntryRelay &entry, const EntryFlow &flow, TimePoint now)
{
    if (!flow.areAllAgentsAsked || now - entry.directory.messagesReadUntil >= entry.limits.maximumReadDelay)
        return false;
    // While the whole system starts, callers are served sooner if their flows are found among the listed targets at once.
    if (mayListLackTargets(entry, now) && entry.peerEvidence != PeerEvidence::SystemStart)
        return false;
    return std::all_of(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
        const auto *record = findByAgent(entry.directory, candidate.agent);
        return candidate.isUndecided || (record != nullptr && isUnreachable(entry.directory, *record));
    });
}

bool isProbePending(const EntryRelay &entry, const FlowCandidate &candidate, TimePoint now)
{
    return candidate.probedAt && now - *candidate.probedAt < entry.limits.probeRetryInterval;
}

/// Returns how many probes a search may send now. If the flow's own target gets a probe in time, a few may be on their way at once.
/// Otherwise one is sent after `probeDelay`, and one in each `probeInterval`.
std::size_t availableProbes(const EntryRelay &entry, const EntryFlow &flow, TimePoint now)
{
    if (isTargetAmongUndecided(entry, flow, now)) {
        const auto pending = std::count_if(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
            return isProbePending(entry, candidate, now);
        });
        return entry.weights.candidates - std::min(static_cast<std::size_t>(pending), entry.weights.candidates);
    }
    const bool isWaiting = now - flow.searchStartedAt < entry.limits.probeDelay;
    const bool hasJustProbed = flow.probedAt && now - *flow.probedAt < entry.limits.probeInterval;
    return isWaiting || hasJustProbed ? 0 : 1;
}

/// Sends the flow's first packet to targets whose agents cannot tell whether they hold the flow. Targets of services that the flow's
/// address is not known to have had come last, once all others have denied the flow.
void probeUndecided(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.bufferedPackets.empty() || now - flow.bufferedAt >= entry.limits.probePacketValidity)
        return;
    auto available = availableProbes(entry, flow, now);
    const bool hasRelated =
        std::any_of(flow.candidates.begin(), flow.candidates.end(), [](const FlowCandidate &candidate) { return candidate.isRelated; });
    for (auto &candidate : flow.candidates) {
        if (available == 0)
            return;
        if (!candidate.isUndecided || isProbePending(entry, candidate, now) || candidate.isRelated != hasRelated)
            continue;
        if (!sendProbe(entry, candidate, flow.bufferedPackets.front(), now, output)) {
            output.recordDecision(key, RelayReason::SearchDeferred, candidate.agent);
            return;
        }
        flow.probedAt = now;
        --available;
    }
}

/// Returns whether no further answer is expected from the agents that were asked so far.
bool isRoundOver(const EntryRelay &entry, const FlowKey &key, const EntryFlow &flow)
{
    return std::all_of(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
        return candidate.isUndecided || mayResetWithoutAgent(entry, key, candidate.agent);
    });
}

/// Asks the next agents of a search, or finishes the search if all were asked. The first round asks the agents of the targets that
/// most likely hold the flow, which takes few messages when one of them does. All other agents are asked in the second round.
void sendNextRound(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    const auto plan = planSearch(entry, key, now);
    auto unasked = unaskedAgents(plan, flow);
    flow.areAllAgentsAsked = unasked.empty() && plan.isComplete;
    if (unasked.empty()) {
        if (plan.isComplete && !plan.agents.empty())
            finishSearch(entry, key, flow, now, output);
        return;
    }
    const bool isFirstRound = flow.candidates.empty() && flow.deniedBy.empty();
    if (isFirstRound) {
        std::stable_partition(
            unasked.begin(), unasked.end(), [&](const FlowCandidate &agent) { return !mayResetWithoutAgent(entry, key, agent.agent); });
        unasked.resize(std::min(unasked.size(), entry.weights.candidates));
    }
    enqueueQueries(entry, key, unasked, now);
    flow.candidates.insert(flow.candidates.end(), unasked.begin(), unasked.end());
    sendQueries(entry, now, output);
}

/// Continues a search after an agent's answer.
void continueRound(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (!flow.areAllAgentsAsked || areAllCandidatesUnreachable(entry, key, flow)) {
        if (isRoundOver(entry, key, flow))
            sendNextRound(entry, key, flow, now, output);
    }
    if (flow.stage == EntryFlowStage::Searching)
        probeUndecided(entry, key, flow, now, output);
}

/// Repeats the requests to the agents that have not answered, as queries. An agent that cannot tell whether its target holds the flow
/// answers unknown, and then gets another probe if the last one may be lost.
void repeatRequests(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    for (auto &candidate : flow.candidates) {
        candidate.hasFirstPacket = false;
        candidate.isUndecided = false;
    }
    enqueueQueries(entry, key, flow.candidates, now);
    sendQueries(entry, now, output);
}

/// Removes agents whose targets have terminated since they were asked: they will not answer, and hold no flow.
void removeTerminatedCandidates(const EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now)
{
    const auto plan = planSearch(entry, key, now);
    std::erase_if(flow.candidates, [&](const FlowCandidate &candidate) { return !isAmong(plan.agents, candidate.agent); });
}

void bufferPacket(EntryFlow &flow, std::span<const std::byte> packet, TimePoint now)
{
    flow.bufferedPackets.emplace_back(packet.begin(), packet.end());
    flow.bufferedAt = now;
}

/// Puts a flow into the stage of a search that has asked no agent. Probes of an earlier search still count.
void beginSearch(EntryFlow &flow, TimePoint now)
{
    flow.stage = EntryFlowStage::Searching;
    flow.changedAt = now;
    flow.searchStartedAt = now;
    flow.candidates.clear();
    flow.deniedBy.clear();
    flow.bufferedPackets.clear();
    flow.areAllAgentsAsked = false;
}

} // namespace

void startSearch(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output)
{
    flow.acknowledged = summary.acknowledgement;
    beginSearch(flow, now);
    bufferPacket(flow, packet, now);
    output.recordDecision(summary.flow, RelayReason::SearchStarted, {});
    sendNextRound(entry, summary.flow, flow, now, output);
}

void startSearchWithoutPacket(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    beginSearch(flow, now);
    output.recordDecision(key, RelayReason::SearchStarted, {});
    sendNextRound(entry, key, flow, now, output);
}

void continueSearch(EntryRelay &entry,
                    const PacketSummary &summary,
                    EntryFlow &flow,
                    std::span<const std::byte> packet,
                    TimePoint now,
                    EntryOutput &output)
{
    // A late copy of the flow's SYN would open the flow at each target that gets it as a probe.
    if (summary.isReset || summary.isInitialSyn())
        return;
    if (now - flow.changedAt < entry.limits.searchRetryInterval) {
        // The caller retransmits: what it sent before is no longer recent enough for a probe.
        if (now - flow.bufferedAt >= entry.limits.searchRetryInterval)
            flow.bufferedPackets.clear();
        if (flow.bufferedPackets.size() < entry.limits.bufferedPackets)
            bufferPacket(flow, packet, now);
        else
            output.recordDecision(summary.flow, RelayReason::TooManyHeld, {});
        return;
    }
    flow.changedAt = now;
    flow.bufferedPackets.clear();
    bufferPacket(flow, packet, now);
    removeTerminatedCandidates(entry, summary.flow, flow, now);
    if (!flow.candidates.empty()) {
        output.recordDecision(summary.flow, RelayReason::SearchUnanswered, flow.candidates.front().agent);
        repeatRequests(entry, summary.flow, flow, now, output);
    }
    sendNextRound(entry, summary.flow, flow, now, output);
}

void onFlowHeld(const Endpoint &agent, ServiceId service, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.stage != EntryFlowStage::Searching)
        return;
    const auto asked =
        std::find_if(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &other) { return other.agent == agent; });
    const bool hasFirstPacket = asked != flow.candidates.end() && asked->hasFirstPacket;
    flow.stage = EntryFlowStage::Open;
    flow.agent = agent;
    flow.service = service;
    flow.evidence = FlowEvidence::Held;
    flow.changedAt = now;
    flow.candidates.clear();
    flow.deniedBy.clear();
    output.recordDecision(key, RelayReason::SearchFound, agent);
    // A probe delivered the first packet to the target that holds the flow; a query did not.
    const auto packets = std::exchange(flow.bufferedPackets, {});
    for (std::size_t index = hasFirstPacket ? 1 : 0; index < packets.size(); ++index)
        output.sendToAgent(agent, {service, EnvelopePurpose::Forward, packets[index]});
}

void onFlowDenied(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.stage != EntryFlowStage::Searching)
        return;
    const auto asked = std::find_if(
        flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
    if (asked == flow.candidates.end())
        return;
    flow.deniedBy.push_back({agent, asked->service});
    flow.candidates.erase(asked);
    continueRound(entry, key, flow, now, output);
}

void onFlowUnknown(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.stage != EntryFlowStage::Searching)
        return;
    for (auto &candidate : flow.candidates) {
        if (candidate.agent == agent)
            candidate.isUndecided = true;
    }
    continueRound(entry, key, flow, now, output);
}

void sendQueries(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    for (const auto &agent : agentsDue(entry.queries, now)) {
        if (!consumeSearchBandwidth(entry, nextQuerySize(entry.queries, agent) * sizeof(FlowKey), now))
            return;
        auto query = dequeueQuery(entry.queries, agent, now);
        std::erase_if(query.flows, [&](const FlowKey &key) {
            const auto flow = entry.flows.find(key);
            if (flow == entry.flows.end())
                return true;
            return flow->second.stage != EntryFlowStage::Searching && flow->second.stage != EntryFlowStage::Open;
        });
        if (query.flows.empty()) {
            markAnswered(entry.queries, agent);
            continue;
        }
        recordQuery(entry.directory, agent, now);
        output.sendQuery(agent, query);
    }
}

void retrySearch(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.candidates.empty() || now - flow.changedAt < entry.limits.searchRetryInterval)
        return;
    flow.changedAt = now;
    removeTerminatedCandidates(entry, key, flow, now);
    repeatRequests(entry, key, flow, now, output);
    sendNextRound(entry, key, flow, now, output);
}

void pingAgent(EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now, EntryOutput &output)
{
    const auto *record = findByAgent(entry.directory, agent);
    if (record == nullptr)
        return;
    const bool isFresh = record->lastMessageAt && now - *record->lastMessageAt < entry.limits.agentContactValidity;
    const bool isDue = record->unanswered ? isQueryDue(entry.directory, *record, now) : !isFresh;
    if (!isDue)
        return;
    recordQuery(entry.directory, agent, now);
    output.sendQuery(agent, {service, {}});
}

bool mayResetWithoutAgent(const EntryRelay &entry, const FlowKey &flow, const Endpoint &agent)
{
    if (!isIdempotent(entry, flow))
        return false;
    const auto *record = findByAgent(entry.directory, agent);
    return record != nullptr && isUnreachable(entry.directory, *record);
}

void retryPendingResets(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    for (const auto &key : std::exchange(entry.pendingResets, {})) {
        const auto flow = entry.flows.find(key);
        const bool isResetPending =
            flow != entry.flows.end() && flow->second.stage == EntryFlowStage::Searching && flow->second.candidates.empty();
        if (isResetPending)
            sendNextRound(entry, key, flow->second, now, output);
    }
}

bool endOpenFlow(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, RelayReason reason, TimePoint now, EntryOutput &output)
{
    if (flow.evidence == FlowEvidence::Assumed)
        return false;
    const bool isFromAgentTable = flow.evidence == FlowEvidence::Held;
    if (isFromAgentTable && !planSearch(entry, key, now).agents.empty())
        startSearchWithoutPacket(entry, key, flow, now, output);
    else
        resetFlow(key, flow, reason, flow.acknowledged, now, output);
    return true;
}

void resetFlow(const FlowKey &key, EntryFlow &flow, RelayReason reason, std::uint32_t sequence, TimePoint now, EntryOutput &output)
{
    output.recordDecision(key, reason, flow.agent);
    flow.stage = EntryFlowStage::Ended;
    flow.changedAt = now;
    flow.lastSeenAt = now;
    flow.candidates.clear();
    flow.deniedBy.clear();
    flow.bufferedPackets.clear();
    output.resetCaller(key, sequence);
}

} // namespace Papaya
