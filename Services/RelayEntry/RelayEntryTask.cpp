#include "RelayEntryTask.h"

#include "LibCoordination/EntrySearch.h"
#include "LibProtocol/KnowledgeCodec.h"
#include "LibTransport/ExplainFlow.h"
#include "LibTransport/MonotonicClock.h"
#include "platform/PacketCodec.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Papaya {

namespace {

constexpr std::uint64_t CallersToken = 1;
constexpr std::uint64_t DaemonToken = 2;
constexpr Duration PollTime {20};
/// How long packets wait in the socket while a daemon that just started reads routes and targets; a caller repeats its SYN after
/// 200 ms. A platform that has not answered by then is slow or away, and other daemons are asked.
constexpr Duration FirstReadTime {180};
/// How often agents are told that this daemon wants load reports.
constexpr Duration SubscriptionInterval {2'000};
/// The time for which a stopping daemon goes on forwarding: the platform's routers ask for readiness twice a second, and send
/// nothing more after two refusals.
constexpr Duration StopDelay {2'200};
/// What searches for flows may take of the link, which also has to carry the packets of flows that are known.
constexpr double SearchShareOfLink = 0.3;
constexpr Duration SearchBurst {500};
constexpr double BytesPerMegabit = 125'000;
/// Lines a second on flows that go well, and on those that do not.
constexpr int RoutineLinesPerSecond = 20;
constexpr int FailureLinesPerSecond = 50;

bool isRoutine(RelayReason reason)
{
    return reason == RelayReason::Placed || reason == RelayReason::PlacedAfterBusy || reason == RelayReason::Opened
           || reason == RelayReason::SearchFound || reason == RelayReason::SearchStarted;
}

} // namespace

RelayEntryTask::RelayEntryTask(caf::actor_config &config,
                               RelaySettings settings,
                               DatagramSocket callers,
                               DatagramSocket daemon,
                               caf::actor program)
    : caf::blocking_actor(config)
    , m_settings(std::move(settings))
    , m_callers(std::move(callers))
    , m_daemon(std::move(daemon))
    , m_program(std::move(program))
    , m_routineLines(RoutineLinesPerSecond)
    , m_failureLines(FailureLinesPerSecond)
{
    m_relay.failureDomain = m_settings.failureDomain;
    m_relay.searchBandwidth = makeTokenBucket(m_settings.linkMegabits * BytesPerMegabit * SearchShareOfLink, SearchBurst);
}

void RelayEntryTask::act()
{
    m_relay.startedAt = currentTime();
    m_poll.addReader(m_daemon.descriptor(), DaemonToken);
    while (!m_isStopped) {
        m_poll.wait(PollTime, [&](std::uint64_t token) {
            if (token == CallersToken)
                m_callers.receive([&](std::span<const std::byte> packet, const Endpoint &) { handleCallerPacket(packet); });
            else
                m_daemon.receive([&](std::span<const std::byte> datagram, const Endpoint &agent) { handleAgentDatagram(datagram, agent); });
        });
        drainMailbox();
        sendQueries(m_relay, currentTime(), *this);
        m_daemon.flush();
        m_callers.flush();
        startReadingCallers();
    }
    send(m_program, Stopped {});
}

void RelayEntryTask::startReadingCallers()
{
    if (m_isReadingCallers || (!hasRoutesAndTargets(m_relay) && currentTime() - m_relay.startedAt < FirstReadTime))
        return;
    m_isReadingCallers = true;
    m_poll.addReader(m_callers.descriptor(), CallersToken);
}

void RelayEntryTask::askPeers()
{
    if (m_hasAskedPeers || hasRoutesAndTargets(m_relay) || m_settings.peers.empty() || currentTime() - m_relay.startedAt < FirstReadTime)
        return;
    m_hasAskedPeers = true;
    std::vector<Endpoint> peers;
    for (const auto &peer : m_settings.peers) {
        if (peer.address != m_settings.operators.address)
            peers.push_back({peer.address, m_settings.operators.port});
    }
    EventLog("peers_asked").with("peers", peers.size());
    system().spawn<KnowledgeFetchTask, caf::detached>(std::move(peers), caf::actor_cast<caf::actor>(this));
}

void RelayEntryTask::takeKnowledge(const PeerKnowledge &told)
{
    const bool isTaken = importKnowledge(m_relay, *told.knowledge, currentTime(), *this);
    EventLog("knowledge_from_peer")
        .with("peer", toString(told.peer))
        .with("version", told.knowledge->routes.version)
        .with("targets", told.knowledge->targets.size())
        .with("outcome", isTaken ? "taken" : "not_needed");
    if (isTaken)
        subscribeToAgents();
}

void RelayEntryTask::drainMailbox()
{
    while (!mailbox().empty()) {
        receive([&](Tick) { onTick(); },
                [&](const RoutesReceived &offer) { takeRoutes(offer); },
                [&](const TargetsListed &listed) { takeTargets(listed); },
                [&](const TargetsCurrent &complete) {
                    m_reader = current_sender();
                    m_isRefreshWanted = false;
                    markTargetsCurrent(m_relay, complete.asOf);
                    retryPendingResets(m_relay, currentTime(), *this);
                },
                [&](const WatchStateChanged &changed) { m_relay.watchStartedAt = changed.waitingSince; },
                [&](const TargetPublished &published) { takeTarget(published.target); },
                [&](const TargetWithdrawn &withdrawn) { withdrawTarget(withdrawn.target, withdrawn.grace); },
                [&](const RelaySettingsChanged &) { EventLog("settings_changed").with("applied", "at_next_start"); },
                [&](const PeerKnowledge &told) { takeKnowledge(told); },
                [&](KnowledgeRequest) {
                    const auto knowledge = exportKnowledge(m_relay, currentTime());
                    return KnowledgeReport {knowledge ? encodeKnowledge(*knowledge) : std::string {}};
                },
                [&](StatusRequest) { return report(); },
                [&](const ExplainRequest &question) { return explain(question.flow); },
                [&](Stop) { m_stopAt = currentTime() + StopDelay; });
    }
}

void RelayEntryTask::handleCallerPacket(std::span<const std::byte> packet)
{
    ++m_packets;
    const auto summary = Platform::parsePacket(packet, Platform::PacketOrigin::Caller);
    if (summary.has_error()) {
        m_metrics.count("packets_dropped", summary.error().subject);
        return;
    }
    onCallerPacket(m_relay, summary.value(), packet, currentTime(), *this);
}

void RelayEntryTask::handleAgentDatagram(std::span<const std::byte> datagram, const Endpoint &agent)
{
    const auto message = decodeRelayDatagram(datagram);
    if (message.has_error()) {
        m_metrics.count("datagrams_dropped", failureKindName(message.error().kind));
        return;
    }
    if (const auto *report = std::get_if<RelayReport>(&message.value()))
        onReport(m_relay, agent, *report, currentTime(), *this);
    else if (const auto *answer = std::get_if<RelayAnswer>(&message.value()))
        onAnswer(m_relay, agent, *answer, currentTime(), *this);
    else if (const auto *notice = std::get_if<RelayNotice>(&message.value()))
        handleNotice(*notice, agent);
    else
        m_metrics.count("datagrams_dropped", "unexpected_message");
}

void RelayEntryTask::handleNotice(const RelayNotice &notice, const Endpoint &agent)
{
    std::optional<PacketSummary> returned;
    if (!notice.packet.empty()) {
        const auto summary = Platform::parsePacket(notice.packet, Platform::PacketOrigin::Caller);
        if (summary.has_error()) {
            m_metrics.count("datagrams_dropped", summary.error().subject);
            return;
        }
        returned = summary.value();
    }
    onNotice(m_relay, agent, notice, returned, currentTime(), *this);
}

void RelayEntryTask::sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope)
{
    m_daemon.queue(agent, m_encoder.encode(envelope));
}

void RelayEntryTask::sendQuery(const Endpoint &agent, const RelayQuery &query)
{
    m_daemon.queue(agent, m_encoder.encode(query));
}

void RelayEntryTask::resetCaller(const FlowKey &flow, std::uint32_t sequence)
{
    const auto packet = Platform::buildReset(flow, sequence);
    m_callers.queue({flow.caller.address, m_settings.callers.port}, packet);
}

void RelayEntryTask::refreshTargets()
{
    if (m_reader && !std::exchange(m_isRefreshWanted, true))
        send(caf::actor_cast<caf::actor>(m_reader), RefreshRequest {});
}

void RelayEntryTask::recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent)
{
    ++m_decisions[static_cast<std::size_t>(reason)];
    auto &budget = isRoutine(reason) ? m_routineLines : m_failureLines;
    if (!budget.allow(currentTime()))
        return;
    EventLog line("flow_decision", isRoutine(reason) ? LogLevel::Info : LogLevel::Warning);
    line.with("flow", toString(flow)).with("reason", relayReasonName(reason)).with("routes", m_relay.routes.version);
    if (agent != Endpoint {})
        line.with("agent", toString(agent));
    const auto known = m_relay.flows.find(flow);
    if (known != m_relay.flows.end() && (reason == RelayReason::HeldByNobody || reason == RelayReason::SearchFound))
        line.with("search_ms", static_cast<std::uint64_t>((currentTime() - known->second.searchStartedAt).count()));
}

