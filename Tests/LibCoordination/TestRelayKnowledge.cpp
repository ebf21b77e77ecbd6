#include "LibCoordination/ListEvidence.h"
#include "LibCoordination/RelayKnowledge.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(100'000)};
constexpr Endpoint ServiceAddress {0xc6120001, 443};

/// Counts the resets of an entry daemon and ignores its other output.
struct ResetCounter : EntryOutput {
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
        ASSERT_TRUE(setRoutes(m_initialized, makeRoutes(5), Start));
        (void)onTargetPublished(m_initialized, makeTarget(1), Start, m_output);
        (void)onTargetPublished(m_initialized, makeTarget(2), Start, m_output);
        (void)applyWithdrawn(m_initialized.directory, 2, Start);
        markTargetsListed(m_initialized, Start);
    }

    EntryRelay m_initialized;
    EntryRelay m_uninitialized;
    ResetCounter m_output;
};

TEST_F(RelayKnowledgeTest, SnapshotInitializesDaemonWithoutPlatform)
{
    const auto knowledge = exportKnowledge(m_initialized, Start + Duration(1'500));
    ASSERT_TRUE(knowledge.has_value());
    ASSERT_EQ(knowledge->targets.size(), 1U);
    EXPECT_EQ(knowledge->targets[0].coldTime, Duration(500));
    EXPECT_TRUE(importKnowledge(m_uninitialized, *knowledge, Start, m_output));
    EXPECT_TRUE(hasRoutesAndTargets(m_uninitialized));
    EXPECT_EQ(m_uninitialized.routes.version, 5U);
}

TEST_F(RelayKnowledgeTest, NoSnapshotBeforeRoutesAndTargetsAreRead)
{
    EXPECT_FALSE(exportKnowledge(m_uninitialized, Start).has_value());
}

TEST_F(RelayKnowledgeTest, SnapshotDoesNotReplaceExistingRoutes)
{
    ASSERT_TRUE(setRoutes(m_uninitialized, makeRoutes(9), Start));
    markTargetsListed(m_uninitialized, Start);
    const auto knowledge = exportKnowledge(m_initialized, Start);
    EXPECT_FALSE(importKnowledge(m_uninitialized, *knowledge, Start, m_output));
    EXPECT_EQ(m_uninitialized.routes.version, 9U);
}

TEST_F(RelayKnowledgeTest, DeniedFlowIsNotResetWithTargetsFromSnapshotOnly)
{
    const auto knowledge = exportKnowledge(m_initialized, Start);
    ASSERT_TRUE(importKnowledge(m_uninitialized, *knowledge, Start, m_output));
    PacketSummary data;
    data.flow = {{0x64400007, 40'001}, ServiceAddress};
    data.hasAcknowledgement = true;
    data.length = 10;
    onCallerPacket(m_uninitialized, data, std::vector<std::byte>(100), Start + Duration(10), m_output);
    RelayNotice denial;
    denial.kind = NoticeKind::Denied;
    denial.flow = data.flow;
    denial.service = hashOf("ledger");
    onNotice(m_uninitialized, makeTarget(1).agent, denial, std::nullopt, Start + Duration(12), m_output);
    onEntryTick(m_uninitialized, Start + Duration(2'000), m_output);
    EXPECT_EQ(m_output.resets, 0);
}

// Failure: an unreachable agent lets a flow be reset whose target is missing from another entry daemon's snapshot.
TEST_F(RelayKnowledgeTest, FlowWithUnreachableAgentIsNotResetWithTargetsFromSnapshotOnly)
{
    const auto knowledge = exportKnowledge(m_initialized, Start);
    ASSERT_TRUE(importKnowledge(m_uninitialized, *knowledge, Start, m_output));
    PacketSummary data;
    data.flow = {{0x64400007, 40'001}, ServiceAddress};
    data.hasAcknowledgement = true;
    data.length = 10;
    onCallerPacket(m_uninitialized, data, std::vector<std::byte>(100), Start + Duration(10), m_output);
    const auto tickUntil = [&](int from, int until) {
        for (int time = from; time <= until; time += 100) {
            markAgentMessagesRead(m_uninitialized, Start + Duration(time));
            onEntryTick(m_uninitialized, Start + Duration(time), m_output);
        }
    };
    tickUntil(100, 6'000);
    EXPECT_EQ(m_output.resets, 0);
    markTargetsCurrent(m_uninitialized, Start + Duration(6'000));
    tickUntil(6'100, 8'400);
    EXPECT_EQ(m_output.resets, 0);
    tickUntil(8'500, 8'700);
    EXPECT_EQ(m_output.resets, 0);
    markTargetsCurrent(m_uninitialized, Start + Duration(8'700));
    tickUntil(8'800, 9'000);
    EXPECT_EQ(m_output.resets, 1);
}

// Guards against a daemon that starts after the platform was restored from a copy, and serves the older routes of the copy.
TEST_F(RelayKnowledgeTest, SnapshotWithNewerRoutesReplacesRoutesOfRestoredPlatform)
{
    ASSERT_TRUE(setRoutes(m_uninitialized, makeRoutes(4), Start));
    markTargetsListed(m_uninitialized, Start);
    const auto knowledge = exportKnowledge(m_initialized, Start);
    EXPECT_TRUE(importKnowledge(m_uninitialized, *knowledge, Start, m_output));
    EXPECT_EQ(m_uninitialized.routes.version, 5U);
}

// Guards against searches that leave out a target which the restored platform does not list yet.
TEST_F(RelayKnowledgeTest, SnapshotAddsTargetsThatPlatformMayListAgain)
{
    ASSERT_TRUE(setRoutes(m_uninitialized, makeRoutes(5), Start));
    markTargetsListed(m_uninitialized, Start);
    const auto knowledge = exportKnowledge(m_initialized, Start);
    (void)importKnowledge(m_uninitialized, *knowledge, Start, m_output);
    ASSERT_TRUE(m_uninitialized.directory.targets.contains(1));
    const auto &record = m_uninitialized.directory.targets.at(1);
    EXPECT_TRUE(mayTakeNewFlows(record, Start + Duration(2'000)));
    EXPECT_FALSE(mayTakeNewFlows(record, Start + Duration(3'000)));
}

// Guards against a target that counts as listed for good, because a peer had not read its withdrawal yet.
TEST_F(RelayKnowledgeTest, SnapshotDoesNotEndWithdrawal)
{
    ASSERT_TRUE(setRoutes(m_uninitialized, makeRoutes(5), Start));
    (void)onTargetPublished(m_uninitialized, makeTarget(1), Start, m_output);
    markTargetsListed(m_uninitialized, Start);
    ASSERT_TRUE(applyWithdrawn(m_uninitialized.directory, 1, Start));
    const auto knowledge = exportKnowledge(m_initialized, Start);
    (void)importKnowledge(m_uninitialized, *knowledge, Start, m_output);
    EXPECT_FALSE(mayTakeNewFlows(m_uninitialized.directory.targets.at(1), Start));
}

// Guards against a snapshot without the targets that the restored platform does not list yet.
TEST_F(RelayKnowledgeTest, SnapshotHasTargetsWhoseWithdrawalIsNotInEffect)
{
    ASSERT_TRUE(applyWithdrawn(m_initialized.directory, 1, Start + Duration(2'500)));
    EXPECT_EQ(exportKnowledge(m_initialized, Start)->targets.size(), 1U);
    EXPECT_TRUE(exportKnowledge(m_initialized, Start + Duration(2'500))->targets.empty());
}

/// A daemon that has read routes and targets from the platform, and when.
EntryRelay makeInformed(TimePoint listedAt, EntryOutput &output)
{
    EntryRelay entry;
    (void)setRoutes(entry, makeRoutes(5), listedAt);
    (void)onTargetPublished(entry, makeTarget(1), listedAt, output);
    markTargetsListed(entry, listedAt);
    markTargetsCurrent(entry, listedAt);
    return entry;
}

// Failure: while all daemons start, each one fetches all routes and targets from the same few peers, although it has read the same.
TEST_F(RelayKnowledgeTest, AnswerIsSmallWhenAskingDaemonHasTheSame)
{
    auto settled = makeInformed(Start, m_output);
    markTargetsCurrent(settled, Start + Duration(10'000));
    const auto asking = makeInformed(Start + Duration(10'000), m_output);
    const auto digest = knowledgeDigest(asking, Start + Duration(10'000));
    auto answer = answerKnowledgeRequest(settled, digest, Start + Duration(10'000));
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->isSettled);
    EXPECT_TRUE(answer->targets.empty());
    EXPECT_TRUE(answer->routes.routes.empty());

    (void)onTargetPublished(settled, makeTarget(3), Start + Duration(10'000), m_output);
    answer = answerKnowledgeRequest(settled, digest, Start + Duration(10'000));
    EXPECT_EQ(answer->targets.size(), 2U);
    // A daemon that has not read the platform needs everything.
    EXPECT_EQ(answerKnowledgeRequest(settled, std::nullopt, Start + Duration(10'000))->targets.size(), 2U);
}

TEST_F(RelayKnowledgeTest, DaemonThatHasJustStartedSendsNoTargetsToOneThatHasReadThePlatform)
{
    const auto answer = answerKnowledgeRequest(makeInformed(Start, m_output), KnowledgeDigest {5, 1}, Start + Duration(500));
    ASSERT_TRUE(answer.has_value());
    EXPECT_FALSE(answer->isSettled);
    EXPECT_TRUE(answer->targets.empty());
}

// Failure: a daemon that starts after a restore of the store keeps the older routes of the copy, since its peers have no settled list
// either.
TEST_F(RelayKnowledgeTest, DaemonThatHasJustStartedSendsNewerRoutes)
{
    const auto answer = answerKnowledgeRequest(makeInformed(Start, m_output), KnowledgeDigest {4, 1}, Start + Duration(500));
    ASSERT_TRUE(answer.has_value());
    EXPECT_FALSE(answer->isSettled);
    EXPECT_EQ(answer->routes.version, 5U);
}

TEST_F(RelayKnowledgeTest, SettledPeerEndsTheWaitForExpiredEntries)
{
    auto entry = makeInformed(Start, m_output);
    EXPECT_TRUE(mayListLackTargets(entry, Start + Duration(100)));
    RelayKnowledge answer;
    (void)importKnowledge(entry, answer, Start + Duration(100), m_output);
    EXPECT_TRUE(mayListLackTargets(entry, Start + Duration(100)));
    answer.isSettled = true;
    (void)importKnowledge(entry, answer, Start + Duration(100), m_output);
    EXPECT_FALSE(mayListLackTargets(entry, Start + Duration(100)));
}

// Failure: a target whose entry expired in an outage, and was not read again before the next one, is missing from a settled peer's
// snapshot, and the flows that it holds are reset by the daemon that relies on the snapshot.
TEST_F(RelayKnowledgeTest, WithdrawnTargetsAreSearchedButGetNoNewFlows)
{
    const auto now = Start + Duration(1'500);
    const auto knowledge = exportKnowledge(m_initialized, now);
    ASSERT_EQ(knowledge->withdrawnTargets.size(), 1U);
    ASSERT_TRUE(importKnowledge(m_uninitialized, *knowledge, now, m_output));
    ASSERT_TRUE(m_uninitialized.directory.targets.contains(2));
    EXPECT_FALSE(mayTakeNewFlows(m_uninitialized.directory.targets.at(2), now));
}

} // namespace

} // namespace Papaya
