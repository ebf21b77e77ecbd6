#include "LibCoordination/AgentStop.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(100'000)};
constexpr Duration StopTime {5'000};
constexpr Duration LoopInterval {10};

class AgentStopTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_stop.deadline = Start + StopTime;
        m_agent.load.openFlows = 30;
    }

    /// Takes steps until the agent ends or `until`. Returns when it ended.
    std::optional<TimePoint> runUntil(TimePoint until)
    {
        for (; m_now < until; m_now += LoopInterval) {
            const auto step = nextStopStep(m_stop, m_agent, m_now);
            if (step == AgentStopStep::End)
                return m_now;
            m_checks += step == AgentStopStep::CheckTarget ? 1 : 0;
            m_announcements += step == AgentStopStep::AnnounceRestart ? 1 : 0;
        }
        return std::nullopt;
    }

    AgentRelay m_agent;
    AgentStop m_stop;
    TimePoint m_now = Start;
    int m_checks = 0;
    int m_announcements = 0;
};

// Open flows were reset because their agent, which was stopped for good, ended at once while its target still served them.
TEST_F(AgentStopTest, AgentRelaysWhileTargetServesOpenFlows)
{
    EXPECT_FALSE(runUntil(Start + Duration(4'990)));
    EXPECT_EQ(m_announcements, 0);
    EXPECT_EQ(m_checks, 10);
}

TEST_F(AgentStopTest, AgentEndsWhenTargetHasEnded)
{
    EXPECT_FALSE(runUntil(Start + Duration(1'000)));
    m_agent.load.state = TargetState::Closed;
    EXPECT_EQ(runUntil(Start + StopTime), Start + Duration(1'000));
    EXPECT_EQ(m_announcements, 0);
}

// The process would be killed without an announcement of the restart.
TEST_F(AgentStopTest, AgentAnnouncesRestartAtDeadlineAndEnds)
{
    const auto endedAt = runUntil(Start + Duration(6'000));
    ASSERT_TRUE(endedAt);
    EXPECT_GE(*endedAt, Start + StopTime);
    EXPECT_LE(*endedAt, Start + StopTime + Duration(200));
    EXPECT_EQ(m_announcements, 3);
}

TEST_F(AgentStopTest, AgentWithoutOpenFlowsEndsAfterAnnouncements)
{
    m_agent.load.openFlows = 0;
    m_agent.hasCompleteFlowTable = true;
    const auto endedAt = runUntil(Start + StopTime);
    ASSERT_TRUE(endedAt);
    EXPECT_LE(*endedAt, Start + Duration(200));
    EXPECT_EQ(m_announcements, 3);
}

// An agent that was restarted shortly before does not know the quiet flows of its target, and must not end at once.
TEST_F(AgentStopTest, AgentThatMayLackFlowsRelaysUntilDeadline)
{
    m_agent.load.openFlows = 0;
    m_agent.startedAt = Start - Duration(10'000);
    EXPECT_FALSE(runUntil(Start + Duration(4'990)));
    EXPECT_EQ(m_announcements, 0);
}

// Entry daemons would wait for a restart of an agent whose target has ended.
TEST_F(AgentStopTest, RefusedPortIsConfirmedBeforeAnnouncement)
{
    m_agent.load.openFlows = 0;
    m_agent.hasCompleteFlowTable = true;
    m_agent.portRefusedAt = Start;
    EXPECT_FALSE(runUntil(Start + Duration(300)));
    EXPECT_EQ(m_announcements, 0);
}

} // namespace

} // namespace Papaya
