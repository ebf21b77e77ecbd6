#include "LibCoordination/SearchPlan.h"

#include "LibCoordination/RendezvousHash.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns whether a service has, or had as far as is known, the flows of an address.
bool isRelated(const EntryRelay &entry, const Endpoint &address, ServiceId service)
{
    const auto former = entry.formerServices.find(address);
    if (former != entry.formerServices.end() && std::find(former->second.begin(), former->second.end(), service) != former->second.end())
        return true;
    const auto route = entry.routes.routes.find(address);
    if (route == entry.routes.routes.end())
        return false;
    const auto &services = route->second.services;
    return std::any_of(services.begin(), services.end(), [&](const WeightedService &known) { return known.service == service; });
}

/// Returns whether a target was first listed after the present routes were written, so that no former ones led to it.
bool isListedSinceRoutes(const EntryRelay &entry, const PublishedTarget &target)
{
    return entry.routes.changeRevision > 0 && target.listingRevision > entry.routes.changeRevision;
}

/// Appends targets to a plan, those that rank first for the flow before the others.
void appendRanked(SearchPlan &plan, std::span<const PublishedTarget *const> targets, const FlowKey &flow, bool mayGetPackets)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(targets.size());
    for (const auto *target : targets)
        ids.push_back(target->id);
    for (const auto index : rendezvousRank(ids, hashOf(flow), ids.size()))
        plan.agents.push_back({targets[index]->agent, targets[index]->service, {}, mayGetPackets});
}

} // namespace

SearchPlan planSearch(const EntryRelay &entry, const FlowKey &flow, TimePoint now)
{
    const auto route = entry.routes.routes.find(flow.service);
    const auto services = route == entry.routes.routes.end() ? std::vector<ServiceId> {} : servicesForFlow(route->second, flow);
    const bool knowsFormerServices = now - entry.startedAt >= entry.limits.flowLifetime;
    std::vector<const PublishedTarget *> likely;
    std::vector<const PublishedTarget *> related;
    std::vector<const PublishedTarget *> unrelated;
    for (const auto &[id, record] : entry.directory.targets) {
        const auto &target = record.published;
        if (isGone(entry.directory, record, now))
            continue;
        if (!services.empty() && target.service == services.front())
            likely.push_back(&target);
        else if (isRelated(entry, flow.service, target.service))
            related.push_back(&target);
        else if (!knowsFormerServices && !isListedSinceRoutes(entry, target))
            unrelated.push_back(&target);
    }
    SearchPlan plan;
    plan.isComplete = unrelated.size() <= entry.limits.unrelatedAgents;
    if (!plan.isComplete)
        unrelated.resize(entry.limits.unrelatedAgents);
    appendRanked(plan, likely, flow, true);
    appendRanked(plan, related, flow, true);
    appendRanked(plan, unrelated, flow, false);
    return plan;
}

} // namespace Papaya
