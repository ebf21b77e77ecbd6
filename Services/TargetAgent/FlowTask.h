#pragma once

#include "RequestEngine.h"

#include "LibCoordination/FlowProtocol.h"
#include "LibProtocol/DaemonSettings.h"
#include "LibState/Metrics.h"
#include "LibTransport/DaemonMessages.h"
#include "LibTransport/DatagramSocket.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/LwipStack.h"
#include "LibTransport/StreamBridge.h"

#include <map>
#include <optional>

namespace Papaya {

/// Owns the flows of one target: a thin shell that carries out the effects of FlowProtocol, ends the flows' TCP in the user
/// space stack, and speaks to the target by the kernel's TCP.
class FlowTask : public caf::blocking_actor
{
public:
    FlowTask(caf::actor_config &config, DaemonSettings settings, DatagramSocket daemon, Incarnation incarnation, caf::actor program);

    void act() override;

private:
    void startStack();
    void drainMailbox();
    void takeConfiguration(const std::shared_ptr<const Configuration> &configuration);
    void takeMachines(const VmList &machines);
    void applyService();

    void onDatagram(std::span<const std::byte> datagram);
    void onPacketEnvelope(const Envelope &envelope);
    void carryOut(const Effects &effects);
    void carryOut(const SendMessage &effect);
    void carryOut(const DeliverPacket &effect);
    void carryOut(const SendReset &effect);
    void carryOut(const SendProbe &effect);
    void carryOut(const DropConnection &effect);
    void carryOut(const RecordDecision &effect);

    void processStack();
    void processReady(std::uint64_t token);
    void startFlow(std::unique_ptr<LwipConnection> connection);
    void pumpBridge(std::uint64_t token);
    void onStreamEvent(std::uint64_t token);

    void onTick();
    void updateMembers(TimePoint now);
    void updateLoad();
    void sendHeartbeats();
    void checkTarget(TimePoint now);
    void startTargetCheck(TimePoint now);
    void concludeTargetCheck(bool isUp);
    void concludeStreamEnds(bool isTargetUp);
    void endBridge(std::uint64_t token, BridgeState state);
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] bool hasNothingLeft() const;
    [[nodiscard]] std::size_t connectionCount() const;

    [[nodiscard]] StatusReport report();
    [[nodiscard]] ExplainReport explain(const std::string &flow) const;

    DaemonSettings m_settings;
    DatagramSocket m_daemon;
    caf::actor m_program;
    EventPoll m_poll;
    Metrics m_metrics;
    LogRateLimiter m_packetLines;
    LogRateLimiter m_placementLines;
    LwipStack *m_stack = nullptr;
    MemberTable m_members;
    AgentFlows m_flows;
    std::shared_ptr<const Configuration> m_configuration;
    std::optional<ServiceConfiguration> m_service;
    std::vector<Endpoint> m_listening;
    std::vector<VirtualMachine> m_observers;
    std::map<std::uint64_t, std::unique_ptr<StreamBridge>> m_bridges;
    std::unique_ptr<RequestEngine> m_engine;
    std::uint64_t m_nextToken;
    FileDescriptor m_targetCheck;
    TimePoint m_targetCheckedAt;
    /// Bridges whose target side ended: by the check that runs, or only by the one after it.
    std::vector<std::uint64_t> m_endsUnderCheck;
    std::vector<std::uint64_t> m_endsForNextCheck;
    TimePoint m_heartbeatAt;
    bool m_isTargetKnownUp = false;
    bool m_isStopping = false;
    TimePoint m_stopAt;
    bool m_isStopped = false;
};

} // namespace Papaya
