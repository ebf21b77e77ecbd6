#include "LibProtocol/ConfigurationText.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"
#include "LibProtocol/PeerFrameCodec.h"
#include "LibProtocol/VmListJson.h"

#include <gtest/gtest.h>

#include <cstring>
#include <random>

namespace Papaya {

namespace {

constexpr std::uint64_t FuzzSeed = 20'261'204;
constexpr int FuzzRounds = 20'000;

const FlowKey Flow {{0x0a630001, 4711}, {0x0a140001, 80}};
const Endpoint Daemon {0x7f000001, 19'001};

std::vector<FlowMessage> sampleMessages()
{
    Heartbeat heartbeat {7, Daemon, 8, true, 9, {10, 11, 12}};
    return {
        Envelope {1, 2, 3, 4, Daemon, std::vector<std::byte>(1'500, std::byte {0x5a})},
        LocateQuery {1, Flow, 2, Daemon},
        LocateReply {Flow, 1, true, 2, Daemon, 3},
        Announce {1, Daemon, 2, std::vector<FlowKey>(80, Flow)},
        Release {1, {Flow, Flow}},
        heartbeat,
    };
}

std::vector<PeerMessage> samplePeerMessages()
{
    return {Digest {1, 2, 3},
            RevisionedText {4, "[service a]\n"},
            VmListText {R"({"version":1,"vms":[]})"},
            VmListChangeText {1, R"({"version":2,"vms":[]})", {"a", "b"}}};
}

/// Overwrites random bytes of a buffer and sometimes truncates or extends it.
void mutate(std::vector<std::byte> &bytes, std::mt19937_64 &random)
{
    const auto changes = 1 + random() % 8;
    for (std::uint64_t change = 0; change < changes && !bytes.empty(); ++change)
        bytes[random() % bytes.size()] = static_cast<std::byte>(random());
    if (random() % 3 == 0)
        bytes.resize(random() % (bytes.size() + 16));
}

} // namespace

TEST(Codecs, DecodedMessagesEqualTheEncodedOnes)
{
    for (const auto &message : sampleMessages()) {
        const auto bytes = encodeDatagram(message);
        EXPECT_LE(bytes.size(), DatagramSizeLimit);
        const auto decoded = decodeDatagram(bytes);
        ASSERT_TRUE(decoded.has_value()) << message.index();
        EXPECT_EQ(decoded.value(), message) << message.index();
    }
    for (const auto &message : samplePeerMessages()) {
        const auto decoded = decodePeerFrame(encodePeerFrame(message));
        ASSERT_TRUE(decoded.has_value()) << message.index();
        EXPECT_EQ(decoded.value(), message) << message.index();
    }
}

TEST(Codecs, RejectOversizedAndEmptyInput)
{
    EXPECT_TRUE(decodeDatagram({}).has_error());
    EXPECT_TRUE(decodePeerFrame({}).has_error());
    EXPECT_TRUE(decodeDatagram(std::vector<std::byte>(DatagramSizeLimit + 1)).has_error());
    EXPECT_TRUE(decodePeerFrame(std::vector<std::byte>(FrameSizeLimit + 1)).has_error());
}

TEST(Codecs, TolerateRandomlyMutatedInput)
{
    std::mt19937_64 random(FuzzSeed);
    const auto messages = sampleMessages();
    const auto peerMessages = samplePeerMessages();
    int accepted = 0;
    for (int round = 0; round < FuzzRounds; ++round) {
        auto datagram = encodeDatagram(messages[random() % messages.size()]);
        mutate(datagram, random);
        const auto decoded = decodeDatagram(datagram);
        accepted += decoded.has_value() ? 1 : 0;
        if (decoded.has_value()) {
            if (const auto *envelope = std::get_if<Envelope>(&decoded.value()))
                (void)parsePacket(envelope->packet, PacketDirection::FromCaller);
        }
        auto frame = encodePeerFrame(peerMessages[random() % peerMessages.size()]);
        mutate(frame, random);
        (void)decodePeerFrame(frame);
    }
    // A datagram stays valid if only payload bytes were changed, so some mutated datagrams must decode and some must not.
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, FuzzRounds);
}

TEST(Codecs, TextParsersTolerateRandomlyMutatedInput)
{
    const std::string text = "[service ledger]\naddresses = 10.20.0.1:7000\nprotocol = tcp\ntarget_group = ledger\nslots = 7\n";
    VmList list;
    list.version = 3;
    list.machines.push_back({"a", VmRole::Target, VmState::Leaving, "patan", "ledger", Daemon});
    const auto json = formatVmList(list);
    ASSERT_EQ(parseVmList(json).value().machines, list.machines);
    std::mt19937_64 random(FuzzSeed);
    for (int round = 0; round < FuzzRounds / 4; ++round) {
        for (const auto &original : {text, json}) {
            std::vector<std::byte> bytes(original.size());
            std::memcpy(bytes.data(), original.data(), original.size());
            mutate(bytes, random);
            const std::string_view mutated(reinterpret_cast<const char *>(bytes.data()), bytes.size());
            (void)parseConfiguration(1, mutated);
            (void)parseVmList(mutated);
        }
    }
}

} // namespace Papaya
