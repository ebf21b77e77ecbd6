#include "LibCoordination/FlowProtocol.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(1'000'000)};
const FlowKey Flow {{0x0a630001, 4'711}, {0x0a140001, 7'000}};
const std::vector<std::byte> Packet(40);

Member member(MemberId id)
{
    Member result;
    result.id = id;
    result.daemon = {2, static_cast<std::uint16_t>(id)};
    result.incarnation = 1;
    return result;
}

/// Returns agent 1 of a service that has the agents 1 to 4.
AgentFlows makeAgent()
{
    AgentFlows agent;
    agent.service = 9;
    agent.revision = 5;
    agent.serviceAddresses = {Flow.service};
    agent.self = 1;
    agent.selfDaemon = {2, 1};
    agent.members = {member(1), member(2), member(3), member(4)};
    agent.load.report.connectionLimit = 1'000;
    return agent;
}

Envelope envelopeWith(std::uint8_t hops, MemberId sender = 77)
{
    return {9, 5, hops, sender, {1, static_cast<std::uint16_t>(sender)}, Packet};
}

SegmentSummary synSegment()
{
    return {Flow, 100, 0, true, false, false};
}

SegmentSummary ackSegment(std::uint32_t acknowledgement)
{
    return {Flow, 101, acknowledgement, false, false, true};
}

template <typename Alternative>
std::vector<Alternative> effectsOf(const Effects &effects)
{
    std::vector<Alternative> found;
    for (const auto &effect : effects) {
        if (const auto *alternative = std::get_if<Alternative>(&effect))
            found.push_back(*alternative);
    }
    return found;
}

PlacementReason reasonOf(const Effects &effects)
{
    return effectsOf<RecordDecision>(effects).at(0).reason;
}

/// Raises the load of an agent so far that it forwards new flows.
void overload(AgentFlows &agent)
{
    agent.load.report.connections = 100;
}

} // namespace

TEST(FlowDecisions, AcceptsNewFlowAndDeliversItsPackets)
{
    auto agent = makeAgent();
    const auto taken = onEnvelope(agent, envelopeWith(0), synSegment(), Start);
    EXPECT_EQ(reasonOf(taken), PlacementReason::Taken);
    EXPECT_EQ(effectsOf<DeliverPacket>(taken).size(), 1U);
    onHandshakeSent(agent, Flow, 500);
    EXPECT_EQ(reasonOf(onEnvelope(agent, envelopeWith(0), ackSegment(501), Start)), PlacementReason::Owned);
}

TEST(FlowDecisions, RejectsPacketsOfOtherServicesAndUnknownAddresses)
{
    auto agent = makeAgent();
    auto foreign = envelopeWith(0);
    foreign.service = 8;
    EXPECT_EQ(reasonOf(onEnvelope(agent, foreign, synSegment(), Start)), PlacementReason::WrongService);
    auto segment = synSegment();
    segment.flow.service.port = 7'001;
    EXPECT_EQ(reasonOf(onEnvelope(agent, envelopeWith(0), segment, Start)), PlacementReason::UnknownAddress);
    auto newer = envelopeWith(0);
    newer.revision = 6;
    EXPECT_EQ(reasonOf(onEnvelope(agent, newer, segment, Start)), PlacementReason::RevisionBehind);
    for (const auto &envelope : {foreign, newer})
        EXPECT_TRUE(effectsOf<DeliverPacket>(onEnvelope(agent, envelope, segment, Start)).empty());
}

