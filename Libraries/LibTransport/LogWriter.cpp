#include "LibTransport/LogWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>

namespace Papaya {

namespace {

/// How often the thread checks for a stop request while the descriptor is not writable.
constexpr int StopPollMilliseconds = 100;

/// Starts a thread with all signals blocked. Signals sent to the process are thereby delivered to the threads that wait for them, and
/// a write to a closed pipe fails with EPIPE instead of raising SIGPIPE.
template <typename Function>
std::thread startThreadWithSignalsBlocked(const Function &function)
{
    sigset_t all;
    sigset_t previous;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous);
    std::thread thread(function);
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
    return thread;
}

} // namespace

LogWriter::LogWriter(int descriptor, LogWriterLimits limits)
    : m_descriptor(descriptor)
    , m_limits(limits)
    , m_thread(startThreadWithSignalsBlocked([this] { run(); }))
{
}

LogWriter::~LogWriter()
{
    {
        // Set under the lock. Otherwise the thread could check the flag before it is set, start to wait after the notification, and so
        // miss the notification.
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void LogWriter::write(std::string line, LogLevel level)
{
    const std::lock_guard lock(m_mutex);
    if (!reserveQueueSpace(line.size(), level)) {
        ++m_dropped;
        return;
    }
    m_bytes += line.size();
    m_lines.push_back({std::move(line), level});
}

bool LogWriter::reserveQueueSpace(std::size_t size, LogLevel level)
{
    while (m_bytes + size > m_limits.queueBytes) {
        const auto oldestInfo = std::find_if(m_lines.begin(), m_lines.end(), [](const Line &line) { return line.level == LogLevel::Info; });
        if (level == LogLevel::Info || oldestInfo == m_lines.end())
            return false;
        m_bytes -= oldestInfo->text.size();
        m_lines.erase(oldestInfo);
        ++m_dropped;
    }
    return true;
}

void LogWriter::flush(Duration limit)
{
    std::unique_lock lock(m_mutex);
    m_isFlushRequested = true;
    m_changed.notify_all();
    m_written.wait_for(lock, limit, [&] { return m_lines.empty() && !m_isWriting; });
    m_isFlushRequested = false;
}

std::uint64_t LogWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void LogWriter::run()
{
    std::unique_lock lock(m_mutex);
    bool isLast = false;
    while (!isLast) {
        m_changed.wait_for(lock, m_limits.batchInterval, [&] { return m_isStopping || (m_isFlushRequested && !m_lines.empty()); });
        isLast = m_isStopping;
        const auto batch = takeBatch();
        if (batch.empty())
            continue;
        m_isWriting = true;
        lock.unlock();
        writeBatch(batch);
        lock.lock();
        m_isWriting = false;
        m_written.notify_all();
    }
}

std::string LogWriter::takeBatch()
{
    std::string batch;
    for (const auto &line : m_lines)
        batch += line.text;
    m_lines.clear();
    m_bytes = 0;
    if (m_dropped > m_reportedDropped)
        batch += "level=warning event=log_lines_dropped count=" + std::to_string(m_dropped - m_reportedDropped) + "\n";
    m_reportedDropped = m_dropped;
    return batch;
}

void LogWriter::writeBatch(const std::string &batch)
{
    std::size_t written = 0;
    while (written < batch.size()) {
        pollfd pollEntry {m_descriptor, POLLOUT, 0};
        const bool isWritable = ::poll(&pollEntry, 1, StopPollMilliseconds) > 0;
        if (!isWritable && m_isStopping)
            return;
        if (!isWritable)
            continue;
        // A pipe that poll() reports as writable accepts this much without blocking (POSIX, PIPE_BUF).
        const auto chunkSize = std::min<std::size_t>(batch.size() - written, 4'096);
        const auto result = ::write(m_descriptor, batch.data() + written, chunkSize);
        if (result < 0 && errno != EAGAIN && errno != EINTR)
            return;
        written += result > 0 ? static_cast<std::size_t>(result) : 0;
    }
}

} // namespace Papaya
