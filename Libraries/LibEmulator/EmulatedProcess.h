#pragma once

#include "LibEmulator/EventQueue.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace Papaya::Emulator {

/// A socket of an emulated process, in the order in which the process registers its sockets for polling.
enum class ProcessSocket : std::uint8_t {
    /// Datagrams from other daemons.
    Daemon,
    /// Packets from callers at an entry daemon, and from the target at an agent.
    Packets,
};

/// An emulated process with the event loop of the real daemons: it reads one batch from each socket that is readable, then its
/// mailbox, then runs its tick. Datagrams that arrive while the process is frozen or busy wait in the sockets, whose size is
/// limited.
class EmulatedProcess
{
public:
    using Action = EventQueue::Action;

    /// `onIteration` is called at the end of each iteration of the event loop.
    EmulatedProcess(EventQueue &events, Action onIteration);

    /// Starts a new process, whose sockets and mailbox are empty.
    void start();
    /// Ends the process; everything that it has not read is lost.
    void stop();
    /// Suspends the process. The time goes on and datagrams wait in its sockets.
    void freeze() { m_isFrozen = true; }
    void thaw();
    /// Sets the time that one iteration of the event loop takes, and how many datagrams it reads from each socket.
    void setPace(Duration iterationTime, std::size_t batchSize);

    /// While false, the process does not read the packets that arrive; they wait in the socket.
    void setReadingPackets(bool isReading);

    /// Adds a datagram to a socket, unless the process is down or the socket is full.
    void arrive(ProcessSocket socket, Action handling);
    /// Adds a message to the mailbox, which has no limit.
    void post(Action handling);

    [[nodiscard]] bool isUp() const { return m_isUp; }
    [[nodiscard]] bool isFrozen() const { return m_isUp && m_isFrozen; }
    /// Returns whether datagrams wait in a socket.
    [[nodiscard]] bool hasUnread(ProcessSocket socket) const { return !m_sockets[static_cast<std::size_t>(socket)].empty(); }
    /// Returns whether the process is up and not frozen.
    [[nodiscard]] bool isRunning() const { return m_isUp && !m_isFrozen; }
    /// Number of starts and stops so far, to recognize actions that were scheduled for an earlier process.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    /// Number of datagrams that were dropped because a socket was full.
    [[nodiscard]] std::uint64_t droppedDatagrams() const { return m_droppedDatagrams; }

private:
    void requestIteration(Duration delay);
    void iterate();
    void readBatches();
    void drainMailbox();

    EventQueue &m_events;
    Action m_onIteration;
    std::array<std::deque<Action>, 2> m_sockets;
    /// The readable sockets in the order in which they became readable.
    std::deque<std::size_t> m_readableSockets;
    std::deque<Action> m_mailbox;
    bool m_isUp = false;
    bool m_isFrozen = false;
    bool m_isReadingPackets = true;
    Duration m_iterationTime {0};
    std::size_t m_batchSize;
    std::uint64_t m_generation = 0;
    std::uint64_t m_droppedDatagrams = 0;
    TimePoint m_nextIterationAt;
    /// Identifies the iteration that is scheduled; earlier scheduled ones are void.
    std::uint64_t m_iteration = 0;
    TimePoint m_busyUntil;
};

} // namespace Papaya::Emulator
