#include "LibEmulator/RelaySimulation.h"

#include "LibCoordination/EntrySearch.h"
#include "LibCoordination/RendezvousHash.h"

#include <algorithm>

namespace Papaya::Emulator {

namespace {

constexpr std::uint16_t DaemonPort = 7'720;
constexpr std::uint16_t ApplicationPort = 8'165;
constexpr std::uint32_t FirstEntryAddress = 0x0a010001;
constexpr std::uint32_t FirstTargetAddress = 0x0a020001;
constexpr Duration EntryTickInterval {100};
constexpr Duration AgentTickInterval {100};
/// How often an entry daemon sends the queries that are due.
constexpr Duration QueryInterval {20};
constexpr Duration SubscriptionInterval {2'000};
/// Time until the fabric takes an entry daemon out of rotation after the daemon died or reported that it is stopping.
constexpr Duration FabricDetectionTime {1'000};
constexpr Duration GracefulStopTime {2'200};
constexpr Duration StartTime {300};

} // namespace

std::vector<TargetOptions> makeTargets(const std::string &service, std::size_t count, std::span<const double> speeds)
{
    static const std::array<std::string, 3> domains {"domain-a", "domain-b", "domain-c"};
    std::vector<TargetOptions> targets;
    for (std::size_t index = 0; index < count; ++index) {
        TargetOptions options;
        options.name = service + "-" + std::to_string(index);
        options.service = hashOf(service);
        options.failureDomain = domains[index % domains.size()];
        options.speed = speeds.empty() ? 1 : speeds[index % speeds.size()];
        targets.push_back(options);
    }
    return targets;
}

Route makeRoute(const Endpoint &address, const std::string &service)
{
    return {service, address, {{hashOf(service), service, 1}}, true};
}

/// An entry daemon whose decisions are carried out on the emulated network.
struct RelaySimulation::EntryNode : EntryOutput {
    EntryNode(RelaySimulation &parent, Endpoint endpoint, std::string domain)
        : simulation(parent)
        , address(endpoint)
        , failureDomain(std::move(domain))
    {
    }

    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override
    {
        const auto bytes = encoder.encode(envelope);
        simulation.sendToAgentNode(address, agent, {bytes.begin(), bytes.end()});
    }

    void sendQuery(const Endpoint &agent, const RelayQuery &query) override
    {
        const auto bytes = encoder.encode(query);
        simulation.sendToAgentNode(address, agent, {bytes.begin(), bytes.end()});
    }

    void resetCaller(const FlowKey &flow, std::uint32_t) override
    {
        EmulatedPacket packet;
        packet.summary.flow = flow;
        packet.summary.isReset = true;
        simulation.sendToCallers(packet);
    }

    void refreshTargets() override { }

    void recordDecision(const FlowKey &, RelayReason reason, const Endpoint &) override
    {
        ++simulation.m_decisions[static_cast<std::size_t>(reason)];
    }

    void receive(const Endpoint &agent, std::span<const std::byte> datagram)
    {
        const auto message = decodeRelayDatagram(datagram);
        if (message.has_error())
            return;
        const auto now = simulation.m_events.now();
        if (const auto *report = std::get_if<RelayReport>(&message.value()))
            onReport(relay, agent, *report, now, *this);
        if (const auto *answer = std::get_if<RelayAnswer>(&message.value()))
            onAnswer(relay, agent, *answer, now, *this);
        const auto *notice = std::get_if<RelayNotice>(&message.value());
        if (notice == nullptr)
            return;
        std::optional<PacketSummary> returned;
        if (!notice->packet.empty())
            returned = fromBytes(notice->packet).summary;
        onNotice(relay, agent, *notice, returned, now, *this);
    }

    RelaySimulation &simulation;
    Endpoint address;
    std::string failureDomain;
    EntryRelay relay;
    RelayEncoder encoder;
    bool isUp = false;
    bool isInRotation = false;
    /// Incremented when the daemon starts or stops, so that actions scheduled for an earlier process are dropped.
    std::uint64_t generation = 0;
    TimePoint subscribedAt;
};

/// An agent and the target on the same VM.
struct RelaySimulation::AgentNode : AgentOutput {
    AgentNode(RelaySimulation &parent, Endpoint endpoint)
        : simulation(parent)
        , address(endpoint)
    {
    }

    void sendToTarget(std::span<const std::byte> packet, std::uint32_t mark) override
    {
        auto copy = fromBytes(packet);
        copy.summary.mark = mark;
        if (target->isUp()) {
            target->receive(copy);
            return;
        }
        if (!target->isDraining())
            onPortClosed(relay, simulation.m_events.now(), *this);
    }

    void sendToCaller(const Endpoint &, std::span<const std::byte> packet) override { simulation.sendToCallers(fromBytes(packet)); }

    void sendNotice(const Endpoint &entry, const RelayNotice &notice) override
    {
        const auto bytes = encoder.encode(notice);
        simulation.sendToEntryNode(address, entry, {bytes.begin(), bytes.end()});
    }

    void sendReport(const Endpoint &entry, const RelayReport &report) override
    {
        const auto bytes = encoder.encode(report);
        simulation.sendToEntryNode(address, entry, {bytes.begin(), bytes.end()});
    }

    void receive(const Endpoint &entry, std::span<const std::byte> datagram)
    {
        const auto message = decodeRelayDatagram(datagram);
        if (message.has_error())
            return;
        if (const auto *query = std::get_if<RelayQuery>(&message.value())) {
            const auto bytes = encoder.encode(answerQuery(relay, entry, *query, simulation.m_events.now()));
            simulation.sendToEntryNode(address, entry, {bytes.begin(), bytes.end()});
        }
        const auto *envelope = std::get_if<RelayEnvelope>(&message.value());
        if (envelope == nullptr)
            return;
        std::optional<PacketSummary> summary;
        if (!envelope->packet.empty())
            summary = fromBytes(envelope->packet).summary;
        onEnvelope(relay, entry, *envelope, summary, simulation.m_events.now(), *this);
    }

    void receiveFromTarget(const EmulatedPacket &packet)
    {
        if (!isUp)
            return;
        auto restored = packet;
        if (packet.summary.isReturned) {
            restored.summary.isReturned = false;
            restored.summary.mark = 0;
        }
        const auto bytes = toBytes(restored);
        onTargetPacket(relay, packet.summary, bytes, simulation.m_events.now(), *this);
    }

    RelaySimulation &simulation;
    Endpoint address;
    AgentRelay relay;
    RelayEncoder encoder;
    std::unique_ptr<EmulatedTarget> target;
    bool isUp = false;
    /// Incremented when the agent starts or stops, so that actions scheduled for an earlier process are dropped.
    std::uint64_t generation = 0;
    /// Store revision at which the target was listed; 0 while the target is withdrawn.
    std::uint64_t listingRevision = 0;
};

RelaySimulation::RelaySimulation(SimulationOptions options)
    : m_random(options.seed)
    , m_options(std::move(options))
{
    m_callers = std::make_unique<EmulatedCallers>(
        m_events,
        m_random(),
        m_options.kinds,
        [this](const EmulatedPacket &packet) { transmit(m_options.network.callerDelay, [this, packet] { deliverCallerPacket(packet); }); },
        [this](const FlowKey &flow) { return isHeldByTarget(flow); });
    publishRoutes(m_options.routes);
    for (const auto &target : m_options.targets)
        addTarget(target);
    for (std::size_t index = 0; index < m_options.entryDaemons; ++index) {
        const Endpoint address {FirstEntryAddress + static_cast<std::uint32_t>(index), DaemonPort};
        m_entries.push_back(std::make_unique<EntryNode>(*this, address, m_options.failureDomains[index % m_options.failureDomains.size()]));
        startEntry(index);
    }
    run(Duration(500));
}

RelaySimulation::~RelaySimulation() = default;

void RelaySimulation::run(Duration duration)
{
    m_events.runUntil(m_events.now() + duration);
}

void RelaySimulation::startCallers(Duration duration)
{
    m_callers->start(m_events.now() + duration);
}

void RelaySimulation::transmit(Duration delay, EventQueue::Action delivery)
{
    std::bernoulli_distribution isLost(m_options.network.lossRate);
    if (!isLost(m_random))
        m_events.schedule(delay, std::move(delivery));
}

Duration RelaySimulation::delayBetween(const std::string &left, const std::string &right) const
{
    return left == right ? m_options.network.sameDomainDelay : m_options.network.crossDomainDelay;
}

void RelaySimulation::deliverCallerPacket(const EmulatedPacket &packet)
{
    std::vector<std::uint64_t> ids;
    std::vector<EntryNode *> inRotation;
    for (const auto &entry : m_entries) {
        if (!entry->isInRotation)
            continue;
        ids.push_back(entry->address.address);
        inRotation.push_back(entry.get());
    }
    const auto chosen = rendezvousFirst(ids, hashOf(packet.summary.flow));
    if (chosen == ids.size() || !inRotation[chosen]->isUp)
        return;
    auto &entry = *inRotation[chosen];
    onCallerPacket(entry.relay, packet.summary, toBytes(packet), m_events.now(), entry);
}

void RelaySimulation::sendToAgentNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram)
{
    const auto agent = std::find_if(m_agents.begin(), m_agents.end(), [&](const auto &node) { return node->address == to; });
    if (agent == m_agents.end())
        return;
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &node) { return node->address == from; });
    const auto delay = delayBetween((*entry)->failureDomain, (*agent)->target->options().failureDomain);
    transmit(delay, [node = agent->get(), from, bytes = std::move(datagram)] {
        if (node->isUp)
            node->receive(from, bytes);
    });
}

void RelaySimulation::sendToEntryNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram)
{
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &node) { return node->address == to; });
    if (entry == m_entries.end())
        return;
    transmit(m_options.network.crossDomainDelay, [node = entry->get(), from, bytes = std::move(datagram)] {
        if (node->isUp)
            node->receive(from, bytes);
    });
}

