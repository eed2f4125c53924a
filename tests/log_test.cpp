// Bounds of the log: in rate, in memory, and against a reader that stops.
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

/// A pipe whose reader the test controls.
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

// Guards against a node that hangs in write() because the collector of its log stopped: a
// descriptor that blocks is written without waiting, and memory stays bounded.
BOOST_AUTO_TEST_CASE(a_stopped_reader_blocks_nothing_and_costs_bounded_memory)
{
    const Pipe pipe;
    LogBuffer buffer;
    constexpr std::size_t Lines = 100000;
    for (std::size_t i = 0; i < Lines; ++i) {
        buffer.append(lineOf(i), Importance::Routine);
        BOOST_REQUIRE(writeAvailable(buffer, pipe.ends[1]));
        BOOST_REQUIRE(buffer.size() <= LogBuffer::MaxBytes);
    }
    BOOST_TEST(buffer.takeDropped() > 0U);
    BOOST_TEST(buffer.takeDropped() == 0U);
}

// Guards against causes that are lost behind routine lines.
BOOST_AUTO_TEST_CASE(causes_are_kept_when_routine_lines_fill_the_buffer)
{
    const Pipe pipe;
    LogBuffer buffer;
    for (std::size_t i = 0; buffer.takeDropped() == 0; ++i)
        buffer.append(lineOf(i), Importance::Routine);
    buffer.append("cause of a failed request\n", Importance::Cause);
    BOOST_TEST(buffer.takeDropped() == 0U);
    std::string seen;
    while (!buffer.isEmpty()) {
        BOOST_REQUIRE(writeAvailable(buffer, pipe.ends[1]));
        seen += pipe.readAll();
    }
    BOOST_TEST(seen.ends_with("cause of a failed request\n"));
}

// Guards against lines that are cut or repeated when only a part of the buffer could be written.
BOOST_AUTO_TEST_CASE(lines_arrive_whole_and_once_after_a_pause_of_the_reader)
{
    const Pipe pipe;
    LogBuffer buffer;
    constexpr std::size_t Lines = 2000; // more than a pipe holds
    std::string expected;
    for (std::size_t i = 0; i < Lines; ++i) {
        buffer.append(lineOf(i), Importance::Cause);
        expected += lineOf(i);
    }
    std::string seen;
    while (!buffer.isEmpty()) {
        BOOST_REQUIRE(writeAvailable(buffer, pipe.ends[1]));
        seen += pipe.readAll();
    }
    BOOST_TEST((seen == expected));
}

// Guards against an endless wait, or an end of the process, when the reader is gone.
BOOST_AUTO_TEST_CASE(a_reader_that_is_gone_empties_the_buffer)
{
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    pipe.closeReader();
    LogBuffer buffer;
    buffer.append("line\n", Importance::Cause);
    BOOST_TEST(!writeAvailable(buffer, pipe.ends[1]));
    BOOST_TEST(buffer.isEmpty());
}

// A storm of one kind of line is sampled with a count, and takes no room from other kinds.
BOOST_AUTO_TEST_CASE(a_kind_above_its_rate_is_left_out_and_counted)
{
    LineLimiter limiter;
    const TimePoint start(std::chrono::seconds(100));
    constexpr int Storm = 10000;
    int written = 0;
    for (int i = 0; i < Storm; ++i)
        written += limiter.admit("refuse", start + std::chrono::microseconds(100 * i)) ? 1 : 0;
    // One second of the storm: the burst and a second's lines.
    BOOST_TEST(written >= LineLimiter::Burst);
    BOOST_TEST(written <= LineLimiter::Burst + LineLimiter::LinesPerSecond + 1);
    BOOST_TEST(limiter.admit("eject", start + std::chrono::seconds(1)));
    const auto leftOut = limiter.takeLeftOut();
    BOOST_REQUIRE(leftOut.size() == 1U);
    BOOST_TEST(leftOut.front().kind == "refuse");
    BOOST_TEST(leftOut.front().lines == static_cast<std::uint64_t>(Storm - written));
    BOOST_TEST(limiter.takeLeftOut().empty());
}
