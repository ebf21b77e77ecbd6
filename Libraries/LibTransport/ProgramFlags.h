#pragma once

#include <string>

namespace Papaya {

/// The flags that all daemons share.
struct ProgramFlags {
    /// The path of the settings file.
    std::string settingsPath;
    /// Whether the program only validates the settings and exits (--check_settings).
    bool isCheckOnly = false;
};

/// Parses the command line of a daemon and sets up logging. Ends the process on --help, --version and unknown flags. `usage` is the
/// usage message, shown by --help.
[[nodiscard]] ProgramFlags parseProgramFlags(int argc, char **argv, const std::string &program, const std::string &usage);

} // namespace Papaya
