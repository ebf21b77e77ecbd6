#pragma once

#include "LibCoordination/EntryRelay.h"
#include "LibProtocol/RelayCodec.h"
#include "LibProtocol/RelaySettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/KnowledgeFetchTask.h"
#include "LibTransport/RelayProgram.h"
#include "LibTransport/RelayUpdates.h"

#include <array>
#include <optional>

namespace Papaya {

/// Passes callers' packets to the agents of the targets that hold their flows: a thin shell that carries out the decisions of
/// EntryRelay.
class RelayEntryTask : public caf::blocking_actor, private EntryOutput
{
public:
    RelayEntryTask(caf::actor_config &config, RelaySettings settings, DatagramSocket callers, DatagramSocket daemon, caf::actor program);

    void act() override;

private:
    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override;
    void sendQuery(const Endpoint &agent, const RelayQuery &query) override;
    void resetCaller(const FlowKey &flow, std::uint32_t sequence) override;
    void refreshTargets() override;
    void recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent) override;

    void drainMailbox();
    void handleCallerPacket(std::span<const std::byte> packet);
    void handleAgentDatagram(std::span<const std::byte> datagram, const Endpoint &agent);
    void handleNotice(const RelayNotice &notice, const Endpoint &agent);
    void takeRoutes(const RoutesReceived &offer);
    void takeTargets(const TargetsListed &listed);
    void takeTarget(const PublishedTarget &target);
    void withdrawTarget(MemberId target, Duration grace);
    void startReadingCallers();
    /// Asks other entry daemons when the platform has not answered soon after the start.
    void askPeers();
    void takeKnowledge(const PeerKnowledge &told);
    void subscribeTo(const PublishedTarget &target);
    void subscribeToAgents();
    void onTick();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] StatusReport report();
    [[nodiscard]] ExplainReport explain(const std::string &flow) const;

    RelaySettings m_settings;
    DatagramSocket m_callers;
    DatagramSocket m_daemon;
    caf::actor m_program;
    /// The task that reads the platform; it introduces itself by its first message.
    caf::strong_actor_ptr m_reader;
    bool m_isRefreshWanted = false;
    EventPoll m_poll;
    RelayEncoder m_encoder;
    EntryRelay m_relay;
    Metrics m_metrics;
    LogRateLimiter m_routineLines;
    LogRateLimiter m_failureLines;
    std::array<std::uint64_t, RelayReasonCount> m_decisions {};
    std::uint64_t m_packets = 0;
    bool m_isReadingCallers = false;
    bool m_hasAskedPeers = false;
    TimePoint m_subscribedAt;
    std::optional<TimePoint> m_stopAt;
    bool m_isStopped = false;
};

} // namespace Papaya
