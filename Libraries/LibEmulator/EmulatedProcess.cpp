#include "LibEmulator/EmulatedProcess.h"

#include <algorithm>
#include <utility>

namespace Papaya::Emulator {

namespace {

constexpr std::size_t SocketLimit = 400;
constexpr std::size_t DefaultBatchSize = 64;
/// Maximum time between two iterations.
constexpr Duration PollTimeout {20};
/// Time until the next iteration while datagrams wait.
constexpr Duration BatchTime {1};

} // namespace

EmulatedProcess::EmulatedProcess(EventQueue &events, Action onIteration)
    : m_events(events)
    , m_onIteration(std::move(onIteration))
    , m_batchSize(DefaultBatchSize)
{
}

void EmulatedProcess::start()
{
    stop();
    m_isUp = true;
    m_isFrozen = false;
    m_isReadingPackets = true;
    m_busyUntil = m_events.now();
    m_nextIterationAt = TimePoint::max();
    requestIteration(Duration(0));
}

void EmulatedProcess::stop()
{
    ++m_generation;
    ++m_iteration;
    m_isUp = false;
    for (auto &socket : m_sockets)
        socket.clear();
    m_readableSockets.clear();
    m_mailbox.clear();
}

void EmulatedProcess::thaw()
{
    m_isFrozen = false;
    if (!m_isUp)
        return;
    m_nextIterationAt = TimePoint::max();
    requestIteration(Duration(0));
}

void EmulatedProcess::setPace(Duration iterationTime, std::size_t batchSize)
{
    m_iterationTime = iterationTime;
    m_batchSize = batchSize;
}

void EmulatedProcess::setReadingPackets(bool isReading)
{
    if (std::exchange(m_isReadingPackets, isReading) != isReading)
        requestIteration(Duration(0));
}

void EmulatedProcess::arrive(ProcessSocket socket, Action handling)
{
    if (!m_isUp)
        return;
    const auto index = static_cast<std::size_t>(socket);
    auto &queue = m_sockets[index];
    if (queue.size() >= SocketLimit) {
        ++m_droppedDatagrams;
        return;
    }
    if (queue.empty())
        m_readableSockets.push_back(index);
    queue.push_back(std::move(handling));
    requestIteration(Duration(0));
}

void EmulatedProcess::post(Action handling)
{
    if (!m_isUp)
        return;
    m_mailbox.push_back(std::move(handling));
    requestIteration(Duration(0));
}

void EmulatedProcess::requestIteration(Duration delay)
{
    const auto at = std::max(m_events.now() + delay, m_busyUntil);
    if (!isRunning() || m_nextIterationAt <= at)
        return;
    m_nextIterationAt = at;
    m_events.schedule(at - m_events.now(), [this, iteration = ++m_iteration] {
        if (iteration == m_iteration && isRunning())
            iterate();
    });
}

void EmulatedProcess::iterate()
{
    m_nextIterationAt = TimePoint::max();
    m_busyUntil = m_events.now() + m_iterationTime;
    readBatches();
    drainMailbox();
    if (!isRunning())
        return;
    m_onIteration();
    requestIteration(m_readableSockets.empty() && m_mailbox.empty() ? PollTimeout : BatchTime);
}

void EmulatedProcess::readBatches()
{
    for (const auto index : std::exchange(m_readableSockets, {})) {
        if (!m_isReadingPackets && index == static_cast<std::size_t>(ProcessSocket::Packets)) {
            m_readableSockets.push_back(index);
            continue;
        }
        auto &queue = m_sockets[index];
        const auto count = std::min(queue.size(), m_batchSize);
        for (std::size_t read = 0; read < count && !queue.empty(); ++read) {
            const auto handling = std::move(queue.front());
            queue.pop_front();
            handling();
        }
        if (!queue.empty())
            m_readableSockets.push_back(index);
    }
}

void EmulatedProcess::drainMailbox()
{
    while (!m_mailbox.empty()) {
        const auto handling = std::move(m_mailbox.front());
        m_mailbox.pop_front();
        handling();
    }
}

} // namespace Papaya::Emulator
