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
constexpr Duration InitialRetransmissionInterval {200};
constexpr Duration MaximumRetransmissionInterval {1'600};
constexpr Duration ReadinessInterval {500};
/// A daemon that does not respond within this time counts as not ready.
constexpr Duration ReadinessTimeout {60};
constexpr int FailedChecksUntilRemoval = 2;
constexpr double LossProbability = 0.03;
constexpr double DuplicationProbability = 0.02;

} // namespace

SoakCallers::SoakCallers(RelayDeployment &deployment, std::uint64_t seed, std::size_t flows)
    : m_deployment(deployment)
    , m_socket(DatagramSocket::bind({CallerHost, RelayDeployment::CallerPort}).value())
    , m_random(seed)
    , m_startedAt(currentTime())
{
    for (const auto &entry : deployment.entryNames())
        m_entryHealth.push_back({entry, 0, true});
    for (std::size_t flow = 0; flow < flows; ++flow) {
        Flow next;
        next.service = flow % 3 == 0 ? "catalogue" : "ledger";
        open(next);
    }
}

void SoakCallers::open(Flow &flow)
{
    flow.key = {{CallerHost, m_nextPort}, m_deployment.serviceAddress(flow.service)};
    flow.isOpen = false;
    flow.acknowledgement = 0;
    flow.request.clear();
    flow.sentAt = {};
    flow.retransmissionInterval = InitialRetransmissionInterval;
    m_flows[m_nextPort++] = flow;
}

void SoakCallers::run(Duration duration)
{
    const auto end = currentTime() + duration;
    while (currentTime() < end) {
        checkNextEntry(currentTime());
        sendDue(currentTime());
        m_socket.receive([&](std::span<const std::byte> packet, const Endpoint &) { receive(packet); });
        std::this_thread::sleep_for(Duration(1));
    }
}

std::size_t SoakCallers::awaitAnswersOnAllFlows(Duration limit)
{
    std::map<std::uint16_t, std::uint64_t> before;
    for (const auto &[port, flow] : m_flows)
        before[port] = flow.answers;
    const auto isAnswered = [&](const auto &entry) {
        const auto found = before.find(entry.first);
        return found != before.end() && entry.second.answers > found->second;
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
        const bool isNew = flow.isOpen && flow.request.empty();
        if (isNew) {
            flow.request = std::to_string(port) + "-" + std::to_string(flow.answers);
            flow.retransmissionInterval = InitialRetransmissionInterval;
        }
        if (!isNew && now - flow.sentAt < flow.retransmissionInterval)
            continue;
        if (!isNew && flow.sentAt != TimePoint {})
            flow.retransmissionInterval = std::min(flow.retransmissionInterval * 2, MaximumRetransmissionInterval);
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
    // Each request has its own sequence number, which its retransmissions repeat, as in a TCP stream.
    summary.sequence = static_cast<std::uint32_t>(flow.answers);
    transmit(summary, flow.request);
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
    std::uniform_real_distribution<double> uniform(0, 1);
    if (m_isLossy && uniform(m_random) < LossProbability)
        return;
    m_socket.send(m_deployment.callerEndpoint(entry), packet);
    if (m_isLossy && uniform(m_random) < DuplicationProbability)
        m_socket.send(m_deployment.callerEndpoint(entry), packet);
}

void SoakCallers::receive(std::span<const std::byte> packet)
{
    const auto parsed = Platform::parsePacket(packet, Platform::PacketOrigin::Target);
    if (parsed.has_error())
        return;
    const auto &summary = parsed.value();
    const auto found = m_flows.find(summary.flow.caller.port);
    if (found == m_flows.end())
        return;
    auto &flow = found->second;
    if (summary.isReset) {
        ++m_outcome.resets;
        const bool isBroken = flow.isOpen && !m_areResetsAllowed;
        m_outcome.brokenFlows += isBroken ? 1 : 0;
        if (isBroken)
            std::cout << "broken_flow=" << toString(flow.key) << " at_ms=" << (currentTime() - m_startedAt).count() << "\n";
        auto next = flow;
        m_flows.erase(found);
        open(next);
        return;
    }
    if (summary.isSyn && !flow.isOpen) {
        flow.isOpen = true;
        flow.acknowledgement = summary.sequence + 1;
    }
    // Ignore duplicate answers to earlier requests.
    const auto answer = payloadOf(packet);
    if (answer.empty() || flow.request.empty() || !answer.starts_with(flow.request + "@"))
        return;
    ++m_outcome.answers;
    m_outcome.wrongAnswers += answer == flow.request + "@" + flow.service ? 0 : 1;
    ++flow.answers;
    flow.request.clear();
}

void SoakCallers::checkNextEntry(TimePoint now)
{
    // Check one daemon at a time, so that a paused daemon delays the callers by at most one check.
    const auto checkInterval = ReadinessInterval / static_cast<int>(m_entryHealth.size());
    if (now - m_checkedAt < checkInterval)
        return;
    m_checkedAt = now;
    auto &health = m_entryHealth[m_nextEntryToCheck++ % m_entryHealth.size()];
    health.failedChecks = m_deployment.isReady(health.name, ReadinessTimeout) ? 0 : health.failedChecks + 1;
    health.isInRotation = health.failedChecks < FailedChecksUntilRemoval;
}

std::vector<std::string> SoakCallers::rotation() const
{
    std::vector<std::string> inRotation;
    std::vector<std::string> all;
    for (const auto &health : m_entryHealth) {
        all.push_back(health.name);
        if (health.isInRotation)
            inRotation.push_back(health.name);
    }
    return inRotation.size() * 2 < all.size() ? all : inRotation;
}

} // namespace Papaya
