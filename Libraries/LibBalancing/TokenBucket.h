#pragma once

#include "LibState/Clock.h"

namespace Papaya {

/// Limits the mean rate of a quantity and allows bursts (token bucket, RFC 2697). A rate of 0 means no limit.
struct TokenBucket {
    double tokensPerSecond = 0;
    double capacity = 0;
    double tokens = 0;
    TimePoint refilledAt;
};

/// Returns a full bucket whose capacity is the number of tokens that the rate adds in `burst`.
[[nodiscard]] TokenBucket makeTokenBucket(double tokensPerSecond, Duration burst);

/// Takes tokens if the bucket has enough; returns whether it had.
[[nodiscard]] bool takeTokens(TokenBucket &bucket, double amount, TimePoint now);

/// Takes tokens even if the bucket has fewer. The balance is negative then, and takeTokens() fails until the bucket has refilled.
void overdrawTokens(TokenBucket &bucket, double amount, TimePoint now);

/// Returns the number of tokens that the rate adds in a time.
[[nodiscard]] double tokensIn(const TokenBucket &bucket, Duration time);

} // namespace Papaya
