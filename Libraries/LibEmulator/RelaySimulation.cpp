#include "LibEmulator/RelaySimulation.h"

#include "LibCoordination/RendezvousHash.h"

#include <algorithm>

namespace Papaya::Emulator {

namespace {

constexpr std::uint16_t DaemonPort = 7'720;
constexpr std::uint16_t ApplicationPort = 8'165;
constexpr std::uint32_t FirstEntryAddress = 0x0a010001;
constexpr std::uint32_t FirstTargetAddress = 0x0a020001;
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

RelaySimulation::RelaySimulation(SimulationOptions options)
    : m_random(options.seed)
    , m_options(std::move(options))
{
    m_callers = std::make_unique<EmulatedCallers>(
        m_events,
        m_random(),
        m_options.kinds,
        [this](const EmulatedPacket &packet) { transmit(m_options.network.callerDelay, [this, packet] { m_fabric.deliver(packet); }); },
        [this](const FlowKey &flow) { return isHeldByTarget(flow); });
    publishRoutes(m_options.routes);
    for (const auto &target : m_options.targets)
        addTarget(target);
    EmulatedNetwork &network = *this;
    for (std::size_t index = 0; index < m_options.entryDaemons; ++index) {
        const Endpoint address {FirstEntryAddress + static_cast<std::uint32_t>(index), DaemonPort};
        const auto &domain = m_options.failureDomains[index % m_options.failureDomains.size()];
        m_entries.push_back(std::make_unique<EmulatedEntry>(m_events, network, address, "entry-" + std::to_string(index), domain));
        startEntry(index);
        m_fabric.add(*m_entries.back());
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

void RelaySimulation::sendToAgent(const Endpoint &entry, const Endpoint &agent, std::vector<std::byte> datagram)
{
    const auto node = std::find_if(m_agents.begin(), m_agents.end(), [&](const auto &other) { return other.agent->address() == agent; });
    const auto sender = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &other) { return other->address() == entry; });
    if (node == m_agents.end() || sender == m_entries.end())
        return;
    const auto delay = delayBetween((*sender)->failureDomain(), node->agent->target().options().failureDomain);
    transmit(delay, [receiver = node->agent.get(), entry, bytes = std::move(datagram)] { receiver->receiveFromEntry(entry, bytes); });
}

void RelaySimulation::sendToEntry(const Endpoint &agent, const Endpoint &entry, std::vector<std::byte> datagram)
{
    const auto node = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &other) { return other->address() == entry; });
    if (node == m_entries.end())
        return;
    transmit(m_options.network.crossDomainDelay,
             [receiver = node->get(), agent, bytes = std::move(datagram)] { receiver->receiveFromAgent(agent, bytes); });
}

void RelaySimulation::sendToCallers(const EmulatedPacket &packet)
{
    transmit(m_options.network.callerDelay, [this, packet] { m_callers->receive(packet); });
}

void RelaySimulation::recordDecision(const std::string &entry, const FlowKey &flow, RelayReason reason, const Endpoint &agent)
{
    ++m_decisions[static_cast<std::size_t>(reason)];
    recordEvent(entry, flow, std::string(relayReasonName(reason)) + " " + nameOfAgent(agent));
}

void RelaySimulation::recordEvent(const std::string &process, const FlowKey &flow, const std::string &event)
{
    m_journal.record(flow, m_events.now(), process, event);
}

void RelaySimulation::recordTargetPacket(const Endpoint &, const PacketSummary &) { }

std::string RelaySimulation::nameOfAgent(const Endpoint &agent) const
{
    const auto node = std::find_if(m_agents.begin(), m_agents.end(), [&](const auto &other) { return other.agent->address() == agent; });
    return node == m_agents.end() ? std::string {} : node->agent->target().options().name;
}

std::string RelaySimulation::brokenFlowEvents() const
{
    std::string text;
    for (const auto &flow : m_callers->brokenFlowKeys())
        text += m_journal.table(flow);
    return text;
}

void RelaySimulation::killEntry(std::size_t index)
{
    m_entries.at(index)->process().stop();
    m_journal.recordForAll(m_events.now(), m_entries[index]->name(), "killed");
}

void RelaySimulation::startEntry(std::size_t index)
{
    std::vector<PublishedTarget> targets;
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        if (m_agents[target].listingRevision > 0)
            targets.push_back(publicationOf(target));
    }
    m_entries.at(index)->start(m_options.weights, m_routes, targets);
    m_journal.recordForAll(m_events.now(), m_entries[index]->name(), "started");
}

void RelaySimulation::restartEntryGracefully(std::size_t index)
{
    m_entries.at(index)->beginStop();
    m_journal.recordForAll(m_events.now(), m_entries[index]->name(), "begins to stop");
    m_events.schedule(GracefulStopTime, [this, index] { killEntry(index); });
    m_events.schedule(GracefulStopTime + StartTime, [this, index] { startEntry(index); });
}

