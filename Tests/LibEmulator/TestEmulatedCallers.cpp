#include "LibEmulator/EmulatedCallers.h"

#include <gtest/gtest.h>

namespace Papaya::Emulator {

namespace {

constexpr Endpoint Service {0xc6120001, 443};
constexpr std::uint32_t TargetSequence = 1'000'000;
constexpr std::uint32_t ResetWindow = 76'800;

/// Callers that have opened one flow, and the packets that they sent.
class EmulatedCallersTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_callers.start(m_events.now() + Duration(20));
        m_events.runUntil(m_events.now() + Duration(20));
        ASSERT_FALSE(m_sent.empty());
        m_flow = m_sent.front().summary.flow;
    }

    void completeHandshake()
    {
        EmulatedPacket reply;
        reply.summary.flow = m_flow;
        reply.summary.isSyn = true;
        reply.summary.sequence = TargetSequence - 1;
        m_callers.receive(reply);
    }

    void reset(std::uint32_t sequence)
    {
        EmulatedPacket packet;
        packet.summary.flow = m_flow;
        packet.summary.isReset = true;
        packet.summary.sequence = sequence;
        m_callers.receive(packet);
    }

    [[nodiscard]] std::uint64_t resets() const { return m_callers.statistics().front().resets; }

    EventQueue m_events;
    std::vector<EmulatedPacket> m_sent;
    EmulatedCallers m_callers {m_events,
                               1,
                               {{"feed", Service, true, true, 1'000}},
                               [this](const EmulatedPacket &packet) { m_sent.push_back(packet); },
                               [](const EmulatedPacket &) { return false; }};
    FlowKey m_flow;
};

TEST_F(EmulatedCallersTest, OpeningFlowAcceptsResetWithAnySequenceNumber)
{
    reset(0);
    EXPECT_EQ(resets(), 1U);
}

// Failure: the reset of a late SYN copy, whose sequence number is 0, counted as the end of a flow that had opened meanwhile.
TEST_F(EmulatedCallersTest, OpenFlowIgnoresResetFarFromItsSequenceNumber)
{
    completeHandshake();
    reset(0);
    reset(TargetSequence + ResetWindow + 1);
    reset(TargetSequence - ResetWindow - 1);
    EXPECT_EQ(resets(), 0U);
    reset(TargetSequence + ResetWindow);
    EXPECT_EQ(resets(), 1U);
}

} // namespace

} // namespace Papaya::Emulator
