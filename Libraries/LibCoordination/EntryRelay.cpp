#include "LibCoordination/EntryRelay.h"

#include "LibCoordination/EntrySearch.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns the agents that a SYN does not go to again. Busy ones are left out as long as there may be others.
std::vector<Endpoint> excludedAgents(std::span<const FlowCandidate> candidates, bool areBusyExcluded)
{
    std::vector<Endpoint> agents;
    for (const auto &candidate : candidates) {
        if (!candidate.isBusy || areBusyExcluded)
            agents.push_back(candidate.agent);
    }
    return agents;
}

FlowCandidate *findCandidate(EntryFlow &flow, const Endpoint &agent)
{
    const auto found = std::find_if(
        flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
    return found == flow.candidates.end() ? nullptr : &*found;
}

TargetRecord *chooseAmong(EntryRelay &entry, const FlowKey &key, std::span<const Endpoint> excluded, TimePoint now)
{
    const auto route = entry.routes.routes.find(key.service);
    if (route == entry.routes.routes.end())
        return nullptr;
    for (const auto service : servicesForFlow(route->second, key)) {
        if (auto *target = chooseTarget(entry.directory, service, key, excluded, entry.failureDomain, entry.weights, now))
            return target;
    }
    return nullptr;
}

/// The target of a SYN, and whether it takes the flow however busy it is.
struct Placement {
    TargetRecord *target = nullptr;
    bool mayBeBusy = false;
};

/// Chooses the best target that a SYN was not sent to yet, and once enough of them were busy the best of all.
Placement choosePlacement(EntryRelay &entry, const FlowKey &key, const EntryFlow &flow, TimePoint now)
{
    const auto isBusy = [](const FlowCandidate &candidate) { return candidate.isBusy; };
    const auto busy = std::count_if(flow.candidates.begin(), flow.candidates.end(), isBusy);
    if (static_cast<std::size_t>(busy) < entry.limits.busyTries) {
        if (auto *target = chooseAmong(entry, key, excludedAgents(flow.candidates, true), now))
            return {target, false};
    }
    return {chooseAmong(entry, key, excludedAgents(flow.candidates, false), now), true};
}

/// Sends a SYN to a target, which may send it back if it turns out to be busy. Returns whether there was a target.
bool placeSyn(EntryRelay &entry,
              const FlowKey &key,
              EntryFlow &flow,
              std::span<const std::byte> packet,
              RelayReason reason,
              TimePoint now,
              EntryOutput &output)
{
    const auto [target, mayBeBusy] = choosePlacement(entry, key, flow, now);
    if (target == nullptr)
        return false;
    ++target->placedSinceReport;
    const auto &agent = target->published.agent;
    const auto service = target->published.service;
    std::erase_if(flow.candidates, [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
    flow.candidates.push_back({agent, service, now});
    output.recordDecision(key, reason, agent);
    const auto purpose = mayBeBusy ? EnvelopePurpose::Forward : EnvelopePurpose::Place;
    output.sendToAgent(agent, {service, purpose, packet, target->published.slots});
    return true;
}

void startFlow(EntryRelay &entry, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, EntryOutput &output)
{
    const auto &key = summary.flow;
    if (!entry.routes.routes.contains(key.service)) {
        output.recordDecision(key, RelayReason::UnknownRoute, {});
        output.resetCaller(key, summary.acknowledgement);
        return;
    }
    if (entry.flows.size() >= entry.limits.flows) {
        output.recordDecision(key, RelayReason::TableFull, {});
        output.resetCaller(key, summary.acknowledgement);
        return;
    }
    EntryFlow flow;
    flow.changedAt = now;
    flow.seenAt = now;
    if (!placeSyn(entry, key, flow, packet, RelayReason::Placed, now, output)) {
        output.recordDecision(key, RelayReason::NoTarget, {});
        output.resetCaller(key, summary.acknowledgement);
        return;
    }
    entry.flows[key] = std::move(flow);
}

/// Handles a SYN that the caller repeated: to the target that answered, else to one that was not tried.
void repeatSyn(EntryRelay &entry,
               const FlowKey &key,
               EntryFlow &flow,
               std::span<const std::byte> packet,
               TimePoint now,
               EntryOutput &output)
{
    for (const auto &candidate : flow.candidates) {
        if (!candidate.sequence)
            continue;
        output.sendToAgent(candidate.agent, {candidate.service, EnvelopePurpose::Forward, packet});
        return;
    }
    bool isWaiting = false;
    for (const auto &candidate : flow.candidates) {
        const bool isOverdue = now - candidate.sentAt >= entry.limits.answerTime;
        if (isOverdue && !candidate.hasReturned)
            suspect(entry.directory, candidate.agent, now);
        isWaiting = isWaiting || !isOverdue;
    }
    if (isWaiting || placeSyn(entry, key, flow, packet, RelayReason::PlacedAgain, now, output))
        return;
    const auto last = std::find_if(
        flow.candidates.rbegin(), flow.candidates.rend(), [](const FlowCandidate &candidate) { return !candidate.hasReturned; });
    if (last != flow.candidates.rend())
        output.sendToAgent(last->agent, {last->service, EnvelopePurpose::Forward, packet});
}

/// Settles which target a flow opened at: the one whose sequence number the caller acknowledges.
void settleOwner(const PacketSummary &summary, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    const FlowCandidate *owner = nullptr;
    for (const auto &candidate : flow.candidates) {
        if (candidate.sequence && summary.acknowledgement == *candidate.sequence + 1)
            owner = &candidate;
    }
    flow.isConfirmed = owner != nullptr;
    // The notice of the answer may be lost or late; the packet itself shows whether the target holds the flow.
    const auto unreturned = std::find_if(
        flow.candidates.rbegin(), flow.candidates.rend(), [](const FlowCandidate &candidate) { return !candidate.hasReturned; });
    if (owner == nullptr)
        owner = unreturned == flow.candidates.rend() ? &flow.candidates.back() : &*unreturned;
    flow.agent = owner->agent;
    flow.service = owner->service;
    flow.stage = EntryFlowStage::Open;
    flow.changedAt = now;
    flow.candidates.clear();
    output.recordDecision(summary.flow, RelayReason::Opened, flow.agent);
}

/// Notes whether the caller repeats its data because nothing comes back, and asks the agent whether it is there.
void noteProgress(EntryRelay &entry, const PacketSummary &summary, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    flow.isUnanswered = summary.length > 0 && flow.dataSequence == summary.sequence;
    if (summary.length > 0)
        flow.dataSequence = summary.sequence;
    if (flow.isUnanswered)
        askWhetherThere(entry, flow.agent, flow.service, now, output);
}

void forwardOpen(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output)
{
    noteProgress(entry, summary, flow, now, output);
    if (isOutOfReach(entry, summary.flow, flow.agent, now) && !summary.isReset) {
        endFlow(summary.flow, flow, RelayReason::AgentUnreachable, flow.acknowledged, now, output);
        return;
    }
    output.sendToAgent(flow.agent, {flow.service, EnvelopePurpose::Forward, packet});
    if (summary.isFin || summary.isReset)
        flow.isFinished = true;
}

void onUnknownFlow(EntryRelay &entry, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, EntryOutput &output)
{
    const auto &key = summary.flow;
    if (summary.isReset)
        return;
    if (!entry.routes.routes.contains(key.service)) {
        const bool isSettled = now - entry.routesChangedAt >= entry.limits.routeSettleTime;
        output.recordDecision(key, isSettled ? RelayReason::UnknownRoute : RelayReason::RouteNotYetKnown, {});
        if (isSettled)
            output.resetCaller(key, summary.acknowledgement);
        return;
    }
    if (entry.flows.size() >= entry.limits.flows) {
        output.recordDecision(key, RelayReason::TableFull, {});
        return;
    }
    EntryFlow flow;
    flow.seenAt = now;
    startSearch(entry, summary, entry.flows[key] = std::move(flow), packet, now, output);
}

void onKnownFlow(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output)
{
    flow.seenAt = now;
    if (summary.hasAcknowledgement)
        flow.acknowledged = summary.acknowledgement;
    switch (flow.stage) {
    case EntryFlowStage::Opening:
        if (summary.isInitialSyn()) {
            repeatSyn(entry, summary.flow, flow, packet, now, output);
            return;
        }
        settleOwner(summary, flow, now, output);
        forwardOpen(entry, summary, flow, packet, now, output);
        return;
    case EntryFlowStage::Open:
        forwardOpen(entry, summary, flow, packet, now, output);
        return;
    case EntryFlowStage::Searching:
        continueSearch(entry, summary, flow, packet, now, output);
        return;
    case EntryFlowStage::Ended:
        if (!summary.isReset)
            output.resetCaller(summary.flow, summary.acknowledgement);
        return;
    }
}

/// A target sent a SYN back, or could not be given it.
void onSynReturned(EntryRelay &entry,
                   const Endpoint &agent,
                   const PacketSummary &summary,
                   EntryFlow &flow,
                   std::span<const std::byte> packet,
                   bool isBusy,
                   TimePoint now,
                   EntryOutput &output)
{
    auto *candidate = findCandidate(flow, agent);
    if (flow.stage != EntryFlowStage::Opening || candidate == nullptr || candidate->hasReturned)
        return;
    candidate->hasReturned = true;
    candidate->isBusy = isBusy;
    const bool isAnotherTrying =
        std::any_of(flow.candidates.begin(), flow.candidates.end(), [](const FlowCandidate &other) { return !other.hasReturned; });
    const auto reason = isBusy ? RelayReason::PlacedAfterBusy : RelayReason::PlacedAfterReturn;
    if (isAnotherTrying || placeSyn(entry, summary.flow, flow, packet, reason, now, output))
        return;
    endFlow(summary.flow, flow, RelayReason::AllReturned, summary.acknowledgement, now, output);
}

/// A target sent back a packet of a flow that it does not hold.
void onPacketReturned(EntryRelay &entry,
                      const Endpoint &agent,
                      const PacketSummary &summary,
                      EntryFlow &flow,
                      std::span<const std::byte> packet,
                      TimePoint now,
                      EntryOutput &output)
{
    if (flow.stage == EntryFlowStage::Searching) {
        onDenied(entry, agent, summary.flow, flow, now, output);
        return;
    }
    if (flow.stage != EntryFlowStage::Open || flow.agent != agent || summary.isReset)
        return;
    if (flow.isConfirmed) {
        endFlow(summary.flow, flow, RelayReason::LostAtTarget, summary.acknowledgement, now, output);
        return;
    }
    startSearch(entry, summary, flow, packet, now, output);
    onDenied(entry, agent, summary.flow, flow, now, output);
}

void onReturned(EntryRelay &entry,
                const Endpoint &agent,
                const PacketSummary &summary,
                const RelayNotice &notice,
                TimePoint now,
                EntryOutput &output)
{
    const auto flow = entry.flows.find(summary.flow);
    if (flow == entry.flows.end())
        return;
    if (summary.isInitialSyn())
        onSynReturned(entry, agent, summary, flow->second, notice.packet, notice.kind == NoticeKind::Busy, now, output);
    else
        onPacketReturned(entry, agent, summary, flow->second, notice.packet, now, output);
}

void onAccepted(EntryRelay &entry, const Endpoint &agent, const RelayNotice &notice)
{
    clearSuspicion(entry.directory, agent);
    const auto flow = entry.flows.find(notice.flow);
    if (flow == entry.flows.end())
        return;
    if (auto *candidate = findCandidate(flow->second, agent))
        candidate->sequence = notice.sequence;
    else if (flow->second.stage == EntryFlowStage::Open && flow->second.agent == agent)
        flow->second.isConfirmed = true;
}

/// Resets the flows that an agent's target held.
void endFlowsAt(EntryRelay &entry, const Endpoint &agent, TimePoint now, EntryOutput &output)
{
    for (auto &[key, flow] : entry.flows) {
        if (flow.stage == EntryFlowStage::Open && flow.agent == agent && !flow.isFinished)
            endFlow(key, flow, RelayReason::TargetGone, flow.acknowledged, now, output);
    }
}

/// Asks an agent which of the flows known to be there its target holds: the VM runs another target than before, and they may have
/// been opened at either.
void reviewFlowsAt(EntryRelay &entry, const Endpoint &agent, TimePoint now, EntryOutput &output)
{
    for (const auto &[key, flow] : entry.flows) {
        if (flow.stage == EntryFlowStage::Open && flow.agent == agent && !flow.isFinished)
            addQuestion(entry.queries, agent, flow.service, key);
    }
    sendQueries(entry, now, output);
}

/// Handles an agent's knowledge of a flow that is open there as far as is known here.
void onReviewed(EntryFlow &flow, const FlowFinding &finding, TimePoint now, EntryOutput &output)
{
    if (finding.verdict == FlowVerdict::Held)
        flow.isConfirmed = true;
    else if (finding.verdict == FlowVerdict::Denied && !flow.isFinished)
        endFlow(finding.flow, flow, RelayReason::TargetGone, flow.acknowledged, now, output);
}

} // namespace

void noteActivity(EntryRelay &entry, TimePoint now)
{
    if (now - entry.activeAt >= entry.limits.pauseTime)
        waitAnew(entry.directory, now);
    entry.activeAt = now;
}

bool hasRoutesAndTargets(const EntryRelay &entry)
{
    return entry.routes.version > 0 && entry.hasTargetList;
}

void onCallerPacket(EntryRelay &entry, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, EntryOutput &output)
{
    noteActivity(entry, now);
    if (!hasRoutesAndTargets(entry)) {
        output.recordDecision(summary.flow, RelayReason::NotInformed, {});
        if (summary.isInitialSyn())
            output.resetCaller(summary.flow, summary.acknowledgement);
        return;
    }
    const auto flow = entry.flows.find(summary.flow);
    if (flow != entry.flows.end() && !(summary.isInitialSyn() && flow->second.stage == EntryFlowStage::Ended)) {
        onKnownFlow(entry, summary, flow->second, packet, now, output);
        return;
    }
    if (summary.isInitialSyn())
        startFlow(entry, summary, packet, now, output);
    else
        onUnknownFlow(entry, summary, packet, now, output);
}

void onNotice(EntryRelay &entry,
              const Endpoint &agent,
              const RelayNotice &notice,
              const std::optional<PacketSummary> &returned,
              TimePoint now,
              EntryOutput &output)
{
    noteActivity(entry, now);
    applyLoad(entry.directory, agent, notice.service, notice.load, now);
    switch (notice.kind) {
    case NoticeKind::Accepted:
        onAccepted(entry, agent, notice);
        return;
    case NoticeKind::Returned:
    case NoticeKind::WrongService:
    case NoticeKind::TargetDown:
    case NoticeKind::Busy:
        if (returned)
            onReturned(entry, agent, *returned, notice, now, output);
        return;
    case NoticeKind::Held:
    case NoticeKind::Denied:
        if (const auto flow = entry.flows.find(notice.flow); flow != entry.flows.end()) {
            if (notice.kind == NoticeKind::Held)
                onHeld(agent, notice.service, notice.flow, flow->second, now, output);
            else
                onDenied(entry, agent, notice.flow, flow->second, now, output);
        }
        return;
    }
}

void onReport(EntryRelay &entry, const Endpoint &agent, const RelayReport &report, TimePoint now, EntryOutput &output)
{
    noteActivity(entry, now);
    applyLoad(entry.directory, agent, report.service, report.load, now);
    if (report.load.state != TargetState::Closed)
        return;
    endFlowsAt(entry, agent, now, output);
    for (auto &[key, flow] : entry.flows) {
        if (flow.stage == EntryFlowStage::Searching)
            onDenied(entry, agent, key, flow, now, output);
    }
}

void onAnswer(EntryRelay &entry, const Endpoint &agent, const RelayAnswer &answer, TimePoint now, EntryOutput &output)
{
    noteActivity(entry, now);
    applyLoad(entry.directory, agent, answer.service, answer.load, now);
    noteAnswered(entry.queries, agent);
    for (const auto &finding : answer.findings) {
        const auto flow = entry.flows.find(finding.flow);
        if (flow == entry.flows.end())
            continue;
        if (flow->second.stage == EntryFlowStage::Open && flow->second.agent == agent)
            onReviewed(flow->second, finding, now, output);
        else if (finding.verdict == FlowVerdict::Held)
            onHeld(agent, answer.service, finding.flow, flow->second, now, output);
        else if (finding.verdict == FlowVerdict::Denied)
            onDenied(entry, agent, finding.flow, flow->second, now, output);
        else
            onUndecided(entry, agent, finding.flow, flow->second, now, output);
    }
    sendQueries(entry, now, output);
}

void markTargetsListed(EntryRelay &entry, TimePoint now)
{
    if (!entry.hasTargetList)
        settleFirstList(entry.directory, now);
    entry.hasTargetList = true;
}

void markTargetsCurrent(EntryRelay &entry, TimePoint asOf)
{
    entry.targetsCompleteAt = std::max(entry.targetsCompleteAt, asOf);
}

bool setRoutes(EntryRelay &entry, RouteTable routes, TimePoint now)
{
    if (routes.version <= entry.routes.version)
        return false;
    for (const auto &[address, route] : entry.routes.routes) {
        auto &former = entry.formerServices[address];
        for (const auto &service : route.services) {
            if (std::find(former.begin(), former.end(), service.service) == former.end())
                former.push_back(service.service);
        }
    }
    entry.routes = std::move(routes);
    entry.routesChangedAt = now;
    return true;
}

PublicationEffect onTargetPublished(EntryRelay &entry, const PublishedTarget &target, TimePoint now, EntryOutput &output)
{
    const auto effect = applyPublished(entry.directory, target, now);
    if (effect == PublicationEffect::Replaced)
        reviewFlowsAt(entry, target.agent, now, output);
    return effect;
}

} // namespace Papaya
