#pragma once

#include "LibState/PacketSummary.h"

#include <array>
#include <cstddef>
#include <cstring>
#include <span>
#include <type_traits>
#include <vector>

namespace Papaya::Emulator {

/// A packet of an emulated caller or target. Its encoded form is the bytes of this struct. That is sufficient because the relay
/// daemons forward packets as opaque bytes and get the header fields separately, as `summary`.
struct EmulatedPacket {
    PacketSummary summary;
    /// Identifier of the request to which the data belongs, or 0 in packets without data.
    std::uint64_t request = 0;
    /// Time in milliseconds that the request takes on a target of speed 1.
    std::uint32_t work = 0;
    /// Service of the target that created the packet, or 0 in packets of callers.
    std::uint64_t senderService = 0;
    /// Address of the entry daemon that created the packet, or 0.
    std::uint32_t senderEntry = 0;
    /// Whether this packet is an answer by which the target rejected the request without running it (load shedding).
    bool isShed = false;
};

static_assert(std::is_trivially_copyable_v<EmulatedPacket>);

/// Encodes a packet.
[[nodiscard]] inline std::vector<std::byte> toBytes(const EmulatedPacket &packet)
{
    std::vector<std::byte> bytes(sizeof(packet));
    std::memcpy(bytes.data(), &packet, sizeof(packet));
    return bytes;
}

/// Decodes a packet from the bytes that toBytes() returned.
[[nodiscard]] inline EmulatedPacket fromBytes(std::span<const std::byte> bytes)
{
    EmulatedPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof(packet));
    return packet;
}

} // namespace Papaya::Emulator
