#pragma once

#include "LibState/Clock.h"
#include "LibState/Endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Papaya {

/// Identifies an agent across the system: the xxHash of its VM's name.
using MemberId = std::uint64_t;

/// Identifies a service across the system: the xxHash of its name.
using ServiceId = std::uint64_t;

/// Distinguishes two runs of the process on one VM.
using Incarnation = std::uint64_t;

/// How long ago a member was heard, in the terms on which decisions depend.
enum class MemberHealth {
    /// Heard within the suspicion time.
    Alive,
    /// Silent; gets no new flows, still gets packets of flows it owns.
    Suspect,
    /// Silent for longer than the lease: its flows count as lost.
    Expired,
};

/// The load that an agent reports of itself. Reports lag; exact knowledge is at the agent alone.
struct LoadReport {
    std::uint32_t connections = 0;
    std::uint32_t connectionLimit = 0;
    /// Time in milliseconds until a request that arrives now would start.
    std::uint32_t expectedWait = 0;

    bool operator==(const LoadReport &) const = default;
};

/// One agent of a service, as a process sees it now.
struct Member {
    MemberId id = 0;
    std::string name;
    Endpoint daemon;
    Incarnation incarnation = 0;
    MemberHealth health = MemberHealth::Alive;
    bool isLeaving = false;
    LoadReport load;
};

/// Returns whether a member may be given new flows.
[[nodiscard]] inline bool isEligible(const Member &member)
{
    return member.health == MemberHealth::Alive && !member.isLeaving;
}

} // namespace Papaya
