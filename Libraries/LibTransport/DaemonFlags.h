#pragma once

#include "LibTransport/DaemonProgram.h"

#include <functional>
#include <string>

namespace Papaya {

/// The parts of a daemon's program that differ between daemons.
struct DaemonDescription {
    /// The name of the program, shown by --version.
    std::string program;
    /// The usage message, shown by --help.
    std::string usage;
    DaemonRole role = DaemonRole::Entry;
    /// Spawns the main task. `program` is the actor to which the main task sends Stopped.
    std::function<caf::actor(caf::actor_system &, const DaemonSettings &, const caf::actor &program)> spawnMainTask;
};

/// Implements main() of a daemon: parses the flags that all daemons share, reads the settings file and runs the daemon. Returns an
/// exit code only if the settings are invalid or --check_settings is set. Otherwise the daemon ends the process.
[[nodiscard]] int runDaemonProgram(int argc, char **argv, const DaemonDescription &description);

} // namespace Papaya
