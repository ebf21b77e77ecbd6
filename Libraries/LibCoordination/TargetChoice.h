#pragma once

#include "LibCoordination/TargetDirectory.h"
#include "LibState/RouteTable.h"

#include <span>

/// Which target a new flow goes to. Answers targets of unequal and changing speed, cold ones, flows that stay for a minute where
/// they were put, and many entry daemons that decide at the same time on reports of the same moment.
namespace Papaya {

/// The weights of the choice.
struct ChoiceWeights {
    /// Targets that a flow's hash selects for comparison; few enough that entry daemons do not all choose the same one.
    std::size_t candidates = 4;
    /// What one open flow counts beside one running request.
    double openFlowWeight = 0.15;
    /// How much longer a cold target is taken to need.
    double coldFactor = 1.6;
    /// How much longer an answer from another failure domain is taken to need, so that traffic stays near at equal load.
    double remoteFactor = 1.1;
    /// Taken for the response time of a target that has not answered yet, in microseconds, when no other has either.
    double defaultResponseTime = 50'000;
};

/// Returns the expected cost of one more flow at a target; lower is better.
[[nodiscard]] double expectedCost(const TargetRecord &record,
                                  std::string_view ownDomain,
                                  double fallbackResponseTime,
                                  const ChoiceWeights &weights,
                                  TimePoint now);

/// Returns the target of a service that a new flow goes to, leaving out the agents in `excluded`; nothing when there is none.
[[nodiscard]] TargetRecord *chooseTarget(TargetDirectory &directory,
                                         ServiceId service,
                                         const FlowKey &flow,
                                         std::span<const Endpoint> excluded,
                                         std::string_view ownDomain,
                                         const ChoiceWeights &weights,
                                         TimePoint now);

/// Returns the services of a route in the order in which a flow tries them: first the one that the weights give its hash.
[[nodiscard]] std::vector<ServiceId> servicesForFlow(const Route &route, const FlowKey &flow);

} // namespace Papaya
