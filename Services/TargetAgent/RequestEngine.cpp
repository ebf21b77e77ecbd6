#include "RequestEngine.h"

#include "HttpOutcome.h"

#include "LibState/FlowKey.h"

#include <charconv>
#include <sstream>

namespace Papaya {

namespace {

namespace Http = boost::beast::http;

constexpr unsigned StatusNotImplemented = 501;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// Returns whether a method is idempotent (RFC 9110, section 9.2.2).
bool isIdempotent(Http::verb method)
{
    switch (method) {
    case Http::verb::get:
    case Http::verb::head:
    case Http::verb::options:
    case Http::verb::trace:
    case Http::verb::put:
    case Http::verb::delete_:
        return true;
    default:
        return false;
    }
}

/// Returns the hash of method and path: requests of one class are expected to take about equally long.
std::uint64_t requestClassOf(const HttpFlow::Request &request)
{
    const auto target = request.target();
    const std::string path(target.substr(0, target.find('?')));
    return hashOf(std::string(request.method_string()) + " " + path);
}

/// Returns how long the caller waits according to DeadlineHeader, at most `serviceDeadline`, which also holds without a valid
/// header.
Duration requestTimeout(const HttpFlow::Request &request, Duration serviceDeadline)
{
    const auto text = fromBeast(request[toBeast(DeadlineHeader)]);
    Duration::rep milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isValid = !text.empty() && parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size() && milliseconds > 0;
    return isValid ? std::min(Duration(milliseconds), serviceDeadline) : serviceDeadline;
}

/// Removes the hop-by-hop header fields, which apply to a single connection only (RFC 9110, section 7.6.1).
template <typename Message>
void eraseHopByHop(Message &message)
{
    for (const auto field : {Http::field::connection,
                             Http::field::keep_alive,
                             Http::field::te,
                             Http::field::trailer,
                             Http::field::upgrade,
                             Http::field::proxy_connection})
        message.erase(field);
}

std::string serializeForTarget(HttpFlow::Request request, Duration remaining)
{
    eraseHopByHop(request);
    request.erase(Http::field::expect);
    request.set(toBeast(DeadlineHeader), std::to_string(remaining.count()));
    request.keep_alive(false);
    request.chunked(false);
    request.prepare_payload();
    std::ostringstream text;
    text << request;
    return text.str();
}

HttpFlow::Response makeErrorResponse(unsigned status, std::string_view reason)
{
    HttpFlow::Response response;
    response.result(status);
    response.set(Http::field::content_type, "text/plain");
    response.body() = std::string(reason) + "\n";
    response.prepare_payload();
    return response;
}

} // namespace

RequestEngine::RequestEngine(EventPoll &poll, std::uint64_t tokenBit, Endpoint target, Metrics &metrics, FlowEndedCallback flowEnded)
    : m_poll(poll)
    , m_tokenBit(tokenBit)
    , m_target(target)
    , m_metrics(metrics)
    , m_flowEnded(std::move(flowEnded))
{
}

void RequestEngine::configure(const ServiceConfiguration &service)
{
    m_service = service;
    m_queue.limits.slots = service.slots;
    m_queue.limits.queueLimit = service.queueLimit;
    m_queue.openSlots = std::min(m_queue.openSlots, service.slots);
}

void RequestEngine::setLeaving(bool isLeaving)
{
    m_queue.isLeaving = isLeaving;
}

void RequestEngine::setTargetDown(bool isTargetDown)
{
    if (m_queue.isTargetDown && !isTargetDown)
        beginSlowStart(m_queue);
    m_queue.isTargetDown = isTargetDown;
}

void RequestEngine::addFlow(std::uint64_t token, std::unique_ptr<LwipConnection> connection, TimePoint now)
{
    connection->setToken(token);
    m_flows.emplace(token, std::make_unique<HttpFlow>(std::move(connection)));
    onFlowReady(token, now);
}

void RequestEngine::onFlowReady(std::uint64_t token, TimePoint now)
{
    m_flowsToProcess.push_back(token);
    processFlows(now);
}

void RequestEngine::processFlows(TimePoint now)
{
    dispatchWaiting(now);
    while (!m_flowsToProcess.empty()) {
        const auto token = m_flowsToProcess.back();
        m_flowsToProcess.pop_back();
        processFlow(token, now);
        dispatchWaiting(now);
    }
}

void RequestEngine::processFlow(std::uint64_t token, TimePoint now)
{
    const auto found = m_flows.find(token);
    if (found == m_flows.end())
        return;
    auto &flow = *found->second;
    if (flow.connection().isBroken()) {
        if (flow.hasOpenRequest())
            cancelRequest(flow.openRequest(), now);
        endFlow(token);
        return;
    }
    readFlow(token, now);
    pumpFlow(token);
}

void RequestEngine::onCallReady(std::uint64_t token, TimePoint now)
{
    const auto found = m_calls.find(token);
    if (found == m_calls.end())
        return;
    if (const auto attemptOutcome = found->second->pump())
        endCall(token, *attemptOutcome, now);
    processFlows(now);
}

void RequestEngine::onTick(TimePoint now)
{
    for (const auto &traits : takeExpired(m_queue, now))
        failRequest(traits.id, StatusGatewayTimeout, traits.mayHaveRun ? OutcomeUnknown : OutcomeNotRun, "deadline_before_dispatch", now);
    expireRunning(now);
    processFlows(now);
}

void RequestEngine::readFlow(std::uint64_t token, TimePoint now)
{
    auto &flow = *m_flows.at(token);
    switch (flow.readRequest()) {
    case HttpFlow::ReadResult::NeedsMore:
        return;
    case HttpFlow::ReadResult::RequestReady:
        acceptRequest(token, flow, now);
        return;
    case HttpFlow::ReadResult::Malformed: {
        auto response = makeErrorResponse(flow.failureStatus(), "malformed_request");
        response.set(toBeast(OutcomeHeader), toBeast(OutcomeNotRun));
        response.keep_alive(false);
        flow.queueResponse(std::move(response), true);
        m_metrics.count("requests", "malformed");
        return;
    }
    case HttpFlow::ReadResult::Ended:
        if (!flow.isSending()) {
            flow.connection().close();
            endFlow(token);
        }
        return;
    }
}

void RequestEngine::acceptRequest(std::uint64_t token, HttpFlow &flow, TimePoint now)
{
    PendingRequest pending;
    pending.flowToken = token;
    pending.request = flow.takeRequest();
    auto &traits = pending.traits;
    traits.id = m_nextId++;
    traits.requestClass = requestClassOf(pending.request);
    traits.isIdempotent = isIdempotent(pending.request.method());
    traits.arrivedAt = now;
    traits.deadline = now + requestTimeout(pending.request, m_service.deadline);
    flow.setOpenRequest(traits.id);
    const auto method = pending.request.method();
    const auto copy = traits;
    m_requests.emplace(copy.id, std::move(pending));
    refillRetryBudget(m_retryBudget);
    if (method == Http::verb::connect || method == Http::verb::unknown) {
        failRequest(copy.id, StatusNotImplemented, OutcomeNotRun, "method", now);
        return;
    }
    const auto admission = admit(m_queue, copy, now);
    if (admission != Admission::Admitted)
        failRequest(copy.id, StatusUnavailable, OutcomeNotRun, admissionName(admission), now);
}

void RequestEngine::pumpFlow(std::uint64_t token)
{
    const auto found = m_flows.find(token);
    if (found != m_flows.end() && found->second->pump())
        endFlow(token);
}

void RequestEngine::endFlow(std::uint64_t token)
{
    const auto found = m_flows.find(token);
    if (found == m_flows.end())
        return;
    const auto flow = found->second->connection().flow();
    m_flows.erase(found);
    m_flowEnded(flow);
}

void RequestEngine::cancelRequest(RequestId id, TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    cancelWaiting(m_queue, id);
    if (const auto call = m_calls.find(found->second.callToken); call != m_calls.end()) {
        call->second->cancel();
        m_calls.erase(call);
        finish(m_queue, id, AttemptOutcome::Broken, now);
    }
    m_metrics.count("requests", "cancelled");
    m_requests.erase(found);
}

void RequestEngine::dispatchWaiting(TimePoint now)
{
    for (const auto &traits : dispatch(m_queue, now)) {
        auto &pending = m_requests.at(traits.id);
        pending.traits = traits;
        startCall(pending, now);
    }
}

void RequestEngine::startCall(PendingRequest &pending, TimePoint now)
{
    const auto token = m_tokenBit | m_nextId++;
    pending.callToken = token;
    auto stream = connectStream(m_target);
    if (stream.has_error()) {
        endCall(token, AttemptOutcome::NothingSent, now);
        return;
    }
    const auto remaining = pending.traits.deadline - now;
    const bool isHead = pending.request.method() == Http::verb::head;
    auto call =
        std::make_unique<TargetCall>(pending.traits.id, std::move(stream.value()), serializeForTarget(pending.request, remaining), isHead);
    m_poll.addStream(call->descriptor(), token);
    m_calls.emplace(token, std::move(call));
}

void RequestEngine::endCall(std::uint64_t callToken, AttemptOutcome attemptOutcome, TimePoint now)
{
    const auto request =
        std::find_if(m_requests.begin(), m_requests.end(), [&](const auto &entry) { return entry.second.callToken == callToken; });
    if (request == m_requests.end())
        return;
    const auto id = request->first;
    auto &pending = request->second;
    pending.callToken = 0;
    HttpFlow::Response response;
    if (const auto call = m_calls.find(callToken); call != m_calls.end()) {
        response = call->second->takeResponse();
        m_calls.erase(call);
    }
    finish(m_queue, id, attemptOutcome, now);
    recordAttempt(pending.traits, attemptOutcome);
    const auto step = decideNextStep(attemptOutcome, pending.traits, m_retryBudget, now);
    switch (step) {
    case NextStep::DeliverAnswer:
        completeRequest(id, std::move(response), OutcomeAnswered, "answered", now);
        return;
    case NextStep::Retry:
        m_metrics.count("retries");
        requeue(m_queue, pending.traits, now);
        return;
    case NextStep::ReportNotRun:
        failRequest(
            id, StatusUnavailable, OutcomeNotRun, attemptOutcome == AttemptOutcome::Refused ? "target_refused" : "target_unreachable", now);
        return;
    case NextStep::ReportUnknown:
        failRequest(id,
                    attemptOutcome == AttemptOutcome::DeadlinePassed ? StatusGatewayTimeout : StatusBadGateway,
                    OutcomeUnknown,
                    attemptOutcome == AttemptOutcome::DeadlinePassed ? "deadline_after_dispatch" : "target_broke",
                    now);
        return;
    }
}

void RequestEngine::expireRunning(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, pending] : m_requests) {
        if (pending.callToken != 0 && pending.traits.deadline <= now)
            expired.push_back(pending.callToken);
    }
    for (const auto token : expired) {
        if (const auto call = m_calls.find(token); call != m_calls.end())
            call->second->cancel();
        endCall(token, AttemptOutcome::DeadlinePassed, now);
    }
}

