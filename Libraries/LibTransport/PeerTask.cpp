#include "LibTransport/PeerTask.h"

#include "LibCoordination/PeerSelection.h"
#include "LibProtocol/VmListJson.h"
#include "LibState/FlowKey.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/MonotonicClock.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr std::uint64_t ListenerToken = 0;
constexpr Duration PollInterval {50};
constexpr Duration ReconnectInterval {1'000};
constexpr Duration DigestInterval {2'000};
/// How long this daemon waits for missing texts from one peer before it requests them from another.
constexpr Duration SyncRequestInterval {300};
/// Maximum number of simultaneous peer connections, inbound and outbound. Further connections are refused.
constexpr std::size_t MaximumPeerConnections = 128;

} // namespace

PeerTask::PeerTask(caf::actor_config &config, VirtualMachine self, std::vector<Endpoint> seeds, caf::actor controlState)
    : caf::blocking_actor(config)
    , m_self(std::move(self))
    , m_peerAddresses(std::move(seeds))
    , m_controlState(std::move(controlState))
{
}

void PeerTask::act()
{
    auto listener = listenStream(m_self.daemon);
    if (listener.has_error()) {
        EventLog("peer_listen_failed", LogLevel::Error).with(listener.error());
        return;
    }
    m_listener = std::move(listener.value());
    m_poll.addReader(m_listener.get(), ListenerToken);
    send(m_controlState, SubscribeToControlState {this});
    while (!m_isStopped) {
        m_poll.wait(PollInterval, [&](std::uint64_t token) { token == ListenerToken ? acceptPeers() : pumpPeer(token); });
        processMessages();
        const auto now = currentTime();
        if (now - m_connectAttemptedAt >= ReconnectInterval) {
            m_connectAttemptedAt = now;
            connectPeers();
        }
        if (now - m_digestSentAt >= DigestInterval)
            sendDigestToAll();
    }
}

void PeerTask::processMessages()
{
    drainMailbox(
        *this,
        m_messageGuard,
        [&](const ConfigurationInForce &inForce) {
            m_configuration = inForce;
            sendDigestToAll();
        },
        [&](const VmListInForce &inForce) {
            m_vmList = inForce;
            m_history.add(*inForce.list);
            m_peerAddresses.clear();
            for (const auto &machine : selectPeers(inForce.list->machines, m_self, PeerLimits {}))
                m_peerAddresses.push_back(machine.daemon);
            sendDigestToAll();
        },
        [&](Stop) { m_isStopped = true; });
}

void PeerTask::acceptPeers()
{
    while (auto stream = acceptStream(m_listener))
        addPeer(std::move(*stream), std::nullopt);
}

void PeerTask::connectPeers()
{
    for (const auto &address : m_peerAddresses) {
        const bool isConnected =
            std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &peer) { return peer.second->address == address; });
        if (isConnected || address == m_self.daemon)
            continue;
        auto stream = connectStream(address);
        if (stream.has_value())
            addPeer(std::move(stream.value()), address);
    }
    std::erase_if(m_peers, [&](const auto &entry) {
        const auto &address = entry.second->address;
        return address && std::find(m_peerAddresses.begin(), m_peerAddresses.end(), *address) == m_peerAddresses.end();
    });
}

void PeerTask::addPeer(FileDescriptor stream, std::optional<Endpoint> address)
{
    if (m_peers.size() >= MaximumPeerConnections) {
        EventLog("peer_refused", LogLevel::Warning).with("reason", "peer_limit");
        return;
    }
    const auto token = m_nextToken++;
    auto peer = std::make_unique<Peer>(Peer {FrameChannel(std::move(stream)), address});
    m_poll.addStream(peer->channel.descriptor(), token);
    sendDigest(*peer);
    m_peers.emplace(token, std::move(peer));
}

