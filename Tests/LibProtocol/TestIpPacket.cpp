#include "LibProtocol/IpPacket.h"

#include <gtest/gtest.h>

#include <cstring>

namespace Papaya {

namespace {

const FlowKey Flow {{0x0a630001, 4711}, {0x0a140001, 80}};

/// A segment from the caller, made from a probe by exchanging its ends.
std::vector<std::byte> fromCaller(std::byte flags)
{
    const FlowKey reversed {Flow.service, Flow.caller};
    auto packet = makeProbe(reversed, 1'000);
    packet[33] = flags;
    return packet;
}

constexpr std::byte Syn {0x02};
constexpr std::byte Reset {0x04};
constexpr std::byte Ack {0x10};

/// Folds the ones' complement sum of a range; a range with a right checksum gives 0xffff.
std::uint32_t sumOf(std::span<const std::byte> bytes, std::uint32_t sum = 0)
{
    for (std::size_t index = 0; index + 1 < bytes.size(); index += 2)
        sum += (std::to_integer<std::uint32_t>(bytes[index]) << 8U) | std::to_integer<std::uint32_t>(bytes[index + 1]);
    while ((sum >> 16U) != 0)
        sum = (sum & 0xffffU) + (sum >> 16U);
    return sum;
}

} // namespace

TEST(IpPacket, ReadsBothDirections)
{
    const auto probe = makeProbe(Flow, 77);
    const auto segment = parsePacket(probe, PacketDirection::ToCaller);
    ASSERT_TRUE(segment.has_value());
    EXPECT_EQ(segment.value().flow, Flow);
    EXPECT_EQ(segment.value().sequence, 77U);
    EXPECT_TRUE(segment.value().hasAcknowledgement);
    EXPECT_EQ(parsePacket(fromCaller(Syn), PacketDirection::FromCaller).value().flow, Flow);
}

TEST(IpPacket, WritesRightChecksums)
{
    const auto probe = makeProbe(Flow, 77);
    EXPECT_EQ(sumOf(std::span(probe).first(20)), 0xffffU);
    const std::uint32_t pseudoHeader = sumOf(std::span(probe).subspan(12, 8), 6 + 20);
    EXPECT_EQ(sumOf(std::span(probe).subspan(20), pseudoHeader), 0xffffU);
}

TEST(IpPacket, ResetsWithTheSequenceThatTheCallerExpects)
{
    const auto onAck = makeReset(fromCaller(Ack));
    ASSERT_TRUE(onAck.has_value());
    const auto answered = parsePacket(onAck.value(), PacketDirection::ToCaller).value();
    EXPECT_TRUE(answered.isReset);
    EXPECT_EQ(answered.sequence, 0U);
    EXPECT_FALSE(answered.hasAcknowledgement);

    const auto onSyn = parsePacket(makeReset(fromCaller(Syn)).value(), PacketDirection::ToCaller).value();
    EXPECT_TRUE(onSyn.isReset);
    EXPECT_EQ(onSyn.acknowledgement, 1'001U);
    EXPECT_TRUE(makeReset(fromCaller(Reset)).has_error());
}

TEST(IpPacket, RefusesWhatIsNotAWholeTcpPacket)
{
    const auto whole = fromCaller(Syn);
    for (std::size_t size = 0; size < whole.size(); ++size)
        EXPECT_TRUE(parsePacket(std::span(whole).first(size), PacketDirection::FromCaller).has_error()) << size;
    const auto refuses = [&](std::size_t index, std::byte value) {
        auto packet = whole;
        packet[index] = value;
        return parsePacket(packet, PacketDirection::FromCaller).has_error();
    };
    EXPECT_TRUE(refuses(0, std::byte {0x65})) << "version 6";
    EXPECT_TRUE(refuses(0, std::byte {0x41})) << "header of one word";
    EXPECT_TRUE(refuses(6, std::byte {0x20})) << "more fragments";
    EXPECT_TRUE(refuses(7, std::byte {0x01})) << "fragment offset";
    EXPECT_TRUE(refuses(9, std::byte {17})) << "UDP";
    EXPECT_TRUE(refuses(32, std::byte {0x40})) << "TCP header of four words";
    EXPECT_TRUE(refuses(32, std::byte {0xf0})) << "TCP header past the end";
}

} // namespace Papaya
