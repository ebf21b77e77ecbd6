#include "SoakCallers.h"
#include "SoakPlan.h"
#include "StoreProxy.h"

#include "LibTransport/MonotonicClock.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <thread>

/// A soak test of the relaying daemons as processes, with faults at random times. The environment variable
/// PAPAYA_SOAK_SEEDS=FIRST-LAST replaces the default seeds, for manual runs.
namespace Papaya {

namespace {

constexpr std::uint16_t ProxyPort = 18'170;
constexpr std::size_t Flows = 30;
/// Time between SIGTERM and the new start of an entry daemon. A graceful stop takes 2.2 s.
constexpr Duration RestartTime {3'000};
/// An agent that is unavailable for this long may lose its flows. Resets are then allowed until ResetGracePeriod after the agent is
/// available again, so that callers have sent on every flow and received the resets.
constexpr Duration HarmlessAgentOutage {700};
constexpr Duration ResetGracePeriod {3'000};
constexpr Duration StepInterval {20};
/// Every flow must receive answers again within this time after the last fault. The users require recovery within twelve seconds.
constexpr Duration RecoveryTimeout {12'000};
constexpr Duration SettleTime {1'000};

/// Injects the faults at their times. Runs in a separate thread, since waiting for the exit of a process would block the callers.
class FaultRunner
{
public:
    FaultRunner(RelayDeployment &deployment, StoreProxy &proxy, SoakCallers &callers, const std::vector<SoakFault> &faults)
        : m_deployment(deployment)
        , m_proxy(proxy)
        , m_callers(callers)
    {
        for (const auto &fault : faults) {
            const bool isRestart = fault.kind == SoakFaultKind::RestartEntry;
            m_steps.emplace(fault.at, Step {fault, false});
            m_steps.emplace(fault.at + (isRestart ? RestartTime : fault.duration), Step {fault, true});
        }
    }

    void run()
    {
        const auto start = currentTime();
        for (const auto &[at, step] : m_steps) {
            while (currentTime() - start < at) {
                updateResetsAllowed();
                std::this_thread::sleep_for(StepInterval);
            }
            if (step.isEnd)
                end(step.fault);
            else
                begin(step.fault);
        }
        const auto end = currentTime();
        while (currentTime() - end < ResetGracePeriod) {
            updateResetsAllowed();
            std::this_thread::sleep_for(StepInterval);
        }
    }

private:
    struct Step {
        SoakFault fault;
        bool isEnd = false;
    };

    static std::string nameOf(const SoakFault &fault)
    {
        const bool isAgentFault = fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent;
        return (isAgentFault ? "agent-" : "entry-") + std::to_string(fault.index);
    }

    void begin(const SoakFault &fault)
    {
        const auto name = nameOf(fault);
        switch (fault.kind) {
        case SoakFaultKind::KillAgent:
            m_unavailableSince.try_emplace(name, currentTime());
            kill(name);
            break;
        case SoakFaultKind::KillEntry:
            kill(name);
            break;
        case SoakFaultKind::PauseAgent:
            m_unavailableSince.try_emplace(name, currentTime());
            m_deployment.signal(name, SIGSTOP);
            break;
        case SoakFaultKind::PauseEntry:
            m_deployment.signal(name, SIGSTOP);
            break;
        case SoakFaultKind::RestartEntry:
            m_deployment.signal(name, SIGTERM);
            break;
        case SoakFaultKind::LossyFabric:
            m_callers.setLossy(true);
            break;
        case SoakFaultKind::ChangeRoutes:
            m_deployment.publishRoutes(1 + fault.index);
            break;
        default:
            m_proxy.setMode(modeOf(fault.kind));
            break;
        }
    }

    void end(const SoakFault &fault)
    {
        const auto name = nameOf(fault);
        switch (fault.kind) {
        case SoakFaultKind::KillEntry:
        case SoakFaultKind::KillAgent:
            restart(name);
            break;
        case SoakFaultKind::PauseEntry:
        case SoakFaultKind::PauseAgent:
            m_deployment.signal(name, SIGCONT);
            break;
        case SoakFaultKind::RestartEntry:
            m_deployment.signal(name, SIGCONT);
            if (m_deployment.isRunning(name))
                m_deployment.waitForExit(name);
            restart(name);
            break;
        case SoakFaultKind::LossyFabric:
            m_callers.setLossy(false);
            break;
        case SoakFaultKind::ChangeRoutes:
            m_deployment.publishRoutes(0);
            break;
        default:
            m_proxy.setMode(ProxyMode::Pass);
            break;
        }
        if (fault.kind == SoakFaultKind::KillAgent || fault.kind == SoakFaultKind::PauseAgent)
            m_unavailableSince.erase(name);
    }

    static ProxyMode modeOf(SoakFaultKind kind)
    {
        switch (kind) {
        case SoakFaultKind::StoreDelayed:
            return ProxyMode::Delayed;
        case SoakFaultKind::StoreSilent:
            return ProxyMode::Silent;
        case SoakFaultKind::StoreOneWay:
            return ProxyMode::OneWay;
        default:
            return ProxyMode::Reset;
        }
    }

    void kill(const std::string &name)
    {
        if (!m_deployment.isRunning(name))
            return;
        m_deployment.signal(name, SIGKILL);
        m_deployment.waitForExit(name);
    }

    void restart(const std::string &name)
    {
        if (!m_deployment.isRunning(name))
            m_deployment.start(name);
    }

    /// Allows resets while an agent has been unavailable for HarmlessAgentOutage or longer, and for ResetGracePeriod after the end of
    /// its outage.
    void updateResetsAllowed()
    {
        const auto now = currentTime();
        for (const auto &[name, since] : m_unavailableSince) {
            if (now - since >= HarmlessAgentOutage)
                m_resetsAllowedUntil = now + ResetGracePeriod;
        }
        m_callers.setResetsAllowed(now < m_resetsAllowedUntil);
    }

    RelayDeployment &m_deployment;
    StoreProxy &m_proxy;
    SoakCallers &m_callers;
    std::multimap<Duration, Step> m_steps;
    std::map<std::string, TimePoint> m_unavailableSince;
    TimePoint m_resetsAllowedUntil;
};

/// Seed 1 as the default, and each seed that has failed:
/// 2: an entry daemon was paused after it had sent a query to an agent. When the entry daemon resumed, it treated the agent as
/// unreachable before it had read the agent's answer.
const std::vector<std::uint64_t> RegressionSeeds {1, 2};

std::vector<std::uint64_t> soakSeeds()
{
    const auto *text = std::getenv("PAPAYA_SOAK_SEEDS");
    if (text == nullptr)
        return RegressionSeeds;
    char *rest = nullptr;
    const auto first = std::strtoull(text, &rest, 10);
    const auto last = *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first;
    std::vector<std::uint64_t> seeds;
    for (auto seed = first; seed <= last; ++seed)
        seeds.push_back(seed);
    return seeds;
}

class RelaySoak : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(RelaySoak, RandomFaultsBreakNoFlowAndAllFlowsRecover)
{
    const SoakSize size;
    const auto faults = generateSoakFaults(GetParam(), size);
    StoreProxy proxy(RelayDeployment::storeAddress(ProxyPort), RelayDeployment::storeAddress(EntryOptions {}.storePort));
    RelayDeployment deployment(PAPAYA_PROGRAMS, size.entries, {{"ledger", 3}, {"catalogue", 2}}, {PeerList::Configured, ProxyPort});
    SoakCallers callers(deployment, GetParam(), Flows);
    callers.run(SettleTime);
    FaultRunner runner(deployment, proxy, callers, faults);
    std::atomic<bool> isDone = false;
    std::thread thread([&] {
        runner.run();
        isDone = true;
    });
    while (!isDone)
        callers.run(SettleTime / 10);
    thread.join();
    const auto answered = callers.awaitAnswersOnAllFlows(RecoveryTimeout);
    const auto &outcome = callers.outcome();
    EXPECT_EQ(answered, callers.flowCount());
    EXPECT_EQ(outcome.wrongAnswers, 0U);
    EXPECT_EQ(outcome.brokenFlows, 0U);
    EXPECT_GT(outcome.answers, Flows);
    std::cout << "seed=" << GetParam() << " answers=" << outcome.answers << " resets=" << outcome.resets << "\n";
    if (!HasFailure())
        return;
    std::cout << "logs=" << deployment.folder() << "\n";
    for (const auto &fault : faults)
        std::cout << describe(fault) << "\n";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelaySoak, testing::ValuesIn(soakSeeds()), testing::PrintToStringParamName());

} // namespace

} // namespace Papaya
