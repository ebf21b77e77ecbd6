#include "LibEmulator/EventQueue.h"

#include <algorithm>

namespace Papaya::Emulator {

void EventQueue::schedule(Duration delay, Action action)
{
    m_events.push({m_now + std::max(delay, Duration(0)), m_scheduledCount++, std::move(action)});
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

} // namespace Papaya::Emulator
