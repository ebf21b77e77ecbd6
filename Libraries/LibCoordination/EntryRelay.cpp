#include "LibCoordination/EntryRelay.h"

#include "LibBalancing/Admission.h"
#include "LibCoordination/EntryEvacuation.h"
#include "LibCoordination/EntryPlacement.h"
#include "LibCoordination/EntrySearch.h"
#include "LibCoordination/ListEvidence.h"

#include <algorithm>

namespace Papaya {

namespace {

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
    if (!hasRoom(entry.directory, entry.routes.routes.at(key.service), now)) {
        output.recordDecision(key, RelayReason::NoRoom, {});
        output.resetCaller(key, summary.acknowledgement);
        return;
    }
    EntryFlow flow;
    flow.changedAt = now;
    flow.lastSeenAt = now;
    flow.callerSequence = summary.sequence;
    flow.synSequence = summary.sequence;
    if (!placeSyn(entry, key, flow, packet, RelayReason::Placed, now, output)) {
        output.recordDecision(key, reasonWithoutTarget(entry, key, RelayReason::NoTarget, now), {});
        output.resetCaller(key, summary.acknowledgement);
        return;
    }
    entry.flows[key] = std::move(flow);
}

/// Detects that the caller retransmits its data because no answer arrives, and then pings the agent.
void detectRetransmission(EntryRelay &entry, const PacketSummary &summary, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    flow.isRetransmitting = summary.length > 0 && flow.lastDataSequence == summary.sequence;
    if (summary.length > 0)
        flow.lastDataSequence = summary.sequence;
    if (flow.isRetransmitting)
        pingAgent(entry, flow.agent, flow.service, now, output);
}

void forwardOpen(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output)
{
    detectRetransmission(entry, summary, flow, now, output);
    if (mayResetWithoutAgent(entry, summary.flow, flow.agent) && !summary.isReset) {
        if (flow.evidence == FlowEvidence::Assumed || flow.evidence == FlowEvidence::Held)
            startSearch(entry, summary, flow, packet, now, output);
        else
            resetFlow(summary.flow, flow, RelayReason::AgentUnreachable, flow.acknowledged, now, output);
        return;
    }
    if (flow.evidence == FlowEvidence::Assumed && ++flow.unconfirmedPackets > entry.limits.maximumUnconfirmedPackets && !summary.isReset) {
        flow.probedAt = now;
        startSearch(entry, summary, flow, packet, now, output);
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
        const bool hasPropagated = now - entry.routesChangedAt >= entry.limits.routePropagationTime;
        output.recordDecision(key, hasPropagated ? RelayReason::UnknownRoute : RelayReason::RouteNotYetKnown, {});
        if (hasPropagated)
            output.resetCaller(key, summary.acknowledgement);
        return;
    }
    if (entry.flows.size() >= entry.limits.flows) {
        output.recordDecision(key, RelayReason::TableFull, {});
        return;
    }
    EntryFlow flow;
    flow.lastSeenAt = now;
    flow.callerSequence = summary.sequence;
    startSearch(entry, summary, entry.flows[key] = std::move(flow), packet, now, output);
}

/// Returns the distance of two sequence numbers, which wrap around.
std::uint32_t sequenceDistance(std::uint32_t left, std::uint32_t right)
{
    return std::min(left - right, right - left);
}

/// Returns whether a packet belongs to a later flow with the same ports as one that this daemon has reset or searches for, or whose domain
/// is evacuated.
bool isOfLaterFlow(const EntryRelay &entry, const EntryFlow &flow, const PacketSummary &summary, TimePoint now)
{
    if (isNewFlowAtEvacuated(entry, flow, summary, now))
        return true;
    if (flow.stage == EntryFlowStage::Searching)
        return summary.isInitialSyn() && sequenceDistance(summary.sequence, flow.callerSequence) > entry.limits.flowSequenceRange;
    if (flow.stage != EntryFlowStage::Ended)
        return false;
    if (summary.isInitialSyn())
        return true;
    return summary.hasAcknowledgement && sequenceDistance(summary.acknowledgement, flow.acknowledged) > entry.limits.acknowledgementWindow;
}

void onKnownFlow(EntryRelay &entry,
                 const PacketSummary &summary,
                 EntryFlow &flow,
                 std::span<const std::byte> packet,
                 TimePoint now,
                 EntryOutput &output)
{
    flow.lastSeenAt = now;
    flow.callerSequence = summary.sequence;
    if (summary.hasAcknowledgement)
        flow.acknowledged = summary.acknowledgement;
    switch (flow.stage) {
    case EntryFlowStage::Opening:
        if (summary.isInitialSyn()) {
            forwardRetransmittedSyn(entry, summary.flow, flow, packet, now, output);
            return;
        }
        if (isOpenElsewhere(summary, flow)) {
            startSearch(entry, summary, flow, packet, now, output);
            return;
        }
        selectOwner(summary, flow, now, output);
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

/// Processes a SYN that a target returned, or that its agent did not pass on.
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
    if (flow.stage != EntryFlowStage::Opening || candidate == nullptr || candidate->hasReturnedSyn)
        return;
    candidate->hasReturnedSyn = true;
    candidate->isBusy = isBusy && !candidate->mayBeBusy;
    candidate->isRefused = isBusy && candidate->mayBeBusy;
    if (isBusy)
        recordPlacementTime(entry, *candidate, now);
    const bool isAnotherPending =
        std::any_of(flow.candidates.begin(), flow.candidates.end(), [](const FlowCandidate &other) { return !other.hasReturnedSyn; });
    const auto reason = isBusy ? RelayReason::PlacedAfterBusy : RelayReason::PlacedAfterReturn;
    if (isAnotherPending || placeSyn(entry, summary.flow, flow, packet, reason, now, output))
        return;
    const auto resetReason = reasonWithoutTarget(entry, summary.flow, RelayReason::AllReturned, now);
    resetFlow(summary.flow, flow, resetReason, summary.acknowledgement, now, output);
}

/// Processes a packet that a target returned because it does not hold the packet's flow. The flow may be open at another target,
/// also if it was confirmed here, so it is reset only when all agents have denied it.
void onPacketReturned(EntryRelay &entry,
                      const Endpoint &agent,
                      const PacketSummary &summary,
                      EntryFlow &flow,
                      std::span<const std::byte> packet,
                      TimePoint now,
                      EntryOutput &output)
{
    if (flow.stage == EntryFlowStage::Searching) {
        onFlowDenied(entry, agent, summary.flow, flow, now, output);
        return;
    }
    if (flow.stage != EntryFlowStage::Open || flow.agent != agent || summary.isReset)
        return;
    startSearch(entry, summary, flow, packet, now, output);
    onFlowDenied(entry, agent, summary.flow, flow, now, output);
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
    // An agent that was not told of the end of an evacuation is told by now, and may get the SYN again.
    const bool isOutdated = notice.kind == NoticeKind::Evacuated && !isEvacuatedAt(entry, agent, notice.service, now);
    const bool isBusy = notice.kind == NoticeKind::Busy || isOutdated;
    if (summary.isInitialSyn())
        onSynReturned(entry, agent, summary, flow->second, notice.packet, isBusy, now, output);
    else
        onPacketReturned(entry, agent, summary, flow->second, notice.packet, now, output);
}

/// Returns whether a SYN-ACK from the assumed target of an open flow is the one that the caller acknowledged.
bool isAcceptedByOwner(const EntryFlow &flow, const Endpoint &agent, std::uint32_t sequence)
{
    return flow.stage == EntryFlowStage::Open && flow.evidence == FlowEvidence::Assumed && flow.agent == agent
           && flow.handshakeAcknowledgement == sequence + 1;
}

void onAccepted(EntryRelay &entry, const Endpoint &agent, const RelayNotice &notice, TimePoint now)
{
    clearSuspicion(entry.directory, agent);
    const auto flow = entry.flows.find(notice.flow);
    if (flow == entry.flows.end())
        return;
    if (auto *candidate = findCandidate(flow->second, agent)) {
        if (!candidate->sequence && flow->second.stage == EntryFlowStage::Opening)
            recordPlacementTime(entry, *candidate, now);
        candidate->sequence = notice.sequence;
    } else if (isAcceptedByOwner(flow->second, agent, notice.sequence)) {
        flow->second.evidence = FlowEvidence::LateSynAck;
    }
}

/// Ends the open flows of an agent whose target has terminated.
void endFlowsOfAgent(EntryRelay &entry, const Endpoint &agent, TimePoint now, EntryOutput &output)
{
    for (auto item = entry.flows.begin(); item != entry.flows.end();) {
        const auto current = item++;
        auto &[key, flow] = *current;
        const bool isAtAgent = flow.stage == EntryFlowStage::Open && flow.agent == agent && !flow.isFinished;
        if (isAtAgent && !endOpenFlow(entry, key, flow, RelayReason::TargetGone, now, output))
            entry.flows.erase(current);
    }
}

/// Asks an agent which of the open flows at its target the target holds. The VM runs another target than before, and the flows
/// may have been opened at either one.
void queryFlowsOfAgent(EntryRelay &entry, const Endpoint &agent, TimePoint now, EntryOutput &output)
{
    for (const auto &[key, flow] : entry.flows) {
        if (flow.stage == EntryFlowStage::Open && flow.agent == agent && !flow.isFinished)
            enqueueFlow(entry.queries, agent, flow.service, key);
    }
    sendQueries(entry, now, output);
}

/// Applies an agent's answer on a flow that is open at its target according to the cache. A denial may answer a query that was sent before
/// the flow opened there, so it starts a search, in which the agent is asked again.
void applyFinding(EntryRelay &entry, EntryFlow &flow, const FlowFinding &finding, TimePoint now, EntryOutput &output)
{
    if (finding.verdict == FlowVerdict::Held && flow.evidence == FlowEvidence::Assumed)
        flow.evidence = FlowEvidence::Held;
    if (finding.verdict == FlowVerdict::Denied && !flow.isFinished)
        startSearchWithoutPacket(entry, finding.flow, flow, now, output);
}

} // namespace

std::string_view flowEvidenceName(FlowEvidence evidence)
{
    switch (evidence) {
    case FlowEvidence::Assumed:
        return "assumed";
    case FlowEvidence::Handshake:
        return "handshake";
    case FlowEvidence::LateSynAck:
        return "late_syn_ack";
    case FlowEvidence::Held:
        return "held";
    }
    return "unknown";
}

void detectPause(EntryRelay &entry, TimePoint now)
{
    if (now - entry.lastActiveAt >= entry.limits.pauseThreshold)
        restartAnswerTimeouts(entry.directory, now);
    entry.lastActiveAt = now;
}

void markAgentMessagesRead(EntryRelay &entry, TimePoint until)
{
    entry.directory.messagesReadUntil = std::max(entry.directory.messagesReadUntil, until);
}

bool hasRoutesAndTargets(const EntryRelay &entry)
{
    return entry.routes.version > 0 && entry.hasTargetList;
}

void onCallerPacket(EntryRelay &entry, const PacketSummary &summary, std::span<const std::byte> packet, TimePoint now, EntryOutput &output)
{
    detectPause(entry, now);
    if (!hasRoutesAndTargets(entry)) {
        output.recordDecision(summary.flow, RelayReason::NotInformed, {});
        if (summary.isInitialSyn())
            output.resetCaller(summary.flow, summary.acknowledgement);
        return;
    }
    const auto flow = entry.flows.find(summary.flow);
    if (flow != entry.flows.end() && !isOfLaterFlow(entry, flow->second, summary, now)) {
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
    detectPause(entry, now);
    applyLoad(entry.directory, agent, notice.service, notice.load, now);
    switch (notice.kind) {
    case NoticeKind::Accepted:
        onAccepted(entry, agent, notice, now);
        return;
    case NoticeKind::Evacuated:
        onEvacuationNotice(entry, agent, notice, now, output);
        [[fallthrough]];
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
                onFlowHeld(agent, notice.service, notice.flow, flow->second, now, output);
            else
                onFlowDenied(entry, agent, notice.flow, flow->second, now, output);
        }
        return;
    }
}

void onReport(EntryRelay &entry, const Endpoint &agent, const RelayReport &report, TimePoint now, EntryOutput &output)
{
    detectPause(entry, now);
    applyLoad(entry.directory, agent, report.service, report.load, now);
    if (report.load.state != TargetState::Closed)
        return;
    endFlowsOfAgent(entry, agent, now, output);
    for (auto &[key, flow] : entry.flows) {
        if (flow.stage == EntryFlowStage::Searching)
            onFlowDenied(entry, agent, key, flow, now, output);
    }
}

void onAnswer(EntryRelay &entry, const Endpoint &agent, const RelayAnswer &answer, TimePoint now, EntryOutput &output)
{
    detectPause(entry, now);
    applyLoad(entry.directory, agent, answer.service, answer.load, now);
    markAnswered(entry.queries, agent);
    for (const auto &finding : answer.findings) {
        const auto flow = entry.flows.find(finding.flow);
        if (flow == entry.flows.end())
            continue;
        if (flow->second.stage == EntryFlowStage::Open && flow->second.agent == agent)
            applyFinding(entry, flow->second, finding, now, output);
        else if (finding.verdict == FlowVerdict::Held)
            onFlowHeld(agent, answer.service, finding.flow, flow->second, now, output);
        else if (finding.verdict == FlowVerdict::Denied)
            onFlowDenied(entry, agent, finding.flow, flow->second, now, output);
        else
            onFlowUnknown(entry, agent, finding.flow, flow->second, now, output);
    }
    sendQueries(entry, now, output);
}

void markTargetsListed(EntryRelay &entry, TimePoint now)
{
    if (!entry.hasTargetList)
        markFirstListPropagated(entry.directory, now);
    entry.hasTargetList = true;
}

void markListChecked(EntryRelay &entry, const PlatformRevision &revision, TimePoint asOf)
{
    if (revision.number > 0 && revision == entry.receivedRevision)
        markTargetsCurrent(entry, asOf, revision);
}

void markTargetsCurrent(EntryRelay &entry, TimePoint asOf, const PlatformRevision &revision)
{
    entry.receivedRevision = revision;
    entry.targetsCurrentAsOf = std::max(entry.targetsCurrentAsOf, asOf);
    if (!entry.firstTargetListAsOf)
        entry.firstTargetListAsOf = asOf;
}

void markPlatformReachable(EntryRelay &entry, TimePoint now)
{
    if (mayListLackTargets(entry, now))
        entry.firstTargetListAsOf.reset();
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
        queryFlowsOfAgent(entry, target.agent, now, output);
    return effect;
}

} // namespace Papaya
