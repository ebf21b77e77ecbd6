#pragma once

#include "LibCoordination/RequestPolicy.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Papaya {

/// The policy that selects the target of a new flow.
enum class PlacementPolicy {
    Random,
    /// The first-ranked target by rendezvous hash, regardless of its load.
    HashAlone,
    /// The target with the least load according to load reports that lag.
    LowestReportedLoad,
    /// The product's policy: the decisions of FlowProtocol at each agent.
    Protocol,
};

/// The policy that queues and sheds requests at a target.
enum class QueuePolicy {
    /// First come, first served, without a queue limit.
    Unbounded,
    /// First come, first served, with at most four waiting requests per slot.
    FixedLength,
    /// The product's policy: RequestPolicy.
    Policy,
};

/// Returns the name of a policy in the printed measures.
[[nodiscard]] std::string_view policyName(PlacementPolicy policy);
[[nodiscard]] std::string_view policyName(QueuePolicy policy);

/// The parameters of a simulated run of requests to one service in virtual time.
struct RequestPlan {
    PlacementPolicy placement = PlacementPolicy::Protocol;
    QueuePolicy queue = QueuePolicy::Policy;
    int targets = 7;
    int slots = 7;
    /// The factor by which the slowest target is slower than the fastest.
    double speedSpread = 6;
    /// The mean service time at the fastest target.
    double serviceMilliseconds = 20;
    /// The fraction of requests that are stragglers, and the factor by which their service time and deadline are longer.
    double stragglerFraction = 0;
    double stragglerFactor = 50;
    /// Offered load as a fraction of the capacity of all targets.
    double load = 0.7;
    /// The offered load during the load peak, as a fraction like `load`; 0 for no peak. The peak lasts from `peakStart` to
    /// `peakEnd`, both counted from the start of the run.
    double peakLoad = 0;
    Duration peakStart {10'000};
    Duration peakEnd {40'000};
    Duration length {60'000};
    /// The time from the arrival of a short request to its deadline.
    Duration deadline {1'000};
    /// The minimum age of the load reports on which decisions are based.
    Duration reportLag {2'000};
    /// Whether the slowest target always reports that it has no load.
    bool hasMisreportingTarget = false;
    /// The factor by which a target that joins in the middle of the run is slower at first, and for how long. A factor of 0 means
    /// that no target joins.
    double coldStartFactor = 0;
    Duration coldStartTime {5'000};
    std::uint64_t seed = 1;
};

/// The results of a run. Latencies are those of short requests in milliseconds, including the time in the queue.
struct RequestOutcome {
    double offered = 0;
    double answeredInTime = 0;
    double answeredLate = 0;
    double shed = 0;
    /// Requests that were admitted but not run, because their deadline passed first.
    double expired = 0;
    double median = 0;
    double percentile99 = 0;
    double percentile999 = 0;
    /// The maximum utilisation of a target divided by the mean utilisation of all targets.
    double imbalance = 0;
    /// Goodput during the load peak as a fraction of the capacity of all targets.
    double peakGoodput = 0;
    /// Seconds from the end of the load peak to the first second in which at least 95% of the arriving requests were answered in
    /// time; -1 if there was no such second.
    double recoverySeconds = -1;
    /// The mean number of agents that the SYN of a flow reached.
    double meanHops = 0;
    /// Requests that were answered after their deadline by the target that joined.
    double answeredLateByJoinedTarget = 0;
};

/// Simulates a run and returns its results.
[[nodiscard]] RequestOutcome runRequests(const RequestPlan &plan);

} // namespace Papaya
