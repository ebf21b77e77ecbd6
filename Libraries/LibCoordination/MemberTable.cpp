#include "LibCoordination/MemberTable.h"

#include "LibBalancing/RendezvousHash.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns the time from which a member's lease runs: the later of its entry in `leaseStartedAt` and its latest heartbeat.
TimePoint lastContact(const MemberTable &table, MemberId member)
{
    TimePoint contact {};
    if (const auto leaseStart = table.leaseStartedAt.find(member); leaseStart != table.leaseStartedAt.end())
        contact = leaseStart->second;
    if (const auto observation = table.observations.find(member); observation != table.observations.end())
        contact = std::max(contact, observation->second.receivedAt);
    return contact;
}

Member describeMember(const MemberTable &table, const VirtualMachine &machine, TimePoint now)
{
    Member member;
    member.id = hashOf(machine.name);
    member.name = machine.name;
    member.daemon = machine.daemon;
    member.health = healthOf(table, member.id, now);
    member.isLeaving = machine.state == VmState::Leaving;
    if (const auto observation = table.observations.find(member.id); observation != table.observations.end()) {
        member.incarnation = observation->second.lastHeartbeat.incarnation;
        member.isLeaving = member.isLeaving || observation->second.lastHeartbeat.isLeaving;
        member.load = observation->second.lastHeartbeat.load;
    }
    return member;
}

} // namespace

bool applyVmList(MemberTable &table, const VmList &machines, TimePoint now)
{
    if (machines.version < table.machines.version)
        return false;
    table.machines = machines;
    for (const auto &machine : machines.machines)
        table.leaseStartedAt.emplace(hashOf(machine.name), now);
    const auto isUnlisted = [&](MemberId member) {
        return std::none_of(machines.machines.begin(), machines.machines.end(), [&](const VirtualMachine &machine) {
            return hashOf(machine.name) == member;
        });
    };
    std::erase_if(table.leaseStartedAt, [&](const auto &entry) { return isUnlisted(entry.first); });
    std::erase_if(table.observations, [&](const auto &entry) { return isUnlisted(entry.first); });
    return true;
}

HeartbeatChanges applyHeartbeat(MemberTable &table, const Heartbeat &heartbeat, TimePoint now)
{
    HeartbeatChanges changes;
    const auto previous = table.observations.find(heartbeat.sender);
    if (previous == table.observations.end()) {
        changes.isNew = true;
    } else {
        const auto &lastHeartbeat = previous->second.lastHeartbeat;
        if (heartbeat.incarnation < lastHeartbeat.incarnation)
            return changes;
        changes.hasRestarted = heartbeat.incarnation != lastHeartbeat.incarnation;
        changes.hasLeavingChanged = heartbeat.isLeaving != lastHeartbeat.isLeaving;
    }
    table.observations[heartbeat.sender] = Observation {heartbeat, now};
    return changes;
}

bool tick(MemberTable &table, TimePoint now)
{
    const bool isFirst = table.lastTick == TimePoint {};
    const bool wasPaused = !isFirst && now - table.lastTick > table.times.pauseThreshold;
    table.lastTick = now;
    if (!wasPaused)
        return false;
    for (auto &[member, leaseStart] : table.leaseStartedAt)
        leaseStart = now;
    return true;
}

MemberHealth healthOf(const MemberTable &table, MemberId member, TimePoint now)
{
    if (table.unobserved.contains(member))
        return MemberHealth::Alive;
    const auto elapsed = now - lastContact(table, member);
    if (elapsed >= table.times.expireAfter)
        return MemberHealth::Expired;
    if (elapsed >= table.times.suspectAfter)
        return MemberHealth::Suspect;
    return MemberHealth::Alive;
}

std::vector<Member> membersOfGroup(const MemberTable &table, std::string_view group, TimePoint now)
{
    std::vector<Member> members;
    for (const auto &machine : table.machines.machines) {
        if (machine.role == VmRole::Target && machine.group == group)
            members.push_back(describeMember(table, machine, now));
    }
    return members;
}

MembersByService membersOfServices(const MemberTable &table, const Configuration &configuration, TimePoint now)
{
    std::unordered_map<std::string_view, std::string_view> serviceOfGroup;
    for (const auto &service : configuration.services)
        serviceOfGroup.emplace(service.targetGroup, service.name);
    MembersByService members;
    for (const auto &machine : table.machines.machines) {
        const auto service = serviceOfGroup.find(machine.group);
        if (machine.role == VmRole::Target && service != serviceOfGroup.end())
            members[std::string(service->second)].push_back(describeMember(table, machine, now));
    }
    return members;
}

std::uint64_t eligibilitySignature(const MemberTable &table, TimePoint now)
{
    std::uint64_t signature = rendezvousWeight(table.machines.version, table.machines.machines.size());
    for (const auto &[member, leaseStart] : table.leaseStartedAt) {
        const auto observation = table.observations.find(member);
        const bool isLeaving = observation != table.observations.end() && observation->second.lastHeartbeat.isLeaving;
        const auto state = static_cast<std::uint64_t>(healthOf(table, member, now)) * 2 + (isLeaving ? 1 : 0);
        // A sum is independent of the iteration order of the hash map.
        signature += rendezvousWeight(member, state + 1);
    }
    return signature;
}

} // namespace Papaya
