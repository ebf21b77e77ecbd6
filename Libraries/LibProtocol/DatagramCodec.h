#pragma once

#include "LibCoordination/FlowMessages.h"

#include <cstddef>
#include <span>
#include <vector>

namespace Papaya {

/// The largest datagram that is sent or accepted, in bytes: a packet of 1,500 bytes and its envelope.
inline constexpr std::size_t DatagramSizeLimit = 2'048;

/// Encodes a message as one FlatBuffers datagram.
[[nodiscard]] std::vector<std::byte> encodeDatagram(const FlowMessage &message);

/// Encodes an envelope around a packet without copying the packet first.
[[nodiscard]] std::vector<std::byte> encodeEnvelope(const Envelope &header, std::span<const std::byte> packet);

/// Verifies and decodes one datagram. Fails with MalformedDatagram on truncated, oversized or hostile input.
[[nodiscard]] Result<FlowMessage> decodeDatagram(std::span<const std::byte> datagram);

} // namespace Papaya
