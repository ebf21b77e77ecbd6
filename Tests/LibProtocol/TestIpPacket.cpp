#include "LibProtocol/IpPacket.h"

#include <gtest/gtest.h>

#include <cstring>

namespace Papaya {

namespace {

const FlowKey Flow {{0x0a630001, 4711}, {0x0a140001, 80}};

/// Builds a segment from the caller: a probe with exchanged source and destination, and the given TCP flags.
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

/// Returns the folded ones' complement sum of a range, which is 0xffff if the range contains a valid checksum.
std::uint32_t checksumOf(std::span<const std::byte> bytes, std::uint32_t sum = 0)
{
    for (std::size_t index = 0; index + 1 < bytes.size(); index += 2)
        sum += (std::to_integer<std::uint32_t>(bytes[index]) << 8U) | std::to_integer<std::uint32_t>(bytes[index + 1]);
    while ((sum >> 16U) != 0)
        sum = (sum & 0xffffU) + (sum >> 16U);
    return sum;
}

} // namespace

TEST(IpPacket, ParsesPacketsOfBothDirections)
{
    const auto probe = makeProbe(Flow, 77);
    const auto segment = parsePacket(probe, PacketDirection::ToCaller);
    ASSERT_TRUE(segment.has_value());
    EXPECT_EQ(segment.value().flow, Flow);
    EXPECT_EQ(segment.value().sequence, 77U);
    EXPECT_TRUE(segment.value().hasAcknowledgement);
    EXPECT_EQ(parsePacket(fromCaller(Syn), PacketDirection::FromCaller).value().flow, Flow);
}

TEST(IpPacket, BuildsPacketsWithValidChecksums)
{
    const auto probe = makeProbe(Flow, 77);
    EXPECT_EQ(checksumOf(std::span(probe).first(20)), 0xffffU);
    const std::uint32_t pseudoHeader = checksumOf(std::span(probe).subspan(12, 8), 6 + 20);
    EXPECT_EQ(checksumOf(std::span(probe).subspan(20), pseudoHeader), 0xffffU);
}

TEST(IpPacket, ResetHasTheSequenceNumberThatTheCallerExpects)
{
    const auto encodedResetOfAck = makeReset(fromCaller(Ack));
    ASSERT_TRUE(encodedResetOfAck.has_value());
    const auto resetOfAck = parsePacket(encodedResetOfAck.value(), PacketDirection::ToCaller).value();
    EXPECT_TRUE(resetOfAck.isReset);
    EXPECT_EQ(resetOfAck.sequence, 0U);
    EXPECT_FALSE(resetOfAck.hasAcknowledgement);

    const auto resetOfSyn = parsePacket(makeReset(fromCaller(Syn)).value(), PacketDirection::ToCaller).value();
    EXPECT_TRUE(resetOfSyn.isReset);
    EXPECT_EQ(resetOfSyn.acknowledgement, 1'001U);
    EXPECT_TRUE(makeReset(fromCaller(Reset)).has_error());
}

TEST(IpPacket, RejectsTruncatedFragmentedAndNonTcpPackets)
{
    const auto valid = fromCaller(Syn);
    for (std::size_t size = 0; size < valid.size(); ++size)
        EXPECT_TRUE(parsePacket(std::span(valid).first(size), PacketDirection::FromCaller).has_error()) << size;
    const auto isRejected = [&](std::size_t index, std::byte value) {
        auto packet = valid;
        packet[index] = value;
        return parsePacket(packet, PacketDirection::FromCaller).has_error();
    };
    EXPECT_TRUE(isRejected(0, std::byte {0x65})) << "version 6";
    EXPECT_TRUE(isRejected(0, std::byte {0x41})) << "header of one word";
    EXPECT_TRUE(isRejected(6, std::byte {0x20})) << "more fragments";
    EXPECT_TRUE(isRejected(7, std::byte {0x01})) << "fragment offset";
    EXPECT_TRUE(isRejected(9, std::byte {17})) << "UDP";
    EXPECT_TRUE(isRejected(32, std::byte {0x40})) << "TCP header of four words";
    EXPECT_TRUE(isRejected(32, std::byte {0xf0})) << "TCP header past the end";
}

} // namespace Papaya
