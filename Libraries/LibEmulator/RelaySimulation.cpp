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
constexpr Duration EntryTick {100};
constexpr Duration AgentTick {100};
/// How often an entry daemon looks for queries that are due.
constexpr Duration EntryPoll {20};
constexpr Duration SubscriptionInterval {2'000};
/// Until the fabric sends nothing more to an entry daemon that does not answer.
constexpr Duration RotationDelay {1'000};
constexpr Duration GracefulStop {2'200};
constexpr Duration StartTime {300};

} // namespace

std::vector<TargetTraits> makeTargets(const std::string &service, std::size_t count, std::span<const double> speeds)
{
    static const std::array<std::string, 3> domains {"domain-a", "domain-b", "domain-c"};
    std::vector<TargetTraits> targets;
    for (std::size_t index = 0; index < count; ++index) {
        TargetTraits traits;
        traits.name = service + "-" + std::to_string(index);
        traits.service = hashOf(service);
        traits.failureDomain = domains[index % domains.size()];
        traits.speed = speeds.empty() ? 1 : speeds[index % speeds.size()];
        targets.push_back(traits);
    }
    return targets;
}

Route makeRoute(const Endpoint &address, const std::string &service)
{
    return {service, address, {{hashOf(service), service, 1}}, true};
}

/// An entry daemon: its decisions, carried out on the emulated network.
struct RelayWorld::EntryNode : EntryOutput {
    EntryNode(RelayWorld &owner, Endpoint endpoint, std::string domain)
        : world(owner)
        , address(endpoint)
        , failureDomain(std::move(domain))
    {
    }

    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override
    {
        const auto bytes = encoder.encode(envelope);
        world.sendToAgentNode(address, agent, {bytes.begin(), bytes.end()});
    }

    void sendQuery(const Endpoint &agent, const RelayQuery &query) override
    {
        const auto bytes = encoder.encode(query);
        world.sendToAgentNode(address, agent, {bytes.begin(), bytes.end()});
    }

    void resetCaller(const FlowKey &flow, std::uint32_t) override
    {
        EmulatedPacket packet;
        packet.summary.flow = flow;
        packet.summary.isReset = true;
        world.sendToCallers(packet);
    }

    void refreshTargets() override { }

    void recordDecision(const FlowKey &, RelayReason reason, const Endpoint &) override
    {
        ++world.m_decisions[static_cast<std::size_t>(reason)];
    }

    void receive(const Endpoint &agent, std::span<const std::byte> datagram)
    {
        const auto message = decodeRelayDatagram(datagram);
        if (message.has_error())
            return;
        const auto now = world.m_events.now();
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

    RelayWorld &world;
    Endpoint address;
    std::string failureDomain;
    EntryRelay relay;
    RelayEncoder encoder;
    bool isUp = false;
    bool isInRotation = false;
    /// Counts the starts, so that what was meant for an earlier one is not done.
    std::uint64_t starts = 0;
    TimePoint subscribedAt;
};

/// An agent and the target beside it.
struct RelayWorld::AgentNode : AgentOutput {
    AgentNode(RelayWorld &owner, Endpoint endpoint)
        : world(owner)
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
            onPortClosed(relay, world.m_events.now(), *this);
    }

    void sendToCaller(const Endpoint &, std::span<const std::byte> packet) override { world.sendToCallers(fromBytes(packet)); }

    void sendNotice(const Endpoint &entry, const RelayNotice &notice) override
    {
        const auto bytes = encoder.encode(notice);
        world.sendToEntryNode(address, entry, {bytes.begin(), bytes.end()});
    }

    void sendReport(const Endpoint &entry, const RelayReport &report) override
    {
        const auto bytes = encoder.encode(report);
        world.sendToEntryNode(address, entry, {bytes.begin(), bytes.end()});
    }

    void receive(const Endpoint &entry, std::span<const std::byte> datagram)
    {
        const auto message = decodeRelayDatagram(datagram);
        if (message.has_error())
            return;
        if (const auto *query = std::get_if<RelayQuery>(&message.value())) {
            const auto bytes = encoder.encode(answerQuery(relay, entry, *query, world.m_events.now()));
            world.sendToEntryNode(address, entry, {bytes.begin(), bytes.end()});
        }
        const auto *envelope = std::get_if<RelayEnvelope>(&message.value());
        if (envelope == nullptr)
            return;
        std::optional<PacketSummary> summary;
        if (!envelope->packet.empty())
            summary = fromBytes(envelope->packet).summary;
        onEnvelope(relay, entry, *envelope, summary, world.m_events.now(), *this);
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
        onTargetPacket(relay, packet.summary, bytes, world.m_events.now(), *this);
    }

    RelayWorld &world;
    Endpoint address;
    AgentRelay relay;
    RelayEncoder encoder;
    std::unique_ptr<EmulatedTarget> target;
    bool isUp = false;
    std::uint64_t starts = 0;
    std::uint64_t listingRevision = 0;
};

RelayWorld::RelayWorld(WorldTraits traits)
    : m_random(traits.seed)
    , m_traits(std::move(traits))
{
    m_callers = std::make_unique<EmulatedCallers>(
        m_events,
        m_random(),
        m_traits.kinds,
        [this](const EmulatedPacket &packet) { transmit(m_traits.network.callerDelay, [this, packet] { deliverCallerPacket(packet); }); },
        [this](const FlowKey &flow) { return isHeldByTarget(flow); });
    publishRoutes(m_traits.routes);
    for (const auto &target : m_traits.targets)
        addTarget(target);
    for (std::size_t index = 0; index < m_traits.entryDaemons; ++index) {
        const Endpoint address {FirstEntryAddress + static_cast<std::uint32_t>(index), DaemonPort};
        m_entries.push_back(std::make_unique<EntryNode>(*this, address, m_traits.failureDomains[index % m_traits.failureDomains.size()]));
        startEntry(index);
    }
    run(Duration(500));
}

RelayWorld::~RelayWorld() = default;

void RelayWorld::run(Duration duration)
{
    m_events.runUntil(m_events.now() + duration);
}

void RelayWorld::startCallers(Duration duration)
{
    m_callers->start(m_events.now() + duration);
}

void RelayWorld::transmit(Duration delay, EventQueue::Action deliver)
{
    std::bernoulli_distribution isLost(m_traits.network.loss);
    if (!isLost(m_random))
        m_events.after(delay, std::move(deliver));
}

Duration RelayWorld::delayBetween(const std::string &left, const std::string &right) const
{
    return left == right ? m_traits.network.nearDelay : m_traits.network.farDelay;
}

void RelayWorld::deliverCallerPacket(const EmulatedPacket &packet)
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

void RelayWorld::sendToAgentNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram)
{
    const auto agent = std::find_if(m_agents.begin(), m_agents.end(), [&](const auto &node) { return node->address == to; });
    if (agent == m_agents.end())
        return;
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &node) { return node->address == from; });
    const auto delay = delayBetween((*entry)->failureDomain, (*agent)->target->traits().failureDomain);
    transmit(delay, [node = agent->get(), from, bytes = std::move(datagram)] {
        if (node->isUp)
            node->receive(from, bytes);
    });
}

