#include "LibEmulator/RelaySimulation.h"

#include "LibBalancing/RendezvousHash.h"

#include <algorithm>

namespace Papaya::Emulator {

namespace {

constexpr std::uint16_t DaemonPort = 7'720;
constexpr std::uint32_t FirstEntryAddress = 0x0a010001;
constexpr std::uint32_t FirstTargetAddress = 0x0a020001;
constexpr std::size_t MaximumTables = 3;
constexpr std::size_t MaximumPeerAnswers = 3;

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
    , m_flowRule([this](std::uint32_t target, const FlowKey &flow) {
        const auto *agent = findAgent(target);
        return agent != nullptr && agent->target().holds(flow);
    })
{
    m_callers = std::make_unique<EmulatedCallers>(
        m_events,
        m_random(),
        m_options.kinds,
        [this](const EmulatedPacket &packet) { transmit(m_options.network.callerDelay, [this, packet] { m_fabric.deliver(packet); }); },
        [this](const EmulatedPacket &reset) { return onCallerReset(reset); });
    publishRoutes(m_options.routes);
    for (const auto &target : m_options.targets)
        addTarget(target);
    EmulatedNetwork &network = *this;
    for (std::size_t index = 0; index < m_options.entryDaemons; ++index) {
        const Endpoint address {FirstEntryAddress + static_cast<std::uint32_t>(index), DaemonPort};
        const auto &domain = m_options.failureDomains[index % m_options.failureDomains.size()];
        m_entries.push_back(std::make_unique<EmulatedEntry>(m_events, network, m_store, address, "entry-" + std::to_string(index), domain));
        m_entries.back()->start(m_options.weights);
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

Duration RelaySimulation::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(minimum.count(), maximum.count())(m_random));
}

Duration RelaySimulation::delayBetween(const std::string &left, const std::string &right) const
{
    return left == right ? m_options.network.sameDomainDelay : m_options.network.crossDomainDelay;
}

EmulatedAgent *RelaySimulation::findAgent(std::uint32_t address) const
{
    const auto index = static_cast<std::size_t>(address - FirstTargetAddress);
    return index < m_agents.size() ? m_agents[index].get() : nullptr;
}

void RelaySimulation::sendToAgent(const Endpoint &entry, const Endpoint &agent, std::vector<std::byte> datagram)
{
    auto *receiver = findAgent(agent.address);
    if (receiver == nullptr)
        return;
    const auto &sender = *m_entries.at(entry.address - FirstEntryAddress);
    const auto delay = delayBetween(sender.failureDomain(), receiver->target().options().failureDomain);
    transmit(delay, [receiver, entry, bytes = std::move(datagram)] { receiver->receiveFromEntry(entry, bytes); });
}

void RelaySimulation::sendToEntry(const Endpoint &agent, const Endpoint &entry, std::vector<std::byte> datagram)
{
    auto *receiver = m_entries.at(entry.address - FirstEntryAddress).get();
    transmit(m_options.network.crossDomainDelay,
             [receiver, agent, bytes = std::move(datagram)] { receiver->receiveFromAgent(agent, bytes); });
}

void RelaySimulation::sendToCallers(const EmulatedPacket &packet)
{
    transmit(m_options.network.callerDelay, [this, packet] { m_callers->receive(packet); });
}

void RelaySimulation::recordDecision(const std::string &entry, const FlowKey &flow, RelayReason reason, const Endpoint &agent)
{
    ++m_decisions[static_cast<std::size_t>(reason)];
    const auto *node = findAgent(agent.address);
    const auto name = node == nullptr ? std::string {} : " " + node->target().options().name;
    recordEvent(entry, flow, std::string(relayReasonName(reason)) + name);
}

void RelaySimulation::recordEvent(const std::string &process, const FlowKey &flow, const std::string &event)
{
    m_journal.record(flow, m_events.now(), process, event);
}

void RelaySimulation::recordEventForAll(const std::string &process, const std::string &event)
{
    m_journal.recordForAll(m_events.now(), process, event);
}

void RelaySimulation::recordTargetPacket(const Endpoint &agent, const PacketSummary &packet)
{
    m_flowRule.recordPacket(packet.flow, packet.mark, agent.address, m_events.now());
}

void RelaySimulation::recordOpened(const Endpoint &agent, const FlowKey &flow)
{
    m_flowRule.recordOpened(flow, agent.address);
}

bool RelaySimulation::onCallerReset(const EmulatedPacket &reset)
{
    const bool isBroken = m_flowRule.recordReset(reset.summary.flow, reset.senderEntry, m_events.now());
    recordEvent("caller", reset.summary.flow, isBroken ? "reset although the target holds the flow" : "reset");
    return isBroken;
}

const FlowRuleMonitor &RelaySimulation::checkFlowRule()
{
    m_flowRule.finish(m_events.now());
    return m_flowRule;
}

std::string RelaySimulation::brokenFlowEvents() const
{
    std::string text;
    const auto append = [&](const std::string &title, const std::vector<FlowKey> &flows) {
        for (std::size_t index = 0; index < std::min(flows.size(), MaximumTables); ++index)
            text += title + m_journal.table(flows[index]);
    };
    append("reset: ", m_flowRule.resetFlows());
    append("misdirected: ", m_flowRule.misdirectedFlows());
    if (text.empty())
        append("reset, but excused: ", m_callers->brokenFlowKeys());
    return text;
}

std::vector<RelayKnowledge> RelaySimulation::queryPeers(const Endpoint &entry, const std::optional<KnowledgeDigest> &digest)
{
    std::vector<RelayKnowledge> answers;
    for (const auto &peer : m_entries) {
        if (peer->address() == entry || !peer->process().isRunning())
            continue;
        const auto answer = peer->answerPeer(digest);
        if (!answer)
            continue;
        answers.push_back(*answer);
        if (answer->isSettled || answers.size() == MaximumPeerAnswers)
            break;
    }
    return answers;
}

void RelaySimulation::publishRoutes(std::vector<Route> routes)
{
    ++m_routes.version;
    m_routes.routes.clear();
    for (auto &route : routes) {
        for (const auto &service : route.services)
            m_routedServices.emplace_back(route.address, service.service);
        m_routes.routes.emplace(route.address, route);
    }
    m_store.setRoutes(m_routes);
}

EmulatedTarget &RelaySimulation::target(std::size_t index)
{
    return m_agents.at(index)->target();
}

std::uint64_t RelaySimulation::newFlows(const std::string &domain) const
{
    std::uint64_t count = 0;
    for (const auto &agent : m_agents) {
        if (agent->target().options().failureDomain == domain)
            count += agent->target().newFlows();
    }
    return count;
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

} // namespace Papaya::Emulator
