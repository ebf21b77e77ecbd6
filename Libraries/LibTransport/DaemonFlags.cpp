#include "LibTransport/DaemonFlags.h"

#include "LibTransport/EventLog.h"
#include "LibTransport/ProgramFlags.h"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, name, "", "Name of this VM; overrides the settings file.");
ABSL_FLAG(std::string, failure_domain, "", "Failure domain of this VM; overrides the settings file.");
ABSL_FLAG(std::string, daemon, "", "Address on which this daemon listens for other daemons, a.b.c.d:port; overrides the settings file.");
ABSL_FLAG(std::string, operators, "", "Address of the HTTP server for operators, a.b.c.d:port; overrides the settings file.");
ABSL_FLAG(std::string, platform, "", "HTTP address of the platform's service, a.b.c.d:port; overrides the settings file.");

namespace Papaya {

int runDaemonProgram(int argc, char **argv, const DaemonDescription &description)
{
    const auto flags = parseProgramFlags(argc, argv, description.program, description.usage);

    const SettingsOverrides overrides {
        absl::GetFlag(FLAGS_name),
        absl::GetFlag(FLAGS_failure_domain),
        absl::GetFlag(FLAGS_daemon),
        absl::GetFlag(FLAGS_operators),
        absl::GetFlag(FLAGS_platform),
    };
    const auto settings = loadSettings(flags.settingsPath, description.role, overrides);
    if (!settings)
        return ExitBadSettings;
    if (flags.isCheckOnly) {
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
