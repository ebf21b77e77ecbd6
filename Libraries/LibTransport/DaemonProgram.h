#pragma once

#include "LibProtocol/DaemonSettings.h"
#include "LibTransport/DaemonMessages.h"

#include <functional>
#include <optional>
#include <string>

/// What the daemons' main programs have in common: settings, the shared tasks, and signals.
namespace Papaya {

/// Exit codes of the daemons.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailure = 1;
inline constexpr int ExitBadSettings = 2;

/// What flags override in the settings file; an empty text overrides nothing.
struct SettingsOverrides {
    std::string name;
    std::string failureDomain;
    std::string daemon;
    std::string operators;
    std::string platform;
};

/// Reads the settings file and applies the overrides. Each failure is logged; nothing is returned when there was one.
[[nodiscard]] std::optional<DaemonSettings> loadSettings(const std::string &path, DaemonRole role, const SettingsOverrides &overrides);

/// Reads a whole file. Fails with FileUnreadable.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

/// Blocks SIGTERM and SIGINT in this thread and all that it will start, so that runDaemon() can wait for them.
void blockStopSignals();

/// Returns CAF's configuration for a daemon: its few event-based tasks share one thread that sleeps when there is nothing to do.
[[nodiscard]] caf::actor_system_config makeActorConfiguration();

/// Starts the main task of a daemon; `program` is the actor that it tells when it stopped.
using MainTaskFactory = std::function<caf::actor(caf::actor_system &, const caf::actor &program)>;

/// Runs a daemon until it stopped: the first SIGTERM or SIGINT asks the main task to stop without cutting anything, a second
/// one ends the process at once. Does not return.
[[noreturn]] void runDaemon(caf::actor_system &system, const DaemonSettings &settings, DaemonRole role, const MainTaskFactory &factory);

} // namespace Papaya
