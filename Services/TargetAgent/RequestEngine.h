#pragma once

#include "HttpFlow.h"
#include "TargetCall.h"

#include "LibCoordination/RequestPolicy.h"
#include "LibState/Configuration.h"
#include "LibState/Metrics.h"
#include "LibTransport/EventLog.h"
#include "LibTransport/EventPoll.h"

#include <functional>
#include <map>
#include <memory>

namespace Papaya {

/// Runs the requests of an HTTP service's flows at the target, with a queue, slots, deadlines and retries, and reports their
/// outcomes. All methods must be called under LwipLock.
class RequestEngine
{
public:
    /// Called when a flow has ended.
    using FlowEndedCallback = std::function<void(const FlowKey &flow)>;

    /// The tokens under which this engine adds its streams to `poll` have `tokenBit` set.
    RequestEngine(EventPoll &poll, std::uint64_t tokenBit, Endpoint target, Metrics &metrics, FlowEndedCallback flowEnded);

    void configure(const ServiceConfiguration &service);
    void setLeaving(bool isLeaving);
    void setTargetDown(bool isTargetDown);

    /// Adds an accepted connection, which is identified by `token` from then on.
    void addFlow(std::uint64_t token, std::unique_ptr<LwipConnection> connection, TimePoint now);

    /// Processes events on a caller's connection.
    void onFlowReady(std::uint64_t token, TimePoint now);
    /// Processes events on the stream of a TargetCall.
    void onCallReady(std::uint64_t token, TimePoint now);

    /// Ends the requests whose deadline has passed and dispatches waiting ones into free slots.
    void onTick(TimePoint now);

    [[nodiscard]] bool hasFlow(std::uint64_t token) const { return m_flows.contains(token); }
    [[nodiscard]] std::size_t flowCount() const { return m_flows.size(); }
    [[nodiscard]] const RequestQueue &queue() const { return m_queue; }
    [[nodiscard]] bool isIdle() const { return m_requests.empty(); }

private:
    struct PendingRequest {
        std::uint64_t flowToken = 0;
        RequestTraits traits;
        HttpFlow::Request request;
        /// Poll token of the TargetCall while an attempt runs; 0 otherwise.
        std::uint64_t callToken = 0;
    };

    /// Processes all flows in m_flowsToProcess, and dispatches waiting requests before and after each of them. processFlow() is
    /// called from nowhere else, so that answering one request does not recurse into reading the next one.
    void processFlows(TimePoint now);
    void processFlow(std::uint64_t token, TimePoint now);
    void readFlow(std::uint64_t token, TimePoint now);
    void acceptRequest(std::uint64_t token, HttpFlow &flow, TimePoint now);
    void pumpFlow(std::uint64_t token);
    void endFlow(std::uint64_t token);
    void cancelRequest(RequestId id, TimePoint now);
    void dispatchWaiting(TimePoint now);
    void startCall(PendingRequest &pending, TimePoint now);
    void endCall(std::uint64_t callToken, AttemptOutcome attemptOutcome, TimePoint now);
    void expireRunning(TimePoint now);
    void completeRequest(RequestId id, HttpFlow::Response response, std::string_view outcome, std::string_view reason, TimePoint now);
    void failRequest(RequestId id, unsigned status, std::string_view outcome, std::string_view reason, TimePoint now);

    EventPoll &m_poll;
    std::uint64_t m_tokenBit;
    Endpoint m_target;
    Metrics &m_metrics;
    FlowEndedCallback m_flowEnded;
    ServiceConfiguration m_service;
    RequestQueue m_queue;
    RetryBudget m_retryBudget;
    std::map<std::uint64_t, std::unique_ptr<HttpFlow>> m_flows;
    std::map<std::uint64_t, std::unique_ptr<TargetCall>> m_calls;
    std::map<RequestId, PendingRequest> m_requests;
    std::vector<std::uint64_t> m_flowsToProcess;
    std::uint64_t m_nextId = 1;
};

} // namespace Papaya
