#pragma once

#include "LibCoordination/VmListChange.h"
#include "LibProtocol/PeerFrameCodec.h"
#include "LibTransport/DaemonMessages.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/FrameChannel.h"
#include "LibTransport/MessageGuard.h"

#include <map>
#include <memory>
#include <optional>

namespace Papaya {

/// Distributes configuration texts and VM lists between daemons by anti-entropy gossip: each daemon sends a digest of the versions in
/// force to a few peers, and sends its own texts to a peer with older versions. Thus a change also reaches daemons that cannot reach
/// the platform.
class PeerTask : public caf::blocking_actor
{
public:
    PeerTask(caf::actor_config &config, VirtualMachine self, std::vector<Endpoint> seeds, caf::actor controlState);

    void act() override;

private:
    struct Peer {
        FrameChannel channel;
        /// The address to which this daemon connected. Empty for an inbound connection.
        std::optional<Endpoint> address;
        /// Whether a valid frame was received. Until then, a connection failure is not logged, unless a frame was too large or malformed.
        bool hasReceivedFrame = false;
    };

    void processMessages();
    void acceptPeers();
    void connectPeers();
    void addPeer(FileDescriptor stream, std::optional<Endpoint> address);
    void pumpPeer(std::uint64_t token);
    /// Returns whether the frame was well-formed.
    [[nodiscard]] bool handleFrame(Peer &peer, std::span<const std::byte> frame);
    /// Sends a change of the VM list to ControlStateTask. Returns whether the change was well-formed.
    [[nodiscard]] bool offerChange(const VmListChangeText &text);
    void handleDigest(Peer &peer, const Digest &digest);
    [[nodiscard]] bool shouldRequestSync(const Digest &own, const Digest &peerDigest);
    /// Sends the changes since `peerVersion`, or the whole list if that version is no longer in the history.
    void sendVmList(Peer &peer, std::uint64_t peerVersion);
    void sendDigest(Peer &peer);
    void sendDigestToAll();
    [[nodiscard]] Digest ownDigest() const;

    VirtualMachine m_self;
    std::vector<Endpoint> m_peerAddresses;
    caf::actor m_controlState;
    EventPoll m_poll;
    FileDescriptor m_listener;
    std::map<std::uint64_t, std::unique_ptr<Peer>> m_peers;
    std::uint64_t m_nextToken = 1;
    std::optional<ConfigurationInForce> m_configuration;
    std::optional<VmListInForce> m_vmList;
    VmListHistory m_history;
    TimePoint m_connectAttemptedAt;
    TimePoint m_digestSentAt;
    TimePoint m_syncRequestedAt;
    bool m_isStopped = false;
    MessageGuard m_messageGuard;
};

} // namespace Papaya
