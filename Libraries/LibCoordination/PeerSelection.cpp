#include "LibCoordination/PeerSelection.h"

#include "LibBalancing/RendezvousHash.h"
#include "LibState/FlowKey.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns at most `count` machines that satisfy `isCandidate`, in rendezvous rank order for a key.
template <typename Predicate>
std::vector<VirtualMachine>
rankMachines(std::span<const VirtualMachine> machines, std::uint64_t key, std::size_t count, Predicate isCandidate)
{
    std::vector<const VirtualMachine *> candidates;
    std::vector<std::uint64_t> ids;
    for (const auto &machine : machines) {
        if (!isCandidate(machine))
            continue;
        candidates.push_back(&machine);
        ids.push_back(hashOf(machine.name));
    }
    std::vector<VirtualMachine> ranked;
    for (const auto index : rendezvousRank(ids, key, count))
        ranked.push_back(*candidates[index]);
    return ranked;
}

/// The rendezvous key of the election of platform readers. It is the same everywhere, so that all daemons compute the same rank.
constexpr std::uint64_t ReaderElectionKey = 0x72656164657273ULL;

} // namespace

std::vector<VirtualMachine> selectPeers(std::span<const VirtualMachine> machines, const VirtualMachine &self, const PeerLimits &limits)
{
    const auto key = hashOf(self.name);
    const auto isInSameDomain = [&](const VirtualMachine &machine) {
        return machine.name != self.name && machine.failureDomain == self.failureDomain;
    };
    const auto isInOtherDomain = [&](const VirtualMachine &machine) { return machine.failureDomain != self.failureDomain; };
    auto peers = rankMachines(machines, key, limits.peersInFailureDomain, isInSameDomain);
    auto peersElsewhere = rankMachines(machines, key, limits.peersInOtherDomains, isInOtherDomain);
    peers.insert(peers.end(), std::make_move_iterator(peersElsewhere.begin()), std::make_move_iterator(peersElsewhere.end()));
    return peers;
}

bool isPlatformReader(std::span<const VirtualMachine> machines, std::string_view self, const PeerLimits &limits)
{
    const auto own = std::find_if(machines.begin(), machines.end(), [&](const VirtualMachine &machine) { return machine.name == self; });
    if (own == machines.end())
        return true;
    const auto isInSameDomain = [&](const VirtualMachine &machine) { return machine.failureDomain == own->failureDomain; };
    const auto readers = rankMachines(machines, ReaderElectionKey, limits.platformReaders, isInSameDomain);
    return std::any_of(readers.begin(), readers.end(), [&](const VirtualMachine &machine) { return machine.name == self; });
}

std::vector<VirtualMachine>
selectHeartbeatObservers(std::span<const VirtualMachine> machines, const VirtualMachine &self, const PeerLimits &limits)
{
    const auto key = hashOf(self.name);
    const auto isEntry = [](const VirtualMachine &machine) { return machine.role == VmRole::Entry; };
    const auto isServicePeer = [&](const VirtualMachine &machine) {
        return machine.role == VmRole::Target && machine.group == self.group && machine.name != self.name;
    };
    auto observers = rankMachines(machines, key, limits.heartbeatObservers, isEntry);
    auto peers = rankMachines(machines, key, limits.heartbeatServicePeers, isServicePeer);
    observers.insert(observers.end(), std::make_move_iterator(peers.begin()), std::make_move_iterator(peers.end()));
    return observers;
}

std::unordered_set<MemberId> unobservedBy(std::span<const VirtualMachine> machines, std::string_view entry, const PeerLimits &limits)
{
    std::vector<std::uint64_t> entries;
    std::uint64_t own = 0;
    for (const auto &machine : machines) {
        if (machine.role != VmRole::Entry)
            continue;
        entries.push_back(hashOf(machine.name));
        if (machine.name == entry)
            own = entries.back();
    }
    std::unordered_set<MemberId> unobserved;
    for (const auto &machine : machines) {
        if (machine.role != VmRole::Target)
            continue;
        const auto key = hashOf(machine.name);
        const auto ranked = rendezvousRank(entries, key, limits.heartbeatObservers);
        const bool isObserver = std::any_of(ranked.begin(), ranked.end(), [&](std::size_t index) { return entries[index] == own; });
        if (!isObserver)
            unobserved.insert(key);
    }
    return unobserved;
}

} // namespace Papaya
