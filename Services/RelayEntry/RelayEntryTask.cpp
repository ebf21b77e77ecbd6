#include "RelayEntryTask.h"

#include "LibBalancing/VmEntries.h"
#include "LibCoordination/ColdTerms.h"
#include "LibCoordination/EntryEvacuation.h"
#include "LibCoordination/EntrySearch.h"
#include "LibCoordination/ListEvidence.h"
#include "LibProtocol/KnowledgeCodec.h"
#include "LibTransport/MonotonicClock.h"
#include "LibTransport/WallClock.h"
#include "platform/PacketCodec.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace Papaya {

namespace {

constexpr std::uint64_t CallersToken = 1;
constexpr std::uint64_t DaemonToken = 2;
constexpr Duration PollTimeout {20};
/// The same while datagrams wait for bandwidth.
constexpr Duration ShapedPollTimeout {2};
/// Limit on the batches of agents' datagrams that are read before callers' packets.
constexpr std::size_t AgentBatchesPerRound = 16;
/// The peers queried at the start. More than one, since a peer may have started shortly before as well.
constexpr KnowledgeFetchLimits StartFetch {3, 1};
/// The peers queried while the platform cannot be read. After that, only the platform can provide the routes and targets.
constexpr KnowledgeFetchLimits OutageFetch {1, 60};
/// How often the subscriptions to the agents' load reports are renewed.
constexpr Duration SubscriptionInterval {2'000};
/// Minimum time between two requests for the store's revision. It doubles with each one that did not show that the list is current, since
/// the store may be unavailable for long.
constexpr Duration InitialListCheckInterval {150};
constexpr Duration MaximumListCheckInterval {1'000};
/// How often the entries that are set aside, and a saturated link, are logged.
constexpr Duration StateLogInterval {1'000};
/// A stopping daemon keeps forwarding for this long. The platform's routers check its readiness twice a second and stop sending
/// packets after two failed checks.
constexpr Duration StopDelay {2'200};
/// Fraction of the link's bandwidth that searches for the targets of flows may use. The rest is for the packets of flows that need no
/// search.
constexpr double SearchShareOfLink = 0.3;
/// Size of the burst that searches may send, as the time that the burst takes at their full rate.
constexpr Duration SearchBurst {500};
constexpr double BytesPerMegabit = 125'000;
/// Limits on log lines per second, for routine decisions on flows and for failures.
constexpr int RoutineLinesPerSecond = 20;
constexpr int FailureLinesPerSecond = 50;

} // namespace

RelayEntryTask::RelayEntryTask(caf::actor_config &config,
                               RelaySettings settings,
                               DatagramSocket callers,
                               DatagramSocket daemon,
                               RelayProgramParts program)
    : caf::blocking_actor(config)
    , m_settings(std::move(settings))
    , m_callerSocket(std::move(callers))
    , m_daemonSocket(std::move(daemon))
    , m_program(std::move(program.actor))
    , m_monitor(std::move(program.monitor))
    , m_routineLogLimiter(RoutineLinesPerSecond)
    , m_failureLogLimiter(FailureLinesPerSecond)
    , m_listCheckInterval(InitialListCheckInterval)
{
    m_relay.failureDomain = m_settings.failureDomain;
    m_shaper = makeLinkShaper(m_settings.linkMegabits * BytesPerMegabit);
    m_relay.searchBandwidth = makeTokenBucket(m_settings.linkMegabits * BytesPerMegabit * SearchShareOfLink, SearchBurst);
}

void RelayEntryTask::act()
{
    m_relay.startedAt = currentTime();
    m_relay.startIncarnation = wallClockTime();
    m_poll.addReader(m_daemonSocket.descriptor(), DaemonToken);
    while (!m_isStopped) {
        m_monitor->recordTurn();
        const auto startedAt = currentTime();
        bool arePacketsWaiting = false;
        bool areDatagramsWaiting = false;
        m_poll.wait(m_shaper.queue.empty() ? PollTimeout : ShapedPollTimeout,
                    [&](std::uint64_t token) { (token == CallersToken ? arePacketsWaiting : areDatagramsWaiting) = true; });
        if (areDatagramsWaiting)
            readAgentDatagrams();
        else
            markAgentMessagesRead(m_relay, startedAt);
        if (arePacketsWaiting)
            readCallerPackets();
        processMessages();
        sendQueries(m_relay, currentTime(), *this);
        sendDelayedDatagrams();
        m_daemonSocket.flush();
        m_callerSocket.flush();
        startReadingCallers();
    }
    send(m_program, Stopped {});
}

void RelayEntryTask::readAgentDatagrams()
{
    for (std::size_t batch = 0; batch < AgentBatchesPerRound; ++batch) {
        const auto startedAt = currentTime();
        const auto count = m_daemonSocket.receive(
            [&](std::span<const std::byte> datagram, const Endpoint &agent) { handleAgentDatagram(datagram, agent); });
        if (count == DatagramSocket::BatchSize)
            continue;
        markAgentMessagesRead(m_relay, startedAt);
        return;
    }
}

void RelayEntryTask::readCallerPackets()
{
    const auto count = m_callerSocket.receive([&](std::span<const std::byte> packet, const Endpoint &) { handleCallerPacket(packet); });
    // A full batch takes long. What agents sent meanwhile is read before it is decided on timeouts.
    if (count == DatagramSocket::BatchSize)
        readAgentDatagrams();
}

void RelayEntryTask::startReadingCallers()
{
    queryPeersAtStart();
    const auto now = currentTime();
    if (m_isReadingCallers || !mayReadCallers(m_start, m_relay, now))
        return;
    m_isReadingCallers = true;
    logLoadKnown(now);
    m_poll.addReader(m_callerSocket.descriptor(), CallersToken);
}

void RelayEntryTask::queryPeersAtStart()
{
    if (m_hasQueriedPeers)
        return;
    if (hasRoutesAndTargets(m_relay))
        queryPeers(StartFetch);
    else if (!m_relay.hasTargetList && currentTime() - m_relay.startedAt >= m_start.limits.initialReadTimeout)
        queryPeers(OutageFetch);
}

void RelayEntryTask::queryPeers(const KnowledgeFetchLimits &limits)
{
    m_hasQueriedPeers = true;
    std::vector<Endpoint> peers;
    for (const auto &peer : m_settings.peers) {
        if (peer.address != m_settings.operators.address)
            peers.push_back({peer.address, m_settings.operators.port});
    }
    if (peers.empty()) {
        finishPeerQueries(m_relay);
        return;
    }
    // Daemons begin with different peers, so that the queries are spread over the peers.
    const auto first = static_cast<std::ptrdiff_t>(hashOf(m_settings.name) % peers.size());
    std::rotate(peers.begin(), peers.begin() + first, peers.end());
    EventLog("peers_asked").with("peers", peers.size());
    m_start.arePeersPending = true;
    std::optional<KnowledgeDigest> digest;
    if (hasRoutesAndTargets(m_relay))
        digest = knowledgeDigest(m_relay, currentTime());
    system().spawn<KnowledgeFetchTask, caf::detached>(std::move(peers), limits, digest, caf::actor_cast<caf::actor>(this));
}

void RelayEntryTask::adoptPeerKnowledge(const PeerKnowledge &peerKnowledge)
{
    const auto targetsBefore = m_relay.directory.targets.size();
    const bool isAdopted = importKnowledge(m_relay, *peerKnowledge.knowledge, currentTime(), *this);
    EventLog("knowledge_from_peer")
        .with("peer", toString(peerKnowledge.peer))
        .with("version", peerKnowledge.knowledge->routes.version)
        .with("targets", peerKnowledge.knowledge->targets.size())
        .with("settled", peerKnowledge.knowledge->isSettled ? "true" : "false")
        .with("outcome", isAdopted ? "taken" : "not_needed");
    if (isAdopted || m_relay.directory.targets.size() != targetsBefore)
        subscribeToAgents();
}

void RelayEntryTask::processMessages()
{
    drainMailbox(
        *this,
        m_messageGuard,
        [&](Tick) { onTick(); },
        [&](const RoutesReceived &received) { applyRoutes(received); },
        [&](const TargetsListed &listed) { applyTargetList(listed); },
        [&](const TargetsCurrent &current) {
            m_storeTask = current_sender();
            m_isRefreshPending = false;
            markTargetsCurrent(m_relay, current.asOf, current.revision);
            onListConfirmed();
        },
        [&](ListCheckReady) { m_listCheckTask = current_sender(); },
        [&](const ListChecked &checked) {
            markListChecked(m_relay, checked.revision, checked.asOf);
            if (areTargetsCurrentAsOf(m_relay, checked.asOf))
                onListConfirmed();
        },
        [&](PlatformReachable) { markPlatformReachable(m_relay, currentTime()); },
        [&](const TargetPublished &published) { applyPublishedTarget(published.target); },
        [&](const TargetWithdrawn &withdrawn) { withdrawTarget(withdrawn.target, withdrawn.grace); },
        [&](const EvacuationsListed &listed) { onEvacuationsListed(m_relay, *listed.list, currentTime(), *this); },
        [&](const EvacuationChanged &changed) {
            onEvacuationStated(m_relay, changed.domain, changed.statement, EvacuationSource::Platform, currentTime(), *this);
        },
        [&](const RelaySettingsChanged &) { EventLog("settings_changed").with("applied", "at_next_start"); },
        [&](const PeerKnowledge &peerKnowledge) { adoptPeerKnowledge(peerKnowledge); },
        [&](PeersQueried) {
            m_start.arePeersPending = false;
            finishPeerQueries(m_relay);
        },
        answerRequest<KnowledgeRequest>(m_messageGuard,
                                        [&](const KnowledgeRequest &request) {
                                            const auto knowledge = answerKnowledgeRequest(m_relay, request.digest, currentTime());
                                            return KnowledgeReport {knowledge ? encodeKnowledge(*knowledge) : std::string {}};
                                        }),
        answerRequest<StatusRequest>(m_messageGuard, [&](const StatusRequest &) { return report(); }),
        answerRequest<ExplainRequest>(m_messageGuard, [&](const ExplainRequest &request) { return explain(request.flow); }),
        [&](Stop) { m_stopAt = currentTime() + StopDelay; });
}

void RelayEntryTask::handleCallerPacket(std::span<const std::byte> packet)
{
    ++m_packetCount;
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
    const auto datagram = m_encoder.encode(envelope);
    const auto now = currentTime();
    if (envelope.packet.empty())
        spend(m_shaper, datagram.size(), now);
    else if (!trySpend(m_shaper, datagram.size(), now) && !isSentNow(envelope, agent, datagram, now))
        return;
    m_daemonSocket.queue(agent, datagram);
}

bool RelayEntryTask::isSentNow(const RelayEnvelope &envelope, const Endpoint &agent, std::span<const std::byte> datagram, TimePoint now)
{
    const auto summary = Platform::parsePacket(envelope.packet, Platform::PacketOrigin::Caller);
    if (summary.has_error())
        return true;
    return shape(m_shaper, summary.value().flow, agent, datagram, now) == ShapingDecision::SendNow;
}

void RelayEntryTask::sendDelayedDatagrams()
{
    while (const auto datagram = takeDue(m_shaper, currentTime()))
        m_daemonSocket.queue(datagram->receiver, datagram->bytes);
}

void RelayEntryTask::sendQuery(const Endpoint &agent, const RelayQuery &query)
{
    const auto datagram = m_encoder.encode(query);
    spend(m_shaper, datagram.size(), currentTime());
    m_daemonSocket.queue(agent, datagram);
}

void RelayEntryTask::resetCaller(const FlowKey &flow, std::uint32_t sequence)
{
    const auto packet = Platform::buildReset(flow, sequence);
    m_callerSocket.queue({flow.caller.address, m_settings.callers.port}, packet);
}

void RelayEntryTask::refreshTargets()
{
    if (m_storeTask && !std::exchange(m_isRefreshPending, true))
        send(caf::actor_cast<caf::actor>(m_storeTask), RefreshRequest {});
    const auto now = currentTime();
    if (!m_listCheckTask || now - m_listCheckedAt < m_listCheckInterval)
        return;
    m_listCheckedAt = now;
    m_listCheckInterval = std::min<Duration>(m_listCheckInterval * 2, MaximumListCheckInterval);
    m_metrics.count("list_checks");
    send(caf::actor_cast<caf::actor>(m_listCheckTask), ListCheckRequest {});
}

void RelayEntryTask::onListConfirmed()
{
    m_listCheckInterval = InitialListCheckInterval;
    retryPendingResets(m_relay, currentTime(), *this);
}

void RelayEntryTask::applyRoutes(const RoutesReceived &received)
{
    if (!setRoutes(m_relay, *received.routes, currentTime()))
        return;
    EventLog("routes_in_force").with("version", m_relay.routes.version).with("routes", m_relay.routes.routes.size());
}

void RelayEntryTask::applyTargetList(const TargetsListed &listed)
{
    std::set<MemberId> present;
    for (const auto &target : *listed.targets) {
        present.insert(target.id);
        applyPublishedTarget(target);
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

void RelayEntryTask::applyPublishedTarget(const PublishedTarget &target)
{
    const bool isColdAgain = hasNewColdTime(m_relay.directory, target, currentTime());
    const auto effect = onTargetPublished(m_relay, target, currentTime(), *this);
    if (effect == PublicationEffect::Unchanged)
        return;
    if (effect != PublicationEffect::Updated || isColdAgain)
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
    sendToAgent(target.agent, makeSubscription(m_relay, target, currentTime()));
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
    for (const auto *record : unheardTargets(m_start, m_relay, now))
        subscribeTo(record->published);
    logListEvidence(now);
    if (now - m_subscribedAt >= SubscriptionInterval)
        subscribeToAgents();
    if (now - m_setAsideLoggedAt >= StateLogInterval) {
        logSetAside(now);
        logSaturatedLink();
    }
    if (const auto suppressed = m_routineLogLimiter.takeSuppressed() + m_failureLogLimiter.takeSuppressed(); suppressed > 0)
        EventLog("flow_lines_suppressed").with("count", suppressed);
    if (m_stopAt && now >= *m_stopAt)
        m_isStopped = true;
}

bool RelayEntryTask::isReady() const
{
    return hasRoutesAndTargets(m_relay) && !m_stopAt;
}

} // namespace Papaya
