#pragma once

#include "LibCoordination/EntryRelay.h"

#include <cstddef>
#include <optional>
#include <vector>

/// What an entry daemon that has just started knows of the targets' load, and when it begins to read callers' packets. A daemon that knows
/// no load places flows by their hash alone, so it waits a moment for the agents' first reports.
namespace Papaya {

/// How many agents of the targets that may get new flows have sent a message since the start.
struct LoadKnowledge {
    std::size_t agents = 0;
    std::size_t heard = 0;
    /// Whether at least half of the agents of each routed service were heard.
    bool isSufficient = false;
};

/// Returns what is known of the load of the targets of routed services.
[[nodiscard]] LoadKnowledge loadKnowledge(const EntryRelay &entry, TimePoint now);

/// Limits on the waits of a daemon that has just started.
struct StartLimits {
    /// For routes and targets from the platform. Callers' packets are buffered in the socket meanwhile, and the time is below 200 ms, after
    /// which callers retransmit a SYN. If the platform has not answered by then, it is slow or unreachable, and other entry daemons are
    /// queried.
    Duration initialReadTimeout {180};
    /// For the answers of peers and the first reports of agents, from the time at which routes and targets were known. Any of them may be
    /// down.
    Duration answerTimeout {60};
    /// For this long the daemon subscribes at each tick to the agents that were not heard, since their first report may be lost.
    Duration subscriptionTime {1'000};
};

/// How far the start of an entry daemon has come.
struct EntryStart {
    StartLimits limits;
    /// When routes and targets were first known.
    std::optional<TimePoint> informedAt;
    /// Whether answers of peers are expected.
    bool arePeersPending = false;
};

/// Returns whether a daemon that has just started may read callers' packets. Call in each turn of its event loop.
[[nodiscard]] bool mayReadCallers(EntryStart &start, const EntryRelay &entry, TimePoint now);

/// Returns the targets to whose agents a daemon that has just started subscribes again, since it has not heard them. Call at each tick.
[[nodiscard]] std::vector<const TargetRecord *> unheardTargets(const EntryStart &start, const EntryRelay &entry, TimePoint now);

} // namespace Papaya
