#include "LibEmulator/EmulatedTarget.h"

#include <algorithm>

namespace Papaya::Emulator {

namespace {

constexpr Duration InitialRetransmissionTimeout {200};
constexpr Duration MaximumRetransmissionTimeout {1'600};
constexpr int MaximumRetransmissions = 8;
constexpr std::uint16_t AnswerLength = 1'000;

} // namespace

EmulatedTarget::EmulatedTarget(EventQueue &events,
                               std::uint64_t seed,
                               TargetOptions options,
                               Output output,
                               RequestStartListener onRequestStart)
    : m_events(events)
    , m_random(seed)
    , m_options(std::move(options))
    , m_output(std::move(output))
    , m_onRequestStart(std::move(onRequestStart))
    , m_incarnation(static_cast<Incarnation>(events.now().time_since_epoch().count()))
{
}

bool EmulatedTarget::holds(const FlowKey &flow) const
{
    const auto found = m_flows.find(flow);
    return m_isUp && found != m_flows.end() && found->second.isOpen;
}

Duration EmulatedTarget::coldTimeLeft() const
{
    const Duration startedAt(static_cast<Duration::rep>(m_incarnation));
    return std::max<Duration>(startedAt + m_options.coldTime - m_events.now().time_since_epoch(), Duration(0));
}

void EmulatedTarget::receive(const EmulatedPacket &packet)
{
    if (!m_isUp || m_isSilent)
        return;
    const auto &summary = packet.summary;
    if (summary.isInitialSyn()) {
        receiveSyn(packet);
        return;
    }
    const auto found = m_flows.find(summary.flow);
    const bool isHeld = found != m_flows.end() && (found->second.isOpen || summary.acknowledgement == found->second.sequence + 1);
    if (!isHeld) {
        ++m_strayPackets;
        returnPacket(packet);
        return;
    }
    found->second.isOpen = true;
    if (summary.isFin)
        sendFin(summary.flow);
    if (summary.isReset || summary.isFin) {
        m_flows.erase(found);
        return;
    }
    receiveData(packet, found->second);
}

void EmulatedTarget::receiveSyn(const EmulatedPacket &packet)
{
    const auto &key = packet.summary.flow;
    if (!m_flows.contains(key) && m_flows.size() >= m_options.flowLimit) {
        returnPacket(packet);
        return;
    }
    auto [flow, isNew] = m_flows.try_emplace(key);
    if (isNew || flow->second.callerSequence != packet.summary.sequence) {
        ++m_newFlows;
        flow->second = {};
        flow->second.sequence = static_cast<std::uint32_t>(m_random());
        flow->second.callerSequence = packet.summary.sequence;
        flow->second.expectedSequence = packet.summary.sequence;
    }
    EmulatedPacket reply;
    reply.summary.flow = key;
    reply.summary.isSyn = true;
    reply.summary.hasAcknowledgement = true;
    reply.summary.sequence = flow->second.sequence;
    reply.summary.acknowledgement = packet.summary.sequence + 1;
    send(reply);
}

void EmulatedTarget::receiveData(const EmulatedPacket &packet, Flow &flow)
{
    if (packet.request == 0) {
        flow.isAnswerAcknowledged = flow.answer.has_value();
        return;
    }
    const bool isOld = packet.summary.sequence != flow.expectedSequence;
    if (isOld) {
        if (packet.request == flow.request && flow.answer)
            send(*flow.answer);
        return;
    }
    flow.expectedSequence += packet.summary.length;
    flow.request = packet.request;
    flow.answer.reset();
    flow.isAnswerAcknowledged = false;
    const Run run {packet.summary.flow, packet.request, packet.work};
    if (m_queue.size() >= m_options.queueLimit) {
        answer(run, true);
        return;
    }
    m_queue.push_back(run);
    startQueuedRequests();
}

void EmulatedTarget::startQueuedRequests()
{
    while (m_runningRequests < m_options.slots && !m_queue.empty()) {
        const auto run = m_queue.front();
        m_queue.pop_front();
        ++m_runningRequests;
        ++m_startedRequests;
        m_onRequestStart(run.request, run.flow);
        const auto slowness = coldTimeLeft() > Duration(0) ? m_options.coldSlowness : 1;
        const auto duration = Duration(static_cast<Duration::rep>(run.work / m_options.speed * slowness));
        m_events.schedule(duration, [this, run, targetRun = m_run] { finishRequest(run, targetRun); });
    }
}

void EmulatedTarget::finishRequest(const Run &run, std::uint64_t targetRun)
{
    if (targetRun != m_run)
        return;
    --m_runningRequests;
    answer(run, false);
    startQueuedRequests();
}

void EmulatedTarget::answer(const Run &run, bool isShed)
{
    const auto flow = m_flows.find(run.flow);
    if (flow == m_flows.end())
        return;
    EmulatedPacket packet;
    packet.summary.flow = run.flow;
    packet.summary.hasAcknowledgement = true;
    packet.summary.length = AnswerLength;
    packet.request = run.request;
    packet.senderService = m_options.service;
    packet.isShed = isShed;
    packet.summary.isFin = m_isDraining;
    flow->second.answer = packet;
    retransmitAnswer(run.flow, run.request, 0, m_run);
}

void EmulatedTarget::retransmitAnswer(const FlowKey &key, std::uint64_t request, int attempt, std::uint64_t targetRun)
{
    const auto flow = m_flows.find(key);
    // A caller repeats a request that was shed on the same flow, and then there is no answer until the request has run.
    const bool isOver = targetRun != m_run || flow == m_flows.end() || flow->second.request != request || flow->second.isAnswerAcknowledged
                        || !flow->second.answer || attempt > MaximumRetransmissions;
    if (isOver)
        return;
    send(*flow->second.answer);
    const auto timeout = std::min<Duration>(InitialRetransmissionTimeout * (1 << std::min(attempt, 4)), MaximumRetransmissionTimeout);
    m_events.schedule(timeout, [this, key, request, attempt, targetRun] { retransmitAnswer(key, request, attempt + 1, targetRun); });
}

void EmulatedTarget::send(EmulatedPacket packet)
{
    packet.senderService = m_options.service;
    m_output(packet);
}

void EmulatedTarget::sendFin(const FlowKey &key)
{
    EmulatedPacket packet;
    packet.summary.flow = key;
    packet.summary.hasAcknowledgement = true;
    packet.summary.isFin = true;
    send(packet);
}

void EmulatedTarget::returnPacket(EmulatedPacket packet)
{
    packet.summary.isReturned = true;
    m_output(packet);
}

void EmulatedTarget::crash()
{
    m_isUp = false;
    m_flows.clear();
    m_queue.clear();
    m_runningRequests = 0;
    ++m_run;
}

void EmulatedTarget::restart()
{
    crash();
    m_isUp = true;
    m_isDraining = false;
    m_incarnation = static_cast<Incarnation>(m_events.now().time_since_epoch().count());
}

} // namespace Papaya::Emulator
