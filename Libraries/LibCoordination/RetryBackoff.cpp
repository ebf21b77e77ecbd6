#include "LibCoordination/RetryBackoff.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr Duration InitialBackoff {500};
constexpr Duration MaximumBackoff {5'000};
constexpr int MaximumDoublings = 4;

} // namespace

Duration retryBackoff(int failures, std::uint64_t identity)
{
    const auto doublings = std::clamp(failures - 1, 0, MaximumDoublings);
    const auto backoff = std::min(InitialBackoff * (1 << doublings), MaximumBackoff);
    const auto jitterRange = static_cast<std::uint64_t>(backoff.count() / 2);
    return backoff + Duration(static_cast<Duration::rep>(identity % jitterRange));
}

} // namespace Papaya
