// Open-loop load generator: sends each request at its scheduled time, regardless of outstanding
// requests, and measures latency from that time.
#include "berylspur/core/address.h"
#include "berylspur/core/ids.h"
#include "berylspur/load/report.h"
#include "berylspur/load/schedule.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace berylspur;
using namespace berylspur::load;
using nlohmann::json;

namespace {

struct LoadOptions
{
    std::vector<std::string> targets;
    std::string rate = "50:10";
    std::vector<std::string> shortPaths;
    std::vector<std::string> longPaths;
    std::vector<std::string> postPaths;
    std::string host = "localhost";
    std::string customerHeader = "X-Customer";
    std::string scheduleFile;
    std::string writeScheduleFile;
    std::string outcomeFile;
    std::string output = "text";
    int timeoutMs = 30000;
    double maxSeconds = 300;
    ScheduleOptions schedule;
};

class Runner;

/// A gate and its idle connections.
struct Target
{
    Address address;
    std::vector<evhttp_connection *> idle;
};

/// A request in flight.
struct Exchange
{
    Runner *runner = nullptr;
    std::size_t number = 0;
    Arrival arrival;
    Target *target = nullptr;
    evhttp_connection *connection = nullptr;
    std::string path;
    std::string key;
    std::string token;
    bool headersReceived = false;
    bool failed = false;
    TimePoint scheduledTime;
};

class Runner
{
public:
    Runner(LoadOptions options, std::vector<Arrival> schedule)
        : m_options(std::move(options)), m_schedule(std::move(schedule)), m_base(event_base_new()),
          m_random(m_options.schedule.seed), m_runId(std::to_string(m_options.schedule.seed) + "-"
                                                     + std::to_string(wallClockMs() % 100000000))
    {
        for (const std::string &text : m_options.targets)
            m_targets.push_back({Address::parse(text).value(), {}});
        if (!m_options.outcomeFile.empty())
            m_outcomeLog.open(m_options.outcomeFile);
    }
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;
    ~Runner()
    {
        event_free(m_sendTimer);
        event_free(m_progressTimer);
        for (Target &target : m_targets) {
            for (evhttp_connection *connection : target.idle)
                evhttp_connection_free(connection);
        }
        event_base_free(m_base);
    }

    void run()
    {
        m_start = BootClock::now();
        m_sendTimer = event_new(m_base, -1, 0, &Runner::onSendTimer, this);
        m_progressTimer = event_new(m_base, -1, EV_PERSIST, &Runner::onProgress, this);
        const timeval second {1, 0};
        event_add(m_progressTimer, &second);
        const auto limitMs = static_cast<long>(m_options.maxSeconds * 1000);
        const timeval limit {limitMs / 1000, limitMs % 1000 * 1000};
        event_base_loopexit(m_base, &limit);
        sendDue();
        event_base_dispatch(m_base);
        // Requests without a response at the time limit.
        for (const auto &[raw, exchange] : m_inFlight)
            record(*exchange, Outcome::ConnectionLost, 0, {}, {});
    }

    const Report &report() const { return m_report; }

private:
    static void onSendTimer(evutil_socket_t, short, void *self)
    {
        static_cast<Runner *>(self)->sendDue();
    }

    void sendDue()
    {
        const TimePoint now = BootClock::now();
        while (m_nextArrival < m_schedule.size()
               && m_start + m_schedule[m_nextArrival].offset <= now)
            send(m_nextArrival++);
        if (m_nextArrival >= m_schedule.size())
            return stopIfDone();
        const auto wait = std::max<std::int64_t>(
                (m_start + m_schedule[m_nextArrival].offset - BootClock::now()).count(), 0);
        const timeval delay {wait / 1000000, wait % 1000000};
        event_add(m_sendTimer, &delay);
    }

    void stopIfDone()
    {
        if (m_nextArrival >= m_schedule.size() && m_inFlight.empty())
            event_base_loopbreak(m_base);
    }

    const std::string &pathFor(const Arrival &arrival)
    {
        const auto &paths = arrival.isLong         ? m_options.longPaths
                            : arrival.isIdempotent ? m_options.shortPaths
                                                   : m_options.postPaths;
        return paths[std::uniform_int_distribution<std::size_t>(0, paths.size() - 1)(m_random)];
    }

