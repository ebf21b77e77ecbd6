#include "LibEmulator/RelaySimulation.h"

#include <gtest/gtest.h>

/// Scenarios with one kind of disruption or planned work each, together with planned restarts of the entry daemons, after which
/// they have to search for the targets of open flows.
namespace Papaya::Emulator {

namespace {

constexpr Endpoint LedgerAddress {0xc6120001, 443};
constexpr Endpoint OrdersAddress {0xc6120002, 443};
constexpr std::size_t LedgerTargets = 6;
constexpr std::uint64_t SeedCount = 10;
constexpr std::uint64_t LargeSeedCount = 2;
constexpr Duration CallerTime {20'000};
constexpr Duration RunTime {24'000};
/// The time of one iteration of a slow daemon, just below the threshold at which an entry daemon detects a pause.
constexpr Duration SlowIterationTime {300};
/// With the larger batches a slow daemon handles every message late. With the smaller ones it receives more messages than it handles.
constexpr std::size_t SlowBatchSize = 64;
constexpr std::size_t OverloadedBatchSize = 8;

SimulationOptions makeOptions(std::uint64_t seed, std::size_t scale)
{
    SimulationOptions options;
    options.seed = seed;
    options.entryDaemons = 5 * scale;
    options.targets = makeTargets("ledger", LedgerTargets * scale, {});
    const auto orders = makeTargets("orders", 4 * scale, {});
    options.targets.insert(options.targets.end(), orders.begin(), orders.end());
    options.routes = {makeRoute(LedgerAddress, "ledger"), makeRoute(OrdersAddress, "orders")};
    options.routes[1].isIdempotent = false;
    const auto factor = static_cast<double>(scale);
    options.kinds = {
        {"feed", LedgerAddress, true, true, 80 * factor, 60, Duration(250), Duration(1'500)},
        {"order", OrdersAddress, false, true, 20 * factor, 60, Duration(500), Duration(3'000)},
    };
    return options;
}

class FlowRuleSeeds : public testing::TestWithParam<std::uint64_t>
{
protected:
    FlowRuleSeeds()
        : m_simulation(makeOptions(GetParam(), 1))
    {
        m_simulation.startCallers(CallerTime);
    }

    /// Schedules planned restarts of all entry daemons.
    void restartEntries(Duration at, Duration gap)
    {
        for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
            m_simulation.schedule(at + gap * static_cast<Duration::rep>(entry),
                                  [this, entry] { m_simulation.restartEntryGracefully(entry); });
    }

    /// Schedules planned restarts of all agents.
    void restartAgents(Duration at, Duration gap, Duration downTime)
    {
        for (std::size_t agent = 0; agent < m_simulation.targetCount(); ++agent)
            m_simulation.schedule(at + gap * static_cast<Duration::rep>(agent),
                                  [this, agent, downTime] { m_simulation.restartAgentGracefully(agent, downTime); });
    }

    /// Makes all entry daemons slow.
    void slowEntries(Duration at, std::size_t batchSize)
    {
        for (std::size_t entry = 0; entry < m_simulation.entryCount(); ++entry)
            m_simulation.schedule(at, [this, entry, batchSize] { m_simulation.setEntryPace(entry, SlowIterationTime, batchSize); });
    }

    /// Makes all agents slow.
    void slowAgents(Duration at, std::size_t batchSize)
    {
        for (std::size_t agent = 0; agent < m_simulation.targetCount(); ++agent)
            m_simulation.schedule(at, [this, agent, batchSize] { m_simulation.setAgentPace(agent, SlowIterationTime, batchSize); });
    }

    /// Runs the simulation and checks that no request ran at a wrong service or twice without being idempotent, and that every open
    /// flow stayed at its target.
    void runAndExpectFlowRule()
    {
        m_simulation.run(RunTime);
        const auto &rule = m_simulation.checkFlowRule();
        EXPECT_EQ(m_simulation.misroutedRequests(), 0U);
        EXPECT_EQ(m_simulation.duplicateRequests(), 0U);
        EXPECT_EQ(rule.resetFlows().size(), 0U) << m_simulation.brokenFlowEvents();
        EXPECT_EQ(rule.misdirectedFlows().size(), 0U) << m_simulation.brokenFlowEvents();
        EXPECT_GT(m_simulation.decisionCount(RelayReason::SearchFound), 0U);
    }

    RelaySimulation m_simulation;
};

// Guards against resets while the agent of a target is being restarted.
TEST_P(FlowRuleSeeds, PlannedRestartsOfAgentsBreakNoFlow)
{
    restartAgents(Duration(3'000), Duration(600), Duration(300));
    restartEntries(Duration(4'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against resets while the agent of a target is being restarted and starts late.
TEST_P(FlowRuleSeeds, LongPlannedRestartsOfAgentsBreakNoFlow)
{
    restartAgents(Duration(3'000), Duration(600), Duration(2'500));
    restartEntries(Duration(4'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against resets by entry daemons that keep taking an agent for unreachable after it is running again.
TEST_P(FlowRuleSeeds, KilledAgentsBreakNoFlowOnceTheyRun)
{
    for (std::size_t agent = 0; agent < m_simulation.targetCount(); agent += 2) {
        m_simulation.schedule(Duration(3'000), [this, agent] { m_simulation.killAgent(agent); });
        m_simulation.schedule(Duration(5'000), [this, agent] { m_simulation.startAgent(agent); });
    }
    restartEntries(Duration(8'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against resets while answers of agents wait unread in an entry daemon that is short of processor time.
TEST_P(FlowRuleSeeds, SlowEntryDaemonsBreakNoFlow)
{
    slowEntries(Duration(3'000), SlowBatchSize);
    restartEntries(Duration(4'000), Duration(900));
    restartAgents(Duration(4'000), Duration(500), Duration(300));
    runAndExpectFlowRule();
}

// Guards against resets while queries wait unread in agents that are short of processor time.
TEST_P(FlowRuleSeeds, SlowAgentsBreakNoFlow)
{
    slowAgents(Duration(3'000), SlowBatchSize);
    restartEntries(Duration(4'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against resets, and against repeated probes, while datagrams wait for seconds in an entry daemon's sockets.
TEST_P(FlowRuleSeeds, OverloadedEntryDaemonsBreakNoFlow)
{
    slowEntries(Duration(3'000), OverloadedBatchSize);
    restartEntries(Duration(4'000), Duration(900));
    restartAgents(Duration(4'000), Duration(500), Duration(300));
    runAndExpectFlowRule();
}

// Guards against repeated probes while datagrams wait for seconds in an agent's sockets.
TEST_P(FlowRuleSeeds, OverloadedAgentsBreakNoFlow)
{
    slowAgents(Duration(3'000), OverloadedBatchSize);
    restartEntries(Duration(4'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against a reset because one query, answer or announcement was lost.
TEST_P(FlowRuleSeeds, LostDatagramsBreakNoFlow)
{
    m_simulation.schedule(Duration(3'000), [this] { m_simulation.setLossRate(0.02); });
    restartEntries(Duration(4'000), Duration(900));
    restartAgents(Duration(4'000), Duration(500), Duration(300));
    runAndExpectFlowRule();
}

// Guards against resets by entry daemons that start while entries of targets have lapsed in the store.
TEST_P(FlowRuleSeeds, EntriesThatLapseDuringAnOutageBreakNoFlow)
{
    m_simulation.schedule(Duration(5'000), [this] { m_simulation.setStoreReachable(false); });
    for (std::size_t target = 0; target < m_simulation.targetCount(); ++target) {
        if ((target + GetParam()) % 3 == 0)
            continue;
        const auto absence = Duration(300 + 200 * static_cast<Duration::rep>(target));
        m_simulation.schedule(Duration(7'900), [this, target, absence] { m_simulation.withdrawTemporarily(target, absence); });
    }
    m_simulation.schedule(Duration(8'000), [this] { m_simulation.setStoreReachable(true); });
    restartEntries(Duration(5'300), Duration(300));
    restartEntries(Duration(11'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against resets after the store was restored: new targets are missing for a while, and former ones are listed.
TEST_P(FlowRuleSeeds, RestoredStoreBreaksNoFlow)
{
    m_simulation.schedule(Duration(3'000), [this] {
        auto options = m_simulation.target(0).options();
        for (const auto *name : {"new-0", "new-1", "new-2"}) {
            options.name = name;
            m_simulation.addTarget(options);
        }
        m_simulation.drainTarget(1);
    });
    m_simulation.schedule(Duration(7'000), [this] { m_simulation.endTarget(1); });
    m_simulation.schedule(Duration(8'000), [this] { m_simulation.setStoreReachable(false); });
    m_simulation.schedule(Duration(10'000), [this] {
        m_simulation.restoreStore(Duration(8'000));
        m_simulation.setStoreReachable(true);
    });
    restartEntries(Duration(6'500), Duration(700));
    restartEntries(Duration(12'000), Duration(700));
    runAndExpectFlowRule();
}

// Guards against resets of open flows at targets that drain for many seconds.
TEST_P(FlowRuleSeeds, DrainingTargetsKeepTheirFlows)
{
    for (std::size_t target = 0; target < 3; ++target) {
        m_simulation.schedule(Duration(4'000), [this, target] { m_simulation.drainTarget(target); });
        m_simulation.schedule(Duration(14'000), [this, target] { m_simulation.endTarget(target); });
    }
    restartEntries(Duration(4'500), Duration(900));
    restartAgents(Duration(4'500), Duration(700), Duration(300));
    runAndExpectFlowRule();
}

// Guards against resets of flows at targets that an entry daemon started without: the store was unreachable.
TEST_P(FlowRuleSeeds, ListsOfOtherEntryDaemonsBreakNoFlow)
{
    m_simulation.schedule(Duration(3'000), [this] {
        auto options = m_simulation.target(0).options();
        for (const auto *name : {"new-0", "new-1"}) {
            options.name = name;
            m_simulation.addTarget(options);
        }
    });
    m_simulation.schedule(Duration(4'500), [this] { m_simulation.setStoreReachable(false); });
    m_simulation.schedule(Duration(14'000), [this] { m_simulation.setStoreReachable(true); });
    restartEntries(Duration(3'500), Duration(900));
    runAndExpectFlowRule();
}

// Guards against taking a new flow for an earlier one from the same port.
TEST_P(FlowRuleSeeds, ReusedPortsBreakNoFlow)
{
    m_simulation.callers().setPortReuseRate(1);
    for (std::size_t target = 0; target < 3; ++target)
        m_simulation.schedule(Duration(4'000 + 3'000 * static_cast<Duration::rep>(target)), [this, target] {
            m_simulation.crashTarget(target);
            m_simulation.restartTarget(target);
        });
    restartEntries(Duration(5'000), Duration(700));
    restartEntries(Duration(11'000), Duration(700));
    runAndExpectFlowRule();
}

// Guards against packets and resets for targets at addresses that targets of another service had before.
TEST_P(FlowRuleSeeds, ReusedAddressesBreakNoFlow)
{
    for (std::size_t number = 0; number < 3; ++number) {
        const auto at = Duration(3'000 + 1'500 * static_cast<Duration::rep>(number));
        const auto index = number % 2 == 0 ? number : LedgerTargets + number;
        const auto donor = number % 2 == 0 ? LedgerTargets : 0;
        m_simulation.schedule(at, [this, index] { m_simulation.drainTarget(index); });
        m_simulation.schedule(at + Duration(4'000), [this, index] { m_simulation.endTarget(index); });
        m_simulation.schedule(at + Duration(4'400), [this, index, donor, number] {
            auto options = m_simulation.target(donor).options();
            options.name = "successor-" + std::to_string(number);
            m_simulation.replaceTarget(index, options);
        });
    }
    restartEntries(Duration(5'000), Duration(900));
    restartEntries(Duration(11'000), Duration(900));
    runAndExpectFlowRule();
}

// Guards against resets by an entry daemon whose only list lacks targets, as it started between two outages of the store.
TEST_P(FlowRuleSeeds, EntryDaemonsThatStartBetweenTwoOutagesBreakNoFlow)
{
    m_simulation.schedule(Duration(5'000), [this] { m_simulation.setStoreReachable(false); });
    for (std::size_t target = 0; target < m_simulation.targetCount(); ++target) {
        if ((target + GetParam()) % 3 != 0)
            m_simulation.schedule(Duration(6'900), [this, target] { m_simulation.withdrawTemporarily(target, Duration(1'500)); });
    }
    m_simulation.schedule(Duration(7'000), [this] { m_simulation.setStoreReachable(true); });
    m_simulation.schedule(Duration(7'200), [this] { m_simulation.setStoreReachable(false); });
    m_simulation.schedule(Duration(14'000), [this] { m_simulation.setStoreReachable(true); });
    // A daemon starts 2.5 s after its restart began.
    for (std::size_t entry = 0; entry < 3; ++entry)
        m_simulation.schedule(Duration(4'500 + 30 * static_cast<Duration::rep>(entry)),
                              [this, entry] { m_simulation.restartEntryGracefully(entry); });
    runAndExpectFlowRule();
}

// Guards against searches that leave out the targets of a former service, because their entries were written again.
TEST_P(FlowRuleSeeds, TargetsOfAFormerServiceThatAreListedAgainBreakNoFlow)
{
    const auto ledger = makeRoute(LedgerAddress, "ledger");
    auto orders = makeRoute(OrdersAddress, "orders");
    orders.isIdempotent = false;
    m_simulation.schedule(Duration(2'000), [this, orders] { m_simulation.publishRoutes({makeRoute(LedgerAddress, "orders"), orders}); });
    m_simulation.schedule(Duration(4'000), [this, ledger, orders] { m_simulation.publishRoutes({ledger, orders}); });
    m_simulation.schedule(Duration(5'500), [this] { m_simulation.setStoreReachable(false); });
    for (std::size_t target = LedgerTargets; target < m_simulation.targetCount(); ++target)
        m_simulation.schedule(Duration(6'900), [this, target] { m_simulation.withdrawTemporarily(target, Duration(1'000)); });
    m_simulation.schedule(Duration(7'000), [this] { m_simulation.setStoreReachable(true); });
    restartEntries(Duration(7'000), Duration(700));
    runAndExpectFlowRule();
}

INSTANTIATE_TEST_SUITE_P(Seeds, FlowRuleSeeds, testing::Range<std::uint64_t>(1, SeedCount + 1));

class LargeFlowRuleSeeds : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against resets in a system of 20 entry daemons and 40 targets after half of the entry daemons were frozen.
TEST_P(LargeFlowRuleSeeds, FreezesAndRestartsBreakNoFlow)
{
    RelaySimulation simulation(makeOptions(GetParam(), 4));
    simulation.startCallers(CallerTime);
    for (std::size_t entry = 0; entry < simulation.entryCount(); ++entry) {
        const auto number = static_cast<Duration::rep>(entry);
        if (entry % 2 == 0) {
            simulation.schedule(Duration(4'000), [&, entry] { simulation.freezeEntry(entry); });
            simulation.schedule(Duration(7'000), [&, entry] { simulation.thawEntry(entry); });
        }
        simulation.schedule(Duration(7'500 + 300 * number), [&, entry] { simulation.restartEntryGracefully(entry); });
    }
    for (std::size_t agent = 0; agent < simulation.targetCount(); ++agent)
        simulation.schedule(Duration(6'000 + 250 * static_cast<Duration::rep>(agent)),
                            [&, agent] { simulation.restartAgentGracefully(agent, Duration(400)); });
    simulation.run(RunTime);
    const auto &rule = simulation.checkFlowRule();
    EXPECT_EQ(simulation.duplicateRequests(), 0U);
    EXPECT_EQ(rule.resetFlows().size(), 0U) << simulation.brokenFlowEvents();
    EXPECT_EQ(rule.misdirectedFlows().size(), 0U) << simulation.brokenFlowEvents();
    EXPECT_GT(simulation.decisionCount(RelayReason::SearchFound), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LargeFlowRuleSeeds, testing::Range<std::uint64_t>(1, LargeSeedCount + 1));

} // namespace

} // namespace Papaya::Emulator
