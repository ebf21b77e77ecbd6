#include "SetAsideLog.h"

#include "LibTransport/EventLog.h"

#include <algorithm>

namespace Papaya {

namespace {

constexpr int MaximumLinesPerUpdate = 20;

} // namespace

void SetAsideLog::update(std::span<const SetAsideEntry> entries, Metrics &metrics)
{
    std::unordered_map<MemberId, SetAsideReason> logged;
    int lines = 0;
    for (const auto &entry : entries) {
        const auto known = m_logged.find(entry.id);
        if (known != m_logged.end() && known->second == entry.reason) {
            logged.insert(*known);
            continue;
        }
        if (lines == MaximumLinesPerUpdate)
            continue;
        ++lines;
        logged.emplace(entry.id, entry.reason);
        metrics.count("entries_set_aside", setAsideReasonName(entry.reason));
        EventLog("entry_set_aside")
            .with("target", entry.name)
            .with("agent", toString(entry.agent))
            .with("reason", setAsideReasonName(entry.reason));
    }
    m_logged = std::move(logged);
}

} // namespace Papaya
