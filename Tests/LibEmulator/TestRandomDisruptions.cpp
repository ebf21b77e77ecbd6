#include "LibEmulator/RandomDisruptions.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <sstream>

namespace Papaya::Emulator {

namespace {

constexpr Endpoint LedgerAddress {0xc6120001, 443};
constexpr Endpoint CatalogueAddress {0xc6120002, 443};
constexpr Endpoint OrdersAddress {0xc6120003, 443};
constexpr std::uint64_t DefaultSeedCount = 30;
/// Seeds that failed once. Resets: 48 and 2406 right after a second outage of the store; 2055 of a late SYN copy; 2264, 2590 on the word of
/// an agent that had an earlier flow with the same ports; 2842 after an agent had forgotten an incomplete handshake. 448 and 478
/// sent the SYN of a later flow as a probe. The others by packets
/// at targets that do not hold the flow: probes of several entry daemons, unconfirmed targets, former services.
constexpr std::array<std::uint64_t, 28> RegressionSeeds {48,   448,  478,  2004, 2030, 2055, 2090, 2092, 2109, 2200,
                                                         2247, 2264, 2278, 2320, 2381, 2406, 2420, 2501, 2502, 2544,
                                                         2551, 2582, 2590, 2623, 2627, 2670, 2730, 2842};
/// Every tenth simulation is a large one.
constexpr std::uint64_t LargeInterval = 10;
constexpr Duration DisruptionTime {18'000};
constexpr Duration CallerTime {27'000};
constexpr Duration RunTime {32'000};

/// Returns the seeds from the environment variable PAPAYA_EMULATOR_SEEDS, like 7 or 1-2000, or a short range and the regression seeds.
std::vector<std::uint64_t> seedsFromEnvironment()
{
    std::uint64_t first = 1;
    std::uint64_t last = DefaultSeedCount;
    std::vector<std::uint64_t> seeds;
    if (const auto *text = std::getenv("PAPAYA_EMULATOR_SEEDS")) {
        std::istringstream stream(text);
        char separator = 0;
        stream >> first;
        if (!(stream >> separator >> last))
            last = first;
    } else {
        seeds.assign(RegressionSeeds.begin(), RegressionSeeds.end());
    }
    for (auto seed = first; seed <= last; ++seed)
        seeds.push_back(seed);
    return seeds;
}

/// Returns the kinds of disruptions whose numbers the environment variable PAPAYA_EMULATOR_KINDS lists, or the
/// default ones.
std::vector<DisruptionKind> kindsFromEnvironment()
{
    std::vector<DisruptionKind> kinds;
    if (const auto *text = std::getenv("PAPAYA_EMULATOR_KINDS")) {
        std::istringstream stream(text);
        for (std::size_t kind = 0; stream >> kind;)
            kinds.push_back(static_cast<DisruptionKind>(kind));
        return kinds;
    }
    for (std::size_t kind = 0; kind < DisruptionKindCount; ++kind) {
        const auto isDefault = static_cast<DisruptionKind>(kind) != DisruptionKind::WithdrawTargets
                               && static_cast<DisruptionKind>(kind) != DisruptionKind::LosePower;
        if (isDefault)
            kinds.push_back(static_cast<DisruptionKind>(kind));
    }
    return kinds;
}

SimulationOptions makeOptions(std::uint64_t seed)
{
    const bool isLarge = seed % LargeInterval == 0;
    const std::size_t scale = isLarge ? 4 : 1;
    SimulationOptions options;
    options.seed = seed;
    options.entryDaemons = isLarge ? 20 : 3 + seed % 4;
    for (const auto &[service, count] : {std::pair("ledger", 6), std::pair("catalogue", 3), std::pair("orders", 3)}) {
        const auto targets = makeTargets(service, static_cast<std::size_t>(count) * scale, {});
        options.targets.insert(options.targets.end(), targets.begin(), targets.end());
    }
    options.routes = {makeRoute(LedgerAddress, "ledger"), makeRoute(CatalogueAddress, "catalogue"), makeRoute(OrdersAddress, "orders")};
    options.routes[2].isIdempotent = false;
    const auto factor = static_cast<double>(scale);
    options.kinds = {
        {"feed", LedgerAddress, true, true, 80 * factor, 60, Duration(250), Duration(1'500)},
        {"photo", CatalogueAddress, true, false, 15 * factor, 5, Duration(500), Duration(3'000)},
        {"order", OrdersAddress, false, true, 20 * factor, 60, Duration(500), Duration(3'000)},
    };
    return options;
}

std::string decisionCounts(const RelaySimulation &simulation)
{
    std::string text;
    for (std::size_t reason = 0; reason < RelayReasonCount; ++reason) {
        const auto count = simulation.decisionCount(static_cast<RelayReason>(reason));
        text += std::string(relayReasonName(static_cast<RelayReason>(reason))) + " " + std::to_string(count) + "\n";
    }
    return text;
}

class RandomDisruptionSeeds : public testing::TestWithParam<std::uint64_t>
{
protected:
    /// Plays disruptions of these kinds and checks the rule on open flows.
    void playAndCheck(const std::vector<DisruptionKind> &kinds);
};

void RandomDisruptionSeeds::playAndCheck(const std::vector<DisruptionKind> &kinds)
{
    const auto options = makeOptions(GetParam());
    RelaySimulation simulation(options);
    simulation.callers().setPortReuseRate(GetParam() % 2 == 0 ? 0.3 : 0);
    simulation.startCallers(CallerTime);
    simulation.run(Duration(2'500));
    RandomDisruptions disruptions(simulation, GetParam(), kinds, options.routes);
    disruptions.schedule(DisruptionTime);
    simulation.run(RunTime);
    const auto &rule = simulation.checkFlowRule();
    EXPECT_EQ(simulation.misroutedRequests(), 0U);
    EXPECT_EQ(simulation.duplicateRequests(), 0U);
    EXPECT_EQ(rule.resetFlows().size(), 0U);
    EXPECT_EQ(rule.misdirectedFlows().size(), 0U);
    if (HasFailure())
        ADD_FAILURE() << rule.excusedResets() << " resets excused\n" << decisionCounts(simulation) << simulation.brokenFlowEvents();
}

// Guards against resets and misdirected packets of open flows while several kinds of disruptions and planned work overlap.
TEST_P(RandomDisruptionSeeds, OverlappingDisruptionsBreakNoFlow)
{
    playAndCheck(kindsFromEnvironment());
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDisruptionSeeds, testing::ValuesIn(seedsFromEnvironment()));

class RandomStartSeeds : public RandomDisruptionSeeds
{
};

// Guards against resets by entry daemons that start after the loss of everything, while the store is away or restored, targets are
// replaced and entry daemons are frozen or restarted: the evidence that ends their wait must be right.
TEST_P(RandomStartSeeds, StartsAfterLossOfPowerBreakNoFlow)
{
    playAndCheck({DisruptionKind::FreezeEntries,
                  DisruptionKind::RestartEntries,
                  DisruptionKind::KillEntries,
                  DisruptionKind::RestartAgents,
                  DisruptionKind::ReleaseTargets,
                  DisruptionKind::StopStore,
                  DisruptionKind::RestoreStore,
                  DisruptionKind::CrashTargets,
                  DisruptionKind::LosePower});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomStartSeeds, testing::ValuesIn(seedsFromEnvironment()));

} // namespace

} // namespace Papaya::Emulator
