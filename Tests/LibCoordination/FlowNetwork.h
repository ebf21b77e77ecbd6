#pragma once

#include "LibCoordination/FlowProtocol.h"
#include "LibCoordination/RoutingTable.h"

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Papaya {

/// The faults of the simulated network between callers, entry daemons and agents.
struct NetworkFaults {
    /// The probability that a packet is lost, and that it is duplicated.
    double loss = 0;
    double duplication = 0;
    /// The maximum delay of a packet. Delays are uniformly distributed.
    Duration delayLimit {5};
    /// The maximum delay with which a process gets a new version of the VM list.
    Duration listLagLimit {0};
};

/// Counts of the callers' flows by their outcome.
struct FlowCounts {
    int opened = 0;
    int established = 0;
    /// Established flows that were reset although the agent that owned them was running and not paused.
    int brokenWhileOwned = 0;
    /// Established flows that were reset after their owner was lost or while it was paused.
    int resetAfterLoss = 0;
    /// Flows that were reset before they were established.
    int refused = 0;
    /// Packets of an established flow that were delivered to a TCP stack without that connection.
    int misdelivered = 0;
    /// New flows that an agent accepted more than 5 s after it had been marked as leaving.
    int acceptedWhileLeaving = 0;
};

/// Simulates the agents of one service, its entry daemons and their callers in virtual time, with the decision functions of
/// LibCoordination. All randomness comes from one seed.
class FlowNetwork
{
public:
    FlowNetwork(std::uint64_t seed, NetworkFaults faults, FlowProtocolLimits limits = {});
    ~FlowNetwork();

    void addAgent(const std::string &name);
    /// Marks a VM as leaving in the VM list.
    void markLeaving(const std::string &name);
    /// Kills a process. The VM list does not change.
    void kill(const std::string &name);
    /// Starts a killed process again, without its former state.
    void restart(const std::string &name);
    /// Pauses and resumes a process. Messages that arrive during the pause wait in its socket buffer.
    void pause(const std::string &name);
    void resume(const std::string &name);
    /// Replaces an entry daemon by a new one that has only the VM list.
    void replaceEntry(std::size_t index);
    /// Starts or ends a network partition that drops all messages between two agents.
    void setPartitioned(const std::string &left, const std::string &right, bool isPartitioned);

    /// Opens flows whose callers send segments at an interval, or stay idle after the handshake.
    void openFlows(int count, bool isIdle);
    /// Replaces the faults of the network.
    void setFaults(const NetworkFaults &faults) { m_faults = faults; }

    void run(Duration duration);

    [[nodiscard]] FlowCounts counts() const;
    /// Returns the number of flows in an agent's TCP stack.
    [[nodiscard]] int flowsAt(const std::string &name) const;
    /// Returns the number of established callers whose segment has been unanswered for longer than `limit`.
    [[nodiscard]] int callersUnansweredFor(Duration limit) const;
    /// Returns the number of established callers whose connection exists in no running TCP stack and that got no reset.
    [[nodiscard]] int orphanedCallers() const;
    /// Sets whether the entry daemons use owner hints, so that a test can compare both cases.
    void setUsesHints(bool usesHints) { m_usesHints = usesHints; }
    /// Restarts the measurement of meanHops().
    void resetHopCount();
    /// Returns the mean number of agents on the path of a delivered packet, since the last resetHopCount().
    [[nodiscard]] double meanHops() const;

private:
    struct Agent;
    struct Entry;
    struct Caller;
    struct SegmentToCaller;
    struct Event;

    [[nodiscard]] Agent &agentNamed(const std::string &name);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] Duration randomDelay(Duration limit);
    void publishList();
    void schedule(TimePoint due, Event event);
    void transmit(const Endpoint &to, const FlowMessage &message, MemberId sender);
    void transmitToCaller(const SegmentToCaller &segment);
    void step();
    void handle(const Event &event);
    void handleAtEntry(Entry &entry, const Event &event);
    void handleAtAgent(Agent &agent, const FlowMessage &message);
    void handleAtCaller(const SegmentToCaller &segment);
    void executeEffects(Agent &agent, const Effects &effects, std::uint8_t hops);
    void deliver(Agent &agent, std::span<const std::byte> packet, std::uint8_t hops);
    void tickAgent(Agent &agent);
    void retryHandshakes(Agent &agent);
    void tickEntry(Entry &entry);
    void tickCaller(Caller &caller);
    void sendFromCaller(Caller &caller, const SegmentSummary &segment);
    [[nodiscard]] bool isHeldByRunningStack(const Caller &caller) const;

    NetworkFaults m_faults;
    FlowProtocolLimits m_limits;
    std::mt19937_64 m_random;
    TimePoint m_now;
    VmList m_list;
    Configuration m_configuration;
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::map<FlowKey, Caller *> m_callerByFlow;
    std::priority_queue<Event> m_events;
    std::map<std::pair<MemberId, MemberId>, bool> m_partitions;
    std::uint64_t m_eventCount = 0;
    std::uint32_t m_nextSequence = 1;
    Incarnation m_nextIncarnation = 1;
    bool m_usesHints = true;
    std::uint64_t m_delivered = 0;
    std::uint64_t m_hops = 0;
    FlowCounts m_counts;
};

} // namespace Papaya
