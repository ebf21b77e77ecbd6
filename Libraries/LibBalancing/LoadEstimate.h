#pragma once

#include "LibBalancing/TargetDirectory.h"

#include <span>

/// The load of a target as an entry daemon estimates it where the reports of the target's agent do not tell: the agent was not heard since
/// the daemon's start or for some seconds, or it has restarted and does not know its target's flows.
namespace Papaya {

/// The load that a choice of a target assumes. The fields are those of TargetLoad; means over targets are fractions.
struct LoadEstimate {
    double openFlows = 0;
    double runningRequests = 0;
    double reservedSlots = 0;
    /// In microseconds; 0 where nothing is known.
    double responseTime = 0;
};

/// The mean load of the targets of one service whose agents were heard.
struct ServiceLoad {
    double openFlowsPerSlot = 0;
    double runningRequestsPerSlot = 0;
    double reservedSlotsPerSlot = 0;
    /// In microseconds; 0 if no target has a measured one.
    double responseTime = 0;
    /// Whether most agents are heard so often that a longer silence shows an outdated load. With hundreds of entry daemons the reports to
    /// each one are rarer, and older ones count.
    bool areReportsFrequent = false;
};

/// Returns the mean load of targets of one service. Those whose load is unknown are left out.
[[nodiscard]] ServiceLoad meanLoad(std::span<TargetRecord *const> targets, TimePoint now);

/// Returns whether the load of a target's record is recent enough to rank the target by it.
[[nodiscard]] bool isLoadKnown(const TargetRecord &record, const ServiceLoad &service, TimePoint now);

/// Returns the load in a target's record. For some seconds after a restart of its agent it includes what was known before.
[[nodiscard]] LoadEstimate reportedLoad(const TargetRecord &record, TimePoint now);

/// Returns the load in a target's record, or the mean load of its service if that load is unknown.
[[nodiscard]] LoadEstimate estimateLoad(const TargetRecord &record, const ServiceLoad &service, TimePoint now);

/// Keeps the known load of a target if the next one shows that the target's agent has restarted: such an agent counts only the flows and
/// requests whose packets it has seen. Call before the next load replaces the known one.
void keepLoadOverAgentRestart(TargetRecord &record, const TargetLoad &next, TimePoint now);

} // namespace Papaya
