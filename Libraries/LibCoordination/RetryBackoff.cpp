#include "LibCoordination/RetryBackoff.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr Duration FirstPause {500};
constexpr Duration GreatestPause {5'000};
constexpr int MostDoublings = 4;

} // namespace

Duration retryBackoff(int failures, std::uint64_t identity)
{
    const auto doublings = std::clamp(failures - 1, 0, MostDoublings);
    const auto pause = std::min(FirstPause * (1 << doublings), GreatestPause);
    const auto spread = static_cast<std::uint64_t>(pause.count() / 2);
    return pause + Duration(static_cast<Duration::rep>(identity % spread));
}

} // namespace Papaya
