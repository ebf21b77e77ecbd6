#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <deque>

/// A bound on the new flows that a cold target gets in any sliding second. Free functions over a plain struct; the time is passed in.
namespace Papaya {

/// SYNs that were passed to a target within one millisecond.
struct PassedSyns {
    TimePoint at;
    std::uint32_t count = 0;
};

/// The bound of one target and the SYNs that it got lately.
struct ColdBound {
    /// The bound is `rate * excess + slack` new flows a second, and at least 1. `excess` and `slack` are the deployment's settings.
    double excess = 1;
    double slack = 0;
    /// Number of new flows a second that the cold target bears; 0: no bound.
    std::uint32_t rate = 0;
    /// The end of the time in which the target is cold.
    TimePoint coldUntil;
    /// SYNs are counted for a second, and a tenth of a second longer: the first packets of a second may take longer to the target than the
    /// last ones, and both times are rounded to milliseconds.
    Duration window {1'100};
    /// The SYNs of the last window, at most one entry a millisecond.
    std::deque<PassedSyns> passed;
    std::uint64_t passedCount = 0;
};

/// Records an entry daemon's statement on how much longer the target is cold and what it bears meanwhile. A statement without a time or a
/// rate changes nothing: that entry daemon may not have read them yet.
void applyColdTerms(ColdBound &bound, Duration coldTime, std::uint32_t rate, TimePoint now);

/// Records a SYN that was passed to the target. SYNs are recorded at all times, since the target may be stated to be cold later.
void recordPassedSyn(ColdBound &bound, TimePoint now);

/// Returns whether the target may get another new flow.
[[nodiscard]] bool mayPassSyn(ColdBound &bound, TimePoint now);

} // namespace Papaya
