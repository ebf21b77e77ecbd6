#include "LibEmulator/RelaySimulation.h"

#include <gtest/gtest.h>

namespace Papaya::Emulator {

namespace {

constexpr Endpoint LedgerAddress {0xc6120001, 443};
constexpr Endpoint CatalogueAddress {0xc6120002, 443};
constexpr std::array<double, 4> UnequalSpeeds {0.55, 1.2, 1.2, 1.2};
constexpr std::size_t LedgerTargets = 7;
constexpr std::uint64_t SeedCount = 10;

SimulationOptions makeOptions(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.targets = makeTargets("ledger", LedgerTargets, UnequalSpeeds);
    const auto catalogue = makeTargets("catalogue", 3, {});
    options.targets.insert(options.targets.end(), catalogue.begin(), catalogue.end());
    options.routes = {makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")};
    options.kinds = {
        {"feed", LedgerAddress, true, true, 100, 40, Duration(250), Duration(1'500)},
        {"photo", CatalogueAddress, true, false, 20, 5, Duration(500), Duration(3'000)},
    };
    return options;
}

/// Checks the invariants of every scenario: no request runs at a wrong service, no request that is not idempotent runs twice, and
/// no flow is reset or goes to other targets while its target holds it.
void expectInvariants(RelaySimulation &simulation)
{
    EXPECT_EQ(simulation.misroutedRequests(), 0U);
    EXPECT_EQ(simulation.duplicateRequests(), 0U);
    EXPECT_EQ(simulation.checkFlowRule().misdirectedFlows().size(), 0U) << simulation.brokenFlowEvents();
    EXPECT_EQ(simulation.callers().brokenFlows(), 0U) << simulation.brokenFlowEvents();
}

std::uint64_t failedRequests(const RelaySimulation &simulation)
{
    std::uint64_t count = 0;
    for (const auto &kind : simulation.callers().statistics())
        count += kind.failed;
    return count;
}

class RelaySimulationSeeds : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(RelaySimulationSeeds, AnswersEveryRequestWithoutFaults)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(20'000));
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    EXPECT_EQ(failedRequests(simulation), 0U);
    EXPECT_GT(simulation.callers().statistics()[0].started, 1'500U);
}

TEST_P(RelaySimulationSeeds, RollingRestartOfEntryDaemonsBreaksNoFlow)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(20'000));
    for (std::size_t entry = 0; entry < 3; ++entry)
        simulation.schedule(Duration(4'000 + 4'000 * static_cast<Duration::rep>(entry)),
                            [&, entry] { simulation.restartEntryGracefully(entry); });
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    EXPECT_EQ(failedRequests(simulation), 0U);
    EXPECT_GT(simulation.decisionCount(RelayReason::SearchFound), 0U);
}

TEST_P(RelaySimulationSeeds, CrashAndRestartOfOneEntryDaemonBreaksNoFlow)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(20'000));
    simulation.schedule(Duration(8'000), [&] { simulation.killEntry(1); });
    simulation.schedule(Duration(9'700), [&] { simulation.startEntry(1); });
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    EXPECT_GT(simulation.decisionCount(RelayReason::SearchFound), 0U);
    EXPECT_EQ(simulation.decisionCount(RelayReason::HeldByNobody), 0U);
}

TEST_P(RelaySimulationSeeds, RestartOfAllEntryDaemonsAndAgentsBreaksNoFlow)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(20'000));
    simulation.schedule(Duration(8'000), [&] {
        for (std::size_t entry = 0; entry < 3; ++entry)
            simulation.killEntry(entry);
        for (std::size_t agent = 0; agent < simulation.targetCount(); ++agent)
            simulation.killAgent(agent);
    });
    simulation.schedule(Duration(8'900), [&] {
        for (std::size_t agent = 0; agent < simulation.targetCount(); ++agent)
            simulation.startAgent(agent);
        for (std::size_t entry = 0; entry < 3; ++entry)
            simulation.startEntry(entry);
    });
    simulation.run(Duration(26'000));
    expectInvariants(simulation);
    EXPECT_EQ(simulation.decisionCount(RelayReason::HeldByNobody), 0U);
}

TEST_P(RelaySimulationSeeds, TargetCrashResetsItsFlows)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(20'000));
    std::size_t crashed = 0;
    simulation.schedule(Duration(8'000), [&] {
        for (std::size_t index = 1; index < LedgerTargets; ++index) {
            if (simulation.target(index).openFlows() > simulation.target(crashed).openFlows())
                crashed = index;
        }
        simulation.crashTarget(crashed);
    });
    simulation.schedule(Duration(12'000), [&] { simulation.restartTarget(crashed); });
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    EXPECT_GT(simulation.decisionCount(RelayReason::TargetGone), 0U);
    // All requests are idempotent, so their callers retry them and another target answers within the deadline.
    EXPECT_EQ(failedRequests(simulation), 0U);
}

TEST_P(RelaySimulationSeeds, PowerLossOfWholeSystemResetsEarlierFlows)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(30'000));
    simulation.schedule(Duration(8'000), [&] {
        simulation.publishRoutes({makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")});
        for (std::size_t entry = 0; entry < 3; ++entry)
            simulation.killEntry(entry);
        for (std::size_t index = 0; index < simulation.targetCount(); ++index) {
            simulation.killAgent(index);
            simulation.crashTarget(index);
        }
    });
    simulation.schedule(Duration(9'000), [&] {
        for (std::size_t index = 0; index < simulation.targetCount(); ++index) {
            simulation.restartTarget(index);
            simulation.startAgent(index);
        }
        for (std::size_t entry = 0; entry < 3; ++entry)
            simulation.startEntry(entry);
    });
    simulation.run(Duration(11'000));
    const auto failedDuringOutage = failedRequests(simulation);
    simulation.run(Duration(23'000));
    expectInvariants(simulation);
    EXPECT_GT(simulation.decisionCount(RelayReason::HeldByNobody), 0U);
    EXPECT_EQ(failedRequests(simulation), failedDuringOutage);
}

TEST_P(RelaySimulationSeeds, RouteChangeBreaksNoFlowOfARemovedService)
{
    auto options = makeOptions(GetParam());
    options.routes[0].services.push_back({hashOf("catalogue"), "catalogue", 1});
    RelaySimulation simulation(options);
    simulation.startCallers(Duration(20'000));
    simulation.schedule(Duration(6'000), [&] {
        simulation.publishRoutes({makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue")});
    });
    for (std::size_t entry = 0; entry < 3; ++entry)
        simulation.schedule(Duration(7'000 + 3'000 * static_cast<Duration::rep>(entry)),
                            [&, entry] { simulation.restartEntryGracefully(entry); });
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    EXPECT_EQ(failedRequests(simulation), 0U);
}

TEST_P(RelaySimulationSeeds, DrainingTargetGetsNoNewFlows)
{
    RelaySimulation simulation(makeOptions(GetParam()));
    simulation.startCallers(Duration(20'000));
    std::uint64_t startedWhenDrained = 0;
    simulation.schedule(Duration(5'000), [&] { simulation.drainTarget(8); });
    simulation.schedule(Duration(6'000), [&] { startedWhenDrained = simulation.target(8).startedRequests(); });
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    EXPECT_EQ(failedRequests(simulation), 0U);
    // Target 8 belongs to the catalogue, whose callers open a flow for each request.
    EXPECT_EQ(simulation.target(8).startedRequests(), startedWhenDrained);
}

TEST_P(RelaySimulationSeeds, PacketLossFailsFewRequests)
{
    auto options = makeOptions(GetParam());
    options.network.lossRate = 0.03;
    RelaySimulation simulation(options);
    simulation.startCallers(Duration(20'000));
    for (std::size_t entry = 0; entry < 3; ++entry)
        simulation.schedule(Duration(4'000 + 4'000 * static_cast<Duration::rep>(entry)),
                            [&, entry] { simulation.restartEntryGracefully(entry); });
    simulation.run(Duration(24'000));
    expectInvariants(simulation);
    // A request is sent three times within its deadline, and each attempt needs three datagrams. At this loss rate all three
    // attempts fail for one request in 1,500, and the SYNs before them fail as often.
    std::uint64_t started = 0;
    for (const auto &kind : simulation.callers().statistics())
        started += kind.started;
    EXPECT_LE(static_cast<double>(failedRequests(simulation)), 0.005 * static_cast<double>(started));
}

/// Returns a simulation of six entry daemons of which the first three are frozen from 4 s to 7 s, while callers open flows.
std::unique_ptr<RelaySimulation> simulateFrozenEntryDaemons(std::uint64_t seed)
{
    auto options = makeOptions(seed);
    options.entryDaemons = 6;
    auto simulation = std::make_unique<RelaySimulation>(options);
    simulation->startCallers(Duration(20'000));
    for (std::size_t entry = 0; entry < 3; ++entry) {
        simulation->schedule(Duration(4'000), [&simulation = *simulation, entry] { simulation.freezeEntry(entry); });
        simulation->schedule(Duration(7'000), [&simulation = *simulation, entry] { simulation.thawEntry(entry); });
    }
    return simulation;
}

// Guards against resets by an entry daemon that reads an old SYN and packets of the open flow in one batch after it was frozen.
TEST_P(RelaySimulationSeeds, RestartsDuringAFreezeOfEntryDaemonsBreakNoFlow)
{
    const auto simulation = simulateFrozenEntryDaemons(GetParam());
    for (std::size_t entry = 3; entry < 6; ++entry)
        simulation->schedule(Duration(5'500 + 900 * static_cast<Duration::rep>(entry - 3)),
                             [&, entry] { simulation->restartEntryGracefully(entry); });
    simulation->run(Duration(24'000));
    expectInvariants(*simulation);
    EXPECT_GT(simulation->decisionCount(RelayReason::SearchFound), 0U);
}

// Guards against an agent that counts a flow as open at its target, although the target only got an old SYN of it.
TEST_P(RelaySimulationSeeds, RestartsAfterAFreezeOfEntryDaemonsBreakNoFlow)
{
    const auto simulation = simulateFrozenEntryDaemons(GetParam());
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const auto offset = 300 * static_cast<Duration::rep>(entry);
        simulation->schedule(Duration(7'050), [&, entry] { simulation->killEntry(entry); });
        simulation->schedule(Duration(7'350), [&, entry] { simulation->startEntry(entry); });
        simulation->schedule(Duration(8'000 + offset), [&, entry] { simulation->restartEntryGracefully(entry); });
        simulation->schedule(Duration(11'500 + offset), [&, entry] { simulation->restartEntryGracefully(entry + 3); });
    }
    simulation->run(Duration(24'000));
    expectInvariants(*simulation);
    EXPECT_GT(simulation->decisionCount(RelayReason::SearchFound), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelaySimulationSeeds, testing::Range<std::uint64_t>(1, SeedCount + 1));

} // namespace

} // namespace Papaya::Emulator
