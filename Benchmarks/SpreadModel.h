#pragma once

#include "LibCoordination/PeerSelection.h"
#include "LibState/Clock.h"

#include <cstdint>

namespace Papaya {

/// What a spreading run is set up with.
struct SpreadPlan {
    int daemons = 3'950;
    int failureDomains = 7;
    /// The size of the text that spreads, in bytes.
    double textBytes = 100'000;
    /// Fraction of messages that are lost and repeated by TCP after a timeout.
    double loss = 0.01;
    /// A failure domain that is cut off from all others until then; it starts without the new text.
    bool isDomainCut = false;
    Duration cutUntil {60'000};
    std::uint64_t seed = 1;
};

/// How a text spread.
struct SpreadResult {
    /// When the last daemon that could be reached had the text, since its publication.
    Duration last {0};
    /// When the last daemon of the cut domain had it, since the cut ended.
    Duration lastAfterCut {0};
    int reached = 0;
    double bytesPerDaemon = 0;
    double greatestBytesOfADaemon = 0;
    int platformReaders = 0;
};

/// Spreads one new revision over peer connections in virtual time, with the product's own peer selection and acceptance of
/// revisions. The platform answers its readers' watches; everyone else learns from peers.
[[nodiscard]] SpreadResult spreadRevision(const SpreadPlan &plan, const PeerLimits &limits);

} // namespace Papaya
