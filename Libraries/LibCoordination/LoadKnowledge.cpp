#include "LibCoordination/LoadKnowledge.h"

#include "LibBalancing/VmEntries.h"

#include <unordered_map>

namespace Papaya {

namespace {

/// Returns an entry for each service that a route leads new flows to.
std::unordered_map<ServiceId, LoadKnowledge> routedServices(const RouteTable &routes)
{
    std::unordered_map<ServiceId, LoadKnowledge> services;
    for (const auto &[address, route] : routes.routes) {
        for (const auto &service : route.services) {
            if (service.weight > 0)
                services.try_emplace(service.service);
        }
    }
    return services;
}

/// Returns whether the load of a target matters for new flows.
bool isRelevant(const EntryRelay &entry, const TargetRecord &record, TimePoint now)
{
    return !record.isDisownedByAgent && isPlaceable(entry.directory, record, now);
}

} // namespace

LoadKnowledge loadKnowledge(const EntryRelay &entry, TimePoint now)
{
    auto services = routedServices(entry.routes);
    for (const auto &[id, record] : entry.directory.targets) {
        const auto service = services.find(record.published.service);
        if (service == services.end() || !isRelevant(entry, record, now))
            continue;
        ++service->second.agents;
        service->second.heard += record.lastMessageAt ? 1 : 0;
    }
    LoadKnowledge total {0, 0, true};
    for (const auto &[id, service] : services) {
        total.agents += service.agents;
        total.heard += service.heard;
        total.isSufficient = total.isSufficient && service.heard * 2 >= service.agents;
    }
    return total;
}

bool mayReadCallers(EntryStart &start, const EntryRelay &entry, TimePoint now)
{
    if (!start.informedAt && hasRoutesAndTargets(entry))
        start.informedAt = now;
    if (now - entry.startedAt >= start.limits.initialReadTimeout)
        return true;
    if (!start.informedAt)
        return false;
    if (now - *start.informedAt >= start.limits.answerTimeout)
        return true;
    return !start.arePeersPending && loadKnowledge(entry, now).isSufficient;
}

std::vector<const TargetRecord *> unheardTargets(const EntryStart &start, const EntryRelay &entry, TimePoint now)
{
    std::vector<const TargetRecord *> targets;
    if (!start.informedAt || now - *start.informedAt >= start.limits.subscriptionTime)
        return targets;
    for (const auto &[id, record] : entry.directory.targets) {
        if (!record.lastMessageAt && isRelevant(entry, record, now))
            targets.push_back(&record);
    }
    return targets;
}

} // namespace Papaya
