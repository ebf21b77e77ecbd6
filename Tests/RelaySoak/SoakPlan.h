#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Papaya {

/// What a soak does to the system from outside.
enum class SoakFaultKind : std::uint8_t {
    KillEntry,
    PauseEntry,
    /// SIGTERM, and a new start once the process has ended.
    RestartEntry,
    KillAgent,
    PauseAgent,
    /// Connections to the store are delayed, silenced, cut towards the daemons only, or reset.
    StoreDelayed,
    StoreSilent,
    StoreOneWay,
    StoreReset,
    /// Packets of callers are lost and doubled.
    LossyFabric,
    /// A configuration adds a route, and a later one removes it.
    ChangeRoutes,
};

/// One fault of a soak.
struct SoakFault {
    SoakFaultKind kind = SoakFaultKind::KillEntry;
    /// Which entry daemon or agent.
    int index = 0;
    /// From the start of the soak.
    Duration at {0};
    Duration duration {0};
};

/// How many of each part a soak runs, and for how long.
struct SoakSize {
    int entries = 3;
    int agents = 5;
    Duration duration {9'000};
};

/// Draws the faults of a soak; they come in series and overlap. The same seed gives the same faults.
[[nodiscard]] std::vector<SoakFault> generateSoakFaults(std::uint64_t seed, const SoakSize &size);

/// Returns whether a fault may end flows, since the agent of their target is away for longer than a daemon waits for it.
[[nodiscard]] bool mayBreakFlows(const SoakFault &fault);

/// Describes a fault as key=value pairs.
[[nodiscard]] std::string describe(const SoakFault &fault);

} // namespace Papaya
