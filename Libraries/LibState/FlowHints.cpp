#include "LibState/FlowHints.h"

namespace Papaya {

FlowHints::FlowHints(std::size_t slots)
    : m_slots(slots)
{
}

void FlowHints::set(const FlowKey &flow, MemberId owner, TimePoint expiresAt)
{
    m_slots[slotOf(flow)] = {flow, owner, expiresAt};
}

std::optional<MemberId> FlowHints::ownerOf(const FlowKey &flow, TimePoint now) const
{
    const auto &hint = m_slots[slotOf(flow)];
    if (hint.flow != flow || hint.expiresAt <= now)
        return std::nullopt;
    return hint.owner;
}

} // namespace Papaya
