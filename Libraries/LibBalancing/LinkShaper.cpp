#include "LibBalancing/LinkShaper.h"

#include <utility>

namespace Papaya {

namespace {

DelayedDatagram popFront(LinkShaper &shaper)
{
    auto datagram = std::move(shaper.queue.front());
    shaper.queue.pop_front();
    shaper.queuedBytes -= datagram.bytes.size();
    const auto flow = shaper.delayedFlows.find(datagram.flow);
    if (--flow->second == 0)
        shaper.delayedFlows.erase(flow);
    return datagram;
}

bool isQueueFull(const LinkShaper &shaper, std::size_t size)
{
    const auto limit = tokensIn(shaper.budget, shaper.limits.maximumDelay);
    return static_cast<double>(shaper.queuedBytes + size) > limit;
}

} // namespace

LinkShaper makeLinkShaper(double bytesPerSecond, const LinkShaperLimits &limits)
{
    LinkShaper shaper;
    shaper.limits = limits;
    shaper.budget = makeTokenBucket(bytesPerSecond * limits.linkShare, limits.burst);
    return shaper;
}

bool trySpend(LinkShaper &shaper, std::size_t size, TimePoint now)
{
    return shaper.queue.empty() && takeTokens(shaper.budget, static_cast<double>(size), now);
}

void spend(LinkShaper &shaper, std::size_t size, TimePoint now)
{
    overdrawTokens(shaper.budget, static_cast<double>(size), now);
}

ShapingDecision shape(LinkShaper &shaper, const FlowKey &flow, const Endpoint &receiver, std::span<const std::byte> datagram, TimePoint now)
{
    const bool isBulk = datagram.size() >= shaper.limits.bulkSize;
    if (!isBulk && !shaper.delayedFlows.contains(flow)) {
        spend(shaper, datagram.size(), now);
        return ShapingDecision::SendNow;
    }
    if (trySpend(shaper, datagram.size(), now))
        return ShapingDecision::SendNow;
    if (isQueueFull(shaper, datagram.size())) {
        ++shaper.droppedCount;
        return ShapingDecision::Dropped;
    }
    shaper.queue.push_back({flow, receiver, {datagram.begin(), datagram.end()}, now});
    shaper.queuedBytes += datagram.size();
    ++shaper.delayedFlows[flow];
    ++shaper.delayedCount;
    return ShapingDecision::Delayed;
}

std::optional<DelayedDatagram> takeDue(LinkShaper &shaper, TimePoint now)
{
    while (!shaper.queue.empty() && now - shaper.queue.front().queuedAt > shaper.limits.maximumDelay) {
        (void)popFront(shaper);
        ++shaper.droppedCount;
    }
    if (shaper.queue.empty())
        return std::nullopt;
    if (!takeTokens(shaper.budget, static_cast<double>(shaper.queue.front().bytes.size()), now))
        return std::nullopt;
    return popFront(shaper);
}

} // namespace Papaya
