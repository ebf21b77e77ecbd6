#pragma once

#include "LibCoordination/EntryRelay.h"

namespace Papaya {

/// The agents whose targets may hold a flow, in the order in which they are asked.
struct SearchPlan {
    std::vector<FlowCandidate> agents;
    /// Whether these are all such agents, so that no target holds the flow if all of them deny it.
    bool isComplete = true;
};

/// Lists the agents whose targets may hold a flow. The targets of the service that the flow would be placed at now come first,
/// then those of the other services that its address has or had. Agents of other services come last. They are only queried,
/// since their targets must not receive the flow's packets, and only for `maximumFlowAge` after this entry daemon's start: until
/// then it may have missed services that the address had before. Terminated targets are left out, and so are targets of other
/// services that were listed after the current routes were written, since no earlier routes led to them.
[[nodiscard]] SearchPlan planSearch(const EntryRelay &entry, const FlowKey &flow, TimePoint now);

} // namespace Papaya
