#pragma once

#include "LibState/Clock.h"

namespace Papaya {

/// Reads the monotonic clock in the resolution that decisions use.
[[nodiscard]] inline TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Papaya
