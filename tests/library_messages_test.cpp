// Messages of libraries while nobody reads standard error.
#define BOOST_TEST_MODULE library_messages
#include "berylspur/core/library_messages.h"
#include "berylspur/core/log.h"
#include "berylspur/peer.pb.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <fcntl.h>
#include <memory>
#include <ostream>
#include <string>
#include <unistd.h>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr unsigned BlockedSeconds = 20; // the alarm then ends the test program

/// Puts a pipe in the place of a standard stream until the end of the scope.
class ReplacedStream
{
public:
    explicit ReplacedStream(int stream) : m_stream(stream), m_original(dup(stream))
    {
        BOOST_REQUIRE(pipe2(m_ends, O_CLOEXEC) == 0);
        dup2(m_ends[1], stream);
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~ReplacedStream()
    {
        dup2(m_original, m_stream);
        for (const int fd : {m_original, m_ends[0], m_ends[1]})
            close(fd);
    }
    ReplacedStream(const ReplacedStream &) = delete;
    ReplacedStream &operator=(const ReplacedStream &) = delete;

    /// Fills the pipe, as one that nobody reads; later writes to the stream block.
    void fill() const
    {
        const int flags = fcntl(m_ends[1], F_GETFL);
        fcntl(m_ends[1], F_SETFL, flags | O_NONBLOCK);
        const std::string bytes(4096, '.');
        while (write(m_ends[1], bytes.data(), bytes.size()) > 0) {
        }
        while (write(m_ends[1], ".", 1) > 0) {
        }
        fcntl(m_ends[1], F_SETFL, flags);
    }
    std::string readAll() const
    {
        std::string text;
        char bytes[4096];
        for (ssize_t n = read(m_ends[0], bytes, sizeof bytes); n > 0;
             n = read(m_ends[0], bytes, sizeof bytes))
            text.append(bytes, static_cast<std::size_t>(n));
        return text;
    }

private:
    int m_stream;
    int m_original;
    int m_ends[2] = {-1, -1};
};

/// Makes protobuf refuse a string that is not UTF-8.
void parseUnreadableString()
{
    schema::EndpointRecord record;
    constexpr char IdField[] = {0x0a, 1, static_cast<char>(0xe9)};
    BOOST_TEST(!record.ParseFromArray(IdField, sizeof IdField));
}

/// Makes libevent refuse to run a loop within itself.
void runLoopWithinItself()
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    const timeval now {0, 0};
    event_base_once(
            base.get(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void *inner) {
                event_base_loop(static_cast<event_base *>(inner), EVLOOP_NONBLOCK);
            },
            base.get(), &now);
    event_base_loop(base.get(), EVLOOP_ONCE);
}

struct LibraryCase
{
    const char *library;
    void (*provoke)();
};

std::ostream &operator<<(std::ostream &out, const LibraryCase &sample)
{
    return out << sample.library;
}

const LibraryCase LibraryCases[] = {
        {"protobuf", parseUnreadableString},
        {"libevent", runLoopWithinItself},
};

} // namespace

// Guards against a node that hangs for good in a library's write to standard error, which nobody
// reads, and against messages that appear nowhere.
BOOST_DATA_TEST_CASE(library_messages_go_to_the_log, data::make(LibraryCases), sample)
{
    log::configure("node", log::Level::Info);
    log::captureLibraryMessages();
    std::string logged;
    {
        const ReplacedStream errors(STDERR_FILENO);
        const ReplacedStream output(STDOUT_FILENO);
        errors.fill();
        alarm(BlockedSeconds);
        sample.provoke();
        alarm(0);
        logged = output.readAll();
    }
    BOOST_TEST(logged.find("library-message") != std::string::npos);
    BOOST_TEST(logged.find(std::string("library=") + sample.library) != std::string::npos);
}
