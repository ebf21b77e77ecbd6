#include "LibCoordination/SearchPlan.h"

#include "LibBalancing/RendezvousHash.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns whether an address has a service now, or had it in a route table that this entry daemon received.
bool hasServedAddress(const EntryRelay &entry, const Endpoint &address, ServiceId service)
{
    const auto former = entry.formerServices.find(address);
    if (former != entry.formerServices.end() && std::find(former->second.begin(), former->second.end(), service) != former->second.end())
        return true;
    const auto route = entry.routes.routes.find(address);
    if (route == entry.routes.routes.end())
        return false;
    const auto &services = route->second.services;
    return std::any_of(services.begin(), services.end(), [&](const WeightedService &weighted) { return weighted.service == service; });
}

/// Returns whether a target was first listed after the current routes were written, so that no earlier routes led to it. A target
/// whose entry expired and was written again looks the same, unless this daemon has read it before. It is listed again within
/// `relistingTime`, and is not cold then.
bool wasListedAfterRoutes(const EntryRelay &entry, const TargetRecord &record)
{
    if (!isLaterInSameEra(record.published.listingRevision, entry.routes.changeRevision))
        return false;
    const bool wasReadLater = entry.firstTargetListAsOf && record.firstReadAt - *entry.firstTargetListAsOf >= entry.limits.relistingTime;
    return record.wasColdWhenFirstRead || wasReadLater;
}

bool isPlanned(const SearchPlan &plan, const Endpoint &agent)
{
    return std::any_of(plan.agents.begin(), plan.agents.end(), [&](const FlowCandidate &candidate) { return candidate.agent == agent; });
}

/// Appends targets to a plan in the order in which the flow's hash ranks them. Of several entries on one VM the first one counts, since
/// they have the same agent.
void appendRanked(SearchPlan &plan, std::span<const TargetRecord *const> targets, const FlowKey &flow, bool isRelated)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(targets.size());
    for (const auto *record : targets)
        ids.push_back(record->published.id);
    for (const auto index : rendezvousRank(ids, hashOf(flow), ids.size())) {
        const auto &record = *targets[index];
        const auto &target = record.published;
        if (!record.sharesVm || !isPlanned(plan, target.agent))
            plan.agents.push_back({target.agent, target.service, {}, isRelated});
    }
}

} // namespace

SearchPlan planSearch(const EntryRelay &entry, const FlowKey &flow, TimePoint now)
{
    const auto route = entry.routes.routes.find(flow.service);
    const auto services = route == entry.routes.routes.end() ? std::vector<ServiceId> {} : servicesForFlow(route->second, flow);
    const bool hasAllFormerServices = now - entry.startedAt >= entry.limits.maximumFlowAge;
    std::vector<const TargetRecord *> likely;
    std::vector<const TargetRecord *> related;
    std::vector<const TargetRecord *> unrelated;
    for (const auto &[id, record] : entry.directory.targets) {
        const auto &target = record.published;
        if (isTerminated(entry.directory, record, now))
            continue;
        if (!services.empty() && target.service == services.front())
            likely.push_back(&record);
        else if (hasServedAddress(entry, flow.service, target.service))
            related.push_back(&record);
        else if (!hasAllFormerServices && !wasListedAfterRoutes(entry, record))
            unrelated.push_back(&record);
    }
    SearchPlan plan;
    plan.isComplete = unrelated.size() <= entry.limits.maximumUnrelatedAgents;
    if (!plan.isComplete)
        unrelated.resize(entry.limits.maximumUnrelatedAgents);
    appendRanked(plan, likely, flow, true);
    appendRanked(plan, related, flow, true);
    appendRanked(plan, unrelated, flow, false);
    return plan;
}

} // namespace Papaya
