#pragma once

#include <chrono>

namespace Papaya {

/// Monotonic time as the decision functions receive it. Only the services read a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;
using Duration = std::chrono::milliseconds;

} // namespace Papaya
