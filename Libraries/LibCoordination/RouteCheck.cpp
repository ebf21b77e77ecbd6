#include "LibCoordination/RouteCheck.h"

#include <algorithm>
#include <map>
#include <set>

namespace Papaya {

namespace {

using Findings = std::vector<RouteFinding>;

/// Text for a time that a configuration does not state.
constexpr std::string_view Unset = "unset";

std::string describeTime(Duration time)
{
    return time.count() == 0 ? std::string(Unset) : std::to_string(time.count());
}

void checkAddress(const StatedRoute &route, std::map<Endpoint, std::string> &places, Findings &findings)
{
    if (!route.address)
        return;
    const auto [earlier, isFirst] = places.emplace(route.address->value, route.place);
    if (isFirst)
        return;
    findings.push_back(
        {RouteFindingKind::DuplicateAddress, route.address->place, {{"address", toString(earlier->first)}, {"earlier", earlier->second}}});
}

void checkServices(const StatedRoute &route, const std::set<std::string_view> &listed, Findings &findings)
{
    const auto hasWeight = [](const StatedShare &share) { return share.weight > 0; };
    if (!route.services.empty() && std::none_of(route.services.begin(), route.services.end(), hasWeight))
        findings.push_back({RouteFindingKind::WeightsAllZero, route.place});
    for (const auto &share : route.services) {
        if (!listed.contains(share.service.value))
            findings.push_back({RouteFindingKind::ServiceNotListed, share.service.place, {{"service", share.service.value}}});
    }
}

void checkTimes(const StatedRoute &route, Duration idleTimeout, Findings &findings)
{
    if (!route.timeout || route.timeout->value == Duration(0))
        return;
    const auto &timeout = *route.timeout;
    const auto timeoutText = std::to_string(timeout.value.count());
    if (route.latencyObjective && route.latencyObjective->value > timeout.value) {
        const auto latency = std::to_string(route.latencyObjective->value.count());
        findings.push_back({RouteFindingKind::LatencyAboveTimeout,
                            route.latencyObjective->place,
                            {{"latency_objective_ms", latency}, {"timeout_ms", timeoutText}}});
    }
    if (idleTimeout < timeout.value) {
        findings.push_back({RouteFindingKind::IdleTimeoutBelowTimeout,
                            timeout.place,
                            {{"idle_timeout_ms", std::to_string(idleTimeout.count())}, {"timeout_ms", timeoutText}}});
    }
}

void checkColdRate(const StatedService &service, Findings &findings)
{
    if (service.coldRate && service.coldRate->value > 0 && service.coldTime == Duration(0))
        findings.push_back({RouteFindingKind::ColdRateWithoutColdTime, service.coldRate->place, {{"service", service.name}}});
}

std::string describeServices(const Route &route)
{
    std::string text;
    for (const auto &service : route.services) {
        text += text.empty() ? "" : ",";
        text += service.name + ":" + std::to_string(service.weight);
    }
    return text;
}

/// Compares two routes of the same address value by value.
class RouteComparison
{
public:
    RouteComparison(const Route &before, const Route &after, Findings &findings)
        : m_before(before)
        , m_after(after)
        , m_findings(findings)
    {
    }

    void run()
    {
        compare("name", m_before.name, m_after.name);
        compare("services", describeServices(m_before), describeServices(m_after));
        compare("idempotent", m_before.isIdempotent ? "true" : "false", m_after.isIdempotent ? "true" : "false");
        compare("priority", std::to_string(m_before.priority), std::to_string(m_after.priority));
        compare("timeout_ms", describeTime(m_before.timeout), describeTime(m_after.timeout));
        compare("latency_objective_ms", describeTime(m_before.latencyObjective), describeTime(m_after.latencyObjective));
    }

private:
    void compare(const std::string &value, const std::string &before, const std::string &after)
    {
        if (before == after)
            return;
        m_findings.push_back(
            {RouteFindingKind::RouteChanged,
             "",
             {{"address", toString(m_after.address)}, {"name", m_after.name}, {"value", value}, {"before", before}, {"after", after}}});
    }

