#include "Deployment/Deployment.h"

#include "LibProtocol/VmListJson.h"
#include "LibTransport/SocketAddress.h"
#include "LibTransport/StreamSocket.h"

#include <httplib.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace Papaya {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint16_t FirstPort = 20'000;
constexpr std::uint16_t LastPort = 32'000;
constexpr std::uint16_t PortsPerDeployment = 100;
constexpr std::array<const char *, 3> FailureDomains {"patan", "bhaktapur", "kirtipur"};
constexpr auto StartTimeout = 30s;
constexpr auto PollInterval = 20ms;
constexpr auto ProbeTimeout = 1s;

bool isPortFree(const Endpoint &endpoint, int type)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    const auto address = toSocketAddress(endpoint);
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return isBound;
}

httplib::Client makeClient(const Endpoint &endpoint)
{
    httplib::Client client("127.0.0.1", endpoint.port);
    client.set_connection_timeout(1s);
    client.set_read_timeout(5s);
    return client;
}

} // namespace

Deployment::Deployment(DeploymentPlan plan)
    : m_plan(std::move(plan))
    , m_nextPort(static_cast<std::uint16_t>(FirstPort + (::getpid() % 110) * PortsPerDeployment))
{
    std::string folder = (std::filesystem::temp_directory_path() / "papaya-XXXXXX").string();
    m_folder = ::mkdtemp(folder.data());
    m_platform = allocateAddress();
    m_fabricAddress = allocateAddress();
    m_fabricOperator = allocateAddress();
    m_vmList.version = 1;
    for (int index = 1; index <= m_plan.entryDaemons; ++index)
        prepareEntry("entry-" + std::to_string(index));
    for (const auto &service : m_plan.services) {
        m_callerAddresses[service.name] = allocateAddress();
        for (int index = 1; index <= service.targets; ++index)
            prepareTarget(service, service.name + "-" + std::to_string(index));
    }
}

