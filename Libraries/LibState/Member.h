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

/// Distinguishes two runs of a process on one VM. A later run has a greater value.
using Incarnation = std::uint64_t;

/// Health of a member, derived from the time since its last heartbeat.
enum class MemberHealth {
    /// A heartbeat arrived within the suspicion time.
    Alive,
    /// No heartbeat arrived within the suspicion time. The member gets no new flows, but still gets the packets of flows that
    /// it owns.
    Suspect,
    /// No heartbeat arrived within the lease: the member's flows count as lost.
    Expired,
};

/// The load that an agent reports of itself. A report is outdated when it arrives; only the agent has the exact values.
struct LoadReport {
    std::uint32_t connections = 0;
    std::uint32_t connectionLimit = 0;
    /// Time in milliseconds until a request that arrives now would start.
    std::uint32_t expectedWait = 0;

    bool operator==(const LoadReport &) const = default;
};

/// One agent of a service, as the process that holds this object currently sees it.
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
