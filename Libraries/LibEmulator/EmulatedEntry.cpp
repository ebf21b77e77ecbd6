#include "LibEmulator/EmulatedEntry.h"

#include "LibBalancing/VmEntries.h"
#include "LibCoordination/ColdTerms.h"
#include "LibCoordination/EntryEvacuation.h"
#include "LibCoordination/EntrySearch.h"

#include <set>

namespace Papaya::Emulator {

namespace {

constexpr Duration TickInterval {100};
constexpr Duration SubscriptionInterval {2'000};
constexpr Duration PeerQueryTime {10};

} // namespace

EmulatedEntry::EmulatedEntry(EventQueue &events,
                             EmulatedNetwork &network,
                             EmulatedStore &store,
                             Endpoint address,
                             std::string name,
                             std::string failureDomain)
    : m_events(events)
    , m_network(network)
    , m_address(address)
    , m_name(std::move(name))
    , m_failureDomain(std::move(failureDomain))
    , m_process(events, [this] { onIteration(); })
    , m_store(events, store, m_process, *this, hashOf(m_name))
{
}

void EmulatedEntry::start(const ChoiceWeights &weights)
{
    m_relay = EntryRelay {};
    m_relay.weights = weights;
    m_relay.failureDomain = m_failureDomain;
    m_relay.startedAt = m_events.now();
    m_relay.startIncarnation = static_cast<Incarnation>(m_events.now().time_since_epoch().count());
    m_isStopping = false;
    m_hasQueriedPeers = false;
    m_start = EntryStart {};
    m_start.arePeersPending = true;
    m_tickedAt = {};
    m_subscribedAt = m_events.now();
    m_process.start();
    m_process.setReadingPackets(false);
    m_store.start();
}

void EmulatedEntry::receiveFromCaller(const EmulatedPacket &packet)
{
    m_process.arrive(ProcessSocket::Packets,
                     [this, packet] { onCallerPacket(m_relay, packet.summary, toBytes(packet), m_events.now(), *this); });
}

void EmulatedEntry::receiveFromAgent(const Endpoint &agent, std::vector<std::byte> datagram)
{
    m_process.arrive(ProcessSocket::Daemon, [this, agent, bytes = std::move(datagram)] { handleDatagram(agent, bytes); });
}

void EmulatedEntry::onRoutes(const RouteTable &routes)
{
    (void)setRoutes(m_relay, routes, m_events.now());
}

void EmulatedEntry::onTargetList(const std::vector<PublishedTarget> &targets, Duration grace)
{
    std::set<MemberId> present;
    for (const auto &target : targets) {
        present.insert(target.id);
        onTarget(target);
    }
    std::vector<MemberId> missing;
    for (const auto &[id, record] : m_relay.directory.targets) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const auto id : missing)
        onWithdrawal(id, grace);
    markTargetsListed(m_relay, m_events.now());
    subscribeToAgents();
}

void EmulatedEntry::onTarget(const PublishedTarget &target)
{
    const bool isColdAgain = hasNewColdTime(m_relay.directory, target, m_events.now());
    const auto effect = onTargetPublished(m_relay, target, m_events.now(), *this);
    if (effect == PublicationEffect::Added || effect == PublicationEffect::Replaced || isColdAgain)
        subscribeTo(target);
}

void EmulatedEntry::onWithdrawal(MemberId target, Duration grace)
{
    (void)applyWithdrawn(m_relay.directory, target, m_events.now() + grace);
}

void EmulatedEntry::onEvacuationList(const EvacuationList &list)
{
    onEvacuationsListed(m_relay, list, m_events.now(), *this);
}

void EmulatedEntry::onEvacuation(const std::string &domain, const EvacuationStatement &statement)
{
    onEvacuationStated(m_relay, domain, statement, EvacuationSource::Platform, m_events.now(), *this);
}

void EmulatedEntry::onCurrent(TimePoint asOf, const PlatformRevision &revision)
{
    markTargetsCurrent(m_relay, asOf, revision);
    retryPendingResets(m_relay, m_events.now(), *this);
}

void EmulatedEntry::onChecked(const PlatformRevision &revision, TimePoint asOf)
{
    markListChecked(m_relay, revision, asOf);
    retryPendingResets(m_relay, m_events.now(), *this);
}

void EmulatedEntry::onReachable()
{
    markPlatformReachable(m_relay, m_events.now());
}

void EmulatedEntry::queryPeers()
{
    const bool isWaiting = m_events.now() - m_relay.startedAt < m_start.limits.initialReadTimeout;
    if (m_hasQueriedPeers || (!hasRoutesAndTargets(m_relay) && isWaiting))
        return;
    m_hasQueriedPeers = true;
    m_events.schedule(PeerQueryTime, [this, generation = m_process.generation()] {
        if (m_process.generation() != generation)
            return;
        std::optional<KnowledgeDigest> digest;
        if (hasRoutesAndTargets(m_relay))
            digest = knowledgeDigest(m_relay, m_events.now());
        m_process.post([this, answers = m_network.queryPeers(m_address, digest)] { adoptAnswers(answers); });
    });
}

void EmulatedEntry::adoptAnswers(const std::vector<RelayKnowledge> &answers)
{
    const auto targetsBefore = m_relay.directory.targets.size();
    bool isAdopted = false;
    for (const auto &answer : answers)
        isAdopted = importKnowledge(m_relay, answer, m_events.now(), *this) || isAdopted;
    if (isAdopted || m_relay.directory.targets.size() != targetsBefore)
        subscribeToAgents();
    finishPeerQueries(m_relay);
    m_start.arePeersPending = false;
}

void EmulatedEntry::sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope)
{
    const auto bytes = m_encoder.encode(envelope);
    m_network.sendToAgent(m_address, agent, {bytes.begin(), bytes.end()});
}

