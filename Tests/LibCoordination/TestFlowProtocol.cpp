#include "LibCoordination/FlowNetwork.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr int SeedCount = 30;
constexpr int FlowCount = 300;
constexpr NetworkFaults RoughNetwork {0.02, 0.02, Duration(60), Duration(4'000)};

/// The brief wants a reset rather than silence. The bound: the lease of a lost agent, three rounds of probes, and the queries
/// that must find no owner.
constexpr Duration ResetBound {15'000};

std::string agentName(int index)
{
    return "ledger-" + std::to_string(index);
}

/// Seven agents with open flows, half of them silent.
void startNetwork(FlowNetwork &network)
{
    for (int index = 1; index <= 7; ++index)
        network.addAgent(agentName(index));
    network.run(Duration(6'000));
    network.openFlows(FlowCount / 2, false);
    network.openFlows(FlowCount / 2, true);
    network.run(Duration(8'000));
}

class FlowProtocolSeeds : public testing::TestWithParam<int>
{
};

} // namespace

TEST_P(FlowProtocolSeeds, EstablishedFlowsSurviveJoinsLeavesAndReplacedEntryDaemons)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    EXPECT_EQ(network.counts().established, FlowCount);
    for (int round = 0; round < 4; ++round) {
        network.addAgent(agentName(8 + round));
        network.openFlows(30, round % 2 == 0);
        network.run(Duration(1'500));
        network.leave(agentName(1 + round));
        network.replaceEntry(static_cast<std::size_t>(round % 3));
        network.run(Duration(2'500));
    }
    network.run(Duration(12'000));
    const auto counts = network.counts();
    EXPECT_EQ(counts.established, FlowCount + 120);
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_EQ(counts.resetAfterLoss, 0);
    EXPECT_EQ(counts.misdelivered, 0);
    EXPECT_EQ(counts.takenWhileLeaving, 0);
    EXPECT_EQ(network.silentFor(Duration(5'000)), 0);
}

TEST_P(FlowProtocolSeeds, OnlyTheFlowsOfAKilledAgentBreakAndTheirCallersGetAReset)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    const int lost = network.flowsAt("ledger-3");
    ASSERT_GT(lost, 0);
    network.kill("ledger-3");
    network.run(ResetBound);
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_EQ(counts.resetAfterLoss, lost);
    EXPECT_EQ(network.orphaned(), 0);
    EXPECT_EQ(counts.misdelivered, 0);
}

TEST_P(FlowProtocolSeeds, AnAgentRestartedEmptyBreaksOnlyItsOwnFlows)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    const int lost = network.flowsAt("ledger-5");
    network.kill("ledger-5");
    network.run(Duration(300));
    network.restart("ledger-5");
    network.run(ResetBound);
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_EQ(counts.resetAfterLoss, lost);
    EXPECT_EQ(network.orphaned(), 0);
    EXPECT_EQ(network.silentFor(Duration(5'000)), 0);
}

TEST_P(FlowProtocolSeeds, AShortPauseOfAnAgentBreaksNothing)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    network.freeze("ledger-2");
    network.run(Duration(5'000));
    network.thaw("ledger-2");
    network.run(Duration(6'000));
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned + counts.resetAfterLoss, 0);
    EXPECT_EQ(network.silentFor(Duration(5'000)), 0);
}

TEST_P(FlowProtocolSeeds, AnAgentThatWakesLateDoesNotResetTheFlowsOfOthers)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    const int own = network.flowsAt("ledger-2");
    network.freeze("ledger-2");
    network.run(Duration(60'000));
    EXPECT_EQ(network.silentFor(ResetBound), 0);
    network.thaw("ledger-2");
    network.run(Duration(10'000));
    const auto counts = network.counts();
    // Its own callers were told that it is lost; everyone else's flow is untouched.
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_LE(counts.resetAfterLoss, own);
    EXPECT_EQ(network.orphaned(), 0);
    EXPECT_EQ(network.silentFor(Duration(5'000)), 0);
    EXPECT_EQ(counts.misdelivered, 0);
}

TEST_P(FlowProtocolSeeds, KillsWhileDrainingAndWhileAnEntryDaemonIsReplaced)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    network.leave("ledger-1");
    network.addAgent("ledger-8");
    network.run(Duration(1'000));
    const int lost = network.flowsAt("ledger-1") + network.flowsAt("ledger-6");
    network.kill("ledger-1");
    network.kill("ledger-6");
    network.replaceEntry(1);
    network.run(ResetBound);
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    // A flow whose owner and witness died together is reset only when its caller speaks; the others are all told.
    EXPECT_LE(counts.resetAfterLoss, lost);
    EXPECT_EQ(counts.resetAfterLoss + network.orphaned(), lost);
    EXPECT_EQ(network.silentFor(ResetBound), 0);
    EXPECT_EQ(counts.takenWhileLeaving, 0);
}

TEST_P(FlowProtocolSeeds, AShortCutBetweenTwoAgentsBreaksNothing)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
    startNetwork(network);
    network.setCut("ledger-1", "ledger-2", true);
    network.openFlows(40, false);
    network.run(Duration(6'000));
    network.setCut("ledger-1", "ledger-2", false);
    network.run(Duration(6'000));
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned + counts.resetAfterLoss, 0);
    EXPECT_EQ(network.silentFor(Duration(6'000)), 0);
}

TEST_P(FlowProtocolSeeds, PacketsPassFewAgentsAfterTheRankingMoved)
{
    const auto meanHops = [&](bool usesHints) {
        FlowNetwork network(static_cast<std::uint64_t>(GetParam()), RoughNetwork);
        network.setUsesHints(usesHints);
        startNetwork(network);
        for (int index = 8; index <= 14; ++index)
            network.addAgent(agentName(index));
        network.run(Duration(8'000));
        network.restartHopCount();
        network.run(Duration(10'000));
        EXPECT_EQ(network.counts().brokenWhileOwned, 0);
        return network.meanHops();
    };
    // Twice the agents: half of the flows are owned by another than their first-ranked agent.
    EXPECT_GT(meanHops(false), 1.2);
    EXPECT_LT(meanHops(true), 1.2);
}

// Seeds beyond the range that once showed a fault.
INSTANTIATE_TEST_SUITE_P(FoundSeeds, FlowProtocolSeeds, testing::Values(67, 72, 91, 138, 197));

INSTANTIATE_TEST_SUITE_P(Seeds, FlowProtocolSeeds, testing::Range(1, SeedCount + 1));

} // namespace Papaya
