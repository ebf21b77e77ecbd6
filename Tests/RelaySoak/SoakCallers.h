#pragma once

#include "RelayDeployment/RelayDeployment.h"

#include "LibState/PacketSummary.h"
#include "LibTransport/DatagramSocket.h"

#include <atomic>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Papaya {

/// What callers saw.
struct SoakOutcome {
    std::uint64_t answers = 0;
    /// Answers that were not those of the request and of the service.
    std::uint64_t wrongAnswers = 0;
    /// Flows that were reset while no fault may end flows.
    std::uint64_t brokenFlows = 0;
    std::uint64_t resets = 0;
};

/// Callers that keep flows open and ask on them all the time, behind a fabric that asks each entry daemon for readiness twice a
/// second, takes it out after two misses, and uses all when fewer than half are left.
class SoakCallers
{
public:
    SoakCallers(RelayDeployment &deployment, std::uint64_t seed, std::size_t flows);

    /// Sends and receives for a while.
    void run(Duration duration);
    /// Whether resets are allowed from now on, since a fault may end flows.
    void setResetsAllowed(bool areAllowed) { m_areResetsAllowed = areAllowed; }
    void setLossy(bool isLossy) { m_isLossy = isLossy; }

    /// Asks once more on every flow; returns how many were answered within the limit.
    [[nodiscard]] std::size_t requestOnAllFlows(Duration limit);
    [[nodiscard]] std::size_t flowCount() const { return m_flows.size(); }
    [[nodiscard]] const SoakOutcome &outcome() const { return m_outcome; }

private:
    struct Flow {
        FlowKey key;
        std::string service;
        std::uint32_t acknowledgement = 0;
        bool isOpen = false;
        std::string request;
        std::uint64_t answers = 0;
        TimePoint sentAt;
        Duration retransmissionInterval {0};
    };

    struct EntryHealth {
        std::string name;
        int failedChecks = 0;
        bool isInRotation = true;
    };

    void open(Flow &flow);
    void sendDue(TimePoint now);
    void send(const Flow &flow);
    void transmit(const PacketSummary &summary, std::string_view data);
    void receive(std::span<const std::byte> packet);
    void checkNextEntry(TimePoint now);
    [[nodiscard]] std::vector<std::string> rotation() const;

    RelayDeployment &m_deployment;
    DatagramSocket m_socket;
    std::mt19937_64 m_random;
    TimePoint m_startedAt;
    std::vector<EntryHealth> m_entryHealth;
    std::size_t m_nextEntryToCheck = 0;
    TimePoint m_checkedAt;
    std::map<std::uint16_t, Flow> m_flows;
    std::uint16_t m_nextPort = 2'000;
    std::atomic<bool> m_areResetsAllowed = false;
    std::atomic<bool> m_isLossy = false;
    SoakOutcome m_outcome;
};

} // namespace Papaya
