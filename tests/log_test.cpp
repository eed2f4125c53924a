// Rate limit, memory bound and non-blocking writes of the log.
#define BOOST_TEST_MODULE log
#include "berylspur/core/log_buffer.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace berylspur;
using namespace berylspur::log;

namespace {

/// A pipe whose read end the test controls.
struct Pipe
{
    int ends[2] = {-1, -1};

    Pipe() { BOOST_REQUIRE(pipe2(ends, O_CLOEXEC) == 0); }
    ~Pipe()
    {
        closeReader();
        close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;
    void closeReader()
    {
        if (ends[0] >= 0)
            close(ends[0]);
        ends[0] = -1;
    }
    std::string readAll() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char bytes[4096];
        for (ssize_t n = read(ends[0], bytes, sizeof bytes); n > 0;
             n = read(ends[0], bytes, sizeof bytes))
            text.append(bytes, static_cast<std::size_t>(n));
        return text;
    }
};

std::string lineOf(std::size_t number)
{
    return "line " + std::to_string(number) + std::string(80, '.') + "\n";
}

} // namespace

// Guards against a node that blocks in write() or grows without bound because its log collector
// stopped reading. The descriptor is in blocking mode.
BOOST_AUTO_TEST_CASE(stopped_reader_does_not_block_and_memory_is_bounded)
{
    const Pipe pipe;
    LogBuffer buffer;
    constexpr std::size_t Lines = 100000;
    for (std::size_t i = 0; i < Lines; ++i) {
        buffer.append(lineOf(i), LinePriority::Normal);
        BOOST_REQUIRE(writeAvailable(buffer, pipe.ends[1]));
        BOOST_REQUIRE(buffer.size() <= LogBuffer::MaxBytes);
    }
    BOOST_TEST(buffer.takeDropped() > 0U);
    BOOST_TEST(buffer.takeDropped() == 0U);
}

// Guards against dropping high-priority lines because lines of normal priority fill the buffer.
BOOST_AUTO_TEST_CASE(high_priority_lines_are_kept_when_normal_lines_fill_the_buffer)
{
    const Pipe pipe;
    LogBuffer buffer;
    for (std::size_t i = 0; buffer.takeDropped() == 0; ++i)
        buffer.append(lineOf(i), LinePriority::Normal);
    buffer.append("cause of a failed request\n", LinePriority::High);
    BOOST_TEST(buffer.takeDropped() == 0U);
    std::string seen;
    while (!buffer.isEmpty()) {
        BOOST_REQUIRE(writeAvailable(buffer, pipe.ends[1]));
        seen += pipe.readAll();
    }
    BOOST_TEST(seen.ends_with("cause of a failed request\n"));
}

// Guards against truncated or repeated lines after a partial write.
BOOST_AUTO_TEST_CASE(lines_arrive_complete_and_once_after_the_reader_pauses)
{
    const Pipe pipe;
    LogBuffer buffer;
    constexpr std::size_t Lines = 2000; // more than a pipe holds
    std::string expected;
    for (std::size_t i = 0; i < Lines; ++i) {
        buffer.append(lineOf(i), LinePriority::High);
        expected += lineOf(i);
    }
    std::string seen;
    while (!buffer.isEmpty()) {
        BOOST_REQUIRE(writeAvailable(buffer, pipe.ends[1]));
        seen += pipe.readAll();
    }
    BOOST_TEST((seen == expected));
}

// Guards against blocking forever, or termination by SIGPIPE, when the read end is closed.
BOOST_AUTO_TEST_CASE(closed_reader_clears_the_buffer)
{
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    pipe.closeReader();
    LogBuffer buffer;
    buffer.append("line\n", LinePriority::High);
    BOOST_TEST(!writeAvailable(buffer, pipe.ends[1]));
    BOOST_TEST(buffer.isEmpty());
}

// Guards against a high rate of one kind of line that floods the log, suppresses other kinds or is
// not counted.
BOOST_AUTO_TEST_CASE(lines_above_the_rate_are_suppressed_and_counted)
{
    LineRateLimiter limiter;
    const TimePoint start(std::chrono::seconds(100));
    constexpr int Attempts = 10000;
    int written = 0;
    for (int i = 0; i < Attempts; ++i)
        written += limiter.admit("refuse", start + std::chrono::microseconds(100 * i)) ? 1 : 0;
    // The attempts span one second: the burst and the lines of one second.
    BOOST_TEST(written >= LineRateLimiter::Burst);
    BOOST_TEST(written <= LineRateLimiter::Burst + LineRateLimiter::LinesPerSecond + 1);
    BOOST_TEST(limiter.admit("eject", start + std::chrono::seconds(1)));
    const auto suppressed = limiter.takeSuppressed();
    BOOST_REQUIRE(suppressed.size() == 1U);
    BOOST_TEST(suppressed.front().kind == "refuse");
    BOOST_TEST(suppressed.front().lines == static_cast<std::uint64_t>(Attempts - written));
    BOOST_TEST(limiter.takeSuppressed().empty());
}