Deployment::~Deployment()
{
    for (auto &[name, process] : m_processes) {
        if (process.pid > 0)
            ::kill(process.pid, SIGKILL);
    }
    for (auto &[name, process] : m_processes) {
        if (process.pid > 0)
            ::waitpid(process.pid, nullptr, 0);
    }
    std::error_code ignored;
    if (std::getenv("PAPAYA_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
}

bool Deployment::start()
{
    startPlatform();
    const bool isPlatformUp = waitUntil([&] { return bool(makeClient(m_platform).Get("/reads")); }, StartTimeout);
    if (!isPlatformUp)
        return false;
    if (m_plan.publishesBeforeStart) {
        publishConfiguration(1);
        publishVmList();
    }
    startFabric();
    for (const auto &[name, addresses] : m_targets)
        startProcess("target-" + name);
    if (!waitUntil([&] { return isFabricListening() && areTargetsListening(); }, StartTimeout))
        return false;
    for (const auto &machine : m_vmList.machines)
        startProcess(machine.name);
    return !m_plan.publishesBeforeStart || waitUntil([&] { return areDaemonsReady(); }, StartTimeout);
}

void Deployment::startProcess(const std::string &name)
{
    spawn(m_processes.at(name));
}

void Deployment::signalProcess(const std::string &name, int signal)
{
    const auto pid = m_processes.at(name).pid;
    if (pid > 0)
        ::kill(pid, signal);
}

bool Deployment::waitForExit(const std::string &name, std::chrono::milliseconds timeout)
{
    return waitUntil([&] { return !isRunning(name); }, timeout);
}

void Deployment::killProcess(const std::string &name)
{
    signalProcess(name, SIGKILL);
    auto &process = m_processes.at(name);
    if (process.pid > 0)
        ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
}

bool Deployment::isRunning(const std::string &name)
{
    auto &process = m_processes.at(name);
    if (process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid)
        process.pid = -1;
    return process.pid > 0;
}

void Deployment::addEntry(const std::string &name)
{
    prepareEntry(name);
    ++m_vmList.version;
    publishVmList();
    startProcess(name);
}

bool Deployment::addTarget(const TestService &service, const std::string &name)
{
    prepareTarget(service, name);
    startProcess("target-" + name);
    if (!waitUntil([&] { return areTargetsListening(); }, StartTimeout))
        return false;
    ++m_vmList.version;
    publishVmList();
    startProcess(name);
    return true;
}

void Deployment::removeVm(const std::string &name)
{
    std::erase_if(m_vmList.machines, [&](const VirtualMachine &machine) { return machine.name == name; });
    ++m_vmList.version;
    publishVmList();
}

void Deployment::setVmState(const std::string &name, VmState state)
{
    for (auto &machine : m_vmList.machines) {
        if (machine.name == name)
            machine.state = state;
    }
    ++m_vmList.version;
    publishVmList();
}

void Deployment::publishConfiguration(std::uint64_t revision, std::optional<std::string> text)
{
    makeClient(m_platform).Put("/configuration?version=" + std::to_string(revision), text.value_or(configurationText()), "text/plain");
}

void Deployment::publishVmList()
{
    makeClient(m_platform).Put("/vms?version=" + std::to_string(m_vmList.version), formatVmList(m_vmList), "text/plain");
}

void Deployment::sprayOver(const std::vector<std::string> &entries)
{
    std::string body;
    for (const auto &entry : entries)
        body += (body.empty() ? "" : ",") + toString(m_fabricSockets.at(entry));
    makeClient(m_fabricOperator).Put("/entries", body, "text/plain");
}

void Deployment::setFaults(double drop, double duplicate, double delay)
{
    std::ostringstream path;
    path << "/faults?drop=" << drop << "&duplicate=" << duplicate << "&delay=" << delay;
    makeClient(m_fabricOperator).Put(path.str(), "", "text/plain");
}

void Deployment::setPlatformDown(bool isDown)
{
    makeClient(m_platform).Post(isDown ? "/down" : "/up", "", "text/plain");
}

std::string Deployment::configurationText() const
{
    std::string text;
    for (const auto &service : m_plan.services) {
        text += "[service " + service.name + "]\n";
        text += "addresses = " + toString(service.address) + "\n";
        text += "protocol = " + service.protocol + "\n";
        text += "target_group = " + service.name + "\n";
        text += "slots = " + std::to_string(service.slots) + "\n";
        text += service.extraText;
    }
    return text;
}

Endpoint Deployment::callerAddress(const std::string &service) const
{
    return m_callerAddresses.at(service);
}

std::vector<std::string> Deployment::entryNames() const
{
    std::vector<std::string> names;
    for (const auto &machine : m_vmList.machines) {
        if (machine.role == VmRole::Entry)
            names.push_back(machine.name);
    }
    return names;
}

std::vector<std::string> Deployment::targetNames(const std::string &service) const
{
    std::vector<std::string> names;
    for (const auto &machine : m_vmList.machines) {
        if (machine.group == service)
            names.push_back(machine.name);
    }
    return names;
}

std::optional<std::string> Deployment::readOperatorEndpoint(const std::string &name, const std::string &path) const
{
    const auto response = makeClient(m_operatorAddresses.at(name)).Get(path);
    if (!response || response->status != 200)
        return std::nullopt;
    return response->body;
}

double Deployment::readMetric(const std::string &name, const std::string &metric) const
{
    const auto text = readOperatorEndpoint(name, "/metrics").value_or("");
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(metric + " "))
            return std::strtod(line.c_str() + metric.size() + 1, nullptr);
    }
    return 0;
}

std::string Deployment::readJournals(const std::string &service) const
{
    std::string journals;
    for (const auto &[name, ports] : m_targets) {
        if (m_serviceOfTarget.at(name) != service)
            continue;
        if (const auto response = makeClient(ports.journal).Get("/journal"))
            journals += response->body;
    }
    return journals;
}

void Deployment::postTarget(const std::string &target, const std::string &path) const
{
    makeClient(m_targets.at(target).journal).Post(path, "", "text/plain");
}

bool Deployment::waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

Endpoint Deployment::allocateAddress()
{
    while (true) {
        const Endpoint endpoint {Loopback, m_nextPort};
        m_nextPort = m_nextPort >= LastPort ? FirstPort : static_cast<std::uint16_t>(m_nextPort + 1);
        if (isPortFree(endpoint, SOCK_STREAM) && isPortFree(endpoint, SOCK_DGRAM))
            return endpoint;
    }
}

void Deployment::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream(m_folder + "/" + name) << text;
}

std::string Deployment::program(const std::string &name) const
{
    return m_plan.programs + "/" + name;
}

void Deployment::spawn(TestProcess process)
{
    std::vector<char *> arguments;
    for (auto &argument : process.command)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);

    const auto log = m_folder + "/" + process.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn(&process.pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    const auto name = process.name;
    m_processes[name] = std::move(process);
}

void Deployment::startPlatform()
{
    spawn({"platform", "platform", toString(m_platform), {program("standin-platform"), "--port=" + std::to_string(m_platform.port)}});
}

