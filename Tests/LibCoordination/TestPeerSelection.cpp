#include "LibCoordination/PeerSelection.h"

#include "LibState/FlowKey.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace Papaya {

namespace {

std::vector<VirtualMachine> makeFleet(int count)
{
    std::vector<VirtualMachine> machines;
    for (int index = 0; index < count; ++index) {
        VirtualMachine machine;
        machine.name = "vm-" + std::to_string(index);
        machine.role = index % 7 == 0 ? VmRole::Entry : VmRole::Target;
        machine.group = "group-" + std::to_string(index % 11);
        machine.failureDomain = "domain-" + std::to_string(index % 3);
        machines.push_back(machine);
    }
    return machines;
}

} // namespace

TEST(PeerSelection, SelectsPeersInsideAndOutsideTheFailureDomain)
{
    const auto fleet = makeFleet(200);
    const PeerLimits limits;
    for (const auto &self : fleet) {
        const auto peers = selectPeers(fleet, self, limits);
        ASSERT_EQ(peers.size(), limits.peersInFailureDomain + limits.peersInOtherDomains);
        const auto peersInDomain =
            std::count_if(peers.begin(), peers.end(), [&](const auto &peer) { return peer.failureDomain == self.failureDomain; });
        EXPECT_EQ(static_cast<std::size_t>(peersInDomain), limits.peersInFailureDomain);
        EXPECT_TRUE(std::none_of(peers.begin(), peers.end(), [&](const auto &peer) { return peer.name == self.name; }));
    }
}

TEST(PeerSelection, ElectsFixedNumberOfPlatformReadersPerFailureDomain)
{
    const auto fleet = makeFleet(200);
    const PeerLimits limits;
    const auto readers =
        std::count_if(fleet.begin(), fleet.end(), [&](const auto &machine) { return isPlatformReader(fleet, machine.name, limits); });
    EXPECT_EQ(static_cast<std::size_t>(readers), limits.platformReaders * 3);
    EXPECT_TRUE(isPlatformReader(fleet, "not-listed-yet", limits));
}

TEST(PeerSelection, SendsHeartbeatsToAllAgentsOfTheServiceAndAFewEntryDaemons)
{
    const auto fleet = makeFleet(120);
    const PeerLimits limits;
    const auto &self = fleet.at(1);
    const auto observers = selectHeartbeatObservers(fleet, self, limits);
    const auto entries =
        std::count_if(observers.begin(), observers.end(), [](const auto &machine) { return machine.role == VmRole::Entry; });
    EXPECT_EQ(static_cast<std::size_t>(entries), limits.heartbeatObservers);
    for (const auto &machine : fleet) {
        if (machine.role != VmRole::Target || machine.group != self.group || machine.name == self.name)
            continue;
        EXPECT_TRUE(std::any_of(observers.begin(), observers.end(), [&](const auto &observer) { return observer.name == machine.name; }));
    }
}

TEST(PeerSelection, EntryDaemonsAndAgentsComputeTheSameObservers)
{
    const auto fleet = makeFleet(120);
    const PeerLimits limits;
    for (const auto &entry : fleet) {
        if (entry.role != VmRole::Entry)
            continue;
        const auto unobserved = unobservedBy(fleet, entry.name, limits);
        for (const auto &agent : fleet) {
            if (agent.role != VmRole::Target)
                continue;
            const auto observers = selectHeartbeatObservers(fleet, agent, limits);
            const bool isObserver =
                std::any_of(observers.begin(), observers.end(), [&](const auto &observer) { return observer.name == entry.name; });
            EXPECT_NE(unobserved.contains(hashOf(agent.name)), isObserver);
        }
    }
}

} // namespace Papaya
