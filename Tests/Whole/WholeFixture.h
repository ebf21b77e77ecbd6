#pragma once

#include "Deployment/Deployment.h"
#include "Deployment/LoadClient.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <sstream>

namespace Papaya {

/// Starts a whole deployment of a ledger (TCP) and a catalogue (HTTP) for each test.
class WholeFixture : public testing::Test
{
protected:
    static constexpr std::chrono::seconds ExchangeLimit {20};

    void startDeployment(int ledgerTargets, int catalogueTargets, const std::string &catalogueText = "", bool publishesFirst = true)
    {
        DeploymentPlan plan;
        plan.programs = PAPAYA_PROGRAMS;
        plan.seed = 42;
        plan.publishesFirst = publishesFirst;
        m_ledger = {"ledger", {0x0a140001, 7'000}, "tcp", ledgerTargets, 7, ""};
        m_catalogue = {"catalogue", {0x0a140002, 80}, "http", catalogueTargets, 2, catalogueText};
        if (ledgerTargets > 0)
            plan.services.push_back(m_ledger);
        if (catalogueTargets > 0)
            plan.services.push_back(m_catalogue);
        m_deployment = std::make_unique<Deployment>(plan);
        ASSERT_TRUE(m_deployment->start()) << m_deployment->folder();
    }

    /// Opens standing connections and exchanges one line on each.
    [[nodiscard]] std::vector<StandingConnection> openConnections(int count)
    {
        std::vector<StandingConnection> connections;
        for (int index = 0; index < count; ++index) {
            connections.emplace_back(m_deployment->callerAddress("ledger"));
            EXPECT_TRUE(connections.back().exchange("first\n", ExchangeLimit));
        }
        return connections;
    }

    /// Exchanges a line on each connection that is not broken yet. Returns how many are broken then.
    static int exchangeAll(std::vector<StandingConnection> &connections, const std::string &line)
    {
        int broken = 0;
        for (auto &connection : connections) {
            if (connection.isBroken() || !connection.exchange(line, ExchangeLimit))
                ++broken;
        }
        return broken;
    }

    [[nodiscard]] RequestResult request(const std::string &method, const std::string &id, const RequestOptions &options = {})
    {
        return sendRequest(m_deployment->callerAddress("catalogue"), method, "/order", id, options);
    }

    /// Returns how often the journals of the catalogue's targets have a request.
    [[nodiscard]] int timesRun(const std::string &id)
    {
        std::istringstream lines(m_deployment->readJournals("catalogue"));
        int count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.ends_with(" id=" + id) ? 1 : 0;
        return count;
    }

    /// Returns the revision that a daemon has in force.
    [[nodiscard]] double revisionAt(const std::string &name) { return m_deployment->readMetric(name, "papaya_configuration_revision"); }

    [[nodiscard]] bool isInForceEverywhere(double revision)
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
