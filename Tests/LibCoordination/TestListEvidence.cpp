#include "LibCoordination/EntryRelayFixture.h"

/// What shows that the list of targets lacks none, and is current, before a flow that every agent denied is reset.
namespace Papaya {

using namespace EntryTest;

namespace {

TEST_F(EntrySearchTest, DeniedFlowIsResetOnceTargetListIsCurrent)
{
    constexpr PlatformRevision Received {1, 40};
    endConfirmation();
    markTargetsCurrent(m_entry, Start, Received);
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 1'000);
    notify(1, NoticeKind::Denied, 1'002);
    notify(2, NoticeKind::Denied, 1'002);
    // A target that was listed just before the search may hold the flow.
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_output.refreshes, 1);
    markListChecked(m_entry, Received, at(1'004));
    retryPendingResets(m_entry, at(1'010), m_output);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

// Guards against the reset of open flows of a target that was added while the connection to the platform was silent: a watch that reported
// nothing counted as proof of a current list.
TEST_F(EntrySearchTest, DeniedFlowIsNotResetWhilePlatformIsSilent)
{
    m_entry.startedAt = LongAgo;
    endConfirmation();
    publish(makeTarget(1));
    receive(makeData(501), 5'000);
    notify(1, NoticeKind::Denied, 5'002);
    tickUntil(5'100, 9'000);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_GT(m_output.refreshes, 0);
    // The target that was added is read at last.
    publish(makeTarget(2), 9'000);
    markTargetsCurrent(m_entry, at(9'000));
    retryPendingResets(m_entry, at(9'000), m_output);
    EXPECT_EQ(lastAgent(), 2U);
}

// Guards against a list that counts as current although the platform has changes that were not received.
TEST_F(EntrySearchTest, ListIsCurrentOnlyIfPlatformHasReceivedRevision)
{
    constexpr PlatformRevision Received {2, 40};
    endConfirmation();
    EXPECT_EQ(m_entry.receivedRevision.number, 0U);
    markListChecked(m_entry, {}, at(500));
    markTargetsCurrent(m_entry, Start, Received);
    markListChecked(m_entry, {2, 41}, at(1'000));
    markListChecked(m_entry, {3, 40}, at(1'000));
    EXPECT_FALSE(areTargetsCurrentAsOf(m_entry, at(1)));
    markListChecked(m_entry, Received, at(1'000));
    EXPECT_TRUE(areTargetsCurrentAsOf(m_entry, at(1'000)));
    EXPECT_FALSE(areTargetsCurrentAsOf(m_entry, at(1'001)));
}

// Guards against a daemon that waits for the end of a watch before it counts its list as settled after a start.
TEST_F(EntrySearchTest, ListIsCheckedOnceExpiredEntriesAreListedAgain)
{
    endConfirmation();
    m_entry.firstTargetListAsOf = Start;
    publish(makeTarget(1));
    tickUntil(0, 2'400);
    EXPECT_EQ(m_output.refreshes, 0);
    tickUntil(2'500, 2'500);
    EXPECT_EQ(m_output.refreshes, 1);
    markTargetsCurrent(m_entry, at(2'500));
    tickUntil(2'600, 4'000);
    EXPECT_EQ(m_output.refreshes, 1);
}

// Failure: after a restart of the store the list that a new entry daemon reads first lacks a serving target, and its flows are reset.
TEST_F(EntrySearchTest, DeniedFlowIsNotResetWhileExpiredEntriesMayBeMissing)
{
    for (const bool isListedAgain : {false, true}) {
        m_entry = EntryRelay {};
        SetUp();
        m_output = Recorder {};
        confirmAtTicks();
        m_entry.firstTargetListAsOf = Start;
        m_entry.routes.routes[ServiceAddress].isIdempotent = true;
        publish(makeTarget(1));
        receive(makeData(501), 500);
        notify(1, NoticeKind::Denied, 502);
        tickUntil(600, 1'900);
        EXPECT_TRUE(m_output.resets.empty());
        if (isListedAgain) {
            publish(makeTarget(2), 1'950);
            markTargetsCurrent(m_entry, at(1'940));
            retryPendingResets(m_entry, at(1'950), m_output);
            EXPECT_EQ(lastAgent(), 2U);
            notify(2, NoticeKind::Held, 1'952);
        }
        tickUntil(2'000, 2'400);
        EXPECT_TRUE(m_output.resets.empty());
        tickUntil(2'500, 3'000);
        EXPECT_EQ(m_output.resets.size(), isListedAgain ? 0U : 1U);
    }
}

// Failure: a daemon that started shortly after an outage of the store, and lost the store again, resets the flows of a serving target
// that its only list lacks.
TEST_F(EntrySearchTest, DeniedFlowIsNotResetWhileListIsOlderThanRelisting)
{
    m_entry.firstTargetListAsOf = Start;
    endConfirmation();
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    receive(makeData(501), 500);
    notify(1, NoticeKind::Denied, 502);
    tickUntil(600, 5'000);
    EXPECT_TRUE(m_output.resets.empty());
    markTargetsCurrent(m_entry, at(5'000));
    tickUntil(5'100, 5'200);
    EXPECT_EQ(m_output.resets.size(), 1U);
}

// Failure: a daemon that started between two outages of the store resets flows as soon as the second one ends, though its list lacks
// targets whose entries expired in it.
TEST_F(EntrySearchTest, DeniedFlowIsNotResetRightAfterSecondOutage)
{
    m_entry.firstTargetListAsOf = Start;
    endConfirmation();
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    receive(makeData(501), 500);
    notify(1, NoticeKind::Denied, 502);
    tickUntil(600, 5'000);
    markPlatformReachable(m_entry, at(5'000));
    markTargetsCurrent(m_entry, at(5'000));
    m_isConfirmedAtTicks = true;
    // Expired entries are listed again until 7,500 ms.
    tickUntil(5'100, 7'400);
    EXPECT_TRUE(m_output.resets.empty());
    tickUntil(7'500, 7'600);
    EXPECT_EQ(m_output.resets.size(), 1U);
}

TEST_F(EntrySearchTest, TargetListedAfterAllDenialsIsAsked)
{
    publish(makeTarget(1));
    endConfirmation();
    receive(makeData(501), 1'000);
    notify(1, NoticeKind::Denied, 1'002);
    onEntryTick(m_entry, at(1'600), m_output);
    EXPECT_TRUE(m_output.resets.empty());
    publish(makeTarget(2), 1'700);
    markTargetsCurrent(m_entry, at(1'690));
    retryPendingResets(m_entry, at(1'700), m_output);
    EXPECT_EQ(lastAgent(), 2U);
    notify(2, NoticeKind::Held, 1'702);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_entry.flows.at(Flow).agent, agentOf(2));
}

// Failure: after a loss of power of the whole system its callers are told only 2.5 s after the start that their flows are lost.
TEST_F(EntrySearchTest, DeniedFlowIsResetAtOnceIfAllTargetsHaveJustStarted)
{
    constexpr Incarnation StartTime = 1'000'000;
    for (const bool isOneTargetOld : {false, true}) {
        m_entry = EntryRelay {};
        SetUp();
        m_output = Recorder {};
        confirmAtTicks();
        m_entry.firstTargetListAsOf = Start;
        m_entry.startIncarnation = StartTime;
        for (std::uint32_t number = 1; number <= 3; ++number) {
            auto target = makeTarget(number);
            target.incarnation = isOneTargetOld && number == 3 ? StartTime - 20'000 : StartTime - 500 + Incarnation {300} * number;
            publish(target);
        }
        receive(makeData(501), 200);
        for (std::uint32_t number = 1; number <= 3; ++number)
            answer(agentOf(number), FlowVerdict::Denied, 203);
        tickUntil(300, 400);
        EXPECT_EQ(m_output.resets.size(), isOneTargetOld ? 0U : 1U);
        tickUntil(500, 2'800);
        EXPECT_EQ(m_output.resets.size(), 1U);
    }
}

// Failure: the same while few agents have been heard, since their VMs start later than this one.
TEST_F(EntrySearchTest, DeniedFlowIsNotResetBeforeMostAgentsAreHeard)
{
    constexpr Incarnation StartTime = 1'000'000;
    endConfirmation();
    m_entry.firstTargetListAsOf = Start;
    m_entry.startIncarnation = StartTime;
    for (std::uint32_t number = 1; number <= 3; ++number) {
        auto target = makeTarget(number);
        target.incarnation = StartTime;
        publish(target);
    }
    answer(agentOf(1), FlowVerdict::Denied, 100);
    EXPECT_TRUE(mayListLackTargets(m_entry, at(150)));
    answer(agentOf(2), FlowVerdict::Denied, 200);
    EXPECT_FALSE(mayListLackTargets(m_entry, at(250)));
}

TEST_F(EntrySearchTest, DeniedFlowIsResetWithoutCurrentListOnlyIfIdempotent)
{
    // After a power loss of the whole system every target is new, and the platform takes seconds to answer.
    for (const bool isIdempotent : {false, true}) {
        m_entry = EntryRelay {};
        SetUp();
        m_output = Recorder {};
        m_entry.routes.routes[ServiceAddress].isIdempotent = isIdempotent;
        endConfirmation();
        publish(makeTarget(1), 1'990);
        receive(makeData(501), 2'000);
        notify(1, NoticeKind::Denied, 2'002);
        tickUntil(2'100, 2'200);
        EXPECT_TRUE(m_output.resets.empty());
        tickUntil(2'300, 3'000);
        EXPECT_EQ(m_output.resets.size(), isIdempotent ? 1U : 0U);
    }
}

// Failure: a target that replaces another one at the same address gets flows at once, and a daemon that started in between, and so never
// knew the address, resets them before it has read the target's entry.
TEST_F(EntrySearchTest, DaemonThatHasJustStartedNeedsListAsNewAsSearch)
{
    publish(makeTarget(1));
    endConfirmation();
    markTargetsCurrent(m_entry, at(1'900));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    EXPECT_TRUE(m_output.resets.empty());
    markTargetsCurrent(m_entry, at(2'050));
    retryPendingResets(m_entry, at(2'060), m_output);
    EXPECT_EQ(m_output.resets.size(), 1U);
}

} // namespace

} // namespace Papaya
