#include "LibCoordination/RetryBackoff.h"

#include <gtest/gtest.h>

#include <set>

namespace Papaya {

TEST(RetryBackoff, DoublesFromInitialToMaximum)
{
    auto previous = Duration(0);
    for (int failures = 1; failures < 50; ++failures) {
        const auto backoff = retryBackoff(failures, 0);
        EXPECT_GE(backoff, previous);
        EXPECT_GE(backoff, Duration(500));
        EXPECT_LE(backoff, Duration(5'000));
        previous = backoff;
    }
    EXPECT_EQ(previous, Duration(5'000));
}

TEST(RetryBackoff, JitterSpreadsDaemonsThatFailedTogether)
{
    std::set<Duration> backoffs;
    for (std::uint64_t identity = 0; identity < 1'000; ++identity)
        backoffs.insert(retryBackoff(5, identity * 7'919));
    EXPECT_GT(backoffs.size(), 500U);
    EXPECT_LT(*backoffs.rbegin(), Duration(7'500));
}

} // namespace Papaya
