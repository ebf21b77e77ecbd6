#pragma once

#include "LibState/Configuration.h"
#include "LibState/FlowHints.h"
#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <unordered_map>
#include <vector>

namespace Papaya {

/// The agents of one service as an entry daemon may address them.
struct ServiceRoute {
    ServiceId service = 0;
    std::string name;
    /// Agents that may be given new flows; parallel to `eligibleIds`.
    std::vector<Member> eligible;
    std::vector<std::uint64_t> eligibleIds;
};

/// What an entry daemon needs for each packet; immutable once built.
struct RoutingTable {
    std::uint64_t revision = 0;
    std::vector<ServiceRoute> services;
    /// Index into `services` by service address.
    std::unordered_map<std::uint64_t, std::size_t> serviceByAddress;
};

/// Why a packet was routed the way it was.
enum class RouteReason {
    FirstRanked,
    /// The agent that owns the flow, as an agent said of late.
    HintedOwner,
    UnknownService,
    NoEligibleTarget,
};

/// Returns the stable name of a reason for logs.
[[nodiscard]] std::string_view routeReasonName(RouteReason reason);

/// Where a packet goes. `destination` is the agent that gets it; there is none for an unknown service or without eligible targets.
struct RouteDecision {
    RouteReason reason = RouteReason::UnknownService;
    const ServiceRoute *route = nullptr;
    const Member *destination = nullptr;
};

/// The members of one service, by the name of the service.
using MembersByService = std::unordered_map<std::string, std::vector<Member>>;

/// Builds the table from a configuration and the members of each of its services.
/// When no member of a service is eligible, those that are merely suspect or leaving are kept rather than none.
[[nodiscard]] RoutingTable buildRoutingTable(const Configuration &configuration, const MembersByService &members);

/// How long an entry daemon believes what it was told of a flow's owner. An agent that died is believed in for no longer, even
/// by an entry daemon that does not observe it.
inline constexpr Duration HintLifetime {10'000};

/// Routes one flow to the owner that a hint names, if that agent is eligible, and else like routeFlow(). New flows have no hint.
[[nodiscard]] RouteDecision routeFlowByHints(const RoutingTable &table, const FlowHints &hints, const FlowKey &flow, TimePoint now);

/// Routes one flow: its service by destination address, then the first-ranked agent.
[[nodiscard]] RouteDecision routeFlow(const RoutingTable &table, const FlowKey &flow);

} // namespace Papaya
