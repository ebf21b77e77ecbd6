#include "LibCoordination/EntryPlacement.h"

#include "LibBalancing/Admission.h"
#include "LibCoordination/EntryEvacuation.h"
#include "LibCoordination/EntrySearch.h"

#include <algorithm>

namespace Papaya {

namespace {

/// A longer time counts as this one, so that a single silent target does not count as slow daemons.
constexpr Duration MaximumPlacementTime {100};
constexpr double PlacementTimeWeight = 0.25;

/// Returns the agents that the SYN is not sent to again. Agents that rejected it as busy are included only with
/// `isBusyExcluded`.
std::vector<Endpoint> excludedAgents(std::span<const FlowCandidate> candidates, bool isBusyExcluded)
{
    std::vector<Endpoint> agents;
    for (const auto &candidate : candidates) {
        if (!candidate.isBusy || isBusyExcluded)
            agents.push_back(candidate.agent);
    }
    return agents;
}

TargetRecord *chooseTargetOfRoute(EntryRelay &entry, const FlowKey &key, std::span<const Endpoint> excluded, TimePoint now)
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

/// The target chosen for a SYN, and the number of rejections that count for its admission there. With `maximumBusyAttempts` of them the
/// target takes the flow even when it is busy.
struct Placement {
    TargetRecord *target = nullptr;
    std::size_t rejections = 0;
};

std::vector<Endpoint> busyAgents(std::span<const FlowCandidate> candidates)
{
    std::vector<Endpoint> agents;
    for (const auto &candidate : candidates) {
        if (candidate.isBusy)
            agents.push_back(candidate.agent);
    }
    return agents;
}

/// Returns whether so many agents have returned the SYN, although busy targets take it too, that no others are tried.
bool isRefusedByMany(const EntryRelay &entry, const EntryFlow &flow)
{
    const auto isRefused = [](const FlowCandidate &candidate) { return candidate.isRefused; };
    const auto refusals = std::count_if(flow.candidates.begin(), flow.candidates.end(), isRefused);
    return static_cast<std::size_t>(refusals) >= entry.limits.maximumRefusals;
}

/// Returns the number of agents that have returned the SYN because their targets have no room.
std::size_t countRejections(const EntryFlow &flow)
{
    const auto isRejected = [](const FlowCandidate &candidate) { return candidate.isBusy || candidate.isRefused; };
    return static_cast<std::size_t>(std::count_if(flow.candidates.begin(), flow.candidates.end(), isRejected));
}

/// Chooses the target with the least expected cost among those that the SYN was not sent to yet. After `maximumBusyAttempts` busy
/// targets, or when no untried target is left, the SYN goes to one of the targets that rejected it as busy: their loads were reported
/// with the rejections, a few milliseconds ago.
Placement choosePlacement(EntryRelay &entry, const FlowKey &key, const EntryFlow &flow, TimePoint now)
{
    const auto &limits = entry.limits;
    const auto busy = busyAgents(flow.candidates);
    const auto rejections = countRejections(flow);
    const bool isLate = rejections > 0 && now - flow.changedAt >= limits.busyAttemptTime;
    const bool isSlow = isLate || entry.placementTime >= static_cast<double>(limits.slowPlacementTime.count());
    if (rejections < limits.maximumBusyAttempts) {
        if (auto *target = chooseTargetOfRoute(entry, key, excludedAgents(flow.candidates, true), now))
            return {target, isSlow ? limits.maximumBusyAttempts : rejections};
    }
    if (auto *target = chooseAmongReported(entry.directory, busy, entry.failureDomain, entry.weights, now))
        return {target, limits.maximumBusyAttempts};
    if (isRefusedByMany(entry, flow))
        return {};
    return {chooseTargetOfRoute(entry, key, excludedAgents(flow.candidates, false), now), limits.maximumBusyAttempts};
}

/// Returns the envelope of a SYN to a target.
RelayEnvelope makeSynEnvelope(const EntryRelay &entry, const FlowKey &key, const Placement &placement, std::span<const std::byte> packet)
{
    const auto &published = placement.target->published;
    RelayEnvelope envelope {published.service, EnvelopePurpose::Forward, packet, published.slots};
    const auto route = entry.routes.routes.find(key.service);
    if (route == entry.routes.routes.end())
        return envelope;
    const auto urgency = urgencyOf(entry.routes, route->second, published.service);
    const auto terms = admissionTerms(published.slots, urgency, placement.rejections, entry.limits.maximumBusyAttempts);
    envelope.purpose = terms.purpose;
    envelope.busyThreshold = terms.busyThreshold;
    envelope.priority = route->second.priority;
    return envelope;
}

/// Returns the envelope of a copy of a SYN to a target that was sent the SYN before.
RelayEnvelope
makeSynCopyEnvelope(const EntryRelay &entry, const FlowKey &key, const FlowCandidate &candidate, std::span<const std::byte> packet)
{
    RelayEnvelope envelope {candidate.service, EnvelopePurpose::Forward, packet};
    const auto route = entry.routes.routes.find(key.service);
    if (route != entry.routes.routes.end())
        envelope.priority = route->second.priority;
    return envelope;
}

} // namespace

FlowCandidate *findCandidate(EntryFlow &flow, const Endpoint &agent)
{
    const auto found = std::find_if(
        flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
    return found == flow.candidates.end() ? nullptr : &*found;
}

void recordPlacementTime(EntryRelay &entry, const FlowCandidate &candidate, TimePoint now)
{
    const auto time = std::min(now - candidate.sentAt, MaximumPlacementTime);
    entry.placementTime += (static_cast<double>(time.count()) - entry.placementTime) * PlacementTimeWeight;
}

bool placeSyn(EntryRelay &entry,
              const FlowKey &key,
              EntryFlow &flow,
              std::span<const std::byte> packet,
              RelayReason reason,
              TimePoint now,
              EntryOutput &output)
{
    const auto placement = choosePlacement(entry, key, flow, now);
    auto *target = placement.target;
    if (target == nullptr)
        return false;
    ++target->placedSinceReport;
    const auto &agent = target->published.agent;
    const auto service = target->published.service;
    std::erase_if(flow.candidates, [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
    flow.candidates.push_back({agent, service, now});
    output.recordDecision(key, reason, agent);
    const auto envelope = makeSynEnvelope(entry, key, placement, packet);
    flow.candidates.back().mayBeBusy = envelope.purpose == EnvelopePurpose::Forward;
    output.sendToAgent(agent, envelope);
    return true;
}

void forwardRetransmittedSyn(EntryRelay &entry,
                             const FlowKey &key,
                             EntryFlow &flow,
                             std::span<const std::byte> packet,
                             TimePoint now,
                             EntryOutput &output)
{
    for (const auto &candidate : flow.candidates) {
        if (!candidate.sequence)
            continue;
        output.sendToAgent(candidate.agent, makeSynCopyEnvelope(entry, key, candidate, packet));
        return;
    }
    bool isWaiting = false;
    for (const auto &candidate : flow.candidates) {
        const bool isOverdue = now - candidate.sentAt >= entry.limits.synTimeout;
        if (isOverdue && !candidate.hasReturnedSyn)
            markSuspect(entry.directory, candidate.agent, now);
        isWaiting = isWaiting || !isOverdue;
    }
    if (isWaiting || placeSyn(entry, key, flow, packet, RelayReason::PlacedAgain, now, output))
        return;
    const auto last = std::find_if(flow.candidates.rbegin(), flow.candidates.rend(), [&](const FlowCandidate &candidate) {
        return !candidate.hasReturnedSyn && !isEvacuatedAt(entry, candidate.agent, candidate.service, now);
    });
    if (last != flow.candidates.rend())
        output.sendToAgent(last->agent, makeSynCopyEnvelope(entry, key, *last, packet));
    else if (reasonWithoutTarget(entry, key, RelayReason::NoTarget, now) == RelayReason::Evacuated)
        resetFlow(key, flow, RelayReason::Evacuated, flow.acknowledged, now, output);
}

bool isOpenElsewhere(const PacketSummary &summary, const EntryFlow &flow)
{
    return std::all_of(flow.candidates.begin(), flow.candidates.end(), [&](const FlowCandidate &candidate) {
        return candidate.hasReturnedSyn || (candidate.sequence && summary.acknowledgement != *candidate.sequence + 1);
    });
}

void selectOwner(const PacketSummary &summary, EntryFlow &flow, TimePoint now, EntryOutput &output)
{
    const FlowCandidate *owner = nullptr;
    for (const auto &candidate : flow.candidates) {
        if (candidate.sequence && summary.acknowledgement == *candidate.sequence + 1)
            owner = &candidate;
    }
    flow.evidence = owner == nullptr ? FlowEvidence::Assumed : FlowEvidence::Handshake;
    // The agent's notice of the SYN-ACK may be lost or late. Then the flow is forwarded to the last target that did not return
    // the SYN, and that target's reaction to the packet shows whether it holds the flow.
    const auto unreturned = std::find_if(
        flow.candidates.rbegin(), flow.candidates.rend(), [](const FlowCandidate &candidate) { return !candidate.hasReturnedSyn; });
    if (owner == nullptr)
        owner = unreturned == flow.candidates.rend() ? &flow.candidates.back() : &*unreturned;
    flow.agent = owner->agent;
    flow.service = owner->service;
    flow.stage = EntryFlowStage::Open;
    flow.handshakeAcknowledgement = summary.acknowledgement;
    flow.changedAt = now;
    flow.candidates.clear();
    output.recordDecision(summary.flow, RelayReason::Opened, flow.agent);
}

} // namespace Papaya
