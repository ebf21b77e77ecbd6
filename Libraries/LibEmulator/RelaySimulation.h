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

/// The network between the parts.
struct NetworkTraits {
    Duration nearDelay {0};
    Duration farDelay {1};
    Duration callerDelay {1};
    /// The share of datagrams that are lost.
    double loss = 0;
    /// How long a publication takes to reach an entry daemon.
    Duration publicationDelay {5};
};

/// A system of entry daemons and agents before emulated targets.
struct WorldTraits {
    std::uint64_t seed = 1;
    std::size_t entryDaemons = 3;
    std::vector<std::string> failureDomains {"domain-a", "domain-b", "domain-c"};
    std::vector<TargetTraits> targets;
    std::vector<Route> routes;
    std::vector<RequestKind> kinds;
    NetworkTraits network;
    ChoiceWeights weights;
};

/// Makes the traits of a service's targets, at addresses that no other service has.
[[nodiscard]] std::vector<TargetTraits> makeTargets(const std::string &service, std::size_t count, std::span<const double> speeds);

/// Makes a route with one service, whose requests may be repeated.
[[nodiscard]] Route makeRoute(const Endpoint &address, const std::string &service);

/// Drives the very decisions and the codec of the relaying daemons in virtual time, between emulated callers and targets, behind
/// a fabric that hashes flows over the entry daemons in rotation. Everything follows from the seed.
class RelayWorld
{
public:
    explicit RelayWorld(WorldTraits traits);
    ~RelayWorld();
    RelayWorld(const RelayWorld &) = delete;
    RelayWorld &operator=(const RelayWorld &) = delete;

    /// Lets time pass.
    void run(Duration duration);
    /// Does something after a while.
    void after(Duration delay, EventQueue::Action action) { m_events.after(delay, std::move(action)); }
    /// Has callers make requests for a while from now.
    void startCallers(Duration duration);

    /// Ends an entry daemon's process, which loses all that it knew. The fabric notices after a second.
    void killEntry(std::size_t index);
    void startEntry(std::size_t index);
    /// Takes an entry daemon out of rotation, ends it after two seconds and starts it again.
    void restartEntryGracefully(std::size_t index);
    void killAgent(std::size_t index);
    void startAgent(std::size_t index);
    void crashTarget(std::size_t index);
    void restartTarget(std::size_t index);
    /// Announces that a target leaves.
    void drainTarget(std::size_t index);
    /// Puts a target on a VM of its own, or on one that had another target before.
    std::size_t addTarget(const TargetTraits &traits);
    /// Removes the listing of a target.
    void withdraw(std::size_t index, Duration grace = Duration(0));
    void publishRoutes(std::vector<Route> routes);

    [[nodiscard]] const EmulatedCallers &callers() const { return *m_callers; }
    [[nodiscard]] EmulatedCallers &callers() { return *m_callers; }
    [[nodiscard]] EmulatedTarget &target(std::size_t index);
    [[nodiscard]] std::size_t targetCount() const { return m_agents.size(); }
    /// Requests that ran at a service which no route ever gave their address.
    [[nodiscard]] std::uint64_t misroutedRuns() const { return m_misroutedRuns; }
    /// Requests that ran more than once though they are not idempotent.
    [[nodiscard]] std::uint64_t doubledRuns() const { return m_doubledRuns; }
    [[nodiscard]] std::uint64_t decisions(RelayReason reason) const { return m_decisions[static_cast<std::size_t>(reason)]; }

private:
    struct EntryNode;
    struct AgentNode;
    friend struct EntryNode;
    friend struct AgentNode;

    void transmit(Duration delay, EventQueue::Action deliver);
    void deliverCallerPacket(const EmulatedPacket &packet);
    void sendToAgentNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram);
    void sendToEntryNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram);
    void sendToCallers(const EmulatedPacket &packet);
    void publish(std::size_t index);
    void publishTo(EntryNode &entry, const PublishedTarget &target);
    [[nodiscard]] PublishedTarget publicationOf(std::size_t index) const;
    void tickEntry(std::size_t index, std::uint64_t run);
    void pollEntry(std::size_t index, std::uint64_t run);
    void tickAgent(std::size_t index, std::uint64_t run);
    void noteRun(std::uint64_t request, const FlowKey &flow, ServiceId service);
    [[nodiscard]] bool isHeldByTarget(const FlowKey &flow) const;
    [[nodiscard]] bool isAllowed(const Endpoint &address, ServiceId service) const;
    [[nodiscard]] Duration delayBetween(const std::string &left, const std::string &right) const;

    EventQueue m_events;
    std::mt19937_64 m_random;
    WorldTraits m_traits;
    std::vector<std::unique_ptr<EntryNode>> m_entries;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
    std::unique_ptr<EmulatedCallers> m_callers;
    RouteTable m_routes;
    std::uint64_t m_revision = 1;
    std::vector<std::pair<Endpoint, ServiceId>> m_allowed;
    std::unordered_map<std::uint64_t, int> m_runs;
    std::uint64_t m_misroutedRuns = 0;
    std::uint64_t m_doubledRuns = 0;
    std::array<std::uint64_t, RelayReasonCount> m_decisions {};
};

} // namespace Papaya::Emulator
