#pragma once

#include "LibCoordination/FlowProtocol.h"

#include <cstddef>
#include <span>
#include <vector>

/// IPv4 packets with TCP segments (RFC 791, RFC 9293), as far as routing needs to read and write them.
namespace Papaya {

/// The direction in which a packet travels, which decides the end that is the caller.
enum class PacketDirection {
    FromCaller,
    ToCaller,
};

/// Reads the addresses and flags of a TCP packet. Fails with MalformedPacket on anything but a whole, unfragmented
/// IPv4 packet that carries a whole TCP header. Checksums are left to the TCP stack.
[[nodiscard]] Result<SegmentSummary> parsePacket(std::span<const std::byte> packet, PacketDirection direction);

/// Builds the reset that answers a segment from the caller (RFC 9293, section 3.10.7.1). Fails when it is itself a reset.
[[nodiscard]] Result<std::vector<std::byte>> makeReset(std::span<const std::byte> packet);

/// Builds an empty segment from the service to the caller with an arbitrary sequence number. A caller whose connection
/// is open answers a segment outside its window with an acknowledgement (RFC 9293, section 3.10.7.4).
[[nodiscard]] std::vector<std::byte> makeProbe(const FlowKey &flow, std::uint32_t sequence);

} // namespace Papaya
