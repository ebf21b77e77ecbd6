#include "platform/PacketCodec.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace Papaya::Platform {

namespace {

std::vector<std::byte> bytesOf(std::initializer_list<int> values)
{
    std::vector<std::byte> bytes;
    for (const int value : values)
        bytes.push_back(static_cast<std::byte>(value));
    return bytes;
}

/// A SYN from 100.64.0.7:40001 to 198.18.0.1:443.
std::vector<std::byte> exampleSyn()
{
    return bytesOf({0x10, 0,    0, 0, 0,    0,    0x01, 0,    0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01, 0x07, 0,
                    0x40, 0x64, 0, 0, 0x44, 0x33, 0x22, 0x11, 0,    0,    0,    0,    0xd5, 0xc3, 0xb2, 0xa1});
}

const FlowKey ExampleFlow {{0x64400007, 40'001}, {0xc6120001, 443}};

TEST(PacketCodec, ReadsASyn)
{
    const auto summary = parsePacket(exampleSyn(), PacketOrigin::Caller);
    ASSERT_TRUE(summary.has_value());
    EXPECT_EQ(summary.value().flow, ExampleFlow);
    EXPECT_TRUE(summary.value().isInitialSyn());
    EXPECT_EQ(summary.value().sequence, 0x11223344U);
    EXPECT_EQ(summary.value().length, 0);
}

TEST(PacketCodec, BuildsAReset)
{
    const auto reset = buildReset(ExampleFlow, 0);
    const auto expected = bytesOf(
        {0x20, 0, 0, 0, 0, 0, 0x07, 0, 0x40, 0x64, 0xbb, 0x01, 0x41, 0x9c, 0x01, 0, 0x12, 0xc6, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0});
    EXPECT_EQ(std::vector<std::byte>(reset.begin(), reset.end()), expected);
}

TEST(PacketCodec, ReadsAReturnedPacketAsItsCallerWroteIt)
{
    auto packet = exampleSyn();
    setMark(packet, 0x0a010002);
    packet[0] |= std::byte {8};
    const auto summary = parsePacket(packet, PacketOrigin::Target);
    ASSERT_TRUE(summary.has_value());
    EXPECT_TRUE(summary.value().isReturned);
    EXPECT_EQ(summary.value().mark, 0x0a010002U);
    EXPECT_EQ(summary.value().flow, ExampleFlow);
    clearMark(packet);
    EXPECT_EQ(packet, exampleSyn());
}

TEST(PacketCodec, RefusesWhatACallerMustNotSend)
{
    auto returned = exampleSyn();
    returned[0] |= std::byte {8};
    EXPECT_TRUE(parsePacket(returned, PacketOrigin::Caller).has_error());
    auto answer = exampleSyn();
    answer[0] |= std::byte {1};
    EXPECT_TRUE(parsePacket(answer, PacketOrigin::Caller).has_error());
    EXPECT_TRUE(parsePacket(answer, PacketOrigin::Target).has_value());
}

TEST(PacketCodec, RefusesTruncatedAndOversizedPackets)
{
    auto packet = exampleSyn();
    for (std::size_t size = 0; size < packet.size(); ++size)
        EXPECT_TRUE(parsePacket(std::span(packet).first(size), PacketOrigin::Caller).has_error());
    packet.push_back(std::byte {0});
    EXPECT_TRUE(parsePacket(packet, PacketOrigin::Caller).has_error());
    packet.resize(PacketHeaderSize + PacketDataLimit + 1);
    packet[18] = static_cast<std::byte>((PacketDataLimit + 1) & 0xff);
    packet[19] = static_cast<std::byte>((PacketDataLimit + 1) >> 8);
    EXPECT_TRUE(parsePacket(packet, PacketOrigin::Caller).has_error());
}

TEST(PacketCodec, SurvivesAMillionRandomPackets)
{
    constexpr int Inputs = 1'000'000;
    std::mt19937_64 random(7);
    std::vector<std::byte> packet(PacketHeaderSize);
    int accepted = 0;
    for (int input = 0; input < Inputs; ++input) {
        for (auto &byte : packet)
            byte = static_cast<std::byte>(random());
        // Random lengths are nearly all wrong; half of the packets get the right one.
        if (input % 2 == 0)
            packet[18] = packet[19] = std::byte {0};
        accepted += parsePacket(packet, input % 4 < 2 ? PacketOrigin::Caller : PacketOrigin::Target).has_value() ? 1 : 0;
    }
    EXPECT_GT(accepted, 0);
}

} // namespace

} // namespace Papaya::Platform
