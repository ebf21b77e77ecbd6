#pragma once

#include "LibCoordination/RelayKnowledge.h"
#include "LibEmulator/EmulatedPacket.h"

#include <optional>
#include <string>
#include <vector>

namespace Papaya::Emulator {

/// What emulated daemons need of the network that connects them.
class EmulatedNetwork
{
public:
    virtual ~EmulatedNetwork() = default;

    virtual void sendToAgent(const Endpoint &entry, const Endpoint &agent, std::vector<std::byte> datagram) = 0;
    virtual void sendToEntry(const Endpoint &agent, const Endpoint &entry, std::vector<std::byte> datagram) = 0;
    virtual void sendToCallers(const EmulatedPacket &packet) = 0;
    virtual void recordDecision(const std::string &entry, const FlowKey &flow, RelayReason reason, const Endpoint &agent) = 0;
    /// Records an event of a flow for later analysis.
    virtual void recordEvent(const std::string &process, const FlowKey &flow, const std::string &event) = 0;
    /// Called with each packet that a target receives; the packet's mark is the entry daemon that sent it.
    virtual void recordTargetPacket(const Endpoint &agent, const PacketSummary &packet) = 0;
    /// Called when a flow opens at a target.
    virtual void recordOpened(const Endpoint &agent, const FlowKey &flow) = 0;
    /// Returns the answers of other entry daemons that are ready to a daemon that has the routes and targets with this digest, or none:
    /// up to three, or up to the first one from a daemon whose list is settled.
    virtual std::vector<RelayKnowledge> queryPeers(const Endpoint &entry, const std::optional<KnowledgeDigest> &digest) = 0;
};

} // namespace Papaya::Emulator
