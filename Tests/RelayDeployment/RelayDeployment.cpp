#include "RelayDeployment.h"

#include "LibTransport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace Papaya {

namespace {

constexpr std::uint16_t DaemonPort = 17'720;
constexpr std::uint16_t OperatorsPort = 18'167;
constexpr std::uint16_t ApplicationPort = 18'165;
constexpr std::uint16_t OutboundPort = 18'162;
constexpr std::uint16_t StorePort = 18'169;
constexpr std::uint32_t StoreHost = 0x7f000901;
constexpr std::uint32_t FirstEntryHost = 0x7f000101;
constexpr std::uint32_t FirstTargetHost = 0x7f000201;
constexpr std::uint32_t FirstServiceAddress = 0xc6120001;
constexpr std::uint32_t FirstSpareAddress = 0xc6120101;
constexpr std::uint16_t ServicePort = 443;
constexpr Duration ReadyTimeout {20'000};
constexpr Duration ExitTimeout {8'000};
constexpr Duration PollInterval {20};
constexpr Duration CallTimeout {2'000};

Endpoint makeEndpoint(std::uint32_t host, std::uint16_t port)
{
    return {host, port};
}

std::string commonSettings(const std::string &name, std::uint32_t host)
{
    return "[relay]\nname = " + name + "\nfailure_domain = a\ndaemon = " + toString(makeEndpoint(host, DaemonPort))
           + "\noperators = " + toString(makeEndpoint(host, OperatorsPort))
           + "\ncallers = " + toString(makeEndpoint(host, RelayDeployment::CallerPort)) + "\n";
}

} // namespace

RelayDeployment::RelayDeployment(std::string programs,
                                 int entryDaemons,
                                 std::map<std::string, int> targetsOfService,
                                 const EntryOptions &entryOptions)
    : m_programs(std::move(programs))
    , m_entryDaemons(entryDaemons)
    , m_entryOptions(entryOptions)
    , m_store(std::make_unique<StoreStandIn>(makeEndpoint(StoreHost, StorePort)))
{
    std::string folder = "/tmp/papaya-relay-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("cannot create a directory for the logs and settings of the deployment");
    m_folder = folder;
    auto address = FirstServiceAddress;
    for (const auto &[service, count] : targetsOfService)
        m_addresses[service] = makeEndpoint(address++, ServicePort);
    publishRoutes(0);
    for (const auto &[service, count] : targetsOfService) {
        for (int target = 0; target < count; ++target)
            addTarget(service);
    }
    for (int entry = 0; entry < entryDaemons; ++entry)
        addEntry(entry);
    for (const auto &[name, process] : m_processes)
        start(name);
    const bool areEntriesReady = waitUntil(
        [&] {
            for (const auto &entry : entryNames()) {
                if (!isReady(entry))
                    return false;
            }
            return true;
        },
        ReadyTimeout);
    if (!areEntriesReady)
        throw std::runtime_error("the entry daemons did not become ready in time; logs are in " + m_folder);
}

RelayDeployment::~RelayDeployment()
{
    for (auto &[name, process] : m_processes) {
        if (process.pid > 0)
            ::kill(process.pid, SIGKILL);
    }
    for (auto &[name, process] : m_processes) {
        if (process.pid > 0)
            ::waitpid(process.pid, nullptr, 0);
    }
}

void RelayDeployment::publishRoutes(int spareRoutes)
{
    auto published = m_addresses;
    for (int spare = 0; spare < spareRoutes; ++spare)
        published["spare-" + std::to_string(spare)] = makeEndpoint(FirstSpareAddress + static_cast<std::uint32_t>(spare), ServicePort);
    nlohmann::json routes = nlohmann::json::array();
    for (const auto &[name, address] : published) {
        const auto text = toString(address);
        routes.push_back({{"Name", name},
                          {"Host", text.substr(0, text.find(':'))},
                          {"Prefix", "/" + std::to_string(ServicePort) + "/"},
                          {"Kind", "idempotent"},
                          {"Service", m_addresses.contains(name) ? name : m_addresses.begin()->first}});
    }
    const nlohmann::json configuration {{"Version", ++m_routesVersion}, {"Routes", routes}, {"Limits", {{"IdleTimeoutMs", 15'000}}}};
    write("op/config", configuration.dump());
}

void RelayDeployment::write(const std::string &key, const std::string &value)
{
    m_written[key] = value;
    m_store->put(key, value);
}

void RelayDeployment::rewriteStore()
{
    for (const auto &[key, value] : m_written)
        m_store->put(key, value);
}

Endpoint RelayDeployment::storeAddress(std::uint16_t port)
{
    return makeEndpoint(StoreHost, port);
}

void RelayDeployment::addTarget(const std::string &service)
{
    const auto number = static_cast<std::uint32_t>(m_targets.size());
    const auto host = FirstTargetHost + number;
    const auto name = "agent-" + std::to_string(number);
    const auto application = makeEndpoint(host, ApplicationPort);
    m_targets.push_back(std::make_unique<EchoTarget>(application, makeEndpoint(host, OutboundPort), service));
    const nlohmann::json entry {{"Service", service},
                                {"Address", toString(application)},
                                {"Zone", "a"},
                                {"Slots", 5},
                                {"State", "ready"},
                                {"ColdLeftMs", 0},
                                {"born", 1}};
    write("servers/" + name, entry.dump());
    const auto settings = commonSettings(name, host) + "service = " + service + "\ntarget = " + toString(application)
                          + "\noutbound = " + toString(makeEndpoint(host, OutboundPort)) + "\n";
    const auto path = writeSettings(name, settings);
    m_processes[name] = {{m_programs + "/papaya-relay-agentd", "--settings=" + path}, makeEndpoint(host, OperatorsPort), -1};
}

void RelayDeployment::addEntry(int number)
{
    const auto host = FirstEntryHost + static_cast<std::uint32_t>(number);
    const auto name = "entry-" + std::to_string(number);
    m_callers[name] = makeEndpoint(host, CallerPort);
    auto text = commonSettings(name, host) + "platform = " + toString(storeAddress(m_entryOptions.storePort)) + "\n";
    if (m_entryOptions.peers == PeerList::Configured)
        text += "peers = " + peerList() + "\n";
    const auto path = writeSettings(name, text);
    m_processes[name] = {{m_programs + "/papaya-relay-entryd", "--settings=" + path}, makeEndpoint(host, OperatorsPort), -1};
}

std::string RelayDeployment::peerList() const
{
    std::string list;
    for (int entry = 0; entry < m_entryDaemons; ++entry)
        list += (list.empty() ? "" : ",") + toString(makeEndpoint(FirstEntryHost + static_cast<std::uint32_t>(entry), OperatorsPort));
    return list;
}

std::string RelayDeployment::writeSettings(const std::string &name, const std::string &text) const
{
    auto path = m_folder + "/" + name + ".conf";
    std::ofstream(path) << text;
    return path;
}

void RelayDeployment::start(const std::string &name)
{
    auto &process = m_processes.at(name);
    std::vector<char *> arguments;
    for (auto &word : process.command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const auto log = m_folder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn(&process.pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
}

void RelayDeployment::signal(const std::string &name, int signal)
{
    const auto pid = m_processes.at(name).pid;
    if (pid > 0)
        ::kill(pid, signal);
}

void RelayDeployment::waitForExit(const std::string &name)
{
    auto &process = m_processes.at(name);
    const bool hasExited = waitUntil([&] { return ::waitpid(process.pid, nullptr, WNOHANG) == process.pid; }, ExitTimeout);
    if (!hasExited) {
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
    }
    process.pid = -1;
}

bool RelayDeployment::isReady(const std::string &entry, Duration limit) const
{
    HttpClient client(m_processes.at(entry).operators);
    const auto response = client.get("/readyz", limit, limit);
    return response.has_value() && response.value().status == 200;
}

std::string RelayDeployment::readOperatorEndpoint(const std::string &name, const std::string &path) const
{
    HttpClient client(m_processes.at(name).operators);
    const auto response = client.get(path, CallTimeout, CallTimeout);
    return response.has_value() ? response.value().body : "";
}

bool RelayDeployment::waitUntil(const std::function<bool()> &condition, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(PollInterval);
    }
    return condition();
}

std::vector<std::string> RelayDeployment::entryNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, endpoint] : m_callers)
        names.push_back(name);
    return names;
}

Endpoint RelayDeployment::callerEndpoint(const std::string &entry) const
{
    return m_callers.at(entry);
}

Endpoint RelayDeployment::serviceAddress(const std::string &service) const
{
    return m_addresses.at(service);
}

std::uint64_t RelayDeployment::strayPackets() const
{
    std::uint64_t count = 0;
    for (const auto &target : m_targets)
        count += target->strayPackets();
    return count;
}

} // namespace Papaya
