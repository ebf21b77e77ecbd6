#include "EchoTarget.h"

#include "LibTransport/EventPoll.h"
#include "LibTransport/StreamSocket.h"
#include "WirePacket.h"
#include "platform/PacketCodec.h"

namespace Papaya {

namespace {

constexpr Duration PollInterval {20};
constexpr std::uint32_t SequenceStep = 100'000;

} // namespace

EchoTarget::EchoTarget(const Endpoint &application, const Endpoint &outbound, std::string name)
    : m_socket(DatagramSocket::bind(application).value())
    , m_listener(listenStream(application).value())
    , m_outbound(outbound)
    , m_name(std::move(name))
    , m_thread([this] { run(); })
{
}

EchoTarget::~EchoTarget()
{
    m_isStopping = true;
    m_thread.join();
}

void EchoTarget::run()
{
    EventPoll poll;
    poll.addReader(m_socket.descriptor(), 1);
    while (!m_isStopping) {
        poll.wait(PollInterval,
                  [&](std::uint64_t) { m_socket.receive([&](std::span<const std::byte> packet, const Endpoint &) { receive(packet); }); });
        while (acceptStream(m_listener)) {
        }
    }
}

void EchoTarget::receive(std::span<const std::byte> packet)
{
    const auto parsed = Platform::parsePacket(packet, Platform::PacketOrigin::Caller);
    if (parsed.has_error())
        return;
    const auto &summary = parsed.value();
    PacketSummary answer;
    answer.flow = summary.flow;
    answer.hasAcknowledgement = true;
    if (summary.isInitialSyn()) {
        auto [flow, isNew] = m_flows.try_emplace(summary.flow);
        if (isNew)
            flow->second.sequence = m_nextSequence += SequenceStep;
        answer.isSyn = true;
        answer.sequence = flow->second.sequence;
        send(answer);
        return;
    }
    const auto flow = m_flows.find(summary.flow);
    const bool isOwnFlow = flow != m_flows.end() && (flow->second.isOpen || summary.acknowledgement == flow->second.sequence + 1);
    if (!isOwnFlow) {
        ++m_strayPackets;
        auto returnedPacket = std::vector<std::byte>(packet.begin(), packet.end());
        returnedPacket[0] |= std::byte {8};
        m_socket.send(m_outbound, returnedPacket);
        return;
    }
    flow->second.isOpen = true;
    if (summary.length > 0)
        send(answer, std::string(payloadOf(packet)) + "@" + m_name);
}

void EchoTarget::send(const PacketSummary &summary, std::string_view data)
{
    m_socket.send(m_outbound, writePacket(summary, false, data));
}

} // namespace Papaya
