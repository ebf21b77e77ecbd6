#pragma once

#include "LibState/Clock.h"

#include <cstdint>

namespace Papaya {

/// Returns how long to wait after `failures` failed reads in a row, at least one. The pause doubles up to five seconds, so that
/// 3,950 daemons with two reads each stay below the platform's two thousand a second and a change still arrives within seven;
/// up to half as much is added by identity, so that daemons that failed together do not return together.
[[nodiscard]] Duration retryBackoff(int failures, std::uint64_t identity);

} // namespace Papaya
