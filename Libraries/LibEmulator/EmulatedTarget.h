#pragma once

#include "LibEmulator/EmulatedPacket.h"
#include "LibEmulator/EventQueue.h"
#include "LibState/Member.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace Papaya::Emulator {

/// Properties of an emulated target.
struct TargetOptions {
    std::string name;
    ServiceId service = 0;
    Endpoint address;
    std::string failureDomain = "domain-a";
    std::uint32_t slots = 7;
    std::size_t queueLimit = 28;
    std::size_t flowLimit = 2'000;
    /// A request runs for EmulatedPacket::work divided by this factor.
    double speed = 1;
    /// How long the target is cold after its start. Requests that begin to run meanwhile take `coldSlowness` times as long.
    Duration coldTime {0};
    double coldSlowness = 1;
};

/// An emulated target that is the end point of its flows. It accepts SYNs, runs queued requests in a limited number of slots,
/// retransmits answers until they are acknowledged, and returns packets of flows that it does not hold.
class EmulatedTarget
{
public:
    /// Called with each packet that the target sends or returns.
    using Output = std::function<void(const EmulatedPacket &)>;
    /// Called when a request starts to run, with the flow on which it arrived.
    using RequestStartListener = std::function<void(std::uint64_t request, const FlowKey &flow)>;

    EmulatedTarget(EventQueue &events, std::uint64_t seed, TargetOptions options, Output output, RequestStartListener onRequestStart);

    void receive(const EmulatedPacket &packet);

    /// Stops the target immediately. Its flows, queued and running requests are lost.
    void crash();
    /// Restarts the target as a new incarnation without flows.
    void restart();
    /// Marks the target as draining. It still accepts and serves flows, and closes each one after its next answer.
    void setDraining() { m_isDraining = true; }
    void setSpeed(double speed) { m_options.speed = speed; }
    /// While silent, the target drops all packets that it receives.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

    [[nodiscard]] const TargetOptions &options() const { return m_options; }
    [[nodiscard]] bool isUp() const { return m_isUp; }
    [[nodiscard]] bool isDraining() const { return m_isDraining; }
    /// The time of the target's start.
    [[nodiscard]] Incarnation incarnation() const { return m_incarnation; }
    /// Returns how much longer the target is cold.
    [[nodiscard]] Duration coldTimeLeft() const;
    /// Returns whether the target is up and the flow is open.
    [[nodiscard]] bool holds(const FlowKey &flow) const;
    [[nodiscard]] std::size_t openFlows() const { return m_flows.size(); }
    /// Number of SYNs that started another flow, without retransmissions.
    [[nodiscard]] std::uint64_t newFlows() const { return m_newFlows; }
    [[nodiscard]] std::uint64_t startedRequests() const { return m_startedRequests; }
    /// Number of packets from callers that belonged to no flow of the target.
    [[nodiscard]] std::uint64_t strayPackets() const { return m_strayPackets; }

private:
    struct Flow {
        std::uint32_t sequence = 0;
        /// The sequence number of the caller's SYN.
        std::uint32_t callerSequence = 0;
        /// The sequence number of the caller's next data.
        std::uint32_t expectedSequence = 0;
        bool isOpen = false;
        std::uint64_t request = 0;
        std::optional<EmulatedPacket> answer;
        bool isAnswerAcknowledged = false;
    };
    struct Run {
        FlowKey flow;
        std::uint64_t request = 0;
        std::uint32_t work = 0;
    };

    void send(EmulatedPacket packet);
    /// Ends the target's side of a flow that the caller has finished.
    void sendFin(const FlowKey &key);
    void returnPacket(EmulatedPacket packet);
    void receiveSyn(const EmulatedPacket &packet);
    void receiveData(const EmulatedPacket &packet, Flow &flow);
    void startQueuedRequests();
    void finishRequest(const Run &run, std::uint64_t targetRun);
    void answer(const Run &run, bool isShed);
    void retransmitAnswer(const FlowKey &key, std::uint64_t request, int attempt, std::uint64_t targetRun);

    EventQueue &m_events;
    std::mt19937_64 m_random;
    TargetOptions m_options;
    Output m_output;
    RequestStartListener m_onRequestStart;
    std::unordered_map<FlowKey, Flow> m_flows;
    std::deque<Run> m_queue;
    std::uint32_t m_runningRequests = 0;
    Incarnation m_incarnation = 0;
    /// Incremented when the target starts or stops, so that actions of an earlier run are dropped.
    std::uint64_t m_run = 0;
    bool m_isUp = true;
    bool m_isDraining = false;
    bool m_isSilent = false;
    std::uint64_t m_newFlows = 0;
    std::uint64_t m_startedRequests = 0;
    std::uint64_t m_strayPackets = 0;
};

} // namespace Papaya::Emulator
