#pragma once

#include "LibCoordination/VmListChange.h"
#include "LibProtocol/PeerFrameCodec.h"
#include "LibTransport/DaemonMessages.h"
#include "LibTransport/EventPoll.h"
#include "LibTransport/FrameChannel.h"

#include <map>
#include <memory>
#include <optional>

namespace Papaya {

/// Passes configuration texts and VM lists between daemons: each tells a few peers what it has in force, and sends its own
/// to a peer that is behind. A change so arrives where the platform cannot be reached.
class PeerTask : public caf::blocking_actor
{
public:
    PeerTask(caf::actor_config &config, VirtualMachine self, std::vector<Endpoint> seeds, caf::actor controlState);

    void act() override;

private:
    struct Peer {
        FrameChannel channel;
        /// Where this daemon connected to; nothing for a peer that connected here.
        std::optional<Endpoint> address;
        bool hasReceivedFrame = false;
    };

    void drainMailbox();
    void acceptPeers();
    void connectPeers();
    void addPeer(FileDescriptor stream, std::optional<Endpoint> address);
    void pumpPeer(std::uint64_t token);
    [[nodiscard]] bool handleFrame(Peer &peer, std::span<const std::byte> frame);
    /// Hands a change to the knowledge task. Returns whether it was well-formed.
    [[nodiscard]] bool offerChange(const VmListChangeText &text);
    void handleDigest(Peer &peer, const Digest &digest);
    [[nodiscard]] bool shouldRequestSync(const Digest &own, const Digest &peerDigest);
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
};

} // namespace Papaya
