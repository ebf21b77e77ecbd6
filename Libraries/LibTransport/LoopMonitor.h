#pragma once

#include <atomic>
#include <cstdint>

namespace Papaya {

/// Detects that a daemon's main task no longer turns, although its process runs. The main task records each turn of its loop, and another
/// thread polls. Polls are counted instead of time: while the process is paused or its machine suspended there are none, so no pause,
/// however long, looks like a main task that has stopped.
class LoopMonitor
{
public:
    /// What the polls have shown.
    enum class State : std::uint8_t {
        Turning,
        /// The main task has not turned for `StalledPolls`: the daemon is not ready.
        Stalled,
        /// It has not turned for `DeadPolls`: the process should end, so that it is started again.
        Dead,
    };

    /// Polls without a turn until the state changes. The interval of the polls is up to the caller of poll().
    static constexpr int StalledPolls = 10;
    static constexpr int DeadPolls = 50;

    /// Called by the main task in each turn of its loop.
    void recordTurn() { m_turns.fetch_add(1, std::memory_order_relaxed); }

    /// Compares the number of turns with that of the last poll. Called by one thread.
    State poll();

    /// The state at the last poll. May be called by any thread.
    [[nodiscard]] State state() const { return m_state.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_turns = 0;
    std::atomic<State> m_state = State::Turning;
    std::uint64_t m_turnsAtLastPoll = 0;
    int m_pollsWithoutTurn = 0;
};

} // namespace Papaya
