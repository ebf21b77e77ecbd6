// Measures the entry daemon's work on one packet, which is to parse, route and encapsulate it. A plain copy of a packet in the
// same run is the baseline.

#include "LibCoordination/RoutingTable.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"

#include <benchmark/benchmark.h>

namespace {

using namespace Papaya;

constexpr Endpoint ServiceAddress {0x0a140001, 7'000};
constexpr std::size_t PacketSize = 600;

RoutingTable makeTable(int targets)
{
    Configuration configuration;
    configuration.revision = 1;
    ServiceConfiguration service;
    service.name = "ledger";
    service.addresses = {ServiceAddress};
    configuration.services = {service};
    MembersByService members;
    for (int index = 0; index < targets; ++index) {
        Member member;
        member.name = "ledger-" + std::to_string(index);
        member.id = hashOf(member.name);
        members["ledger"].push_back(std::move(member));
    }
    return buildRoutingTable(configuration, members);
}

FlowKey flowNumber(std::uint32_t number)
{
    return {{0x0a630000U + number / 60'000U, static_cast<std::uint16_t>(1 + number % 60'000U)}, ServiceAddress};
}

void routeDecision(benchmark::State &state)
{
    const auto table = makeTable(static_cast<int>(state.range(0)));
    std::uint32_t number = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(routeFlow(table, flowNumber(number++)));
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(routeDecision)->Arg(7)->Arg(70)->Arg(700);

/// Returns a complete packet from a caller: a probe, which a service sends to a caller, with source and destination exchanged.
std::vector<std::byte> makePacket()
{
    return makeProbe({ServiceAddress, {0x0a630001, 4'711}}, 1);
}

void wrapPacket(benchmark::State &state)
{
    const auto table = makeTable(static_cast<int>(state.range(0)));
    const auto packet = makePacket();
    for (auto _ : state) {
        const auto segment = parsePacket(packet, PacketDirection::FromCaller);
        const auto decision = routeFlow(table, segment.value().flow);
        benchmark::DoNotOptimize(encodeEnvelope({decision.route->service, 1, 0, 1, {}, {}}, packet));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(wrapPacket)->Arg(7)->Arg(700);

void copyPacketAlone(benchmark::State &state)
{
    const std::vector<std::byte> packet(PacketSize);
    for (auto _ : state) {
        std::vector<std::byte> copy(packet);
        benchmark::DoNotOptimize(copy.data());
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(copyPacketAlone);

} // namespace
