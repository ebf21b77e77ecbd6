#pragma once

#include "LibEmulator/EmulatedAgent.h"
#include "LibEmulator/EmulatedCallers.h"
#include "LibEmulator/EmulatedEntry.h"
#include "LibEmulator/EmulatedFabric.h"
#include "LibEmulator/FlowJournal.h"
#include "LibEmulator/FlowRuleMonitor.h"

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
    /// Slow start is off, as in the daemons' settings.
    PaceLimits pace {0};
};

/// Makes the options of `count` targets of a service, spread over the failure domains. The targets get `speeds` in turn, or speed 1
/// if `speeds` is empty. addTarget() assigns the addresses.
[[nodiscard]] std::vector<TargetOptions> makeTargets(const std::string &service, std::size_t count, std::span<const double> speeds);

/// Makes a route with one service and idempotent requests.
[[nodiscard]] Route makeRoute(const Endpoint &address, const std::string &service);

/// Simulates a relay system in virtual time. It runs the production decision code and codec of the relay daemons between emulated
/// callers and targets. The emulated fabric hashes flows over the entry daemons that are in rotation. A run is deterministic for
/// a given seed.
class RelaySimulation : private EmulatedNetwork
{
public:
    explicit RelaySimulation(SimulationOptions options);
    ~RelaySimulation() override;
    RelaySimulation(const RelaySimulation &) = delete;
    RelaySimulation &operator=(const RelaySimulation &) = delete;

    /// Runs the simulation for a duration of virtual time.
    void run(Duration duration);
    /// Schedules an action after a delay.
    void schedule(Duration delay, EventQueue::Action action) { m_events.schedule(delay, std::move(action)); }
    /// Makes the callers generate requests for a duration from now on.
    void startCallers(Duration duration);

    /// Kills an entry daemon, which loses its state. The fabric takes the daemon out of rotation within a second. This is an
    /// unplanned disruption until startEntry().
    void killEntry(std::size_t index);
    void startEntry(std::size_t index);
    /// Restarts an entry daemon as planned. The fabric takes the daemon out of rotation within a second after the call. The daemon
    /// stops about two seconds after the call and then starts again.
    void restartEntryGracefully(std::size_t index);
    /// Suspends an entry daemon, as when its VM is paused. Packets and datagrams wait in its sockets until thawEntry().
    void freezeEntry(std::size_t index);
    void thawEntry(std::size_t index);
    /// Sets how long one iteration of a daemon's event loop takes, and how many datagrams it reads from each socket.
    void setEntryPace(std::size_t index, Duration iterationTime, std::size_t batchSize);
    void setAgentPace(std::size_t index, Duration iterationTime, std::size_t batchSize);
    /// Kills an agent, which loses its state. Its target keeps running. This is an unplanned disruption until startAgent().
    void killAgent(std::size_t index);
    void startAgent(std::size_t index);
    /// Restarts an agent as planned; the next process starts after `downTime`. Its target keeps running.
    void restartAgentGracefully(std::size_t index, Duration downTime);
    /// Crashes a target. The store drops its entry some time later.
    void crashTarget(std::size_t index);
    /// Starts a new run of a target.
    void restartTarget(std::size_t index);
    /// Marks a target as draining and publishes that state.
    void drainTarget(std::size_t index);
    /// Ends a target and its agent as planned.
    void endTarget(std::size_t index);
    /// Starts another target at the address of one that has ended, and its agent.
    void replaceTarget(std::size_t index, const TargetOptions &options);
    /// Adds a target with an agent on a VM of its own. Returns the target's index.
    std::size_t addTarget(const TargetOptions &options);
    /// Removes the entry of a target that serves on from the store, and writes it again after `absence`.
    void withdrawTemporarily(std::size_t index, Duration absence);
    [[nodiscard]] bool isStoreReachable() const { return m_store.isReachable(); }
    void setStoreReachable(bool isReachable) { m_store.setReachable(isReachable); }
    /// Restores the store from its contents of a while ago. The targets that serve write their entries again within two seconds,
    /// and the entries of others expire some seconds later.
    void restoreStore(Duration age);
    /// Writes or deletes the key of an evacuated failure domain in the store.
    void evacuate(const std::string &domain) { m_store.setEvacuated(domain, true); }
    void returnDomain(const std::string &domain) { m_store.setEvacuated(domain, false); }
    /// Returns the number of new flows that the targets of a failure domain have got so far.
    [[nodiscard]] std::uint64_t newFlows(const std::string &domain) const;
    /// Sets the probability with which a datagram is lost from now on.
    void setLossRate(double rate) { m_options.network.lossRate = rate; }
    void publishRoutes(std::vector<Route> routes);

