#include "LibTransport/LwipStack.h"

#include "LibProtocol/IpPacket.h"
#include "LibTransport/LwipConnection.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

const FlowKey Flow {{0x0a630001, 4'711}, {0x0a140001, 7'000}};

/// Turns the acknowledgement that makeProbe() builds into a SYN, and corrects its checksum (RFC 1624).
std::vector<std::byte> makeSyn()
{
    auto packet = makeProbe({Flow.service, Flow.caller}, 1'000);
    const auto word = [&](std::size_t offset) {
        return (std::to_integer<std::uint32_t>(packet[offset]) << 8U) | std::to_integer<std::uint32_t>(packet[offset + 1]);
    };
    constexpr std::size_t FlagsOffset = 32;
    constexpr std::size_t ChecksumOffset = 36;
    const auto before = word(FlagsOffset);
    packet[FlagsOffset + 1] = std::byte {0x02};
    std::uint32_t sum = (~word(ChecksumOffset) & 0xffffU) + (~before & 0xffffU) + word(FlagsOffset);
    while ((sum >> 16U) != 0)
        sum = (sum & 0xffffU) + (sum >> 16U);
    packet[ChecksumOffset] = static_cast<std::byte>(~sum >> 8U);
    packet[ChecksumOffset + 1] = static_cast<std::byte>(~sum);
    return packet;
}

} // namespace

TEST(LwipStack, CountsAHandshakeUnderWayAndForgetsItSilently)
{
    static int sent = 0;
    auto &stack = LwipStack::start([](std::span<const std::byte> packet) {
        const auto segment = parsePacket(packet, PacketDirection::ToCaller);
        ASSERT_TRUE(segment.has_value());
        EXPECT_TRUE(segment.value().isSyn);
        EXPECT_EQ(segment.value().flow, Flow);
        ++sent;
    });
    const LwipLock lock;
    ASSERT_TRUE(stack.addAddress(Flow.service.address).has_value());
    ASSERT_TRUE(stack.listen(Flow.service).has_value());
    EXPECT_EQ(stack.activeConnectionCount(), 0U);
    stack.input(makeSyn());
    EXPECT_EQ(sent, 1);
    EXPECT_EQ(stack.activeConnectionCount(), 1U);
    EXPECT_TRUE(stack.takeAccepted().empty());
    stack.abandon(Flow);
    EXPECT_EQ(stack.activeConnectionCount(), 0U);
    EXPECT_EQ(sent, 1);
}

TEST(LwipStack, DropsPacketsForAddressesThatItDoesNotHave)
{
    auto &stack = LwipStack::start([](std::span<const std::byte>) {});
    const LwipLock lock;
    const auto before = stack.activeConnectionCount();
    stack.input(makeProbe({{0x0a140009, 80}, {0x0a140008, 80}}, 1));
    stack.input({});
    EXPECT_EQ(stack.activeConnectionCount(), before);
}

} // namespace Papaya
