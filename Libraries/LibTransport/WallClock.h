#pragma once

#include "LibState/Member.h"

#include <chrono>

namespace Papaya {

/// Reads the time of day in Unix milliseconds, the unit of incarnations. It may jump; no timeout uses it.
[[nodiscard]] inline Incarnation timeOfDay()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace Papaya
