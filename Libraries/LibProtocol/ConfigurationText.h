#pragma once

#include "LibState/Configuration.h"

#include <string_view>
#include <vector>

namespace Papaya {

/// Parses the operators' configuration text, which has one `[service NAME]` section per service. Every failure is appended
/// to `failures` with its line number. The result is valid only if no failure was appended.
[[nodiscard]] Configuration readConfiguration(std::string_view text, std::vector<Failure> &failures);

/// Parses the operators' configuration text and returns the first failure if there is any. `revision` is the revision under
/// which the platform stores the text.
[[nodiscard]] Result<Configuration> parseConfiguration(std::uint64_t revision, std::string_view text);

} // namespace Papaya