void RelaySimulation::sendToCallers(const EmulatedPacket &packet)
{
    transmit(m_options.network.callerDelay, [this, packet] { m_callers->receive(packet); });
}

void RelaySimulation::killEntry(std::size_t index)
{
    auto &entry = *m_entries.at(index);
    entry.isUp = false;
    const auto generation = ++entry.generation;
    m_events.schedule(FabricDetectionTime, [&entry, generation] {
        if (entry.generation == generation)
            entry.isInRotation = false;
    });
}

void RelaySimulation::startEntry(std::size_t index)
{
    auto &entry = *m_entries.at(index);
    entry.relay = EntryRelay {};
    entry.relay.weights = m_options.weights;
    entry.relay.failureDomain = entry.failureDomain;
    entry.relay.startedAt = m_events.now();
    entry.isUp = true;
    const auto generation = ++entry.generation;
    (void)setRoutes(entry.relay, m_routes, m_events.now());
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        if (m_agents[target]->listingRevision > 0)
            publishTo(entry, publicationOf(target));
    }
    markTargetsListed(entry.relay, m_events.now());
    entry.relay.watchStartedAt = m_events.now();
    markTargetsCurrent(entry.relay, m_events.now());
    entry.isInRotation = true;
    runEntryTick(index, generation);
    sendDueQueries(index, generation);
}

