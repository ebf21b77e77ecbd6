#include "LibCoordination/EntryRelayFixture.h"

/// Which targets get a packet of a flow that is searched for, and when.
namespace Papaya {

using namespace EntryTest;

namespace {

// Packets of an open flow went to targets that do not hold it, although their agents knew that.
TEST_F(EntrySearchTest, TargetsGetNoPacketWhileTheirAgentsCanTell)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    tickUntil(2'100, 2'500);
    EXPECT_EQ(probeCount(), 0U);
    answer(agentOf(1), FlowVerdict::Denied, 2'510);
    answer(agentOf(2), FlowVerdict::Held, 2'510);
    EXPECT_EQ(probeCount(), 1U);
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Forward);
}

// Packets of an open flow went to targets that do not hold it, again at each repetition of a search, while their agents' denials waited
// in the socket of a slow entry daemon.
TEST_F(EntrySearchTest, RepeatedSearchSendsTargetsNoFurtherCopies)
{
    publish(makeTarget(1));
    receive(makeData(501), 2'000);
    markAgentMessagesRead(m_entry, at(2'000));
    answer(agentOf(1), FlowVerdict::Unknown, 2'010);
    EXPECT_EQ(probeCount(), 1U);
    tickUntil(2'100, 2'500);
    receive(makeData(501), 2'550);
    EXPECT_EQ(probeCount(), 1U);
    EXPECT_GE(m_output.queries.size(), 2U);
    // A probe that may be lost is repeated if the agent cannot answer from its flow table.
    answer(agentOf(1), FlowVerdict::Unknown, 2'560);
    EXPECT_EQ(probeCount(), 1U);
    tickUntil(2'600, 2'700);
    answer(agentOf(1), FlowVerdict::Unknown, 2'710);
    EXPECT_EQ(probeCount(), 2U);
}

// Failure: while the agent of a flow's own target is being restarted, searches send the flow's packets to three targets whose agents
// have restarted too and cannot tell whether they hold the flow.
TEST_F(EntrySearchTest, FewTargetsAreProbedWhileAnAgentIsSilent)
{
    for (std::uint32_t number = 1; number <= 4; ++number)
        publish(makeTarget(number));
    onReport(m_entry, agentOf(4), {hashOf("ledger"), {0, 0, 0, TargetState::AgentRestarting}}, at(1'900), m_output);
    for (int time = 2'000; time < 4'500; time += 100) {
        receive(makeData(501), time);
        for (std::uint32_t number = 1; number <= 3; ++number)
            answer(agentOf(number), FlowVerdict::Unknown, time + 2);
        tickUntil(time + 50, time + 50);
    }
    EXPECT_EQ(probeCount(), 1U);
    // The flow's target gets its packet with the others as soon as its agent answers.
    receive(makeData(501), 4'500);
    for (std::uint32_t number = 1; number <= 4; ++number)
        answer(agentOf(number), FlowVerdict::Unknown, 4'502);
    EXPECT_TRUE(std::any_of(
        m_output.sent.begin(), m_output.sent.end(), [&](const auto &sent) { return sent.agent == agentOf(4) && !sent.isQuery; }));
}

// Failure: an entry daemon whose messages wait in its socket sends packets to three targets within a moment, and nothing to the flow's
// own target until it has read that target's answer.
TEST_F(EntrySearchTest, OverloadedDaemonProbesOneTarget)
{
    for (std::uint32_t number = 1; number <= 4; ++number)
        publish(makeTarget(number));
    markAgentMessagesRead(m_entry, at(1'000));
    receive(makeData(501), 2'000);
    const auto answerAll = [&](int milliseconds) {
        for (std::uint32_t number = 1; number <= 4; ++number)
            answer(agentOf(number), FlowVerdict::Unknown, milliseconds);
    };
    answerAll(2'002);
    EXPECT_EQ(probeCount(), 0U);
    receive(makeData(501), 3'000);
    answerAll(3'002);
    EXPECT_EQ(probeCount(), 1U);
}

// Failure: an entry daemon that wakes forwards a flow's packets to a target whose SYN-ACK the caller did not take, until that target's slow
// agent returns them.
TEST_F(EntrySearchTest, UnconfirmedTargetGetsFewPackets)
{
    publish(makeTarget(1));
    receive(makeSyn(), 2'000);
    for (int time = 2'100; time <= 2'400; time += 100)
        receive(makeData(501), time);
    EXPECT_EQ(probeCount(), 3U);
    EXPECT_EQ(m_entry.flows.at(Flow).stage, EntryFlowStage::Searching);
    answer(agentOf(1), FlowVerdict::Held, 2'410);
    EXPECT_EQ(m_entry.flows.at(Flow).evidence, FlowEvidence::Held);
    receive(makeData(501), 2'500);
    EXPECT_EQ(m_output.sent.back().purpose, EnvelopePurpose::Forward);
}

// Failure: an agent takes an earlier flow with the same ports for the flow, and its target gets four packets at once.
TEST_F(EntrySearchTest, TargetThatIsFoundGetsFewBufferedPackets)
{
    publish(makeTarget(1));
    for (int time = 2'000; time < 2'040; time += 10)
        receive(makeData(501), time);
    answer(agentOf(1), FlowVerdict::Held, 2'050);
    EXPECT_EQ(probeCount(), 2U);
}

// Failure: entry daemons are restarted one after the other, and each that a flow's packets reach sends one to another target at once.
TEST_F(EntrySearchTest, SearchWaitsForSilentAgentsBeforeItProbes)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    for (int time = 2'000; time < 3'000; time += 100) {
        receive(makeData(501), time);
        answer(agentOf(1), FlowVerdict::Unknown, time + 10);
    }
    EXPECT_EQ(probeCount(), 0U);
    receive(makeData(501), 3'000);
    answer(agentOf(1), FlowVerdict::Unknown, 3'010);
    EXPECT_EQ(probeCount(), 1U);
}

// Failure: while a flow is searched for, its caller opens another one from the same port. The SYN is taken for a packet of the earlier flow
// and opens the new one at several targets, also of services that the address never had.
TEST_F(EntrySearchTest, SynOfLaterFlowEndsSearch)
{
    publish(makeTarget(1));
    publish(makeTarget(2, "catalogue"));
    receive(makeData(501), 2'000);
    auto syn = makeSyn();
    syn.sequence = 0x40000000;
    receive(syn, 4'000);
    EXPECT_EQ(m_entry.flows.at(Flow).stage, EntryFlowStage::Opening);
    EXPECT_EQ(m_output.sent.back().agent, agentOf(1));
    EXPECT_EQ(probeCount(), 1U);
}

TEST_F(EntrySearchTest, LateSynIsNotSentAsProbe)
{
    publish(makeTarget(1));
    receive(makeData(501), 2'000);
    markAgentMessagesRead(m_entry, at(2'200));
    receive(makeSyn(1), 2'200);
    answer(agentOf(1), FlowVerdict::Unknown, 2'202);
    EXPECT_EQ(m_entry.flows.at(Flow).stage, EntryFlowStage::Searching);
    EXPECT_EQ(probeCount(), 1U);
    EXPECT_EQ(m_entry.flows.at(Flow).bufferedPackets.size(), 1U);
}

// Failure: the search repeats its requests on ticks, so each packet of the caller meets a full buffer, the buffered packets grow old, and
// the flow's target is never probed.
TEST_F(EntrySearchTest, RetransmittedPacketReplacesOldOnes)
{
    publish(makeTarget(1));
    receive(makeData(501), 2'000);
    receive(makeData(501), 2'010);
    tickUntil(2'100, 4'200);
    receive(makeData(501), 4'210);
    answer(agentOf(1), FlowVerdict::Unknown, 4'220);
    EXPECT_EQ(probeCount(), 1U);
}

// Failure: after the fabric moved a flow to another entry daemon, both send its packets to targets that do not hold it.
TEST_F(EntrySearchTest, SearchWithoutRecentPacketProbesNoTarget)
{
    publish(makeTarget(1));
    publish(makeTarget(2));
    receive(makeData(501), 2'000);
    tickUntil(2'100, 3'000);
    answer(agentOf(1), FlowVerdict::Unknown, 3'010);
    EXPECT_EQ(probeCount(), 0U);
    receive(makeData(501), 3'200);
    answer(agentOf(1), FlowVerdict::Unknown, 3'210);
    EXPECT_EQ(probeCount(), 1U);
}

TEST_F(EntrySearchTest, ProbesStayWithinBandwidth)
{
    constexpr std::uint16_t Flows = 100;
    publish(makeTarget(1));
    for (std::uint16_t port = 1; port <= Flows; ++port) {
        auto data = makeData(501);
        data.flow.caller.port = port;
        receive(data, 2'000);
    }
    markAgentMessagesRead(m_entry, at(2'000));
    m_entry.searchBandwidth = makeTokenBucket(2'000, Duration(1'000));
    for (std::uint16_t port = 1; port <= Flows; ++port) {
        auto flow = Flow;
        flow.caller.port = port;
        answer(agentOf(1), FlowVerdict::Unknown, 2'002, flow);
    }
    EXPECT_GT(probeCount(), 0U);
    EXPECT_LE(probeCount(), 2'000U / 100);
    EXPECT_TRUE(m_output.hasRecorded(RelayReason::SearchDeferred));
}

} // namespace

} // namespace Papaya
