#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Admission, order, deadlines and retries of requests at one target.
namespace Papaya {

using RequestId = std::uint64_t;

/// What the policy knows of a request.
struct RequestTraits {
    RequestId id = 0;
    /// Hash of method and path: requests of one class are expected to take about as long.
    std::uint64_t requestClass = 0;
    /// Whether the method is idempotent (RFC 9110, section 9.2.2).
    bool isIdempotent = false;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// A repeated request waits until here, so that a shedding target gets a pause.
    TimePoint notBefore;
    /// Times that the request was sent to a target.
    int attempts = 0;
};

/// In which order waiting requests get a slot.
enum class QueueOrder {
    FirstComeFirstServed,
    /// The least expected service time first, lowered by the time already waited.
    ShortestExpectedFirst,
};

/// Limits and constants of the policy.
struct RequestLimits {
    int slots = 1;
    int queueLimit = 64;
    QueueOrder order = QueueOrder::ShortestExpectedFirst;
    /// Whether a request that cannot start before its deadline is shed on arrival.
    bool shedsUnmeetable = true;
    /// The part of a request's remaining time that its expected wait and run may take. The rest is for work that turns out
    /// longer than expected, which near a full queue is about half of it.
    double usableDeadline = 0.5;
    /// Slots that classes known to run long may not fill while others wait; 0 turns the reservation off.
    int slotsKeptForShortWork = 1;
    /// A class is long when its expected service time exceeds the mean by this factor.
    double longWorkFactor = 5;
    /// Weight of the newest service time in the moving mean.
    double smoothing = 0.2;
    /// The expected service time before anything was measured, in milliseconds.
    double initialServiceTime = 20;
};

/// A request that was sent to the target and has not ended.
struct RunningRequest {
    RequestTraits traits;
    TimePoint startedAt;
};

/// Requests at one target, waiting and running, and what was learnt of their service times.
struct RequestQueue {
    RequestLimits limits;
    std::deque<RequestTraits> waiting;
    std::vector<RunningRequest> running;
    /// Moving mean of service times in milliseconds, over all requests and by class.
    double meanServiceTime = 0;
    std::unordered_map<std::uint64_t, double> serviceTimeByClass;
    bool isTargetDown = false;
    bool isLeaving = false;
    /// Slots that are open; below `limits.slots` while the target warms up.
    int openSlots = 1;
};

/// What becomes of a request that arrives.
enum class Admission {
    Admitted,
    QueueFull,
    DeadlineUnmeetable,
    TargetDown,
};

/// Returns the stable name of an admission for logs and counters.
[[nodiscard]] std::string_view admissionName(Admission admission);

/// How one attempt at a target ended.
enum class AttemptOutcome {
    /// The whole answer arrived.
    Answered,
    /// The target said that it did not run the request.
    Refused,
    /// The connection failed before a byte of the request was sent.
    NothingSent,
    /// The connection broke, or the answer was malformed, after something was sent.
    Broken,
    /// The deadline passed while the target had the request.
    DeadlinePassed,
};

/// What happens to a request after an attempt ended.
enum class NextStep {
    DeliverAnswer,
    Retry,
    ReportNotRun,
    ReportUnknown,
};

/// Returns the stable name of a step for logs and counters.
[[nodiscard]] std::string_view nextStepName(NextStep step);

/// A token bucket that bounds retries to a fraction of requests, so that they cannot feed a storm.
struct RetryBudget {
    double tokens = 10;
    double capacity = 10;
    double perRequest = 0.1;
};

/// Starts over with one open slot, as after the target was replaced or restarted.
void beginSlowStart(RequestQueue &queue);

/// Adds what one new request earns.
void refillRetryBudget(RetryBudget &budget);

/// Takes one retry out of the budget. Returns whether there was one.
[[nodiscard]] bool spendRetry(RetryBudget &budget);

/// Returns the expected service time of a class in milliseconds.
[[nodiscard]] double expectedServiceTime(const RequestQueue &queue, std::uint64_t requestClass);

/// Returns the time in milliseconds until a request that arrives now would start.
[[nodiscard]] double expectedWait(const RequestQueue &queue);

/// Admits a request into the queue or says why not. Nothing was run when it is refused.
[[nodiscard]] Admission admit(RequestQueue &queue, const RequestTraits &traits, TimePoint now);

/// Removes and returns the requests whose deadline passed while they waited. None of them was run.
[[nodiscard]] std::vector<RequestTraits> takeExpired(RequestQueue &queue, TimePoint now);

/// Picks the request that gets the next open slot and counts it as running. Requests past their deadline are never picked.
[[nodiscard]] std::vector<RequestTraits> dispatch(RequestQueue &queue, TimePoint now);

/// Removes a waiting request whose caller went away. Returns whether it was waiting.
bool cancelWaiting(RequestQueue &queue, RequestId id);

/// Puts a request back to wait for another attempt.
void requeue(RequestQueue &queue, RequestTraits traits, TimePoint now);

/// Ends a running request. An answer teaches its service time and opens one more slot; a refusal halves the open slots.
void finish(RequestQueue &queue, RequestId id, AttemptOutcome end, TimePoint now);

/// Decides what follows an attempt. A request is sent again only if it is known not to have run or is idempotent,
/// and only before its deadline and within the budget.
[[nodiscard]] NextStep decideNextStep(AttemptOutcome end, const RequestTraits &traits, RetryBudget &budget, TimePoint now);

} // namespace Papaya
