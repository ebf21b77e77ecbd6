#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Papaya {

/// The faults that a soak injects.
enum class SoakFaultKind : std::uint8_t {
    /// SIGKILL, and a new start of the process at the end of the fault.
    KillEntry,
    /// SIGSTOP, and SIGCONT at the end of the fault.
    PauseEntry,
    /// SIGTERM, and a new start once the process has exited.
    RestartEntry,
    /// Like KillEntry and PauseEntry, but for an agent.
    KillAgent,
    PauseAgent,
    /// Connections to the store are delayed, black-holed in both directions, black-holed towards the daemons only, or reset.
    StoreDelayed,
    StoreSilent,
    StoreOneWay,
    StoreReset,
    /// Packets of callers are lost and duplicated.
    LossyFabric,
    /// A new version of the configuration adds routes that no flow uses, and a later version removes them.
    ChangeRoutes,
    /// The store rejects all requests. At the end of the fault it returns from a copy, and everything is written again after a delay.
    RestoreStore,
};

/// One injected fault.
struct SoakFault {
    SoakFaultKind kind = SoakFaultKind::KillEntry;
    /// The number of the entry daemon or agent.
    int index = 0;
    /// The time of the fault since the start of the soak.
    Duration at {0};
    Duration duration {0};
    /// RestoreStore only: the age of the copy at the start of the fault, and the time from the end of the fault until everything is
    /// written again.
    Duration copyAge {0};
    Duration rewriteDelay {0};
};

/// The number of daemons in a soak and its duration.
struct SoakSize {
    int entries = 3;
    int agents = 5;
    Duration duration {9'000};
};

/// Generates a random sequence of overlapping faults. The same seed gives the same faults. The restores of the store are drawn after
/// the other faults, which overlap them.
[[nodiscard]] std::vector<SoakFault> generateSoakFaults(std::uint64_t seed, const SoakSize &size);

/// Returns whether a fault may break flows, because the agent of their target is unavailable for longer than the timeout
/// after which daemons treat it as unreachable.
[[nodiscard]] bool mayBreakFlows(const SoakFault &fault);

/// Formats a fault as key=value pairs.
[[nodiscard]] std::string describe(const SoakFault &fault);

} // namespace Papaya
