#include "LibCoordination/RoutingTable.h"

#include "LibBalancing/RendezvousHash.h"

#include <algorithm>

namespace Papaya {

namespace {

std::uint64_t addressKey(const Endpoint &endpoint)
{
    return (std::uint64_t {endpoint.address} << 16U) | endpoint.port;
}

/// Returns the eligible members, or if there are none, the members whose lease has not expired.
std::vector<Member> routableMembers(const std::vector<Member> &members)
{
    std::vector<Member> routable;
    std::copy_if(members.begin(), members.end(), std::back_inserter(routable), isEligible);
    if (!routable.empty())
        return routable;
    const auto isReachable = [](const Member &member) { return member.health != MemberHealth::Expired; };
    std::copy_if(members.begin(), members.end(), std::back_inserter(routable), isReachable);
    return routable;
}

/// Returns the route of the service that has the flow's destination address, or null.
const ServiceRoute *findRoute(const RoutingTable &table, const FlowKey &flow)
{
    const auto found = table.serviceByAddress.find(addressKey(flow.service));
    return found == table.serviceByAddress.end() ? nullptr : &table.services[found->second];
}

} // namespace

std::string_view routeReasonName(RouteReason reason)
{
    switch (reason) {
    case RouteReason::FirstRanked:
        return "first_ranked";
    case RouteReason::HintedOwner:
        return "hinted_owner";
    case RouteReason::UnknownService:
        return "unknown_service";
    case RouteReason::NoEligibleTarget:
        return "no_eligible_target";
    }
    return "unknown";
}

RoutingTable buildRoutingTable(const Configuration &configuration, const MembersByService &members)
{
    RoutingTable table;
    table.revision = configuration.revision;
    for (const auto &service : configuration.services) {
        ServiceRoute route;
        route.service = hashOf(service.name);
        route.name = service.name;
        if (const auto found = members.find(service.name); found != members.end())
            route.eligible = routableMembers(found->second);
        for (const auto &member : route.eligible)
            route.eligibleIds.push_back(member.id);
        for (const auto &address : service.addresses)
            table.serviceByAddress.emplace(addressKey(address), table.services.size());
        table.services.push_back(std::move(route));
    }
    return table;
}

RouteDecision routeFlowByHints(const RoutingTable &table, const FlowHints &hints, const FlowKey &flow, TimePoint now)
{
    const auto *route = findRoute(table, flow);
    const auto owner = hints.ownerOf(flow, now);
    if (route == nullptr || !owner)
        return routeFlow(table, flow);
    const auto hinted = std::find(route->eligibleIds.begin(), route->eligibleIds.end(), *owner);
    if (hinted == route->eligibleIds.end())
        return routeFlow(table, flow);
    return {RouteReason::HintedOwner, route, &route->eligible[static_cast<std::size_t>(hinted - route->eligibleIds.begin())]};
}

RouteDecision routeFlow(const RoutingTable &table, const FlowKey &flow)
{
    const auto *found = findRoute(table, flow);
    if (found == nullptr)
        return {RouteReason::UnknownService, nullptr, nullptr};
    const auto &route = *found;
    const auto first = rendezvousFirst(route.eligibleIds, hashOf(flow));
    if (first == route.eligibleIds.size())
        return {RouteReason::NoEligibleTarget, &route, nullptr};
    return {RouteReason::FirstRanked, &route, &route.eligible[first]};
}

} // namespace Papaya