TEST(FlowDecisions, OverloadedAgentForwardsNewFlowAndItsRetransmissionToSameAgent)
{
    auto agent = makeAgent();
    overload(agent);
    const auto first = onEnvelope(agent, envelopeWith(0), synSegment(), Start);
    EXPECT_EQ(reasonOf(first), PlacementReason::HandedOn);
    const auto retransmission = onEnvelope(agent, envelopeWith(0), synSegment(), Start + Duration(1'000));
    EXPECT_EQ(reasonOf(retransmission), PlacementReason::DirectoryOwner);
    EXPECT_EQ(effectsOf<SendMessage>(first).at(0).to, effectsOf<SendMessage>(retransmission).at(0).to);
}

TEST(FlowDecisions, AcceptsNewFlowThatReturnedInALoop)
{
    auto agent = makeAgent();
    overload(agent);
    EXPECT_EQ(reasonOf(onEnvelope(agent, envelopeWith(0), synSegment(), Start)), PlacementReason::HandedOn);
    EXPECT_EQ(reasonOf(onEnvelope(agent, envelopeWith(3, 4), synSegment(), Start)), PlacementReason::TakenAtLastHop);
    EXPECT_TRUE(agent.owned.contains(Flow));
}

TEST(FlowDecisions, DropsOwnHandshakeAndForwardsPacketAfterCallerCompletedAnotherAgentsHandshake)
{
    auto agent = makeAgent();
    (void)onEnvelope(agent, envelopeWith(0), synSegment(), Start);
    onHandshakeSent(agent, Flow, 500);
    const auto foreign = onEnvelope(agent, envelopeWith(0), ackSegment(901), Start);
    EXPECT_EQ(reasonOf(foreign), PlacementReason::ForeignHandshake);
    EXPECT_TRUE(effectsOf<DeliverPacket>(foreign).empty());
    EXPECT_EQ(effectsOf<SendMessage>(foreign).size(), 3U);
    const LocateReply reply {Flow, 3, true, 3, {2, 3}, 1};
    const auto found = onLocateReply(agent, reply, Start);
    EXPECT_EQ(effectsOf<DropConnection>(found).size(), 1U);
    EXPECT_FALSE(agent.owned.contains(Flow));
    EXPECT_EQ(effectsOf<SendMessage>(found).at(0).to, (Endpoint {2, 3}));
}

TEST(FlowDecisions, LeavingAgentAndAgentAtConnectionLimitAcceptNoNewFlow)
{
    auto agent = makeAgent();
    agent.load.isLeaving = true;
    for (std::uint8_t hops = 0; hops < agent.limits.hopLimit; ++hops) {
        (void)onEnvelope(agent, envelopeWith(hops), synSegment(), Start);
        EXPECT_FALSE(agent.owned.contains(Flow));
        agent.directory.clear();
    }
    agent.load.isLeaving = false;
    agent.load.report.connections = agent.load.report.connectionLimit;
    (void)onEnvelope(agent, envelopeWith(2), synSegment(), Start);
    EXPECT_FALSE(agent.owned.contains(Flow));
}

TEST(FlowDecisions, ResetsOnlyAfterAllMembersDeniedOwnershipForMinimumSearchTime)
{
    auto agent = makeAgent();
    const auto started = onEnvelope(agent, envelopeWith(0), ackSegment(1), Start);
    EXPECT_EQ(effectsOf<SendMessage>(started).size(), 3U);
    const auto denyAll = [&](TimePoint now) {
        for (const MemberId id : {2, 3, 4})
            EXPECT_TRUE(effectsOf<SendReset>(onLocateReply(agent, {Flow, id, false, 0, {}, 0}, now)).empty());
    };
    denyAll(Start);
    EXPECT_TRUE(effectsOf<SendReset>(onTick(agent, Start + Duration(500))).empty());
    denyAll(Start + Duration(600));
    EXPECT_EQ(effectsOf<SendReset>(onTick(agent, Start + agent.limits.minimumSearchTime)).size(), 1U);
    // Until `noOwnerCacheTime` is over, the next packet is answered with a reset without another search.
    EXPECT_EQ(effectsOf<SendReset>(onEnvelope(agent, envelopeWith(0), ackSegment(1), Start + Duration(1'500))).size(), 1U);
    (void)onTick(agent, Start + agent.limits.noOwnerCacheTime);
    EXPECT_EQ(reasonOf(onEnvelope(agent, envelopeWith(0), ackSegment(1), Start + agent.limits.noOwnerCacheTime)),
              PlacementReason::LocateStarted);
}

TEST(FlowDecisions, OwnerSearchWaitsForUnansweringMemberUntilItsLeaseExpires)
{
    auto agent = makeAgent();
    (void)onEnvelope(agent, envelopeWith(0), ackSegment(1), Start);
    for (const MemberId id : {2, 3})
        (void)onLocateReply(agent, {Flow, id, false, 0, {}, 0}, Start);
    agent.members[3].health = MemberHealth::Suspect;
    EXPECT_TRUE(effectsOf<SendReset>(onTick(agent, Start + Duration(5'000))).empty());
    agent.members[3].health = MemberHealth::Expired;
    EXPECT_EQ(effectsOf<SendReset>(onTick(agent, Start + Duration(10'000))).size(), 1U);
}

TEST(FlowDecisions, AnnouncesFlowToWitnessThatProbesCallerAfterOwnerIsLost)
{
    auto owner = makeAgent();
    (void)onEnvelope(owner, envelopeWith(0), synSegment(), Start);
    const auto announced = effectsOf<SendMessage>(onTick(owner, Start));
    ASSERT_EQ(announced.size(), 1U);
    const auto witnessId = witnessOf(owner, owner.self, Flow);
    EXPECT_EQ(announced.at(0).to.port, witnessId);

    auto witness = makeAgent();
    witness.self = witnessId;
    (void)onAnnounce(witness, std::get<Announce>(announced.at(0).message), Start);
    EXPECT_TRUE(effectsOf<SendProbe>(onTick(witness, Start)).empty());
    witness.members[0].health = MemberHealth::Expired;
    std::size_t probes = 0;
    for (auto now = Start; now < Start + Duration(10'000); now += Duration(100))
        probes += effectsOf<SendProbe>(onTick(witness, now)).size();
    EXPECT_EQ(probes, static_cast<std::size_t>(witness.limits.probesPerFlow));
}

TEST(FlowDecisions, AnnouncementEndsOwnerSearchAndForwardsHeldPackets)
{
    auto agent = makeAgent();
    (void)onEnvelope(agent, envelopeWith(0), ackSegment(1), Start);
    const auto effects = onAnnounce(agent, {3, {2, 3}, 1, {Flow}}, Start + Duration(500));
    ASSERT_EQ(effectsOf<SendMessage>(effects).size(), 1U);
    EXPECT_EQ(effectsOf<SendMessage>(effects).at(0).to, (Endpoint {2, 3}));
    EXPECT_TRUE(effectsOf<SendReset>(onTick(agent, Start + Duration(5'000))).empty());
}

TEST(FlowDecisions, DirectoryAndOwnerSearchesStayWithinTheirLimits)
{
    auto agent = makeAgent();
    agent.limits.directoryLimit = 10;
    agent.limits.ownerSearchLimit = 10;
    Announce announce {3, {2, 3}, 1, {}};
    for (std::uint16_t port = 1; port <= 50; ++port)
        announce.flows.push_back({{0x0a630001, port}, Flow.service});
    (void)onAnnounce(agent, announce, Start);
    EXPECT_EQ(agent.directory.size(), 10U);
    for (std::uint16_t port = 100; port < 150; ++port) {
        auto segment = ackSegment(1);
        segment.flow.caller.port = port;
        (void)onEnvelope(agent, envelopeWith(0), segment, Start);
    }
    EXPECT_EQ(agent.ownerSearches.size(), 10U);
}

} // namespace Papaya