void RelayWorld::sendToEntryNode(const Endpoint &from, const Endpoint &to, std::vector<std::byte> datagram)
{
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &node) { return node->address == to; });
    if (entry == m_entries.end())
        return;
    transmit(m_traits.network.farDelay, [node = entry->get(), from, bytes = std::move(datagram)] {
        if (node->isUp)
            node->receive(from, bytes);
    });
}

void RelayWorld::sendToCallers(const EmulatedPacket &packet)
{
    transmit(m_traits.network.callerDelay, [this, packet] { m_callers->receive(packet); });
}

void RelayWorld::killEntry(std::size_t index)
{
    auto &entry = *m_entries.at(index);
    entry.isUp = false;
    const auto starts = ++entry.starts;
    m_events.after(RotationDelay, [&entry, starts] {
        if (entry.starts == starts)
            entry.isInRotation = false;
    });
}

void RelayWorld::startEntry(std::size_t index)
{
    auto &entry = *m_entries.at(index);
    entry.relay = EntryRelay {};
    entry.relay.weights = m_traits.weights;
    entry.relay.failureDomain = entry.failureDomain;
    entry.relay.startedAt = m_events.now();
    entry.isUp = true;
    const auto starts = ++entry.starts;
    (void)setRoutes(entry.relay, m_routes, m_events.now());
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        if (m_agents[target]->listingRevision > 0)
            publishTo(entry, publicationOf(target));
    }
    markTargetsListed(entry.relay, m_events.now());
    entry.relay.watchStartedAt = m_events.now();
    markTargetsCurrent(entry.relay, m_events.now());
    entry.isInRotation = true;
    tickEntry(index, starts);
    pollEntry(index, starts);
}

