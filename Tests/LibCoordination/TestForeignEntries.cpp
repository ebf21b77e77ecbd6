#include "LibCoordination/EntryRelayFixture.h"
#include "LibCoordination/SetAsideEntry.h"

#include <map>

/// Entries of other writers among those of the targets. They name no target to use, and the targets hold what they held.
namespace Papaya {

using namespace EntryTest;

namespace {

constexpr Incarnation TargetStart = 100;

PublishedTarget makeOwn(std::uint32_t number)
{
    auto target = makeTarget(number);
    target.incarnation = TargetStart;
    return target;
}

/// Returns another writer's entry on the VM of a target: a service that no route leads to, at another port.
PublishedTarget makeForeign(std::uint32_t number, Incarnation incarnation)
{
    auto target = makeTarget(number, "node-metrics");
    target.application.port = 9'100;
    target.incarnation = incarnation;
    target.listingRevision.number = 20;
    return target;
}

/// The start that another writer's entry claims, and whether it was read before the target's own entry.
struct ForeignEntryCase {
    Incarnation incarnation = 0;
    bool isReadFirst = false;
};

/// An entry daemon that has run for long, so that it asks only the agents of services that the flow's address has or had.
class ForeignEntries : public EntryRelayFixture
{
protected:
    void SetUp() override
    {
        EntryRelayFixture::SetUp();
        m_entry.startedAt = LongAgo;
    }

    [[nodiscard]] bool isAsked(std::uint32_t number) const
    {
        return std::any_of(
            m_output.queries.begin(), m_output.queries.end(), [&](const auto &query) { return query.first == agentOf(number); });
    }

    /// Searches for the flow, which the agents of the targets deny except for the one of `owner`, and expects that it is found.
    void expectFlowIsFoundAt(std::uint32_t owner, int milliseconds)
    {
        receive(makeData(501), milliseconds);
        for (const auto number : {1U, 2U, 3U}) {
            if (number != owner)
                answer(agentOf(number), FlowVerdict::Denied, milliseconds + 2);
        }
        tickUntil(milliseconds + 100, milliseconds + 400);
        EXPECT_TRUE(isAsked(owner));
        EXPECT_TRUE(m_output.resets.empty());
        answer(agentOf(owner), FlowVerdict::Held, milliseconds + 402);
        EXPECT_EQ(m_entry.flows.at(Flow).agent, agentOf(owner));
    }

    /// The numbers of the targets that get new flows.
    [[nodiscard]] std::set<std::uint32_t> placedAt(int milliseconds)
    {
        std::set<std::uint32_t> numbers;
        for (std::uint16_t port = 1; port <= 50; ++port) {
            const FlowKey flow {{CallerAddress.address, port}, ServiceAddress};
            const auto *target = chooseTarget(m_entry.directory, hashOf("ledger"), flow, {}, "a", m_entry.weights, at(milliseconds));
            if (target != nullptr)
                numbers.insert(target->published.agent.address - 0x0a020000);
        }
        return numbers;
    }

