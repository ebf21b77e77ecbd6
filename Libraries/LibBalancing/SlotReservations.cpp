#include "LibBalancing/SlotReservations.h"

namespace Papaya {

namespace {

void updateLoad(const SlotReservations &reservations, TargetLoad &load)
{
    load.reservedSlots = static_cast<std::uint32_t>(reservations.reservedAt.size());
}

} // namespace

void reserveSlot(SlotReservations &reservations, const FlowKey &flow, TimePoint now, TargetLoad &load)
{
    if (reservations.order.size() >= reservations.limits.reservations)
        return;
    if (reservations.reservedAt.try_emplace(flow, now).second)
        reservations.order.emplace_back(now, flow);
    updateLoad(reservations, load);
}

void releaseSlot(SlotReservations &reservations, const FlowKey &flow, TargetLoad &load)
{
    reservations.reservedAt.erase(flow);
    updateLoad(reservations, load);
}

void expireReservations(SlotReservations &reservations, TimePoint now, TargetLoad &load)
{
    auto &order = reservations.order;
    while (!order.empty() && now - order.front().first >= reservations.limits.validity) {
        const auto &[reservedAt, flow] = order.front();
        // The flow may have released its slot and reserved another one since.
        const auto current = reservations.reservedAt.find(flow);
        if (current != reservations.reservedAt.end() && current->second == reservedAt)
            reservations.reservedAt.erase(current);
        order.pop_front();
    }
    updateLoad(reservations, load);
}

void clearReservations(SlotReservations &reservations)
{
    reservations.reservedAt.clear();
    reservations.order.clear();
}

} // namespace Papaya