void RelayWorld::restartEntryGracefully(std::size_t index)
{
    m_events.after(RotationDelay, [this, index] { m_entries.at(index)->isInRotation = false; });
    m_events.after(GracefulStop, [this, index] { killEntry(index); });
    m_events.after(GracefulStop + StartTime, [this, index] { startEntry(index); });
}

void RelayWorld::killAgent(std::size_t index)
{
    m_agents.at(index)->isUp = false;
    ++m_agents.at(index)->starts;
}

void RelayWorld::startAgent(std::size_t index)
{
    auto &agent = *m_agents.at(index);
    agent.relay = AgentRelay {};
    agent.relay.service = agent.target->traits().service;
    agent.relay.daemonPort = DaemonPort;
    agent.relay.startedAt = m_events.now();
    agent.isUp = true;
    tickAgent(index, ++agent.starts);
}

void RelayWorld::crashTarget(std::size_t index)
{
    m_agents.at(index)->target->crash();
}

void RelayWorld::restartTarget(std::size_t index)
{
    m_agents.at(index)->target->restart();
    m_agents.at(index)->listingRevision = ++m_revision;
    publish(index);
}

void RelayWorld::drainTarget(std::size_t index)
{
    m_agents.at(index)->target->setDraining();
    publish(index);
}

std::size_t RelayWorld::addTarget(const TargetTraits &traits)
{
    const auto index = m_agents.size();
    auto placed = traits;
    placed.address = {FirstTargetAddress + static_cast<std::uint32_t>(index), ApplicationPort};
    auto node = std::make_unique<AgentNode>(*this, Endpoint {placed.address.address, DaemonPort});
    auto *raw = node.get();
    const auto service = placed.service;
    node->target = std::make_unique<EmulatedTarget>(
        m_events,
        m_random(),
        placed,
        [raw](const EmulatedPacket &packet) { raw->receiveFromTarget(packet); },
        [this, service](std::uint64_t request, const FlowKey &flow) { noteRun(request, flow, service); });
    node->listingRevision = ++m_revision;
    m_agents.push_back(std::move(node));
    startAgent(index);
    raw->relay.hasCompleteFlowTable = true;
    publish(index);
    return index;
}

void RelayWorld::withdraw(std::size_t index, Duration grace)
{
    m_agents.at(index)->listingRevision = 0;
    const auto id = publicationOf(index).id;
    for (const auto &entry : m_entries) {
        if (entry->isUp)
            (void)applyWithdrawn(entry->relay.directory, id, m_events.now() + grace);
    }
}

