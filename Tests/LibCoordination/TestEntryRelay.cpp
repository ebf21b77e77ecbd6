#include "LibCoordination/EntryRelay.h"
#include "LibCoordination/EntrySearch.h"
#include "LibCoordination/SearchPlan.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Papaya {

namespace {

constexpr Endpoint ServiceAddress {0xc6120001, 443};
constexpr Endpoint CallerAddress {0x64400007, 40'001};
constexpr FlowKey Flow {CallerAddress, ServiceAddress};
constexpr std::uint16_t AgentPort = 7'720;
constexpr TimePoint Start {Duration(100'000)};
const std::vector<std::byte> Packet(100);

TimePoint at(int milliseconds)
{
    return Start + Duration(milliseconds);
}

Endpoint agentOf(std::uint32_t number)
{
    return {0x0a020000 + number, AgentPort};
}

PublishedTarget makeTarget(std::uint32_t number, const std::string &service = "ledger")
{
    PublishedTarget target;
    target.name = service + std::to_string(number);
    target.id = hashOf(target.name);
    target.service = hashOf(service);
    target.agent = agentOf(number);
    target.application = {target.agent.address, 8'165};
    target.failureDomain = "a";
    target.slots = 5;
    target.incarnation = 1;
    target.listingRevision = 1;
    return target;
}

/// Notes what the entry daemon does.
struct Recorder : EntryOutput {
    struct Sent {
        Endpoint agent;
        EnvelopePurpose purpose;
    };

    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override { sent.push_back({agent, envelope.purpose}); }
    void sendQuery(const Endpoint &agent, const RelayQuery &query) override
    {
        sent.push_back({agent, EnvelopePurpose::Search});
        queries.emplace_back(agent, query);
    }
    void resetCaller(const FlowKey &, std::uint32_t sequence) override { resets.push_back(sequence); }
    void refreshTargets() override { ++refreshes; }
    void noteDecision(const FlowKey &, RelayReason reason, const Endpoint &) override { reasons.push_back(reason); }

    [[nodiscard]] bool hasDecided(RelayReason reason) const { return std::find(reasons.begin(), reasons.end(), reason) != reasons.end(); }

    std::vector<Sent> sent;
    std::vector<std::pair<Endpoint, RelayQuery>> queries;
    std::vector<std::uint32_t> resets;
    std::vector<RelayReason> reasons;
    int refreshes = 0;
};

PacketSummary makeSyn(std::uint32_t copy = 0)
{
    PacketSummary summary;
    summary.flow = Flow;
    summary.isSyn = true;
    summary.acknowledgement = copy;
    return summary;
}

PacketSummary makeData(std::uint32_t acknowledgement)
{
    PacketSummary summary;
    summary.flow = Flow;
    summary.hasAcknowledgement = true;
    summary.acknowledgement = acknowledgement;
    summary.length = 10;
    return summary;
}

class EntryRelayTest : public testing::Test
{
protected:
    void SetUp() override
    {
        RouteTable routes;
        routes.version = 1;
        routes.changeRevision = 10;
        routes.routes[ServiceAddress] = {"route", ServiceAddress, {{hashOf("ledger"), "ledger", 1}}};
        m_entry.failureDomain = "a";
        m_entry.startedAt = Start;
        ASSERT_TRUE(setRoutes(m_entry, routes, Start));
        m_entry.hasTargetList = true;
        m_entry.watchingSince = Start;
        noteTargetsComplete(m_entry, Start);
    }

    void publish(const PublishedTarget &target, int milliseconds = 0) { (void)onPublished(m_entry, target, at(milliseconds), m_output); }
    void receive(const PacketSummary &summary, int milliseconds) { onCallerPacket(m_entry, summary, Packet, at(milliseconds), m_output); }

    void notify(std::uint32_t number,
                NoticeKind kind,
                int milliseconds,
                const std::optional<PacketSummary> &packet = {},
                std::uint32_t sequence = 0)
    {
        RelayNotice notice;
        notice.kind = kind;
        notice.flow = Flow;
        notice.service = hashOf("ledger");
        notice.sequence = sequence;
        if (packet)
            notice.packet = Packet;
        onNotice(m_entry, agentOf(number), notice, packet, at(milliseconds), m_output);
    }

    void answer(const Endpoint &agent, FlowVerdict verdict, int milliseconds, const FlowKey &flow = Flow)
    {
        onAnswer(m_entry, agent, {hashOf("ledger"), {}, {{flow, verdict}}}, at(milliseconds), m_output);
    }

    /// Ticks ten times a second, as a daemon does that is not paused.
    void tickUntil(int from, int until)
    {
        for (int time = from; time <= until; time += 100)
            onEntryTick(m_entry, at(time), m_output);
    }

    std::uint32_t lastAgent() const { return m_output.sent.back().agent.address - 0x0a020000; }

    EntryRelay m_entry;
    Recorder m_output;
};

TEST_F(EntryRelayTest, RefusesAnUnknownRouteAtOnce)
{
    auto syn = makeSyn();
    syn.flow.service.port = 444;
    receive(syn, 0);
    EXPECT_EQ(m_output.resets.size(), 1U);
    EXPECT_TRUE(m_output.hasDecided(RelayReason::UnknownRoute));
}

TEST_F(EntryRelayTest, RefusesAtOnceWhenNoTargetTakesNewFlows)
{
    auto target = makeTarget(1);
    target.isDraining = true;
    publish(target);
    receive(makeSyn(), 0);
    EXPECT_EQ(m_output.resets.size(), 1U);
    EXPECT_TRUE(m_output.hasDecided(RelayReason::NoTarget));
}

TEST_F(EntryRelayTest, RefusesASynWhileNothingIsKnownAndDropsTheRest)
{
    m_entry.hasTargetList = false;
    receive(makeData(7), 0);
    EXPECT_TRUE(m_output.resets.empty());
    receive(makeSyn(), 0);
    EXPECT_EQ(m_output.resets.size(), 1U);
}

TEST_F(EntryRelayTest, SendsARepeatedSynToAnotherTargetWhenTheFirstIsSilent)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeSyn(), 0);
    const auto first = lastAgent();
    receive(makeSyn(1), 200);
    EXPECT_NE(lastAgent(), first);
    EXPECT_GT(findByAgent(m_entry.directory, agentOf(first))->suspectUntil, at(200));
}

TEST_F(EntryRelayTest, SendsARepeatedSynToTheTargetThatAnswered)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeSyn(), 0);
    const auto first = lastAgent();
    notify(first, NoticeKind::Accepted, 5, {}, 500);
    receive(makeSyn(1), 200);
    EXPECT_EQ(lastAgent(), first);
}

TEST_F(EntryRelayTest, SettlesOnTheTargetWhoseHandshakeTheCallerCompletes)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeSyn(), 0);
    const auto first = lastAgent();
    receive(makeSyn(1), 200);
    const auto second = lastAgent();
    notify(second, NoticeKind::Accepted, 210, {}, 900);
    notify(first, NoticeKind::Accepted, 215, {}, 500);
    receive(makeData(501), 220);
    EXPECT_EQ(lastAgent(), first);
    EXPECT_TRUE(m_entry.flows.at(Flow).isConfirmed);
}

