#pragma once

#include "LibCoordination/AgentRelay.h"
#include "LibProtocol/RelayCodec.h"
#include "LibProtocol/RelaySettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/ConnectedDatagramSocket.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/RelayProgram.h"

#include <array>

namespace Papaya {

/// Passes packets between entry daemons, the target beside it, and callers: a thin shell that carries out the decisions of
/// AgentRelay.
class RelayAgentTask : public caf::blocking_actor, private AgentOutput
{
public:
    RelayAgentTask(caf::actor_config &config,
                   RelaySettings settings,
                   DatagramSocket daemon,
                   DatagramSocket outbound,
                   ConnectedDatagramSocket target,
                   caf::actor program);

    void act() override;

private:
    void sendToTarget(std::span<const std::byte> packet, std::uint32_t mark) override;
    void sendToCaller(const Endpoint &caller, std::span<const std::byte> packet) override;
    void sendNotice(const Endpoint &entry, const RelayNotice &notice) override;
    void sendReport(const Endpoint &entry, const RelayReport &report) override;

    void drainMailbox();
    void onStop();
    /// Looks whether anything listens at the target's port, and notes when nothing does.
    void checkTarget(std::string_view cause);
    void handleDaemonDatagram(std::span<const std::byte> datagram, const Endpoint &entry);
    void handleEnvelope(const RelayEnvelope &envelope, const Endpoint &entry);
    void handleTargetPacket(std::span<const std::byte> packet);
    void noteTarget(TargetSendOutcome outcome);
    void takeSettings(const RelaySettings &settings);
    void onTick();
    [[nodiscard]] StatusReport report();

    RelaySettings m_settings;
    DatagramSocket m_daemon;
    DatagramSocket m_outbound;
    ConnectedDatagramSocket m_target;
    caf::actor m_program;
    EventPoll m_poll;
    RelayEncoder m_encoder;
    AgentRelay m_relay;
    Metrics m_metrics;
    LogRateLimiter m_noticeLines;
    std::array<std::byte, RelayDatagramSizeLimit> m_scratch {};
    TimePoint m_checkedAt;
    TargetState m_loggedState = TargetState::Answering;
    bool m_isStopped = false;
};

} // namespace Papaya