void RelayWorld::publishRoutes(std::vector<Route> routes)
{
    ++m_routes.version;
    m_routes.changeRevision = ++m_revision;
    m_routes.routes.clear();
    for (auto &route : routes) {
        for (const auto &service : route.services)
            m_allowed.emplace_back(route.address, service.service);
        m_routes.routes.emplace(route.address, route);
    }
    for (const auto &entry : m_entries) {
        m_events.after(m_traits.network.publicationDelay, [this, node = entry.get(), starts = entry->starts, table = m_routes] {
            if (node->isUp && node->starts == starts)
                (void)setRoutes(node->relay, table, m_events.now());
        });
    }
}

PublishedTarget RelayWorld::publicationOf(std::size_t index) const
{
    const auto &node = *m_agents.at(index);
    const auto &traits = node.target->traits();
    PublishedTarget target;
    target.name = traits.name;
    target.id = hashOf(traits.name);
    target.service = traits.service;
    target.application = traits.address;
    target.agent = node.address;
    target.failureDomain = traits.failureDomain;
    target.slots = traits.slots;
    target.isDraining = node.target->isDraining();
    target.incarnation = node.target->incarnation();
    target.listingRevision = node.listingRevision;
    return target;
}

void RelayWorld::publish(std::size_t index)
{
    const auto target = publicationOf(index);
    for (const auto &entry : m_entries) {
        m_events.after(m_traits.network.publicationDelay, [this, node = entry.get(), starts = entry->starts, target] {
            if (node->isUp && node->starts == starts)
                publishTo(*node, target);
        });
    }
}

void RelayWorld::publishTo(EntryNode &entry, const PublishedTarget &target)
{
    (void)onTargetPublished(entry.relay, target, m_events.now(), entry);
    entry.sendToAgent(target.agent, {target.service, EnvelopePurpose::Subscribe, {}});
}

void RelayWorld::tickEntry(std::size_t index, std::uint64_t run)
{
    auto &entry = *m_entries.at(index);
    if (!entry.isUp || entry.starts != run)
        return;
    onEntryTick(entry.relay, m_events.now(), entry);
    if (m_events.now() - entry.subscribedAt >= SubscriptionInterval) {
        entry.subscribedAt = m_events.now();
        for (const auto &[id, record] : entry.relay.directory.targets)
            entry.sendToAgent(record.published.agent, {record.published.service, EnvelopePurpose::Subscribe, {}});
    }
    m_events.after(EntryTick, [this, index, run] { tickEntry(index, run); });
}

void RelayWorld::pollEntry(std::size_t index, std::uint64_t run)
{
    auto &entry = *m_entries.at(index);
    if (!entry.isUp || entry.starts != run)
        return;
    sendQueries(entry.relay, m_events.now(), entry);
    m_events.after(EntryPoll, [this, index, run] { pollEntry(index, run); });
}

void RelayWorld::tickAgent(std::size_t index, std::uint64_t run)
{
    auto &agent = *m_agents.at(index);
    if (!agent.isUp || agent.starts != run)
        return;
    onAgentTick(agent.relay, m_events.now(), agent);
    m_events.after(AgentTick, [this, index, run] { tickAgent(index, run); });
}

EmulatedTarget &RelayWorld::target(std::size_t index)
{
    return *m_agents.at(index)->target;
}

void RelayWorld::noteRun(std::uint64_t request, const FlowKey &flow, ServiceId service)
{
    if (!isAllowed(flow.service, service))
        ++m_misroutedRuns;
    const auto kind =
        std::find_if(m_traits.kinds.begin(), m_traits.kinds.end(), [&](const RequestKind &known) { return known.address == flow.service; });
    const bool isRepeated = ++m_runs[request] > 1;
    if (isRepeated && kind != m_traits.kinds.end() && !kind->isIdempotent)
        ++m_doubledRuns;
}

bool RelayWorld::isAllowed(const Endpoint &address, ServiceId service) const
{
    return std::find(m_allowed.begin(), m_allowed.end(), std::pair(address, service)) != m_allowed.end();
}

bool RelayWorld::isHeldByTarget(const FlowKey &flow) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &agent) { return agent->target->holds(flow); });
}

} // namespace Papaya::Emulator
