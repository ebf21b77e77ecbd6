#include "FlowTask.h"

#include "LibTransport/DaemonProgram.h"
#include "LibTransport/EventLog.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <chrono>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (INI, one [daemon] section).");
ABSL_FLAG(std::string, name, "", "Name of this VM; overrides the settings file.");
ABSL_FLAG(std::string, failure_domain, "", "Failure domain of this VM; overrides the settings file.");
ABSL_FLAG(std::string, daemon, "", "Address for other daemons, a.b.c.d:port; overrides the settings file.");
ABSL_FLAG(std::string, operators, "", "HTTP address for operators; overrides the settings file.");
ABSL_FLAG(std::string, platform, "", "HTTP address of the platform's service; overrides the settings file.");
ABSL_FLAG(bool, check_settings, false, "Read the settings, report every failure and exit: 0 when they are valid, 2 otherwise.");

namespace {

/// Nanoseconds since the epoch: no two runs on one VM start in the same one, and later runs have greater numbers.
Papaya::Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Papaya::Incarnation>(std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

caf::actor spawnFlowTask(caf::actor_system &system, const Papaya::DaemonSettings &settings, const caf::actor &program)
{
    auto daemon = Papaya::DatagramSocket::bind(settings.daemon);
    if (daemon.has_error()) {
        Papaya::EventLog("bind_failed", Papaya::LogLevel::Error).with(daemon.error());
        std::_Exit(Papaya::ExitFailure);
    }
    return system.spawn<Papaya::FlowTask, caf::detached>(settings, std::move(daemon.value()), makeIncarnation(), program);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Owns the flows of the target on this VM.\nUsage: papaya-agentd --settings FILE");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("papaya-agentd ") + PAPAYA_VERSION + "\n"; };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    Papaya::startLogging();

    const Papaya::SettingsOverrides overrides {
        absl::GetFlag(FLAGS_name),
        absl::GetFlag(FLAGS_failure_domain),
        absl::GetFlag(FLAGS_daemon),
        absl::GetFlag(FLAGS_operators),
        absl::GetFlag(FLAGS_platform),
    };
    const auto settings = Papaya::loadSettings(absl::GetFlag(FLAGS_settings), Papaya::DaemonRole::Target, overrides);
    if (!settings)
        return Papaya::ExitBadSettings;
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << "settings=valid name=" << settings->name << '\n';
        return Papaya::ExitSuccess;
    }
    Papaya::blockStopSignals();
    auto config = Papaya::makeActorConfiguration();
    caf::actor_system system(config);
    Papaya::runDaemon(system, *settings, Papaya::DaemonRole::Target, [&](caf::actor_system &owner, const caf::actor &program) {
        return spawnFlowTask(owner, *settings, program);
    });
}
