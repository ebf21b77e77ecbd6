#include "FlowTask.h"

#include "LibBalancing/RendezvousHash.h"
#include "LibCoordination/PeerSelection.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"
#include "LibTransport/LwipConnection.h"
#include "LibTransport/MonotonicClock.h"

#include <algorithm>
#include <cmath>

namespace Papaya {

namespace {

constexpr std::uint64_t DaemonToken = 1;
constexpr std::uint64_t TargetCheckToken = 2;
constexpr std::uint64_t FirstFlowToken = 16;
/// Set in the poll tokens of RequestEngine's connections to the target, each of which carries one request.
constexpr std::uint64_t CallTokenBit = 1ULL << 63U;

constexpr Duration PollTimeout {20};
constexpr Duration HeartbeatInterval {500};
constexpr Duration TargetCheckInterval {1'000};
constexpr Duration TargetCheckTimeout {2'000};
/// A stopping agent keeps running for at least this long, until all daemons that send it new flows have received a heartbeat
/// with its leaving state.
constexpr Duration StopDelay {2'000};
constexpr int PacketLinesPerSecond = 5;
constexpr int PlacementLinesPerSecond = 200;

/// Returns whether a decision with this reason is made for each packet of a flow, rather than once for the flow.
bool isPerPacket(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::Owned:
    case PlacementReason::DirectoryOwner:
    case PlacementReason::LocateHeld:
        return true;
    default:
        return false;
    }
}

} // namespace

FlowTask::FlowTask(caf::actor_config &config, DaemonSettings settings, DatagramSocket daemon, Incarnation incarnation, caf::actor program)
    : caf::blocking_actor(config)
    , m_settings(std::move(settings))
    , m_daemonSocket(std::move(daemon))
    , m_program(std::move(program))
    , m_packetLogLimiter(PacketLinesPerSecond)
    , m_placementLogLimiter(PlacementLinesPerSecond)
    , m_nextToken(FirstFlowToken)
{
    m_flows.self = hashOf(m_settings.name);
    m_flows.selfDaemon = m_settings.daemon;
    m_flows.incarnation = incarnation;
    m_flows.load.isTargetDown = true;
    m_engine = std::make_unique<RequestEngine>(
        m_poll, CallTokenBit, m_settings.target, m_metrics, [this](const FlowKey &flow) { onClosed(m_flows, flow, currentTime()); });
}

void FlowTask::act()
{
    startStack();
    m_poll.addReader(m_daemonSocket.descriptor(), DaemonToken);
    while (!m_isStopped) {
        m_poll.wait(PollTimeout, [&](std::uint64_t token) {
            const LwipLock lock;
            if (token == DaemonToken)
                m_daemonSocket.receive([&](std::span<const std::byte> datagram, const Endpoint &) { onDatagram(datagram); });
            else
                onStreamEvent(token);
        });
        const LwipLock lock;
        processStack();
        processMessages();
    }
    send(m_program, Stopped {});
}

void FlowTask::startStack()
{
    m_stack = &LwipStack::start([this](std::span<const std::byte> packet) {
        const auto segment = parsePacket(packet, PacketDirection::ToCaller);
        if (segment.has_value() && segment.value().isSyn)
            onHandshakeSent(m_flows, segment.value().flow, segment.value().sequence);
        m_daemonSocket.send(m_settings.fabric, packet);
    });
}

void FlowTask::processMessages()
{
    drainMailbox(
        *this,
        m_messageGuard,
        [&](Tick) { onTick(); },
        [&](const ConfigurationInForce &inForce) { onConfiguration(inForce.configuration); },
        [&](const VmListInForce &inForce) { onVmList(*inForce.list); },
        answerRequest<StatusRequest>(m_messageGuard, [&](const StatusRequest &) { return report(); }),
        answerRequest<ExplainRequest>(m_messageGuard, [&](const ExplainRequest &request) { return explain(request.flow); }),
        [&](Stop) {
            m_isStopping = true;
            m_earliestStop = currentTime() + StopDelay;
        });
}

void FlowTask::onConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_configuration = configuration;
    m_flows.revision = configuration->revision;
    updateService();
}

void FlowTask::onVmList(const VmList &vmList)
{
    if (!applyVmList(m_members, vmList, currentTime()))
        return;
    updateService();
}

/// Looks up the service of this target: the VM list has the target's group, and the configuration has the group's service.
/// Listens on each address of the service.
void FlowTask::updateService()
{
    const auto &machines = m_members.machines.machines;
    const auto ownVm =
        std::find_if(machines.begin(), machines.end(), [&](const VirtualMachine &machine) { return machine.name == m_settings.name; });
    if (ownVm == machines.end() || !m_configuration)
        return;
    m_heartbeatObservers = selectHeartbeatObservers(machines, *ownVm, PeerLimits {});
    const auto *service = serviceOfGroup(*m_configuration, ownVm->group);
    if (service == nullptr) {
        // Open flows continue. New flows are refused, because this target no longer has a service address.
        m_flows.serviceAddresses.clear();
        return;
    }
    m_service = *service;
    m_flows.service = hashOf(service->name);
    m_flows.serviceAddresses = service->addresses;
    m_engine->configure(*service);
    for (const auto &address : service->addresses) {
        if (std::find(m_listeningAddresses.begin(), m_listeningAddresses.end(), address) != m_listeningAddresses.end())
            continue;
        const auto added = m_stack->addAddress(address.address);
        const auto listening = added.has_value() ? m_stack->listen(address) : added;
        if (listening.has_error())
            EventLog("listen_failed", LogLevel::Error).with("address", toString(address)).with(listening.error());
        else
            m_listeningAddresses.push_back(address);
    }
    updateMembers(currentTime());
}

void FlowTask::onDatagram(std::span<const std::byte> datagram)
{
    auto message = decodeDatagram(datagram);
    if (message.has_error()) {
        m_metrics.count("datagrams_dropped", failureKindName(message.error().kind));
        return;
    }
    const auto now = currentTime();
    auto &value = message.value();
    if (const auto *envelope = std::get_if<Envelope>(&value)) {
        onPacketEnvelope(*envelope);
    } else if (const auto *query = std::get_if<LocateQuery>(&value)) {
        carryOut(onLocateQuery(m_flows, *query, now));
    } else if (const auto *reply = std::get_if<LocateReply>(&value)) {
        carryOut(onLocateReply(m_flows, *reply, now));
    } else if (const auto *announce = std::get_if<Announce>(&value)) {
        carryOut(onAnnounce(m_flows, *announce, now));
    } else if (const auto *release = std::get_if<Release>(&value)) {
        onRelease(m_flows, *release);
    } else if (const auto *heartbeat = std::get_if<Heartbeat>(&value)) {
        const auto effect = applyHeartbeat(m_members, *heartbeat, now);
        if (effect.isNew || effect.hasRestarted || effect.hasLeavingChanged)
            updateMembers(now);
    }
}

void FlowTask::onPacketEnvelope(const Envelope &envelope)
{
    const auto segment = parsePacket(envelope.packet, PacketDirection::FromCaller);
    if (segment.has_error()) {
        m_metrics.count("packets_dropped", segment.error().subject);
        return;
    }
    carryOut(onEnvelope(m_flows, envelope, segment.value(), currentTime()));
}

void FlowTask::carryOut(const Effects &effects)
{
    for (const auto &effect : effects)
        std::visit([this](const auto &alternative) { carryOut(alternative); }, effect);
}

void FlowTask::carryOut(const SendMessage &effect)
{
    m_daemonSocket.send(effect.to, encodeDatagram(effect.message));
}

void FlowTask::carryOut(const DeliverPacket &effect)
{
    m_stack->input(effect.packet);
}

void FlowTask::carryOut(const SendReset &effect)
{
    const auto reset = makeReset(effect.packet);
    if (reset.has_value())
        m_daemonSocket.send(m_settings.fabric, reset.value());
}

void FlowTask::carryOut(const SendProbe &effect)
{
    m_daemonSocket.send(m_settings.fabric, makeProbe(effect.flow, effect.sequence));
}

void FlowTask::carryOut(const DropConnection &effect)
{
    m_stack->abandon(effect.flow);
}

void FlowTask::carryOut(const RecordDecision &effect)
{
    m_metrics.count("placement", placementReasonName(effect.reason));
    auto &limiter = isPerPacket(effect.reason) ? m_packetLogLimiter : m_placementLogLimiter;
    if (!limiter.allow(currentTime()))
        return;
    const auto target =
        std::find_if(m_flows.members.begin(), m_flows.members.end(), [&](const Member &member) { return member.id == effect.target; });
    EventLog("flow_placement")
        .with("flow", toString(effect.flow))
        .with("reason", placementReasonName(effect.reason))
        .with("service", m_service ? m_service->name : "-")
        .with("target", target == m_flows.members.end() ? "-" : target->name)
        .with("revision", m_flows.revision);
}

void FlowTask::processStack()
{
    for (auto &connection : m_stack->takeAccepted())
        startFlow(std::move(connection));
    for (const auto token : m_stack->takeReady())
        processReady(token);
}

void FlowTask::processReady(std::uint64_t token)
{
    if (m_engine->hasFlow(token))
        m_engine->onFlowReady(token, currentTime());
    else
        pumpBridge(token);
}

void FlowTask::startFlow(std::unique_ptr<LwipConnection> connection)
{
    const auto flow = connection->flow();
    const auto token = m_nextToken++;
    onEstablished(m_flows, flow, currentTime());
    if (m_service && m_service->protocol == ServiceProtocol::Http) {
        m_engine->addFlow(token, std::move(connection), currentTime());
        return;
    }
    auto stream = connectStream(m_settings.target);
    if (stream.has_error()) {
        connection->abort();
        onAborted(m_flows, flow);
        EventLog("target_connect_failed", LogLevel::Warning).with("flow", toString(flow)).with(stream.error());
        return;
    }
    connection->setToken(token);
    auto bridge = std::make_unique<StreamBridge>(std::move(connection), std::move(stream.value()), EndOfStreamPolicy::AwaitConfirmation);
    m_poll.addStream(bridge->descriptor(), token);
    m_bridges.emplace(token, std::move(bridge));
    pumpBridge(token);
}

void FlowTask::pumpBridge(std::uint64_t token)
{
    const auto found = m_bridges.find(token);
    if (found == m_bridges.end())
        return;
    auto &bridge = *found->second;
    const bool wasAwaiting = bridge.isAwaitingConfirmation();
    const auto state = bridge.pump();
    if (state != BridgeState::Open) {
        endBridge(token, state);
    } else if (bridge.isAwaitingConfirmation() && !wasAwaiting) {
        // The caller receives FIN only if the target still runs after it has closed its stream. A check that started before the
        // close cannot confirm this, so the bridge waits for the next check.
        m_bridgesAwaitingNextCheck.push_back(token);
        startTargetCheck(currentTime());
    }
}

void FlowTask::endBridge(std::uint64_t token, BridgeState state)
{
    const auto found = m_bridges.find(token);
    const auto flow = found->second->connection().flow();
    if (state == BridgeState::Done) {
        onClosed(m_flows, flow, currentTime());
    } else {
        m_metrics.count("flows_broken");
        EventLog("flow_broken", LogLevel::Warning).with("flow", toString(flow)).with("service", m_service ? m_service->name : "-");
        onAborted(m_flows, flow);
    }
    m_bridges.erase(found);
}

void FlowTask::onStreamEvent(std::uint64_t token)
{
    if (token == TargetCheckToken) {
        const auto progress = connectProgress(m_targetCheckStream);
        if (progress != ConnectProgress::Pending)
            finishTargetCheck(progress == ConnectProgress::Connected);
        return;
    }
    if ((token & CallTokenBit) != 0)
        m_engine->onCallReady(token, currentTime());
    else
        pumpBridge(token);
}

void FlowTask::onTick()
{
    const auto now = currentTime();
    if (tick(m_members, now)) {
        EventLog("pause_detected", LogLevel::Warning).with("name", m_settings.name);
        // The queries of these searches were sent before the pause and are too old for a conclusion about the owner of a flow.
        m_flows.ownerSearches.clear();
    }
    updateMembers(now);
    checkTarget(now);
    updateLoad();
    m_engine->setLeaving(isLeaving());
    m_engine->onTick(now);
    carryOut(Papaya::onTick(m_flows, now));
    if (now - m_heartbeatAt >= HeartbeatInterval) {
        m_heartbeatAt = now;
        sendHeartbeats();
    }
    if (const auto suppressed = m_packetLogLimiter.takeSuppressed() + m_placementLogLimiter.takeSuppressed();
        suppressed > 0 && m_packetLogLimiter.allow(now))
        EventLog("packet_lines_suppressed").with("count", suppressed);
    if (m_isStopping && now >= m_earliestStop && isDrained())
        m_isStopped = true;
}

void FlowTask::updateMembers(TimePoint now)
{
    if (!m_service)
        return;
    auto members = membersOfGroup(m_members, m_service->targetGroup, now);
    for (auto &member : members) {
        if (member.id != m_flows.self)
            continue;
        member.health = MemberHealth::Alive;
        member.isLeaving = isLeaving();
        member.incarnation = m_flows.incarnation;
    }
    setMembers(m_flows, std::move(members));
}

void FlowTask::updateLoad()
{
    auto &load = m_flows.load;
    load.isLeaving = isLeaving();
    load.report.connections = static_cast<std::uint32_t>(connectionCount());
    load.report.connectionLimit = m_service ? static_cast<std::uint32_t>(m_service->connectionLimit) : 0;
    load.report.expectedWait = static_cast<std::uint32_t>(std::lround(expectedWait(m_engine->queue())));
}

void FlowTask::sendHeartbeats()
{
    Heartbeat heartbeat;
    heartbeat.sender = m_flows.self;
    heartbeat.daemon = m_settings.daemon;
    heartbeat.incarnation = m_flows.incarnation;
    // A target that is down takes no new flows, so other daemons treat it like a leaving one.
    heartbeat.isLeaving = isLeaving() || m_flows.load.isTargetDown;
    heartbeat.revision = m_flows.revision;
    heartbeat.load = m_flows.load.report;
    const auto datagram = encodeDatagram(heartbeat);
    for (const auto &observer : m_heartbeatObservers)
        m_daemonSocket.send(observer.daemon, datagram);
}

/// Connects to the target at each TargetCheckInterval. The target's own health endpoint may report a wrong state; a refused
/// connection is reliable.
void FlowTask::checkTarget(TimePoint now)
{
    if (m_targetCheckStream.isOpen()) {
        if (now - m_targetCheckedAt >= TargetCheckTimeout)
            finishTargetCheck(false);
        return;
    }
    if (now - m_targetCheckedAt >= TargetCheckInterval)
        startTargetCheck(now);
}

void FlowTask::startTargetCheck(TimePoint now)
{
    if (m_targetCheckStream.isOpen())
        return;
    m_bridgesAwaitingCurrentCheck = std::exchange(m_bridgesAwaitingNextCheck, {});
    m_targetCheckedAt = now;
    auto stream = connectStream(m_settings.target);
    if (stream.has_error()) {
        finishTargetCheck(false);
        return;
    }
    m_targetCheckStream = std::move(stream.value());
    m_poll.addStream(m_targetCheckStream.get(), TargetCheckToken);
}

void FlowTask::finishTargetCheck(bool isUp)
{
    m_targetCheckStream.reset();
    if (isUp != m_isTargetUp)
        EventLog(isUp ? "target_up" : "target_down", isUp ? LogLevel::Info : LogLevel::Warning).with("target", toString(m_settings.target));
    m_isTargetUp = isUp;
    m_flows.load.isTargetDown = !isUp;
    m_engine->setTargetDown(!isUp);
    resolveStreamEnds(isUp);
    if (!m_bridgesAwaitingNextCheck.empty())
        startTargetCheck(currentTime());
}

void FlowTask::resolveStreamEnds(bool isTargetUp)
{
    if (!isTargetUp) {
        // A target that is being killed may still accept the connection of a check, which then confirms stream ends that the
        // kill caused. Connections whose end was confirmed earlier are therefore reset as well.
        for (const auto &[token, bridge] : m_bridges) {
            if (bridge->hasReachedEndOfStream())
                m_bridgesAwaitingCurrentCheck.push_back(token);
        }
    }
    for (const auto token : std::exchange(m_bridgesAwaitingCurrentCheck, {})) {
        const auto found = m_bridges.find(token);
        if (found == m_bridges.end())
            continue;
        if (isTargetUp) {
            found->second->confirmEndOfStream();
            pumpBridge(token);
        } else {
            found->second->resetBoth();
            endBridge(token, BridgeState::Broken);
        }
    }
}

bool FlowTask::isLeaving() const
{
    if (m_isStopping)
        return true;
    const auto &machines = m_members.machines.machines;
    return std::any_of(machines.begin(), machines.end(), [&](const VirtualMachine &machine) {
        return machine.name == m_settings.name && machine.state == VmState::Leaving;
    });
}

bool FlowTask::isDrained() const
{
    // The stack's own count includes handshakes in progress and closed connections whose last bytes are not acknowledged yet.
    // Exiting would cut these off as well.
    return connectionCount() == 0 && m_engine->isIdle() && m_stack->activeConnectionCount() == 0;
}

std::size_t FlowTask::connectionCount() const
{
    return m_bridges.size() + m_engine->flowCount();
}

} // namespace Papaya