    void report(std::uint32_t number, const std::string &service, int milliseconds)
    {
        onReport(m_entry, agentOf(number), {hashOf(service), {}}, at(milliseconds), m_output);
    }
};

class ForeignEntryStarts : public ForeignEntries, public testing::WithParamInterface<ForeignEntryCase>
{
};

// Guards against the reset of a target's open flows after a planned stop of an entry daemon: an entry that names an unknown service on the
// target's VM erased the target, so the search did not ask its agent.
TEST_P(ForeignEntryStarts, FlowOfTargetIsFound)
{
    const auto [incarnation, isReadFirst] = GetParam();
    if (isReadFirst)
        publish(makeForeign(2, incarnation));
    for (const auto number : {1U, 2U, 3U})
        publish(makeOwn(number));
    if (!isReadFirst)
        publish(makeForeign(2, incarnation), 3'000);
    expectFlowIsFoundAt(2, 5'000);
}

// Guards against a target that gets no new flows, or counts as new again, because of another writer's entry on its VM.
TEST_P(ForeignEntryStarts, TargetKeepsItsPlace)
{
    const auto [incarnation, isReadFirst] = GetParam();
    if (isReadFirst)
        publish(makeForeign(2, incarnation));
    for (const auto number : {1U, 2U, 3U})
        publish(makeOwn(number));
    if (!isReadFirst)
        publish(makeForeign(2, incarnation), 3'000);
    const auto record = m_entry.directory.targets.find(makeOwn(2).id);
    ASSERT_NE(record, m_entry.directory.targets.end());
    EXPECT_EQ(record->second.propagatedAt, Start + m_entry.directory.limits.propagationTime);
    EXPECT_EQ(placedAt(5'000), (std::set<std::uint32_t> {1, 2, 3}));
}

INSTANTIATE_TEST_SUITE_P(Starts,
                         ForeignEntryStarts,
                         testing::Values(ForeignEntryCase {0, false},
                                         ForeignEntryCase {TargetStart - 1, false},
                                         ForeignEntryCase {TargetStart, false},
                                         ForeignEntryCase {TargetStart + 1, false},
                                         ForeignEntryCase {0, true},
                                         ForeignEntryCase {TargetStart - 1, true},
                                         ForeignEntryCase {TargetStart, true},
                                         ForeignEntryCase {TargetStart + 1, true}));

// Guards against the loss of a target when another writer's entry on its VM is withdrawn and its record expires.
TEST_F(ForeignEntries, FlowOfTargetIsFoundAfterForeignEntryWasWithdrawn)
{
    for (const auto number : {1U, 2U, 3U})
        publish(makeOwn(number));
    publish(makeForeign(2, TargetStart + 1), 1'000);
    (void)applyWithdrawn(m_entry.directory, makeForeign(2, 0).id, at(2'000));
    tickUntil(2'000, 68'000);
    ASSERT_FALSE(m_entry.directory.targets.contains(makeForeign(2, 0).id));
    report(2, "ledger", 68'000);
    EXPECT_EQ(placedAt(68'000), (std::set<std::uint32_t> {1, 2, 3}));
    expectFlowIsFoundAt(2, 68'200);
}

// Guards against the reset of a target's open flows when another writer overwrites the target's own entry.
TEST_F(ForeignEntries, FlowOfTargetIsFoundWhenItsEntryNamesAnotherService)
{
    for (const auto number : {1U, 2U, 3U})
        publish(makeOwn(number));
    auto overwritten = makeForeign(2, TargetStart + 1);
    overwritten.id = makeOwn(2).id;
    publish(overwritten, 3'000);
    expectFlowIsFoundAt(2, 3'200);
    // The target's next write brings its record back.
    publish(makeOwn(2), 3'800);
    EXPECT_EQ(placedAt(3'900), (std::set<std::uint32_t> {1, 2, 3}));
    EXPECT_EQ(m_entry.directory.targets.at(makeOwn(2).id).propagatedAt, Start + m_entry.directory.limits.propagationTime);
}

// Guards against new flows to a draining target because another entry of its service on its VM is ready.
TEST_F(ForeignEntries, DrainingTargetGetsNoFlowsThroughEntryWithAnotherPort)
{
    for (const auto number : {1U, 2U, 3U})
        publish(makeOwn(number));
    auto foreign = makeOwn(2);
    foreign.id = hashOf("foreign");
    foreign.application.port = 9'100;
    foreign.incarnation = TargetStart + 1;
    publish(foreign, 1'000);
    EXPECT_EQ(placedAt(3'000), (std::set<std::uint32_t> {1, 2, 3}));
    auto draining = makeOwn(2);
    draining.isDraining = true;
    publish(draining, 3'000);
    EXPECT_EQ(placedAt(3'100), (std::set<std::uint32_t> {1, 3}));
    expectFlowIsFoundAt(2, 3'200);
}

// Guards against an agent that takes its flow table for complete, and denies open flows, because of another writer's later start.
TEST_F(ForeignEntries, AgentIsNotToldStartOfForeignEntry)
{
    publish(makeOwn(2));
    auto foreign = makeOwn(2);
    foreign.id = hashOf("foreign");
    foreign.application.port = 9'100;
    foreign.incarnation = TargetStart + 1;
    publish(foreign, 1'000);
    EXPECT_EQ(announcedIncarnation(m_entry.directory, foreign, at(1'000)), TargetStart);
    EXPECT_EQ(announcedIncarnation(m_entry.directory, makeOwn(2), at(1'000)), TargetStart);
}

// Guards against a target that a later version of the configuration names, and that gets no flows since it was listed before that version.
TEST_F(ForeignEntries, TargetOfServiceThatLaterRoutesNameGetsFlows)
{
    publish(makeOwn(1));
    publish(makeTarget(4, "catalogue"));
    auto routes = m_entry.routes;
    for (const auto *service : {"catalogue", "ledger", "catalogue"}) {
        ++routes.version;
        routes.routes[ServiceAddress].services = {{hashOf(service), service, 1}};
        ASSERT_TRUE(setRoutes(m_entry, routes, at(2'000)));
    }
    receive(makeSyn(), 3'000);
    EXPECT_EQ(lastAgent(), 4U);
}

// Guards against new flows to a VM whose agent has said that its target has another service: each costs the caller a detour.
TEST_F(ForeignEntries, EntryWhoseAgentServesAnotherServiceIsChosenLast)
{
    publish(makeOwn(1));
    publish(makeOwn(2));
    report(2, "catalogue", 2'000);
    EXPECT_EQ(placedAt(2'100), (std::set<std::uint32_t> {1}));
    report(2, "ledger", 2'200);
    EXPECT_EQ(placedAt(2'300), (std::set<std::uint32_t> {1, 2}));
}

// Guards against an operator who cannot tell which entry is not used, and why.
TEST_F(ForeignEntries, EntriesThatAreSetAsideAreListedWithReason)
{
    publish(makeOwn(1));
    publish(makeOwn(2));
    publish(makeForeign(2, TargetStart + 1), 1'000);
    auto next = makeOwn(1);
    next.id = hashOf("next");
    next.incarnation = TargetStart + 1;
    publish(next, 1'000);
    publish(makeOwn(3));
    report(3, "catalogue", 1'000);
    std::map<MemberId, SetAsideReason> reasons;
    for (const auto &entry : listSetAside(m_entry, at(1'000)))
        reasons[entry.id] = entry.reason;
    const std::map<MemberId, SetAsideReason> expected {{makeForeign(2, 0).id, SetAsideReason::UnroutedService},
                                                       {makeOwn(1).id, SetAsideReason::NewerRun},
                                                       {makeOwn(3).id, SetAsideReason::AgentServesAnother}};
    EXPECT_EQ(reasons, expected);
}

// Guards against a target that is not asked: its agent denied the flow when it was asked for the service of another writer's entry, and the
// target's own entry was read only after that.
TEST_F(ForeignEntries, AgentIsAskedAgainForServiceOfTargetThatIsReadLater)
{
    m_entry.startedAt = Start;
    endConfirmation();
    publish(makeOwn(1));
    publish(makeTarget(2, "node-metrics"));
    receive(makeData(501), 2'000);
    answer(agentOf(1), FlowVerdict::Denied, 2'002);
    sendQueries(m_entry, at(2'020), m_output);
    answer(agentOf(2), FlowVerdict::Denied, 2'022);
    EXPECT_TRUE(m_output.resets.empty());
    publish(makeOwn(2), 2'050);
    markTargetsCurrent(m_entry, at(2'050));
    retryPendingResets(m_entry, at(2'060), m_output);
    sendQueries(m_entry, at(2'080), m_output);
    EXPECT_TRUE(m_output.resets.empty());
    EXPECT_EQ(m_output.queries.back().first, agentOf(2));
    EXPECT_EQ(m_output.queries.back().second.service, hashOf("ledger"));
}

} // namespace

} // namespace Papaya