void RequestEngine::completeRequest(RequestId id,
                                    HttpFlow::Response response,
                                    std::string_view outcome,
                                    std::string_view reason,
                                    TimePoint now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    auto pending = std::move(found->second);
    m_requests.erase(found);
    const auto latency = now - pending.traits.arrivedAt;
    m_metrics.count("requests", outcome);
    m_metrics.recordLatency(static_cast<double>(latency.count()));
    EventLog("request_done")
        .with("service", m_service.name)
        .with("method", std::string(pending.request.method_string()))
        .with("outcome", outcome)
        .with("reason", reason)
        .with("attempts", static_cast<std::uint64_t>(pending.traits.attempts))
        .with("latency_ms", static_cast<std::uint64_t>(latency.count()));

    const auto flow = m_flows.find(pending.flowToken);
    if (flow == m_flows.end())
        return;
    const bool closesAfterwards = !pending.request.keep_alive() || m_queue.isLeaving;
    eraseHopByHop(response);
    response.version(pending.request.version());
    response.set(toBeast(OutcomeHeader), toBeast(outcome));
    if (pending.request.method() != Http::verb::head)
        response.prepare_payload();
    response.keep_alive(!closesAfterwards);
    flow->second->queueResponse(std::move(response), closesAfterwards);
    m_flowsToProcess.push_back(pending.flowToken);
}

void RequestEngine::failRequest(RequestId id, unsigned status, std::string_view outcome, std::string_view reason, TimePoint now)
{
    completeRequest(id, makeErrorResponse(status, reason), outcome, reason, now);
}

} // namespace Papaya
