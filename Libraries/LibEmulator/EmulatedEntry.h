#pragma once

#include "LibCoordination/EntryRelay.h"
#include "LibEmulator/EmulatedNetwork.h"
#include "LibEmulator/EmulatedProcess.h"
#include "LibProtocol/RelayCodec.h"

namespace Papaya::Emulator {

/// An emulated entry daemon, which runs the production decisions and codec.
class EmulatedEntry : private EntryOutput
{
public:
    EmulatedEntry(EventQueue &events, EmulatedNetwork &network, Endpoint address, std::string name, std::string failureDomain);

    /// Starts a new process with an empty state and a complete list of routes and targets.
    void start(const ChoiceWeights &weights, const RouteTable &routes, const std::vector<PublishedTarget> &targets);
    /// From now on the daemon reports that it is not ready, and serves on.
    void beginStop() { m_isStopping = true; }

    void receiveFromCaller(const EmulatedPacket &packet);
    void receiveFromAgent(const Endpoint &agent, std::vector<std::byte> datagram);
    /// Deliver what the platform publishes.
    void publishRoutes(const RouteTable &routes);
    void publishTarget(const PublishedTarget &target);
    void withdrawTarget(MemberId target, Duration grace);

    [[nodiscard]] EmulatedProcess &process() { return m_process; }
    [[nodiscard]] const Endpoint &address() const { return m_address; }
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::string &failureDomain() const { return m_failureDomain; }
    /// Returns whether the daemon answers the fabric's readiness check.
    [[nodiscard]] bool isReady() const { return m_process.isRunning() && !m_isStopping && hasRoutesAndTargets(m_relay); }

private:
    void sendToAgent(const Endpoint &agent, const RelayEnvelope &envelope) override;
    void sendQuery(const Endpoint &agent, const RelayQuery &query) override;
    void resetCaller(const FlowKey &flow, std::uint32_t sequence) override;
    void refreshTargets() override { }
    void recordDecision(const FlowKey &flow, RelayReason reason, const Endpoint &agent) override;

    void handleDatagram(const Endpoint &agent, std::span<const std::byte> datagram);
    void subscribeToAgents();
    void onIteration();

    EventQueue &m_events;
    EmulatedNetwork &m_network;
    Endpoint m_address;
    std::string m_name;
    std::string m_failureDomain;
    EmulatedProcess m_process;
    EntryRelay m_relay;
    RelayEncoder m_encoder;
    bool m_isStopping = false;
    TimePoint m_tickedAt;
    TimePoint m_subscribedAt;
};

} // namespace Papaya::Emulator
