#include "WirePacket.h"

#include "platform/PacketCodec.h"

#include <cstring>

namespace Papaya {

namespace {

void put(std::vector<std::byte> &bytes, std::size_t offset, std::uint64_t value, std::size_t width)
{
    for (std::size_t index = 0; index < width; ++index)
        bytes[offset + index] = static_cast<std::byte>(value >> (8 * index));
}

} // namespace

std::vector<std::byte> writePacket(const PacketSummary &summary, bool isFromCaller, std::string_view data)
{
    std::vector<std::byte> bytes(Platform::PacketHeaderSize + data.size());
    const auto &source = isFromCaller ? summary.flow.caller : summary.flow.service;
    const auto &destination = isFromCaller ? summary.flow.service : summary.flow.caller;
    const unsigned flags = (summary.isSyn ? 16U : 0U) | (summary.hasAcknowledgement ? 1U : 0U) | (summary.isFin ? 128U : 0U)
                           | (summary.isReset ? 32U : 0U) | (summary.isReturned ? 8U : 0U);
    put(bytes, 0, flags, 1);
    put(bytes, 2, summary.mark, 4);
    put(bytes, 6, destination.address, 4);
    put(bytes, 10, source.port, 2);
    put(bytes, 12, destination.port, 2);
    put(bytes, 14, source.address, 4);
    put(bytes, 18, data.size(), 2);
    put(bytes, 20, summary.sequence, 4);
    put(bytes, 24, summary.acknowledgement, 4);
    std::memcpy(bytes.data() + Platform::PacketHeaderSize, data.data(), data.size());
    return bytes;
}

std::string_view payloadOf(std::span<const std::byte> packet)
{
    const auto data = packet.subspan(Platform::PacketHeaderSize);
    return {reinterpret_cast<const char *>(data.data()), data.size()};
}

} // namespace Papaya
