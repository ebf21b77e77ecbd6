#include "LibCoordination/EntryRelayFixture.h"

namespace Papaya {

using namespace EntryTest;

namespace {

TEST_F(EntrySearchTest, UnconfirmedFlowIsSearchedForWhenTargetReturnsPacket)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeSyn(), 0);
    const auto first = lastAgent();
    receive(makeData(501), 4);
    m_output.sent.clear();
    notify(first, NoticeKind::Returned, 6, makeData(501));
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_TRUE(std::any_of(m_output.sent.begin(), m_output.sent.end(), [&](const auto &sent) { return sent.agent != agentOf(first); }));
}

TEST_F(EntrySearchTest, UnknownFlowIsForwardedToTargetThatHoldsIt)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 1'000);
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Search);
    notify(1, NoticeKind::Denied, 1'002);
    notify(2, NoticeKind::Held, 1'002);
    receive(makeData(502), 1'010);
    EXPECT_EQ(lastAgent(), 2U);
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Forward);
}

TEST_F(EntrySearchTest, SearchWaitsForSilentAgentUntilTargetTerminates)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 1'000);
    notify(1, NoticeKind::Denied, 1'002);
    receive(makeData(501), 2'000);
    EXPECT_TRUE(m_output.resets.empty());
    (void)applyWithdrawn(m_entry.directory, makeTarget(2).id, at(2'100));
    tickUntil(2'100, 5'000);
    EXPECT_TRUE(m_output.resets.empty());
    tickUntil(5'100, 5'400);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

// The target that holds the flow gets the packets that were buffered after its probe may have been lost.
TEST_F(EntrySearchTest, HeldFlowGetsAllPacketsAfterRepeatedSearch)
{
    publish(makeTarget(1));
    receive(makeData(501), 2'000);
    tickUntil(2'100, 2'200);
    m_output.sent.clear();
    answer(agentOf(1), FlowVerdict::Held, 2'210);
    ASSERT_EQ(m_output.sent.size(), 1U);
    EXPECT_EQ(m_output.sent.front().purpose, EnvelopePurpose::Forward);
}

TEST_F(EntrySearchTest, SearchRunsInRoundsWithinBandwidth)
{
    constexpr std::uint32_t Targets = 50;
    for (std::uint32_t number = 1; number <= Targets; ++number)
        publish(makeTarget(number));
    receive(makeData(501), 1'000);
    EXPECT_EQ(m_output.sent.size(), m_entry.weights.candidates);
    for (std::size_t index = 0; index < m_entry.weights.candidates; ++index)
        notify(m_output.sent[index].agent.address - 0x0a020000, NoticeKind::Denied, 1'002);
    EXPECT_EQ(m_output.queries.size(), Targets);
    EXPECT_EQ(m_output.sent.size(), Targets);

    // After a restart of the whole system every caller's packet starts a search on a link of low bandwidth.
    m_entry.searchBandwidth = makeTokenBucket(2'000, Duration(1'000));
    m_output.sent.clear();
    for (std::uint16_t port = 1; port <= 100; ++port) {
        auto data = makeData(501);
        data.flow.caller.port = port;
        receive(data, 2'000);
    }
    EXPECT_LE(m_output.sent.size(), 2'000U / 100);
}

TEST_F(EntrySearchTest, SearchesForManyLostFlowsShareQueries)
{
    m_entry.startedAt = LongAgo;
    constexpr std::uint32_t Targets = 42;
    constexpr std::uint16_t Flows = 60;
    for (std::uint32_t number = 1; number <= Targets; ++number)
        publish(makeTarget(number));
    // After a power loss of the whole system the callers of all flows send within a few milliseconds.
    for (std::uint16_t port = 1; port <= Flows; ++port) {
        auto data = makeData(501);
        data.flow.caller.port = port;
        receive(data, 2'000);
    }
    const auto probes = std::exchange(m_output.sent, {});
    std::size_t queryCount = 0;
    for (std::size_t index = 0; index < probes.size(); ++index) {
        auto flow = Flow;
        flow.caller.port = static_cast<std::uint16_t>(1 + index / m_entry.weights.candidates);
        answer(probes[index].agent, FlowVerdict::Denied, 2'002, flow);
    }
    for (int time = 2'020; time <= 2'100; time += 20) {
        sendQueries(m_entry, at(time), m_output);
        for (const auto &[agent, query] : std::exchange(m_output.queries, {})) {
            ++queryCount;
            for (const auto &flow : query.flows)
                answer(agent, FlowVerdict::Denied, time + 2, flow);
        }
    }
    // Without shared queries each flow would take 38 datagrams.
    EXPECT_LE(queryCount, std::size_t {3} * Targets);
    EXPECT_EQ(m_output.resets.size(), std::size_t {Flows});
}

TEST_F(EntrySearchTest, IdempotentFlowIsResetWhenAllReachableAgentsDenyIt)
{
    m_entry.startedAt = LongAgo;
    // After a power loss of the whole system a VM that was leaving does not start again, but its target is still listed.
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    publish(makeTarget(2));
    onReport(m_entry, agentOf(2), {hashOf("ledger"), {}}, at(1'500), m_output);
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    tickUntil(2'100, 3'800);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(lastAgent(), 2U);
    tickUntil(3'900, 4'100);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    EXPECT_TRUE(m_output.hasRecorded(RelayReason::AgentUnreachable));

    // The next flow does not wait for the unreachable agent.
    auto next = makeData(777);
    next.flow.caller.port = 2;
    receive(next, 4'100);
    onFlowDenied(m_entry, agentOf(1), next.flow, m_entry.flows.at(next.flow), at(4'102), m_output);
    EXPECT_EQ(m_output.resets.back(), 777U);
}

TEST_F(EntrySearchTest, ClosedReportOfDrainingTargetCountsAsDenial)
{
    m_entry.startedAt = LongAgo;
    publish(makeTarget(1));
    auto draining = makeTarget(2);
    draining.isDraining = true;
    publish(draining);
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    EXPECT_TRUE(m_output.resets.empty());
    onReport(m_entry, agentOf(2), {hashOf("ledger"), {0, 0, 0, TargetState::Closed}}, at(2'050), m_output);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    auto next = makeData(777);
    next.flow.caller.port = 2;
    receive(next, 2'100);
    EXPECT_EQ(lastAgent(), 1U);
    onFlowDenied(m_entry, agentOf(1), next.flow, m_entry.flows.at(next.flow), at(2'102), m_output);
    EXPECT_EQ(m_output.resets.back(), 777U);
}

// Failure: a daemon that started after an agent had announced its restart takes the agent for unreachable, although its target serves.
TEST_F(EntrySearchTest, AgentThatWasNeverHeardIsWaitedForLonger)
{
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    tickUntil(2'100, 4'400);
    EXPECT_TRUE(m_output.resets.empty());
    tickUntil(4'500, 4'700);
    EXPECT_EQ(m_output.resets.size(), 1U);
}

// Failure: the log line of the reset does not name the agent that did not answer.
TEST_F(EntrySearchTest, ResetOfSearchNamesUnreachableAgent)
{
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    tickUntil(2'100, 5'000);
    ASSERT_TRUE(m_output.hasRecorded(RelayReason::AgentUnreachable));
    EXPECT_EQ(m_output.lastDecidedAgent, agentOf(2));
}

// Failure: after a restart of the store a serving target is missing from its list, and its slow agent counts as unreachable.
TEST_F(EntrySearchTest, SlowAgentOfWithdrawnTargetIsWaitedFor)
{
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    (void)applyWithdrawn(m_entry.directory, makeTarget(2).id, at(2'010));
    tickUntil(2'100, 2'800);
    EXPECT_TRUE(m_output.resets.empty());
    answer(agentOf(2), FlowVerdict::Held, 2'850);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_entry.flows.at(Flow).agent, agentOf(2));
}

// Failure: callers are not told that a withdrawn target has ended with its VM.
TEST_F(EntrySearchTest, FlowOfWithdrawnTargetWithUnreachableAgentIsReset)
{
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    auto draining = makeTarget(2);
    draining.isDraining = true;
    publish(draining);
    onReport(m_entry, agentOf(2), {hashOf("ledger"), {}}, at(1'500), m_output);
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    (void)applyWithdrawn(m_entry.directory, draining.id, at(2'210));
    tickUntil(2'100, 3'900);
    EXPECT_TRUE(m_output.resets.empty());
    tickUntil(4'000, 4'200);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

TEST_F(EntrySearchTest, NonIdempotentFlowIsNotResetWhenAgentIsUnreachable)
{
    publish(makeTarget(1));
    receive(makeData(501), 2'000);
    tickUntil(2'100, 4'000);
    EXPECT_TRUE(m_output.resets.empty());
}

TEST_F(EntrySearchTest, AnswerTimeoutsRestartAfterPauseOfDaemon)
{
    // The daemon sends a request and is paused for a second. When it continues, its clock is past the timeout before it has
    // read the answer.
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    tickUntil(1'700, 2'000);
    receive(makeData(501), 2'000);
    receive(makeData(501), 3'100);
    onEntryTick(m_entry, at(3'101), m_output);
    EXPECT_TRUE(m_output.resets.empty());
    notify(1, NoticeKind::Held, 3'102);
    tickUntil(3'200, 4'500);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_entry.flows.at(Flow).agent, agentOf(1));
}

// Failure: answers wait unread behind callers' packets, and the agent that sent them counts as unreachable.
TEST_F(EntrySearchTest, TimeoutExcludesAnswersThatAreNotReadYet)
{
    m_entry.routes.routes[ServiceAddress].isIdempotent = true;
    publish(makeTarget(1));
    tickUntil(1'700, 2'000);
    receive(makeData(501), 2'000);
    // The daemon never stops, but has no time to read its agents' datagrams.
    for (int time = 2'100; time <= 6'000; time += 100)
        onEntryTick(m_entry, at(time), m_output);
    EXPECT_TRUE(m_output.resets.empty());
    notify(1, NoticeKind::Held, 6'002);
    tickUntil(6'100, 7'000);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_entry.flows.at(Flow).agent, agentOf(1));
}

TEST_F(EntrySearchTest, TargetIsProbedWhenAgentAnswersUnknown)
{
    for (std::uint32_t number = 1; number <= 5; ++number)
        publish(makeTarget(number));
    receive(makeData(501), 2'000);
    for (std::size_t index = 0; index < m_entry.weights.candidates; ++index)
        answer(m_output.sent[index].agent, FlowVerdict::Denied, 2'002);
    ASSERT_EQ(m_output.queries.size(), m_entry.weights.candidates + 1);
    const auto last = m_output.queries.back().first;
    answer(last, FlowVerdict::Unknown, 2'004);
    EXPECT_EQ(m_output.sent.back().agent, last);
    EXPECT_TRUE(m_output.resets.empty());
    notify(last.address - 0x0a020000, NoticeKind::Held, 2'006);
    EXPECT_EQ(m_entry.flows.at(Flow).agent, last);
}

TEST_F(EntrySearchTest, DeniedFlowIsResetImmediatelyWhenTargetsArePropagated)
{
    m_entry.startedAt = LongAgo;
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    notify(2, NoticeKind::Denied, 2'002);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    EXPECT_EQ(m_output.refreshes, 0);
}

TEST_F(EntrySearchTest, AgentsOfOtherServicesAreQueriedForMaximumFlowAgeAfterStart)
{
    publish(makeTarget(1));
    publish(makeTarget(2, "catalogue"));
    auto plan = planSearch(m_entry, Flow, at(1'000));
    ASSERT_EQ(plan.agents.size(), 2U);
    EXPECT_TRUE(plan.agents[0].isRelated);
    EXPECT_FALSE(plan.agents[1].isRelated);
    // A target that was listed after the current routes were written cannot hold flows of earlier routes.
    auto later = makeTarget(3, "catalogue");
    later.listingRevision.number = 11;
    publish(later);
    EXPECT_EQ(planSearch(m_entry, Flow, at(1'000)).agents.size(), 2U);
    EXPECT_EQ(planSearch(m_entry, Flow, at(63'000)).agents.size(), 1U);
}

// Failure: a target whose entry expired and was written again counts as new, and is not asked for flows of earlier routes.
TEST_F(EntrySearchTest, SearchIncludesTargetThatWasListedAgain)
{
    publish(makeTarget(1));
    auto target = makeTarget(2, "catalogue");
    publish(target);
    (void)applyWithdrawn(m_entry.directory, target.id, at(500));
    target.listingRevision.number = 11;
    publish(target, 1'000);
    EXPECT_EQ(planSearch(m_entry, Flow, at(1'100)).agents.size(), 2U);
    // Another incarnation is new.
    target.incarnation = 2;
    publish(target, 1'200);
    EXPECT_EQ(planSearch(m_entry, Flow, at(1'300)).agents.size(), 1U);
}

// Failure: an entry daemon that started after a target's entry was written again does not ask it for flows of earlier routes.
TEST_F(EntrySearchTest, SearchAfterStartIncludesTargetThatMayHaveBeenListedAgain)
{
    m_entry.firstTargetListAsOf = Start;
    publish(makeTarget(1));
    auto target = makeTarget(2, "catalogue");
    target.listingRevision.number = 11;
    publish(target, 1'800);
    EXPECT_EQ(planSearch(m_entry, Flow, at(1'900)).agents.size(), 2U);
    // A target that has just started is new, and so is one that is listed later.
    auto started = makeTarget(3, "catalogue");
    started.listingRevision.number = 12;
    started.coldTime = Duration(3'000);
    publish(started, 1'900);
    auto later = makeTarget(4, "catalogue");
    later.listingRevision.number = 13;
    publish(later, 2'600);
    EXPECT_EQ(planSearch(m_entry, Flow, at(2'700)).agents.size(), 2U);
}

TEST_F(EntrySearchTest, SearchIncludesFormerServicesOfRoute)
{
    publish(makeTarget(1));
    publish(makeTarget(2, "catalogue"));
    RouteTable routes = m_entry.routes;
    routes.version = 2;
    routes.routes[ServiceAddress].services = {{hashOf("catalogue"), "catalogue", 1}};
    ASSERT_TRUE(setRoutes(m_entry, routes, at(0)));
    const auto plan = planSearch(m_entry, Flow, at(70'000));
    EXPECT_EQ(plan.agents.size(), 2U);
    EXPECT_TRUE(plan.agents[1].isRelated);
}

} // namespace

} // namespace Papaya