void RelayEntryTask::takeRoutes(const RoutesReceived &offer)
{
    if (!setRoutes(m_relay, *offer.routes, currentTime()))
        return;
    EventLog("routes_in_force").with("version", m_relay.routes.version).with("routes", m_relay.routes.routes.size());
}

void RelayEntryTask::takeTargets(const TargetsListed &listed)
{
    std::set<MemberId> present;
    for (const auto &target : *listed.targets) {
        present.insert(target.id);
        takeTarget(target);
    }
    std::vector<MemberId> missing;
    for (const auto &[id, record] : m_relay.directory.targets) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const auto id : missing)
        withdrawTarget(id, listed.withdrawalGrace);
    markTargetsListed(m_relay, currentTime());
    subscribeToAgents();
}

void RelayEntryTask::takeTarget(const PublishedTarget &target)
{
    const auto effect = onTargetPublished(m_relay, target, currentTime(), *this);
    if (effect == PublicationEffect::Unchanged)
        return;
    if (effect != PublicationEffect::Updated)
        subscribeTo(target);
    EventLog("target_published")
        .with("target", target.name)
        .with("agent", toString(target.agent))
        .with("state", target.isDraining ? "draining" : "ready")
        .with("cold_ms", static_cast<std::uint64_t>(target.coldTime.count()))
        .with("incarnation", target.incarnation)
        .with("replaces", effect == PublicationEffect::Replaced ? "true" : "false");
}

