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

/// How the network between callers, entry daemons and agents misbehaves.
struct NetworkFaults {
    double loss = 0;
    double duplication = 0;
    Duration delayLimit {5};
    /// How much later than another a process may learn of a change of the VM list.
    Duration listLagLimit {0};
};

/// What became of the callers' flows.
struct FlowCounts {
    int opened = 0;
    int established = 0;
    /// Established flows that were reset although the agent that owned them was running and not frozen.
    int brokenWhileOwned = 0;
    /// Established flows that were reset after their owner was lost or while it was frozen.
    int resetAfterLoss = 0;
    /// Flows refused before they were established.
    int refused = 0;
    /// Packets of an established flow that reached a stack without that connection.
    int misdelivered = 0;
    /// New flows taken by an agent that had been leaving for longer than the bound of the brief.
    int takenWhileLeaving = 0;
};

/// The agents of one service, its entry daemons and their callers, stepped in virtual time over the decision functions.
/// Everything random comes from one seed.
class FlowNetwork
{
public:
    FlowNetwork(std::uint64_t seed, NetworkFaults faults, FlowProtocolLimits limits = {});
    ~FlowNetwork();

    void addAgent(const std::string &name);
    /// Marks a VM as leaving in the list.
    void leave(const std::string &name);
    /// Stops a process without warning. The list does not change.
    void kill(const std::string &name);
    /// Starts a killed process again, empty.
    void restart(const std::string &name);
    /// Pauses and resumes a process; what arrives meanwhile waits in its socket.
    void freeze(const std::string &name);
    void thaw(const std::string &name);
    /// Replaces an entry daemon by a new one that knows nothing yet but the platform's list.
    void replaceEntry(std::size_t index);
    /// Cuts all messages between two agents, in both directions, or lets them through again.
    void setCut(const std::string &left, const std::string &right, bool isCut);

    /// Opens flows that send a segment now and then, or stay silent once they are established.
    void openFlows(int count, bool isSilent);
    /// Changes how lossy the network is from now on.
    void setFaults(const NetworkFaults &faults) { m_faults = faults; }

    void run(Duration duration);

    [[nodiscard]] FlowCounts counts() const;
    /// Returns the established flows that an agent's stack holds.
    [[nodiscard]] int flowsAt(const std::string &name) const;
    /// Returns how many established callers have had no answer to a segment for longer than `limit`.
    [[nodiscard]] int silentFor(Duration limit) const;
    /// Returns how many established callers have a connection that no running stack holds, and were not told.
    [[nodiscard]] int orphaned() const;
    /// Takes the hints from the entry daemons, to show what they are good for.
    void setUsesHints(bool usesHints) { m_usesHints = usesHints; }
    void restartHopCount();
    /// Returns the mean number of agents that a delivered packet passed through.
    [[nodiscard]] double meanHops() const;

private:
    struct Agent;
    struct Entry;
    struct Caller;
    struct ToCaller;
    struct Event;

    [[nodiscard]] Agent &agentNamed(const std::string &name);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] Duration randomDelay(Duration limit);
    void publishList();
    void schedule(TimePoint due, Event event);
    void transmit(const Endpoint &to, const FlowMessage &message, MemberId sender);
    void transmitToCaller(const ToCaller &segment);
    void step();
    void handle(const Event &event);
    void handleAtEntry(Entry &entry, const Event &event);
    void handleAtAgent(Agent &agent, const FlowMessage &message);
    void handleAtCaller(const ToCaller &segment);
    void carryOut(Agent &agent, const Effects &effects, std::uint8_t hops);
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
    std::map<std::pair<MemberId, MemberId>, bool> m_cuts;
    std::uint64_t m_eventCount = 0;
    std::uint32_t m_nextSequence = 1;
    Incarnation m_nextIncarnation = 1;
    bool m_usesHints = true;
    std::uint64_t m_delivered = 0;
    std::uint64_t m_hops = 0;
    FlowCounts m_counts;
};

} // namespace Papaya
