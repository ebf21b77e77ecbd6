// Compares the entry daemon's packet path with a plain UDP relay of the same packets over loopback, in one run. Each runs in one
// thread together with its sender and its receiver, so that the ratio of their throughputs does not depend on other load of the
// machine.

#include "LibCoordination/RoutingTable.h"
#include "LibProtocol/DatagramCodec.h"
#include "LibProtocol/IpPacket.h"
#include "LibTransport/DatagramSocket.h"

#include <benchmark/benchmark.h>

namespace {

using namespace Papaya;

constexpr std::uint32_t Loopback = 0x7f000001;
constexpr int BatchSize = 64;
constexpr Endpoint ServiceAddress {0x0a140001, 7'000};

/// Binds a socket to the first free port at or above `port`.
std::pair<DatagramSocket, Endpoint> bindFrom(std::uint16_t port)
{
    while (true) {
        const Endpoint endpoint {Loopback, port++};
        auto socket = DatagramSocket::bind(endpoint);
        if (socket.has_value())
            return {std::move(socket.value()), endpoint};
    }
}

/// A sender, a relay and a receiver on loopback.
struct RelayPath {
    std::pair<DatagramSocket, Endpoint> sender = bindFrom(33'000);
    std::pair<DatagramSocket, Endpoint> relay = bindFrom(33'100);
    std::pair<DatagramSocket, Endpoint> receiver = bindFrom(33'200);
    std::vector<std::byte> packet = makeProbe({ServiceAddress, {0x0a630001, 4'711}}, 1);

    /// Sends one batch of packets, relays each with `forward`, and receives the batch.
    template <typename Forward>
    void transferBatch(Forward forward)
    {
        for (int index = 0; index < BatchSize; ++index)
            sender.first.send(relay.second, packet);
        int relayed = 0;
        while (relayed < BatchSize)
            relayed += static_cast<int>(relay.first.receive([&](std::span<const std::byte> bytes, const Endpoint &) { forward(bytes); }));
        int received = 0;
        while (received < BatchSize)
            received += static_cast<int>(receiver.first.receive([](std::span<const std::byte>, const Endpoint &) {}));
    }
};

void bareRelay(benchmark::State &state)
{
    RelayPath path;
    for (auto _ : state)
        path.transferBatch([&](std::span<const std::byte> bytes) { path.relay.first.send(path.receiver.second, bytes); });
    state.SetItemsProcessed(state.iterations() * BatchSize);
}
BENCHMARK(bareRelay);

void entryDaemonPath(benchmark::State &state)
{
    RelayPath path;
    Configuration configuration;
    configuration.revision = 1;
    ServiceConfiguration service;
    service.name = "ledger";
    service.addresses = {ServiceAddress};
    configuration.services = {service};
    MembersByService members;
    for (int index = 0; index < static_cast<int>(state.range(0)); ++index) {
        Member member;
        member.id = hashOf("ledger-" + std::to_string(index));
        member.daemon = path.receiver.second;
        members["ledger"].push_back(std::move(member));
    }
    const auto table = buildRoutingTable(configuration, members);
    const FlowHints hints(65'536);
    for (auto _ : state) {
        path.transferBatch([&](std::span<const std::byte> bytes) {
            const auto segment = parsePacket(bytes, PacketDirection::FromCaller);
            const auto decision = routeFlowByHints(table, hints, segment.value().flow, TimePoint {});
            path.relay.first.send(decision.destination->daemon, encodeEnvelope({decision.route->service, 1, 0, 1, {}, {}}, bytes));
        });
    }
    state.SetItemsProcessed(state.iterations() * BatchSize);
}
BENCHMARK(entryDaemonPath)->Arg(7)->Arg(70)->Arg(700);

} // namespace
