#include "LibCoordination/RelayKnowledge.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(100'000)};
constexpr Endpoint ServiceAddress {0xc6120001, 443};

/// Ignores what an entry daemon does.
struct Silent : EntryOutput {
    void sendToAgent(const Endpoint &, const RelayEnvelope &) override { }
    void sendQuery(const Endpoint &, const RelayQuery &) override { }
    void resetCaller(const FlowKey &, std::uint32_t) override { ++resets; }
    void refreshTargets() override { }
    void recordDecision(const FlowKey &, RelayReason, const Endpoint &) override { }

    int resets = 0;
};

RouteTable makeRoutes(std::uint64_t version)
{
    RouteTable routes;
    routes.version = version;
    routes.routes[ServiceAddress] = {"r", ServiceAddress, {{hashOf("ledger"), "ledger", 1}}, true};
    return routes;
}

PublishedTarget makeTarget(std::uint32_t number)
{
    PublishedTarget target;
    target.id = number;
    target.service = hashOf("ledger");
    target.agent = {0x0a020000 + number, 7'720};
    target.coldTime = Duration(2'000);
    return target;
}

class RelayKnowledgeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(setRoutes(m_informed, makeRoutes(5), Start));
        (void)onTargetPublished(m_informed, makeTarget(1), Start, m_output);
        (void)onTargetPublished(m_informed, makeTarget(2), Start, m_output);
        (void)applyWithdrawn(m_informed.directory, 2, Start);
        markTargetsListed(m_informed, Start);
    }

    EntryRelay m_informed;
    EntryRelay m_started;
    Silent m_output;
};

TEST_F(RelayKnowledgeTest, InformsADaemonThatStartedWithoutThePlatform)
{
    const auto knowledge = exportKnowledge(m_informed, Start + Duration(1'500));
    ASSERT_TRUE(knowledge.has_value());
    ASSERT_EQ(knowledge->targets.size(), 1U);
    EXPECT_EQ(knowledge->targets[0].coldTime, Duration(500));
    EXPECT_TRUE(importKnowledge(m_started, *knowledge, Start, m_output));
    EXPECT_TRUE(hasRoutesAndTargets(m_started));
    EXPECT_EQ(m_started.routes.version, 5U);
}

TEST_F(RelayKnowledgeTest, TellsNothingWhileItKnowsTooLittle)
{
    EXPECT_FALSE(exportKnowledge(m_started, Start).has_value());
}

TEST_F(RelayKnowledgeTest, NeverReplacesWhatIsKnown)
{
    ASSERT_TRUE(setRoutes(m_started, makeRoutes(9), Start));
    markTargetsListed(m_started, Start);
    const auto knowledge = exportKnowledge(m_informed, Start);
    EXPECT_FALSE(importKnowledge(m_started, *knowledge, Start, m_output));
    EXPECT_EQ(m_started.routes.version, 9U);
}

TEST_F(RelayKnowledgeTest, ResetsNoFlowOnAPeersWordAlone)
{
    const auto knowledge = exportKnowledge(m_informed, Start);
    ASSERT_TRUE(importKnowledge(m_started, *knowledge, Start, m_output));
    PacketSummary data;
    data.flow = {{0x64400007, 40'001}, ServiceAddress};
    data.hasAcknowledgement = true;
    data.length = 10;
    onCallerPacket(m_started, data, std::vector<std::byte>(100), Start + Duration(10), m_output);
    RelayNotice denial;
    denial.kind = NoticeKind::Denied;
    denial.flow = data.flow;
    denial.service = hashOf("ledger");
    onNotice(m_started, makeTarget(1).agent, denial, std::nullopt, Start + Duration(12), m_output);
    onEntryTick(m_started, Start + Duration(2'000), m_output);
    EXPECT_EQ(m_output.resets, 0);
}

} // namespace

} // namespace Papaya