    const Route &m_before;
    const Route &m_after;
    Findings &m_findings;
};

RouteFinding describeRoute(RouteFindingKind kind, const Route &route)
{
    return {kind, "", {{"address", toString(route.address)}, {"name", route.name}, {"services", describeServices(route)}}};
}

void compareRouteLists(const RouteTable &inForce, const RouteTable &offered, Findings &findings)
{
    const std::map<Endpoint, Route> before(inForce.routes.begin(), inForce.routes.end());
    const std::map<Endpoint, Route> after(offered.routes.begin(), offered.routes.end());
    for (const auto &[address, route] : before) {
        if (!after.contains(address))
            findings.push_back(describeRoute(RouteFindingKind::RouteRemoved, route));
    }
    for (const auto &[address, route] : after) {
        const auto former = before.find(address);
        if (former == before.end())
            findings.push_back(describeRoute(RouteFindingKind::RouteAdded, route));
        else
            RouteComparison(former->second, route, findings).run();
    }
}

std::map<std::string, ServiceId> servicesOfRoutes(const RouteTable &table)
{
    std::map<std::string, ServiceId> services;
    for (const auto &[address, route] : table.routes) {
        for (const auto &service : route.services)
            services.emplace(service.name, service.service);
    }
    return services;
}

ServiceTraits traitsOf(const RouteTable &table, ServiceId service)
{
    const auto found = table.services.find(service);
    return found == table.services.end() ? ServiceTraits {} : found->second;
}

void compareServices(const RouteTable &inForce, const RouteTable &offered, Findings &findings)
{
    const auto before = servicesOfRoutes(inForce);
    const auto after = servicesOfRoutes(offered);
    for (const auto &[name, service] : before) {
        if (!after.contains(name))
            findings.push_back({RouteFindingKind::ServiceRemoved, "", {{"service", name}}});
    }
    for (const auto &[name, service] : after) {
        if (!before.contains(name)) {
            findings.push_back({RouteFindingKind::ServiceAdded, "", {{"service", name}}});
            continue;
        }
        const auto rateBefore = traitsOf(inForce, service).coldRate;
        const auto rateAfter = traitsOf(offered, service).coldRate;
        if (rateBefore == rateAfter)
            continue;
        findings.push_back(
            {RouteFindingKind::ServiceChanged,
             "",
             {{"service", name}, {"value", "cold_rate"}, {"before", std::to_string(rateBefore)}, {"after", std::to_string(rateAfter)}}});
    }
}

RouteFinding compareVersions(const RouteTable &inForce, const RouteTable &offered)
{
    const auto before = std::to_string(inForce.version);
    const auto after = std::to_string(offered.version);
    if (offered.version <= inForce.version)
        return {RouteFindingKind::VersionNotHigher, "", {{"in_force", before}, {"offered", after}}};
    return {RouteFindingKind::VersionChanged, "", {{"before", before}, {"after", after}}};
}

} // namespace

std::vector<RouteFinding> checkConfiguration(const StatedConfiguration &configuration)
{
    Findings findings;
    std::map<Endpoint, std::string> places;
    std::set<std::string_view> listed;
    for (const auto &service : configuration.services)
        listed.insert(service.name);
    for (const auto &route : configuration.routes) {
        checkAddress(route, places, findings);
        checkServices(route, listed, findings);
        checkTimes(route, configuration.idleTimeout, findings);
    }
    for (const auto &service : configuration.services)
        checkColdRate(service, findings);
    return findings;
}

std::vector<RouteFinding> compareRoutes(const RouteTable &inForce, const RouteTable &offered)
{
    Findings findings {compareVersions(inForce, offered)};
    if (inForce.idleTimeout != offered.idleTimeout) {
        findings.push_back(
            {RouteFindingKind::IdleTimeoutChanged,
             "",
             {{"before", std::to_string(inForce.idleTimeout.count())}, {"after", std::to_string(offered.idleTimeout.count())}}});
    }
    compareRouteLists(inForce, offered, findings);
    compareServices(inForce, offered, findings);
    return findings;
}

} // namespace Papaya
