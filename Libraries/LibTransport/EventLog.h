#pragma once

#include "LibState/Clock.h"
#include "LibState/Failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya {

/// The severity of a log line.
enum class LogLevel {
    Info,
    Warning,
    Error,
};

/// Sets up logging to standard output. Log files are not supported, since the VMs have no disks. Must be called once in each program.
/// A LogWriter writes the lines, so that a slow reader of standard output does not block the caller.
void startLogging();

/// Ends the process after the queued log lines were written, or after a timeout of a few hundred milliseconds if the reader of
/// standard output does not accept them. Does not join tasks.
[[noreturn]] void exitProcess(int code);

/// One event. The destructor writes it as a line of key=value pairs.
class EventLog
{
public:
    explicit EventLog(std::string_view event, LogLevel level = LogLevel::Info);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Appends a key=value pair. A value that is empty or contains whitespace, `=` or a double quote is quoted.
    EventLog &with(std::string_view key, std::string_view value);
    EventLog &with(std::string_view key, std::uint64_t value);
    /// Appends the kind, line and subject of a failure.
    EventLog &with(const Failure &failure);

private:
    LogLevel m_level;
    std::string m_line;
};

/// Limits the rate of log lines of one kind and counts the suppressed lines.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(int linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Returns whether a line may be written at `now`. A rejected line counts as suppressed.
    [[nodiscard]] bool allow(TimePoint now);

    /// Returns the number of lines suppressed since the last call.
    [[nodiscard]] std::uint64_t takeSuppressed();

private:
    int m_linesPerSecond;
    int m_writtenInWindow = 0;
    TimePoint m_windowStart;
    std::uint64_t m_suppressed = 0;
};

} // namespace Papaya
