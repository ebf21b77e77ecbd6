#include "LibTransport/DaemonFlags.h"

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

namespace Papaya {

int runDaemonProgram(int argc, char **argv, const DaemonDescription &description)
{
    absl::SetProgramUsageMessage(description.usage);
    absl::FlagsUsageConfig usage;
    usage.version_string = [&] { return description.program + " " + PAPAYA_VERSION + "\n"; };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    startLogging();

    const SettingsOverrides overrides {
        absl::GetFlag(FLAGS_name),
        absl::GetFlag(FLAGS_failure_domain),
        absl::GetFlag(FLAGS_daemon),
        absl::GetFlag(FLAGS_operators),
        absl::GetFlag(FLAGS_platform),
    };
    const auto settings = loadSettings(absl::GetFlag(FLAGS_settings), description.role, overrides);
    if (!settings)
        return ExitBadSettings;
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << "settings=valid name=" << settings->name << '\n';
        return ExitSuccess;
    }
    blockStopSignals();
    auto config = makeActorConfiguration();
    caf::actor_system system(config);
    runDaemon(system, *settings, description.role, [&](caf::actor_system &owner, const caf::actor &program) {
        return description.spawnMainTask(owner, *settings, program);
    });
}

} // namespace Papaya
