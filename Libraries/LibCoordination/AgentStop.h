#pragma once

#include "LibCoordination/AgentRelay.h"

/// The graceful stop of an agent. An agent is stopped to be restarted, or for good together with its VM. In both cases its target may
/// still serve open flows whose packets pass only through this agent.
namespace Papaya {

/// Limits and intervals of a graceful stop.
struct AgentStopLimits {
    /// Minimum time between two checks of the target's port.
    Duration targetCheckInterval {500};
    /// How often the restart is announced to the entry daemons, since reports may be lost, and the interval between two announcements.
    int announcements = 3;
    Duration announcementInterval {30};
};

/// The progress of a graceful stop.
struct AgentStop {
    AgentStopLimits limits;
    /// The agent ends at the latest about this time, before its process is killed.
    TimePoint deadline;
    /// When the target's port was last checked.
    TimePoint targetCheckedAt;
    /// When the restart was last announced, and how often so far.
    TimePoint announcedAt;
    int announcements = 0;
};

/// What a stopping agent does next.
enum class AgentStopStep {
    /// Relay packets as before.
    Relay,
    /// Check whether the target's port is closed, and relay packets.
    CheckTarget,
    /// Announce the restart to the subscribed entry daemons, and relay packets.
    AnnounceRestart,
    /// End the process.
    End,
};

/// Returns the next step of a stop and records it. The agent relays packets until its target has ended or certainly has no open flows, or
/// until the deadline. A refusal of the target's port is confirmed first. If the target still runs then, the restart is announced before
/// the agent ends.
[[nodiscard]] AgentStopStep nextStopStep(AgentStop &stop, const AgentRelay &agent, TimePoint now);

} // namespace Papaya
