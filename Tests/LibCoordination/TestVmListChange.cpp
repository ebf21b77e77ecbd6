#include "LibCoordination/VmListChange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace Papaya {

namespace {

VmList randomList(std::uint64_t version, std::mt19937_64 &random)
{
    VmList list;
    list.version = version;
    for (int index = 0; index < 40; ++index) {
        if (random() % 4 == 0)
            continue;
        VirtualMachine machine;
        machine.name = "vm-" + std::to_string(index);
        machine.state = random() % 5 == 0 ? VmState::Leaving : VmState::Live;
        list.machines.push_back(std::move(machine));
    }
    return list;
}

std::vector<VirtualMachine> sorted(VmList list)
{
    std::sort(list.machines.begin(), list.machines.end(), [](const auto &left, const auto &right) { return left.name < right.name; });
    return list.machines;
}

} // namespace

TEST(VmListChange, AppliedChangeYieldsTheNewerList)
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 200; ++round) {
        const auto base = randomList(1, random);
        const auto next = randomList(2, random);
        const auto applied = applyChange(base, changeBetween(base, next));
        ASSERT_TRUE(applied.has_value());
        EXPECT_EQ(applied->version, 2U);
        EXPECT_EQ(sorted(*applied), sorted(next));
    }
}

TEST(VmListChange, ChangeIsRejectedOnAnotherBaseOrIfNotNewer)
{
    std::mt19937_64 random(1);
    const auto change = changeBetween(randomList(1, random), randomList(2, random));
    EXPECT_FALSE(applyChange(randomList(3, random), change).has_value());
    EXPECT_FALSE(applyChange(randomList(2, random), change).has_value());
    auto downgrade = change;
    downgrade.version = 1;
    EXPECT_FALSE(applyChange(randomList(1, random), downgrade).has_value());
}

TEST(VmListChange, HistoryKeepsOnlyTheLatestVersions)
{
    std::mt19937_64 random(1);
    VmListHistory history;
    for (std::uint64_t version = 1; version <= 20; ++version)
        history.add(randomList(version, random));
    EXPECT_FALSE(history.changeSince(1).has_value());
    EXPECT_FALSE(history.changeSince(20).has_value());
    const auto change = history.changeSince(15);
    ASSERT_TRUE(change.has_value());
    EXPECT_EQ(change->baseVersion, 15U);
    EXPECT_EQ(change->version, 20U);
}

} // namespace Papaya
