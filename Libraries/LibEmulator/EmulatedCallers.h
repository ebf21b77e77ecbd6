#pragma once

#include "LibEmulator/EmulatedPacket.h"
#include "LibEmulator/EventQueue.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace Papaya::Emulator {

/// A kind of request that callers make.
struct RequestKind {
    std::string name;
    Endpoint address;
    bool isIdempotent = true;
    /// Whether callers reuse a flow for further requests (keep-alive) instead of opening one for each request.
    bool isKeepAlive = true;
    /// Mean rate; the times between requests are drawn from an exponential distribution.
    double requestsPerSecond = 50;
    /// Mean time in milliseconds that a request takes on a target of speed 1, drawn from an exponential distribution.
    double meanWork = 40;
    /// An answer after this time counts as late.
    Duration latencyObjective {250};
    /// A request without an answer after this time has failed.
    Duration deadline {2'000};
};

/// Outcomes of the requests of one kind.
struct RequestStatistics {
    std::uint64_t started = 0;
    std::uint64_t withinObjective = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t resets = 0;
    /// Latency of each answered request in milliseconds.
    std::vector<double> latencies;
};

/// Emulated callers that pool idle flows, retransmit SYNs and requests, apply deadlines and retry failed requests.
class EmulatedCallers
{
public:
    /// Called with each packet that a caller sends.
    using Output = std::function<void(const EmulatedPacket &)>;
    /// Called when an open flow is reset, with the reset. Returns whether a target still holds the flow.
    using IsHeld = std::function<bool(const EmulatedPacket &)>;

    EmulatedCallers(EventQueue &events, std::uint64_t seed, std::vector<RequestKind> kinds, Output output, IsHeld isHeld);

    /// Generates requests until `end`.
    void start(TimePoint end);
    void receive(const EmulatedPacket &packet);
    /// Sets the factor by which the request rates are multiplied from now on.
    /// Sets the probability with which a new flow uses the port of a flow that ended a while ago.
    void setPortReuseRate(double rate) { m_portReuseRate = rate; }
    void setLoadFactor(double factor) { m_loadFactor = factor; }
    [[nodiscard]] std::size_t openFlows() const { return m_flows.size(); }

    [[nodiscard]] const std::vector<RequestStatistics> &statistics() const { return m_statistics; }
    /// Number of open flows that were reset although a target held them.
    [[nodiscard]] std::uint64_t brokenFlows() const { return m_brokenFlows.size(); }
    [[nodiscard]] const std::vector<FlowKey> &brokenFlowKeys() const { return m_brokenFlows; }
    [[nodiscard]] const std::vector<RequestKind> &kinds() const { return m_kinds; }

private:
    struct Request {
        std::size_t kind = 0;
        std::uint64_t id = 0;
        std::uint32_t work = 0;
        TimePoint startedAt;
        int attempts = 0;
        bool isOver = false;
    };
    struct Flow {
        std::size_t kind = 0;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        bool isOpen = false;
        std::uint64_t request = 0;
        std::uint64_t attempt = 0;
        bool isAnswered = false;
    };

    struct ClosedFlow {
        FlowKey key;
        TimePoint closedAt;
    };

    void scheduleNextRequest(std::size_t kind, TimePoint end);
    void startAttempt(std::uint64_t id);
    void openFlow(std::uint64_t request);
    void sendSyn(const FlowKey &key, int retransmission);
    void sendRequest(const FlowKey &key, std::uint64_t attempt, Duration timeout);
    void sendAcknowledgement(const FlowKey &key, const Flow &flow);
    void onSynAck(const EmulatedPacket &packet, Flow &flow);
    void onAnswer(const EmulatedPacket &packet, Flow &flow);
    void onReset(const EmulatedPacket &reset);
    void closeFlow(const FlowKey &key);
    [[nodiscard]] FlowKey chooseFlowKey(std::size_t kind);
    void failAttempt(std::uint64_t id, bool isSafeToRetry);
    void finishRequest(Request &request, bool isAnswered);
    [[nodiscard]] EmulatedPacket makePacket(const FlowKey &key, const Flow &flow) const;

    EventQueue &m_events;
    std::mt19937_64 m_random;
    std::vector<RequestKind> m_kinds;
    Output m_output;
    IsHeld m_isHeld;
    double m_loadFactor = 1;
    double m_portReuseRate = 0;
    std::deque<ClosedFlow> m_closedFlows;
    std::map<std::uint64_t, Request> m_requests;
    std::unordered_map<FlowKey, Flow> m_flows;
    std::vector<std::vector<FlowKey>> m_idleFlows;
    std::vector<RequestStatistics> m_statistics;
    std::vector<FlowKey> m_brokenFlows;
    std::uint64_t m_nextRequest = 1;
    std::uint32_t m_nextFlow = 0;
};

} // namespace Papaya::Emulator
