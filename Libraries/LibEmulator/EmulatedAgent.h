#pragma once

#include "LibCoordination/AgentStop.h"
#include "LibEmulator/EmulatedNetwork.h"
#include "LibEmulator/EmulatedProcess.h"
#include "LibEmulator/EmulatedTarget.h"
#include "LibProtocol/RelayCodec.h"

namespace Papaya::Emulator {

/// Whether an agent that starts has seen every flow that its target holds.
enum class FlowTableState : std::uint8_t {
    Incomplete,
    Complete,
};

/// An emulated agent, which runs the production decisions and codec, and the target on the same VM.
class EmulatedAgent : private AgentOutput
{
public:
    EmulatedAgent(EventQueue &events, EmulatedNetwork &network, Endpoint address, std::unique_ptr<EmulatedTarget> target);

    /// Sets the limits of the slow start that later processes use.
    void setPaceLimits(const PaceLimits &limits) { m_paceLimits = limits; }

    /// Starts a new process with an empty state.
    void start(FlowTableState flowTable);

    /// Stops the process as planned, like a daemon that gets SIGTERM: it relays packets while its target serves open flows, at the
    /// longest for the time until it would be killed. `onEnded` is called when it has ended.
    void stopGracefully(EventQueue::Action onEnded);
    /// Replaces the target by another one, of the same or another service. The agent applies the change of the service.
    void replaceTarget(std::unique_ptr<EmulatedTarget> target);

    void receiveFromEntry(const Endpoint &entry, std::vector<std::byte> datagram);
    void receiveFromTarget(const EmulatedPacket &packet);

    [[nodiscard]] EmulatedProcess &process() { return m_process; }
    [[nodiscard]] EmulatedTarget &target() { return *m_target; }
    [[nodiscard]] const EmulatedTarget &target() const { return *m_target; }
    [[nodiscard]] const Endpoint &address() const { return m_address; }

private:
    void sendToTarget(std::span<const std::byte> packet, std::uint32_t mark) override;
    void sendToCaller(const Endpoint &caller, std::span<const std::byte> packet) override;
    void sendNotice(const Endpoint &entry, const RelayNotice &notice) override;
    void sendReport(const Endpoint &entry, const RelayReport &report) override;

    void handleDatagram(const Endpoint &entry, std::span<const std::byte> datagram);
    void handleTargetPacket(const EmulatedPacket &packet);
    void answer(const Endpoint &entry, const RelayQuery &query);
    void checkTarget();
    void continueStop();
    void onIteration();

    EventQueue &m_events;
    EmulatedNetwork &m_network;
    Endpoint m_address;
    std::unique_ptr<EmulatedTarget> m_target;
    /// Earlier targets, for which actions may still be scheduled.
    std::vector<std::unique_ptr<EmulatedTarget>> m_formerTargets;
    EmulatedProcess m_process;
    PaceLimits m_paceLimits;
    AgentRelay m_relay;
    RelayEncoder m_encoder;
    TimePoint m_tickedAt;
    std::optional<AgentStop> m_stop;
    EventQueue::Action m_onEnded;
};

} // namespace Papaya::Emulator
