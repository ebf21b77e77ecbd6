#include "LibProtocol/DatagramCodec.h"

#include "Generated/Datagram_generated.h"

namespace Papaya {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Offset = flatbuffers::Offset<void>;

constexpr std::size_t InitialBuilderSize = 2'048;

Wire::Address toWire(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

Wire::Flow toWire(const FlowKey &flow)
{
    return {toWire(flow.caller), toWire(flow.service)};
}

Endpoint fromWire(const Wire::Address &address)
{
    return {address.address(), address.port()};
}

FlowKey fromWire(const Wire::Flow &flow)
{
    return {fromWire(flow.caller()), fromWire(flow.service())};
}

/// Decodes a struct field, which is optional in FlatBuffers. An absent field yields a value with all members zero.
template <typename Value, typename WireValue>
Value fromOptional(const WireValue *value)
{
    return value == nullptr ? Value {} : fromWire(*value);
}

std::vector<Wire::Flow> toWire(const std::vector<FlowKey> &flows)
{
    std::vector<Wire::Flow> wire;
    wire.reserve(flows.size());
    for (const auto &flow : flows)
        wire.push_back(toWire(flow));
    return wire;
}

std::vector<FlowKey> fromWire(const flatbuffers::Vector<const Wire::Flow *> *flows)
{
    std::vector<FlowKey> keys;
    if (flows == nullptr)
        return keys;
    keys.reserve(flows->size());
    for (const auto *flow : *flows)
        keys.push_back(fromWire(*flow));
    return keys;
}

Offset writeEnvelope(Builder &builder, const Envelope &header, std::span<const std::byte> packet)
{
    const auto bytes = builder.CreateVector(reinterpret_cast<const std::uint8_t *>(packet.data()), packet.size());
    const auto daemon = toWire(header.senderDaemon);
    return Wire::CreateEnvelope(builder, header.service, header.revision, header.hops, header.sender, &daemon, bytes).Union();
}

Offset write(Builder &builder, const Envelope &message)
{
    return writeEnvelope(builder, message, message.packet);
}

Offset write(Builder &builder, const LocateQuery &message)
{
    const auto flow = toWire(message.flow);
    const auto daemon = toWire(message.senderDaemon);
    return Wire::CreateLocateQuery(builder, message.service, &flow, message.sender, &daemon).Union();
}

Offset write(Builder &builder, const LocateReply &message)
{
    const auto flow = toWire(message.flow);
    const auto daemon = toWire(message.ownerDaemon);
    return Wire::CreateLocateReply(builder, &flow, message.sender, message.isFound, message.owner, &daemon, message.incarnation).Union();
}

Offset write(Builder &builder, const Announce &message)
{
    const auto daemon = toWire(message.ownerDaemon);
    const auto flows = builder.CreateVectorOfStructs(toWire(message.flows));
    return Wire::CreateAnnounce(builder, message.owner, &daemon, message.incarnation, flows).Union();
}

Offset write(Builder &builder, const Release &message)
{
    const auto flows = builder.CreateVectorOfStructs(toWire(message.flows));
    return Wire::CreateRelease(builder, message.owner, flows).Union();
}

Offset write(Builder &builder, const Heartbeat &message)
{
    const auto daemon = toWire(message.daemon);
    return Wire::CreateHeartbeat(builder,
                                 message.sender,
                                 &daemon,
                                 message.incarnation,
                                 message.isLeaving,
                                 message.revision,
                                 message.load.connections,
                                 message.load.connectionLimit,
                                 message.load.expectedWait)
        .Union();
}

Envelope read(const Wire::Envelope &wire)
{
    Envelope message {wire.service(), wire.revision(), wire.hops(), wire.sender(), fromOptional<Endpoint>(wire.sender_daemon()), {}};
    if (const auto *packet = wire.packet()) {
        const auto *bytes = reinterpret_cast<const std::byte *>(packet->data());
        message.packet.assign(bytes, bytes + packet->size());
    }
    return message;
}

LocateQuery read(const Wire::LocateQuery &wire)
{
    return {wire.service(), fromOptional<FlowKey>(wire.flow()), wire.sender(), fromOptional<Endpoint>(wire.sender_daemon())};
}

LocateReply read(const Wire::LocateReply &wire)
{
    return {fromOptional<FlowKey>(wire.flow()),
            wire.sender(),
            wire.is_found(),
            wire.owner(),
            fromOptional<Endpoint>(wire.owner_daemon()),
            wire.incarnation()};
}

Announce read(const Wire::Announce &wire)
{
    return {wire.owner(), fromOptional<Endpoint>(wire.owner_daemon()), wire.incarnation(), fromWire(wire.flows())};
}

Release read(const Wire::Release &wire)
{
    return {wire.owner(), fromWire(wire.flows())};
}

Heartbeat read(const Wire::Heartbeat &wire)
{
    const LoadReport load {wire.connections(), wire.connection_limit(), wire.expected_wait()};
    return {wire.sender(), fromOptional<Endpoint>(wire.daemon()), wire.incarnation(), wire.is_leaving(), wire.revision(), load};
}

std::vector<std::byte> finishDatagram(Builder &builder, Wire::Message type, Offset message)
{
    builder.Finish(Wire::CreateDatagram(builder, type, message));
    const auto *bytes = reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
    return {bytes, bytes + builder.GetSize()};
}

/// The FlatBuffers union and the variant list their alternatives in the same order. The union reserves 0 for NONE.
Wire::Message wireMessageType(const FlowMessage &message)
{
    return static_cast<Wire::Message>(message.index() + 1);
}

} // namespace

std::vector<std::byte> encodeDatagram(const FlowMessage &message)
{
    Builder builder(InitialBuilderSize);
    const auto offset = std::visit([&](const auto &alternative) { return write(builder, alternative); }, message);
    return finishDatagram(builder, wireMessageType(message), offset);
}

std::vector<std::byte> encodeEnvelope(const Envelope &header, std::span<const std::byte> packet)
{
    Builder builder(InitialBuilderSize);
    const auto offset = writeEnvelope(builder, header, packet);
    return finishDatagram(builder, Wire::Message::Envelope, offset);
}

Result<FlowMessage> decodeDatagram(std::span<const std::byte> datagram)
{
    const Failure malformed {FailureKind::MalformedDatagram, 0, "datagram"};
    if (datagram.size() > DatagramSizeLimit)
        return malformed;
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    if (!verifier.VerifyBuffer<Wire::Datagram>(nullptr))
        return malformed;
    const auto *root = flatbuffers::GetRoot<Wire::Datagram>(bytes);
    if (root->message() == nullptr)
        return malformed;
    switch (root->message_type()) {
    case Wire::Message::Envelope:
        return FlowMessage {read(*root->message_as_Envelope())};
    case Wire::Message::LocateQuery:
        return FlowMessage {read(*root->message_as_LocateQuery())};
    case Wire::Message::LocateReply:
        return FlowMessage {read(*root->message_as_LocateReply())};
    case Wire::Message::Announce:
        return FlowMessage {read(*root->message_as_Announce())};
    case Wire::Message::Release:
        return FlowMessage {read(*root->message_as_Release())};
    case Wire::Message::Heartbeat:
        return FlowMessage {read(*root->message_as_Heartbeat())};
    case Wire::Message::NONE:
        break;
    }
    return malformed;
}

} // namespace Papaya
