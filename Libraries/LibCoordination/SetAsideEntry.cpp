#include "LibCoordination/SetAsideEntry.h"

#include "LibBalancing/VmEntries.h"

#include <optional>
#include <unordered_set>

namespace Papaya {

namespace {

/// Returns the services that a route leads to, or led to in a route table that this daemon received.
std::unordered_set<ServiceId> routedServices(const EntryRelay &entry)
{
    std::unordered_set<ServiceId> services;
    for (const auto &[address, route] : entry.routes.routes) {
        for (const auto &service : route.services)
            services.insert(service.service);
    }
    for (const auto &[address, former] : entry.formerServices)
        services.insert(former.begin(), former.end());
    return services;
}

std::optional<SetAsideReason>
findReason(const EntryRelay &entry, const TargetRecord &record, const std::unordered_set<ServiceId> &routed, TimePoint now)
{
    if (!routed.contains(record.published.service))
        return SetAsideReason::UnroutedService;
    if (record.isDisownedByAgent)
        return SetAsideReason::AgentServesAnother;
    if (isSuperseded(entry.directory, record, now))
        return SetAsideReason::NewerRun;
    if (mayTakeNewFlows(record, now) && !isPlaceable(entry.directory, record, now))
        return SetAsideReason::AnotherEndpoint;
    return std::nullopt;
}

} // namespace

std::string_view setAsideReasonName(SetAsideReason reason)
{
    switch (reason) {
    case SetAsideReason::UnroutedService:
        return "unrouted_service";
    case SetAsideReason::AgentServesAnother:
        return "agent_serves_another";
    case SetAsideReason::NewerRun:
        return "newer_run";
    case SetAsideReason::AnotherEndpoint:
        return "another_endpoint";
    }
    return "unknown";
}

std::vector<SetAsideEntry> listSetAside(const EntryRelay &entry, TimePoint now)
{
    std::vector<SetAsideEntry> entries;
    if (entry.routes.version == 0)
        return entries;
    const auto routed = routedServices(entry);
    for (const auto &[id, record] : entry.directory.targets) {
        if (record.withdrawnAt)
            continue;
        if (const auto reason = findReason(entry, record, routed, now))
            entries.push_back({id, record.published.name, record.published.agent, *reason});
    }
    return entries;
}

} // namespace Papaya
