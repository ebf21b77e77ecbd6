#include "LibBalancing/TargetChoice.h"

#include "LibBalancing/Admission.h"
#include "LibBalancing/RendezvousHash.h"
#include "LibBalancing/VmEntries.h"

#include <algorithm>
#include <cmath>

namespace Papaya {

namespace {

bool isExcluded(const TargetRecord &record, std::span<const Endpoint> excluded)
{
    return std::find(excluded.begin(), excluded.end(), record.published.agent) != excluded.end();
}

/// Returns the targets of a service that may take a new flow: none of an evacuated domain. Targets that have not propagated to all entry
/// daemons are returned only if most of the service's targets have not, or if there are no others. Suspected targets are returned only if
/// there are no others at all.
std::vector<TargetRecord *>
collectEligible(TargetDirectory &directory, ServiceId service, std::span<const Endpoint> excluded, TimePoint now)
{
    std::vector<TargetRecord *> eligible;
    std::vector<TargetRecord *> deferred;
    std::vector<TargetRecord *> suspects;
    const bool isPropagationRequired = isMostlyPropagated(directory, service, now);
    for (auto &[id, record] : directory.targets) {
        if (record.published.service != service || isExcluded(record, excluded) || !isPlaceable(directory, record, now))
            continue;
        if (isEvacuated(directory.evacuations, record.published.failureDomain))
            continue;
        const bool isSuspect = record.suspectUntil > now || record.isDisownedByAgent || record.load.state != TargetState::Answering
                               || isUnreachable(directory, record);
        const bool isDeferred = isPropagationRequired && record.propagatedAt > now;
        if (isSuspect)
            suspects.push_back(&record);
        else
            (isDeferred ? deferred : eligible).push_back(&record);
    }
    if (!eligible.empty())
        return eligible;
    return deferred.empty() ? suspects : deferred;
}

std::uint32_t usableSlots(const TargetRecord &record)
{
    return std::max<std::uint32_t>(busyLimit(record.published.slots, record.load), 1);
}

/// Returns the number of concurrent requests to which a target's occupancy relates: its slots, or its agent's limit once that is reached.
/// Below its limit a target is as good as any other. Otherwise it would get no flows while others are far from full, and its limit, which
/// rises with its answers, would never be lifted.
double concurrentRequests(const TargetRecord &record, double requests)
{
    const auto capacity = usableSlots(record);
    return requests <= capacity ? std::max<std::uint32_t>(record.published.slots, 1) : capacity;
}

/// Returns the median response time of the targets that have a measured one; 0 if none has.
double medianResponseTime(std::span<TargetRecord *const> targets)
{
    std::vector<std::uint32_t> times;
    for (const auto *record : targets) {
        if (record->load.responseTime > 0)
            times.push_back(record->load.responseTime);
    }
    if (times.empty())
        return 0;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

/// Replaces a measured response time of less than half of the median by the median. A target that answers so fast may be answering with
/// errors, and must not attract the more flows the faster it fails.
LoadEstimate withPlausibleTime(LoadEstimate load, double medianTime)
{
    if (load.responseTime > 0 && load.responseTime < medianTime / 2)
        load.responseTime = medianTime;
    return load;
}

ServiceMeans meansOf(const ServiceLoad &service, double fallbackResponseTime)
{
    const double responseTime = service.responseTime == 0 ? fallbackResponseTime : service.responseTime;
    return {responseTime, service.runningRequestsPerSlot + service.reservedSlotsPerSlot};
}

/// Returns the expected cost of one more flow at a target with a number of taken slots.
double costWith(double taken,
                const TargetRecord &record,
                const LoadEstimate &load,
                std::string_view ownDomain,
                double fallbackResponseTime,
                const ChoiceWeights &weights,
                TimePoint now)
{
    const double responseTime = load.responseTime == 0 ? fallbackResponseTime : load.responseTime;
    const double flows = load.openFlows + record.placedSinceReport;
    const double requests = taken + record.placedSinceReport + 1.0;
    const double slots = concurrentRequests(record, requests);
    const double occupancy = std::max(requests, slots) + requests * weights.runningRequestWeight + flows * weights.openFlowWeight;
    double cost = responseTime * occupancy / slots;
    // The agent of a target with a limit has measured what the target bears, which replaces the assumption.
    if (record.coldUntil > now && record.load.capacity == 0)
        cost *= weights.coldFactor;
    if (record.published.failureDomain != ownDomain)
        cost *= weights.remoteFactor;
    return cost;
}

std::vector<TargetRecord *> firstRanked(std::span<TargetRecord *const> targets, const FlowKey &flow, std::size_t count)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(targets.size());
    for (const auto *record : targets)
        ids.push_back(record->published.id);
    std::vector<TargetRecord *> ranked;
    for (const auto index : rendezvousRank(ids, hashOf(flow), count))
        ranked.push_back(targets[index]);
    return ranked;
}

} // namespace

double expectedTakenSlots(const TargetRecord &record, double meanOccupancy, const ChoiceWeights &weights, TimePoint now)
{
    const double mean = meanOccupancy * usableSlots(record);
    if (!record.lastMessageAt)
        return mean;
    const auto age = static_cast<double>((now - *record.lastMessageAt).count());
    const double validity = std::exp(-age / static_cast<double>(weights.loadFadeTime.count()));
    const auto load = reportedLoad(record, now);
    return mean + (load.runningRequests + load.reservedSlots - mean) * validity;
}

double
expectedCost(const TargetRecord &record, std::string_view ownDomain, const ServiceMeans &means, const ChoiceWeights &weights, TimePoint now)
{
    const auto taken = expectedTakenSlots(record, means.occupancy, weights, now);
    return costWith(taken, record, reportedLoad(record, now), ownDomain, means.responseTime, weights, now);
}

double expectedCost(const TargetRecord &record,
                    std::string_view ownDomain,
                    double fallbackResponseTime,
                    const ChoiceWeights &weights,
                    TimePoint now,
                    double medianTime)
{
    const auto load = withPlausibleTime(reportedLoad(record, now), medianTime);
    return costWith(takenSlots(record.load), record, load, ownDomain, fallbackResponseTime, weights, now);
}

TargetRecord *chooseTarget(TargetDirectory &directory,
                           ServiceId service,
                           const FlowKey &flow,
                           std::span<const Endpoint> excluded,
                           std::string_view ownDomain,
                           const ChoiceWeights &weights,
                           TimePoint now)
{
    const auto eligible = collectEligible(directory, service, excluded, now);
    const auto serviceLoad = meanLoad(eligible, now);
    const auto means = meansOf(serviceLoad, weights.defaultResponseTime);
    const auto medianTime = medianResponseTime(eligible);
    TargetRecord *best = nullptr;
    double bestCost = 0;
    for (auto *record : firstRanked(eligible, flow, weights.candidates)) {
        const auto taken = expectedTakenSlots(*record, means.occupancy, weights, now);
        const auto load = withPlausibleTime(estimateLoad(*record, serviceLoad, now), medianTime);
        const auto cost = costWith(taken, *record, load, ownDomain, means.responseTime, weights, now);
        if (best != nullptr && cost >= bestCost)
            continue;
        best = record;
        bestCost = cost;
    }
    return best;
}

TargetRecord *chooseAmongReported(TargetDirectory &directory,
                                  std::span<const Endpoint> agents,
                                  std::string_view ownDomain,
                                  const ChoiceWeights &weights,
                                  TimePoint now)
{
    auto finishWeights = weights;
    finishWeights.openFlowWeight = 0;
    TargetRecord *best = nullptr;
    double bestCost = 0;
    for (const auto &agent : agents) {
        auto *record = findByAgent(directory, agent);
        if (record == nullptr || !isPlaceable(directory, *record, now)
            || isEvacuated(directory.evacuations, record->published.failureDomain))
            continue;
        const auto cost = expectedCost(*record, ownDomain, weights.defaultResponseTime, finishWeights, now);
        if (best != nullptr && cost >= bestCost)
            continue;
        best = record;
        bestCost = cost;
    }
    return best;
}

std::vector<ServiceId> servicesForFlow(const Route &route, const FlowKey &flow)
{
    std::uint64_t total = 0;
    for (const auto &service : route.services)
        total += service.weight;
    std::vector<ServiceId> ordered;
    if (total == 0)
        return ordered;
    // This hash is independent of the one that ranks targets, so that the choice of the target does not depend on the choice of
    // the service.
    auto position = rendezvousWeight(hashOf(flow), total) % total;
    std::size_t first = 0;
    while (position >= route.services[first].weight)
        position -= route.services[first++].weight;
    ordered.push_back(route.services[first].service);
    for (std::size_t index = 0; index < route.services.size(); ++index) {
        if (index != first && route.services[index].weight > 0)
            ordered.push_back(route.services[index].service);
    }
    return ordered;
}

} // namespace Papaya
