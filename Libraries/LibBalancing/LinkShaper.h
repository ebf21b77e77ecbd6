#pragma once

#include "LibBalancing/TokenBucket.h"
#include "LibState/Endpoint.h"
#include "LibState/FlowKey.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Shares the outgoing bandwidth of a VM's slow link between bulk data and all other packets. Without it, uploads that exceed the link's
/// bandwidth fill the link's queue, in which handshakes and short requests then wait until their senders repeat them, which adds to the
/// load. Small packets are sent at once; packets of bulk data wait for bandwidth, and are dropped before their senders would repeat them.
namespace Papaya {

/// Parameters of the shaping.
struct LinkShaperLimits {
    /// Fraction of the link's bandwidth that may be used, so that the link's own queue stays short.
    double linkShare = 0.95;
    /// Size of the burst that may be sent at once, as the time that it takes at the full rate.
    Duration burst {10};
    /// Datagrams of at least this size in bytes carry bulk data.
    std::size_t bulkSize = 800;
    /// Maximum time that a packet waits. Senders repeat a packet after 200 ms; later than that, both copies would use the link.
    Duration maximumDelay {120};
};

/// A datagram that waits for bandwidth.
struct DelayedDatagram {
    FlowKey flow;
    Endpoint receiver;
    std::vector<std::byte> bytes;
    TimePoint queuedAt;
};

/// The state of one link.
struct LinkShaper {
    LinkShaperLimits limits;
    /// One token is one byte. The balance is negative while small packets have used more than their share. A rate of 0 means no limit.
    TokenBucket budget;
    std::deque<DelayedDatagram> queue;
    std::size_t queuedBytes = 0;
    /// Number of waiting datagrams of each flow. Further packets of these flows wait too, so that no flow is reordered.
    std::unordered_map<FlowKey, std::size_t> delayedFlows;
    std::uint64_t delayedCount = 0;
    std::uint64_t droppedCount = 0;
};

/// What happens to a datagram.
enum class ShapingDecision {
    SendNow,
    /// It was copied to the queue.
    Delayed,
    /// The queue is longer than `maximumDelay` at the link's rate.
    Dropped,
};

/// Returns the shaper of a link; a bandwidth of 0 bytes a second means no limit.
[[nodiscard]] LinkShaper makeLinkShaper(double bytesPerSecond, const LinkShaperLimits &limits = {});

/// Returns whether a datagram can be sent without looking at its flow: no datagram waits, and there is bandwidth for it.
[[nodiscard]] bool trySpend(LinkShaper &shaper, std::size_t size, TimePoint now);

/// Records a datagram that is sent at once whatever the bandwidth.
void spend(LinkShaper &shaper, std::size_t size, TimePoint now);

/// Decides on a datagram of a flow.
[[nodiscard]] ShapingDecision
shape(LinkShaper &shaper, const FlowKey &flow, const Endpoint &receiver, std::span<const std::byte> datagram, TimePoint now);

/// Returns the next datagram that bandwidth is available for, or nothing. Drops those that have waited for too long.
[[nodiscard]] std::optional<DelayedDatagram> takeDue(LinkShaper &shaper, TimePoint now);

} // namespace Papaya