void RelaySimulation::freezeEntry(std::size_t index)
{
    m_entries.at(index)->process().freeze();
    m_journal.recordForAll(m_events.now(), m_entries[index]->name(), "frozen");
}

void RelaySimulation::thawEntry(std::size_t index)
{
    m_entries.at(index)->process().thaw();
    m_journal.recordForAll(m_events.now(), m_entries[index]->name(), "thawed");
}

void RelaySimulation::killAgent(std::size_t index)
{
    m_agents.at(index).agent->process().stop();
    m_journal.recordForAll(m_events.now(), target(index).options().name, "agent stopped");
}

void RelaySimulation::startAgent(std::size_t index)
{
    m_agents.at(index).agent->start(FlowTableState::Incomplete);
    m_journal.recordForAll(m_events.now(), target(index).options().name, "agent started");
}

void RelaySimulation::crashTarget(std::size_t index)
{
    target(index).crash();
    m_journal.recordForAll(m_events.now(), target(index).options().name, "target crashed");
}

void RelaySimulation::restartTarget(std::size_t index)
{
    target(index).restart();
    m_journal.recordForAll(m_events.now(), target(index).options().name, "target restarted");
    m_agents.at(index).listingRevision = ++m_revision;
    publishTarget(index);
}

void RelaySimulation::drainTarget(std::size_t index)
{
    target(index).setDraining();
    m_journal.recordForAll(m_events.now(), target(index).options().name, "target drains");
    publishTarget(index);
}

std::size_t RelaySimulation::addTarget(const TargetOptions &options)
{
    const auto index = m_agents.size();
    auto assigned = options;
    assigned.address = {FirstTargetAddress + static_cast<std::uint32_t>(index), ApplicationPort};
    const auto service = assigned.service;
    auto target = std::make_unique<EmulatedTarget>(
        m_events,
        m_random(),
        assigned,
        [this, index](const EmulatedPacket &packet) { m_agents[index].agent->receiveFromTarget(packet); },
        [this, service](std::uint64_t request, const FlowKey &flow) { recordRequestStart(request, flow, service); });
    const Endpoint address {assigned.address.address, DaemonPort};
    EmulatedNetwork &network = *this;
    m_agents.push_back({std::make_unique<EmulatedAgent>(m_events, network, address, std::move(target)), ++m_revision});
    m_agents[index].agent->start(FlowTableState::Complete);
    publishTarget(index);
    return index;
}

void RelaySimulation::withdrawTarget(std::size_t index, Duration grace)
{
    m_agents.at(index).listingRevision = 0;
    const auto id = publicationOf(index).id;
    for (const auto &entry : m_entries)
        entry->withdrawTarget(id, grace);
    m_journal.recordForAll(m_events.now(), target(index).options().name, "withdrawn");
}

void RelaySimulation::publishRoutes(std::vector<Route> routes)
{
    ++m_routes.version;
    m_routes.changeRevision = ++m_revision;
    m_routes.routes.clear();
    for (auto &route : routes) {
        for (const auto &service : route.services)
            m_routedServices.emplace_back(route.address, service.service);
        m_routes.routes.emplace(route.address, route);
    }
    for (const auto &entry : m_entries) {
        m_events.schedule(m_options.network.publicationDelay,
                          [node = entry.get(), generation = entry->process().generation(), table = m_routes] {
                              if (node->process().generation() == generation)
                                  node->publishRoutes(table);
                          });
    }
}

PublishedTarget RelaySimulation::publicationOf(std::size_t index) const
{
    const auto &node = m_agents.at(index);
    const auto &options = node.agent->target().options();
    PublishedTarget target;
    target.name = options.name;
    target.id = hashOf(options.name);
    target.service = options.service;
    target.application = options.address;
    target.agent = node.agent->address();
    target.failureDomain = options.failureDomain;
    target.slots = options.slots;
    target.isDraining = node.agent->target().isDraining();
    target.incarnation = node.agent->target().incarnation();
    target.listingRevision = node.listingRevision;
    return target;
}

void RelaySimulation::publishTarget(std::size_t index)
{
    const auto published = publicationOf(index);
    for (const auto &entry : m_entries) {
        m_events.schedule(m_options.network.publicationDelay, [node = entry.get(), generation = entry->process().generation(), published] {
            if (node->process().generation() == generation)
                node->publishTarget(published);
        });
    }
}

EmulatedTarget &RelaySimulation::target(std::size_t index)
{
    return m_agents.at(index).agent->target();
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
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &node) { return node.agent->target().holds(flow); });
}

} // namespace Papaya::Emulator