TEST_F(EntryRelayTest, TriesTheNextTargetWhenASynComesBackAndRefusesAfterTheLast)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeSyn(), 0);
    const auto first = lastAgent();
    notify(first, NoticeKind::Returned, 2, makeSyn());
    const auto second = lastAgent();
    EXPECT_NE(second, first);
    EXPECT_TRUE(m_output.resets.empty());
    notify(second, NoticeKind::Returned, 4, makeSyn());
    EXPECT_EQ(m_output.resets.size(), 1U);
    EXPECT_TRUE(m_output.hasDecided(RelayReason::AllReturned));
}

TEST_F(EntryRelayTest, PlacesAFlowAtABusyTargetWhenAllAreBusy)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeSyn(), 0);
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Place);
    notify(lastAgent(), NoticeKind::Busy, 2, makeSyn());
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Place);
    notify(lastAgent(), NoticeKind::Busy, 4, makeSyn());
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Forward);
    EXPECT_TRUE(m_output.resets.empty());
}

TEST_F(EntryRelayTest, ResetsAConfirmedFlowThatItsTargetLost)
{
    publish(makeTarget(1));
    receive(makeSyn(), 0);
    notify(1, NoticeKind::Accepted, 2, {}, 500);
    receive(makeData(501), 4);
    notify(1, NoticeKind::Returned, 6, makeData(501));
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

TEST_F(EntryRelayTest, AsksBeforeItResetsAFlowWhoseTargetWasOnlyAssumed)
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

TEST_F(EntryRelayTest, FindsAnUnknownFlowAndForwardsToItsTarget)
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

TEST_F(EntryRelayTest, ResetsAnUnknownFlowOnceAllDeniedAndTheTargetsAreCurrent)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 1'000);
    notify(1, NoticeKind::Denied, 1'002);
    notify(2, NoticeKind::Denied, 1'002);
    // A target that was listed a moment ago may hold the flow; the watch would have told of it by 1,150 ms.
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_output.refreshes, 1);
    onEntryTick(m_entry, at(1'200), m_output);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

TEST_F(EntryRelayTest, AsksATargetThatIsListedAfterAllOthersDenied)
{
    publish(makeTarget(1));
    m_entry.watchingSince.reset();
    receive(makeData(501), 1'000);
    notify(1, NoticeKind::Denied, 1'002);
    onEntryTick(m_entry, at(1'600), m_output);
    EXPECT_TRUE(m_output.resets.empty());
    publish(makeTarget(2), 1'700);
    noteTargetsComplete(m_entry, at(1'690));
    reviewVerdicts(m_entry, at(1'700), m_output);
    EXPECT_EQ(lastAgent(), 2U);
    notify(2, NoticeKind::Held, 1'702);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_entry.flows.at(Flow).agent, agentOf(2));
}

TEST_F(EntryRelayTest, WaitsForAnAgentThatDoesNotAnswerUntilItsTargetIsGone)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 1'000);
    notify(1, NoticeKind::Denied, 1'002);
    receive(makeData(501), 2'000);
    EXPECT_TRUE(m_output.resets.empty());
    (void)applyDeparted(m_entry.directory, makeTarget(2).id, at(2'100));
    receive(makeData(501), 5'200);
    onEntryTick(m_entry, at(5'400), m_output);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

TEST_F(EntryRelayTest, SearchesInRoundsAndWithinItsShareOfTheLink)
{
    constexpr std::uint32_t Targets = 50;
    for (std::uint32_t number = 1; number <= Targets; ++number)
        publish(makeTarget(number));
    receive(makeData(501), 1'000);
    EXPECT_EQ(m_output.sent.size(), m_entry.weights.candidates);
    for (std::size_t index = 0; index < m_entry.weights.candidates; ++index)
        notify(m_output.sent[index].agent.address - 0x0a020000, NoticeKind::Denied, 1'002);
    EXPECT_EQ(m_output.queries.size(), Targets - m_entry.weights.candidates);
    EXPECT_EQ(m_output.sent.size(), Targets);

    // The pattern: everything restarted, and every caller's packet starts a search on a thin link.
    m_entry.searchBytes = makeTokenBucket(2'000, Duration(1'000));
    m_output.sent.clear();
    for (std::uint16_t port = 1; port <= 100; ++port) {
        auto data = makeData(501);
        data.flow.caller.port = port;
        receive(data, 2'000);
    }
    EXPECT_LE(m_output.sent.size(), 2'000U / 100);
    EXPECT_TRUE(m_output.hasDecided(RelayReason::SearchDeferred));
}

TEST_F(EntryRelayTest, SharesQueriesAmongTheSearchesForManyDeadFlows)
{
    constexpr std::uint32_t Targets = 42;
    constexpr std::uint16_t Flows = 60;
    for (std::uint32_t number = 1; number <= Targets; ++number)
        publish(makeTarget(number));
    // The pattern: everything lost power, and the callers of all flows send within some milliseconds.
    for (std::uint16_t port = 1; port <= Flows; ++port) {
        auto data = makeData(501);
        data.flow.caller.port = port;
        receive(data, 2'000);
    }
    const auto offers = std::exchange(m_output.sent, {});
    std::size_t asked = 0;
    for (std::size_t index = 0; index < offers.size(); ++index) {
        auto flow = Flow;
        flow.caller.port = static_cast<std::uint16_t>(1 + index / m_entry.weights.candidates);
        answer(offers[index].agent, FlowVerdict::Denied, 2'002, flow);
    }
    for (int time = 2'020; time <= 2'100; time += 20) {
        sendQueries(m_entry, at(time), m_output);
        for (const auto &[agent, query] : std::exchange(m_output.queries, {})) {
            ++asked;
            for (const auto &flow : query.flows)
                answer(agent, FlowVerdict::Denied, time + 2, flow);
        }
    }
    // One by one they would have taken 38 datagrams each.
    EXPECT_LE(asked, std::size_t {3} * Targets);
    EXPECT_EQ(m_output.resets.size(), std::size_t {Flows});
}

TEST_F(EntryRelayTest, WaitsForASlowPlatformOnlyAWhileWhenRequestsMayBeRepeated)
{
    // The pattern: everything lost power, every target is new, and the store takes seconds for an answer.
    for (const bool isRepeatable : {false, true}) {
        m_entry = EntryRelay {};
        SetUp();
        m_output = Recorder {};
        m_entry.routes.routes[ServiceAddress].isRepeatable = isRepeatable;
        m_entry.watchingSince.reset();
        publish(makeTarget(1), 1'990);
        receive(makeData(501), 2'000);
        notify(1, NoticeKind::Denied, 2'002);
        tickUntil(2'100, 2'200);
        EXPECT_TRUE(m_output.resets.empty());
        tickUntil(2'300, 3'000);
        EXPECT_EQ(m_output.resets.size(), isRepeatable ? 1U : 0U);
    }
}

TEST_F(EntryRelayTest, ResetsADeadFlowThatOnlyAnUnreachableAgentHasNotDenied)
{
    // The pattern: everything lost power, and a VM that was leaving does not come back, though its target is still listed.
    m_entry.routes.routes[ServiceAddress].isRepeatable = true;
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    tickUntil(2'100, 2'800);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(lastAgent(), 2U);
    tickUntil(2'900, 3'100);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    EXPECT_TRUE(m_output.hasDecided(RelayReason::AgentUnreachable));

    // The next one does not wait for it.
    auto next = makeData(777);
    next.flow.caller.port = 2;
    receive(next, 3'100);
    onDenied(m_entry, agentOf(1), next.flow, m_entry.flows.at(next.flow), at(3'102), m_output);
    EXPECT_EQ(m_output.resets.back(), 777U);
}

TEST_F(EntryRelayTest, WaitsLessForAnAgentWhoseTargetHasLeft)
{
    // The pattern: targets are replaced one after the other, and callers still send on flows that everybody else denies.
    m_entry.routes.routes[ServiceAddress].isRepeatable = true;
    publish(makeTarget(1));
    auto leaving = makeTarget(2);
    leaving.isDraining = true;
    publish(leaving);
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    tickUntil(2'100, 2'200);
    EXPECT_TRUE(m_output.resets.empty());
    (void)applyDeparted(m_entry.directory, leaving.id, at(2'210));
    tickUntil(2'300, 2'400);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
}

TEST_F(EntryRelayTest, TakesTheLastWordOfAnAgentWhoseTargetHasLeft)
{
    publish(makeTarget(1));
    auto leaving = makeTarget(2);
    leaving.isDraining = true;
    publish(leaving);
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    EXPECT_TRUE(m_output.resets.empty());
    onReport(m_entry, agentOf(2), {hashOf("ledger"), {0, 0, 0, TargetState::Closed}}, at(2'050), m_output);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    auto next = makeData(777);
    next.flow.caller.port = 2;
    receive(next, 2'100);
    EXPECT_EQ(lastAgent(), 1U);
    onDenied(m_entry, agentOf(1), next.flow, m_entry.flows.at(next.flow), at(2'102), m_output);
    EXPECT_EQ(m_output.resets.back(), 777U);
}

TEST_F(EntryRelayTest, LeavesAFlowAloneWhoseRequestMustNotRunTwice)
{
    publish(makeTarget(1));
    receive(makeData(501), 2'000);
    tickUntil(2'100, 4'000);
    EXPECT_TRUE(m_output.resets.empty());
}

TEST_F(EntryRelayTest, WaitsAnewForAgentsAfterItWasPausedItself)
{
    // The pattern: a daemon asks, is paused for a second, and finds its clock ahead before it has read the answer.
    m_entry.routes.routes[ServiceAddress].isRepeatable = true;
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

TEST_F(EntryRelayTest, ResetsAnOpenFlowWhoseCallerRepeatsItselfWhileTheAgentIsSilent)
{
    m_entry.routes.routes[ServiceAddress].isRepeatable = true;
    publish(makeTarget(1));
    receive(makeSyn(), 0);
    notify(1, NoticeKind::Accepted, 2, {}, 500);
    auto data = makeData(501);
    data.sequence = 900;
    receive(data, 2'000);
    receive(data, 2'200);
    ASSERT_EQ(m_output.queries.size(), 1U);
    // An answer of the agent shows that the target only takes its time.
    onAnswer(m_entry, agentOf(1), {hashOf("ledger"), {}, {}}, at(2'202), m_output);
    tickUntil(2'300, 3'300);
    EXPECT_TRUE(m_output.resets.empty());

    receive(data, 3'400);
    tickUntil(3'500, 4'400);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    EXPECT_TRUE(m_output.hasDecided(RelayReason::AgentUnreachable));
}

TEST_F(EntryRelayTest, OffersThePacketToATargetWhoseAgentCannotKnow)
{
    for (std::uint32_t number = 1; number <= 5; ++number)
        publish(makeTarget(number));
    receive(makeData(501), 2'000);
    for (std::size_t index = 0; index < m_entry.weights.candidates; ++index)
        answer(m_output.sent[index].agent, FlowVerdict::Denied, 2'002);
    ASSERT_EQ(m_output.queries.size(), 1U);
    const auto last = m_output.queries.front().first;
    answer(last, FlowVerdict::Unknown, 2'004);
    EXPECT_EQ(m_output.sent.back().agent, last);
    EXPECT_TRUE(m_output.resets.empty());
    notify(last.address - 0x0a020000, NoticeKind::Held, 2'006);
    EXPECT_EQ(m_entry.flows.at(Flow).agent, last);
}

TEST_F(EntryRelayTest, ResetsADeadFlowAtOnceWhenItCannotBeAtATargetThatWasJustListed)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    notify(1, NoticeKind::Denied, 2'002);
    notify(2, NoticeKind::Denied, 2'002);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    EXPECT_EQ(m_output.refreshes, 0);
}

TEST_F(EntryRelayTest, QueriesAgentsOfOtherServicesWhileItCannotKnowFormerRoutes)
{
    publish(makeTarget(1));
    publish(makeTarget(2, "catalogue"));
    auto plan = planSearch(m_entry, Flow, at(1'000));
    ASSERT_EQ(plan.agents.size(), 2U);
    EXPECT_TRUE(plan.agents[0].mayGetPackets);
    EXPECT_FALSE(plan.agents[1].mayGetPackets);
    // A target that was listed after the routes were written cannot hold flows of former ones.
    auto later = makeTarget(3, "catalogue");
    later.listingRevision = 11;
    publish(later);
    EXPECT_EQ(planSearch(m_entry, Flow, at(1'000)).agents.size(), 2U);
    EXPECT_EQ(planSearch(m_entry, Flow, at(63'000)).agents.size(), 1U);
}

TEST_F(EntryRelayTest, AsksServicesThatTheRouteHadBefore)
{
    publish(makeTarget(1));
    publish(makeTarget(2, "catalogue"));
    RouteTable routes = m_entry.routes;
    routes.version = 2;
    routes.routes[ServiceAddress].services = {{hashOf("catalogue"), "catalogue", 1}};
    ASSERT_TRUE(setRoutes(m_entry, routes, at(0)));
    const auto plan = planSearch(m_entry, Flow, at(70'000));
    EXPECT_EQ(plan.agents.size(), 2U);
    EXPECT_TRUE(plan.agents[1].mayGetPackets);
}

TEST_F(EntryRelayTest, IgnoresOlderRoutes)
{
    RouteTable routes = m_entry.routes;
    EXPECT_FALSE(setRoutes(m_entry, routes, at(0)));
    routes.version = 0;
    EXPECT_FALSE(setRoutes(m_entry, routes, at(0)));
}

TEST_F(EntryRelayTest, ResetsTheFlowsOfATargetThatWasReplaced)
{
    publish(makeTarget(1));
    receive(makeSyn(), 0);
    notify(1, NoticeKind::Accepted, 2, {}, 500);
    receive(makeData(501), 4);
    auto next = makeTarget(1);
    next.incarnation = 2;
    publish(next, 1'000);
    ASSERT_EQ(m_output.queries.size(), 1U);
    answer(agentOf(1), FlowVerdict::Denied, 1'002);
    EXPECT_EQ(m_output.resets, std::vector<std::uint32_t> {501});
    EXPECT_TRUE(m_output.hasDecided(RelayReason::TargetGone));
}

TEST_F(EntryRelayTest, KeepsAFlowThatOpenedAtTheNextTargetBeforeItsListingWasRead)
{
    // The pattern: everything restarted, and a target takes flows before the news of its restart arrives here.
    publish(makeTarget(1));
    receive(makeSyn(), 0);
    notify(1, NoticeKind::Accepted, 2, {}, 500);
    receive(makeData(501), 4);
    auto next = makeTarget(2);
    next.agent = agentOf(1);
    next.incarnation = 2;
    publish(next, 700);
    answer(agentOf(1), FlowVerdict::Held, 702);
    EXPECT_TRUE(m_output.resets.empty());
    receive(makeData(501), 800);
    EXPECT_EQ(lastAgent(), 1U);
}

TEST_F(EntryRelayTest, KeepsAWithdrawnTargetWhileItMayBeListedAgain)
{
    publish(makeTarget(1));
    (void)applyDeparted(m_entry.directory, makeTarget(1).id, at(2'500));
    receive(makeSyn(), 1'000);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(lastAgent(), 1U);
    auto later = makeSyn();
    later.flow.caller.port = 2;
    receive(later, 2'600);
    EXPECT_EQ(m_output.resets.size(), 1U);
}

} // namespace

} // namespace Papaya
