#include "Whole/DeploymentFixture.h"

#include <thread>

namespace Papaya {

namespace {

using namespace std::chrono_literals;

/// The users' requirement: a configuration change is in force at all daemons within 7 s.
constexpr auto PropagationTimeout = 7s;

class ConfigurationPropagation : public DeploymentFixture
{
};

} // namespace

TEST_F(ConfigurationPropagation, HighestRevisionWinsWhenAnOlderOneArrivesLater)
{
    startDeployment(2, 2);
    const auto text = m_deployment->configurationText();
    m_deployment->publishConfiguration(3, text + "; second\n");
    m_deployment->publishConfiguration(2, text + "; first, late\n");
    EXPECT_TRUE(Deployment::waitUntil([&] { return isRevisionInForceEverywhere(3); }, PropagationTimeout));
    std::this_thread::sleep_for(3s);
    EXPECT_TRUE(isRevisionInForceEverywhere(3));
}

TEST_F(ConfigurationPropagation, InvalidTextKeepsTheRevisionInForce)
{
    startDeployment(1, 1);
    const auto text = m_deployment->configurationText();
    m_deployment->publishConfiguration(5, text.substr(0, text.size() / 2));
    std::this_thread::sleep_for(2s);
    EXPECT_TRUE(isRevisionInForceEverywhere(1));
    m_deployment->publishConfiguration(6, text + "; whole\n");
    EXPECT_TRUE(Deployment::waitUntil([&] { return isRevisionInForceEverywhere(6); }, PropagationTimeout));
}

TEST_F(ConfigurationPropagation, RestartedProcessGetsNewestRevisionFromPeersWhilePlatformIsStaleOrDown)
{
    startDeployment(2, 1);
    const auto text = m_deployment->configurationText();
    m_deployment->publishConfiguration(9, text + "; nine\n");
    ASSERT_TRUE(Deployment::waitUntil([&] { return isRevisionInForceEverywhere(9); }, PropagationTimeout));
    // The platform falls back to an older revision, and a restarted process can read only that revision from the platform.
    m_deployment->publishConfiguration(4, text + "; four\n");
    m_deployment->killProcess("ledger-1");
    m_deployment->startProcess("ledger-1");
    EXPECT_TRUE(Deployment::waitUntil([&] { return revisionAt("ledger-1") == 9; }, PropagationTimeout));
    EXPECT_TRUE(isRevisionInForceEverywhere(9));
    // While the platform is down, a process restarts that the VM lists of the other daemons still contain.
    m_deployment->setPlatformDown(true);
    m_deployment->killProcess("entry-2");
    m_deployment->startProcess("entry-2");
    EXPECT_TRUE(Deployment::waitUntil([&] { return revisionAt("entry-2") == 9; }, PropagationTimeout));
    auto connections = openConnections(6);
    EXPECT_EQ(exchangeAll(connections, "without platform\n"), 0);
}

TEST_F(ConfigurationPropagation, PausedProcessAppliesNewestRevisionAfterItResumes)
{
    startDeployment(2, 1);
    m_deployment->signalProcess("ledger-2", SIGSTOP);
    m_deployment->publishConfiguration(2, m_deployment->configurationText() + "; two\n");
    EXPECT_TRUE(Deployment::waitUntil([&] { return revisionAt("entry-1") == 2 && revisionAt("ledger-1") == 2; }, PropagationTimeout));
    m_deployment->publishConfiguration(3, m_deployment->configurationText() + "; three\n");
    m_deployment->signalProcess("ledger-2", SIGCONT);
    EXPECT_TRUE(Deployment::waitUntil([&] { return isRevisionInForceEverywhere(3); }, PropagationTimeout));
}

TEST_F(ConfigurationPropagation, MovedAddressIsRoutedOnlyToItsNewService)
{
    startDeployment(1, 1);
    EXPECT_EQ(request("GET", "before").outcome, "answered");
    auto connections = openConnections(4);
    auto text = m_deployment->configurationText();
    // The catalogue's address moves to the ledger, which has a different protocol.
    const std::string old = "addresses = 10.20.0.1:7000";
    text.replace(text.find(old), old.size(), "addresses = 10.20.0.1:7000, 10.20.0.2:80");
    const std::string catalogue = "addresses = 10.20.0.2:80\nprotocol = http";
    text.replace(text.find(catalogue), catalogue.size(), "addresses = 10.20.0.9:80\nprotocol = http");
    m_deployment->publishConfiguration(2, text);
    ASSERT_TRUE(Deployment::waitUntil([&] { return isRevisionInForceEverywhere(2); }, PropagationTimeout));
    EchoConnection moved(m_deployment->callerAddress("catalogue"));
    EXPECT_TRUE(moved.exchange("GET /to-the-ledger HTTP/1.1\r\n\r\n", ExchangeTimeout));
    EXPECT_EQ(m_deployment->readJournals("catalogue").find("to-the-ledger"), std::string::npos);
    EXPECT_EQ(exchangeAll(connections, "kept\n"), 0);
}

} // namespace Papaya
