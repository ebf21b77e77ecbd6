#include "LibTransport/EventLog.h"

#include "LibTransport/LogWriter.h"

#include <easylogging++.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <utility>

#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace Papaya {

namespace {

constexpr std::chrono::seconds BudgetWindow {1};

/// How long the end of a process waits for its last lines to be read.
constexpr Duration ExitFlushTime {300};

std::unique_ptr<LogWriter> &logWriter()
{
    static std::unique_ptr<LogWriter> writer;
    return writer;
}

LogLevel levelOf(el::Level level)
{
    if (level == el::Level::Error || level == el::Level::Fatal)
        return LogLevel::Error;
    return level == el::Level::Warning ? LogLevel::Warning : LogLevel::Info;
}

/// Hands each formatted line to the writer, in place of the library's own output.
class QueueLines : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) noexcept override
    {
        const auto *message = data->logMessage();
        logWriter()->write(message->logger()->logBuilder()->build(message, true), levelOf(message->level()));
    }
};

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\t") != std::string_view::npos;
}

std::string quote(std::string_view value)
{
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            quoted += '\\';
        quoted += character == '\n' ? ' ' : character;
    }
    return quoted + "\"";
}

} // namespace

void startLogging()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    logWriter() = std::make_unique<LogWriter>(STDOUT_FILENO);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<QueueLines>("QueueLines");
}

void exitProcess(int code)
{
    if (logWriter())
        logWriter()->flush(ExitFlushTime);
    std::_Exit(code);
}

EventLog::EventLog(std::string_view event, LogLevel level)
    : m_level(level)
    , m_line("event=" + std::string(event))
{
}

EventLog::~EventLog()
{
    switch (m_level) {
    case LogLevel::Info:
        LOG(INFO) << "level=info " << m_line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << "level=warning " << m_line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << "level=error " << m_line;
        break;
    }
}

EventLog &EventLog::with(std::string_view key, std::string_view value)
{
    m_line += " " + std::string(key) + "=" + (needsQuotes(value) ? quote(value) : std::string(value));
    return *this;
}

EventLog &EventLog::with(std::string_view key, std::uint64_t value)
{
    m_line += " " + std::string(key) + "=" + std::to_string(value);
    return *this;
}

EventLog &EventLog::with(const Failure &failure)
{
    with("failure", failureKindName(failure.kind));
    with("line", static_cast<std::uint64_t>(failure.line));
    return with("subject", failure.subject);
}

bool LogRateLimiter::allow(TimePoint now)
{
    if (now - m_windowStart >= BudgetWindow) {
        m_windowStart = now;
        m_used = 0;
    }
    if (m_used >= m_linesPerSecond) {
        ++m_suppressed;
        return false;
    }
    ++m_used;
    return true;
}

std::uint64_t LogRateLimiter::takeSuppressed()
{
    return std::exchange(m_suppressed, 0);
}

} // namespace Papaya
