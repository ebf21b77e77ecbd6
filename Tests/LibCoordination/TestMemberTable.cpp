#include "LibCoordination/MemberTable.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(1'000'000)};

VirtualMachine target(const std::string &name)
{
    VirtualMachine machine;
    machine.name = name;
    machine.group = "ledger";
    machine.daemon = {1, 1};
    return machine;
}

MemberTable tableOf(std::initializer_list<const char *> names)
{
    MemberTable table;
    VmList list;
    list.version = 1;
    for (const auto *name : names)
        list.machines.push_back(target(name));
    EXPECT_TRUE(applyVmList(table, list, Start));
    (void)tick(table, Start);
    return table;
}

Heartbeat heartbeatOf(const std::string &name, Incarnation incarnation)
{
    Heartbeat heartbeat;
    heartbeat.sender = hashOf(name);
    heartbeat.incarnation = incarnation;
    return heartbeat;
}

} // namespace

TEST(MemberTable, MemberWithoutHeartbeatsBecomesSuspectThenExpired)
{
    auto table = tableOf({"a"});
    const auto id = hashOf(std::string_view("a"));
    applyHeartbeat(table, heartbeatOf("a", 1), Start);
    EXPECT_EQ(healthOf(table, id, Start), MemberHealth::Alive);
    EXPECT_EQ(healthOf(table, id, Start + table.times.suspectAfter), MemberHealth::Suspect);
    EXPECT_EQ(healthOf(table, id, Start + table.times.expireAfter), MemberHealth::Expired);
}

TEST(MemberTable, PauseOfThisProcessRestartsLeases)
{
    auto table = tableOf({"a"});
    const auto id = hashOf(std::string_view("a"));
    applyHeartbeat(table, heartbeatOf("a", 1), Start);
    const auto resumedAt = Start + Duration(60'000);
    EXPECT_TRUE(tick(table, resumedAt));
    EXPECT_EQ(healthOf(table, id, resumedAt), MemberHealth::Alive);
    EXPECT_FALSE(tick(table, resumedAt + Duration(100)));
    EXPECT_EQ(healthOf(table, id, resumedAt + table.times.expireAfter), MemberHealth::Expired);
}

TEST(MemberTable, DistinguishesRestartFromDelayedHeartbeat)
{
    auto table = tableOf({"a"});
    EXPECT_TRUE(applyHeartbeat(table, heartbeatOf("a", 7), Start).isNew);
    EXPECT_TRUE(applyHeartbeat(table, heartbeatOf("a", 8), Start).hasRestarted);
    const auto late = applyHeartbeat(table, heartbeatOf("a", 7), Start + Duration(5));
    EXPECT_FALSE(late.hasRestarted);
    EXPECT_EQ(membersOfGroup(table, "ledger", Start).front().incarnation, 8U);
}

TEST(MemberTable, RejectsOlderListAndMarksMemberLeavingByItsHeartbeat)
{
    auto table = tableOf({"a", "b"});
    EXPECT_FALSE(applyVmList(table, VmList {}, Start));
    auto leaving = heartbeatOf("a", 1);
    leaving.isLeaving = true;
    EXPECT_TRUE(applyHeartbeat(table, leaving, Start).isNew);
    const auto members = membersOfGroup(table, "ledger", Start);
    ASSERT_EQ(members.size(), 2U);
    EXPECT_TRUE(members[0].isLeaving);
    EXPECT_FALSE(members[1].isLeaving);
}

TEST(MemberTable, UnobservedMemberStaysAliveWithoutHeartbeats)
{
    auto table = tableOf({"a"});
    table.unobserved.insert(hashOf(std::string_view("a")));
    EXPECT_EQ(healthOf(table, hashOf(std::string_view("a")), Start + Duration(1'000'000)), MemberHealth::Alive);
}

} // namespace Papaya
