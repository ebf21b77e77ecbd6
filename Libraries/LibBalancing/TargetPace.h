#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <string_view>

/// Slow start of one target. A target that has started or recovered may bear fewer concurrent requests than it has slots: its caches are
/// empty, or it has a backlog. The pace is a limit on its concurrent requests that follows its answers. Free functions over a plain
/// struct; the time is passed in.
namespace Papaya {

/// Why a target's concurrent requests are limited.
enum class PaceCause : std::uint8_t {
    /// There is no limit.
    None,
    /// The target has started, or the platform states that it is cold.
    Started,
    /// The target left packets unanswered for a while and answers again.
    Silence,
    /// The target reset or left unanswered most of its requests.
    Errors,
};

/// Limits of a pace.
struct PaceLimits {
    /// The limit after a start. One request at a time always runs without waiting for another one, so its response time is the
    /// target's own, and the target never idles while there are requests. 0: targets are never limited. The agent's setting
    /// replaces it, and is 0 by default.
    std::uint32_t initialCapacity = 1;
    /// An answer is in time up to this multiple of the usual response time: a caller then waits in the target at most as long as the
    /// request itself takes. At most half of any set of response times exceeds twice its mean (Markov's inequality). Each answer moves
    /// the limit by the same step, so the limit of a target that bears its load rises however much the times of its requests differ.
    std::uint32_t inTimeFactor = 2;
    /// The usual response time has a weight of one in this number against a new measurement, so that a target that has become slower
    /// for ever is compared with its new speed after a handful of answers.
    std::uint32_t usualTimeWeight = 4;
    /// While no request runs alone, the usual response time cannot be measured, and the tolerance grows by its initial value in each such
    /// period. This ends the limit of a target under constant overload within seconds, whose callers would otherwise be moved to
    /// targets that are no faster.
    Duration tolerancePeriod {2'000};
    /// Response times below this cannot be told apart, since the clock counts milliseconds. In microseconds.
    std::uint32_t resolution = 1'000;
};

/// The pace of one target.
struct TargetPace {
    PaceLimits limits;
    /// The number of concurrent requests that the target bears; 0: no limit.
    std::uint32_t capacity = 0;
    PaceCause cause = PaceCause::None;
    /// When the limit was last set to its initial value; long ago if never.
    TimePoint startedAt {Duration::min() / 2};
    /// The target's published slots, as far as known from entry daemons; 0 if unknown.
    std::uint32_t slots = 0;
    /// Mean response time of requests that ran alone, in microseconds; 0 before the first answer. It is kept over starts of the target.
    std::uint32_t usualTime = 0;
    /// When `usualTime` was last measured, or the start of the pace if that was later.
    TimePoint usualTimeMeasuredAt;
};

/// The beginning of a target's answer to a request.
struct PacedAnswer {
    TimePoint requestStartedAt;
    /// Time until the answer began, in microseconds.
    std::uint32_t responseTime = 0;
    /// The number of requests that ran when this one started, including this one.
    std::uint32_t concurrency = 1;
};

/// Sets the limit to its initial value.
void startPace(TargetPace &pace, PaceCause cause, TimePoint now);

/// Records the number of requests from which on an entry daemon considers the target busy. The largest one is the number of its slots.
void recordSlots(TargetPace &pace, std::uint32_t slots);

/// Updates the limit and the usual response time from an answer. Requests that started before the limit was set are ignored while it is
/// in force. A late answer to a request that started above the limit does not lower it: it had to wait for the others.
void recordAnswer(TargetPace &pace, const PacedAnswer &answer, TimePoint now);

/// Returns whether a target that runs `concurrency` requests has reached its limit. A target without a limit never has.
[[nodiscard]] bool isAtLimit(const TargetPace &pace, std::uint32_t concurrency);

/// Returns the longest response time in microseconds that counts as in time.
[[nodiscard]] std::uint64_t longestTimeInTime(const TargetPace &pace, TimePoint now);

/// Returns the stable name of a cause for logs.
[[nodiscard]] std::string_view paceCauseName(PaceCause cause);

} // namespace Papaya
