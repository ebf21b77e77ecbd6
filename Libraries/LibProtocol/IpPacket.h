#pragma once

#include "LibCoordination/FlowProtocol.h"

#include <cstddef>
#include <span>
#include <vector>

/// Reads and builds the IPv4 packets with TCP segments (RFC 791, RFC 9293) that routing needs.
namespace Papaya {

/// The direction of a packet, which determines whether the caller is its source or its destination.
enum class PacketDirection {
    FromCaller,
    ToCaller,
};

/// Reads the addresses, sequence numbers and flags of a TCP packet. Fails with MalformedPacket unless the input is a complete,
/// unfragmented IPv4 packet with a complete TCP header. Does not verify checksums, which the receiving TCP stack does.
[[nodiscard]] Result<SegmentSummary> parsePacket(std::span<const std::byte> packet, PacketDirection direction);

/// Builds the reset that answers a segment from the caller (RFC 9293, section 3.10.7.1). Fails with MalformedPacket if the
/// segment is malformed or itself a reset.
[[nodiscard]] Result<std::vector<std::byte>> makeReset(std::span<const std::byte> packet);

/// Builds a probe: an empty segment from the service to the caller with an arbitrary sequence number. A caller whose connection is
/// open answers a segment outside its receive window with an acknowledgement (RFC 9293, section 3.10.7.4).
[[nodiscard]] std::vector<std::byte> makeProbe(const FlowKey &flow, std::uint32_t sequence);

} // namespace Papaya
