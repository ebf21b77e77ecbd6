#pragma once

#include "LibState/Member.h"

#include <chrono>

namespace Papaya {

/// Returns the wall-clock time in milliseconds since the Unix epoch, the unit of the incarnations of relaying agents. The wall clock may
/// jump, so timeouts must not use it.
[[nodiscard]] inline Incarnation wallClockTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace Papaya
