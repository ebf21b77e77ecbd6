#pragma once

#include "LibState/Configuration.h"

#include <string_view>
#include <vector>

namespace Papaya {

/// Reads the operators' text: a `[service NAME]` section for each service. Every failure is appended to `failures`
/// with its line; the result is meaningful only when there is none.
[[nodiscard]] Configuration readConfiguration(std::string_view text, std::vector<Failure> &failures);

/// Reads the operators' text whole, or fails with the first failure. The revision is the platform's.
[[nodiscard]] Result<Configuration> parseConfiguration(std::uint64_t revision, std::string_view text);

} // namespace Papaya
