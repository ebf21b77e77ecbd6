#pragma once

#include "LibState/FlowKey.h"

#include <cstdint>

namespace Papaya {

/// The fields of a packet's headers that decisions depend on.
struct PacketSummary {
    FlowKey flow;
    bool isSyn = false;
    bool isFin = false;
    bool isReset = false;
    bool hasAcknowledgement = false;
    /// Whether a target returned the packet because it does not hold the flow or cannot accept it.
    bool isReturned = false;
    std::uint32_t sequence = 0;
    /// The acknowledgement number. On a SYN, how often the caller has retransmitted it.
    std::uint32_t acknowledgement = 0;
    /// Length of the TCP payload in bytes.
    std::uint16_t length = 0;
    /// The mark that the agent put on the packet when sending it to the target. A returned packet keeps it.
    std::uint32_t mark = 0;

    [[nodiscard]] bool isInitialSyn() const { return isSyn && !hasAcknowledgement; }
};

} // namespace Papaya