void PeerTask::pumpPeer(std::uint64_t token)
{
    const auto found = m_peers.find(token);
    if (found == m_peers.end())
        return;
    auto &peer = *found->second;
    const auto result = peer.channel.pump([&](std::span<const std::byte> frame) { return handleFrame(peer, frame); });
    if (result.has_value())
        return;
    if (peer.hasReceivedFrame || result.error().kind == FailureKind::FrameTooLarge || result.error().kind == FailureKind::MalformedFrame)
        EventLog("peer_closed", LogLevel::Warning).with("address", peer.address ? toString(*peer.address) : "inbound").with(result.error());
    m_peers.erase(found);
}

bool PeerTask::handleFrame(Peer &peer, std::span<const std::byte> frame)
{
    auto message = decodePeerFrame(frame);
    if (message.has_error())
        return false;
    peer.hasReceivedFrame = true;
    if (const auto *digest = std::get_if<Digest>(&message.value()))
        handleDigest(peer, *digest);
    else if (const auto *text = std::get_if<RevisionedText>(&message.value()))
        send(m_controlState, OfferConfiguration {*text, RevisionSource::Peer});
    else if (const auto *machines = std::get_if<VmListText>(&message.value()))
        send(m_controlState, OfferVmList {machines->text, RevisionSource::Peer});
    else if (const auto *change = std::get_if<VmListChangeText>(&message.value()))
        return offerChange(*change);
    return true;
}

bool PeerTask::offerChange(const VmListChangeText &text)
{
    auto change = parseVmListChange(text.baseVersion, text.changed, text.removed);
    if (change.has_error())
        return false;
    send(m_controlState, OfferVmListChange {std::move(change.value())});
    return true;
}

void PeerTask::handleDigest(Peer &peer, const Digest &digest)
{
    send(m_controlState, PeerRevisionReported {digest.configurationRevision});
    const auto own = ownDigest();
    if (own.configurationRevision > digest.configurationRevision)
        peer.channel.send(encodePeerFrame(*m_configuration->text));
    if (own.vmListVersion > digest.vmListVersion)
        sendVmList(peer, digest.vmListVersion);
    if (shouldRequestSync(own, digest))
        sendDigest(peer);
    const bool isConflict = own.configurationRevision == digest.configurationRevision && own.configurationHash != digest.configurationHash;
    if (isConflict)
        EventLog("configuration_conflict", LogLevel::Error).with("revision", own.configurationRevision);
}

void PeerTask::sendVmList(Peer &peer, std::uint64_t peerVersion)
{
    const auto change = m_history.changeSince(peerVersion);
    if (change)
        peer.channel.send(encodePeerFrame(VmListChangeText {change->baseVersion, formatChangedMachines(*change), change->removed}));
    else
        peer.channel.send(encodePeerFrame(VmListText {*m_vmList->text}));
}

/// Returns whether to send a digest to a peer that has newer texts. The peer responds to the digest with the texts that this daemon
/// lacks. At most one such digest is sent in each SyncRequestInterval, so that the same text does not arrive from all peers.
bool PeerTask::shouldRequestSync(const Digest &own, const Digest &peerDigest)
{
    const bool isBehind = own.configurationRevision < peerDigest.configurationRevision || own.vmListVersion < peerDigest.vmListVersion;
    const auto now = currentTime();
    if (!isBehind || now - m_syncRequestedAt < SyncRequestInterval)
        return false;
    m_syncRequestedAt = now;
    return true;
}

void PeerTask::sendDigest(Peer &peer)
{
    peer.channel.send(encodePeerFrame(ownDigest()));
}

void PeerTask::sendDigestToAll()
{
    m_digestSentAt = currentTime();
    std::vector<std::uint64_t> tokens;
    for (const auto &[token, peer] : m_peers) {
        sendDigest(*peer);
        tokens.push_back(token);
    }
    for (const auto token : tokens)
        pumpPeer(token);
}

Digest PeerTask::ownDigest() const
{
    Digest digest;
    if (m_configuration) {
        digest.configurationRevision = m_configuration->text->revision;
        digest.configurationHash = hashOf(m_configuration->text->text);
    }
    if (m_vmList)
        digest.vmListVersion = m_vmList->list->version;
    return digest;
}

} // namespace Papaya
