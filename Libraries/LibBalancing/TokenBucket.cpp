#include "LibBalancing/TokenBucket.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr double MillisecondsPerSecond = 1'000;

void refill(TokenBucket &bucket, TimePoint now)
{
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + tokensIn(bucket, now - bucket.refilledAt));
    bucket.refilledAt = now;
}

} // namespace

TokenBucket makeTokenBucket(double tokensPerSecond, Duration burst)
{
    TokenBucket bucket;
    bucket.tokensPerSecond = tokensPerSecond;
    bucket.capacity = tokensIn(bucket, burst);
    bucket.tokens = bucket.capacity;
    return bucket;
}

bool takeTokens(TokenBucket &bucket, double amount, TimePoint now)
{
    if (bucket.tokensPerSecond <= 0)
        return true;
    refill(bucket, now);
    if (bucket.tokens < amount)
        return false;
    bucket.tokens -= amount;
    return true;
}

void overdrawTokens(TokenBucket &bucket, double amount, TimePoint now)
{
    if (bucket.tokensPerSecond <= 0)
        return;
    refill(bucket, now);
    bucket.tokens -= amount;
}

double tokensIn(const TokenBucket &bucket, Duration time)
{
    return bucket.tokensPerSecond * static_cast<double>(time.count()) / MillisecondsPerSecond;
}

} // namespace Papaya
