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

/// What the callers observed during a soak.
struct SoakOutcome {
    std::uint64_t answers = 0;
    /// Answers with the wrong payload: from another service or not matching the request.
    std::uint64_t wrongAnswers = 0;
    /// Open flows that were reset while resets were not allowed.
    std::uint64_t brokenFlows = 0;
    /// All resets, including those that were allowed.
    std::uint64_t resets = 0;
};

/// Callers that keep flows open and continuously send requests on them, behind a fabric that checks the readiness of each entry daemon
/// twice a second. The fabric removes an entry daemon from rotation after two failed checks, and uses all entry daemons if fewer than
/// half of them are in rotation.
class SoakCallers
{
public:
    SoakCallers(RelayDeployment &deployment, std::uint64_t seed, std::size_t flows);

    /// Sends and receives packets for `duration`.
    void run(Duration duration);
    /// Sets whether resets are allowed from now on. A reset that is not allowed counts as a broken flow. Resets are allowed while a
    /// fault may break flows.
    void setResetsAllowed(bool areAllowed) { m_areResetsAllowed = areAllowed; }
    /// Sets whether packets of callers are lost and duplicated at random.
    void setLossy(bool isLossy) { m_isLossy = isLossy; }

    /// Waits until each flow has received another answer, at most for `limit`. Returns the number of flows that have.
    [[nodiscard]] std::size_t awaitAnswersOnAllFlows(Duration limit);
    [[nodiscard]] std::size_t flowCount() const { return m_flows.size(); }
    [[nodiscard]] const SoakOutcome &outcome() const { return m_outcome; }

private:
    struct Flow {
        FlowKey key;
        std::string service;
        std::uint32_t acknowledgement = 0;
        bool isOpen = false;
        /// The payload of the pending request. Empty if there is none.
        std::string request;
        std::uint64_t answers = 0;
        TimePoint sentAt;
        Duration retransmissionInterval {0};
    };

    /// The result of the readiness checks of one entry daemon.
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
    /// Returns the names of the entry daemons over which the fabric hashes flows.
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
