#pragma once

#include "LibState/Clock.h"

namespace Papaya {

/// Returns the time of the monotonic clock with the resolution of TimePoint (milliseconds).
[[nodiscard]] inline TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Papaya
