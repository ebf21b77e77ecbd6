#include "LibTransport/ProgramFlags.h"

#include "LibTransport/EventLog.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

ABSL_FLAG(std::string, settings, "", "Path of the settings file (INI).");
ABSL_FLAG(bool, check_settings, false, "Validate the settings, log every failure and exit with 0 if they are valid, 2 otherwise.");

namespace Papaya {

namespace {

bool isShownInHelp(absl::string_view file)
{
    return absl::EndsWith(file, "ProgramFlags.cpp");
}

} // namespace

ProgramFlags parseProgramFlags(int argc, char **argv, const std::string &program, const std::string &usage)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    config.version_string = [&] { return program + " " + PAPAYA_VERSION + "\n"; };
    // By default, Abseil's help shows only the flags defined in the file with main().
    config.contains_help_flags = isShownInHelp;
    config.contains_helpshort_flags = isShownInHelp;
    config.normalize_filename = [](absl::string_view file) { return std::string(file.substr(file.rfind('/') + 1)); };
    absl::SetFlagsUsageConfig(config);
    absl::ParseCommandLine(argc, argv);
    startLogging();
    return {absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_check_settings)};
}

} // namespace Papaya
