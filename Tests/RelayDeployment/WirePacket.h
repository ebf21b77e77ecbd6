#pragma once

#include "LibState/PacketSummary.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace Papaya {

/// Encodes a packet in the wire format of the platform's callers and targets. The sender is the caller if `isFromCaller` is set, and the
/// target otherwise.
[[nodiscard]] std::vector<std::byte> writePacket(const PacketSummary &summary, bool isFromCaller, std::string_view data = {});

/// Returns the payload of a packet.
[[nodiscard]] std::string_view payloadOf(std::span<const std::byte> packet);

} // namespace Papaya
