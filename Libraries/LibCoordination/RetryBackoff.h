#pragma once

#include "LibState/Clock.h"

#include <cstdint>

namespace Papaya {

/// Returns the backoff after `failures` (at least 1) consecutive failed reads of the platform. It doubles up to five seconds.
/// With this maximum, 3,950 daemons with two reads each stay below the platform's limit of two thousand reads per second, and a
/// change still arrives within about seven seconds. `identity` adds a jitter of up to half the backoff, so that daemons that
/// failed together do not retry together. The maximum backoff with jitter is 7.5 seconds.
[[nodiscard]] Duration retryBackoff(int failures, std::uint64_t identity);

} // namespace Papaya
