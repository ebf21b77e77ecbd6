#pragma once

#include "LibState/Clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Papaya::Emulator {

/// A discrete-event scheduler with virtual time. Runs actions in the order of their times, and actions of the same time in the
/// order in which they were scheduled.
class EventQueue
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] TimePoint now() const { return m_now; }

    /// Schedules an action `delay` after now(). A negative delay counts as zero.
    void schedule(Duration delay, Action action);

    /// Runs all actions that are due up to and including `end`, then sets the time to `end`.
    void runUntil(TimePoint end);

private:
    struct Event {
        TimePoint at;
        std::uint64_t insertionOrder = 0;
        Action action;
    };
    struct IsLater {
        bool operator()(const Event &left, const Event &right) const
        {
            return left.at != right.at ? left.at > right.at : left.insertionOrder > right.insertionOrder;
        }
    };

    std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
    TimePoint m_now {Duration(1'000'000)};
    std::uint64_t m_scheduledCount = 0;
};

} // namespace Papaya::Emulator
