#include "LibCoordination/FlowNetworkNodes.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr Duration StepTime {10};
constexpr std::size_t EntryCount = 3;
constexpr std::size_t SocketBufferPackets = 5'000;
const Endpoint ServiceAddress {0x0a140001, 7'000};

} // namespace

FlowNetwork::FlowNetwork(std::uint64_t seed, NetworkFaults faults, FlowProtocolLimits limits)
    : m_faults(faults)
    , m_limits(limits)
    , m_random(seed)
    , m_now(Duration(1'000'000))
{
    ServiceConfiguration service;
    service.name = "ledger";
    service.targetGroup = "ledger";
    service.addresses = {ServiceAddress};
    m_configuration.revision = 1;
    m_configuration.services = {service};
    for (std::size_t index = 0; index < EntryCount; ++index) {
        m_entries.push_back(std::make_unique<Entry>());
        m_entries.back()->daemon = {1, static_cast<std::uint16_t>(index + 1)};
    }
}

FlowNetwork::~FlowNetwork() = default;

void FlowNetwork::addAgent(const std::string &name)
{
    auto agent = std::make_unique<Agent>();
    agent->name = name;
    agent->daemon = {2, static_cast<std::uint16_t>(m_agents.size() + 1)};
    m_agents.push_back(std::move(agent));
    restart(name);
    VirtualMachine machine;
    machine.name = name;
    machine.group = "ledger";
    machine.daemon = m_agents.back()->daemon;
    m_list.machines.push_back(machine);
    publishList();
}

void FlowNetwork::markLeaving(const std::string &name)
{
    for (auto &machine : m_list.machines) {
        if (machine.name == name)
            machine.state = VmState::Leaving;
    }
    agentNamed(name).leavingSince = m_now;
    publishList();
}

void FlowNetwork::kill(const std::string &name)
{
    auto &agent = agentNamed(name);
    agent.isRunning = false;
    agent.isPaused = false;
    agent.stack.clear();
    agent.socketBuffer.clear();
}

void FlowNetwork::restart(const std::string &name)
{
    auto &agent = agentNamed(name);
    agent.isRunning = true;
    agent.flows = AgentFlows {};
    agent.flows.limits = m_limits;
    agent.flows.service = hashOf(std::string_view("ledger"));
    agent.flows.revision = 1;
    agent.flows.serviceAddresses = {ServiceAddress};
    agent.flows.self = hashOf(name);
    agent.flows.selfDaemon = agent.daemon;
    agent.flows.incarnation = m_nextIncarnation++;
    agent.flows.load.report.connectionLimit = 1'000'000;
    agent.members = MemberTable {};
    agent.members.machines.version = 0;
    schedule(m_now, {m_now, 0, agent.daemon, m_list});
}

void FlowNetwork::pause(const std::string &name)
{
    agentNamed(name).isPaused = true;
}

void FlowNetwork::resume(const std::string &name)
{
    auto &agent = agentNamed(name);
    agent.isPaused = false;
    // A resumed process handles the messages in its socket buffer before any timer fires, and its clock has advanced by the
    // duration of the pause.
    for (auto socketBuffer = std::exchange(agent.socketBuffer, {}); !socketBuffer.empty(); socketBuffer.pop_front())
        handleAtAgent(agent, socketBuffer.front());
}

void FlowNetwork::replaceEntry(std::size_t index)
{
    auto &entry = *m_entries.at(index);
    entry.members = MemberTable {};
    entry.table = RoutingTable {};
    entry.hints = FlowHints {4'096};
    schedule(m_now, {m_now, 0, entry.daemon, m_list});
}

void FlowNetwork::setPartitioned(const std::string &left, const std::string &right, bool isPartitioned)
{
    m_partitions[{hashOf(left), hashOf(right)}] = isPartitioned;
    m_partitions[{hashOf(right), hashOf(left)}] = isPartitioned;
}

void FlowNetwork::openFlows(int count, bool isIdle)
{
    for (int index = 0; index < count; ++index) {
        auto caller = std::make_unique<Caller>();
        const auto number = static_cast<std::uint32_t>(m_callers.size());
        caller->flow = {{0x0a630000U + number / 50'000U, static_cast<std::uint16_t>(1 + number % 50'000U)}, ServiceAddress};
        caller->isIdle = isIdle;
        m_callerByFlow[caller->flow] = caller.get();
        m_callers.push_back(std::move(caller));
        ++m_counts.opened;
    }
}