    void send(std::size_t number)
    {
        auto exchange = std::make_unique<Exchange>();
        exchange->runner = this;
        exchange->number = number;
        exchange->arrival = m_schedule[number];
        exchange->scheduledTime = m_start + exchange->arrival.offset;
        exchange->target = &m_targets[number % m_targets.size()];
        // The trailing letter ensures that no token is a prefix of another.
        exchange->token = m_runId + "-" + std::to_string(number) + "z";
        exchange->path = pathFor(exchange->arrival);
        if (!exchange->arrival.isIdempotent)
            exchange->key = "load-" + exchange->token;
        Target &target = *exchange->target;
        if (target.idle.empty()) {
            exchange->connection = evhttp_connection_base_new(
                    m_base, nullptr, target.address.ip.c_str(), target.address.port);
            const timeval timeout {m_options.timeoutMs / 1000,
                                   suseconds_t {m_options.timeoutMs % 1000} * 1000};
            evhttp_connection_set_timeout_tv(exchange->connection, &timeout);
        } else {
            exchange->connection = target.idle.back();
            target.idle.pop_back();
        }
        Exchange *raw = exchange.get();
        m_inFlight.emplace(raw, std::move(exchange));
        request(*raw);
    }

    void request(Exchange &exchange)
    {
        evhttp_request *request = evhttp_request_new(&Runner::onDone, &exchange);
        evhttp_request_set_header_cb(request, &Runner::onHeaders);
        evhttp_request_set_error_cb(request, &Runner::onError);
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        // A path may include the host: "host/path".
        const auto slash = exchange.path.find('/');
        const std::string host = slash == 0 ? m_options.host : exchange.path.substr(0, slash);
        const std::string path = exchange.path.substr(slash);
        evhttp_add_header(headers, "Host", host.c_str());
        evhttp_add_header(headers, m_options.customerHeader.c_str(),
                          ("customer-" + std::to_string(exchange.arrival.customer)).c_str());
        if (!exchange.key.empty())
            evhttp_add_header(headers, "Idempotency-Key", exchange.key.c_str());
        const char *separator = path.find('?') == std::string::npos ? "?" : "&";
        const std::string target = path + separator + "token=" + exchange.token;
        const auto method = exchange.arrival.isIdempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
        evhttp_make_request(exchange.connection, request, method, target.c_str());
    }

    static int onHeaders(evhttp_request *, void *context)
    {
        static_cast<Exchange *>(context)->headersReceived = true;
        return 0;
    }

    static void onError(evhttp_request_error, void *context)
    {
        static_cast<Exchange *>(context)->failed = true;
    }

    static void onDone(evhttp_request *request, void *context)
    {
        auto *exchange = static_cast<Exchange *>(context);
        exchange->runner->finish(*exchange, request);
    }

    static std::string header(evhttp_request *request, const char *name)
    {
        const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
        return value ? value : "";
    }

    void finish(Exchange &exchange, evhttp_request *request)
    {
        if (!request || exchange.failed || evhttp_request_get_response_code(request) == 0) {
            record(exchange,
                   exchange.headersReceived ? Outcome::Truncated : Outcome::ConnectionLost, 0, {},
                   {});
            // evhttp does not free the connection here, but still uses it: free it from the loop.
            const timeval now {0, 0};
            event_base_once(m_base, -1, EV_TIMEOUT, &Runner::onFreeConnection, exchange.connection,
                            &now);
        } else {
            const int status = evhttp_request_get_response_code(request);
            evbuffer *input = evhttp_request_get_input_buffer(request);
            std::string body(evbuffer_get_length(input), '\0');
            evbuffer_copyout(input, body.data(), body.size());
            const bool matches = body.find(exchange.token) != std::string::npos;
            record(exchange,
                   classifyResponse(status, header(request, "Berylspur-Outcome"), matches), status,
                   header(request, "Berylspur-Request-Id"), header(request, "Berylspur-Result"));
            exchange.target->idle.push_back(exchange.connection);
        }
        m_inFlight.erase(&exchange);
        stopIfDone();
    }

    static void onFreeConnection(evutil_socket_t, short, void *connection)
    {
        evhttp_connection_free(static_cast<evhttp_connection *>(connection));
    }

    void record(const Exchange &exchange, Outcome outcome, int status, const std::string &id,
                const std::string &result)
    {
        const bool isLong = exchange.arrival.isLong;
        m_report.add(isLong, outcome, BootClock::now() - exchange.scheduledTime);
        if (!m_outcomeLog.is_open())
            return;
        m_outcomeLog << json({{"number", exchange.number},
                              {"id", id},
                              {"key", exchange.key},
                              {"token", exchange.token},
                              {"class", isLong ? "long" : "short"},
                              {"idempotent", exchange.arrival.isIdempotent},
                              {"outcome", outcomeName(outcome)},
                              {"status", status},
                              {"result", result},
                              {"path", exchange.path},
                              {"gate", exchange.target->address.toString()}})
                                .dump()
                     << "\n";
    }

