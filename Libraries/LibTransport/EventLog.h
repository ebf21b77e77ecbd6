#pragma once

#include "LibState/Clock.h"
#include "LibState/Failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya {

/// How much an operator should care.
enum class LogLevel {
    Info,
    Warning,
    Error,
};

/// Sets up logging to standard output, without files: the VMs have no disks. Call once in each program. Lines are written by a
/// LogWriter, so that nothing waits for whoever reads them.
void startLogging();

/// Ends the process once the lines that wait are written, or soon if nobody reads them. Tasks are not joined.
[[noreturn]] void exitProcess(int code);

/// One event, written as a line of key=value pairs when the object goes out of scope.
class EventLog
{
public:
    explicit EventLog(std::string_view event, LogLevel level = LogLevel::Info);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    EventLog &with(std::string_view key, std::string_view value);
    EventLog &with(std::string_view key, std::uint64_t value);
    EventLog &with(const Failure &failure);

private:
    LogLevel m_level;
    std::string m_line;
};

/// Bounds how many lines of one kind are written each second, and counts those left out.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(int linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Returns whether a line may be written now.
    [[nodiscard]] bool allow(TimePoint now);

    /// Returns how many lines were left out since the last call.
    [[nodiscard]] std::uint64_t takeSuppressed();

private:
    int m_linesPerSecond;
    int m_used = 0;
    TimePoint m_windowStart;
    std::uint64_t m_suppressed = 0;
};

} // namespace Papaya
