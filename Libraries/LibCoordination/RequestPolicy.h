#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Admission, queue order, deadlines and retries of the requests at one target.
namespace Papaya {

using RequestId = std::uint64_t;

/// The properties of a request on which the policy depends.
struct RequestTraits {
    RequestId id = 0;
    /// Hash of method and path. Requests of one class are expected to have similar service times.
    std::uint64_t requestClass = 0;
    /// Whether the method is idempotent (RFC 9110, section 9.2.2).
    bool isIdempotent = false;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// The earliest time at which a retry may be sent. The delay keeps retries from adding load to a target that is overloaded.
    TimePoint notBefore;
    /// Whether an earlier attempt may have run the request. Its caller must not be told that it has not run, whatever later attempts show.
    bool mayHaveRun = false;
    /// Number of times that the request was sent to a target.
    int attempts = 0;
};

/// The order in which waiting requests get a slot.
enum class QueueOrder {
    FirstComeFirstServed,
    /// The shortest expected service time minus the time already waited comes first.
    ShortestExpectedFirst,
};

/// Limits and constants of the policy.
struct RequestLimits {
    /// The maximum number of requests that run at the target at once.
    int slots = 1;
    /// The maximum number of waiting requests.
    int queueLimit = 64;
    QueueOrder order = QueueOrder::ShortestExpectedFirst;
    /// Whether an arriving request that gets no free slot is shed if its expected wait and service time exceed the
    /// `usableDeadlineFraction` of its remaining time.
    bool shedsUnmeetable = true;
    /// The fraction of a request's remaining time that its expected wait and service time may take. The rest is a reserve for
    /// work that takes longer than expected, which near a full queue is about half of the work.
    double usableDeadlineFraction = 0.5;
    /// Slots that requests of long classes may not use, except that one open slot is always left to them. 0 turns the
    /// reservation off.
    int slotsReservedForShortRequests = 1;
    /// A class is long if its expected service time exceeds the mean of all requests by this factor.
    double longRequestFactor = 5;
    /// Weight of the newest service time in the exponentially weighted moving averages.
    double smoothing = 0.2;
    /// The expected service time before the first measurement, in milliseconds.
    double initialServiceTime = 20;
};

/// A request that was sent to the target and is not finished.
struct RunningRequest {
    RequestTraits traits;
    TimePoint startedAt;
};

/// The waiting and the running requests at one target, and their measured service times.
struct RequestQueue {
    RequestLimits limits;
    std::deque<RequestTraits> waiting;
    std::vector<RunningRequest> running;
    /// Moving averages of service times in milliseconds, over all requests and by class; 0 before the first measurement.
    double meanServiceTime = 0;
    std::unordered_map<std::uint64_t, double> serviceTimeByClass;
    bool isTargetDown = false;
    bool isLeaving = false;
    /// The current concurrency limit. It is below `limits.slots` during slow start and after refusals.
    int openSlots = 1;
};

/// The result of the admission of an arriving request.
enum class Admission {
    Admitted,
    QueueFull,
    DeadlineUnmeetable,
    TargetDown,
};

/// Returns the stable name of an admission for logs and counters.
[[nodiscard]] std::string_view admissionName(Admission admission);

/// The outcome of one attempt to send a request to a target.
enum class AttemptOutcome {
    /// The complete answer arrived.
    Answered,
    /// The target answered that it did not run the request.
    Refused,
    /// The connection failed before a byte of the request was sent.
    NothingSent,
    /// The connection broke or the answer was malformed after part of the request was sent.
    Broken,
    /// The deadline passed while the request ran at the target.
    DeadlinePassed,
};

/// The next step for a request after an attempt.
enum class NextStep {
    DeliverAnswer,
    Retry,
    /// Answer the caller that the request did not run.
    ReportNotRun,
    /// Answer the caller that the request may have run.
    ReportUnknown,
};

/// Returns the stable name of a step for logs and counters.
[[nodiscard]] std::string_view nextStepName(NextStep step);

/// A token bucket that limits retries to a fraction of the requests, so that they cannot cause a retry storm.
struct RetryBudget {
    double tokens = 10;
    double capacity = 10;
    /// Tokens that each new request adds. A retry takes one token.
    double perRequest = 0.1;
};

/// Begins the slow start of a target that was replaced or restarted: reduces the open slots to one.
void beginSlowStart(RequestQueue &queue);

/// Adds the tokens for one new request to the budget, up to its capacity.
void refillRetryBudget(RetryBudget &budget);

/// Takes the token for one retry out of the budget. Returns whether there was one.
[[nodiscard]] bool consumeRetryToken(RetryBudget &budget);

/// Returns the expected service time of a class in milliseconds: its moving average, or that of all requests for a new class.
[[nodiscard]] double expectedServiceTime(const RequestQueue &queue, std::uint64_t requestClass);

/// Returns the expected time in milliseconds until a request that arrives now starts.
[[nodiscard]] double expectedWait(const RequestQueue &queue);

/// Adds a request to the queue, or returns why it is not admitted. A request that is not admitted has not run.
[[nodiscard]] Admission admit(RequestQueue &queue, const RequestTraits &traits, TimePoint now);

/// Removes and returns the waiting requests whose deadline has passed. None of them has run while waiting, but a request with
/// `attempts` above 0 may have run in an earlier attempt.
[[nodiscard]] std::vector<RequestTraits> takeExpired(RequestQueue &queue, TimePoint now);

/// Assigns waiting requests to the free slots, marks them as running and returns them. Requests past their deadline are never
/// started.
[[nodiscard]] std::vector<RequestTraits> dispatch(RequestQueue &queue, TimePoint now);

/// Removes a waiting request whose caller disconnected. Returns whether it was waiting.
bool cancelWaiting(RequestQueue &queue, RequestId id);

/// Puts a request back into the queue for a retry after a short delay.
void requeue(RequestQueue &queue, RequestTraits traits, TimePoint now);

/// Removes a running request. An answer updates the expected service times and opens one more slot up to the limit. A refusal
/// halves the open slots.
void finish(RequestQueue &queue, RequestId id, AttemptOutcome outcome, TimePoint now);

/// Records the outcome of an attempt in the request's properties. Call before decideNextStep().
void recordAttempt(RequestTraits &traits, AttemptOutcome outcome);

/// Decides the next step after an attempt. A request is retried only if it certainly did not run or is idempotent, and only
/// before its deadline, within the attempt limit and within the retry budget.
[[nodiscard]] NextStep decideNextStep(AttemptOutcome outcome, const RequestTraits &traits, RetryBudget &budget, TimePoint now);

} // namespace Papaya
