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
    std::string protocol;
    int targets = 1;
    int slots = 7;
    std::string extraText;
};

/// What a deployment consists of.
struct DeploymentPlan {
    std::vector<TestService> services;
    int entryDaemons = 3;
    std::uint64_t seed = 1;
    /// Folder of the programs.
    std::string programs;
    /// Whether the platform has its text and list before the daemons start.
    bool publishesFirst = true;
};

/// One process of a deployment.
struct TestProcess {
    std::string role;
    std::string name;
    std::string address;
    std::vector<std::string> command;
    pid_t pid = -1;
};

/// A whole system on loopback: the product's daemons and the stand-ins, each a process of its own. Ends all of them, by pid,
/// when it is destroyed.
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts every process and waits until all daemons are ready. Returns whether they became so in time.
    [[nodiscard]] bool start();

    /// Starts one more daemon, or one that was ended, under the same name and addresses.
    void startProcess(const std::string &name);
    /// Sends a signal to a process.
    void signalProcess(const std::string &name, int signal);
    /// Waits until a process ended. Returns whether it did in time.
    [[nodiscard]] bool waitForEnd(const std::string &name, std::chrono::milliseconds limit);
    /// Kills a process and waits for its end.
    void killProcess(const std::string &name);
    [[nodiscard]] bool isRunning(const std::string &name);

    /// Adds an entry VM or a target VM to the list, and starts its processes.
    void addEntry(const std::string &name);
    void addTarget(const TestService &service, const std::string &name);
    /// Removes a VM from the list, or marks it as leaving, and publishes the list.
    void removeMachine(const std::string &name);
    void setMachineState(const std::string &name, VmState state);

    /// Publishes a configuration under a revision; the text of the plan when none is given.
    void publishConfiguration(std::uint64_t revision, std::optional<std::string> text = std::nullopt);
    void publishMachines();
    /// Sets the entry daemons over which the fabric sprays.
    void sprayOver(const std::vector<std::string> &entries);
    void setFaults(double drop, double duplicate, double delay);
    void setPlatformDown(bool isDown);

    /// Returns the text of the plan's configuration.
    [[nodiscard]] std::string configurationText() const;

    /// Returns the loopback address on which callers reach a service.
    [[nodiscard]] Endpoint callerAddress(const std::string &service) const;
    [[nodiscard]] const std::map<std::string, TestProcess> &processes() const { return m_processes; }
    [[nodiscard]] std::vector<std::string> entryNames() const;
    [[nodiscard]] std::vector<std::string> targetNames(const std::string &service) const;

    /// Reads a path of a daemon's operator address; nothing when it does not answer.
    [[nodiscard]] std::optional<std::string> readOperatorEndpoint(const std::string &name, const std::string &path) const;
    /// Returns a number of a daemon's metrics; 0 where it is missing.
    [[nodiscard]] double readMetric(const std::string &name, const std::string &metric) const;
    /// Returns the journals of all targets of a service together.
    [[nodiscard]] std::string readJournals(const std::string &service) const;
    /// Posts to the operator address of a stand-in target.
    void postTarget(const std::string &target, const std::string &path) const;

    /// Waits until a condition holds. Returns whether it did in time.
    [[nodiscard]] static bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    /// Folder with the settings and the logs of all processes.
    [[nodiscard]] const std::string &folder() const { return m_folder; }

private:
    struct TargetPorts {
        Endpoint target;
        Endpoint journal;
    };

    [[nodiscard]] Endpoint allocate();
    void writeFile(const std::string &name, const std::string &text) const;
    [[nodiscard]] std::string program(const std::string &name) const;
    void spawn(TestProcess process);
    void startPlatform();
    void startFabric();
    void planEntry(const std::string &name);
    void planTarget(const TestService &service, const std::string &name);
    [[nodiscard]] bool areDaemonsReady() const;

    DeploymentPlan m_plan;
    std::string m_folder;
    std::uint16_t m_nextPort;
    Endpoint m_platform;
    Endpoint m_fabricAnswers;
    Endpoint m_fabricOperator;
    VmList m_machines;
    std::map<std::string, TestProcess> m_processes;
    std::map<std::string, Endpoint> m_operators;
    std::map<std::string, Endpoint> m_fabricSockets;
    std::map<std::string, TargetPorts> m_targets;
    std::map<std::string, Endpoint> m_callerAddresses;
    std::map<std::string, std::string> m_serviceOfTarget;
};

} // namespace Papaya
