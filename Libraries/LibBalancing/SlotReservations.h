#pragma once

#include "LibState/Clock.h"
#include "LibState/FlowKey.h"
#include "LibState/RelayMessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

/// Slots of a target that are reserved for flows whose first request is on its way. Between the SYN and the first request lies a
/// round trip to the caller. Without reservations, all SYNs of that time are placed on the same free slot.
namespace Papaya {

/// Limits of the reservations of one target.
struct ReservationLimits {
    /// How long a slot stays reserved for a flow without a request.
    Duration validity {100};
    /// Limit on reservations that are kept, for memory. It is far above the number of slots of a target.
    std::size_t reservations = 4'096;
};

/// The reservations of one target. A flow has at most one.
struct SlotReservations {
    ReservationLimits limits;
    /// When each flow's slot was reserved.
    std::unordered_map<FlowKey, TimePoint> reservedAt;
    /// The reservations in their order, including those that were released since. All have the same validity.
    std::deque<std::pair<TimePoint, FlowKey>> order;
};

/// Reserves a slot for a flow, unless it has one, and updates the reserved slots of the target's load. Takes constant time.
void reserveSlot(SlotReservations &reservations, const FlowKey &flow, TimePoint now, TargetLoad &load);

/// Releases the slot of a flow, whose first request has arrived or which has ended, and updates the load. Takes constant time.
void releaseSlot(SlotReservations &reservations, const FlowKey &flow, TargetLoad &load);

/// Releases the slots that have been reserved for longer than the validity, and updates the load. Takes constant time for each
/// reservation made.
void expireReservations(SlotReservations &reservations, TimePoint now, TargetLoad &load);

/// Releases all slots. The caller resets the load.
void clearReservations(SlotReservations &reservations);

} // namespace Papaya
