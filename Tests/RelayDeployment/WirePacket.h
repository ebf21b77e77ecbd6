#pragma once

#include "LibState/PacketSummary.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace Papaya {

/// Writes a packet as the platform's callers and targets do. `isFromCaller` tells which end of the flow is the sender.
[[nodiscard]] std::vector<std::byte> writePacket(const PacketSummary &summary, bool isFromCaller, std::string_view data = {});

/// Returns the data of a packet.
[[nodiscard]] std::string_view payloadOf(std::span<const std::byte> packet);

} // namespace Papaya
