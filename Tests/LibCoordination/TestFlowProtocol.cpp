#include "LibCoordination/FlowNetwork.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr int SeedCount = 30;
constexpr int FlowCount = 300;
constexpr NetworkFaults UnreliableNetwork {0.02, 0.02, Duration(60), Duration(4'000)};

/// The time within which all callers of a lost agent must have got a reset, because they must not wait for answers that never
/// come. It covers the lease of the agent, three rounds of probes, and the search that must end without an owner.
constexpr Duration ResetBound {15'000};

std::string agentName(int index)
{
    return "ledger-" + std::to_string(index);
}

/// Starts seven agents with open flows, half of which are idle.
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
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    EXPECT_EQ(network.counts().established, FlowCount);
    for (int round = 0; round < 4; ++round) {
        network.addAgent(agentName(8 + round));
        network.openFlows(30, round % 2 == 0);
        network.run(Duration(1'500));
        network.markLeaving(agentName(1 + round));
        network.replaceEntry(static_cast<std::size_t>(round % 3));
        network.run(Duration(2'500));
    }
    network.run(Duration(12'000));
    const auto counts = network.counts();
    EXPECT_EQ(counts.established, FlowCount + 120);
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_EQ(counts.resetAfterLoss, 0);
    EXPECT_EQ(counts.misdelivered, 0);
    EXPECT_EQ(counts.acceptedWhileLeaving, 0);
    EXPECT_EQ(network.callersUnansweredFor(Duration(5'000)), 0);
}

TEST_P(FlowProtocolSeeds, KilledAgentCausesResetsOfExactlyItsOwnFlows)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    const int lostFlows = network.flowsAt("ledger-3");
    ASSERT_GT(lostFlows, 0);
    network.kill("ledger-3");
    network.run(ResetBound);
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_EQ(counts.resetAfterLoss, lostFlows);
    EXPECT_EQ(network.orphanedCallers(), 0);
    EXPECT_EQ(counts.misdelivered, 0);
}

TEST_P(FlowProtocolSeeds, AgentRestartedWithoutStateBreaksOnlyItsOwnFlows)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    const int lostFlows = network.flowsAt("ledger-5");
    network.kill("ledger-5");
    network.run(Duration(300));
    network.restart("ledger-5");
    network.run(ResetBound);
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_EQ(counts.resetAfterLoss, lostFlows);
    EXPECT_EQ(network.orphanedCallers(), 0);
    EXPECT_EQ(network.callersUnansweredFor(Duration(5'000)), 0);
}

TEST_P(FlowProtocolSeeds, ShortAgentPauseBreaksNoFlow)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    network.pause("ledger-2");
    network.run(Duration(5'000));
    network.resume("ledger-2");
    network.run(Duration(6'000));
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned + counts.resetAfterLoss, 0);
    EXPECT_EQ(network.callersUnansweredFor(Duration(5'000)), 0);
}

TEST_P(FlowProtocolSeeds, AgentResumedAfterLeaseExpiryDoesNotResetFlowsOfOtherAgents)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    const int ownFlows = network.flowsAt("ledger-2");
    network.pause("ledger-2");
    network.run(Duration(60'000));
    EXPECT_EQ(network.callersUnansweredFor(ResetBound), 0);
    network.resume("ledger-2");
    network.run(Duration(10'000));
    const auto counts = network.counts();
    // Callers of the resumed agent may have got a reset after its lease expired. Flows of other agents must be intact.
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    EXPECT_LE(counts.resetAfterLoss, ownFlows);
    EXPECT_EQ(network.orphanedCallers(), 0);
    EXPECT_EQ(network.callersUnansweredFor(Duration(5'000)), 0);
    EXPECT_EQ(counts.misdelivered, 0);
}

TEST_P(FlowProtocolSeeds, KillsDuringDrainAndEntryDaemonReplacementLoseOnlyFlowsOfKilledAgents)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    network.markLeaving("ledger-1");
    network.addAgent("ledger-8");
    network.run(Duration(1'000));
    const int lostFlows = network.flowsAt("ledger-1") + network.flowsAt("ledger-6");
    network.kill("ledger-1");
    network.kill("ledger-6");
    network.replaceEntry(1);
    network.run(ResetBound);
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned, 0);
    // A flow whose owner and witness were killed together is reset only when its caller sends a segment. The callers of all other
    // lost flows are probed and get a reset.
    EXPECT_LE(counts.resetAfterLoss, lostFlows);
    EXPECT_EQ(counts.resetAfterLoss + network.orphanedCallers(), lostFlows);
    EXPECT_EQ(network.callersUnansweredFor(ResetBound), 0);
    EXPECT_EQ(counts.acceptedWhileLeaving, 0);
}

TEST_P(FlowProtocolSeeds, ShortPartitionBetweenTwoAgentsBreaksNoFlow)
{
    FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
    startNetwork(network);
    network.setPartitioned("ledger-1", "ledger-2", true);
    network.openFlows(40, false);
    network.run(Duration(6'000));
    network.setPartitioned("ledger-1", "ledger-2", false);
    network.run(Duration(6'000));
    const auto counts = network.counts();
    EXPECT_EQ(counts.brokenWhileOwned + counts.resetAfterLoss, 0);
    EXPECT_EQ(network.callersUnansweredFor(Duration(6'000)), 0);
}

TEST_P(FlowProtocolSeeds, OwnerHintsLowerMeanHopsAfterRankingChanged)
{
    const auto meanHops = [&](bool usesHints) {
        FlowNetwork network(static_cast<std::uint64_t>(GetParam()), UnreliableNetwork);
        network.setUsesHints(usesHints);
        startNetwork(network);
        for (int index = 8; index <= 14; ++index)
            network.addAgent(agentName(index));
        network.run(Duration(8'000));
        network.resetHopCount();
        network.run(Duration(10'000));
        EXPECT_EQ(network.counts().brokenWhileOwned, 0);
        return network.meanHops();
    };
    // With twice the agents, half of the flows are not owned by their first-ranked agent.
    EXPECT_GT(meanHops(false), 1.2);
    EXPECT_LT(meanHops(true), 1.2);
}

// Seeds outside the range below that revealed a fault in the past.
INSTANTIATE_TEST_SUITE_P(RegressionSeeds, FlowProtocolSeeds, testing::Values(67, 72, 91, 138, 197));

INSTANTIATE_TEST_SUITE_P(Seeds, FlowProtocolSeeds, testing::Range(1, SeedCount + 1));

} // namespace Papaya
