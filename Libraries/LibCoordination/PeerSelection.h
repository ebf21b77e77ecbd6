#pragma once

#include "LibState/Member.h"
#include "LibState/VmList.h"

#include <span>
#include <unordered_set>
#include <vector>

/// The selection of the daemons with which a daemon exchanges control traffic, so that no daemon contacts all others.
namespace Papaya {

/// The limits of the fan-out of control traffic.
struct PeerLimits {
    /// The number of peers in the daemon's own failure domain, and in all other failure domains together.
    std::size_t peersInFailureDomain = 3;
    std::size_t peersInOtherDomains = 3;
    /// The number of daemons in each failure domain that read from the platform. The other daemons get the same data from their
    /// peers.
    std::size_t platformReaders = 8;
    /// The number of entry daemons to which an agent sends heartbeats, in addition to the agents of its own service.
    std::size_t heartbeatObservers = 3;
    /// The maximum number of agents of its own service to which an agent sends heartbeats.
    std::size_t heartbeatServicePeers = 16;
};

/// Returns the daemons to which `self` keeps a peer connection, ranked by rendezvous hash with `self` as the key.
[[nodiscard]] std::vector<VirtualMachine>
selectPeers(std::span<const VirtualMachine> machines, const VirtualMachine &self, const PeerLimits &limits);

/// Returns whether `self` reads from the platform: whether it is one of the highest-ranked daemons of its failure domain. A
/// daemon that is not in the list yet reads from the platform too.
[[nodiscard]] bool isPlatformReader(std::span<const VirtualMachine> machines, std::string_view self, const PeerLimits &limits);

/// Returns the daemons to which the agent on `self` sends its heartbeats.
[[nodiscard]] std::vector<VirtualMachine>
selectHeartbeatObservers(std::span<const VirtualMachine> machines, const VirtualMachine &self, const PeerLimits &limits);

/// Returns the agents that send no heartbeats to the entry daemon `entry`: all agents if the list does not contain `entry`.
[[nodiscard]] std::unordered_set<MemberId>
unobservedBy(std::span<const VirtualMachine> machines, std::string_view entry, const PeerLimits &limits);

} // namespace Papaya
