#pragma once

#include "LibCoordination/RequestPolicy.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Papaya {

/// How a new flow finds its target.
enum class PlacementPolicy {
    Random,
    /// The first-ranked target by rendezvous hash, whatever its load.
    HashAlone,
    /// The target with the least load, by reports that lag.
    LeastReported,
    /// The product's own: FlowProtocol's decisions at each agent.
    Protocol,
};

/// How requests wait and are shed at a target.
enum class QueuePolicy {
    /// First come, first served, without a bound.
    Unbounded,
    /// First come, first served, at most four requests a slot.
    FixedLength,
    /// The product's own: RequestPolicy.
    Policy,
};

[[nodiscard]] std::string_view policyName(PlacementPolicy policy);
[[nodiscard]] std::string_view policyName(QueuePolicy policy);

/// A run of requests over one service in virtual time.
struct RequestPlan {
    PlacementPolicy placement = PlacementPolicy::Protocol;
    QueuePolicy queue = QueuePolicy::Policy;
    int targets = 7;
    int slots = 7;
    /// The slowest target is slower than the fastest by this factor.
    double speedSpread = 6;
    /// The mean service time at the fastest target.
    double serviceMilliseconds = 20;
    double stragglerFraction = 0;
    double stragglerFactor = 50;
    /// Offered load as a fraction of the capacity of all targets.
    double load = 0.7;
    /// The load during the crest, and when it begins and ends.
    double crestLoad = 0;
    Duration crestStart {10'000};
    Duration crestEnd {40'000};
    Duration length {60'000};
    Duration deadline {1'000};
    /// How far load reports lag.
    Duration reportLag {2'000};
    /// One target reports no load at all.
    bool hasLyingTarget = false;
    /// A target that joins in the middle of the run and is slow at first by this factor for this long; 0 for none.
    double coldFactor = 0;
    Duration coldTime {5'000};
    std::uint64_t seed = 1;
};

/// What came of a run. Latencies are of short requests, in milliseconds, queueing included.
struct RequestOutcome {
    double offered = 0;
    double answeredInTime = 0;
    double answeredLate = 0;
    double shed = 0;
    /// Admitted, then not run because the deadline passed first.
    double expired = 0;
    double median = 0;
    double percentile99 = 0;
    double percentile999 = 0;
    /// Greatest over mean utilisation of the targets.
    double imbalance = 0;
    /// Goodput during the crest as a fraction of the capacity.
    double crestGoodput = 0;
    /// Time after the crest until a second in which at least 95% of what arrived was answered in time; -1 when there was none.
    double recoverySeconds = -1;
    double meanHops = 0;
    /// Requests that missed their deadline at the target that joined.
    double missedAtJoined = 0;
};

/// Runs a plan.
[[nodiscard]] RequestOutcome runRequests(const RequestPlan &plan);

} // namespace Papaya
