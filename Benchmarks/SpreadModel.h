#pragma once

#include "LibCoordination/PeerSelection.h"
#include "LibState/Clock.h"

#include <cstdint>

namespace Papaya {

/// The parameters of a simulated propagation of a configuration text.
struct SpreadPlan {
    int daemons = 3'950;
    int failureDomains = 7;
    /// The size of the text in bytes.
    double textBytes = 100'000;
    /// The fraction of messages that are lost and retransmitted by TCP after a timeout.
    double loss = 0.01;
    /// Whether failure domain 0 is partitioned from all others until `partitionEnd` after the start. The platform does not send the
    /// text to this domain, so its daemons can get the text only from peers after the partition.
    bool isDomainPartitioned = false;
    Duration partitionEnd {60'000};
    std::uint64_t seed = 1;
};

/// The results of a simulated propagation.
struct SpreadResult {
    /// The time from the publication of the text until the last daemon outside the partitioned domain had it.
    Duration propagationTime {0};
    /// The time from the end of the partition until the last daemon of the partitioned domain had the text.
    Duration recoveryTimeAfterPartition {0};
    int daemonsReached = 0;
    double bytesPerDaemon = 0;
    double maximumBytesOfADaemon = 0;
    /// Number of daemons that read the text from the platform.
    int platformReaders = 0;
};

/// Simulates the propagation of one new revision over peer connections in virtual time, with the product's peer selection and
/// revision decisions. The platform sends the text to the daemons that read from it. All others get the text from peers.
[[nodiscard]] SpreadResult spreadRevision(const SpreadPlan &plan, const PeerLimits &limits);

} // namespace Papaya
