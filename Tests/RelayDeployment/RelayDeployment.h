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

/// Whether the settings of entry daemons list the other entry daemons as peers.
enum class PeerList {
    Omitted,
    Configured,
};

/// Settings of the entry daemons.
struct EntryOptions {
    PeerList peers = PeerList::Omitted;
    /// The port at which entry daemons reach the store: that of the store itself or of a proxy.
    std::uint16_t storePort = 18'169;
};

/// Runs the relaying daemons as processes on loopback, with a store and targets in this process. Each VM has its own address in
/// 127.0.0.0/8. The destructor kills the started processes by pid.
class RelayDeployment
{
public:
    /// Starts the store, the targets of each service and all daemons, and waits until the entry daemons are ready.
    RelayDeployment(std::string programs,
                    int entryDaemons,
                    std::map<std::string, int> targetsOfService,
                    const EntryOptions &entryOptions = {});
    ~RelayDeployment();
    RelayDeployment(const RelayDeployment &) = delete;
    RelayDeployment &operator=(const RelayDeployment &) = delete;

    /// Starts the process of a daemon, such as `entry-0` or `agent-0`.
    void start(const std::string &name);
    /// Sends a signal to a daemon if it is running.
    void signal(const std::string &name, int signal);
    [[nodiscard]] bool isRunning(const std::string &name) const { return m_processes.at(name).pid > 0; }
    /// Waits until a daemon that was sent a signal has exited. Kills the daemon with SIGKILL if it runs for more than 8 s.
    void waitForExit(const std::string &name);

    /// Returns whether /readyz of an entry daemon returns 200 within `limit`.
    [[nodiscard]] bool isReady(const std::string &entry, Duration limit = Duration(2'000)) const;
    /// Returns the address of a daemon's HTTP server for operators.
    [[nodiscard]] Endpoint operatorEndpoint(const std::string &name) const { return m_processes.at(name).operators; }
    /// Returns the body of a GET request to a daemon's HTTP server for operators. Empty on failure.
    [[nodiscard]] std::string readOperatorEndpoint(const std::string &name, const std::string &path) const;
    /// Polls `condition` until it holds, at most for `limit`. Returns whether it holds.
    [[nodiscard]] static bool waitUntil(const std::function<bool()> &condition, Duration limit);

    /// The directory with the settings and the log (NAME.log) of each process. It is not removed.
    [[nodiscard]] const std::string &folder() const { return m_folder; }
    /// The names of the entry daemons.
    [[nodiscard]] std::vector<std::string> entryNames() const;
    /// The endpoint at which an entry daemon receives packets of callers from the fabric.
    [[nodiscard]] Endpoint callerEndpoint(const std::string &entry) const;
    /// The virtual endpoint that is routed to a service.
    [[nodiscard]] Endpoint serviceAddress(const std::string &service) const;
    /// Publishes the next version of the configuration in the store, with `spareRoutes` additional routes that no flow uses.
    void publishRoutes(int spareRoutes);
    /// The version of the configuration that was published last.
    [[nodiscard]] std::uint64_t routesVersion() const { return m_routesVersion; }
    /// Writes the newest configuration and the entries of all targets again, as the operators and the targets do after the store was
    /// restored.
    void rewriteStore();
    /// Returns the endpoint at a port of the store's host.
    [[nodiscard]] static Endpoint storeAddress(std::uint16_t port);
    [[nodiscard]] StoreStandIn &store() { return *m_store; }
    /// Returns the number of packets that targets received for flows that they had not opened.
    [[nodiscard]] std::uint64_t strayPackets() const;

    /// The port at which each caller receives packets on its own address.
    static constexpr std::uint16_t CallerPort = 18'172;

private:
    struct Process {
        std::vector<std::string> command;
        Endpoint operators;
        pid_t pid = -1;
    };

    void addEntry(int number);
    void addTarget(const std::string &service);
    void write(const std::string &key, const std::string &value);
    [[nodiscard]] std::string peerList() const;
    [[nodiscard]] std::string writeSettings(const std::string &name, const std::string &text) const;

    std::string m_programs;
    int m_entryDaemons;
    EntryOptions m_entryOptions;
    std::string m_folder;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<EchoTarget>> m_targets;
    std::map<std::string, Process> m_processes;
    std::map<std::string, Endpoint> m_callers;
    std::map<std::string, Endpoint> m_addresses;
    std::uint64_t m_routesVersion = 0;
    /// The values written to the store last, by key.
    std::map<std::string, std::string> m_written;
};

} // namespace Papaya
