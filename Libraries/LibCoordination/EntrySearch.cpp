#include "LibCoordination/EntrySearch.h"

#include "LibCoordination/SearchPlan.h"

#include <algorithm>

namespace Papaya {

namespace {

/// What an envelope adds to a packet on the link, in bytes: headers of Ethernet, IP and UDP, and its own.
constexpr double EnvelopeOverhead = 120;

bool isAmong(std::span<const FlowCandidate> candidates, const Endpoint &agent)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
}

bool hasDenied(const EntryFlow &flow, const Endpoint &agent)
{
    return std::find(flow.deniedBy.begin(), flow.deniedBy.end(), agent) != flow.deniedBy.end();
}

/// The share of the link that a message of this size takes from searches. Returns whether it may be sent.
bool takeLink(EntryRelay &entry, std::size_t size, TimePoint now)
{
    return takeTokens(entry.searchBandwidth, EnvelopeOverhead + static_cast<double>(size), now);
}

/// Offers a packet to targets for as long as searches may use the link. Returns how many got it.
std::size_t
offerPacket(EntryRelay &entry, std::span<FlowCandidate> agents, std::span<const std::byte> packet, TimePoint now, EntryOutput &output)
{
    std::size_t offered = 0;
    for (auto &candidate : agents) {
        if (!takeLink(entry, packet.size(), now))
            break;
        candidate.sentAt = now;
        candidate.wasOffered = true;
        noteAsked(entry.directory, candidate.agent, now);
        output.sendToAgent(candidate.agent, {candidate.service, EnvelopePurpose::Search, packet});
        ++offered;
    }
    return offered;
}

/// Asks agents with the next queries, without a packet.
void queryAgents(EntryRelay &entry, const FlowKey &key, std::span<FlowCandidate> agents, TimePoint now)
{
    for (auto &candidate : agents) {
        candidate.sentAt = now;
        addQuestion(entry.queries, candidate.agent, candidate.service, key);
    }
}

/// Returns whether every target that was listed at a time is known.
bool knowsAllTargetsOf(const EntryRelay &entry, TimePoint time, TimePoint now)
{
    const bool isWatchQuiet = entry.watchStartedAt && now - *entry.watchStartedAt >= entry.limits.watchLatency;
    const auto completeAt = isWatchQuiet ? std::max(entry.targetsCompleteAt, now - entry.limits.watchLatency) : entry.targetsCompleteAt;
    return completeAt >= time;
}

/// Returns whether callers repeat the requests of a flow when it is reset.
bool isIdempotent(const EntryRelay &entry, const FlowKey &flow)
{
    const auto route = entry.routes.routes.find(flow.service);
    return route != entry.routes.routes.end() && route->second.isIdempotent;
}

/// Returns the time up to which the list of targets has to be complete for a verdict on a flow. A flow is opened only at targets
/// that were listed a while before, unless most of its service's targets are new.
TimePoint requiredListTime(const EntryRelay &entry, const FlowKey &key, const EntryFlow &flow)
{
    const auto route = entry.routes.routes.find(key.service);
    if (route == entry.routes.routes.end())
        return flow.searchStartedAt;
    const auto &services = route->second.services;
    const bool areSettled = std::all_of(services.begin(), services.end(), [&](const WeightedService &service) {
        return service.weight == 0 || isMostlySettled(entry.directory, service.service, flow.searchStartedAt);
    });
    return areSettled ? flow.searchStartedAt - entry.directory.limits.settleTime : flow.searchStartedAt;
}

/// Ends a flow that every known agent denied, unless its target may have been listed too lately to be known here.
void concludeDenied(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    const bool isCurrent = knowsAllTargetsOf(entry, requiredListTime(entry, key, flow), now);
    // Without any list of the platform's own, too little is known for a verdict.
    const bool hasOwnList = entry.targetsCompleteAt != TimePoint {};
    const bool hasWaited = now - flow.searchStartedAt >= entry.limits.longestVerdictWait;
    if (isCurrent || (hasOwnList && hasWaited && isIdempotent(entry, key))) {
        endFlow(key, flow, RelayReason::HeldByNobody, flow.acknowledged, now, output);
        return;
    }
    entry.awaitingVerdict.push_back(key);
    output.refreshTargets();
}

/// Returns whether no agent that was asked can be expected to answer yet.
bool hasNoneLeft(const EntryRelay &entry, const FlowKey &key, const EntryFlow &flow, TimePoint now)
{
    return std::all_of(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
        return isOutOfReach(entry, key, candidate.agent, now);
    });
}

