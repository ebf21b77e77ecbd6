#include "LibTransport/LoopMonitor.h"

namespace Papaya {

LoopMonitor::State LoopMonitor::poll()
{
    const auto turns = m_turns.load(std::memory_order_relaxed);
    m_pollsWithoutTurn = turns == m_turnsAtLastPoll ? m_pollsWithoutTurn + 1 : 0;
    m_turnsAtLastPoll = turns;
    auto state = State::Turning;
    if (m_pollsWithoutTurn >= DeadPolls)
        state = State::Dead;
    else if (m_pollsWithoutTurn >= StalledPolls)
        state = State::Stalled;
    m_state.store(state, std::memory_order_relaxed);
    return state;
}

} // namespace Papaya
