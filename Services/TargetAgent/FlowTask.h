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
#include "LibTransport/MessageGuard.h"
#include "LibTransport/StreamBridge.h"

#include <map>
#include <optional>

namespace Papaya {

/// Owns the flows of one target. FlowProtocol makes the decisions and this task carries out their effects. The flows' TCP
/// connections are terminated by the user-space stack; the connections to the target are kernel sockets.
class FlowTask : public caf::blocking_actor
{
public:
    FlowTask(caf::actor_config &config, DaemonSettings settings, DatagramSocket daemon, Incarnation incarnation, caf::actor program);

    void act() override;

private:
    void startStack();
    void processMessages();
    void onConfiguration(const std::shared_ptr<const Configuration> &configuration);
    void onVmList(const VmList &vmList);
    void updateService();

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
    void finishTargetCheck(bool isUp);
    void resolveStreamEnds(bool isTargetUp);
    void endBridge(std::uint64_t token, BridgeState state);
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] bool isDrained() const;
    [[nodiscard]] std::size_t connectionCount() const;

    [[nodiscard]] StatusReport report();
    [[nodiscard]] ExplainReport explain(const std::string &flow) const;

    DaemonSettings m_settings;
    DatagramSocket m_daemonSocket;
    caf::actor m_program;
    EventPoll m_poll;
    Metrics m_metrics;
    LogRateLimiter m_packetLogLimiter;
    LogRateLimiter m_placementLogLimiter;
    LwipStack *m_stack = nullptr;
    MemberTable m_members;
    AgentFlows m_flows;
    std::shared_ptr<const Configuration> m_configuration;
    std::optional<ServiceConfiguration> m_service;
    std::vector<Endpoint> m_listeningAddresses;
    std::vector<VirtualMachine> m_heartbeatObservers;
    std::map<std::uint64_t, std::unique_ptr<StreamBridge>> m_bridges;
    std::unique_ptr<RequestEngine> m_engine;
    std::uint64_t m_nextToken;
    FileDescriptor m_targetCheckStream;
    TimePoint m_targetCheckedAt;
    /// Tokens of the bridges on which the target closed its stream, by the target check that decides whether the end of the stream
    /// is confirmed: the check in progress, or the next one.
    std::vector<std::uint64_t> m_bridgesAwaitingCurrentCheck;
    std::vector<std::uint64_t> m_bridgesAwaitingNextCheck;
    TimePoint m_heartbeatAt;
    bool m_isTargetUp = false;
    bool m_isStopping = false;
    TimePoint m_earliestStop;
    bool m_isStopped = false;
    MessageGuard m_messageGuard;
};

} // namespace Papaya
