#include "ForwardTask.h"

#include "LibTransport/DaemonProgram.h"
#include "LibTransport/EventLog.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (INI, one [daemon] section).");
ABSL_FLAG(std::string, name, "", "Name of this VM; overrides the settings file.");
ABSL_FLAG(std::string, failure_domain, "", "Failure domain of this VM; overrides the settings file.");
ABSL_FLAG(std::string, daemon, "", "Address for other daemons, a.b.c.d:port; overrides the settings file.");
ABSL_FLAG(std::string, operators, "", "HTTP address for operators; overrides the settings file.");
ABSL_FLAG(std::string, platform, "", "HTTP address of the platform's service; overrides the settings file.");
ABSL_FLAG(bool, check_settings, false, "Read the settings, report every failure and exit: 0 when they are valid, 2 otherwise.");

namespace {

caf::actor spawnForwardTask(caf::actor_system &system, const Papaya::DaemonSettings &settings, const caf::actor &program)
{
    auto fabric = Papaya::DatagramSocket::bind(settings.fabricListen);
    auto daemon = Papaya::DatagramSocket::bind(settings.daemon);
    for (const auto *socket : {&fabric, &daemon}) {
        if (socket->has_error()) {
            Papaya::EventLog("bind_failed", Papaya::LogLevel::Error).with(socket->error());
            std::_Exit(Papaya::ExitFailure);
        }
    }
    return system.spawn<Papaya::ForwardTask, caf::detached>(settings, std::move(fabric.value()), std::move(daemon.value()), program);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Forwards IP packets from the fabric to the agents of the services.\nUsage: papaya-entryd --settings FILE");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("papaya-entryd ") + PAPAYA_VERSION + "\n"; };
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
    const auto settings = Papaya::loadSettings(absl::GetFlag(FLAGS_settings), Papaya::DaemonRole::Entry, overrides);
    if (!settings)
        return Papaya::ExitBadSettings;
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << "settings=valid name=" << settings->name << '\n';
        return Papaya::ExitSuccess;
    }
    Papaya::blockStopSignals();
    auto config = Papaya::makeActorConfiguration();
    caf::actor_system system(config);
    Papaya::runDaemon(system, *settings, Papaya::DaemonRole::Entry, [&](caf::actor_system &owner, const caf::actor &program) {
        return spawnForwardTask(owner, *settings, program);
    });
}