void RelaySimulation::restartEntryGracefully(std::size_t index)
{
    m_events.schedule(FabricDetectionTime, [this, index] { m_entries.at(index)->isInRotation = false; });
    m_events.schedule(GracefulStopTime, [this, index] { killEntry(index); });
    m_events.schedule(GracefulStopTime + StartTime, [this, index] { startEntry(index); });
}

void RelaySimulation::killAgent(std::size_t index)
{
    m_agents.at(index)->isUp = false;
    ++m_agents.at(index)->generation;
}

void RelaySimulation::startAgent(std::size_t index)
{
    auto &agent = *m_agents.at(index);
    agent.relay = AgentRelay {};
    agent.relay.service = agent.target->options().service;
    agent.relay.daemonPort = DaemonPort;
    agent.relay.startedAt = m_events.now();
    agent.isUp = true;
    runAgentTick(index, ++agent.generation);
}

void RelaySimulation::crashTarget(std::size_t index)
{
    m_agents.at(index)->target->crash();
}

void RelaySimulation::restartTarget(std::size_t index)
{
    m_agents.at(index)->target->restart();
    m_agents.at(index)->listingRevision = ++m_revision;
    publishTarget(index);
}

void RelaySimulation::drainTarget(std::size_t index)
{
    m_agents.at(index)->target->setDraining();
    publishTarget(index);
}

std::size_t RelaySimulation::addTarget(const TargetOptions &options)
{
    const auto index = m_agents.size();
    auto assigned = options;
    assigned.address = {FirstTargetAddress + static_cast<std::uint32_t>(index), ApplicationPort};
    auto node = std::make_unique<AgentNode>(*this, Endpoint {assigned.address.address, DaemonPort});
    auto *nodePointer = node.get();
    const auto service = assigned.service;
    node->target = std::make_unique<EmulatedTarget>(
        m_events,
        m_random(),
        assigned,
        [nodePointer](const EmulatedPacket &packet) { nodePointer->receiveFromTarget(packet); },
        [this, service](std::uint64_t request, const FlowKey &flow) { recordRequestStart(request, flow, service); });
    node->listingRevision = ++m_revision;
    m_agents.push_back(std::move(node));
    startAgent(index);
    nodePointer->relay.hasCompleteFlowTable = true;
    publishTarget(index);
    return index;
}

