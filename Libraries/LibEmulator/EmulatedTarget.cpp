#include "LibEmulator/EmulatedTarget.h"

namespace Papaya::Emulator {

namespace {

constexpr Duration AnswerRetry {200};
constexpr Duration LongestAnswerRetry {1'600};
constexpr int AnswerAttempts = 8;
constexpr std::uint16_t AnswerLength = 1'000;

} // namespace

EmulatedTarget::EmulatedTarget(EventQueue &events, std::uint64_t seed, TargetTraits traits, Output output, RunListener onRun)
    : m_events(events)
    , m_random(seed)
    , m_traits(std::move(traits))
    , m_output(std::move(output))
    , m_onRun(std::move(onRun))
{
}

bool EmulatedTarget::holds(const FlowKey &flow) const
{
    const auto known = m_flows.find(flow);
    return m_isUp && known != m_flows.end() && known->second.isOpen;
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
    const auto known = m_flows.find(summary.flow);
    const bool isHeld = known != m_flows.end() && (known->second.isOpen || summary.acknowledgement == known->second.sequence + 1);
    if (!isHeld) {
        ++m_strayPackets;
        sendBack(packet);
        return;
    }
    known->second.isOpen = true;
    if (summary.isReset || summary.isFin) {
        m_flows.erase(known);
        return;
    }
    receiveData(packet, known->second);
}

void EmulatedTarget::receiveSyn(const EmulatedPacket &packet)
{
    const auto &key = packet.summary.flow;
    if (!m_flows.contains(key) && m_flows.size() >= m_traits.flowLimit) {
        sendBack(packet);
        return;
    }
    auto [flow, isNew] = m_flows.try_emplace(key);
    if (isNew)
        flow->second.sequence = static_cast<std::uint32_t>(m_random());
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
    if (packet.request == flow.request) {
        if (flow.answer)
            send(*flow.answer);
        return;
    }
    flow.request = packet.request;
    flow.answer.reset();
    flow.isAnswerAcknowledged = false;
    const Run run {packet.summary.flow, packet.request, packet.work};
    if (m_queue.size() >= m_traits.queueLimit) {
        answer(run, true);
        return;
    }
    m_queue.push_back(run);
    startRuns();
}

void EmulatedTarget::startRuns()
{
    while (m_running < m_traits.slots && !m_queue.empty()) {
        const auto run = m_queue.front();
        m_queue.pop_front();
        ++m_running;
        ++m_requestsRun;
        m_onRun(run.request, run.flow);
        const auto duration = Duration(static_cast<Duration::rep>(run.work / m_traits.speed));
        m_events.after(duration, [this, run, incarnation = m_incarnation] { finishRun(run, incarnation); });
    }
}

void EmulatedTarget::finishRun(const Run &run, Incarnation incarnation)
{
    if (incarnation != m_incarnation)
        return;
    --m_running;
    answer(run, false);
    startRuns();
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
    packet.answeredBy = m_traits.service;
    packet.isShed = isShed;
    flow->second.answer = packet;
    repeatAnswer(run.flow, run.request, 0, m_incarnation);
}

void EmulatedTarget::repeatAnswer(const FlowKey &key, std::uint64_t request, int attempt, Incarnation incarnation)
{
    const auto flow = m_flows.find(key);
    const bool isOver = incarnation != m_incarnation || flow == m_flows.end() || flow->second.request != request
                        || flow->second.isAnswerAcknowledged || attempt > AnswerAttempts;
    if (isOver)
        return;
    send(*flow->second.answer);
    const auto pause = std::min<Duration>(AnswerRetry * (1 << std::min(attempt, 4)), LongestAnswerRetry);
    m_events.after(pause, [this, key, request, attempt, incarnation] { repeatAnswer(key, request, attempt + 1, incarnation); });
}

void EmulatedTarget::send(EmulatedPacket packet)
{
    packet.answeredBy = m_traits.service;
    m_output(packet);
}

void EmulatedTarget::sendBack(EmulatedPacket packet)
{
    packet.summary.isReturned = true;
    m_output(packet);
}

void EmulatedTarget::crash()
{
    m_isUp = false;
    m_flows.clear();
    m_queue.clear();
    m_running = 0;
    ++m_incarnation;
}

void EmulatedTarget::restart()
{
    crash();
    m_isUp = true;
    m_isDraining = false;
}

} // namespace Papaya::Emulator