void RelayEntryTask::withdrawTarget(MemberId target, Duration grace)
{
    if (!applyWithdrawn(m_relay.directory, target, currentTime() + grace))
        return;
    EventLog("target_withdrawn")
        .with("target", m_relay.directory.targets.at(target).published.name)
        .with("grace_ms", static_cast<std::uint64_t>(grace.count()));
}

void RelayEntryTask::subscribeTo(const PublishedTarget &target)
{
    sendToAgent(target.agent, {target.service, EnvelopePurpose::Subscribe, {}, 0, target.incarnation});
}

void RelayEntryTask::subscribeToAgents()
{
    m_subscribedAt = currentTime();
    for (const auto &[id, record] : m_relay.directory.targets)
        subscribeTo(record.published);
}

void RelayEntryTask::onTick()
{
    const auto now = currentTime();
    onEntryTick(m_relay, now, *this);
    askPeers();
    if (now - m_subscribedAt >= SubscriptionInterval)
        subscribeToAgents();
    if (const auto suppressed = m_routineLines.takeSuppressed() + m_failureLines.takeSuppressed(); suppressed > 0)
        EventLog("flow_lines_suppressed").with("count", suppressed);
    if (m_stopAt && now >= *m_stopAt)
        m_isStopped = true;
}

bool RelayEntryTask::isReady() const
{
    return hasRoutesAndTargets(m_relay) && !m_stopAt;
}

StatusReport RelayEntryTask::report()
{
    for (std::size_t reason = 0; reason < m_decisions.size(); ++reason)
        m_metrics.count("flow_decisions", relayReasonName(static_cast<RelayReason>(reason)), std::exchange(m_decisions[reason], 0));
    m_metrics.count("packets", "", std::exchange(m_packets, 0));
    m_metrics.setGauge("flows", static_cast<double>(m_relay.flows.size()));
    m_metrics.setGauge("targets", static_cast<double>(m_relay.directory.targets.size()));
    m_metrics.setGauge("routes_version", static_cast<double>(m_relay.routes.version));
    nlohmann::json status;
    status["name"] = m_settings.name;
    status["role"] = "relay_entry";
    status["revision"] = m_relay.routes.version;
    status["flows"] = m_relay.flows.size();
    status["targets"] = m_relay.directory.targets.size();
    status["stopping"] = m_stopAt.has_value();
    StatusReport report;
    report.isReady = isReady();
    report.statusJson = status.dump();
    report.metricsText = m_metrics.prometheusText();
    return report;
}

ExplainReport RelayEntryTask::explain(const std::string &text) const
{
    return explainFlow(text, [&](const FlowKey &key, nlohmann::json &answer) {
        const auto flow = m_relay.flows.find(key);
        answer["known"] = flow != m_relay.flows.end();
        if (flow != m_relay.flows.end())
            answer["agent"] = toString(flow->second.agent);
        const auto route = m_relay.routes.routes.find(key.service);
        if (route != m_relay.routes.routes.end())
            answer["route"] = route->second.name;
    });
}

} // namespace Papaya
