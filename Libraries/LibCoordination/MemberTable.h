#pragma once

#include "LibCoordination/RoutingTable.h"
#include "LibState/Configuration.h"
#include "LibState/Member.h"
#include "LibState/VmList.h"

#include <unordered_map>
#include <unordered_set>

namespace Papaya {

/// How long a member may be silent.
struct LeaseTimes {
    /// After this much silence a member gets no new flows.
    Duration suspectAfter {1'500};
    /// After this much silence the flows of a member count as lost.
    Duration expireAfter {10'000};
    /// A gap between two ticks of this process beyond which it must have been paused.
    Duration pauseThreshold {1'000};
};

/// What one agent says of itself in each heartbeat.
struct Heartbeat {
    MemberId sender = 0;
    Endpoint daemon;
    Incarnation incarnation = 0;
    bool isLeaving = false;
    std::uint64_t revision = 0;
    LoadReport load;

    bool operator==(const Heartbeat &) const = default;
};

/// What this process has seen of a member itself.
struct Observation {
    Heartbeat last;
    TimePoint receivedAt;
};

/// The members of the system: the platform's lagging list, corrected by own observation.
struct MemberTable {
    LeaseTimes times;
    VmList machines;
    std::unordered_map<MemberId, Observation> observations;
    /// When each listed member was first seen in the list; silence is counted from here until a heartbeat arrives.
    std::unordered_map<MemberId, TimePoint> listedSince;
    /// Members whose heartbeats do not come here, so that their silence says nothing; the platform's list is believed.
    std::unordered_set<MemberId> unobserved;
    TimePoint lastTick;
};

/// What a heartbeat changed.
struct HeartbeatEffect {
    bool isNew = false;
    bool hasRestarted = false;
    bool hasLeavingChanged = false;
};

/// Replaces the platform's list, unless its version is older than the one held. Returns whether it was taken.
[[nodiscard]] bool applyVmList(MemberTable &table, const VmList &machines, TimePoint now);

/// Notes a heartbeat. A heartbeat of an older incarnation than the known one is ignored.
HeartbeatEffect applyHeartbeat(MemberTable &table, const Heartbeat &heartbeat, TimePoint now);

/// Advances time. When the process was paused, every lease starts anew, since silence during the pause proves nothing.
/// Returns whether a pause was detected.
bool tick(MemberTable &table, TimePoint now);

/// Returns the health of a listed member.
[[nodiscard]] MemberHealth healthOf(const MemberTable &table, MemberId member, TimePoint now);

/// Returns the agents of one group, in the order of the platform's list.
[[nodiscard]] std::vector<Member> membersOfGroup(const MemberTable &table, std::string_view group, TimePoint now);

/// Returns the agents of every service of a configuration; services without agents are left out.
[[nodiscard]] MembersByService membersOfServices(const MemberTable &table, const Configuration &configuration, TimePoint now);

/// Returns a number that changes whenever the list, or the health or leaving of a member, does. It costs far less than the
/// members themselves, so that they are built only when something changed.
[[nodiscard]] std::uint64_t eligibilitySignature(const MemberTable &table, TimePoint now);

} // namespace Papaya
