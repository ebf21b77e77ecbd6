#pragma once

#include "LibCoordination/RelayReason.h"
#include "LibEmulator/EmulatedPacket.h"

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
    /// Called with each packet that an agent sends to its target.
    virtual void recordTargetPacket(const Endpoint &agent, const PacketSummary &packet) = 0;
};

} // namespace Papaya::Emulator
