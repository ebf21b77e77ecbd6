#pragma once

#include "LibTransport/DaemonProgram.h"

#include <functional>
#include <string>

namespace Papaya {

/// What tells one daemon's program from another's.
struct DaemonDescription {
    std::string program;
    std::string usage;
    DaemonRole role = DaemonRole::Entry;
    /// Starts the main task with the settings that were read.
    std::function<caf::actor(caf::actor_system &, const DaemonSettings &, const caf::actor &program)> spawnMainTask;
};

/// The whole of a daemon's main(): parses the flags that all daemons share, reads the settings, and runs the daemon.
/// Returns the exit code when there is nothing to run.
[[nodiscard]] int runDaemonProgram(int argc, char **argv, const DaemonDescription &description);

} // namespace Papaya
