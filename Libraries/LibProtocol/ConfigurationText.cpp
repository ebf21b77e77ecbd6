#include "LibProtocol/ConfigurationText.h"

#include "LibProtocol/SectionReader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace Papaya {

namespace {

constexpr std::string_view ServicePrefix = "service ";
constexpr int SlotsLimit = 10'000;
constexpr int QueueLimitLimit = 100'000;
constexpr int ConnectionLimitLimit = 1'000'000;
constexpr std::chrono::milliseconds LeastDeadline {1};
constexpr std::chrono::milliseconds GreatestDeadline {24L * 60 * 60 * 1'000};

/// A service together with the lines that later checks name.
struct ReadService {
    ServiceConfiguration service;
    int addressesLine = 0;
    int groupLine = 0;
    int dependsLine = 0;
};

void readProtocol(SectionReader &reader, ServiceProtocol &protocol)
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

ReadService readService(const IniSection &section, std::vector<Failure> &failures)
{
    ReadService read;
    auto &service = read.service;
    service.name = section.name.substr(ServicePrefix.size());
    SectionReader reader(section, failures);
    reader.read("addresses", service.addresses);
    if (service.addresses.empty())
        reader.fail(FailureKind::MissingKey, "addresses");
    readProtocol(reader, service.protocol);
    reader.readRequired("target_group", service.targetGroup);
    reader.read("slots", service.slots, 1, SlotsLimit);
    reader.read("queue_limit", service.queueLimit, 0, QueueLimitLimit);
    reader.read("connection_limit", service.connectionLimit, 1, ConnectionLimitLimit);
    reader.read("deadline_ms", service.deadline, LeastDeadline, GreatestDeadline);
    reader.read("depends_on", service.dependsOn);
    reader.finish();
    read.addressesLine = reader.lineOf("addresses");
    read.groupLine = reader.lineOf("target_group");
    read.dependsLine = reader.lineOf("depends_on");
    return read;
}

void checkAddresses(const std::vector<ReadService> &services, std::vector<Failure> &failures)
{
    std::set<Endpoint> seen;
    for (const auto &read : services) {
        for (const auto &address : read.service.addresses) {
            if (!seen.insert(address).second)
                failures.push_back({FailureKind::DuplicateAddress, read.addressesLine, toString(address)});
        }
    }
}

void checkGroups(const std::vector<ReadService> &services, std::vector<Failure> &failures)
{
    std::set<std::string> seen;
    for (const auto &read : services) {
        if (!read.service.targetGroup.empty() && !seen.insert(read.service.targetGroup).second)
            failures.push_back({FailureKind::TargetGroupOfTwoServices, read.groupLine, read.service.targetGroup});
    }
}

void checkDependencies(const std::vector<ReadService> &services, std::vector<Failure> &failures)
{
    std::map<std::string, const ReadService *> byName;
    for (const auto &read : services)
        byName.emplace(read.service.name, &read);
    for (const auto &read : services) {
        for (const auto &dependency : read.service.dependsOn) {
            if (!byName.contains(dependency))
                failures.push_back({FailureKind::UnknownDependency, read.dependsLine, dependency});
        }
    }

    enum class Visit { None, Open, Done };
    std::map<std::string, Visit> visits;
    const std::function<void(const ReadService &)> visit = [&](const ReadService &read) {
        auto &state = visits[read.service.name];
        if (state == Visit::Open)
            failures.push_back({FailureKind::DependencyCycle, read.dependsLine, read.service.name});
        if (state != Visit::None)
            return;
        state = Visit::Open;
        for (const auto &dependency : read.service.dependsOn) {
            if (const auto found = byName.find(dependency); found != byName.end())
                visit(*found->second);
        }
        visits[read.service.name] = Visit::Done;
    };
    for (const auto &read : services)
        visit(read);
}

} // namespace

Configuration readConfiguration(std::string_view text, std::vector<Failure> &failures)
{
    const auto document = parseIni(text, failures);
    std::vector<ReadService> services;
    for (const auto &section : document.sections) {
        if (section.name.starts_with(ServicePrefix) && section.name.size() > ServicePrefix.size())
            services.push_back(readService(section, failures));
        else
            failures.push_back({FailureKind::UnknownSection, section.line, section.name});
    }
    checkAddresses(services, failures);
    checkGroups(services, failures);
    checkDependencies(services, failures);

    Configuration configuration;
    for (auto &read : services)
        configuration.services.push_back(std::move(read.service));
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
