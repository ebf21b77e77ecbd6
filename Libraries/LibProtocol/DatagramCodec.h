#pragma once

#include "LibCoordination/FlowMessages.h"

#include <cstddef>
#include <span>
#include <vector>

namespace Papaya {

/// Maximum size in bytes of a datagram that is sent or accepted. Leaves room for an IP packet of 1,500 bytes and its envelope.
inline constexpr std::size_t DatagramSizeLimit = 2'048;

/// Encodes a message as one FlatBuffers datagram.
[[nodiscard]] std::vector<std::byte> encodeDatagram(const FlowMessage &message);

/// Encodes an envelope with `packet` as its packet, which saves copying the packet into `header`. Ignores `header.packet`.
[[nodiscard]] std::vector<std::byte> encodeEnvelope(const Envelope &header, std::span<const std::byte> packet);

/// Verifies and decodes one datagram. Fails with MalformedDatagram if the input is truncated, oversized or otherwise invalid.
[[nodiscard]] Result<FlowMessage> decodeDatagram(std::span<const std::byte> datagram);

} // namespace Papaya
