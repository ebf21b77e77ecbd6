#include "LibTransport/DaemonProgram.h"
#include "LibTransport/LoopMonitor.h"
#include "LibTransport/MessageGuard.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <stdexcept>

namespace Papaya {

namespace {

constexpr std::chrono::seconds AnswerTimeout {5};

/// What the test reads of a task while it runs.
struct TaskProgress {
    std::atomic<int> ticks = 0;
    std::atomic<bool> hasEnded = false;
};

/// A main task that answers statuses, fails on explanations, and has no handler for a KnowledgeRequest.
class GuardedTask : public caf::blocking_actor
{
public:
    GuardedTask(caf::actor_config &config, std::shared_ptr<TaskProgress> progress)
        : caf::blocking_actor(config)
        , m_progress(std::move(progress))
    {
    }

    void act() override
    {
        while (!m_isStopped) {
            await_data();
            drainMailbox(
                *this,
                m_guard,
                [&](Tick) {
                    ++m_progress->ticks;
                    throw std::runtime_error("tick");
                },
                answerRequest<StatusRequest>(m_guard,
                                             [&](const StatusRequest &) {
                                                 StatusReport report;
                                                 report.statusJson = std::to_string(m_guard.unexpectedCount()) + "/"
                                                                     + std::to_string(m_guard.exceptionCount());
                                                 return report;
                                             }),
                answerRequest<ExplainRequest>(m_guard,
                                              [](const ExplainRequest &) -> ExplainReport { throw std::runtime_error("explanation"); }),
                [&](Stop) { m_isStopped = true; });
        }
        m_progress->hasEnded = true;
    }

private:
    std::shared_ptr<TaskProgress> m_progress;
    MessageGuard m_guard;
    bool m_isStopped = false;
};

class MessageGuardTest : public testing::Test
{
protected:
    /// Sends a request and returns whether it was answered with an error.
    template <typename Reply, typename Request>
    bool failsAtOnce(Request request)
    {
        bool hasFailed = false;
        m_self->request(m_task, AnswerTimeout, std::move(request))
            .receive([](const Reply &) {}, [&](const caf::error &error) { hasFailed = error != caf::sec::request_timeout; });
        return hasFailed;
    }

    std::string status()
    {
        std::string text;
        m_self->request(m_task, AnswerTimeout, StatusRequest {})
            .receive([&](const StatusReport &report) { text = report.statusJson; }, [](const caf::error &) {});
        return text;
    }

    caf::actor_system_config m_configuration = makeActorConfiguration();
    caf::actor_system m_system {m_configuration};
    caf::scoped_actor m_self {m_system};
    std::shared_ptr<TaskProgress> m_progress = std::make_shared<TaskProgress>();
    caf::actor m_task = m_system.spawn<GuardedTask, caf::detached>(m_progress);
};

// Guards against a main task that a peer's request stops for good: the message had no handler, so the mailbox was never empty again.
TEST_F(MessageGuardTest, RequestWithoutHandlerIsAnsweredWithErrorAndTaskGoesOn)
{
    EXPECT_TRUE(failsAtOnce<KnowledgeReport>(KnowledgeRequest {}));
    EXPECT_TRUE(failsAtOnce<KnowledgeReport>(KnowledgeRequest {}));
    EXPECT_EQ(status(), "2/0");
    m_self->send(m_task, Stop {});
    m_self->wait_for(m_task);
    EXPECT_TRUE(m_progress->hasEnded);
}

// Guards against a main task that ends with an exception of a handler, while its process stays alive.
TEST_F(MessageGuardTest, ExceptionInHandlerIsErrorAnswerAndTaskGoesOn)
{
    EXPECT_TRUE(failsAtOnce<ExplainReport>(ExplainRequest {}));
    m_self->send(m_task, Tick {});
    EXPECT_EQ(status(), "0/2");
    EXPECT_EQ(m_progress->ticks, 1);
    m_self->send(m_task, Stop {});
    m_self->wait_for(m_task);
    EXPECT_TRUE(m_progress->hasEnded);
}

// Guards against a live process whose main task is dead: nothing would start it again.
TEST(LoopMonitor, MainTaskThatNoLongerTurnsIsStalledAndThenDead)
{
    LoopMonitor monitor;
    monitor.recordTurn();
    EXPECT_EQ(monitor.poll(), LoopMonitor::State::Turning);
    for (int poll = 1; poll < LoopMonitor::StalledPolls; ++poll)
        EXPECT_EQ(monitor.poll(), LoopMonitor::State::Turning);
    EXPECT_EQ(monitor.poll(), LoopMonitor::State::Stalled);
    EXPECT_EQ(monitor.state(), LoopMonitor::State::Stalled);
    for (int poll = LoopMonitor::StalledPolls + 1; poll < LoopMonitor::DeadPolls; ++poll)
        EXPECT_EQ(monitor.poll(), LoopMonitor::State::Stalled);
    EXPECT_EQ(monitor.poll(), LoopMonitor::State::Dead);
}

// Guards against a daemon that ends because its machine was paused or slow: it has no polls then, and one turn in many polls.
TEST(LoopMonitor, PauseOrSlowMachineIsNoStall)
{
    LoopMonitor monitor;
    for (int round = 0; round < 100; ++round) {
        monitor.recordTurn();
        for (int poll = 0; poll < LoopMonitor::StalledPolls; ++poll)
            EXPECT_EQ(monitor.poll(), LoopMonitor::State::Turning);
    }
}

} // namespace

} // namespace Papaya
