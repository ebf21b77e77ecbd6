#include "LibProtocol/RelaySettings.h"

#include "LibProtocol/SectionReader.h"

namespace Papaya {

namespace {

constexpr double MaximumLinkMegabits = 1'000'000;
constexpr double MaximumStopGraceSeconds = 600;
constexpr std::uint32_t MaximumSlowStartCapacity = 100'000;
constexpr double MaximumColdExcess = 1'000;
constexpr double MaximumColdSlack = 1'000'000;

/// A lower limit would make the watch requests so short that the daemon in effect polls the platform.
constexpr std::chrono::milliseconds MinimumStalenessLimit {2'000};
constexpr std::chrono::milliseconds MaximumStalenessLimit {60'000};

void readBoolean(SectionReader &reader, std::string_view key, bool &value)
{
    std::string text;
    reader.read(key, text);
    if (text.empty())
        return;
    if (text != "true" && text != "false")
        reader.fail(FailureKind::ValueOutOfRange, key);
    value = text == "true";
}

/// Reads a number whose value is empty on deployments that do not have it.
void readOptional(SectionReader &reader, std::string_view key, double &value, double maximum)
{
    std::string text;
    reader.read(key, text);
    if (!text.empty())
        reader.read<double>(key, value, 0, maximum);
}

void readRoleSettings(SectionReader &reader, RelayRole role, RelaySettings &settings)
{
    if (role == RelayRole::Entry) {
        reader.readRequired("platform", settings.platform);
        reader.read("staleness_limit_ms", settings.stalenessLimit, MinimumStalenessLimit, MaximumStalenessLimit);
        reader.read("peers", settings.peers);
        reader.read<double>("link_megabits", settings.linkMegabits, 0, MaximumLinkMegabits);
        return;
    }
    reader.readRequired("service", settings.service);
    reader.readRequired("target", settings.target);
    reader.readRequired("outbound", settings.outbound);
    readBoolean(reader, "first_start", settings.isFirstStart);
    reader.read<double>("stop_grace_s", settings.stopGraceSeconds, 0, MaximumStopGraceSeconds);
    reader.read<std::uint32_t>("slow_start_capacity", settings.slowStartCapacity, 0, MaximumSlowStartCapacity);
    readOptional(reader, "cold_excess", settings.coldExcess, MaximumColdExcess);
    readOptional(reader, "cold_slack", settings.coldSlack, MaximumColdSlack);
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
        readRoleSettings(reader, role, settings);
        reader.reportUnknownKeys();
    }
    if (!isFound && failures.empty())
        failures.push_back({FailureKind::MissingKey, 0, "relay"});
    return settings;
}

} // namespace Papaya
