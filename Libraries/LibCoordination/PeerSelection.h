#pragma once

#include "LibState/Member.h"
#include "LibState/VmList.h"

#include <span>
#include <unordered_set>
#include <vector>

/// Which other daemons a daemon talks to for control, so that no one talks to all.
namespace Papaya {

/// The fan-out of control traffic.
struct PeerLimits {
    /// Peers within the own failure domain, and peers anywhere else.
    std::size_t nearPeers = 3;
    std::size_t farPeers = 3;
    /// Daemons of each failure domain that watch the platform; the rest learn from peers.
    std::size_t platformReaders = 8;
    /// Entry daemons to which an agent sends heartbeats, besides all agents of its own service.
    std::size_t heartbeatObservers = 3;
    /// The most agents of its own service to which an agent sends heartbeats.
    std::size_t heartbeatServicePeers = 16;
};

/// Returns the daemons to which `self` keeps a peer connection, ranked by rendezvous hash with `self` as the key.
[[nodiscard]] std::vector<VirtualMachine>
selectPeers(std::span<const VirtualMachine> machines, const VirtualMachine &self, const PeerLimits &limits);

/// Returns whether `self` watches the platform itself: whether it is among the first-ranked of its failure domain.
/// A daemon that is not in the list yet reads for itself.
[[nodiscard]] bool isPlatformReader(std::span<const VirtualMachine> machines, std::string_view self, const PeerLimits &limits);

/// Returns the daemons that get the heartbeats of the agent on `self`.
[[nodiscard]] std::vector<VirtualMachine>
selectHeartbeatObservers(std::span<const VirtualMachine> machines, const VirtualMachine &self, const PeerLimits &limits);

/// Returns the agents whose heartbeats do not go to the entry daemon `entry`.
[[nodiscard]] std::unordered_set<MemberId>
unobservedBy(std::span<const VirtualMachine> machines, std::string_view entry, const PeerLimits &limits);

} // namespace Papaya
