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
    /// SIGSTOP of half of the entry daemons, from number `index` on, and SIGCONT at the end of the fault.
    FreezeEntries,
    /// SIGTERM of an agent whose target keeps running, and a new start at the end of the fault.
    RestartAgent,
    /// The target of an agent is listed as draining from now on and keeps serving its open flows.
    DrainTarget,
    /// Threads that use all their processor time run beside the daemons.
    BusyMachine,
    /// Callers open further flows, which stay open.
    OpenFlows,
    /// The store rejects all requests. At the end of the fault it returns from a copy, and everything is written again after a delay.
    RestoreStore,
};

/// Time between SIGTERM and the new start of an entry daemon. A graceful stop takes 2.2 s.
constexpr Duration RestartTime {3'000};

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

/// The number of daemons in a soak and its duration. Each service has at least two of the targets; the service of the first
/// `firstServiceAgents` agents has no others.
struct SoakSize {
    int entries = 3;
    int agents = 5;
    int firstServiceAgents = 2;
    Duration duration {9'000};
};

/// Generates a random sequence of overlapping faults. The same seed gives the same faults. The restores of the store are drawn after
/// the other faults, which overlap them.
[[nodiscard]] std::vector<SoakFault> generateSoakFaults(std::uint64_t seed, const SoakSize &size);

/// Generates the faults of a release, ordered by time: planned restarts of all daemons in a series, a freeze of half of the entry daemons
/// while callers open flows, a draining target of each service, a busy machine, and faults of the store and of the network. No
/// fault disturbs a target or stops an agent without notice. The same seed gives the same faults.
[[nodiscard]] std::vector<SoakFault> generateReleaseFaults(std::uint64_t seed, const SoakSize &size);

/// Returns whether a fault of kind FreezeEntries freezes an entry daemon, given the number of entry daemons.
[[nodiscard]] bool isFrozenBy(const SoakFault &freeze, int entry, int entries);

/// Returns whether a fault stops or pauses an agent without notice.
[[nodiscard]] bool isUnplannedAgentFault(SoakFaultKind kind);

/// Formats a fault as key=value pairs.
[[nodiscard]] std::string describe(const SoakFault &fault);

} // namespace Papaya
