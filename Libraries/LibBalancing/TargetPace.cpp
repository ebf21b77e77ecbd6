#include "LibBalancing/TargetPace.h"

#include <algorithm>

namespace Papaya {

namespace {

/// Returns whether an answer shows the target's response time without other requests. The first answer of all counts as such, since
/// there is nothing else to compare with.
bool isMeasurement(const TargetPace &pace, const PacedAnswer &answer)
{
    return pace.usualTime == 0 || answer.concurrency <= 1;
}

void updateUsualTime(TargetPace &pace, const PacedAnswer &answer, TimePoint now)
{
    const std::uint64_t sample = std::max(answer.responseTime, pace.limits.resolution);
    const std::uint64_t weight = pace.limits.usualTimeWeight;
    const auto mean = pace.usualTime == 0 ? sample : (pace.usualTime * (weight - 1) + sample) / weight;
    pace.usualTime = static_cast<std::uint32_t>(mean);
    pace.usualTimeMeasuredAt = now;
}

void raiseLimit(TargetPace &pace)
{
    const bool isLifted = pace.slots > 0 && pace.capacity >= pace.slots;
    if (!isLifted) {
        ++pace.capacity;
        return;
    }
    pace.capacity = 0;
    pace.cause = PaceCause::None;
}

void lowerLimit(TargetPace &pace)
{
    pace.capacity = std::max<std::uint32_t>(pace.capacity - 1, 1);
}

} // namespace

void startPace(TargetPace &pace, PaceCause cause, TimePoint now)
{
    if (pace.limits.initialCapacity == 0)
        return;
    pace.capacity = pace.limits.initialCapacity;
    pace.cause = cause;
    pace.startedAt = now;
    pace.usualTimeMeasuredAt = now;
}

void recordSlots(TargetPace &pace, std::uint32_t slots)
{
    pace.slots = std::max(pace.slots, slots);
}

void recordAnswer(TargetPace &pace, const PacedAnswer &answer, TimePoint now)
{
    if (pace.capacity > 0 && answer.requestStartedAt < pace.startedAt)
        return;
    const bool isInTime = pace.usualTime == 0 || answer.responseTime <= longestTimeInTime(pace, now);
    if (isMeasurement(pace, answer))
        updateUsualTime(pace, answer, now);
    if (pace.capacity == 0)
        return;
    if (isInTime)
        raiseLimit(pace);
    else if (answer.concurrency <= pace.capacity)
        lowerLimit(pace);
}

bool isAtLimit(const TargetPace &pace, std::uint32_t concurrency)
{
    return pace.capacity > 0 && concurrency >= pace.capacity;
}

std::uint64_t longestTimeInTime(const TargetPace &pace, TimePoint now)
{
    const auto period = pace.limits.tolerancePeriod.count();
    const auto age = std::max<Duration::rep>((now - pace.usualTimeMeasuredAt).count(), 0);
    const auto tolerance = static_cast<std::uint64_t>(pace.usualTime) * pace.limits.inTimeFactor;
    return tolerance + tolerance * static_cast<std::uint64_t>(age) / static_cast<std::uint64_t>(period);
}

std::string_view paceCauseName(PaceCause cause)
{
    switch (cause) {
    case PaceCause::None:
        return "none";
    case PaceCause::Started:
        return "started";
    case PaceCause::Silence:
        return "silence";
    case PaceCause::Errors:
        return "errors";
    }
    return "unknown";
}

} // namespace Papaya
