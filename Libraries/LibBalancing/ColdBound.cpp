#include "LibBalancing/ColdBound.h"

#include <algorithm>
#include <cmath>

namespace Papaya {

namespace {

void removeOld(ColdBound &bound, TimePoint now)
{
    while (!bound.passed.empty() && now - bound.passed.front().at >= bound.window) {
        bound.passedCount -= bound.passed.front().count;
        bound.passed.pop_front();
    }
}

double maximumCount(const ColdBound &bound)
{
    return std::max(std::floor(bound.rate * bound.excess + bound.slack), 1.0);
}

} // namespace

void applyColdTerms(ColdBound &bound, Duration coldTime, std::uint32_t rate, TimePoint now)
{
    if (rate == 0 || coldTime <= Duration(0))
        return;
    bound.rate = rate;
    bound.coldUntil = std::max(bound.coldUntil, now + coldTime);
}

void recordPassedSyn(ColdBound &bound, TimePoint now)
{
    removeOld(bound, now);
    if (bound.passed.empty() || bound.passed.back().at != now)
        bound.passed.push_back({now, 0});
    ++bound.passed.back().count;
    ++bound.passedCount;
}

bool mayPassSyn(ColdBound &bound, TimePoint now)
{
    if (bound.rate == 0 || bound.coldUntil <= now)
        return true;
    removeOld(bound, now);
    return static_cast<double>(bound.passedCount) + 1 <= maximumCount(bound);
}

} // namespace Papaya