/// Ends a search whose agents were all asked, unless one of them may still answer.
void conclude(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.candidates.empty())
        concludeDenied(entry, key, flow, now, output);
    else if (hasNoneLeft(entry, key, flow, now))
        endFlow(key, flow, RelayReason::AgentUnreachable, flow.acknowledged, now, output);
}

/// Returns the agents of the plan that were not asked yet.
std::vector<FlowCandidate> unaskedAgents(const SearchPlan &plan, const EntryFlow &flow)
{
    std::vector<FlowCandidate> agents;
    for (const auto &agent : plan.agents) {
        if (!isAmong(flow.candidates, agent.agent) && !hasDenied(flow, agent.agent))
            agents.push_back(agent);
    }
    return agents;
}

/// Offers the packet to the likely targets first, which costs few messages when one of them holds the flow. All others are asked
/// together, in queries that many searches share.
void askNextRound(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.heldPackets.empty())
        return;
    const auto plan = planSearch(entry, key, now);
    auto unasked = unaskedAgents(plan, flow);
    if (unasked.empty()) {
        if (plan.isComplete && !plan.agents.empty())
            conclude(entry, key, flow, now, output);
        return;
    }
    const bool isFirstRound = flow.candidates.empty() && flow.deniedBy.empty();
    if (!isFirstRound) {
        queryAgents(entry, key, unasked, now);
        flow.candidates.insert(flow.candidates.end(), unasked.begin(), unasked.end());
        sendQueries(entry, now, output);
        return;
    }
    std::stable_partition(
        unasked.begin(), unasked.end(), [&](const FlowCandidate &agent) { return !isOutOfReach(entry, key, agent.agent, now); });
    unasked.resize(std::min(unasked.size(), entry.weights.candidates));
    const auto offered = offerPacket(entry, unasked, flow.heldPackets.front(), now, output);
    if (offered < unasked.size())
        output.recordDecision(key, RelayReason::SearchDeferred, {});
    unasked.resize(offered);
    flow.candidates.insert(flow.candidates.end(), unasked.begin(), unasked.end());
}

/// Asks the agents again that have not answered, each as before.
void repeatQuestions(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    const auto offered =
        std::partition(flow.candidates.begin(), flow.candidates.end(), [](const FlowCandidate &agent) { return agent.wasOffered; });
    const auto count = static_cast<std::size_t>(std::distance(flow.candidates.begin(), offered));
    const std::span candidates(flow.candidates);
    (void)offerPacket(entry, candidates.first(count), flow.heldPackets.front(), now, output);
    queryAgents(entry, key, candidates.subspan(count), now);
    sendQueries(entry, now, output);
}

/// Forgets agents whose targets are gone since they were asked: they will not answer, and hold nothing.
void forgetGone(const EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now)
{
    const auto plan = planSearch(entry, key, now);
    std::erase_if(flow.candidates, [&](const FlowCandidate &candidate) { return !isAmong(plan.agents, candidate.agent); });
}

void hold(EntryFlow &flow, std::span<const std::byte> packet)
{
    flow.heldPackets.emplace_back(packet.begin(), packet.end());
}

} // namespace

void startSearch(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output)
{
    flow.stage = EntryFlowStage::Searching;
    flow.acknowledged = summary.acknowledgement;
    flow.changedAt = now;
    flow.searchStartedAt = now;
    flow.candidates.clear();
    flow.deniedBy.clear();
    flow.heldPackets.clear();
    hold(flow, packet);
    output.recordDecision(summary.flow, RelayReason::SearchStarted, {});
    askNextRound(entry, summary.flow, flow, now, output);
}

void continueSearch(EntryRelay &entry,
                    const PacketSummary &summary,
                    EntryFlow &flow,
                    std::span<const std::byte> packet,
                    TimePoint now,
                    EntryOutput &output)
{
    if (summary.isReset)
        return;
    if (now - flow.changedAt < entry.limits.searchRetry) {
        if (flow.heldPackets.size() < entry.limits.heldPackets)
            hold(flow, packet);
        else
            output.recordDecision(summary.flow, RelayReason::TooManyHeld, {});
        return;
    }
    flow.changedAt = now;
    flow.heldPackets.clear();
    hold(flow, packet);
    forgetGone(entry, summary.flow, flow, now);
    if (!flow.candidates.empty()) {
        output.recordDecision(summary.flow, RelayReason::SearchUnanswered, flow.candidates.front().agent);
        repeatQuestions(entry, summary.flow, flow, now, output);
    }
    askNextRound(entry, summary.flow, flow, now, output);
}

