#pragma once

#include "LibState/FlowKey.h"

#include <cstdint>

namespace Papaya {

/// What the header of one packet of a flow says, in the terms on which decisions depend.
struct PacketSummary {
    FlowKey flow;
    bool isSyn = false;
    bool isFin = false;
    bool isReset = false;
    bool hasAcknowledgement = false;
    /// Whether a target sent the packet back because it does not hold or cannot accept the flow.
    bool isReturned = false;
    std::uint32_t sequence = 0;
    /// The next sequence number that the sender expects; on a SYN, how often it was repeated.
    std::uint32_t acknowledgement = 0;
    /// Bytes of data behind the header.
    std::uint16_t length = 0;
    /// The mark that the agent put on the packet when it passed it to the target; kept on returned packets.
    std::uint32_t mark = 0;

    [[nodiscard]] bool isInitialSyn() const { return isSyn && !hasAcknowledgement; }
};

} // namespace Papaya
