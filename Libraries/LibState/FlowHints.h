#pragma once

#include "LibState/Clock.h"
#include "LibState/FlowKey.h"
#include "LibState/Member.h"

#include <optional>
#include <vector>

namespace Papaya {

/// Owners of flows as an entry daemon was told of late. A bounded cache: a flow may push another out, and what is wrong or
/// missing costs a hop, never a packet.
class FlowHints
{
public:
    /// Makes room for `slots` flows, 48 bytes each.
    explicit FlowHints(std::size_t slots);

    /// Notes the owner of a flow until `expiresAt`.
    void set(const FlowKey &flow, MemberId owner, TimePoint expiresAt);

    /// Returns the owner of a flow, if it is known and not out of date.
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
