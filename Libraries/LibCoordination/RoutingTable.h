#pragma once

#include "LibState/Configuration.h"
#include "LibState/FlowHints.h"
#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <unordered_map>
#include <vector>

namespace Papaya {

/// A service and the agents to which an entry daemon may send its packets.
struct ServiceRoute {
    ServiceId service = 0;
    std::string name;
    /// The agents that may get new flows, in the same order as `eligibleIds`. If no agent may, the agents whose lease has not
    /// expired.
    std::vector<Member> eligible;
    std::vector<std::uint64_t> eligibleIds;
};

/// The table from which an entry daemon routes each packet. It is immutable once built.
struct RoutingTable {
    std::uint64_t revision = 0;
    std::vector<ServiceRoute> services;
    /// Index into `services` by service address.
    std::unordered_map<std::uint64_t, std::size_t> serviceByAddress;
};

/// The reason for a routing decision.
enum class RouteReason {
    /// The packet goes to the first-ranked agent of the flow's rendezvous hash.
    FirstRanked,
    /// The packet goes to the flow's owner, which an agent named in a recent hint.
    HintedOwner,
    /// No service has the destination address.
    UnknownService,
    /// The service has no agent to which packets can be routed.
    NoEligibleTarget,
};

/// Returns the stable name of a reason for logs.
[[nodiscard]] std::string_view routeReasonName(RouteReason reason);

/// The route of a packet. `destination` is the agent to which the packet is sent, or null for an unknown service or one without an
/// eligible target.
struct RouteDecision {
    RouteReason reason = RouteReason::UnknownService;
    const ServiceRoute *route = nullptr;
    const Member *destination = nullptr;
};

/// The members of each service, by the service's name.
using MembersByService = std::unordered_map<std::string, std::vector<Member>>;

/// Builds the table from a configuration and the members of its services. If no member of a service is eligible, its suspect and
/// leaving members stay in the table, so that packets of open flows still reach them.
[[nodiscard]] RoutingTable buildRoutingTable(const Configuration &configuration, const MembersByService &members);

/// How long an entry daemon uses a hint on a flow's owner. It bounds how long packets are routed to an agent that failed, also
/// at entry daemons that get no heartbeats from that agent.
inline constexpr Duration HintLifetime {10'000};

/// Routes one flow to the owner that a hint names if the service's route contains this agent, and otherwise like routeFlow().
/// New flows have no hint.
[[nodiscard]] RouteDecision routeFlowByHints(const RoutingTable &table, const FlowHints &hints, const FlowKey &flow, TimePoint now);

/// Routes one flow: finds the service by destination address and selects the first-ranked agent.
[[nodiscard]] RouteDecision routeFlow(const RoutingTable &table, const FlowKey &flow);

} // namespace Papaya
