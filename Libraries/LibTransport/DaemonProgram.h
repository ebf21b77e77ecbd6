#pragma once

#include "LibProtocol/DaemonSettings.h"
#include "LibTransport/DaemonMessages.h"

#include <functional>
#include <optional>
#include <string>

/// The code that the main programs of the daemons share: settings, common tasks and signals.
namespace Papaya {

/// Exit codes of the daemons.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailure = 1;
inline constexpr int ExitBadSettings = 2;

/// Command-line values that override the settings file. An empty string leaves the setting as it is.
struct SettingsOverrides {
    std::string name;
    std::string failureDomain;
    std::string daemon;
    std::string operators;
    std::string platform;
};

/// Reads the settings file and applies the overrides. Logs each failure. Returns nothing if there was any failure.
[[nodiscard]] std::optional<DaemonSettings> loadSettings(const std::string &path, DaemonRole role, const SettingsOverrides &overrides);

/// Returns the contents of a file. Fails with FileUnreadable.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

/// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later, so that runDaemon() can poll for them.
void blockStopSignals();

/// Returns the CAF configuration for a daemon: its few event-based tasks share one thread that sleeps while idle.
[[nodiscard]] caf::actor_system_config makeActorConfiguration();

/// Spawns the main task of a daemon. `program` is the actor to which the main task sends Stopped.
using MainTaskFactory = std::function<caf::actor(caf::actor_system &, const caf::actor &program)>;

/// Runs a daemon and then ends the process. The first SIGTERM or SIGINT requests a graceful stop of the main task, a second one ends
/// the process immediately.
[[noreturn]] void runDaemon(caf::actor_system &system, const DaemonSettings &settings, DaemonRole role, const MainTaskFactory &factory);

} // namespace Papaya