void onHeld(const Endpoint &agent, ServiceId service, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.stage != EntryFlowStage::Searching)
        return;
    const auto asked =
        std::find_if(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &other) { return other.agent == agent; });
    const bool hasFirstPacket = asked != flow.candidates.end() && asked->wasOffered;
    flow.stage = EntryFlowStage::Open;
    flow.agent = agent;
    flow.service = service;
    flow.isConfirmed = true;
    flow.changedAt = now;
    flow.candidates.clear();
    flow.deniedBy.clear();
    output.recordDecision(key, RelayReason::SearchFound, agent);
    // An offer takes the first packet to the target that holds the flow; a query does not.
    const auto packets = std::exchange(flow.heldPackets, {});
    for (std::size_t index = hasFirstPacket ? 1 : 0; index < packets.size(); ++index)
        output.sendToAgent(agent, {service, EnvelopePurpose::Forward, packets[index]});
}

void onDenied(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.stage != EntryFlowStage::Searching)
        return;
    if (std::erase_if(flow.candidates, [&](const FlowCandidate &candidate) { return candidate.agent == agent; }) == 0)
        return;
    flow.deniedBy.push_back(agent);
    if (hasNoneLeft(entry, key, flow, now))
        askNextRound(entry, key, flow, now, output);
}

void onUndecided(EntryRelay &entry, const Endpoint &agent, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.stage != EntryFlowStage::Searching || flow.heldPackets.empty())
        return;
    for (auto &candidate : flow.candidates) {
        if (candidate.agent != agent || !candidate.mayGetPackets || candidate.wasOffered)
            continue;
        if (offerPacket(entry, std::span(&candidate, 1), flow.heldPackets.front(), now, output) == 0)
            output.recordDecision(key, RelayReason::SearchDeferred, agent);
        return;
    }
}

void sendQueries(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    for (const auto &agent : agentsDue(entry.queries, now)) {
        const auto waiting = std::min(entry.queries.batches[agent].waiting.size(), entry.queries.limits.maximumFlowsPerQuery);
        if (!takeLink(entry, waiting * sizeof(FlowKey), now))
            return;
        auto query = takeQuery(entry.queries, agent, now);
        std::erase_if(query.flows, [&](const FlowKey &key) {
            const auto flow = entry.flows.find(key);
            if (flow == entry.flows.end())
                return true;
            return flow->second.stage != EntryFlowStage::Searching && flow->second.stage != EntryFlowStage::Open;
        });
        if (query.flows.empty()) {
            noteAnswered(entry.queries, agent);
            continue;
        }
        noteAsked(entry.directory, agent, now);
        output.sendQuery(agent, query);
    }
}

void reviewSearch(EntryRelay &entry, const FlowKey &key, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    if (flow.candidates.empty() || flow.heldPackets.empty() || now - flow.changedAt < entry.limits.searchRetry)
        return;
    flow.changedAt = now;
    forgetGone(entry, key, flow, now);
    repeatQuestions(entry, key, flow, now, output);
    askNextRound(entry, key, flow, now, output);
}

void askWhetherThere(EntryRelay &entry, const Endpoint &agent, ServiceId service, TimePoint now, EntryOutput &output)
{
    const auto *record = findByAgent(entry.directory, agent);
    const bool isFresh = record != nullptr && record->heardAt && now - *record->heardAt < entry.limits.freshTime;
    if (record == nullptr || record->askedAt || isFresh)
        return;
    noteAsked(entry.directory, agent, now);
    output.sendQuery(agent, {service, {}});
}

bool isOutOfReach(const EntryRelay &entry, const FlowKey &flow, const Endpoint &agent, TimePoint now)
{
    if (!isIdempotent(entry, flow))
        return false;
    const auto *record = findByAgent(entry.directory, agent);
    return record != nullptr && isUnreachable(entry.directory, *record, now);
}

void retryPendingResets(EntryRelay &entry, TimePoint now, EntryOutput &output)
{
    for (const auto &key : std::exchange(entry.awaitingVerdict, {})) {
        const auto flow = entry.flows.find(key);
        const bool isUndecided =
            flow != entry.flows.end() && flow->second.stage == EntryFlowStage::Searching && flow->second.candidates.empty();
        if (isUndecided)
            askNextRound(entry, key, flow->second, now, output);
    }
}

void endFlow(const FlowKey &key, EntryFlow &flow, RelayReason reason, std::uint32_t sequence, TimePoint now, EntryOutput &output)
{
    flow.stage = EntryFlowStage::Ended;
    flow.changedAt = now;
    flow.seenAt = now;
    flow.candidates.clear();
    flow.deniedBy.clear();
    flow.heldPackets.clear();
    output.recordDecision(key, reason, flow.agent);
    output.resetCaller(key, sequence);
}

} // namespace Papaya
