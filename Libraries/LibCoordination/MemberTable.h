#pragma once

#include "LibCoordination/RoutingTable.h"
#include "LibState/Configuration.h"
#include "LibState/Member.h"
#include "LibState/VmList.h"

#include <unordered_map>
#include <unordered_set>

namespace Papaya {

/// The timeouts of a member's lease, counted from its last heartbeat.
struct LeaseTimes {
    /// A member without a heartbeat for this long gets no new flows.
    Duration suspectAfter {1'500};
    /// The flows of a member without a heartbeat for this long count as lost.
    Duration expireAfter {10'000};
    /// A longer gap between two ticks means that this process was paused.
    Duration pauseThreshold {1'000};
};

/// The state that an agent reports in each heartbeat.
struct Heartbeat {
    MemberId sender = 0;
    Endpoint daemon;
    Incarnation incarnation = 0;
    bool isLeaving = false;
    std::uint64_t revision = 0;
    LoadReport load;

    bool operator==(const Heartbeat &) const = default;
};

/// The latest heartbeat that this process received from a member.
struct Observation {
    Heartbeat lastHeartbeat;
    TimePoint receivedAt;
};

/// The members of the system: the VM list of the platform, which may be out of date, combined with the heartbeats that this
/// process received.
struct MemberTable {
    LeaseTimes times;
    VmList machines;
    std::unordered_map<MemberId, Observation> observations;
    /// When the lease of each listed member started: when it appeared in the list, or when this process resumed after a pause.
    /// The lease runs from here or from the latest heartbeat, whichever is later.
    std::unordered_map<MemberId, TimePoint> leaseStartedAt;
    /// Members that send no heartbeats to this process. They count as alive for as long as the platform lists them.
    std::unordered_set<MemberId> unobserved;
    TimePoint lastTick;
};

/// The changes that a heartbeat reported.
struct HeartbeatChanges {
    /// Whether this is the first heartbeat of the member.
    bool isNew = false;
    bool hasRestarted = false;
    bool hasLeavingChanged = false;
};

/// Replaces the VM list unless the new list has an older version. Returns whether the list was replaced.
[[nodiscard]] bool applyVmList(MemberTable &table, const VmList &machines, TimePoint now);

/// Stores a heartbeat. A heartbeat of an older incarnation than the latest one is ignored.
HeartbeatChanges applyHeartbeat(MemberTable &table, const Heartbeat &heartbeat, TimePoint now);

/// Records the time of a tick. If this process was paused since the last tick, restarts every lease, because a paused
/// process reads no heartbeats, so missing heartbeats do not mean that their senders failed. Returns whether a pause was detected.
bool tick(MemberTable &table, TimePoint now);

/// Returns the health of a listed member by the time since its last heartbeat. Unobserved members count as alive.
[[nodiscard]] MemberHealth healthOf(const MemberTable &table, MemberId member, TimePoint now);

/// Returns the agents of one target group, in the order of the VM list.
[[nodiscard]] std::vector<Member> membersOfGroup(const MemberTable &table, std::string_view group, TimePoint now);

/// Returns the agents of every service of a configuration; services without agents are left out.
[[nodiscard]] MembersByService membersOfServices(const MemberTable &table, const Configuration &configuration, TimePoint now);

/// Returns a hash that changes with the VM list and with the health and the leaving state of any member. It costs far less than
/// building the members, so the caller builds them only when the hash has changed.
[[nodiscard]] std::uint64_t eligibilitySignature(const MemberTable &table, TimePoint now);

} // namespace Papaya
