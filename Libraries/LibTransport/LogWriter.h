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

/// What a LogWriter may use.
struct LogWriterLimits {
    /// Bytes of lines that wait to be written.
    std::size_t queueBytes = std::size_t {256} * 1'024;
    /// How long lines gather, so that many of them cost one system call.
    Duration batchInterval {100};
};

/// Writes log lines to a descriptor in a thread of its own, so that a reader that is slow or gone never holds up the work.
/// Lines that find no room are dropped and counted; a warning or error takes the place of the oldest routine line.
class LogWriter
{
public:
    explicit LogWriter(int descriptor, LogWriterLimits limits = {});
    /// Writes what waits, if the descriptor takes it at once.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues one line, which ends with a line break. Never blocks on the descriptor.
    void write(std::string line, LogLevel level);

    /// Waits at most `limit` until everything that was queued is written.
    void flush(Duration limit);

    /// Returns how many lines were dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct Line {
        std::string text;
        LogLevel level = LogLevel::Info;
    };

    [[nodiscard]] bool reserveQueueSpace(std::size_t size, LogLevel level);
    void run();
    /// Takes all lines, and one that counts those that were dropped since the last time.
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
