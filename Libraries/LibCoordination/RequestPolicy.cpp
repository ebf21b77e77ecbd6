#include "LibCoordination/RequestPolicy.h"

#include <algorithm>
#include <cmath>

namespace Papaya {

namespace {

/// Number of classes whose service times are kept. When it is reached, a new class clears the service times of all classes.
constexpr std::size_t MaximumClasses = 4'096;

/// Number of attempts after which a request is not retried, even if the retry budget has tokens left.
constexpr int MaximumAttempts = 3;

/// Time from a failed attempt of a request until its next attempt may start.
constexpr Duration MinimumRetryDelay {50};

double meanOrInitial(const RequestQueue &queue)
{
    return queue.meanServiceTime > 0 ? queue.meanServiceTime : queue.limits.initialServiceTime;
}

bool isLongRequest(const RequestQueue &queue, const RequestTraits &traits)
{
    return expectedServiceTime(queue, traits.requestClass) > meanOrInitial(queue) * queue.limits.longRequestFactor;
}

int runningLongRequests(const RequestQueue &queue)
{
    return static_cast<int>(std::count_if(
        queue.running.begin(), queue.running.end(), [&](const RunningRequest &request) { return isLongRequest(queue, request.traits); }));
}

/// Returns the sort key of a waiting request. The request with the lowest key is dispatched first.
double dispatchOrderKey(const RequestQueue &queue, const RequestTraits &traits, TimePoint now)
{
    const auto waited = static_cast<double>((now - traits.arrivedAt).count());
    if (queue.limits.order == QueueOrder::FirstComeFirstServed)
        return -waited;
    // Subtracting the time waited bounds how long shorter requests can overtake a long one.
    return expectedServiceTime(queue, traits.requestClass) - waited;
}

/// Returns the waiting request that is dispatched next, or the end of the queue if none may start now.
std::deque<RequestTraits>::iterator pickNext(RequestQueue &queue, TimePoint now)
{
    const auto longRequestSlots = queue.openSlots - std::min(queue.limits.slotsReservedForShortRequests, queue.openSlots - 1);
    const bool areLongSlotsFull = queue.limits.slotsReservedForShortRequests > 0 && runningLongRequests(queue) >= longRequestSlots;
    auto best = queue.waiting.end();
    for (auto candidate = queue.waiting.begin(); candidate != queue.waiting.end(); ++candidate) {
        if (candidate->deadline <= now || candidate->notBefore > now)
            continue;
        if (areLongSlotsFull && isLongRequest(queue, *candidate))
            continue;
        if (best == queue.waiting.end() || dispatchOrderKey(queue, *candidate, now) < dispatchOrderKey(queue, *best, now))
            best = candidate;
    }
    return best;
}

/// Updates the moving averages with a measured service time in milliseconds.
void recordServiceTime(RequestQueue &queue, std::uint64_t requestClass, double serviceTime)
{
    const auto movingAverage = [&](double mean) { return mean <= 0 ? serviceTime : mean + queue.limits.smoothing * (serviceTime - mean); };
    queue.meanServiceTime = movingAverage(queue.meanServiceTime);
    if (queue.serviceTimeByClass.size() >= MaximumClasses && !queue.serviceTimeByClass.contains(requestClass))
        queue.serviceTimeByClass.clear();
    auto &classMean = queue.serviceTimeByClass[requestClass];
    classMean = movingAverage(classMean);
}

} // namespace

std::string_view admissionName(Admission admission)
{
    switch (admission) {
    case Admission::Admitted:
        return "admitted";
    case Admission::QueueFull:
        return "queue_full";
    case Admission::DeadlineUnmeetable:
        return "deadline_unmeetable";
    case Admission::TargetDown:
        return "target_down";
    }
    return "unknown";
}

std::string_view nextStepName(NextStep step)
{
    switch (step) {
    case NextStep::DeliverAnswer:
        return "answered";
    case NextStep::Retry:
        return "retry";
    case NextStep::ReportNotRun:
        return "not-run";
    case NextStep::ReportUnknown:
        return "unknown";
    }
    return "unknown";
}

void beginSlowStart(RequestQueue &queue)
{
    queue.openSlots = 1;
}

void refillRetryBudget(RetryBudget &budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.perRequest);
}

