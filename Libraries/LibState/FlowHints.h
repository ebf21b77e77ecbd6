#pragma once

#include "LibState/Clock.h"
#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <optional>
#include <vector>

namespace Papaya {

/// Bounded cache of the owners of flows, filled from the hints that agents send to an entry daemon. A flow may evict another
/// one from its slot. A wrong or missing entry costs one more hop and loses no packet.
class FlowHints
{
public:
    /// Allocates `slots` entries of 48 bytes each.
    explicit FlowHints(std::size_t slots);

    /// Stores the owner of a flow until `expiresAt`.
    void set(const FlowKey &flow, MemberId owner, TimePoint expiresAt);

    /// Returns the owner of a flow, or nothing if no entry is stored or the entry has expired.
    [[nodiscard]] std::optional<MemberId> ownerOf(const FlowKey &flow, TimePoint now) const;

private:
    struct Hint {
        FlowKey flow;
        MemberId owner = 0;
        TimePoint expiresAt;
    };

    [[nodiscard]] std::size_t slotOf(const FlowKey &flow) const { return hashOf(flow) % m_slots.size(); }

    std::vector<Hint> m_slots;
};

} // namespace Papaya