void Deployment::startFabric()
{
    std::string services;
    for (const auto &service : m_plan.services)
        services += (services.empty() ? "" : ",") + toString(service.address) + "=" + toString(m_callerAddresses.at(service.name));
    std::string entries;
    for (const auto &[name, address] : m_fabricSockets)
        entries += (entries.empty() ? "" : ",") + toString(address);
    spawn({"fabric",
           "fabric",
           toString(m_fabricAddress),
           {program("standin-fabric"),
            "--listen=" + toString(m_fabricAddress),
            "--services=" + services,
            "--entries=" + entries,
            "--operator_port=" + std::to_string(m_fabricOperator.port),
            "--seed=" + std::to_string(m_plan.seed)}});
}

void Deployment::prepareEntry(const std::string &name)
{
    VirtualMachine machine;
    machine.name = name;
    machine.role = VmRole::Entry;
    machine.failureDomain = FailureDomains.at(m_vmList.machines.size() % FailureDomains.size());
    machine.daemon = allocateAddress();
    m_vmList.machines.push_back(machine);
    m_operatorAddresses[name] = allocateAddress();
    m_fabricSockets[name] = allocateAddress();
    writeFile(name + ".ini",
              "[daemon]\nname = " + name + "\nfailure_domain = " + machine.failureDomain + "\ndaemon = " + toString(machine.daemon)
                  + "\noperators = " + toString(m_operatorAddresses[name]) + "\nplatform = " + toString(m_platform)
                  + "\nfabric_listen = " + toString(m_fabricSockets[name]) + "\n");
    m_processes[name] = {
        "entry", name, toString(m_operatorAddresses[name]), {program("papaya-entryd"), "--settings=" + m_folder + "/" + name + ".ini"}};
}

void Deployment::prepareTarget(const TestService &service, const std::string &name)
{
    VirtualMachine machine;
    machine.name = name;
    machine.role = VmRole::Target;
    machine.group = service.name;
    machine.failureDomain = FailureDomains.at(m_vmList.machines.size() % FailureDomains.size());
    machine.daemon = allocateAddress();
    m_vmList.machines.push_back(machine);
    m_operatorAddresses[name] = allocateAddress();
    m_targets[name] = {allocateAddress(), allocateAddress()};
    m_serviceOfTarget[name] = service.name;
    const auto &ports = m_targets[name];
    writeFile(name + ".ini",
              "[daemon]\nname = " + name + "\nfailure_domain = " + machine.failureDomain + "\ndaemon = " + toString(machine.daemon)
                  + "\noperators = " + toString(m_operatorAddresses[name]) + "\nplatform = " + toString(m_platform)
                  + "\nfabric = " + toString(m_fabricAddress) + "\ntarget = " + toString(ports.target) + "\n");
    m_processes[name] = {
        "agent", name, toString(m_operatorAddresses[name]), {program("papaya-agentd"), "--settings=" + m_folder + "/" + name + ".ini"}};
    m_processes["target-" + name] = {"target",
                                     "target-" + name,
                                     toString(ports.target),
                                     {program("standin-target"),
                                      "--protocol=" + service.protocol,
                                      "--port=" + std::to_string(ports.target.port),
                                      "--journal_port=" + std::to_string(ports.journal.port),
                                      "--slots=" + std::to_string(service.slots),
                                      "--name=" + name}};
}

bool Deployment::isFabricListening() const
{
    const auto response = makeClient(m_fabricOperator).Get("/listeners");
    if (!response || response->status != 200)
        return false;
    std::istringstream lines(response->body);
    std::set<std::string> listeners;
    for (std::string line; std::getline(lines, line);)
        listeners.insert(line);
    return std::all_of(m_callerAddresses.begin(), m_callerAddresses.end(), [&](const auto &caller) {
        return listeners.contains(toString(caller.second));
    });
}

bool Deployment::areTargetsListening() const
{
    const auto isListening = [](const Endpoint &endpoint) { return probeTcpPort(endpoint, ProbeTimeout) == PortState::Open; };
    return std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &target) {
        return isListening(target.second.target) && isListening(target.second.journal);
    });
}

bool Deployment::areDaemonsReady() const
{
    for (const auto &machine : m_vmList.machines) {
        if (!readOperatorEndpoint(machine.name, "/readyz"))
            return false;
    }
    // Each entry daemon must have received a heartbeat from every agent before the fabric sends it the first packet.
    for (const auto &entry : entryNames()) {
        for (const auto &service : m_plan.services) {
            if (readMetric(entry, "papaya_eligible_targets_" + service.name) < service.targets)
                return false;
        }
    }
    return true;
}

} // namespace Papaya
