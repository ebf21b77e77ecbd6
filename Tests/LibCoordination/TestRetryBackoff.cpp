#include "LibCoordination/RetryBackoff.h"

#include <gtest/gtest.h>

#include <set>

namespace Papaya {

TEST(RetryPause, DoublesUpToItsLimitAndNeverFallsBelowTheFirst)
{
    auto previous = Duration(0);
    for (int failures = 1; failures < 50; ++failures) {
        const auto pause = retryBackoff(failures, 0);
        EXPECT_GE(pause, previous);
        EXPECT_GE(pause, Duration(500));
        EXPECT_LE(pause, Duration(5'000));
        previous = pause;
    }
    EXPECT_EQ(previous, Duration(5'000));
}

TEST(RetryPause, SpreadsDaemonsThatFailedTogether)
{
    std::set<Duration> pauses;
    for (std::uint64_t identity = 0; identity < 1'000; ++identity)
        pauses.insert(retryBackoff(5, identity * 7'919));
    EXPECT_GT(pauses.size(), 500U);
    EXPECT_LT(*pauses.rbegin(), Duration(7'500));
}

} // namespace Papaya
