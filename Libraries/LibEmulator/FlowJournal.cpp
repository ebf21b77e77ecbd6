#include "LibEmulator/FlowJournal.h"

#include <algorithm>

namespace Papaya::Emulator {

void FlowJournal::record(const FlowKey &flow, TimePoint at, std::string process, std::string event)
{
    m_flowLines[flow].push_back({at, std::move(process), std::move(event)});
}

void FlowJournal::recordForAll(TimePoint at, std::string process, std::string event)
{
    m_commonLines.push_back({at, std::move(process), std::move(event)});
}

std::string FlowJournal::table(const FlowKey &flow) const
{
    const auto found = m_flowLines.find(flow);
    if (found == m_flowLines.end())
        return {};
    auto lines = found->second;
    const auto start = lines.front().at - Duration(5'000);
    std::copy_if(m_commonLines.begin(), m_commonLines.end(), std::back_inserter(lines), [&](const Line &line) {
        return line.at >= start && line.at <= found->second.back().at;
    });
    std::stable_sort(lines.begin(), lines.end(), [](const Line &left, const Line &right) { return left.at < right.at; });
    std::string text = "events of " + toString(flow) + "\n";
    for (const auto &line : lines)
        text += std::to_string(line.at.time_since_epoch().count()) + " | " + line.process + " | " + line.event + "\n";
    return text;
}

} // namespace Papaya::Emulator
