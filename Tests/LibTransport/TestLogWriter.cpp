#include "LibTransport/LogWriter.h"
#include "LibTransport/MonotonicClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace Papaya {

namespace {

constexpr Duration FlushTimeout {2'000};
const LogWriterLimits SmallQueue {1'000, Duration(10)};

/// A pipe. The destructor closes both ends.
class Pipe
{
public:
    Pipe() { EXPECT_EQ(::pipe2(m_ends.data(), O_CLOEXEC), 0); }
    ~Pipe()
    {
        closeReader();
        ::close(m_ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    [[nodiscard]] int writer() const { return m_ends[1]; }

    void closeReader()
    {
        if (m_ends[0] >= 0)
            ::close(m_ends[0]);
        m_ends[0] = -1;
    }

    /// Fills the pipe until further writes would block.
    void fill() const
    {
        const int flags = ::fcntl(writer(), F_GETFL);
        ::fcntl(writer(), F_SETFL, flags | O_NONBLOCK);
        const std::string block(4'096, 'x');
        while (::write(writer(), block.data(), block.size()) > 0) {
        }
        ::fcntl(writer(), F_SETFL, flags);
    }

    /// Reads all available bytes without blocking.
    [[nodiscard]] std::string read() const
    {
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4'096> buffer {};
        for (auto count = ::read(m_ends[0], buffer.data(), buffer.size()); count > 0;
             count = ::read(m_ends[0], buffer.data(), buffer.size()))
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    std::array<int, 2> m_ends {-1, -1};
};

TEST(LogWriter, WritesLinesInOrder)
{
    const Pipe pipe;
    LogWriter writer(pipe.writer());
    for (int line = 0; line < 100; ++line)
        writer.write("line=" + std::to_string(line) + "\n", LogLevel::Info);
    writer.flush(FlushTimeout);
    const auto text = pipe.read();
    EXPECT_EQ(text.substr(0, 14), "line=0\nline=1\n");
    EXPECT_NE(text.find("line=99\n"), std::string::npos);
    EXPECT_EQ(writer.dropped(), 0U);
}

TEST(LogWriter, FullPipeDropsAndCountsLines)
{
    constexpr int Lines = 10'000;
    const Pipe pipe;
    pipe.fill();
    LogWriter writer(pipe.writer(), SmallQueue);
    const auto startedAt = currentTime();
    for (int line = 0; line < Lines; ++line)
        writer.write(std::string(99, 'a') + "\n", LogLevel::Info);
    EXPECT_LT(currentTime() - startedAt, Duration(1'000));
    EXPECT_GT(writer.dropped(), 0U);
    // Once the pipe is read again, the queued lines are written, and the logged count equals the number of missing lines.
    (void)pipe.read();
    writer.flush(FlushTimeout);
    writer.write("event=last\n", LogLevel::Info);
    writer.flush(FlushTimeout);
    const auto text = pipe.read();
    const auto written = std::count(text.begin(), text.end(), 'a') / 99;
    EXPECT_EQ(static_cast<std::uint64_t>(written) + writer.dropped(), std::uint64_t {Lines});
    EXPECT_NE(text.find("event=log_lines_dropped count=" + std::to_string(writer.dropped())), std::string::npos);
}

TEST(LogWriter, FullQueueDropsInfoLinesBeforeWarnings)
{
    const Pipe pipe;
    pipe.fill();
    LogWriter writer(pipe.writer(), {1'000, Duration(60'000)});
    for (int line = 0; line < 50; ++line)
        writer.write(std::string(99, 'a') + "\n", LogLevel::Info);
    for (int line = 0; line < 5; ++line)
        writer.write("event=warning" + std::to_string(line) + "\n", LogLevel::Warning);
    (void)pipe.read();
    writer.flush(FlushTimeout);
    const auto text = pipe.read();
    for (int line = 0; line < 5; ++line)
        EXPECT_NE(text.find("event=warning" + std::to_string(line)), std::string::npos);
}

TEST(LogWriter, ClosedReaderDoesNotStopWriter)
{
    Pipe pipe;
    pipe.closeReader();
    LogWriter writer(pipe.writer(), SmallQueue);
    for (int line = 0; line < 1'000; ++line)
        writer.write("line\n", LogLevel::Info);
    writer.flush(FlushTimeout);
    SUCCEED();
}

} // namespace

} // namespace Papaya
