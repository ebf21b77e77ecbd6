#pragma once

#include "LibState/Clock.h"

namespace Papaya {

/// Bounds the mean rate of something while it allows a burst (token bucket, RFC 2697). A rate of 0 allows everything.
struct TokenBucket {
    double tokensPerSecond = 0;
    double capacity = 0;
    double tokens = 0;
    TimePoint refilledAt;
};

/// Makes a full bucket whose capacity is what the rate gives in `burst`.
[[nodiscard]] TokenBucket makeTokenBucket(double tokensPerSecond, Duration burst);

/// Takes tokens if there are enough; returns whether there were.
[[nodiscard]] bool takeTokens(TokenBucket &bucket, double amount, TimePoint now);

} // namespace Papaya
