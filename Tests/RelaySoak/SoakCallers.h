#pragma once

#include "RelayDeployment/RelayDeployment.h"

#include "LibState/PacketSummary.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/MonotonicClock.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Papaya {

/// What the callers observed during a soak.
struct SoakOutcome {
    std::uint64_t answers = 0;
    /// Answers with the wrong payload: from another service or not matching the request.
    std::uint64_t wrongAnswers = 0;
    /// Open flows that were reset while resets were not allowed for their target.
    std::uint64_t brokenFlows = 0;
    /// All resets, including those that were allowed and those of flows that were not open.
    std::uint64_t resets = 0;
    /// Attempts that ended without a SYN-ACK.
    std::uint64_t unansweredAttempts = 0;
};

/// Callers that keep flows open and continuously send requests on them. A flow that is reset, or whose SYN and its two copies get no
/// answer, is opened again from another port. The callers are behind a fabric that checks the readiness of each entry daemon
/// twice a second. The fabric removes an entry daemon from rotation after two failed checks, and uses all entry daemons if fewer than
/// half of them are in rotation.
class SoakCallers
{
public:
    SoakCallers(RelayDeployment &deployment, std::uint64_t seed, std::size_t flows);

    /// Sends and receives packets for `duration`.
    void run(Duration duration);
    /// Allows resets of flows whose target is on this VM until `end`. Any other reset of an open flow counts as a broken flow.
    void allowResets(std::uint32_t host, TimePoint end);
    /// Sets whether further flows are opened, one each OpeningInterval. They stay open and pause between requests.
    void setOpening(bool isOpening) { m_isOpening = isOpening; }
    /// Sets whether packets of callers are lost and duplicated at random.
    void setLossy(bool isLossy) { m_isLossy = isLossy; }

    /// Waits until each flow has received another answer, at most for `limit`. Returns the number of flows that have.
    [[nodiscard]] std::size_t awaitAnswersOnAllFlows(Duration limit);
    [[nodiscard]] std::size_t flowCount() const { return m_flows.size(); }
    /// Returns the time since the start of the callers.
    [[nodiscard]] Duration elapsed() const { return currentTime() - m_startedAt; }
    [[nodiscard]] const SoakOutcome &outcome() const { return m_outcome; }

private:
    struct Flow {
        FlowKey key;
        std::string service;
        /// The numbers of the next packet. A SYN and its copies, and a request and its retransmissions, have the same sequence number.
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        bool isOpen = false;
        /// The sender of the SYN-ACK.
        Endpoint target;
        /// The payload of the pending request. Empty if there is none.
        std::string request;
        /// Answers since the first attempt, and since the flow was opened.
        std::uint64_t answers = 0;
        std::uint64_t answersSinceOpening = 0;
        /// The time between an answer and the next request.
        Duration pause {0};
        TimePoint answeredAt;
        TimePoint sentAt;
        Duration retransmissionInterval {0};
        /// How often the SYN or the request was sent again.
        std::uint32_t copies = 0;
    };

    /// The result of the readiness checks of one entry daemon.
    struct EntryHealth {
        std::string name;
        int failedChecks = 0;
        bool isInRotation = true;
    };

    using Flows = std::map<std::uint16_t, Flow>;

    /// Opens a flow of a service; `pause` is the time between an answer and the next request.
    void openNew(Duration pause);
    /// Opens a flow, or opens it again, from another port.
    void open(Flow flow);
    void sendDue(TimePoint now);
    /// Returns whether a packet of the flow is due, and prepares it.
    [[nodiscard]] static bool prepareDue(Flow &flow, TimePoint now);
    void send(const Flow &flow);
    void transmit(const PacketSummary &summary, std::string_view data);
    void receive(std::span<const std::byte> packet, const Endpoint &sender);
    void processReset(const Flow &flow, const Endpoint &sender);
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
    Flows m_flows;
    std::size_t m_openedFlows = 0;
    TimePoint m_openedAt;
    std::uint16_t m_nextPort = 2'000;
    std::mutex m_mutex;
    /// For each VM the time until which resets of its target's flows are allowed.
    std::map<std::uint32_t, TimePoint> m_resetsAllowedUntil;
    std::atomic<bool> m_isOpening = false;
    std::atomic<bool> m_isLossy = false;
    SoakOutcome m_outcome;
};

} // namespace Papaya
