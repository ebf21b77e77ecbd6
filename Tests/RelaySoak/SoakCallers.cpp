#include "SoakCallers.h"

#include "RelayDeployment/WirePacket.h"

#include "LibCoordination/RendezvousHash.h"
#include "LibTransport/MonotonicClock.h"
#include "platform/PacketCodec.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace Papaya {

namespace {

constexpr std::uint32_t CallerHost = 0x7f000305;
constexpr Duration FirstRetransmission {200};
constexpr Duration LongestRetransmission {1'600};
constexpr Duration ReadinessInterval {500};
/// A daemon that does not answer within this time counts as not ready.
constexpr Duration ReadinessLimit {60};
constexpr int MissesUntilOut = 2;
constexpr double LossShare = 0.03;
constexpr double DoubleShare = 0.02;

} // namespace

SoakCallers::SoakCallers(RelayDeployment &deployment, std::uint64_t seed, std::size_t flows)
    : m_deployment(deployment)
    , m_socket(DatagramSocket::bind({CallerHost, RelayDeployment::CallerPort}).value())
    , m_random(seed)
    , m_startedAt(currentTime())
{
    for (const auto &entry : deployment.entries())
        m_gates.push_back({entry, 0, true});
    for (std::size_t flow = 0; flow < flows; ++flow) {
        Flow next;
        next.service = flow % 3 == 0 ? "catalogue" : "ledger";
        open(next);
    }
}

void SoakCallers::open(Flow &flow)
{
    flow.key = {{CallerHost, m_nextPort}, m_deployment.addressOf(flow.service)};
    flow.isOpen = false;
    flow.acknowledgement = 0;
    flow.question.clear();
    flow.sentAt = {};
    flow.pause = FirstRetransmission;
    m_flows[m_nextPort++] = flow;
}

void SoakCallers::run(Duration duration)
{
    const auto end = currentTime() + duration;
    while (currentTime() < end) {
        reviewRotation(currentTime());
        sendDue(currentTime());
        m_socket.receive([&](std::span<const std::byte> packet, const Endpoint &) { receive(packet); });
        std::this_thread::sleep_for(Duration(1));
    }
}

std::size_t SoakCallers::askAll(Duration limit)
{
    std::map<std::uint16_t, std::uint64_t> before;
    for (const auto &[port, flow] : m_flows)
        before[port] = flow.answers;
    const auto isAnswered = [&](const auto &entry) {
        const auto known = before.find(entry.first);
        return known != before.end() && entry.second.answers > known->second;
    };
    const auto end = currentTime() + limit;
    std::size_t answered = 0;
    while (answered < m_flows.size() && currentTime() < end) {
        run(Duration(50));
        answered = static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), isAnswered));
    }
    return answered;
}

void SoakCallers::sendDue(TimePoint now)
{
    for (auto &[port, flow] : m_flows) {
        const bool isNew = flow.isOpen && flow.question.empty();
        if (isNew) {
            flow.question = std::to_string(port) + "-" + std::to_string(flow.answers);
            flow.pause = FirstRetransmission;
        }
        if (!isNew && now - flow.sentAt < flow.pause)
            continue;
        if (!isNew && flow.sentAt != TimePoint {})
            flow.pause = std::min(flow.pause * 2, LongestRetransmission);
        flow.sentAt = now;
        send(flow);
    }
}

void SoakCallers::send(const Flow &flow)
{
    PacketSummary summary;
    summary.flow = flow.key;
    summary.isSyn = !flow.isOpen;
    summary.hasAcknowledgement = flow.isOpen;
    summary.acknowledgement = flow.isOpen ? flow.acknowledgement : 0;
    // Each request has a number of its own, as the bytes of one stream have.
    summary.sequence = static_cast<std::uint32_t>(flow.answers);
    transmit(summary, flow.question);
}

void SoakCallers::transmit(const PacketSummary &summary, std::string_view data)
{
    const auto names = rotation();
    std::vector<std::uint64_t> ids;
    ids.reserve(names.size());
    for (const auto &name : names)
        ids.push_back(hashOf(name));
    const auto &entry = names[rendezvousFirst(ids, hashOf(summary.flow))];
    const auto packet = writePacket(summary, true, data);
    std::uniform_real_distribution<double> share(0, 1);
    if (m_isLossy && share(m_random) < LossShare)
        return;
    m_socket.send(m_deployment.callersOf(entry), packet);
    if (m_isLossy && share(m_random) < DoubleShare)
        m_socket.send(m_deployment.callersOf(entry), packet);
}

void SoakCallers::receive(std::span<const std::byte> packet)
{
    const auto parsed = Platform::parsePacket(packet, Platform::PacketOrigin::Target);
    if (parsed.has_error())
        return;
    const auto &summary = parsed.value();
    const auto known = m_flows.find(summary.flow.caller.port);
    if (known == m_flows.end())
        return;
    auto &flow = known->second;
    if (summary.isReset) {
        ++m_outcome.resets;
        const bool isBroken = flow.isOpen && !m_areResetsAllowed;
        m_outcome.brokenFlows += isBroken ? 1 : 0;
        if (isBroken)
            std::cout << "broken_flow=" << toString(flow.key) << " at_ms=" << (currentTime() - m_startedAt).count() << "\n";
        auto next = flow;
        m_flows.erase(known);
        open(next);
        return;
    }
    if (summary.isSyn && !flow.isOpen) {
        flow.isOpen = true;
        flow.acknowledgement = summary.sequence + 1;
    }
    // A repeated answer to an earlier request is not news.
    const auto answer = dataOf(packet);
    if (answer.empty() || flow.question.empty() || !answer.starts_with(flow.question + "@"))
        return;
    ++m_outcome.answers;
    m_outcome.wrongAnswers += answer == flow.question + "@" + flow.service ? 0 : 1;
    ++flow.answers;
    flow.question.clear();
}

void SoakCallers::reviewRotation(TimePoint now)
{
    // One daemon at a time, so that a paused one holds up callers for one call at the most.
    const auto pause = ReadinessInterval / static_cast<int>(m_gates.size());
    if (now - m_reviewedAt < pause)
        return;
    m_reviewedAt = now;
    auto &gate = m_gates[m_nextGate++ % m_gates.size()];
    gate.misses = m_deployment.isReady(gate.name, ReadinessLimit) ? 0 : gate.misses + 1;
    gate.isIn = gate.misses < MissesUntilOut;
}

std::vector<std::string> SoakCallers::rotation() const
{
    std::vector<std::string> in;
    std::vector<std::string> all;
    for (const auto &gate : m_gates) {
        all.push_back(gate.name);
        if (gate.isIn)
            in.push_back(gate.name);
    }
    return in.size() * 2 < all.size() ? all : in;
}

} // namespace Papaya
