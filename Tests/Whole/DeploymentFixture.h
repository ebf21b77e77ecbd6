#pragma once

#include "Deployment/Deployment.h"
#include "Deployment/LoadClient.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <sstream>

namespace Papaya {

/// Starts a complete deployment for each test, with the services ledger (TCP) and catalogue (HTTP).
class DeploymentFixture : public testing::Test
{
protected:
    static constexpr std::chrono::seconds ExchangeTimeout {20};

    void startDeployment(int ledgerTargets, int catalogueTargets, const std::string &catalogueText = "", bool publishesBeforeStart = true)
    {
        DeploymentPlan plan;
        plan.programs = PAPAYA_PROGRAMS;
        plan.seed = 42;
        plan.publishesBeforeStart = publishesBeforeStart;
        m_ledger = {"ledger", {0x0a140001, 7'000}, "tcp", ledgerTargets, 7, ""};
        m_catalogue = {"catalogue", {0x0a140002, 80}, "http", catalogueTargets, 2, catalogueText};
        if (ledgerTargets > 0)
            plan.services.push_back(m_ledger);
        if (catalogueTargets > 0)
            plan.services.push_back(m_catalogue);
        m_deployment = std::make_unique<Deployment>(plan);
        ASSERT_TRUE(m_deployment->start()) << m_deployment->folder();
    }

    /// Opens connections to the ledger and exchanges one line on each.
    [[nodiscard]] std::vector<EchoConnection> openConnections(int count)
    {
        std::vector<EchoConnection> connections;
        for (int index = 0; index < count; ++index) {
            connections.emplace_back(m_deployment->callerAddress("ledger"));
            EXPECT_TRUE(connections.back().exchange("first\n", ExchangeTimeout));
        }
        return connections;
    }

    /// Exchanges a line on each connection that is not broken. Returns how many connections are broken afterwards.
    static int exchangeAll(std::vector<EchoConnection> &connections, const std::string &line)
    {
        int broken = 0;
        for (auto &connection : connections) {
            if (connection.isBroken() || !connection.exchange(line, ExchangeTimeout))
                ++broken;
        }
        return broken;
    }

    /// Sends a request to the catalogue.
    [[nodiscard]] RequestResult request(const std::string &method, const std::string &id, const RequestOptions &options = {})
    {
        return sendRequest(m_deployment->callerAddress("catalogue"), method, "/order", id, options);
    }

    /// Returns how many times the catalogue's targets ran a request, according to their journals.
    [[nodiscard]] int timesRun(const std::string &id)
    {
        std::istringstream lines(m_deployment->readJournals("catalogue"));
        int count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.ends_with(" id=" + id) ? 1 : 0;
        return count;
    }

    /// Returns the configuration revision in force at a daemon.
    [[nodiscard]] double revisionAt(const std::string &name) { return m_deployment->readMetric(name, "papaya_configuration_revision"); }

    /// Returns whether all daemons have a configuration revision in force.
    [[nodiscard]] bool isRevisionInForceEverywhere(double revision)
    {
        for (const auto &name : daemonNames()) {
            if (revisionAt(name) != revision)
                return false;
        }
        return true;
    }

    [[nodiscard]] std::vector<std::string> daemonNames()
    {
        auto names = m_deployment->entryNames();
        for (const auto *service : {"ledger", "catalogue"}) {
            const auto targets = m_deployment->targetNames(service);
            names.insert(names.end(), targets.begin(), targets.end());
        }
        return names;
    }

    TestService m_ledger;
    TestService m_catalogue;
    std::unique_ptr<Deployment> m_deployment;
};

} // namespace Papaya
