#pragma once

#include "LibBalancing/LoadEstimate.h"
#include "LibBalancing/TargetDirectory.h"
#include "LibState/RouteTable.h"

#include <optional>
#include <span>

/// Choice of the target for a new flow. It accounts for targets of different and changing speed, for cold targets, and for flows
/// that stay at their target for up to a minute. It also accounts for many entry daemons that choose at the same time from the
/// same load reports.
namespace Papaya {

/// Parameters of the choice.
struct ChoiceWeights {
    /// Number of targets that a flow's hash selects for comparison. With more of them, entry daemons that act on the same
    /// reports would all choose the same target.
    std::size_t candidates = 4;
    /// Cost of one open flow in relation to one running request.
    double openFlowWeight = 0.15;
    /// Cost of a running request for which a slot was free in relation to one that has to wait: the requests of a target share its VM.
    double runningRequestWeight = 0.05;
    /// Factor on the expected cost of a cold target.
    double coldFactor = 1.6;
    /// Factor on the expected cost of a target in another failure domain, so that traffic stays in its own domain at equal
    /// load.
    double remoteFactor = 1.1;
    /// Response time in microseconds that is assumed while no eligible target has a measured one.
    double defaultResponseTime = 50'000;
    /// Time in which what a report says of a target's taken slots fades to the mean of its service. Requests take a few ten
    /// milliseconds, and with 20 entry daemons each one gets a report every 800 ms.
    Duration loadFadeTime {100};
};

/// Means over the targets of a service that may take a new flow, for targets without a measurement of their own.
struct ServiceMeans {
    /// Response time in microseconds.
    double responseTime = 0;
    /// Taken slots in relation to all slots.
    double occupancy = 0;
};

/// Returns the expected number of taken slots of a target, without the flows placed there since the last report. It fades from
/// the reported number to the mean of the service as the report ages; a target that was never heard counts with the mean.
[[nodiscard]] double expectedTakenSlots(const TargetRecord &record, double meanOccupancy, const ChoiceWeights &weights, TimePoint now);

/// Returns the expected cost of one more flow at a target; lower is better: the expected finish time of its first request in
/// microseconds, and the weight of the target's open flows. `means` stand in for what is not known of the
/// target.
[[nodiscard]] double expectedCost(const TargetRecord &record,
                                  std::string_view ownDomain,
                                  const ServiceMeans &means,
                                  const ChoiceWeights &weights,
                                  TimePoint now);

/// The same with the reported number of taken slots, however old the report is. `fallbackResponseTime` (microseconds) stands in
/// for a target without a measured response time. A measured one of less than half of
/// `medianTime` (microseconds) counts as the median.
[[nodiscard]] double expectedCost(const TargetRecord &record,
                                  std::string_view ownDomain,
                                  double fallbackResponseTime,
                                  const ChoiceWeights &weights,
                                  TimePoint now,
                                  double medianTime = 0);

/// Returns the target of a service that a new flow goes to, or nothing if there is none. The targets of the agents in
/// `excluded` and those of evacuated domains are left out. A target whose load is unknown counts with the mean load of the others; if all
/// are unknown, the flow's hash alone spreads the flows.
[[nodiscard]] TargetRecord *chooseTarget(TargetDirectory &directory,
                                         ServiceId service,
                                         const FlowKey &flow,
                                         std::span<const Endpoint> excluded,
                                         std::string_view ownDomain,
                                         const ChoiceWeights &weights,
                                         TimePoint now);

/// Returns the target with the earliest expected finish of one more request, among those that the agents have just reported on, or
/// nothing if none of them may take a new flow. Their load is taken as reported, and open flows do not count.
[[nodiscard]] TargetRecord *chooseAmongReported(TargetDirectory &directory,
                                                std::span<const Endpoint> agents,
                                                std::string_view ownDomain,
                                                const ChoiceWeights &weights,
                                                TimePoint now);

/// Returns the services of a route in the order in which a flow tries them. The first one is drawn by the flow's hash in
/// proportion to the weights.
[[nodiscard]] std::vector<ServiceId> servicesForFlow(const Route &route, const FlowKey &flow);

} // namespace Papaya
