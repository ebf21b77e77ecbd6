#include "LibEmulator/EmulatedCallers.h"

#include <algorithm>

namespace Papaya::Emulator {

namespace {

constexpr std::uint32_t FirstCallerAddress = 0x64400001;
constexpr std::uint32_t FlowsPerCaller = 20'000;
constexpr std::uint16_t FirstPort = 1'025;
constexpr std::array<Duration, 2> SynRetransmissionTimes {Duration(200), Duration(600)};
constexpr Duration SynTimeout {1'400};
/// Minimum time until a port is used again.
constexpr Duration PortReuseTime {2'000};
constexpr Duration InitialRetransmissionTimeout {200};
constexpr Duration MaximumRetransmissionTimeout {1'600};
constexpr int MaximumAttempts = 3;
constexpr std::uint16_t RequestLength = 200;
/// The caller of an open flow accepts a reset only if its sequence number is within this distance of the caller's last acknowledgement.
constexpr std::uint32_t ResetWindow = 76'800;

bool isWithinResetWindow(std::uint32_t sequence, std::uint32_t acknowledgement)
{
    return sequence - acknowledgement <= ResetWindow || acknowledgement - sequence <= ResetWindow;
}

} // namespace

EmulatedCallers::EmulatedCallers(EventQueue &events, std::uint64_t seed, std::vector<RequestKind> kinds, Output output, IsHeld isHeld)
    : m_events(events)
    , m_random(seed)
    , m_kinds(std::move(kinds))
    , m_output(std::move(output))
    , m_isHeld(std::move(isHeld))
    , m_idleFlows(m_kinds.size())
    , m_statistics(m_kinds.size())
{
}

void EmulatedCallers::start(TimePoint end)
{
    for (std::size_t kind = 0; kind < m_kinds.size(); ++kind)
        scheduleNextRequest(kind, end);
}

void EmulatedCallers::scheduleNextRequest(std::size_t kind, TimePoint end)
{
    std::exponential_distribution<double> interarrivalTime(m_kinds[kind].requestsPerSecond * m_loadFactor / 1'000);
    m_events.schedule(Duration(static_cast<Duration::rep>(interarrivalTime(m_random))), [this, kind, end] {
        if (m_events.now() >= end)
            return;
        std::exponential_distribution<double> work(1 / m_kinds[kind].meanWork);
        Request request;
        request.kind = kind;
        request.id = m_nextRequest++;
        request.work = 1 + static_cast<std::uint32_t>(work(m_random));
        request.startedAt = m_events.now();
        ++m_statistics[kind].started;
        const auto id = request.id;
        m_requests[id] = request;
        m_events.schedule(m_kinds[kind].deadline, [this, id] {
            const auto found = m_requests.find(id);
            if (found != m_requests.end())
                finishRequest(found->second, false);
        });
        startAttempt(id);
        scheduleNextRequest(kind, end);
    });
}

void EmulatedCallers::startAttempt(std::uint64_t id)
{
    auto &request = m_requests.at(id);
    ++request.attempts;
    auto &idle = m_idleFlows[request.kind];
    if (idle.empty()) {
        openFlow(id);
        return;
    }
    const auto index = std::uniform_int_distribution<std::size_t>(0, idle.size() - 1)(m_random);
    const auto key = idle[index];
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    auto &flow = m_flows.at(key);
    flow.request = id;
    flow.isAnswered = false;
    sendRequest(key, ++flow.attempt, InitialRetransmissionTimeout);
}

FlowKey EmulatedCallers::chooseFlowKey(std::size_t kind)
{
    const bool mayReuse = !m_closedFlows.empty() && m_events.now() - m_closedFlows.front().closedAt >= PortReuseTime;
    if (mayReuse && std::bernoulli_distribution(m_portReuseRate)(m_random)) {
        const auto closed = m_closedFlows.front();
        m_closedFlows.pop_front();
        return {closed.key.caller, m_kinds[kind].address};
    }
    const auto number = m_nextFlow++;
    const Endpoint caller {FirstCallerAddress + number / FlowsPerCaller, static_cast<std::uint16_t>(FirstPort + number % FlowsPerCaller)};
    return {caller, m_kinds[kind].address};
}

void EmulatedCallers::closeFlow(const FlowKey &key)
{
    m_flows.erase(key);
    m_closedFlows.push_back({key, m_events.now()});
}

void EmulatedCallers::openFlow(std::uint64_t id)
{
    const auto kind = m_requests.at(id).kind;
    const auto key = chooseFlowKey(kind);
    Flow flow;
    flow.kind = kind;
    flow.sequence = static_cast<std::uint32_t>(m_random());
    flow.request = id;
    m_flows[key] = flow;
    sendSyn(key, 0);
    for (std::size_t retransmission = 0; retransmission < SynRetransmissionTimes.size(); ++retransmission)
        m_events.schedule(SynRetransmissionTimes[retransmission],
                          [this, key, retransmission] { sendSyn(key, static_cast<int>(retransmission) + 1); });
    m_events.schedule(SynTimeout, [this, key] {
        const auto opening = m_flows.find(key);
        if (opening == m_flows.end() || opening->second.isOpen)
            return;
        const auto request = opening->second.request;
        closeFlow(key);
        failAttempt(request, true);
    });
}

void EmulatedCallers::sendSyn(const FlowKey &key, int retransmission)
{
    const auto flow = m_flows.find(key);
    if (flow == m_flows.end() || flow->second.isOpen)
        return;
    EmulatedPacket packet;
    packet.summary.flow = key;
    packet.summary.isSyn = true;
    packet.summary.sequence = flow->second.sequence;
    packet.summary.acknowledgement = static_cast<std::uint32_t>(retransmission);
    m_output(packet);
}

EmulatedPacket EmulatedCallers::makePacket(const FlowKey &key, const Flow &flow) const
{
    EmulatedPacket packet;
    packet.summary.flow = key;
    packet.summary.hasAcknowledgement = true;
    packet.summary.sequence = flow.sequence;
    packet.summary.acknowledgement = flow.acknowledgement;
    return packet;
}

void EmulatedCallers::sendRequest(const FlowKey &key, std::uint64_t attempt, Duration timeout)
{
    const auto flow = m_flows.find(key);
    if (flow == m_flows.end() || flow->second.attempt != attempt || flow->second.isAnswered)
        return;
    const auto request = m_requests.find(flow->second.request);
    if (request == m_requests.end())
        return;
    auto packet = makePacket(key, flow->second);
    packet.summary.length = RequestLength;
    packet.request = request->first;
    packet.work = request->second.work;
    m_output(packet);
    const auto nextTimeout = std::min<Duration>(timeout * 2, MaximumRetransmissionTimeout);
    m_events.schedule(timeout, [this, key, attempt, nextTimeout] { sendRequest(key, attempt, nextTimeout); });
}

void EmulatedCallers::sendAcknowledgement(const FlowKey &key, const Flow &flow)
{
    m_output(makePacket(key, flow));
}

void EmulatedCallers::receive(const EmulatedPacket &packet)
{
    const auto flow = m_flows.find(packet.summary.flow);
    if (flow == m_flows.end())
        return;
    if (packet.summary.isReset)
        onReset(packet);
    else if (packet.summary.isSyn)
        onSynAck(packet, flow->second);
    else if (packet.request != 0)
        onAnswer(packet, flow->second);
}

void EmulatedCallers::onSynAck(const EmulatedPacket &packet, Flow &flow)
{
    if (flow.isOpen)
        return;
    flow.isOpen = true;
    flow.acknowledgement = packet.summary.sequence + 1;
    sendAcknowledgement(packet.summary.flow, flow);
    sendRequest(packet.summary.flow, ++flow.attempt, InitialRetransmissionTimeout);
}

void EmulatedCallers::onAnswer(const EmulatedPacket &packet, Flow &flow)
{
    const auto key = packet.summary.flow;
    const bool isExpected = packet.request == flow.request && !flow.isAnswered;
    if (isExpected) {
        flow.sequence += RequestLength;
        flow.acknowledgement += packet.summary.length;
    }
    sendAcknowledgement(key, flow);
    if (!isExpected)
        return;
    flow.isAnswered = true;
    const auto id = flow.request;
    const auto kind = flow.kind;
    if (m_kinds[kind].isKeepAlive && !packet.summary.isFin) {
        m_idleFlows[kind].push_back(key);
    } else {
        auto end = makePacket(key, flow);
        end.summary.isFin = true;
        m_output(end);
        closeFlow(key);
    }
    const auto request = m_requests.find(id);
    if (request == m_requests.end())
        return;
    if (packet.isShed)
        failAttempt(id, true);
    else
        finishRequest(request->second, true);
}

void EmulatedCallers::onReset(const EmulatedPacket &reset)
{
    const auto key = reset.summary.flow;
    const auto flow = m_flows.at(key);
    if (flow.isOpen && !isWithinResetWindow(reset.summary.sequence, flow.acknowledgement))
        return;
    ++m_statistics[flow.kind].resets;
    if (flow.isOpen && m_isHeld(reset))
        m_brokenFlows.push_back(key);
    std::erase(m_idleFlows[flow.kind], key);
    closeFlow(key);
    const bool isAwaitingAnswer = flow.request != 0 && !flow.isAnswered;
    if (isAwaitingAnswer)
        failAttempt(flow.request, !flow.isOpen);
}

void EmulatedCallers::failAttempt(std::uint64_t id, bool isSafeToRetry)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    auto &request = found->second;
    const bool isRetried = (isSafeToRetry || m_kinds[request.kind].isIdempotent) && request.attempts < MaximumAttempts;
    if (isRetried)
        startAttempt(id);
    else
        finishRequest(request, false);
}

void EmulatedCallers::finishRequest(Request &request, bool isAnswered)
{
    auto &statistics = m_statistics[request.kind];
    const auto latency = m_events.now() - request.startedAt;
    if (!isAnswered)
        ++statistics.failed;
    else if (latency <= m_kinds[request.kind].latencyObjective)
        ++statistics.withinObjective;
    else
        ++statistics.late;
    if (isAnswered)
        statistics.latencies.push_back(static_cast<double>(latency.count()));
    m_requests.erase(request.id);
}

} // namespace Papaya::Emulator
