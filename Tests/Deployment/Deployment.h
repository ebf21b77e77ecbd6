#pragma once

#include "LibState/VmList.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Papaya {

/// A service of a deployment under test.
struct TestService {
    std::string name;
    Endpoint address;
    /// `tcp` or `http`.
    std::string protocol;
    int targets = 1;
    /// Requests that each target runs at the same time.
    int slots = 7;
    /// Further lines of the service's section in the configuration text.
    std::string extraText;
};

/// The services and processes of a deployment.
struct DeploymentPlan {
    std::vector<TestService> services;
    int entryDaemons = 3;
    std::uint64_t seed = 1;
    /// Folder of the programs.
    std::string programs;
    /// Whether the configuration text and the VM list are published to the platform before the daemons start.
    bool publishesBeforeStart = true;
};

/// One process of a deployment.
struct TestProcess {
    std::string role;
    std::string name;
    std::string address;
    std::vector<std::string> command;
    pid_t pid = -1;
};

/// A complete deployment on loopback: the product's daemons and the stand-ins, each as a separate process. The destructor kills
/// all of them by their process id.
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts every process and waits until the stand-ins listen and all daemons are ready. Returns false if that takes too long. If
    /// the plan does not publish before the start, the daemons cannot become ready and are not waited for.
    [[nodiscard]] bool start();

    /// Starts a process of the deployment that has not been started or has exited. A restart keeps its name and addresses.
    void startProcess(const std::string &name);
    /// Sends a signal to a process; does nothing if the process is not running.
    void signalProcess(const std::string &name, int signal);
    /// Waits until a process has exited. Returns false after the timeout.
    [[nodiscard]] bool waitForExit(const std::string &name, std::chrono::milliseconds timeout);
    /// Kills a process with SIGKILL and waits until it has exited.
    void killProcess(const std::string &name);
    [[nodiscard]] bool isRunning(const std::string &name);

    /// Adds an entry VM to the VM list, publishes the list, and starts the VM's daemon.
    void addEntry(const std::string &name);
    /// Starts a target, waits until it listens, adds its VM to the VM list, publishes the list, and starts the VM's daemon. Returns
    /// false if the target does not listen in time.
    [[nodiscard]] bool addTarget(const TestService &service, const std::string &name);
    /// Removes a VM from the VM list, or sets its state, and publishes the list.
    void removeVm(const std::string &name);
    void setVmState(const std::string &name, VmState state);

    /// Publishes a configuration text with a revision; if no text is given, the text of the plan.
    void publishConfiguration(std::uint64_t revision, std::optional<std::string> text = std::nullopt);
    void publishVmList();
    /// Sets the entry daemons over which the fabric distributes callers' packets at random.
    void sprayOver(const std::vector<std::string> &entries);
    /// Sets the fractions of packets that the fabric drops, duplicates and delays.
    void setFaults(double drop, double duplicate, double delay);
    /// Makes the platform answer all reads with status 503, or with the published texts again.
    void setPlatformDown(bool isDown);

    /// Returns the configuration text of the plan.
    [[nodiscard]] std::string configurationText() const;

    /// Returns the loopback address on which callers reach a service.
    [[nodiscard]] Endpoint callerAddress(const std::string &service) const;
    [[nodiscard]] const std::map<std::string, TestProcess> &processes() const { return m_processes; }
    [[nodiscard]] std::vector<std::string> entryNames() const;
    [[nodiscard]] std::vector<std::string> targetNames(const std::string &service) const;

    /// Returns the body of the response to a GET request at a daemon's operator address; std::nullopt if there is no response or its
    /// status is not 200.
    [[nodiscard]] std::optional<std::string> readOperatorEndpoint(const std::string &name, const std::string &path) const;
    /// Returns the value of a daemon's metric; 0 if it is missing.
    [[nodiscard]] double readMetric(const std::string &name, const std::string &metric) const;
    /// Returns the concatenated journals of all targets of a service.
    [[nodiscard]] std::string readJournals(const std::string &service) const;
    /// Sends a POST request to the journal port of a stand-in target.
    void postTarget(const std::string &target, const std::string &path) const;

    /// Waits until a condition holds. Returns false after the timeout.
    [[nodiscard]] static bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout);

    /// Folder with the settings and the logs of all processes. The destructor removes the folder unless PAPAYA_KEEP_LOGS is set in the
    /// environment.
    [[nodiscard]] const std::string &folder() const { return m_folder; }

private:
    struct TargetAddresses {
        Endpoint target;
        Endpoint journal;
    };

    /// Returns a loopback address whose port is free for TCP and UDP.
    [[nodiscard]] Endpoint allocateAddress();
    void writeFile(const std::string &name, const std::string &text) const;
    [[nodiscard]] std::string program(const std::string &name) const;
    void spawn(TestProcess process);
    void startPlatform();
    void startFabric();
    /// Adds a VM to the VM list, allocates its addresses, writes its settings file and prepares its processes without starting
    /// them.
    void prepareEntry(const std::string &name);
    void prepareTarget(const TestService &service, const std::string &name);
    /// Returns whether the fabric listens on its operator port and on the caller address of every service. The fabric is asked for its
    /// listeners, since a connection to a caller address would open a flow.
    [[nodiscard]] bool isFabricListening() const;
    /// Returns whether every target listens on its target address and on its journal address.
    [[nodiscard]] bool areTargetsListening() const;
    [[nodiscard]] bool areDaemonsReady() const;

    DeploymentPlan m_plan;
    std::string m_folder;
    std::uint16_t m_nextPort;
    Endpoint m_platform;
    Endpoint m_fabricAddress;
    Endpoint m_fabricOperator;
    VmList m_vmList;
    std::map<std::string, TestProcess> m_processes;
    std::map<std::string, Endpoint> m_operatorAddresses;
    std::map<std::string, Endpoint> m_fabricSockets;
    std::map<std::string, TargetAddresses> m_targets;
    std::map<std::string, Endpoint> m_callerAddresses;
    std::map<std::string, std::string> m_serviceOfTarget;
};

} // namespace Papaya