    static void onProgress(evutil_socket_t, short, void *context)
    {
        const auto *self = static_cast<Runner *>(context);
        if (!isatty(STDERR_FILENO))
            return;
        std::cerr << "\rsent " << self->m_nextArrival << "/" << self->m_schedule.size()
                  << ", in flight " << self->m_inFlight.size() << ", answered "
                  << self->m_report.count(Outcome::Answered) << "   ";
        if (self->m_nextArrival >= self->m_schedule.size())
            std::cerr << "\n";
    }

    LoadOptions m_options;
    std::vector<Arrival> m_schedule;
    event_base *m_base;
    Random m_random;
    std::string m_runId; ///< makes tokens and keys unique across runs
    std::vector<Target> m_targets;
    std::unordered_map<Exchange *, std::unique_ptr<Exchange>> m_inFlight;
    std::ofstream m_outcomeLog;
    Report m_report;
    TimePoint m_start;
    std::size_t m_nextArrival = 0;
    event *m_sendTimer = nullptr;
    event *m_progressTimer = nullptr;
};

int usageError(const std::string &text)
{
    std::cerr << describe({ErrorCode::CommandUsage, text}) << "\n";
    return 2;
}

int runLoad(LoadOptions options)
{
    for (const std::string &target : options.targets) {
        const auto address = Address::parse(target);
        if (!address)
            return usageError("expected IP:port as the target, not " + target);
        if (!address.value().isLoopback())
            return usageError("targets must be loopback addresses: " + target);
    }
    for (const auto *paths : {&options.shortPaths, &options.longPaths, &options.postPaths}) {
        for (const std::string &path : *paths) {
            if (path.find('/') == std::string::npos)
                return usageError("expected /PATH or HOST/PATH, not " + path);
        }
    }
    if (options.longPaths.empty())
        options.longPaths = options.shortPaths;
    if (options.postPaths.empty())
        options.postPaths = options.shortPaths;
    std::vector<Arrival> schedule;
    if (!options.scheduleFile.empty()) {
        auto read = readSchedule(options.scheduleFile);
        if (!read)
            return usageError(read.error().detail);
        schedule = std::move(read).value();
    } else {
        const auto phases = parsePhases(options.rate);
        if (!phases)
            return usageError(phases.error().detail);
        options.schedule.phases = phases.value();
        schedule = makeSchedule(options.schedule);
    }
    if (!options.writeScheduleFile.empty()) {
        const auto written = writeSchedule(options.writeScheduleFile, schedule);
        if (!written)
            return usageError(written.error().detail);
    }
    Runner runner(options, std::move(schedule));
    runner.run();
    if (options.output == "json")
        std::cout << runner.report().toJson().dump(2) << "\n";
    else
        std::cout << "seed " << options.schedule.seed << "\n" << runner.report().toText();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    LoadOptions options;
    CLI::App app("Open-loop load generator for berylspur");
    app.add_option("--target", options.targets, "Caller address of a gate; may be repeated")
            ->required();
    app.add_option("--rate", options.rate,
                   "Comma-separated phases RATE:SECONDS or FROM-TO:SECONDS (requests/s)");
    app.add_option("--short-path", options.shortPaths,
                   "/PATH or HOST/PATH of short requests; may be repeated")
            ->required();
    app.add_option("--long-path", options.longPaths, "Path of long requests; may be repeated");
    app.add_option("--post-path", options.postPaths,
                   "Path of non-idempotent requests; may be repeated");
    app.add_option("--long-share", options.schedule.longShare, "Share of long requests")
            ->check(CLI::Range(0.0, 1.0));
    app.add_option("--non-idempotent-share", options.schedule.nonIdempotentShare,
                   "Share of non-idempotent requests among the short ones")
            ->check(CLI::Range(0.0, 1.0));
    app.add_option("--customers", options.schedule.customers, "Number of customers")
            ->check(CLI::Range(1, 1000000));
    app.add_option("--customer-header", options.customerHeader, "Header that carries the customer");
    app.add_option("--host", options.host, "Host header");
    app.add_option("--max-requests", options.schedule.maxRequests,
                   "Maximum number of scheduled requests")
            ->check(CLI::Range(1, 10000000));
    app.add_option("--max-seconds", options.maxSeconds, "Maximum length of the run")
            ->check(CLI::Range(0.1, 3600.0));
    app.add_option("--timeout-ms", options.timeoutMs, "Response timeout");
    app.add_option("--seed", options.schedule.seed, "Seed of the schedule");
    app.add_option("--schedule", options.scheduleFile, "Replay the schedule in this file");
    app.add_option("--write-schedule", options.writeScheduleFile,
                   "Write the schedule to this file");
    app.add_option("--ids", options.outcomeFile,
                   "Write one JSON line per request, with its outcome, to this file");
    app.add_option("--output", options.output, "text or json")
            ->check(CLI::IsMember({"text", "json"}));
    CLI11_PARSE(app, argc, argv);
    return runLoad(std::move(options));
}