bool consumeRetryToken(RetryBudget &budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

double expectedServiceTime(const RequestQueue &queue, std::uint64_t requestClass)
{
    const auto found = queue.serviceTimeByClass.find(requestClass);
    return found == queue.serviceTimeByClass.end() ? meanOrInitial(queue) : found->second;
}

double expectedWait(const RequestQueue &queue)
{
    const auto open = std::max(1, queue.openSlots);
    const auto running = static_cast<int>(queue.running.size());
    if (running < open && queue.waiting.empty())
        return 0;
    double work = 0;
    for (const auto &request : queue.waiting)
        work += expectedServiceTime(queue, request.requestClass);
    // On average half of the work of each running request remains.
    work += static_cast<double>(running) * meanOrInitial(queue) / 2;
    return work / open;
}

Admission admit(RequestQueue &queue, const RequestTraits &traits, TimePoint now)
{
    if (queue.isTargetDown)
        return Admission::TargetDown;
    const bool hasFreeSlot = static_cast<int>(queue.running.size()) < queue.openSlots && queue.waiting.empty();
    if (!hasFreeSlot && static_cast<int>(queue.waiting.size()) >= queue.limits.queueLimit)
        return Admission::QueueFull;
    const auto remaining = static_cast<double>((traits.deadline - now).count());
    const auto needed = expectedWait(queue) + expectedServiceTime(queue, traits.requestClass);
    if (remaining <= 0 || (queue.limits.shedsUnmeetable && !hasFreeSlot && needed > remaining * queue.limits.usableDeadlineFraction))
        return Admission::DeadlineUnmeetable;
    queue.waiting.push_back(traits);
    return Admission::Admitted;
}

std::vector<RequestTraits> takeExpired(RequestQueue &queue, TimePoint now)
{
    std::vector<RequestTraits> expired;
    for (const auto &request : queue.waiting) {
        if (request.deadline <= now)
            expired.push_back(request);
    }
    std::erase_if(queue.waiting, [&](const RequestTraits &request) { return request.deadline <= now; });
    return expired;
}

std::vector<RequestTraits> dispatch(RequestQueue &queue, TimePoint now)
{
    std::vector<RequestTraits> started;
    while (!queue.isTargetDown && static_cast<int>(queue.running.size()) < queue.openSlots) {
        const auto next = pickNext(queue, now);
        if (next == queue.waiting.end())
            break;
        auto traits = *next;
        queue.waiting.erase(next);
        ++traits.attempts;
        queue.running.push_back({traits, now});
        started.push_back(traits);
    }
    return started;
}

bool cancelWaiting(RequestQueue &queue, RequestId id)
{
    return std::erase_if(queue.waiting, [&](const RequestTraits &request) { return request.id == id; }) > 0;
}

void requeue(RequestQueue &queue, RequestTraits traits, TimePoint now)
{
    traits.notBefore = now + MinimumRetryDelay;
    queue.waiting.push_back(traits);
}

void finish(RequestQueue &queue, RequestId id, AttemptOutcome outcome, TimePoint now)
{
    const auto running =
        std::find_if(queue.running.begin(), queue.running.end(), [&](const RunningRequest &request) { return request.traits.id == id; });
    if (running == queue.running.end())
        return;
    if (outcome == AttemptOutcome::Answered)
        recordServiceTime(queue, running->traits.requestClass, static_cast<double>((now - running->startedAt).count()));
    if (outcome == AttemptOutcome::Answered)
        queue.openSlots = std::min(queue.limits.slots, queue.openSlots + 1);
    else if (outcome == AttemptOutcome::Refused)
        queue.openSlots = std::max(1, queue.openSlots / 2);
    queue.running.erase(running);
}

void recordAttempt(RequestTraits &traits, AttemptOutcome outcome)
{
    traits.mayHaveRun = traits.mayHaveRun || outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::DeadlinePassed;
}

NextStep decideNextStep(AttemptOutcome outcome, const RequestTraits &traits, RetryBudget &budget, TimePoint now)
{
    if (outcome == AttemptOutcome::Answered)
        return NextStep::DeliverAnswer;
    const bool hasCertainlyNotRun = outcome == AttemptOutcome::Refused || outcome == AttemptOutcome::NothingSent;
    const bool mayRetry = hasCertainlyNotRun || (traits.isIdempotent && outcome == AttemptOutcome::Broken);
    if (mayRetry && traits.deadline > now && traits.attempts < MaximumAttempts && consumeRetryToken(budget))
        return NextStep::Retry;
    return hasCertainlyNotRun && !traits.mayHaveRun ? NextStep::ReportNotRun : NextStep::ReportUnknown;
}

} // namespace Papaya
