#include "LibEmulator/RelaySimulation.h"

#include <gtest/gtest.h>

namespace Papaya::Emulator {

namespace {

constexpr Endpoint LedgerAddress {0xc6120001, 443};
constexpr Endpoint CatalogueAddress {0xc6120002, 443};
constexpr std::array<double, 4> UnequalSpeeds {0.55, 1.2, 1.2, 1.2};
constexpr std::uint64_t SeedCount = 10;

WorldTraits makeTraits(std::uint64_t seed)
{
    WorldTraits traits;
    traits.seed = seed;
    traits.targets = makeTargets("ledger", 7, UnequalSpeeds);
    const auto catalogue = makeTargets("catalogue", 3, {});
    traits.targets.insert(traits.targets.end(), catalogue.begin(), catalogue.end());
    traits.routes = {makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")};
    traits.kinds = {
        {"feed", LedgerAddress, true, true, 100, 40, Duration(250), Duration(1'500)},
        {"photo", CatalogueAddress, true, false, 20, 5, Duration(500), Duration(3'000)},
    };
    return traits;
}

/// What must hold whatever happens.
void expectInvariants(const RelayWorld &world)
{
    EXPECT_EQ(world.misroutedRuns(), 0U);
    EXPECT_EQ(world.doubledRuns(), 0U);
    EXPECT_EQ(world.callers().brokenFlows(), 0U);
}

std::uint64_t failures(const RelayWorld &world)
{
    std::uint64_t count = 0;
    for (const auto &outcome : world.callers().outcomes())
        count += outcome.failed;
    return count;
}

class RelayWorldSeeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(RelayWorldSeeds, ServesACalmDayWhole)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(20'000));
    world.run(Duration(24'000));
    expectInvariants(world);
    EXPECT_EQ(failures(world), 0U);
    EXPECT_GT(world.callers().outcomes()[0].asked, 1'500U);
}

TEST_P(RelayWorldSeeds, KeepsEveryFlowThroughARollingRestartOfTheEntryDaemons)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(20'000));
    for (std::size_t entry = 0; entry < 3; ++entry)
        world.after(Duration(4'000 + 4'000 * static_cast<Duration::rep>(entry)), [&, entry] { world.restartEntryGracefully(entry); });
    world.run(Duration(24'000));
    expectInvariants(world);
    EXPECT_EQ(failures(world), 0U);
    EXPECT_GT(world.decisions(RelayReason::SearchFound), 0U);
}

TEST_P(RelayWorldSeeds, KeepsEveryFlowWhenAnEntryDaemonIsGoneForSeconds)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(20'000));
    world.after(Duration(8'000), [&] { world.killEntry(1); });
    world.after(Duration(9'700), [&] { world.startEntry(1); });
    world.run(Duration(24'000));
    expectInvariants(world);
    EXPECT_GT(world.decisions(RelayReason::SearchFound), 0U);
    EXPECT_EQ(world.decisions(RelayReason::HeldByNobody), 0U);
}

TEST_P(RelayWorldSeeds, FindsEveryFlowAfterAllDaemonsOfBothKindsWereKilled)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(20'000));
    world.after(Duration(8'000), [&] {
        for (std::size_t entry = 0; entry < 3; ++entry)
            world.killEntry(entry);
        for (std::size_t agent = 0; agent < world.targetCount(); ++agent)
            world.killAgent(agent);
    });
    world.after(Duration(8'900), [&] {
        for (std::size_t agent = 0; agent < world.targetCount(); ++agent)
            world.startAgent(agent);
        for (std::size_t entry = 0; entry < 3; ++entry)
            world.startEntry(entry);
    });
    world.run(Duration(26'000));
    expectInvariants(world);
    EXPECT_EQ(world.decisions(RelayReason::HeldByNobody), 0U);
}

TEST_P(RelayWorldSeeds, ResetsTheFlowsOfACrashedTargetAtOnce)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(20'000));
    world.after(Duration(8'000), [&] { world.crashTarget(2); });
    world.after(Duration(12'000), [&] { world.restartTarget(2); });
    world.run(Duration(24'000));
    expectInvariants(world);
    EXPECT_GT(world.decisions(RelayReason::TargetGone), 0U);
    // Requests of the kind may be repeated, so every one is answered by another target in time.
    EXPECT_EQ(failures(world), 0U);
}

TEST_P(RelayWorldSeeds, TellsCallersOfDeadFlowsAfterEverythingLostPower)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(30'000));
    world.after(Duration(8'000), [&] {
        world.publishRoutes({makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")});
        for (std::size_t entry = 0; entry < 3; ++entry)
            world.killEntry(entry);
        for (std::size_t index = 0; index < world.targetCount(); ++index) {
            world.killAgent(index);
            world.crashTarget(index);
        }
    });
    world.after(Duration(9'000), [&] {
        for (std::size_t index = 0; index < world.targetCount(); ++index) {
            world.restartTarget(index);
            world.startAgent(index);
        }
        for (std::size_t entry = 0; entry < 3; ++entry)
            world.startEntry(entry);
    });
    world.run(Duration(11'000));
    const auto failedDuringOutage = failures(world);
    world.run(Duration(23'000));
    expectInvariants(world);
    EXPECT_GT(world.decisions(RelayReason::HeldByNobody), 0U);
    EXPECT_EQ(failures(world), failedDuringOutage);
}

TEST_P(RelayWorldSeeds, KeepsFlowsAtAServiceThatTheirRouteNoLongerHas)
{
    auto traits = makeTraits(GetParam());
    traits.routes[0].services.push_back({hashOf("catalogue"), "catalogue", 1});
    RelayWorld world(traits);
    world.startCallers(Duration(20'000));
    world.after(Duration(6'000), [&] {
        world.publishRoutes({makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")});
    });
    for (std::size_t entry = 0; entry < 3; ++entry)
        world.after(Duration(7'000 + 3'000 * static_cast<Duration::rep>(entry)), [&, entry] { world.restartEntryGracefully(entry); });
    world.run(Duration(24'000));
    expectInvariants(world);
    EXPECT_EQ(failures(world), 0U);
}

TEST_P(RelayWorldSeeds, GivesALeavingTargetNoNewFlows)
{
    RelayWorld world(makeTraits(GetParam()));
    world.startCallers(Duration(20'000));
    std::uint64_t runsWhenDrained = 0;
    world.after(Duration(5'000), [&] { world.drainTarget(8); });
    world.after(Duration(6'000), [&] { runsWhenDrained = world.target(8).requestsRun(); });
    world.run(Duration(24'000));
    expectInvariants(world);
    EXPECT_EQ(failures(world), 0U);
    // Target 8 is the catalogue's, whose callers open a flow for each request.
    EXPECT_EQ(world.target(8).requestsRun(), runsWhenDrained);
}

TEST_P(RelayWorldSeeds, ServesThroughLossOfPackets)
{
    auto traits = makeTraits(GetParam());
    traits.network.loss = 0.03;
    RelayWorld world(traits);
    world.startCallers(Duration(20'000));
    for (std::size_t entry = 0; entry < 3; ++entry)
        world.after(Duration(4'000 + 4'000 * static_cast<Duration::rep>(entry)), [&, entry] { world.restartEntryGracefully(entry); });
    world.run(Duration(24'000));
    expectInvariants(world);
    // A request is sent three times within its deadline, and each try takes three datagrams: all three are lost once in 1,500
    // requests, the SYNs before as often.
    std::uint64_t asked = 0;
    for (const auto &outcome : world.callers().outcomes())
        asked += outcome.asked;
    EXPECT_LE(static_cast<double>(failures(world)), 0.005 * static_cast<double>(asked));
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelayWorldSeeds, testing::Range<std::uint64_t>(1, SeedCount + 1));

} // namespace

} // namespace Papaya::Emulator
