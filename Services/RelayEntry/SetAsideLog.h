#pragma once

#include "LibCoordination/SetAsideEntry.h"
#include "LibState/Metrics.h"

#include <span>
#include <unordered_map>

namespace Papaya {

/// Writes one log line for each entry that is set aside, and another one when its reason changes, and counts them by reason.
class SetAsideLog
{
public:
    /// Compares the entries that are set aside now with those of the last call. A limited number of lines is written in one call; the
    /// others follow in the next ones.
    void update(std::span<const SetAsideEntry> entries, Metrics &metrics);

private:
    std::unordered_map<MemberId, SetAsideReason> m_logged;
};

} // namespace Papaya
