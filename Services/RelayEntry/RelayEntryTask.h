#pragma once

#include "SetAsideLog.h"

#include "LibBalancing/LinkShaper.h"
#include "LibCoordination/EntryRelay.h"
#include "LibCoordination/LoadKnowledge.h"
#include "LibProtocol/RelayCodec.h"
#include "LibProtocol/RelaySettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/KnowledgeFetchTask.h"
#include "LibTransport/MessageGuard.h"
#include "LibTransport/RelayProgram.h"
#include "LibTransport/RelayUpdates.h"

#include <array>
#include <optional>

namespace Papaya {

/// Forwards callers' packets to the agents of the targets that hold the flows. EntryRelay makes the decisions; this task does
/// the I/O.
class RelayEntryTask : public caf::blocking_actor, private EntryOutput
{
public:
    RelayEntryTask(caf::actor_config &config,
                   RelaySettings settings,
                   DatagramSocket callers,
                   DatagramSocket daemon,
                   RelayProgramParts program);

    void act() override;

private:
    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override;
    void sendQuery(const Endpoint &agent, const RelayQuery &query) override;
    void resetCaller(const FlowKey &flow, std::uint32_t sequence) override;
    void refreshTargets() override;
    void recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent) override;
    void recordEvacuation(const std::string &domain, const EvacuationStatement &statement, EvacuationSource source) override;

    /// Returns whether the link has bandwidth for an envelope with a packet. Otherwise the datagram waits or was dropped.
    [[nodiscard]] bool isSentNow(const RelayEnvelope &envelope, const Endpoint &agent, std::span<const std::byte> datagram, TimePoint now);
    void sendDelayedDatagrams();
    void processMessages();
    /// Reads what agents have sent until nothing is left, which the timeouts of agents depend on. Returns after a limited number of
    /// datagrams, so that a flood does not keep callers' packets from being read.
    void readAgentDatagrams();
    void readCallerPackets();
    void handleCallerPacket(std::span<const std::byte> packet);
    void handleAgentDatagram(std::span<const std::byte> datagram, const Endpoint &agent);
    void handleNotice(const RelayNotice &notice, const Endpoint &agent);
    void applyRoutes(const RoutesReceived &received);
    void applyTargetList(const TargetsListed &listed);
    void applyPublishedTarget(const PublishedTarget &target);
    void withdrawTarget(MemberId target, Duration grace);
    /// Starts reading callers' packets when the daemon is informed (mayReadCallers()).
    void startReadingCallers();
    /// Requests routes and targets from other entry daemons. Those of the platform may be older if it was restored from a copy.
    void queryPeers(const KnowledgeFetchLimits &limits);
    /// Queries the peers, once: after routes and targets have been read from the platform, whose answers may be older than what peers
    /// have, or if the platform has not answered within `StartLimits::initialReadTimeout` after the start.
    void queryPeersAtStart();
    void adoptPeerKnowledge(const PeerKnowledge &peerKnowledge);
    void subscribeTo(const PublishedTarget &target);
    void subscribeToAgents();
    void onTick();
    /// Continues the searches that waited for a current list.
    void onListConfirmed();
    /// Logs and counts the entries of the platform that are set aside.
    void logSetAside(TimePoint now);
    /// Logs and counts the datagrams that had to wait for bandwidth or were dropped.
    void logSaturatedLink();
    /// Logs how many agents were heard when the daemon begins to read callers' packets.
    void logLoadKnown(TimePoint now) const;
    /// Logs once which evidence ended the wait for entries that may be missing from the list of targets.
    void logListEvidence(TimePoint now);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] StatusReport report();
    [[nodiscard]] ExplainReport explain(const std::string &flow) const;

    RelaySettings m_settings;
    DatagramSocket m_callerSocket;
    DatagramSocket m_daemonSocket;
    caf::actor m_program;
    std::shared_ptr<LoopMonitor> m_monitor;
    MessageGuard m_messageGuard;
    /// The Platform::StoreTask, which watches the platform's store: the sender of the TargetsCurrent messages. Null until the first
    /// such message arrives.
    caf::strong_actor_ptr m_storeTask;
    bool m_isRefreshPending = false;
    /// The Platform::ListCheckTask. Null until its first message arrives.
    caf::strong_actor_ptr m_listCheckTask;
    TimePoint m_listCheckedAt;
    EventPoll m_poll;
    RelayEncoder m_encoder;
    EntryRelay m_relay;
    LinkShaper m_shaper;
    Metrics m_metrics;
    LogRateLimiter m_routineLogLimiter;
    LogRateLimiter m_failureLogLimiter;
    Duration m_listCheckInterval;
    SetAsideLog m_setAsideLog;
    std::array<std::uint64_t, RelayReasonCount> m_decisionCounts {};
    std::uint64_t m_packetCount = 0;
    bool m_isReadingCallers = false;
    /// Whether a KnowledgeFetchTask is querying the peers, and other progress of the start.
    EntryStart m_start;
    bool m_hasQueriedPeers = false;
    bool m_isListSettled = false;
    TimePoint m_subscribedAt;
    TimePoint m_setAsideLoggedAt;
    std::optional<TimePoint> m_stopAt;
    bool m_isStopped = false;
};

} // namespace Papaya
