#pragma once

#include "LibCoordination/AgentRelay.h"
#include "LibCoordination/EntryRelay.h"
#include "LibEmulator/EmulatedCallers.h"
#include "LibEmulator/EmulatedTarget.h"
#include "LibProtocol/RelayCodec.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace Papaya::Emulator {

/// Properties of the emulated network.
struct NetworkOptions {
    /// Delay from an entry daemon to an agent of the same failure domain.
    Duration sameDomainDelay {0};
    /// Delay from an entry daemon to an agent of another failure domain, and from any agent to an entry daemon.
    Duration crossDomainDelay {1};
    /// Delay of packets from and to callers.
    Duration callerDelay {1};
    /// Probability with which a datagram is lost, from 0 to 1.
    double lossRate = 0;
    /// Time until an entry daemon receives a target or a route table that the platform publishes.
    Duration publicationDelay {5};
};

/// Properties of a simulated system of callers, entry daemons, agents and targets.
struct SimulationOptions {
    std::uint64_t seed = 1;
    std::size_t entryDaemons = 3;
    std::vector<std::string> failureDomains {"domain-a", "domain-b", "domain-c"};
    std::vector<TargetOptions> targets;
    std::vector<Route> routes;
    std::vector<RequestKind> kinds;
    NetworkOptions network;
    ChoiceWeights weights;
};

/// Makes the options of `count` targets of a service, spread over the failure domains. The targets get `speeds` in turn, or speed 1
/// if `speeds` is empty. addTarget() assigns the addresses.
[[nodiscard]] std::vector<TargetOptions> makeTargets(const std::string &service, std::size_t count, std::span<const double> speeds);

/// Makes a route with one service and idempotent requests.
[[nodiscard]] Route makeRoute(const Endpoint &address, const std::string &service);

/// Simulates a relay system in virtual time. It runs the production decision code and codec of the relay daemons between emulated
/// callers and targets. The emulated fabric hashes flows over the entry daemons that are in rotation. A run is deterministic for
/// a given seed.
class RelaySimulation
{
public:
    explicit RelaySimulation(SimulationOptions options);
    ~RelaySimulation();
    RelaySimulation(const RelaySimulation &) = delete;
    RelaySimulation &operator=(const RelaySimulation &) = delete;

    /// Runs the simulation for a duration of virtual time.
    void run(Duration duration);
    /// Schedules an action after a delay.
    void schedule(Duration delay, EventQueue::Action action) { m_events.schedule(delay, std::move(action)); }
    /// Makes the callers generate requests for a duration from now on.
    void startCallers(Duration duration);

    /// Kills an entry daemon, which loses its state. The fabric takes the daemon out of rotation one second later.
    void killEntry(std::size_t index);
    void startEntry(std::size_t index);
    /// Restarts an entry daemon gracefully. The fabric takes the daemon out of rotation one second after the call. The daemon stops
    /// about two seconds after the call and then starts again.
    void restartEntryGracefully(std::size_t index);
    /// Kills an agent, which loses its state. Its target keeps running.
    void killAgent(std::size_t index);
    void startAgent(std::size_t index);
    void crashTarget(std::size_t index);
    void restartTarget(std::size_t index);
    /// Marks a target as draining and publishes that state.
    void drainTarget(std::size_t index);
    /// Adds a target with an agent on a VM of its own. Returns the target's index.
    std::size_t addTarget(const TargetOptions &options);
    /// Removes a target from the platform's list. Entry daemons treat it as withdrawn after `grace`.
    void withdrawTarget(std::size_t index, Duration grace = Duration(0));
    void publishRoutes(std::vector<Route> routes);

    [[nodiscard]] const EmulatedCallers &callers() const { return *m_callers; }
    [[nodiscard]] EmulatedCallers &callers() { return *m_callers; }
    [[nodiscard]] EmulatedTarget &target(std::size_t index);
    [[nodiscard]] std::size_t targetCount() const { return m_agents.size(); }
    /// Number of request starts at targets of a service that no route for the request's address ever contained.
    [[nodiscard]] std::uint64_t misroutedRequests() const { return m_misroutedRequests; }
    /// Number of repeated starts of requests that are not idempotent.
    [[nodiscard]] std::uint64_t duplicateRequests() const { return m_duplicateRequests; }
    /// Number of decisions that the entry daemons made for `reason`.
    [[nodiscard]] std::uint64_t decisionCount(RelayReason reason) const { return m_decisions[static_cast<std::size_t>(reason)]; }

private:
    struct EntryNode;
    struct AgentNode;
    friend struct EntryNode;
    friend struct AgentNode;

    void transmit(Duration delay, EventQueue::Action delivery);
    void deliverCallerPacket(const EmulatedPacket &packet);
    void sendToAgentNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram);
    void sendToEntryNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram);
    void sendToCallers(const EmulatedPacket &packet);
    void publishTarget(std::size_t index);
    void publishTo(EntryNode &entry, const PublishedTarget &target);
    [[nodiscard]] PublishedTarget publicationOf(std::size_t index) const;
    void runEntryTick(std::size_t index, std::uint64_t generation);
    void sendDueQueries(std::size_t index, std::uint64_t generation);
    void runAgentTick(std::size_t index, std::uint64_t generation);
    void recordRequestStart(std::uint64_t request, const FlowKey &flow, ServiceId service);
    [[nodiscard]] bool isHeldByTarget(const FlowKey &flow) const;
    [[nodiscard]] bool wasEverRouted(const Endpoint &address, ServiceId service) const;
    [[nodiscard]] Duration delayBetween(const std::string &left, const std::string &right) const;

    EventQueue m_events;
    std::mt19937_64 m_random;
    SimulationOptions m_options;
    std::vector<std::unique_ptr<EntryNode>> m_entries;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
    std::unique_ptr<EmulatedCallers> m_callers;
    RouteTable m_routes;
    std::uint64_t m_revision = 1;
    std::vector<std::pair<Endpoint, ServiceId>> m_routedServices;
    std::unordered_map<std::uint64_t, int> m_startsByRequest;
    std::uint64_t m_misroutedRequests = 0;
    std::uint64_t m_duplicateRequests = 0;
    std::array<std::uint64_t, RelayReasonCount> m_decisions {};
};

} // namespace Papaya::Emulator
