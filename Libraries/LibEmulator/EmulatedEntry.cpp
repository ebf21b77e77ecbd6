#include "LibEmulator/EmulatedEntry.h"

#include "LibCoordination/EntrySearch.h"

namespace Papaya::Emulator {

namespace {

constexpr Duration TickInterval {100};
constexpr Duration SubscriptionInterval {2'000};

} // namespace

EmulatedEntry::EmulatedEntry(EventQueue &events, EmulatedNetwork &network, Endpoint address, std::string name, std::string failureDomain)
    : m_events(events)
    , m_network(network)
    , m_address(address)
    , m_name(std::move(name))
    , m_failureDomain(std::move(failureDomain))
    , m_process(events, [this] { onIteration(); })
{
}

void EmulatedEntry::start(const ChoiceWeights &weights, const RouteTable &routes, const std::vector<PublishedTarget> &targets)
{
    const auto now = m_events.now();
    m_relay = EntryRelay {};
    m_relay.weights = weights;
    m_relay.failureDomain = m_failureDomain;
    m_relay.startedAt = now;
    m_isStopping = false;
    (void)setRoutes(m_relay, routes, now);
    for (const auto &target : targets)
        (void)onTargetPublished(m_relay, target, now, *this);
    markTargetsListed(m_relay, now);
    m_relay.watchStartedAt = now;
    markTargetsCurrent(m_relay, now);
    subscribeToAgents();
    m_tickedAt = {};
    m_process.start();
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

void EmulatedEntry::publishRoutes(const RouteTable &routes)
{
    m_process.post([this, routes] { (void)setRoutes(m_relay, routes, m_events.now()); });
}

void EmulatedEntry::publishTarget(const PublishedTarget &target)
{
    m_process.post([this, target] {
        (void)onTargetPublished(m_relay, target, m_events.now(), *this);
        sendToAgent(target.agent, {target.service, EnvelopePurpose::Subscribe, {}});
    });
}

void EmulatedEntry::withdrawTarget(MemberId target, Duration grace)
{
    m_process.post([this, target, grace] { (void)applyWithdrawn(m_relay.directory, target, m_events.now() + grace); });
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

void EmulatedEntry::resetCaller(const FlowKey &flow, std::uint32_t)
{
    EmulatedPacket packet;
    packet.summary.flow = flow;
    packet.summary.isReset = true;
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
        sendToAgent(record.published.agent, {record.published.service, EnvelopePurpose::Subscribe, {}});
}

void EmulatedEntry::onIteration()
{
    const auto now = m_events.now();
    if (now - m_tickedAt >= TickInterval) {
        m_tickedAt = now;
        onEntryTick(m_relay, now, *this);
        if (now - m_subscribedAt >= SubscriptionInterval)
            subscribeToAgents();
    }
    sendQueries(m_relay, now, *this);
}

} // namespace Papaya::Emulator
