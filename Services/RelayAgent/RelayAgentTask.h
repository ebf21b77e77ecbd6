#pragma once

#include "LibCoordination/AgentStop.h"
#include "LibProtocol/RelayCodec.h"
#include "LibProtocol/RelaySettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/ConnectedDatagramSocket.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/MessageGuard.h"
#include "LibTransport/RelayProgram.h"

#include <array>
#include <optional>

namespace Papaya {

/// Forwards packets between entry daemons, callers and the target on the same VM. AgentRelay makes the decisions; this task
/// does the I/O.
class RelayAgentTask : public caf::blocking_actor, private AgentOutput
{
public:
    RelayAgentTask(caf::actor_config &config,
                   RelaySettings settings,
                   DatagramSocket daemon,
                   DatagramSocket outbound,
                   ConnectedDatagramSocket target,
                   RelayProgramParts program);

    void act() override;

private:
    void sendToTarget(std::span<const std::byte> packet, std::uint32_t mark) override;
    void sendToCaller(const Endpoint &caller, std::span<const std::byte> packet) override;
    void sendNotice(const Endpoint &entry, const RelayNotice &notice) override;
    void sendReport(const Endpoint &entry, const RelayReport &report) override;

    void processMessages();
    void onStop();
    /// Takes the next step of a graceful stop, if there is one.
    void continueStop();
    /// Tries to connect to the target's port. When the port is closed, the subscribed entry daemons are informed. `cause` is
    /// written to the log.
    void checkTarget(std::string_view cause);
    void handleDaemonDatagram(std::span<const std::byte> datagram, const Endpoint &entry);
    void handleEnvelope(const RelayEnvelope &envelope, const Endpoint &entry);
    void handleTargetPacket(std::span<const std::byte> packet);
    /// Counts a dropped packet, and informs the subscribed entry daemons when the target's port turned out to be closed.
    void processSendOutcome(TargetSendOutcome outcome);
    void applySettings(const RelaySettings &settings);
    void onTick();
    /// Logs the state of the target's pace when it has changed, at most once a second.
    void logPace(TimePoint now);
    [[nodiscard]] StatusReport report();

    RelaySettings m_settings;
    DatagramSocket m_daemonSocket;
    DatagramSocket m_outboundSocket;
    ConnectedDatagramSocket m_targetSocket;
    caf::actor m_program;
    std::shared_ptr<LoopMonitor> m_monitor;
    MessageGuard m_messageGuard;
    EventPoll m_poll;
    RelayEncoder m_encoder;
    AgentRelay m_relay;
    Metrics m_metrics;
    LogRateLimiter m_noticeLogLimiter;
    /// Holds a copy of the current packet while its mark is set or cleared.
    std::array<std::byte, RelayDatagramSizeLimit> m_packetBuffer {};
    TimePoint m_targetCheckedAt;
    TargetState m_loggedState = TargetState::Answering;
    PaceCause m_loggedPace = PaceCause::None;
    /// The start of the pace that was logged last.
    TimePoint m_loggedPaceStart;
    TimePoint m_paceLoggedAt;
    /// The graceful stop; nothing while the agent is not stopping.
    std::optional<AgentStop> m_stop;
    bool m_isStopped = false;
};

} // namespace Papaya
