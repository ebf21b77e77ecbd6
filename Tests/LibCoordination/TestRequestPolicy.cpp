#include "LibCoordination/RequestPolicy.h"

#include <gtest/gtest.h>

namespace Papaya {

namespace {

constexpr TimePoint Start {Duration(1'000'000)};

RequestTraits request(RequestId id, Duration deadline = Duration(10'000))
{
    RequestTraits traits;
    traits.id = id;
    traits.requestClass = 1;
    traits.arrivedAt = Start;
    traits.deadline = Start + deadline;
    return traits;
}

RequestQueue queueWith(int slots)
{
    RequestQueue queue;
    queue.limits.slots = slots;
    queue.openSlots = slots;
    return queue;
}

} // namespace

TEST(RequestPolicy, NeverRunsMoreRequestsThanOpenSlots)
{
    auto queue = queueWith(2);
    for (RequestId id = 1; id <= 5; ++id)
        EXPECT_EQ(admit(queue, request(id), Start), Admission::Admitted);
    EXPECT_EQ(dispatch(queue, Start).size(), 2U);
    EXPECT_TRUE(dispatch(queue, Start).empty());
    finish(queue, 1, AttemptOutcome::Answered, Start);
    EXPECT_EQ(dispatch(queue, Start).size(), 1U);
}

TEST(RequestPolicy, ShedsRequestsThatCannotMeetTheirDeadline)
{
    auto queue = queueWith(1);
    queue.meanServiceTime = 100;
    EXPECT_EQ(admit(queue, request(1), Start), Admission::Admitted);
    EXPECT_EQ(dispatch(queue, Start).size(), 1U);
    EXPECT_EQ(admit(queue, request(2, Duration(120)), Start), Admission::DeadlineUnmeetable);
    EXPECT_EQ(admit(queue, request(3, Duration(500)), Start), Admission::Admitted);
}

TEST(RequestPolicy, ShedsWhenTheQueueIsFullOrTheTargetIsDown)
{
    auto queue = queueWith(1);
    queue.limits.queueLimit = 1;
    EXPECT_EQ(admit(queue, request(1), Start), Admission::Admitted);
    EXPECT_EQ(dispatch(queue, Start).size(), 1U);
    EXPECT_EQ(admit(queue, request(2), Start), Admission::Admitted);
    EXPECT_EQ(admit(queue, request(3), Start), Admission::QueueFull);
    queue.isTargetDown = true;
    EXPECT_EQ(admit(queue, request(4), Start), Admission::TargetDown);
}

TEST(RequestPolicy, NeverStartsARequestWhoseDeadlinePassedDuringAPause)
{
    auto queue = queueWith(1);
    EXPECT_EQ(admit(queue, request(1, Duration(500)), Start), Admission::Admitted);
    const auto resumedAt = Start + Duration(60'000);
    EXPECT_TRUE(dispatch(queue, resumedAt).empty());
    const auto expired = takeExpired(queue, resumedAt);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().id, 1U);
    EXPECT_EQ(expired.front().attempts, 0);
}

TEST(RequestPolicy, RetriesNonIdempotentRequestOnlyIfItCertainlyDidNotRun)
{
    RetryBudget budget;
    auto traits = request(1);
    traits.attempts = 1;
    EXPECT_EQ(decideNextStep(AttemptOutcome::Broken, traits, budget, Start), NextStep::ReportUnknown);
    EXPECT_EQ(decideNextStep(AttemptOutcome::DeadlinePassed, traits, budget, Start), NextStep::ReportUnknown);
    EXPECT_EQ(decideNextStep(AttemptOutcome::Refused, traits, budget, Start), NextStep::Retry);
    EXPECT_EQ(decideNextStep(AttemptOutcome::NothingSent, traits, budget, Start), NextStep::Retry);
    traits.isIdempotent = true;
    EXPECT_EQ(decideNextStep(AttemptOutcome::Broken, traits, budget, Start), NextStep::Retry);
}

TEST(RequestPolicy, ReportsNotRunOnlyAfterRefusalOrNothingSent)
{
    RetryBudget empty;
    empty.tokens = 0;
    auto traits = request(1);
    traits.isIdempotent = true;
    EXPECT_EQ(decideNextStep(AttemptOutcome::Refused, traits, empty, Start), NextStep::ReportNotRun);
    EXPECT_EQ(decideNextStep(AttemptOutcome::NothingSent, traits, empty, Start), NextStep::ReportNotRun);
    EXPECT_EQ(decideNextStep(AttemptOutcome::Broken, traits, empty, Start), NextStep::ReportUnknown);
}

TEST(RequestPolicy, RetryBudgetLimitsRetriesToAFractionOfRequests)
{
    RetryBudget budget;
    int retries = 0;
    for (int index = 0; index < 1'000; ++index) {
        refillRetryBudget(budget);
        retries += consumeRetryToken(budget) ? 1 : 0;
    }
    EXPECT_LE(retries, 1'000 * budget.perRequest + budget.capacity);
}

TEST(RequestPolicy, ReservesASlotForShortRequestsWhileLongRequestsRun)
{
    auto queue = queueWith(3);
    queue.meanServiceTime = 10;
    queue.serviceTimeByClass[2] = 500;
    queue.serviceTimeByClass[1] = 10;
    for (RequestId id = 1; id <= 4; ++id) {
        auto traits = request(id);
        traits.requestClass = 2;
        ASSERT_EQ(admit(queue, traits, Start), Admission::Admitted);
    }
    EXPECT_EQ(dispatch(queue, Start).size(), 2U);
    EXPECT_EQ(admit(queue, request(9), Start), Admission::Admitted);
    const auto started = dispatch(queue, Start);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().id, 9U);
}

TEST(RequestPolicy, SlowStartOpensASlotPerAnswerAndHalvesSlotsOnRefusal)
{
    auto queue = queueWith(7);
    beginSlowStart(queue);
    for (RequestId id = 1; id <= 8; ++id)
        ASSERT_EQ(admit(queue, request(id), Start), Admission::Admitted);
    ASSERT_EQ(dispatch(queue, Start).size(), 1U);
    finish(queue, 1, AttemptOutcome::Answered, Start);
    EXPECT_EQ(queue.openSlots, 2);
    EXPECT_EQ(dispatch(queue, Start).size(), 2U);
    finish(queue, 2, AttemptOutcome::Refused, Start);
    EXPECT_EQ(queue.openSlots, 1);
}

// Failure: the first attempt of an idempotent request breaks and may have run, the retry is refused, and the caller is told that the
// request has not run.
TEST(RequestPolicy, RequestThatMayHaveRunIsNeverReportedAsNotRun)
{
    for (const auto later : {AttemptOutcome::Refused, AttemptOutcome::NothingSent}) {
        auto traits = request(1);
        traits.isIdempotent = true;
        traits.attempts = 1;
        RetryBudget budget;
        budget.tokens = 1;
        recordAttempt(traits, AttemptOutcome::Broken);
        ASSERT_EQ(decideNextStep(AttemptOutcome::Broken, traits, budget, Start), NextStep::Retry);
        recordAttempt(traits, later);
        EXPECT_EQ(decideNextStep(later, traits, budget, Start), NextStep::ReportUnknown);
    }
    auto traits = request(2);
    RetryBudget emptyBudget;
    emptyBudget.tokens = 0;
    recordAttempt(traits, AttemptOutcome::Refused);
    EXPECT_EQ(decideNextStep(AttemptOutcome::Refused, traits, emptyBudget, Start), NextStep::ReportNotRun);
}

// Failure: the same when the deadline passes while the request waits for its retry.
TEST(RequestPolicy, ExpiredRetryKeepsThatItMayHaveRun)
{
    auto queue = queueWith(1);
    auto traits = request(1, Duration(1'000));
    recordAttempt(traits, AttemptOutcome::Broken);
    requeue(queue, traits, Start + Duration(900));
    const auto expired = takeExpired(queue, Start + Duration(1'001));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_TRUE(expired.front().mayHaveRun);
}

} // namespace Papaya