    [[nodiscard]] const EmulatedCallers &callers() const { return *m_callers; }
    [[nodiscard]] EmulatedCallers &callers() { return *m_callers; }
    [[nodiscard]] EmulatedTarget &target(std::size_t index);
    [[nodiscard]] std::size_t targetCount() const { return m_agents.size(); }
    [[nodiscard]] std::size_t entryCount() const { return m_entries.size(); }
    /// Returns the check of the rule on open flows, including the packets so far.
    [[nodiscard]] const FlowRuleMonitor &checkFlowRule();
    /// Records an event that concerns all flows, for brokenFlowEvents().
    void recordEventForAll(const std::string &process, const std::string &event);
    /// Returns the recorded events of some of the flows that were reset although a target held them, or whose packets reached
    /// other targets.
    [[nodiscard]] std::string brokenFlowEvents() const;
    /// Number of request starts at targets of a service that no route for the request's address ever contained.
    [[nodiscard]] std::uint64_t misroutedRequests() const { return m_misroutedRequests; }
    /// Number of repeated starts of requests that are not idempotent.
    [[nodiscard]] std::uint64_t duplicateRequests() const { return m_duplicateRequests; }
    /// Number of decisions that the entry daemons made for `reason`.
    [[nodiscard]] std::uint64_t decisionCount(RelayReason reason) const { return m_decisions[static_cast<std::size_t>(reason)]; }

private:
    void sendToAgent(const Endpoint &entry, const Endpoint &agent, std::vector<std::byte> datagram) override;
    void sendToEntry(const Endpoint &agent, const Endpoint &entry, std::vector<std::byte> datagram) override;
    void sendToCallers(const EmulatedPacket &packet) override;
    void recordDecision(const std::string &entry, const FlowKey &flow, RelayReason reason, const Endpoint &agent) override;
    void recordEvent(const std::string &process, const FlowKey &flow, const std::string &event) override;
    void recordTargetPacket(const Endpoint &agent, const PacketSummary &packet) override;
    void recordOpened(const Endpoint &agent, const FlowKey &flow) override;
    std::vector<RelayKnowledge> queryPeers(const Endpoint &entry, const std::optional<KnowledgeDigest> &digest) override;

    void transmit(Duration delay, EventQueue::Action delivery);
    [[nodiscard]] std::unique_ptr<EmulatedTarget> makeTarget(std::size_t index, const TargetOptions &options);
    void publishTarget(std::size_t index);
    void expireEntry(MemberId id, Duration delay);
    [[nodiscard]] Duration randomDuration(Duration minimum, Duration maximum);
    bool onCallerReset(const EmulatedPacket &reset);
    [[nodiscard]] std::uint32_t addressOfEntry(std::size_t index) const { return m_entries.at(index)->address().address; }
    [[nodiscard]] std::uint32_t addressOfAgent(std::size_t index) const { return m_agents.at(index)->address().address; }
    [[nodiscard]] PublishedTarget publicationOf(std::size_t index) const;
    void recordRequestStart(std::uint64_t request, const FlowKey &flow, ServiceId service);
    [[nodiscard]] bool wasEverRouted(const Endpoint &address, ServiceId service) const;
    [[nodiscard]] Duration delayBetween(const std::string &left, const std::string &right) const;
    [[nodiscard]] EmulatedAgent *findAgent(std::uint32_t address) const;

    EventQueue m_events;
    std::mt19937_64 m_random;
    SimulationOptions m_options;
    EmulatedStore m_store {m_events};
    EmulatedFabric m_fabric {m_events};
    std::vector<std::unique_ptr<EmulatedEntry>> m_entries;
    std::vector<std::unique_ptr<EmulatedAgent>> m_agents;
    std::unique_ptr<EmulatedCallers> m_callers;
    FlowJournal m_journal;
    FlowRuleMonitor m_flowRule;
    RouteTable m_routes;
    std::vector<std::pair<Endpoint, ServiceId>> m_routedServices;
    std::unordered_map<std::uint64_t, int> m_startsByRequest;
    std::uint64_t m_misroutedRequests = 0;
    std::uint64_t m_duplicateRequests = 0;
    std::array<std::uint64_t, RelayReasonCount> m_decisions {};
};

} // namespace Papaya::Emulator
