#include "LibProtocol/RelaySettings.h"

#include "LibProtocol/SectionReader.h"

namespace Papaya {

namespace {

constexpr double GreatestLinkMegabits = 1'000'000;

/// Below this a watch would be no more than a poll.
constexpr std::chrono::milliseconds LeastStalenessLimit {2'000};
constexpr std::chrono::milliseconds GreatestStalenessLimit {60'000};

void readSwitch(SectionReader &reader, std::string_view key, bool &value)
{
    std::string text;
    reader.read(key, text);
    if (text.empty())
        return;
    if (text != "true" && text != "false")
        reader.fail(FailureKind::ValueOutOfRange, key);
    value = text == "true";
}

void readRole(SectionReader &reader, RelayRole role, RelaySettings &settings)
{
    if (role == RelayRole::Entry) {
        reader.readRequired("platform", settings.platform);
        reader.read("staleness_limit_ms", settings.stalenessLimit, LeastStalenessLimit, GreatestStalenessLimit);
        reader.read("peers", settings.peers);
        reader.read<double>("link_megabits", settings.linkMegabits, 0, GreatestLinkMegabits);
        return;
    }
    reader.readRequired("service", settings.service);
    reader.readRequired("target", settings.target);
    reader.readRequired("outbound", settings.outbound);
    readSwitch(reader, "first_start", settings.isFirstStart);
}

} // namespace

RelaySettings readRelaySettings(std::string_view text, RelayRole role, std::vector<Failure> &failures)
{
    RelaySettings settings;
    const auto document = parseIni(text, failures);
    bool isFound = false;
    for (const auto &section : document.sections) {
        if (section.name != "relay") {
            failures.push_back({FailureKind::UnknownSection, section.line, section.name});
            continue;
        }
        isFound = true;
        SectionReader reader(section, failures);
        reader.readRequired("name", settings.name);
        reader.readRequired("failure_domain", settings.failureDomain);
        reader.readRequired("daemon", settings.daemon);
        reader.readRequired("operators", settings.operators);
        reader.readRequired("callers", settings.callers);
        readRole(reader, role, settings);
        reader.finish();
    }
    if (!isFound && failures.empty())
        failures.push_back({FailureKind::MissingKey, 0, "relay"});
    return settings;
}

} // namespace Papaya
