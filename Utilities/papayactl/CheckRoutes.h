#pragma once

#include <string>

namespace Papaya {

/// Exit codes of `papayactl check-routes`. They differ from those of the other commands, because scripts distinguish warnings.
inline constexpr int ExitUsable = 0;
inline constexpr int ExitUsableWithWarnings = 1;
inline constexpr int ExitNotUsable = 2;
inline constexpr int ExitNoComparison = 3;

/// Checks a file with the platform's configuration of routes and prints one line for each finding. Compares the configuration with the
/// one in force at an entry daemon unless `daemon`, the address of its HTTP server for operators, is empty. Returns the exit code.
[[nodiscard]] int checkRoutesFile(const std::string &path, const std::string &daemon);

} // namespace Papaya
