#include "Whole/DeploymentFixture.h"

#include <thread>

namespace Papaya {

namespace {

using namespace std::chrono_literals;

/// Issue 4: no new flows are sent to a leaving target after this time.
constexpr auto LeavingTimeout = 5s;
/// docs/OPERATORS.md: the flows of a lost agent are reset within this time.
constexpr auto ResetTimeout = 15s;

class Connections : public DeploymentFixture
{
};

} // namespace

TEST_F(Connections, StayOpenWhileEntryDaemonsAreAddedKilledAndReplaced)
{
    startDeployment(3, 0);
    auto connections = openConnections(20);
    m_deployment->addEntry("entry-4");
    ASSERT_TRUE(Deployment::waitUntil([&] { return m_deployment->readOperatorEndpoint("entry-4", "/readyz").has_value(); }, 20s));
    m_deployment->sprayOver({"entry-1", "entry-2", "entry-3", "entry-4"});
    EXPECT_EQ(exchangeAll(connections, "added\n"), 0);
    m_deployment->killProcess("entry-1");
    m_deployment->sprayOver({"entry-2", "entry-3", "entry-4"});
    EXPECT_EQ(exchangeAll(connections, "killed\n"), 0);
    m_deployment->signalProcess("entry-2", SIGTERM);
    m_deployment->sprayOver({"entry-3", "entry-4"});
    EXPECT_TRUE(m_deployment->waitForExit("entry-2", 10s));
    EXPECT_EQ(exchangeAll(connections, "stopped\n"), 0);
    m_deployment->killProcess("entry-3");
    m_deployment->startProcess("entry-1");
    m_deployment->sprayOver({"entry-4", "entry-1"});
    EXPECT_EQ(exchangeAll(connections, "replaced\n"), 0);
}

TEST_F(Connections, StayOpenWhileTargetsJoinAndLeaveAndLeavingTargetsGetNoNewFlows)
{
    startDeployment(3, 0);
    auto connections = openConnections(20);
    ASSERT_TRUE(m_deployment->addTarget(m_ledger, "ledger-4"));
    ASSERT_TRUE(Deployment::waitUntil([&] { return m_deployment->readOperatorEndpoint("ledger-4", "/readyz").has_value(); }, 20s));
    m_deployment->setVmState("ledger-1", VmState::Leaving);
    std::this_thread::sleep_for(LeavingTimeout);
    const auto before = m_deployment->readMetric("ledger-1", "papaya_connections");
    auto later = openConnections(20);
    EXPECT_EQ(m_deployment->readMetric("ledger-1", "papaya_connections"), before);
    EXPECT_EQ(exchangeAll(connections, "left\n"), 0);
    EXPECT_EQ(exchangeAll(later, "joined\n"), 0);
}

TEST_F(Connections, StoppingAgentExitsOnceItsFlowsHaveEnded)
{
    startDeployment(2, 0);
    {
        auto connections = openConnections(12);
        m_deployment->signalProcess("ledger-1", SIGTERM);
        std::this_thread::sleep_for(2s);
        EXPECT_TRUE(m_deployment->isRunning("ledger-1"));
        EXPECT_EQ(exchangeAll(connections, "draining\n"), 0);
    }
    EXPECT_TRUE(m_deployment->waitForExit("ledger-1", 10s));
}

TEST_F(Connections, SecondTerminationSignalStopsAgentImmediately)
{
    startDeployment(1, 0);
    const auto connections = openConnections(2);
    m_deployment->signalProcess("ledger-1", SIGTERM);
    std::this_thread::sleep_for(1s);
    EXPECT_TRUE(m_deployment->isRunning("ledger-1"));
    m_deployment->signalProcess("ledger-1", SIGTERM);
    EXPECT_TRUE(m_deployment->waitForExit("ledger-1", 5s));
}

TEST_F(Connections, IdleConnectionsOfKilledAgentAreResetAndOthersStayOpen)
{
    startDeployment(3, 0);
    auto connections = openConnections(24);
    const auto lost = static_cast<int>(m_deployment->readMetric("ledger-2", "papaya_connections"));
    ASSERT_GT(lost, 0);
    std::this_thread::sleep_for(2s);
    m_deployment->killProcess("ledger-2");
    // The callers send nothing, so they are reset only because the witness of the lost flows probes them.
    const auto end = std::chrono::steady_clock::now() + ResetTimeout;
    std::set<std::size_t> reset;
    while (std::chrono::steady_clock::now() < end && static_cast<int>(reset.size()) < lost) {
        for (std::size_t index = 0; index < connections.size(); ++index) {
            if (!reset.contains(index) && connections[index].waitForReset(10ms))
                reset.insert(index);
        }
    }
    EXPECT_EQ(static_cast<int>(reset.size()), lost);
    int intact = 0;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (!reset.contains(index) && connections[index].exchange("still here\n", ExchangeTimeout))
            ++intact;
    }
    EXPECT_EQ(intact, static_cast<int>(connections.size()) - lost);
}

TEST_F(Connections, KilledTargetBreaksOnlyItsOwnConnections)
{
    startDeployment(3, 0);
    auto connections = openConnections(24);
    const auto lost = static_cast<int>(m_deployment->readMetric("ledger-2", "papaya_connections"));
    m_deployment->killProcess("target-ledger-2");
    EXPECT_TRUE(Deployment::waitUntil([&] { return m_deployment->readMetric("ledger-2", "papaya_connections") == 0; }, 5s));
    EXPECT_EQ(exchangeAll(connections, "after\n"), lost);
    std::this_thread::sleep_for(LeavingTimeout);
    auto later = openConnections(12);
    EXPECT_EQ(exchangeAll(later, "again\n"), 0);
}

TEST_F(Connections, StayOpenWhileAgentAndEntryDaemonArePausedForThreeSeconds)
{
    startDeployment(3, 0);
    auto connections = openConnections(18);
    m_deployment->signalProcess("ledger-3", SIGSTOP);
    m_deployment->signalProcess("entry-1", SIGSTOP);
    std::this_thread::sleep_for(3s);
    m_deployment->signalProcess("ledger-3", SIGCONT);
    m_deployment->signalProcess("entry-1", SIGCONT);
    EXPECT_EQ(exchangeAll(connections, "awake\n"), 0);
}

TEST_F(Connections, RestartedAgentLosesOnlyItsOwnConnections)
{
    startDeployment(3, 0);
    auto connections = openConnections(24);
    const auto lost = static_cast<int>(m_deployment->readMetric("ledger-1", "papaya_connections"));
    m_deployment->killProcess("ledger-1");
    m_deployment->startProcess("ledger-1");
    EXPECT_EQ(exchangeAll(connections, "restarted\n"), lost);
}

TEST_F(Connections, CarryCompleteStreamsOverLossyFabric)
{
    startDeployment(3, 0);
    auto connections = openConnections(3);
    m_deployment->setFaults(0.01, 0.02, 0.1);
    std::string block;
    for (int line = 0; line < 2'000; ++line)
        block += "finishing report " + std::to_string(line) + "\n";
    for (auto &connection : connections)
        EXPECT_TRUE(connection.exchange(block, 60s));
}

} // namespace Papaya
