#pragma once

#include "LibProtocol/RelaySettings.h"
#include "LibTransport/DaemonMessages.h"
#include "LibTransport/LoopMonitor.h"
#include "LibTransport/OperatorHttpTask.h"

#include <functional>
#include <memory>
#include <string>

namespace Papaya {

/// Sent to the main task when the settings file has changed and is valid.
struct RelaySettingsChanged {
    RelaySettings settings;
};

/// What the main task of a relaying daemon gets from its program.
struct RelayProgramParts {
    /// The actor to which the main task sends Stopped.
    caf::actor actor;
    /// Records each turn of the main task's loop.
    std::shared_ptr<LoopMonitor> monitor;
};

/// The parts of a relaying daemon's program that differ between entry daemon and agent.
struct RelayDescription {
    /// The name of the program, shown by --version.
    std::string program;
    /// The usage message, shown by --help.
    std::string usage;
    RelayRole role = RelayRole::Entry;
    /// The interval at which the main task receives a Tick.
    Duration tickInterval {100};
    /// Whether the main task answers a KnowledgeRequest.
    KnowledgeService knowledge = KnowledgeService::None;
    /// Spawns the main task and the other tasks that only this program has.
    std::function<caf::actor(caf::actor_system &, const RelaySettings &, const RelayProgramParts &program)> spawnMainTask;
};

/// Reads a settings file. Logs each failure. Returns nothing if there was any failure.
[[nodiscard]] std::optional<RelaySettings> loadRelaySettings(const std::string &path, RelayRole role);

/// Implements main() of a relaying daemon: flags, settings, tasks and signals. The first SIGTERM or SIGINT requests a graceful stop of the
/// main task, a second one ends the process immediately. The settings are reloaded on SIGHUP and when the file changes. If the new
/// settings are invalid, the failures are logged and the current settings stay in force. Returns an exit code only if the settings are
/// invalid at the start or --check_settings is set. Otherwise the daemon ends the process.
[[nodiscard]] int runRelayProgram(int argc, char **argv, const RelayDescription &description);

} // namespace Papaya

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Papaya::RelaySettingsChanged)
