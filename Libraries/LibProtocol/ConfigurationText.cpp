#include "LibProtocol/ConfigurationText.h"

#include "LibProtocol/SectionReader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace Papaya {

namespace {

constexpr std::string_view ServicePrefix = "service ";
constexpr int MaximumSlots = 10'000;
constexpr int MaximumQueueLimit = 100'000;
constexpr int MaximumConnectionLimit = 1'000'000;
constexpr std::chrono::milliseconds MinimumDeadline {1};
constexpr std::chrono::milliseconds MaximumDeadline {24L * 60 * 60 * 1'000};

/// A parsed service and the line numbers that the checks across services report.
struct ParsedService {
    ServiceConfiguration service;
    int addressesLine = 0;
    int targetGroupLine = 0;
    int dependsOnLine = 0;
};

void parseProtocol(SectionReader &reader, ServiceProtocol &protocol)
{
    std::string name;
    reader.readRequired("protocol", name);
    if (name == "tcp")
        protocol = ServiceProtocol::Tcp;
    else if (name == "http")
        protocol = ServiceProtocol::Http;
    else if (!name.empty())
        reader.fail(FailureKind::ValueOutOfRange, "protocol");
}

ParsedService parseService(const IniSection &section, std::vector<Failure> &failures)
{
    ParsedService parsed;
    auto &service = parsed.service;
    service.name = section.name.substr(ServicePrefix.size());
    SectionReader reader(section, failures);
    reader.read("addresses", service.addresses);
    if (service.addresses.empty())
        reader.fail(FailureKind::MissingKey, "addresses");
    parseProtocol(reader, service.protocol);
    reader.readRequired("target_group", service.targetGroup);
    reader.read("slots", service.slots, 1, MaximumSlots);
    reader.read("queue_limit", service.queueLimit, 0, MaximumQueueLimit);
    reader.read("connection_limit", service.connectionLimit, 1, MaximumConnectionLimit);
    reader.read("deadline_ms", service.deadline, MinimumDeadline, MaximumDeadline);
    reader.read("depends_on", service.dependsOn);
    reader.reportUnknownKeys();
    parsed.addressesLine = reader.lineOf("addresses");
    parsed.targetGroupLine = reader.lineOf("target_group");
    parsed.dependsOnLine = reader.lineOf("depends_on");
    return parsed;
}

void checkAddresses(const std::vector<ParsedService> &services, std::vector<Failure> &failures)
{
    std::set<Endpoint> seen;
    for (const auto &parsed : services) {
        for (const auto &address : parsed.service.addresses) {
            if (!seen.insert(address).second)
                failures.push_back({FailureKind::DuplicateAddress, parsed.addressesLine, toString(address)});
        }
    }
}

void checkTargetGroups(const std::vector<ParsedService> &services, std::vector<Failure> &failures)
{
    std::set<std::string> seen;
    for (const auto &parsed : services) {
        if (!parsed.service.targetGroup.empty() && !seen.insert(parsed.service.targetGroup).second)
            failures.push_back({FailureKind::TargetGroupOfTwoServices, parsed.targetGroupLine, parsed.service.targetGroup});
    }
}

void checkDependencies(const std::vector<ParsedService> &services, std::vector<Failure> &failures)
{
    std::map<std::string, const ParsedService *> byName;
    for (const auto &parsed : services)
        byName.emplace(parsed.service.name, &parsed);
    for (const auto &parsed : services) {
        for (const auto &dependency : parsed.service.dependsOn) {
            if (!byName.contains(dependency))
                failures.push_back({FailureKind::UnknownDependency, parsed.dependsOnLine, dependency});
        }
    }

    enum class VisitState { Unvisited, InProgress, Done };
    std::map<std::string, VisitState> visits;
    const std::function<void(const ParsedService &)> visit = [&](const ParsedService &parsed) {
        auto &state = visits[parsed.service.name];
        if (state == VisitState::InProgress)
            failures.push_back({FailureKind::DependencyCycle, parsed.dependsOnLine, parsed.service.name});
        if (state != VisitState::Unvisited)
            return;
        state = VisitState::InProgress;
        for (const auto &dependency : parsed.service.dependsOn) {
            if (const auto found = byName.find(dependency); found != byName.end())
                visit(*found->second);
        }
        visits[parsed.service.name] = VisitState::Done;
    };
    for (const auto &parsed : services)
        visit(parsed);
}

} // namespace

Configuration readConfiguration(std::string_view text, std::vector<Failure> &failures)
{
    const auto document = parseIni(text, failures);
    std::vector<ParsedService> services;
    for (const auto &section : document.sections) {
        if (section.name.starts_with(ServicePrefix) && section.name.size() > ServicePrefix.size())
            services.push_back(parseService(section, failures));
        else
            failures.push_back({FailureKind::UnknownSection, section.line, section.name});
    }
    checkAddresses(services, failures);
    checkTargetGroups(services, failures);
    checkDependencies(services, failures);

    Configuration configuration;
    for (auto &parsed : services)
        configuration.services.push_back(std::move(parsed.service));
    return configuration;
}

Result<Configuration> parseConfiguration(std::uint64_t revision, std::string_view text)
{
    std::vector<Failure> failures;
    auto configuration = readConfiguration(text, failures);
    if (!failures.empty())
        return failures.front();
    configuration.revision = revision;
    return configuration;
}

} // namespace Papaya
