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

/// Runs the requests of an HTTP service's flows at the target: queue, slots, deadlines, retries and outcomes.
/// All methods are called under LwipLock.
class RequestEngine
{
public:
    /// Called when a flow is over.
    using FlowEnded = std::function<void(const FlowKey &flow)>;

    /// Tokens of this engine's streams in `poll` have `tokenBit` set.
    RequestEngine(EventPoll &poll, std::uint64_t tokenBit, Endpoint target, Metrics &metrics, FlowEnded flowEnded);

    void configure(const ServiceConfiguration &service);
    void setLeaving(bool isLeaving);
    void setTargetDown(bool isTargetDown);

    /// Takes over an accepted connection under a token.
    void addFlow(std::uint64_t token, std::unique_ptr<LwipConnection> connection, TimePoint now);

    /// Handles what happened on a flow or on a call's stream.
    void onFlowReady(std::uint64_t token, TimePoint now);
    void onCallReady(std::uint64_t token, TimePoint now);

    /// Ends what is past its deadline and starts what may start.
    void onTick(TimePoint now);

    [[nodiscard]] bool hasFlow(std::uint64_t token) const { return m_flows.contains(token); }
    [[nodiscard]] std::size_t flowCount() const { return m_flows.size(); }
    [[nodiscard]] const RequestQueue &queue() const { return m_queue; }
    [[nodiscard]] bool isIdle() const { return m_requests.empty(); }

private:
    struct Pending {
        std::uint64_t flowToken = 0;
        RequestTraits traits;
        HttpFlow::Request request;
        /// The stream's token while an attempt runs; 0 otherwise.
        std::uint64_t callToken = 0;
    };

    /// Handles every flow that was touched, and starts what may start in between. Nothing else calls handleFlow(), so that
    /// a response to one request cannot recurse into the next.
    void settle(TimePoint now);
    void handleFlow(std::uint64_t token, TimePoint now);
    void readFlow(std::uint64_t token, TimePoint now);
    void acceptRequest(std::uint64_t token, HttpFlow &flow, TimePoint now);
    void pumpFlow(std::uint64_t token);
    void endFlow(std::uint64_t token);
    void cancelRequest(RequestId id, TimePoint now);
    void startWaiting(TimePoint now);
    void startCall(Pending &pending, TimePoint now);
    void endCall(std::uint64_t callToken, AttemptOutcome end, TimePoint now);
    void expireRunning(TimePoint now);
    void conclude(RequestId id, HttpFlow::Response response, std::string_view outcome, std::string_view reason, TimePoint now);
    void concludeFailure(RequestId id, unsigned status, std::string_view outcome, std::string_view reason, TimePoint now);

    EventPoll &m_poll;
    std::uint64_t m_tokenBit;
    Endpoint m_target;
    Metrics &m_metrics;
    FlowEnded m_flowEnded;
    ServiceConfiguration m_service;
    RequestQueue m_queue;
    RetryBudget m_retryBudget;
    std::map<std::uint64_t, std::unique_ptr<HttpFlow>> m_flows;
    std::map<std::uint64_t, std::unique_ptr<TargetCall>> m_calls;
    std::map<RequestId, Pending> m_requests;
    std::vector<std::uint64_t> m_touchedFlows;
    std::uint64_t m_nextId = 1;
};

} // namespace Papaya
