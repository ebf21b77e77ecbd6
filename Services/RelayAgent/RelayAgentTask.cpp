#include "RelayAgentTask.h"

#include "LibTransport/MonotonicClock.h"
#include "LibTransport/StreamSocket.h"
#include "LibTransport/WallClock.h"
#include "platform/PacketCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Papaya {

namespace {

constexpr std::uint64_t DaemonToken = 1;
constexpr std::uint64_t OutboundToken = 2;
constexpr Duration PollTimeout {20};
constexpr int NoticeLinesPerSecond = 20;
/// Timeout of a connection attempt to the target, which runs on the same VM and therefore accepts or refuses immediately.
constexpr Duration TargetCheckTimeout {50};
/// Minimum time between two connection attempts to a target that does not answer packets.
constexpr Duration TargetCheckInterval {1'000};
/// Minimum time between two log lines on the target's pace.
constexpr Duration PaceLogInterval {1'000};
/// A stopping agent ends this long before its process would be killed.
constexpr Duration StopReserve {1'000};
constexpr double MillisecondsPerSecond = 1'000;

/// Returns the name of a port's state for logs.
std::string_view portStateName(PortState state)
{
    switch (state) {
    case PortState::Open:
        return "open";
    case PortState::Closed:
        return "closed";
    case PortState::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

RelayAgentTask::RelayAgentTask(caf::actor_config &config,
                               RelaySettings settings,
                               DatagramSocket daemon,
                               DatagramSocket outbound,
                               ConnectedDatagramSocket target,
                               RelayProgramParts program)
    : caf::blocking_actor(config)
    , m_settings(std::move(settings))
    , m_daemonSocket(std::move(daemon))
    , m_outboundSocket(std::move(outbound))
    , m_targetSocket(std::move(target))
    , m_program(std::move(program.actor))
    , m_monitor(std::move(program.monitor))
    , m_noticeLogLimiter(NoticeLinesPerSecond)
{
    m_relay.service = hashOf(m_settings.service);
    m_relay.daemonPort = m_settings.daemon.port;
    m_relay.startedAt = currentTime();
    m_relay.agentIncarnation = wallClockTime();
    m_relay.hasCompleteFlowTable = m_settings.isFirstStart;
    m_relay.pace.limits.initialCapacity = m_settings.slowStartCapacity;
    m_relay.coldBound.excess = m_settings.coldExcess;
    m_relay.coldBound.slack = m_settings.coldSlack;
    m_loggedPaceStart = m_relay.pace.startedAt;
}

void RelayAgentTask::act()
{
    m_poll.addReader(m_daemonSocket.descriptor(), DaemonToken);
    m_poll.addReader(m_outboundSocket.descriptor(), OutboundToken);
    while (!m_isStopped) {
        m_monitor->recordTurn();
        m_poll.wait(PollTimeout, [&](std::uint64_t token) {
            if (token == DaemonToken)
                m_daemonSocket.receive(
                    [&](std::span<const std::byte> datagram, const Endpoint &entry) { handleDaemonDatagram(datagram, entry); });
            else
                m_outboundSocket.receive([&](std::span<const std::byte> packet, const Endpoint &) { handleTargetPacket(packet); });
        });
        processMessages();
        continueStop();
        m_outboundSocket.flush();
        m_daemonSocket.flush();
    }
    send(m_program, Stopped {});
}

void RelayAgentTask::processMessages()
{
    drainMailbox(
        *this,
        m_messageGuard,
        [&](Tick) { onTick(); },
        [&](const RelaySettingsChanged &changed) { applySettings(changed.settings); },
        answerRequest<StatusRequest>(m_messageGuard, [&](const StatusRequest &) { return report(); }),
        answerRequest<ExplainRequest>(m_messageGuard,
                                      [&](const ExplainRequest &request) {
                                          return ExplainReport {nlohmann::json({{"flow", request.flow}}).dump()};
                                      }),
        [&](Stop) { onStop(); });
}

void RelayAgentTask::onStop()
{
    const auto grace = Duration(static_cast<Duration::rep>(m_settings.stopGraceSeconds * MillisecondsPerSecond));
    m_stop.emplace();
    m_stop->deadline = currentTime() + std::max<Duration>(grace - StopReserve, Duration(0));
    m_stop->targetCheckedAt = currentTime();
    // If the target's port is closed, the subscribed entry daemons are informed. They then reset the target's flows immediately and
    // do not wait for this agent when they search for the target of a flow.
    checkTarget("stop");
}

void RelayAgentTask::continueStop()
{
    if (!m_stop)
        return;
    switch (nextStopStep(*m_stop, m_relay, currentTime())) {
    case AgentStopStep::Relay:
        return;
    case AgentStopStep::CheckTarget:
        checkTarget("stop");
        return;
    case AgentStopStep::AnnounceRestart:
        announceRestart(m_relay, currentTime(), *this);
        return;
    case AgentStopStep::End:
        EventLog("agent_ends")
            .with("target", targetStateName(m_relay.load.state))
            .with("flows", static_cast<std::uint64_t>(m_relay.load.openFlows));
        m_isStopped = true;
        return;
    }
}

void RelayAgentTask::checkTarget(std::string_view cause)
{
    m_targetCheckedAt = currentTime();
    const auto state = probeTcpPort(m_settings.target, TargetCheckTimeout);
    if (state == PortState::Closed)
        onPortRefused(m_relay, currentTime(), *this);
    else if (state == PortState::Open)
        onPortOpen(m_relay);
    EventLog("target_checked").with("cause", cause).with("outcome", portStateName(state));
}

void RelayAgentTask::handleDaemonDatagram(std::span<const std::byte> datagram, const Endpoint &entry)
{
    const auto message = decodeRelayDatagram(datagram);
    if (message.has_error())
        m_metrics.count("datagrams_dropped", failureKindName(message.error().kind));
    else if (const auto *envelope = std::get_if<RelayEnvelope>(&message.value()))
        handleEnvelope(*envelope, entry);
    else if (const auto *query = std::get_if<RelayQuery>(&message.value()))
        m_daemonSocket.queue(entry, m_encoder.encode(answerQuery(m_relay, entry, *query, currentTime())));
    else
        m_metrics.count("datagrams_dropped", "unexpected_message");
}

void RelayAgentTask::handleEnvelope(const RelayEnvelope &envelope, const Endpoint &entry)
{
    std::optional<PacketSummary> summary;
    if (envelope.purpose != EnvelopePurpose::Subscribe) {
        const auto parsed = Platform::parsePacket(envelope.packet, Platform::PacketOrigin::Caller);
        if (parsed.has_error()) {
            m_metrics.count("packets_dropped", parsed.error().subject);
            return;
        }
        summary = parsed.value();
    }
    onEnvelope(m_relay, entry, envelope, summary, currentTime(), *this);
}

void RelayAgentTask::handleTargetPacket(std::span<const std::byte> packet)
{
    const auto summary = Platform::parsePacket(packet, Platform::PacketOrigin::Target);
    if (summary.has_error()) {
        m_metrics.count("packets_dropped", summary.error().subject);
        return;
    }
    if (!summary.value().isReturned) {
        onTargetPacket(m_relay, summary.value(), packet, currentTime(), *this);
        return;
    }
    const auto restored = std::span(m_packetBuffer).first(packet.size());
    std::copy(packet.begin(), packet.end(), restored.begin());
    Platform::clearMark(restored);
    onTargetPacket(m_relay, summary.value(), restored, currentTime(), *this);
}

void RelayAgentTask::sendToTarget(std::span<const std::byte> packet, std::uint32_t mark)
{
    const auto marked = std::span(m_packetBuffer).first(packet.size());
    std::copy(packet.begin(), packet.end(), marked.begin());
    Platform::setMark(marked, mark);
    processSendOutcome(m_targetSocket.send(marked));
}

void RelayAgentTask::processSendOutcome(TargetSendOutcome outcome)
{
    if (outcome == TargetSendOutcome::Dropped)
        m_metrics.count("packets_dropped", "target_socket");
    if (outcome == TargetSendOutcome::PortClosed || m_targetSocket.takePortClosedError())
        onPortClosed(m_relay, currentTime(), *this);
}

void RelayAgentTask::sendToCaller(const Endpoint &caller, std::span<const std::byte> packet)
{
    m_outboundSocket.queue({caller.address, m_settings.callers.port}, packet);
}

void RelayAgentTask::sendNotice(const Endpoint &entry, const RelayNotice &notice)
{
    m_daemonSocket.queue(entry, m_encoder.encode(notice));
    m_metrics.count("notices", noticeKindName(notice.kind));
    if (!m_noticeLogLimiter.allow(currentTime()))
        return;
    EventLog("flow_notice")
        .with("flow", toString(notice.flow))
        .with("kind", noticeKindName(notice.kind))
        .with("entry", toString(entry))
        .with("flows", static_cast<std::uint64_t>(notice.load.openFlows))
        .with("running", static_cast<std::uint64_t>(notice.load.runningRequests));
}

void RelayAgentTask::sendReport(const Endpoint &entry, const RelayReport &report)
{
    m_daemonSocket.queue(entry, m_encoder.encode(report));
}

void RelayAgentTask::applySettings(const RelaySettings &settings)
{
    const auto service = hashOf(settings.service);
    if (service != m_relay.service) {
        m_relay.service = service;
        EventLog("service_changed").with("service", settings.service);
    }
    m_settings.service = settings.service;
    m_relay.coldBound.excess = settings.coldExcess;
    m_relay.coldBound.slack = settings.coldSlack;
}

void RelayAgentTask::onTick()
{
    if (m_targetSocket.takePortClosedError())
        onPortClosed(m_relay, currentTime(), *this);
    onAgentTick(m_relay, currentTime(), *this);
    const bool isCheckAllowed = m_relay.portRefusedAt || currentTime() - m_targetCheckedAt >= TargetCheckInterval;
    if (isCheckAllowed && isPortCheckDue(m_relay, currentTime()))
        checkTarget(m_relay.portRefusedAt ? "confirm" : "unanswered");
    if (m_relay.load.state != m_loggedState) {
        m_loggedState = m_relay.load.state;
        EventLog("target_state").with("state", targetStateName(m_loggedState)).with("flows", m_relay.flows.size());
    }
    logPace(currentTime());
    if (const auto suppressed = m_noticeLogLimiter.takeSuppressed(); suppressed > 0)
        EventLog("notice_lines_suppressed").with("count", suppressed);
}

void RelayAgentTask::logPace(TimePoint now)
{
    const auto &pace = m_relay.pace;
    const bool isLogged = pace.cause == m_loggedPace && pace.startedAt == m_loggedPaceStart;
    if (isLogged || now - m_paceLoggedAt < PaceLogInterval)
        return;
    m_loggedPace = pace.cause;
    m_loggedPaceStart = pace.startedAt;
    m_paceLoggedAt = now;
    EventLog("target_pace")
        .with("limit", static_cast<std::uint64_t>(pace.capacity))
        .with("cause", paceCauseName(pace.cause))
        .with("since_ms", static_cast<std::uint64_t>((now - pace.startedAt).count()))
        .with("response_us", static_cast<std::uint64_t>(m_relay.load.responseTime))
        .with("usual_us", static_cast<std::uint64_t>(pace.usualTime));
}

StatusReport RelayAgentTask::report()
{
    auto &limited = m_relay.limitedPlacements;
    m_metrics.count("placements_limited", "pace", std::exchange(limited.byPace, 0));
    m_metrics.count("placements_limited", "cold", std::exchange(limited.byColdBound, 0));
    m_metrics.setGauge("target_capacity", static_cast<double>(m_relay.load.capacity));
    setMessageGauges(m_metrics, m_messageGuard);
    m_metrics.setGauge("flows", static_cast<double>(m_relay.load.openFlows));
    m_metrics.setGauge("running_requests", static_cast<double>(m_relay.load.runningRequests));
    m_metrics.setGauge("evacuated", m_relay.evacuation.isEvacuated ? 1 : 0);
    m_metrics.setGauge("reserved_slots", static_cast<double>(m_relay.load.reservedSlots));
    m_metrics.setGauge("response_time_seconds", m_relay.load.responseTime / 1e6);
    nlohmann::json status;
    status["name"] = m_settings.name;
    status["role"] = "relay_agent";
    status["service"] = m_settings.service;
    status["flows"] = m_relay.load.openFlows;
    status["evacuated"] = m_relay.evacuation.isEvacuated;
    status["target"] = targetStateName(m_relay.load.state);
    StatusReport report;
    report.isReady = true;
    report.statusJson = status.dump();
    report.metricsText = m_metrics.prometheusText();
    return report;
}

} // namespace Papaya
