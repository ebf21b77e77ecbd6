#include "LibProtocol/DaemonSettings.h"

#include "LibProtocol/SectionReader.h"

namespace Papaya {

DaemonSettings readDaemonSettings(std::string_view text, DaemonRole role, std::vector<Failure> &failures)
{
    DaemonSettings settings;
    const auto document = parseIni(text, failures);
    bool isFound = false;
    for (const auto &section : document.sections) {
        if (section.name != "daemon") {
            failures.push_back({FailureKind::UnknownSection, section.line, section.name});
            continue;
        }
        isFound = true;
        SectionReader reader(section, failures);
        reader.readRequired("name", settings.name);
        reader.readRequired("failure_domain", settings.failureDomain);
        reader.readRequired("daemon", settings.daemon);
        reader.readRequired("operators", settings.operators);
        reader.readRequired("platform", settings.platform);
        reader.read("seed_peers", settings.seedPeers);
        if (role == DaemonRole::Entry) {
            reader.readRequired("fabric_listen", settings.fabricListen);
        } else {
            reader.readRequired("fabric", settings.fabric);
            reader.readRequired("target", settings.target);
        }
        reader.reportUnknownKeys();
    }
    if (!isFound && failures.empty())
        failures.push_back({FailureKind::MissingKey, 0, "daemon"});
    return settings;
}

} // namespace Papaya
