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

/// How entry daemons reach others.
struct EntryLinks {
    Peers peers = Peers::Unknown;
    /// Where they expect the store: the store itself, or a proxy before it.
    std::uint16_t storePort = 18'169;
};

/// The relaying daemons as processes on loopback, each VM an address of 127.0.0.0/8, with a store and targets in this process.
/// Ends every process that it started, by pid.
class RelayDeployment
{
public:
    /// Starts the store, the targets of each service and all daemons, and waits until the entry daemons are ready.
    RelayDeployment(std::string programs, int entryDaemons, std::map<std::string, int> targetsOfService, const EntryLinks &links = {});
    ~RelayDeployment();
    RelayDeployment(const RelayDeployment &) = delete;
    RelayDeployment &operator=(const RelayDeployment &) = delete;

    void start(const std::string &name);
    void signal(const std::string &name, int signal);
    [[nodiscard]] bool isRunning(const std::string &name) const { return m_processes.at(name).pid > 0; }
    /// Waits for the end of a process that was signalled; kills it after a while.
    void awaitEnd(const std::string &name);

    [[nodiscard]] bool isReady(const std::string &entry, Duration limit = Duration(2'000)) const;
    [[nodiscard]] std::string readOperatorEndpoint(const std::string &name, const std::string &path) const;
    [[nodiscard]] static bool waitUntil(const std::function<bool()> &condition, Duration limit);

    /// The folder with each process's log, NAME.log; it stays.
    [[nodiscard]] const std::string &folder() const { return m_folder; }
    [[nodiscard]] std::vector<std::string> entries() const;
    /// Where the fabric delivers callers' packets to an entry daemon.
    [[nodiscard]] Endpoint callersOf(const std::string &entry) const;
    /// The address that routes to a service.
    [[nodiscard]] Endpoint addressOf(const std::string &service) const;
    /// Publishes the next version of the configuration, with or without a route that nobody uses.
    void republishRoutes(int spareRoutes);
    [[nodiscard]] static Endpoint storeAddress(std::uint16_t port);
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
    [[nodiscard]] std::string peerList() const;
    [[nodiscard]] std::string writeSettings(const std::string &name, const std::string &text) const;

    std::string m_programs;
    int m_entryDaemons;
    EntryLinks m_links;
    std::string m_folder;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<EchoTarget>> m_targets;
    std::map<std::string, Process> m_processes;
    std::map<std::string, Endpoint> m_callers;
    std::map<std::string, Endpoint> m_addresses;
    std::uint64_t m_routesVersion = 0;
};

} // namespace Papaya
