#include "LibProtocol/RelayCodec.h"

#include "Generated/Relay_generated.h"

#include <optional>

namespace Papaya {

namespace {

using Offset = flatbuffers::Offset<void>;

RelayWire::Address toWire(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

RelayWire::Flow toWire(const FlowKey &flow)
{
    return {toWire(flow.caller), toWire(flow.service)};
}

RelayWire::Load toWire(const TargetLoad &load)
{
    return {load.openFlows, load.runningRequests, load.responseTime, static_cast<std::uint8_t>(load.state)};
}

RelayWire::Evacuation toWire(const EvacuationStatement &statement)
{
    return {statement.asOf.era, statement.asOf.number, statement.isEvacuated};
}

/// The room of a target as it is sent, or nothing if it has the default values. Older versions do not read it.
std::optional<RelayWire::Room> roomToWire(const TargetLoad &load)
{
    if (load.capacity == 0 && load.reservedSlots == 0)
        return std::nullopt;
    return RelayWire::Room {load.capacity, load.reservedSlots};
}

template <typename Wire>
const Wire *pointerTo(const std::optional<Wire> &wire)
{
    return wire ? &*wire : nullptr;
}

EvacuationStatement fromWire(const RelayWire::Evacuation *statement)
{
    if (statement == nullptr)
        return {};
    return {{statement->era(), statement->revision()}, statement->is_evacuated()};
}

Endpoint fromWire(const RelayWire::Address *address)
{
    return address == nullptr ? Endpoint {} : Endpoint {address->address(), address->port()};
}

FlowKey fromWire(const RelayWire::Flow &flow)
{
    return {fromWire(&flow.caller()), fromWire(&flow.service())};
}

TargetLoad fromWire(const RelayWire::Load *load, const RelayWire::Room *room)
{
    if (load == nullptr)
        return {};
    const auto capacity = room == nullptr ? 0 : room->capacity();
    const auto reservedSlots = room == nullptr ? 0 : room->reserved_slots();
    // A newer protocol version may send a state that this version does not define. Silent is the worst state that does not reset
    // the target's flows.
    const bool isKnown = load->state() <= static_cast<std::uint8_t>(TargetState::AgentRestarting);
    const auto state = isKnown ? static_cast<TargetState>(load->state()) : TargetState::Silent;
    return {load->open_flows(), load->running_requests(), load->response_time(), state, capacity, reservedSlots};
}

std::span<const std::byte> fromWire(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    if (bytes == nullptr)
        return {};
    return std::as_bytes(std::span(bytes->data(), bytes->size()));
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> writeBytes(flatbuffers::FlatBufferBuilder &builder, std::span<const std::byte> bytes)
{
    if (bytes.empty())
        return 0;
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

Offset write(flatbuffers::FlatBufferBuilder &builder, const RelayEnvelope &message)
{
    const auto packet = writeBytes(builder, message.packet);
    const auto purpose = static_cast<std::uint8_t>(message.purpose);
    const auto evacuation = toWire(message.evacuation);
    const bool hasStatement = message.evacuation.asOf.number > 0;
    return RelayWire::CreateEnvelope(builder,
                                     message.service,
                                     purpose,
                                     packet,
                                     message.busyThreshold,
                                     message.targetIncarnation,
                                     message.priority,
                                     hasStatement ? &evacuation : nullptr,
                                     static_cast<std::uint32_t>(message.coldTime.count()),
                                     message.coldRate)
        .Union();
}

Offset write(flatbuffers::FlatBufferBuilder &builder, const RelayNotice &message)
{
    const auto packet = writeBytes(builder, message.packet);
    const auto caller = toWire(message.flow.caller);
    const auto address = toWire(message.flow.service);
    const auto load = toWire(message.load);
    const auto kind = static_cast<std::uint8_t>(message.kind);
    const auto evacuation = toWire(message.evacuation);
    const bool hasStatement = message.evacuation.asOf.number > 0;
    const auto room = roomToWire(message.load);
    return RelayWire::CreateNotice(builder,
                                   kind,
                                   &caller,
                                   &address,
                                   message.sequence,
                                   message.service,
                                   &load,
                                   packet,
                                   hasStatement ? &evacuation : nullptr,
                                   pointerTo(room))
        .Union();
}

Offset write(flatbuffers::FlatBufferBuilder &builder, const RelayReport &message)
{
    const auto load = toWire(message.load);
    const auto room = roomToWire(message.load);
    return RelayWire::CreateReport(builder, message.service, &load, pointerTo(room)).Union();
}

Offset write(flatbuffers::FlatBufferBuilder &builder, const RelayQuery &message)
{
    std::vector<RelayWire::Flow> flows;
    flows.reserve(message.flows.size());
    for (const auto &flow : message.flows)
        flows.push_back(toWire(flow));
    return RelayWire::CreateQuery(builder, message.service, builder.CreateVectorOfStructs(flows)).Union();
}

Offset write(flatbuffers::FlatBufferBuilder &builder, const RelayAnswer &message)
{
    std::vector<RelayWire::Finding> findings;
    findings.reserve(message.findings.size());
    for (const auto &finding : message.findings)
        findings.emplace_back(toWire(finding.flow), static_cast<std::uint8_t>(finding.verdict));
    const auto load = toWire(message.load);
    const auto room = roomToWire(message.load);
    return RelayWire::CreateAnswer(builder, message.service, &load, builder.CreateVectorOfStructs(findings), pointerTo(room)).Union();
}

Failure malformed()
{
    return {FailureKind::MalformedDatagram, 0, "relay_datagram"};
}

Result<RelayMessage> read(const RelayWire::Envelope &wire)
{
    if (wire.purpose() > static_cast<std::uint8_t>(EnvelopePurpose::Subscribe))
        return malformed();
    const auto purpose = static_cast<EnvelopePurpose>(wire.purpose());
    RelayEnvelope envelope {wire.service(), purpose, fromWire(wire.packet()), wire.busy_from(), wire.target_run()};
    envelope.priority = wire.priority();
    envelope.evacuation = fromWire(wire.evacuation());
    envelope.coldTime = Duration(wire.cold_ms());
    envelope.coldRate = wire.cold_rate();
    return RelayMessage {envelope};
}

Result<RelayMessage> read(const RelayWire::Notice &wire)
{
    if (wire.kind() > static_cast<std::uint8_t>(NoticeKind::Evacuated))
        return malformed();
    RelayNotice notice;
    notice.kind = static_cast<NoticeKind>(wire.kind());
    notice.flow = {fromWire(wire.caller()), fromWire(wire.address())};
    notice.sequence = wire.sequence();
    notice.service = wire.service();
    notice.load = fromWire(wire.load(), wire.room());
    notice.packet = fromWire(wire.packet());
    notice.evacuation = fromWire(wire.evacuation());
    return RelayMessage {notice};
}

Result<RelayMessage> read(const RelayWire::Report &wire)
{
    return RelayMessage {RelayReport {wire.service(), fromWire(wire.load(), wire.room())}};
}

Result<RelayMessage> read(const RelayWire::Query &wire)
{
    RelayQuery query;
    query.service = wire.service();
    if (wire.flows() == nullptr)
        return RelayMessage {std::move(query)};
    for (const auto *flow : *wire.flows())
        query.flows.push_back(fromWire(*flow));
    return RelayMessage {std::move(query)};
}

Result<RelayMessage> read(const RelayWire::Answer &wire)
{
    RelayAnswer answer;
    answer.service = wire.service();
    answer.load = fromWire(wire.load(), wire.room());
    if (wire.findings() == nullptr)
        return RelayMessage {std::move(answer)};
    for (const auto *finding : *wire.findings()) {
        if (finding->verdict() > static_cast<std::uint8_t>(FlowVerdict::Denied))
            return malformed();
        answer.findings.push_back({fromWire(finding->flow()), static_cast<FlowVerdict>(finding->verdict())});
    }
    return RelayMessage {std::move(answer)};
}

} // namespace

struct RelayEncoder::Builder {
    flatbuffers::FlatBufferBuilder buffer {RelayDatagramSizeLimit};
};

RelayEncoder::RelayEncoder()
    : m_builder(std::make_unique<Builder>())
{
}

RelayEncoder::~RelayEncoder() = default;

std::span<const std::byte> RelayEncoder::encode(const RelayMessage &message)
{
    auto &buffer = m_builder->buffer;
    buffer.Clear();
    const auto offset = std::visit([&](const auto &alternative) { return write(buffer, alternative); }, message);
    // The FlatBuffers union and the variant list their alternatives in the same order. The union reserves 0 for NONE.
    const auto type = static_cast<RelayWire::Message>(message.index() + 1);
    buffer.Finish(RelayWire::CreateRelayDatagram(buffer, type, offset));
    return std::as_bytes(std::span(buffer.GetBufferPointer(), buffer.GetSize()));
}

Result<RelayMessage> decodeRelayDatagram(std::span<const std::byte> datagram)
{
    if (datagram.size() > RelayDatagramSizeLimit)
        return malformed();
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!verifier.VerifyBuffer<RelayWire::RelayDatagram>(nullptr))
        return malformed();
    const auto *root = flatbuffers::GetRoot<RelayWire::RelayDatagram>(bytes);
    if (root->message() == nullptr)
        return malformed();
    switch (root->message_type()) {
    case RelayWire::Message::Envelope:
        return read(*root->message_as_Envelope());
    case RelayWire::Message::Notice:
        return read(*root->message_as_Notice());
    case RelayWire::Message::Report:
        return read(*root->message_as_Report());
    case RelayWire::Message::Query:
        return read(*root->message_as_Query());
    case RelayWire::Message::Answer:
        return read(*root->message_as_Answer());
    case RelayWire::Message::NONE:
        break;
    }
    return malformed();
}

} // namespace Papaya
