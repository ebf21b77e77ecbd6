#pragma once

#include "EchoTarget.h"
#include "StoreStandIn.h"

#include "LibState/Clock.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Papaya {

/// Whether entry daemons are told of each other.
enum class Peers {
    Unknown,
    Named,
};

/// The relaying daemons as processes on loopback, each VM an address of 127.0.0.0/8, with a store and targets in this process.
/// Ends every process that it started, by pid.
class RelayDeployment
{
public:
    /// Starts the store, the targets of each service and all daemons, and waits until the entry daemons are ready.
    RelayDeployment(std::string programs, int entryDaemons, std::map<std::string, int> targetsOfService, Peers peers = Peers::Unknown);
    ~RelayDeployment();
    RelayDeployment(const RelayDeployment &) = delete;
    RelayDeployment &operator=(const RelayDeployment &) = delete;

    void start(const std::string &name);
    void signal(const std::string &name, int signal);
    /// Waits for the end of a process that was signalled; kills it after a while.
    void awaitEnd(const std::string &name);

    [[nodiscard]] bool isReady(const std::string &entry) const;
    [[nodiscard]] std::string readOperator(const std::string &name, const std::string &path) const;
    [[nodiscard]] static bool waitUntil(const std::function<bool()> &condition, Duration limit);

    [[nodiscard]] std::vector<std::string> entries() const;
    /// Where the fabric delivers callers' packets to an entry daemon.
    [[nodiscard]] Endpoint callersOf(const std::string &entry) const;
    /// The address that routes to a service.
    [[nodiscard]] Endpoint addressOf(const std::string &service) const;
    [[nodiscard]] StoreStandIn &store() { return *m_store; }
    [[nodiscard]] std::uint64_t strayPackets() const;

    /// The port on which callers take packets, each at its own address.
    static constexpr std::uint16_t CallerPort = 18'172;

private:
    struct Process {
        std::vector<std::string> command;
        Endpoint operators;
        pid_t pid = -1;
    };

    void planEntry(int number);
    void planTarget(const std::string &service);
    void publishRoutes(const std::map<std::string, int> &services);
    [[nodiscard]] std::string peerList() const;
    [[nodiscard]] std::string writeSettings(const std::string &name, const std::string &text) const;

    std::string m_programs;
    int m_entryDaemons;
    Peers m_peers;
    std::string m_folder;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<EchoTarget>> m_targets;
    std::map<std::string, Process> m_processes;
    std::map<std::string, Endpoint> m_callers;
    std::map<std::string, Endpoint> m_addresses;
};

} // namespace Papaya
