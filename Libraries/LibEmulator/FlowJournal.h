#pragma once

#include "LibState/Clock.h"
#include "LibState/FlowKey.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Papaya::Emulator {

/// Records what happens to each flow in a simulation, so that a broken flow can be traced to its cause.
class FlowJournal
{
public:
    /// Records an event of one flow.
    void record(const FlowKey &flow, TimePoint at, std::string process, std::string event);
    /// Records an event that concerns all flows, like the restart of a process.
    void recordForAll(TimePoint at, std::string process, std::string event);

    /// Returns the events of a flow, and from its first event on those that concern all flows, as a table with one line each.
    [[nodiscard]] std::string table(const FlowKey &flow) const;

private:
    struct Line {
        TimePoint at;
        std::string process;
        std::string event;
    };

    std::unordered_map<FlowKey, std::vector<Line>> m_flowLines;
    std::vector<Line> m_commonLines;
};

} // namespace Papaya::Emulator