void EmulatedEntry::sendQuery(const Endpoint &agent, const RelayQuery &query)
{
    const auto bytes = m_encoder.encode(query);
    m_network.sendToAgent(m_address, agent, {bytes.begin(), bytes.end()});
}

void EmulatedEntry::resetCaller(const FlowKey &flow, std::uint32_t sequence)
{
    EmulatedPacket packet;
    packet.summary.flow = flow;
    packet.summary.isReset = true;
    packet.summary.sequence = sequence;
    packet.senderEntry = m_address.address;
    m_network.sendToCallers(packet);
}

void EmulatedEntry::recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent)
{
    m_network.recordDecision(m_name, flow, reason, agent);
}

void EmulatedEntry::handleDatagram(const Endpoint &agent, std::span<const std::byte> datagram)
{
    const auto message = decodeRelayDatagram(datagram);
    if (message.has_error())
        return;
    const auto now = m_events.now();
    if (const auto *report = std::get_if<RelayReport>(&message.value()))
        onReport(m_relay, agent, *report, now, *this);
    if (const auto *answer = std::get_if<RelayAnswer>(&message.value()))
        onAnswer(m_relay, agent, *answer, now, *this);
    const auto *notice = std::get_if<RelayNotice>(&message.value());
    if (notice == nullptr)
        return;
    std::optional<PacketSummary> returned;
    if (!notice->packet.empty())
        returned = fromBytes(notice->packet).summary;
    onNotice(m_relay, agent, *notice, returned, now, *this);
}

void EmulatedEntry::subscribeToAgents()
{
    m_subscribedAt = m_events.now();
    for (const auto &[id, record] : m_relay.directory.targets)
        subscribeTo(record.published);
}

void EmulatedEntry::subscribeTo(const PublishedTarget &target)
{
    sendToAgent(target.agent, makeSubscription(m_relay, target, m_events.now()));
}

void EmulatedEntry::onIteration()
{
    const auto now = m_events.now();
    if (!m_process.hasUnread(ProcessSocket::Daemon))
        markAgentMessagesRead(m_relay, now);
    if (now - m_tickedAt >= TickInterval) {
        m_tickedAt = now;
        onEntryTick(m_relay, now, *this);
        for (const auto *record : unheardTargets(m_start, m_relay, now))
            subscribeTo(record->published);
        if (now - m_subscribedAt >= SubscriptionInterval)
            subscribeToAgents();
    }
    queryPeers();
    sendQueries(m_relay, now, *this);
    if (mayReadCallers(m_start, m_relay, now))
        m_process.setReadingPackets(true);
}

} // namespace Papaya::Emulator
