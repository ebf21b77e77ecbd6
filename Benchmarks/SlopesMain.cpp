// Measures how the time, memory and message sizes of the system grow with the number of targets, flows, machines or services, and
// prints each with a fitted line. docs/CAPACITY.md derives the capacity of the system from the slopes of these lines.

#include "SlopeTable.h"
#include "SpreadModel.h"

#include "LibCoordination/FlowProtocol.h"
#include "LibProtocol/ConfigurationText.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"
#include "LibProtocol/PeerFrameCodec.h"
#include "LibProtocol/VmListJson.h"
#include "LibTransport/LwipConnection.h"
#include "LibTransport/LwipStack.h"

#include <cstdio>
#include <random>

namespace {

using namespace Papaya;

constexpr TimePoint Start {Duration(1'000'000)};

FlowKey flowNumber(std::uint32_t number)
{
    return {{0x0a630000U + number / 60'000U, static_cast<std::uint16_t>(1 + number % 60'000U)}, {0x0a140001, 7'000}};
}

std::vector<Member> makeMembers(int count)
{
    std::vector<Member> members;
    for (int index = 0; index < count; ++index) {
        Member member;
        member.name = "target-" + std::to_string(index);
        member.id = hashOf(member.name);
        members.push_back(std::move(member));
    }
    return members;
}

Configuration makeConfiguration(int services)
{
    Configuration configuration;
    configuration.revision = 1;
    for (int index = 0; index < services; ++index) {
        ServiceConfiguration service;
        service.name = "service-" + std::to_string(index);
        service.targetGroup = service.name;
        service.addresses = {{0x0a140000U + static_cast<std::uint32_t>(index), 80}};
        configuration.services.push_back(std::move(service));
    }
    return configuration;
}

std::string makeText(int services)
{
    std::string text;
    for (const auto &service : makeConfiguration(services).services) {
        text += "[service " + service.name + "]\naddresses = " + toString(service.addresses.front()) + "\nprotocol = http\ntarget_group = "
                + service.targetGroup + "\nslots = 7\nqueue_limit = 64\nconnection_limit = 4096\ndeadline_ms = 2500\n";
    }
    return text;
}

VmList makeMachines(int count, int services)
{
    VmList list;
    list.version = 1;
    for (int index = 0; index < count; ++index) {
        VirtualMachine machine;
        machine.name = "vm-" + std::to_string(index);
        machine.role = index % 7 == 0 ? VmRole::Entry : VmRole::Target;
        machine.group = "service-" + std::to_string(index % services);
        machine.failureDomain = "domain-" + std::to_string(index % 7);
        machine.daemon = {0x0a000000U + static_cast<std::uint32_t>(index), 19'000};
        list.machines.push_back(std::move(machine));
    }
    return list;
}

void measureRouting()
{
    printSlope("routing one packet, by targets", "ns", {7, 70, 350, 700}, [](double targets) {
        auto configuration = makeConfiguration(1);
        const auto table = buildRoutingTable(configuration, {{"service-0", makeMembers(static_cast<int>(targets))}});
        std::uint32_t number = 0;
        return nanosecondsPerCall(20'000, [&] {
            auto flow = flowNumber(number++);
            flow.service = {0x0a140000U, 80};
            const auto decision = routeFlow(table, flow);
            if (decision.destination == nullptr)
                std::abort();
        });
    });
}

AgentFlows makeAgent(int flows)
{
    AgentFlows agent;
    agent.service = 1;
    agent.members = makeMembers(7);
    agent.self = agent.members.front().id;
    agent.serviceAddresses = {{0x0a140001, 7'000}};
    agent.load.report.connectionLimit = 1'000'000;
    for (int index = 0; index < flows; ++index) {
        FlowRecord record;
        record.stage = FlowStage::Established;
        record.witness = 1;
        record.nextAnnouncementAt = Start + Duration(1'000'000);
        agent.owned.emplace(flowNumber(static_cast<std::uint32_t>(index)), record);
    }
    return agent;
}

void measureAgent()
{
    const std::vector<double> sizes {500, 1'000, 2'000, 4'000};
    printSlope("agent tick (10 a second), by owned flows", "ns", sizes, [](double flows) {
        auto agent = makeAgent(static_cast<int>(flows));
        return nanosecondsPerCall(200, [&] { (void)onTick(agent, Start); });
    });
    printSlope("new member view, by owned flows", "ns", sizes, [](double flows) {
        auto agent = makeAgent(static_cast<int>(flows));
        return nanosecondsPerCall(50, [&] { setMembers(agent, makeMembers(7)); });
    });
    printSlope("owned-flow table, by flows", "bytes", sizes, [](double flows) {
        const auto before = heapBytes();
        const auto agent = makeAgent(static_cast<int>(flows));
        return heapBytes() - before;
    });
    printSlope("directory, by flows announced", "bytes", sizes, [](double flows) {
        const auto before = heapBytes();
        AgentFlows agent;
        Announce announce;
        announce.owner = 1;
        for (int index = 0; index < static_cast<int>(flows); ++index)
            announce.flows.push_back(flowNumber(static_cast<std::uint32_t>(index)));
        (void)onAnnounce(agent, announce, Start);
        announce.flows = {};
        announce.flows.shrink_to_fit();
        return heapBytes() - before;
    });
}

void measureControlState()
{
    const std::vector<double> services {77, 155, 310, 620};
    printSlope("configuration text, by services", "bytes", services, [](double count) {
        return static_cast<double>(makeText(static_cast<int>(count)).size());
    });
    printSlope("parsing a configuration, by services", "ns", services, [](double count) {
        const auto text = makeText(static_cast<int>(count));
        return nanosecondsPerCall(5, [&] { (void)parseConfiguration(1, text); });
    });
    printSlope("configuration in memory, by services", "bytes", services, [](double count) {
        const auto text = makeText(static_cast<int>(count));
        const auto before = heapBytes();
        const auto parsed = parseConfiguration(1, text);
        return heapBytes() - before;
    });
    const std::vector<double> machines {494, 988, 1'975, 3'950};
    printSlope("VM list, by machines", "bytes", machines, [](double count) {
        return static_cast<double>(formatVmList(makeMachines(static_cast<int>(count), 620)).size());
    });
    printSlope("a change of one machine, by machines", "bytes", machines, [](double count) {
        const auto base = makeMachines(static_cast<int>(count), 620);
        auto next = base;
        next.version = 2;
        next.machines[1].state = VmState::Leaving;
        const auto change = changeBetween(base, next);
        return static_cast<double>(encodePeerFrame(VmListChangeText {1, formatChangedMachines(change), change.removed}).size());
    });
    printSlope("finding that change, by machines", "ns", machines, [](double count) {
        const auto base = makeMachines(static_cast<int>(count), 620);
        auto next = base;
        next.version = 2;
        return nanosecondsPerCall(5, [&] { (void)changeBetween(base, next); });
    });
    printSlope("applying that change, by machines", "ns", machines, [](double count) {
        const auto base = makeMachines(static_cast<int>(count), 620);
        const VmListChange change {1, 2, {base.machines[1]}, {}};
        return nanosecondsPerCall(5, [&] { (void)formatVmList(*applyChange(base, change)); });
    });
    printSlope("parsing a VM list, by machines", "ns", machines, [](double count) {
        const auto text = formatVmList(makeMachines(static_cast<int>(count), 620));
        return nanosecondsPerCall(3, [&] { (void)parseVmList(text); });
    });
    printSlope("VM list in memory, by machines", "bytes", machines, [](double count) {
        const auto list = makeMachines(static_cast<int>(count), 620);
        MemberTable table;
        const auto before = heapBytes();
        (void)applyVmList(table, list, Start);
        return heapBytes() - before;
    });
    printSlope("entry daemon's check of members, by machines", "ns", machines, [](double count) {
        MemberTable table;
        (void)applyVmList(table, makeMachines(static_cast<int>(count), 620), Start);
        return nanosecondsPerCall(20, [&] { (void)eligibilitySignature(table, Start); });
    });
    printSlope("building the routing table, by machines", "ns", machines, [](double count) {
        const auto configuration = makeConfiguration(620);
        MemberTable table;
        (void)applyVmList(table, makeMachines(static_cast<int>(count), 620), Start);
        return nanosecondsPerCall(3, [&] { (void)buildRoutingTable(configuration, membersOfServices(table, configuration, Start)); });
    });
    printSlope("routing table in memory, by machines", "bytes", machines, [](double count) {
        const auto configuration = makeConfiguration(620);
        MemberTable table;
        (void)applyVmList(table, makeMachines(static_cast<int>(count), 620), Start);
        const auto before = heapBytes();
        const auto routing = buildRoutingTable(configuration, membersOfServices(table, configuration, Start));
        return heapBytes() - before;
    });
    printSlope("an entry daemon's unobserved agents, by machines", "ns", machines, [](double count) {
        const auto list = makeMachines(static_cast<int>(count), 620);
        return nanosecondsPerCall(1, [&] { (void)unobservedBy(list.machines, "vm-0", PeerLimits {}); });
    });
    printSlope("selecting observers, by machines", "ns", machines, [](double count) {
        const auto list = makeMachines(static_cast<int>(count), 620);
        return nanosecondsPerCall(3, [&] { (void)selectHeartbeatObservers(list.machines, list.machines[1], PeerLimits {}); });
    });
}

void measureMessages()
{
    const Heartbeat heartbeat {7, {1, 2}, 8, false, 9, {10, 11, 12}};
    const auto datagram = encodeDatagram(heartbeat);
    std::printf("heartbeat datagram: %zu bytes\n", datagram.size());
    printSlope("announcement, by flows", "bytes", {10, 20, 40, 80}, [](double flows) {
        Announce announce;
        announce.flows.assign(static_cast<std::size_t>(flows), flowNumber(1));
        return static_cast<double>(encodeDatagram(announce).size());
    });
    printSlope("decoding and applying heartbeats, by number", "ns", {100, 200, 400, 800}, [&](double count) {
        MemberTable table;
        return nanosecondsPerCall(20, [&] {
            for (int index = 0; index < static_cast<int>(count); ++index) {
                const auto message = decodeDatagram(datagram);
                applyHeartbeat(table, std::get<Heartbeat>(message.value()), Start);
            }
        });
    });
}

/// The caller's side of one connection, simulated here because lwIP would loop a connection to itself back internally.
struct SimulatedCaller {
    FlowKey flow;
    std::uint32_t nextSequence = 0;
    std::uint32_t remoteSequence = 0;
};

/// Returns a segment from a caller with valid checksums.
std::vector<std::byte> makeSegment(const SimulatedCaller &caller, std::uint8_t flags, std::size_t payloadSize)
{
    auto packet = makeProbe({caller.flow.service, caller.flow.caller}, caller.nextSequence);
    packet.resize(packet.size() + payloadSize);
    const auto put16 = [&](std::size_t offset, std::uint32_t value) {
        packet[offset] = static_cast<std::byte>(value >> 8U);
        packet[offset + 1] = static_cast<std::byte>(value);
    };
    const auto sum = [&](std::size_t first, std::size_t last, std::uint32_t start) {
        for (std::size_t index = first; index < last; ++index)
            start += std::to_integer<std::uint32_t>(packet[index]) << (index % 2 == 0 ? 8U : 0U);
        while ((start >> 16U) != 0)
            start = (start & 0xffffU) + (start >> 16U);
        return start;
    };
    constexpr std::size_t IpSize = 20;
    put16(2, static_cast<std::uint32_t>(packet.size()));
    put16(10, 0);
    put16(10, ~sum(0, IpSize, 0));
    put16(28, caller.remoteSequence >> 16U);
    put16(30, caller.remoteSequence);
    packet[33] = static_cast<std::byte>(flags);
    put16(34, 0xffff);
    put16(36, 0);
    const auto pseudoHeader = sum(12, IpSize, 6U + static_cast<std::uint32_t>(packet.size() - IpSize));
    put16(36, ~sum(IpSize, packet.size(), pseudoHeader));
    return packet;
}

/// Measures the memory of an agent's TCP stack with many idle connections, and the cost of one segment on one of them.
void measureStack()
{
    constexpr std::uint8_t Syn = 0x02;
    constexpr std::uint8_t Ack = 0x10;
    static std::uint32_t lastSequence = 0;
    auto &stack = LwipStack::start([](std::span<const std::byte> packet) {
        const auto segment = parsePacket(packet, PacketDirection::ToCaller);
        if (segment.has_value() && segment.value().isSyn)
            lastSequence = segment.value().sequence;
    });
    const LwipLock lock;
    (void)stack.addAddress(0x0a140001);
    (void)stack.listen({0x0a140001, 7'000});
    std::vector<SimulatedCaller> callers;
    std::vector<std::unique_ptr<LwipConnection>> accepted;
    const auto openConnections = [&](double size) {
        while (static_cast<double>(callers.size()) < size) {
            SimulatedCaller caller {flowNumber(static_cast<std::uint32_t>(callers.size())), 1'000, 0};
            stack.input(makeSegment(caller, Syn, 0));
            caller.nextSequence += 1;
            caller.remoteSequence = lastSequence + 1;
            stack.input(makeSegment(caller, Ack, 0));
            callers.push_back(caller);
            for (auto &connection : stack.takeAccepted()) {
                connection->setToken(accepted.size());
                accepted.push_back(std::move(connection));
            }
        }
    };
    std::mt19937_64 random(1);
    const std::vector<double> sizes {500, 1'000, 2'000, 4'000, 8'000};
    printSlope("stack memory, by idle connections", "bytes", sizes, [&](double size) {
        static const double empty = heapBytes();
        openConnections(size);
        // The vector of callers belongs to the benchmark and not to the stack.
        return heapBytes() - empty - static_cast<double>(callers.capacity() * sizeof(SimulatedCaller));
    });
    std::printf("stack: %zu connections accepted of %zu\n", accepted.size(), callers.size());
    accepted.clear();
    callers.clear();
    printSlope("stack: one segment in, by connections", "ns", sizes, [&](double size) {
        openConnections(size);
        return nanosecondsPerCall(2'000, [&] {
            auto &caller = callers[random() % callers.size()];
            stack.input(makeSegment(caller, Ack, 1));
            caller.nextSequence += 1;
            for (const auto token : stack.takeReady())
                accepted[token]->consume(1);
        });
    });
    printSlope("making that segment alone, by connections", "ns", sizes, [&](double size) {
        const auto count = static_cast<std::uint64_t>(size);
        return nanosecondsPerCall(2'000, [&] { (void)makeSegment(callers[random() % count], Ack, 1); });
    });
}

void printSpread(const char *name, const SpreadPlan &plan)
{
    const auto result = spreadRevision(plan, PeerLimits {});
    std::printf("spread %-28s daemons %d reached %d last %lld ms, after cut %lld ms, bytes a daemon %.0f mean %.0f greatest, %d readers "
                "(seed %llu)\n",
                name,
                plan.daemons,
                result.daemonsReached,
                static_cast<long long>(result.propagationTime.count()),
                static_cast<long long>(result.recoveryTimeAfterPartition.count()),
                result.bytesPerDaemon,
                result.maximumBytesOfADaemon,
                result.platformReaders,
                static_cast<unsigned long long>(plan.seed));
    std::fflush(stdout);
}

void measureSpread()
{
    for (const int daemons : {247, 494, 988, 1'975, 3'950}) {
        SpreadPlan plan;
        plan.daemons = daemons;
        printSpread("1% loss", plan);
    }
    SpreadPlan partitioned;
    partitioned.isDomainPartitioned = true;
    printSpread("a domain cut off for 60 s", partitioned);
    SpreadPlan lossy;
    lossy.loss = 0.1;
    printSpread("10% loss", lossy);
}

} // namespace

int main()
{
    measureRouting();
    measureAgent();
    measureControlState();
    measureMessages();
    measureSpread();
    measureStack();
    // Exit without running destructors: the thread of lwIP cannot be stopped, and its connections need not be closed.
    std::fflush(stdout);
    std::_Exit(0);
}
