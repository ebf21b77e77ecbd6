#pragma once

#include <chrono>

namespace Papaya {

/// Monotonic time with millisecond resolution. Decision functions receive it as a parameter; only the services read a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;
using Duration = std::chrono::milliseconds;

} // namespace Papaya
