#pragma once

#include "LibTransport/EventLog.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Papaya {

/// Limits of a LogWriter.
struct LogWriterLimits {
    /// Maximum total size of the queued lines, in bytes.
    std::size_t queueBytes = std::size_t {256} * 1'024;
    /// How long lines are collected before they are written together, to save system calls.
    Duration batchInterval {100};
};

/// Writes log lines to a descriptor in a separate thread, so that a slow or closed reader never blocks the threads that log. When the
/// queue is full, lines are dropped and counted. A warning or error evicts the oldest info lines.
class LogWriter
{
public:
    explicit LogWriter(int descriptor, LogWriterLimits limits = {});
    /// Writes the queued lines as long as the descriptor is writable, and joins the thread.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues one line, which must end with a newline. Never blocks on the descriptor.
    void write(std::string line, LogLevel level);

    /// Waits at most `limit` until all queued lines are written.
    void flush(Duration limit);

    /// Returns the number of lines dropped since the LogWriter was constructed.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct Line {
        std::string text;
        LogLevel level = LogLevel::Info;
    };

    /// Returns whether a line of `size` bytes fits into the queue. For a warning or error, evicts the oldest info lines until it does.
    [[nodiscard]] bool reserveQueueSpace(std::size_t size, LogLevel level);
    void run();
    /// Removes and returns all queued lines, followed by a line with the number of lines dropped since the last batch, if any.
    [[nodiscard]] std::string takeBatch();
    void writeBatch(const std::string &batch);

    const int m_descriptor;
    const LogWriterLimits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_written;
    std::deque<Line> m_lines;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
    bool m_isWriting = false;
    bool m_isFlushRequested = false;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Papaya