void FlowNetwork::run(Duration duration)
{
    const auto end = m_now + duration;
    while (m_now < end)
        step();
}

FlowCounts FlowNetwork::counts() const
{
    return m_counts;
}

int FlowNetwork::flowsAt(const std::string &name) const
{
    const auto found = std::find_if(m_agents.begin(), m_agents.end(), [&](const auto &agent) { return agent->name == name; });
    return static_cast<int>((*found)->stack.size());
}

int FlowNetwork::callersUnansweredFor(Duration limit) const
{
    return static_cast<int>(std::count_if(m_callers.begin(), m_callers.end(), [&](const auto &caller) {
        return caller->stage == Caller::Stage::Established && caller->unansweredSince && m_now - *caller->unansweredSince > limit;
    }));
}

int FlowNetwork::orphanedCallers() const
{
    return static_cast<int>(std::count_if(m_callers.begin(), m_callers.end(), [&](const auto &caller) {
        return caller->stage == Caller::Stage::Established && !isHeldByRunningStack(*caller);
    }));
}

void FlowNetwork::resetHopCount()
{
    m_delivered = 0;
    m_hops = 0;
}

double FlowNetwork::meanHops() const
{
    return m_delivered == 0 ? 0 : 1 + static_cast<double>(m_hops) / static_cast<double>(m_delivered);
}

FlowNetwork::Agent &FlowNetwork::agentNamed(const std::string &name)
{
    return **std::find_if(m_agents.begin(), m_agents.end(), [&](const auto &agent) { return agent->name == name; });
}

bool FlowNetwork::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration FlowNetwork::randomDelay(Duration limit)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(m_random));
}

void FlowNetwork::publishList()
{
    ++m_list.version;
    for (const auto &agent : m_agents)
        schedule(m_now + randomDelay(m_faults.listLagLimit), {m_now, 0, agent->daemon, m_list});
    for (const auto &entry : m_entries)
        schedule(m_now + randomDelay(m_faults.listLagLimit), {m_now, 0, entry->daemon, m_list});
}

void FlowNetwork::schedule(TimePoint due, Event event)
{
    event.due = due;
    event.order = ++m_eventCount;
    m_events.push(std::move(event));
}

void FlowNetwork::transmit(const Endpoint &to, const FlowMessage &message, MemberId sender)
{
    for (const auto &agent : m_agents) {
        if (agent->daemon == to && m_partitions[{sender, agent->flows.self}])
            return;
    }
    if (chance(m_faults.loss))
        return;
    const int copies = chance(m_faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
        schedule(m_now + randomDelay(m_faults.delayLimit), {m_now, 0, to, message});
}

void FlowNetwork::transmitToCaller(const SegmentToCaller &segment)
{
    if (!chance(m_faults.loss))
        schedule(m_now + randomDelay(m_faults.delayLimit), {m_now, 0, {}, segment});
}

void FlowNetwork::step()
{
    m_now += StepTime;
    while (!m_events.empty() && m_events.top().due <= m_now) {
        const auto event = m_events.top();
        m_events.pop();
        handle(event);
    }
    for (const auto &entry : m_entries)
        tickEntry(*entry);
    for (const auto &agent : m_agents)
        tickAgent(*agent);
    for (const auto &caller : m_callers)
        tickCaller(*caller);
}

void FlowNetwork::handle(const Event &event)
{
    if (const auto *segment = std::get_if<SegmentToCaller>(&event.payload)) {
        handleAtCaller(*segment);
        return;
    }
    for (const auto &entry : m_entries) {
        if (entry->daemon == event.to)
            handleAtEntry(*entry, event);
    }
    for (const auto &agent : m_agents) {
        if (agent->daemon != event.to || !agent->isRunning)
            continue;
        if (const auto *list = std::get_if<VmList>(&event.payload)) {
            (void)applyVmList(agent->members, *list, m_now);
        } else if (const auto *message = std::get_if<FlowMessage>(&event.payload)) {
            if (!agent->isPaused)
                handleAtAgent(*agent, *message);
            else if (agent->socketBuffer.size() < SocketBufferPackets)
                agent->socketBuffer.push_back(*message);
        }
    }
}

} // namespace Papaya