void RelaySimulation::withdrawTarget(std::size_t index, Duration grace)
{
    m_agents.at(index)->listingRevision = 0;
    const auto id = publicationOf(index).id;
    for (const auto &entry : m_entries) {
        if (entry->isUp)
            (void)applyWithdrawn(entry->relay.directory, id, m_events.now() + grace);
    }
}

void RelaySimulation::publishRoutes(std::vector<Route> routes)
{
    ++m_routes.version;
    m_routes.changeRevision.number = ++m_revision;
    m_routes.routes.clear();
    for (auto &route : routes) {
        for (const auto &service : route.services)
            m_routedServices.emplace_back(route.address, service.service);
        m_routes.routes.emplace(route.address, route);
    }
    for (const auto &entry : m_entries) {
        m_events.schedule(m_options.network.publicationDelay, [this, node = entry.get(), generation = entry->generation, table = m_routes] {
            if (node->isUp && node->generation == generation)
                (void)setRoutes(node->relay, table, m_events.now());
        });
    }
}

PublishedTarget RelaySimulation::publicationOf(std::size_t index) const
{
    const auto &node = *m_agents.at(index);
    const auto &options = node.target->options();
    PublishedTarget target;
    target.name = options.name;
    target.id = hashOf(options.name);
    target.service = options.service;
    target.application = options.address;
    target.agent = node.address;
    target.failureDomain = options.failureDomain;
    target.slots = options.slots;
    target.isDraining = node.target->isDraining();
    target.incarnation = node.target->incarnation();
    target.listingRevision.number = node.listingRevision;
    return target;
}

void RelaySimulation::publishTarget(std::size_t index)
{
    const auto target = publicationOf(index);
    for (const auto &entry : m_entries) {
        m_events.schedule(m_options.network.publicationDelay, [this, node = entry.get(), generation = entry->generation, target] {
            if (node->isUp && node->generation == generation)
                publishTo(*node, target);
        });
    }
}

void RelaySimulation::publishTo(EntryNode &entry, const PublishedTarget &target)
{
    (void)onTargetPublished(entry.relay, target, m_events.now(), entry);
    entry.sendToAgent(target.agent, {target.service, EnvelopePurpose::Subscribe, {}});
}

void RelaySimulation::runEntryTick(std::size_t index, std::uint64_t generation)
{
    auto &entry = *m_entries.at(index);
    if (!entry.isUp || entry.generation != generation)
        return;
    onEntryTick(entry.relay, m_events.now(), entry);
    if (m_events.now() - entry.subscribedAt >= SubscriptionInterval) {
        entry.subscribedAt = m_events.now();
        for (const auto &[id, record] : entry.relay.directory.targets)
            entry.sendToAgent(record.published.agent, {record.published.service, EnvelopePurpose::Subscribe, {}});
    }
    m_events.schedule(EntryTickInterval, [this, index, generation] { runEntryTick(index, generation); });
}

void RelaySimulation::sendDueQueries(std::size_t index, std::uint64_t generation)
{
    auto &entry = *m_entries.at(index);
    if (!entry.isUp || entry.generation != generation)
        return;
    sendQueries(entry.relay, m_events.now(), entry);
    m_events.schedule(QueryInterval, [this, index, generation] { sendDueQueries(index, generation); });
}

void RelaySimulation::runAgentTick(std::size_t index, std::uint64_t generation)
{
    auto &agent = *m_agents.at(index);
    if (!agent.isUp || agent.generation != generation)
        return;
    onAgentTick(agent.relay, m_events.now(), agent);
    m_events.schedule(AgentTickInterval, [this, index, generation] { runAgentTick(index, generation); });
}

EmulatedTarget &RelaySimulation::target(std::size_t index)
{
    return *m_agents.at(index)->target;
}

void RelaySimulation::recordRequestStart(std::uint64_t request, const FlowKey &flow, ServiceId service)
{
    if (!wasEverRouted(flow.service, service))
        ++m_misroutedRequests;
    const auto kind = std::find_if(
        m_options.kinds.begin(), m_options.kinds.end(), [&](const RequestKind &candidate) { return candidate.address == flow.service; });
    const bool isRepeated = ++m_startsByRequest[request] > 1;
    if (isRepeated && kind != m_options.kinds.end() && !kind->isIdempotent)
        ++m_duplicateRequests;
}

bool RelaySimulation::wasEverRouted(const Endpoint &address, ServiceId service) const
{
    return std::find(m_routedServices.begin(), m_routedServices.end(), std::pair(address, service)) != m_routedServices.end();
}

bool RelaySimulation::isHeldByTarget(const FlowKey &flow) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &agent) { return agent->target->holds(flow); });
}

} // namespace Papaya::Emulator
