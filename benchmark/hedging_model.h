// Discrete-event simulation of one service with hedged requests, for the benchmark and for a test:
// endpoints with slots and a queue, gates with the product's picker, budgets and decisions. Time is
// injected; there is no failure detection, so that a slow endpoint stays in rotation.
#pragma once

#include "berylspur/core/ids.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/hedging.h"
#include "berylspur/routing/placement.h"
#include "berylspur/routing/retry_budget.h"
#include "berylspur/routing/second_attempt.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <unordered_set>
#include <vector>

namespace berylspur::bench {

enum class SlowKind {
    None,
    FiveTimes, ///< take five times as long
    Stalls, ///< one in ten requests does not end before its deadline
    Cold, ///< start every 30 s and take 5 times as long, falling to 1 within 20 s
};

struct HedgingOptions
{
    std::uint32_t endpoints = 20;
    std::uint32_t slots = 5;
    std::uint32_t queue = 10; ///< per endpoint
    std::uint32_t gates = 8;
    std::uint32_t hedgePercent = 0;
    std::uint32_t retryPercent = 20;
    std::uint32_t maxAttempts = 3;
    SlowKind slow = SlowKind::None;
    std::uint32_t slowEndpoints = 1; ///< the first ones
    double idempotentShare = 0.7;
    double medianMs = 60; ///< of a run, log-normal
    double spread = 0.5;
    /// True: the time of a run is that of the request. False: it is drawn for each run.
    bool isWorkOfRequest = false;
    Duration oneWayDelay = std::chrono::microseconds(1500);
    Duration deadline = std::chrono::seconds(3);
    std::function<double(double second)> load; ///< demand as a share of the capacity
    double maxLoad = 0.5;

    double meanRun() const { return medianMs / 1e3 * std::exp(spread * spread / 2); }
    double capacity() const { return endpoints * slots / meanRun(); }
};

/// Totals of a run over the requests that arrived after the warm-up.
struct HedgingOutcome
{
    std::vector<double> idempotentMs; ///< one that is not answered counts as its deadline
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgesWon = 0;
    std::uint64_t repeats = 0; ///< hedges, and attempts beside silent endpoints
    double slotSeconds = 0;
    /// Requests and hedges by tenth of the load.
    std::vector<std::uint64_t> requestsByLoad = std::vector<std::uint64_t>(20);
    std::vector<std::uint64_t> hedgesByLoad = std::vector<std::uint64_t>(20);
};

class HedgingModel
{
public:
    HedgingModel(HedgingOptions options, std::uint64_t seed)
        : m_options(std::move(options)), m_random(seed), m_endpoints(m_options.endpoints)
    {
        for (std::uint32_t i = 0; i < m_options.endpoints; ++i) {
            EndpointView view;
            view.id = "e" + std::to_string(i);
            view.node = "n" + std::to_string(i);
            view.failureDomain = "d";
            view.slots = m_options.slots;
            m_view.push_back(view);
        }
        m_rotation = rotation(m_view, {});
        for (std::uint32_t i = 0; i < m_options.gates; ++i) {
            m_gates.emplace_back(m_options.retryPercent);
            m_gates.back().hedging.setPercent(m_options.hedgePercent);
            m_gates.back().hedging.setBurst(HedgeBudget::Burst / m_options.gates);
        }
    }

    HedgingOutcome run(Duration warmUp, Duration length)
    {
        m_warmUpEnds = TimePoint {} + warmUp;
        const TimePoint end = m_warmUpEnds + length;
        schedule(nextArrival({}), Kind::Arrival, 0);
        while (!m_events.empty() && m_events.top().time < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            handle(event);
        }
        return std::move(m_outcome);
    }

private:
    enum class Kind { Arrival, AtOwner, RunEnd, Reply, Refused, SecondDue, Cancel, Deadline };
    enum class State { Sent, Queued, Running, Ended };
    struct Event
    {
        TimePoint time;
        std::uint64_t order; ///< creation order; makes runs deterministic
        Kind kind;
        std::size_t index; ///< of the attempt, or of the request for SecondDue and Deadline
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Attempt
    {
        std::size_t request = 0;
        std::uint32_t endpoint = 0;
        TimePoint sentAt;
        TimePoint started;
        State state = State::Sent;
        bool isHedge = false;
        bool isCounted = true; ///< by the picker of the gate
    };
    struct Request
    {
        std::uint32_t gate = 0;
        TimePoint arrived;
        double work = 0;
        bool isIdempotent = false;
        bool isEnded = false;
        bool isHedgeDue = false;
        std::uint32_t refusals = 0;
        std::uint32_t repeats = 0;
        std::vector<std::size_t> attempts; ///< open ones; the first attempt first
        std::unordered_set<std::string> tried;
    };
    struct Endpoint
    {
        std::uint32_t running = 0;
        std::deque<std::size_t> queue;
    };
    struct Gate
    {
        explicit Gate(std::uint32_t retryPercent) : picker("d"), retries(retryPercent) { }
        EndpointPicker picker;
        RetryBudget retries;
        ServiceHedging hedging;
    };

    static HedgeRoute route() { return {RequestClass::Short, "r"}; }

    void schedule(TimePoint time, Kind kind, std::size_t index)
    {
        m_events.push({time, m_order++, kind, index});
    }
    double loadAt(TimePoint time) const
    {
        const std::chrono::duration<double> second = time.time_since_epoch();
        return m_options.load ? m_options.load(second.count()) : m_options.maxLoad;
    }
    /// Next arrival of a Poisson process of varying rate, by thinning.
    TimePoint nextArrival(TimePoint from)
    {
        std::exponential_distribution<double> gap(m_options.maxLoad * m_options.capacity());
        std::uniform_real_distribution<double> draw(0, m_options.maxLoad);
        do {
            from += std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(m_random)));
        } while (draw(m_random) > loadAt(from));
        return from;
    }
    double drawWork()
    {
        std::lognormal_distribution<double> time(std::log(m_options.medianMs / 1e3),
                                                 m_options.spread);
        return time(m_random);
    }
    bool isMeasured(const Request &request) const { return request.arrived >= m_warmUpEnds; }
    std::size_t loadBin(TimePoint time) const
    {
        return std::min<std::size_t>(static_cast<std::size_t>(10 * loadAt(time)), 19);
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            arrive();
            return;
        case Kind::AtOwner:
            reachOwner(event.index);
            return;
        case Kind::RunEnd:
            endRun(event.index);
            return;
        case Kind::Reply:
            reply(event.index);
            return;
        case Kind::Refused:
            refused(event.index);
            return;
        case Kind::SecondDue:
            secondDue(event.index);
            return;
        case Kind::Cancel:
            stopAttempt(event.index);
            return;
        case Kind::Deadline:
            if (!m_requests[event.index].isEnded)
                end(event.index, false);
            return;
        }
    }

    void arrive()
    {
        schedule(nextArrival(m_now), Kind::Arrival, 0);
        Request request;
        request.gate = static_cast<std::uint32_t>(m_random() % m_options.gates);
        request.arrived = m_now;
        request.work = drawWork();
        request.isIdempotent = std::bernoulli_distribution(m_options.idempotentShare)(m_random);
        m_requests.push_back(request);
        Gate &gate = m_gates[request.gate];
        gate.retries.recordRequest();
        gate.hedging.recordRequest();
        if (isMeasured(request)) {
            ++m_outcome.requests;
            ++m_outcome.requestsByLoad[loadBin(m_now)];
        }
        schedule(m_now + m_options.deadline, Kind::Deadline, m_requests.size() - 1);
        place(m_requests.size() - 1);
    }

    void place(std::size_t index)
    {
        Request &request = m_requests[index];
        const auto picked = placeRequest({.isIdempotent = request.isIdempotent,
                                          .isFirstPlacement = false,
                                          .wasRefusedForOverload = false,
                                          .triedEndpoints = request.tried},
                                         m_view, m_rotation, m_gates[request.gate].picker, m_paths,
                                         m_now, m_random);
        if (!picked) {
            if (request.attempts.empty())
                end(index, false);
            return;
        }
        send(index, static_cast<std::uint32_t>(*picked), false);
        if (request.isIdempotent && request.attempts.size() == 1)
            planSecond(index,
                       m_gates[request.gate].hedging.delay(route(), remaining(request), m_now));
    }

    void send(std::size_t index, std::uint32_t endpoint, bool isHedge)
    {
        Request &request = m_requests[index];
        m_gates[request.gate].picker.onRequestSent(m_view[endpoint].id);
        request.tried.insert(m_view[endpoint].id);
        request.attempts.push_back(m_attempts.size());
        m_attempts.push_back({index, endpoint, m_now, {}, State::Sent, isHedge, true});
        schedule(m_now + m_options.oneWayDelay, Kind::AtOwner, m_attempts.size() - 1);
    }

    /// As GateRequest::planSecondAttempt(): \a hedge is the time until the next hedge is due.
    void planSecond(std::size_t index, std::optional<Duration> hedge)
    {
        Request &request = m_requests[index];
        const auto silence = silenceDelay(request);
        const auto sentAt = m_attempts[request.attempts.front()].sentAt;
        request.isHedgeDue = hedge && (!silence || m_now + *hedge < sentAt + *silence);
        if (request.isHedgeDue)
            schedule(m_now + *hedge, Kind::SecondDue, index);
        else if (silence)
            schedule(std::max(m_now, sentAt + *silence), Kind::SecondDue, index);
    }
    std::optional<Duration> silenceDelay(const Request &request) const
    {
        const Duration usual(static_cast<Duration::rep>(1e3 * m_options.medianMs));
        const auto &first = m_attempts[request.attempts.front()];
        const auto wait =
                m_gates[request.gate].picker.expectedWait(m_view[first.endpoint], first.sentAt);
        return secondAttemptDelay(
                {usual, wait, request.arrived + m_options.deadline - first.sentAt});
    }
    Duration remaining(const Request &request) const
    {
        return request.arrived + m_options.deadline - m_now;
    }

    void secondDue(std::size_t index)
    {
        Request &request = m_requests[index];
        if (request.isEnded || request.attempts.size() != 1)
            return;
        Gate &gate = m_gates[request.gate];
        if (request.isHedgeDue) {
            const auto verdict = hedge(index);
            if (verdict != HedgeVerdict::Send)
                planSecond(index, std::nullopt);
            return;
        }
        if (request.repeats + 1 >= m_options.maxAttempts || !gate.retries.tryRetry())
            return;
        gate.picker.onRequestFailed(m_view[m_attempts[request.attempts[0]].endpoint].id, m_now);
        countRepeat(request);
        place(index);
    }
    HedgeVerdict hedge(std::size_t index)
    {
        Request &request = m_requests[index];
        Gate &gate = m_gates[request.gate];
        const auto second = placeHedge(request.tried, m_view, m_rotation, gate.picker, m_paths,
                                       m_now, m_random);
        const HedgeSituation situation {
                .isIdempotent = request.isIdempotent,
                .hasAttemptLeft = request.repeats + 1 < m_options.maxAttempts,
                .hasRetryBudget = gate.retries.canRetry(),
                .hasSecondEndpoint = second.has_value(),
                .remaining = remaining(request),
        };
        const auto verdict = gate.hedging.verdict(route(), situation, m_now);
        if (verdict != HedgeVerdict::Send)
            return verdict;
        gate.hedging.recordHedge();
        gate.retries.tryRetry();
        countRepeat(request);
        if (isMeasured(request)) {
            ++m_outcome.hedges;
            ++m_outcome.hedgesByLoad[loadBin(m_now)];
        }
        send(index, static_cast<std::uint32_t>(*second), true);
        return verdict;
    }
    void countRepeat(Request &request)
    {
        ++request.repeats;
        m_outcome.repeats += isMeasured(request) ? 1 : 0;
    }

    void reachOwner(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        Endpoint &endpoint = m_endpoints[attempt.endpoint];
        if (attempt.state == State::Ended)
            return;
        if (endpoint.running >= m_options.slots && endpoint.queue.size() >= m_options.queue) {
            attempt.state = State::Ended;
            schedule(m_now + m_options.oneWayDelay, Kind::Refused, index);
            return;
        }
        attempt.state = State::Queued;
        endpoint.queue.push_back(index);
        startQueued(attempt.endpoint);
    }
    void startQueued(std::uint32_t number)
    {
        Endpoint &endpoint = m_endpoints[number];
        while (endpoint.running < m_options.slots && !endpoint.queue.empty()) {
            const auto index = endpoint.queue.front();
            endpoint.queue.pop_front();
            startRun(index);
        }
    }
    void startRun(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        ++m_endpoints[attempt.endpoint].running;
        attempt.state = State::Running;
        attempt.started = m_now;
        const double work =
                m_options.isWorkOfRequest ? m_requests[attempt.request].work : drawWork();
        if (const auto time = runTime(attempt.endpoint, work))
            schedule(m_now + std::max<Duration>(*time, Duration(1)), Kind::RunEnd, index);
    }
    /// Nothing: the run stalls.
    std::optional<Duration> runTime(std::uint32_t endpoint, double seconds)
    {
        constexpr double SlowFactor = 5;
        constexpr double ColdPeriod = 30;
        constexpr double ColdTime = 20;
        const bool isSlow = endpoint < m_options.slowEndpoints;
        if (isSlow && m_options.slow == SlowKind::Stalls
            && std::bernoulli_distribution(0.1)(m_random))
            return std::nullopt;
        if (isSlow && m_options.slow == SlowKind::FiveTimes)
            seconds *= SlowFactor;
        if (isSlow && m_options.slow == SlowKind::Cold) {
            const std::chrono::duration<double> now = m_now.time_since_epoch();
            const double age = std::fmod(now.count(), ColdPeriod);
            seconds *= 1 + (SlowFactor - 1) * std::max(0.0, 1 - age / ColdTime);
        }
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    void endRun(std::size_t index)
    {
        if (m_attempts[index].state != State::Running)
            return;
        stopAttempt(index);
        schedule(m_now + m_options.oneWayDelay, Kind::Reply, index);
    }
    /// Ends the attempt at its owner, wherever it is.
    void stopAttempt(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        Endpoint &endpoint = m_endpoints[attempt.endpoint];
        const auto state = std::exchange(attempt.state, State::Ended);
        if (state == State::Queued)
            std::erase(endpoint.queue, index);
        if (state != State::Running)
            return;
        --endpoint.running;
        if (isMeasured(m_requests[attempt.request]))
            m_outcome.slotSeconds += std::chrono::duration<double>(m_now - attempt.started).count();
        startQueued(attempt.endpoint);
    }

    void reportLoad(const Attempt &attempt)
    {
        const Endpoint &endpoint = m_endpoints[attempt.endpoint];
        const Duration mean(static_cast<Duration::rep>(1e6 * m_options.meanRun()));
        Gate &gate = m_gates[m_requests[attempt.request].gate];
        const std::uint32_t free = m_options.slots - endpoint.running;
        gate.picker.onLoadReported(
                m_view[attempt.endpoint].id,
                {m_options.slots, free, static_cast<std::uint32_t>(endpoint.queue.size()), mean},
                m_now);
        gate.hedging.recordLoad(m_options.slots, free, m_now);
    }
    void endAtGate(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        Request &request = m_requests[attempt.request];
        if (std::exchange(attempt.isCounted, false))
            m_gates[request.gate].picker.onRequestEnded(m_view[attempt.endpoint].id);
        std::erase(request.attempts, index);
    }
    void reply(std::size_t index)
    {
        const Attempt attempt = m_attempts[index];
        reportLoad(attempt);
        Request &request = m_requests[attempt.request];
        if (request.isEnded)
            return;
        auto &hedging = m_gates[request.gate].hedging;
        hedging.recordLatency(route(), m_now - attempt.sentAt, m_now);
        if (request.attempts.front() != index)
            outrun(request, attempt.isHedge);
        m_outcome.hedgesWon += attempt.isHedge && isMeasured(request) ? 1 : 0;
        end(attempt.request, true);
    }
    /// As GateRequest::onAnswerChosen(): the second attempt responded before the first one.
    void outrun(const Request &request, bool byHedge)
    {
        Gate &gate = m_gates[request.gate];
        const auto &first = m_attempts[request.attempts.front()];
        const auto age = m_now - first.sentAt;
        gate.hedging.recordLatency(route(), age, m_now);
        const auto silence = silenceDelay(request);
        if (byHedge && silence && age >= *silence)
            gate.picker.onRequestFailed(m_view[first.endpoint].id, m_now);
    }
    void refused(std::size_t index)
    {
        constexpr std::uint32_t MaxRefusals = 4;
        const Attempt attempt = m_attempts[index];
        reportLoad(attempt);
        Request &request = m_requests[attempt.request];
        if (request.isEnded)
            return;
        endAtGate(index);
        if (!request.attempts.empty())
            return;
        if (++request.refusals >= MaxRefusals)
            end(attempt.request, false);
        else
            place(attempt.request);
    }
    void end(std::size_t index, bool isAnswered)
    {
        Request &request = m_requests[index];
        request.isEnded = true;
        const auto open = request.attempts;
        for (const auto attempt : open) {
            endAtGate(attempt);
            schedule(m_now + m_options.oneWayDelay, Kind::Cancel, attempt);
        }
        if (!isMeasured(request))
            return;
        m_outcome.failed += isAnswered ? 0 : 1;
        const auto latency = isAnswered ? m_now - request.arrived : m_options.deadline;
        if (request.isIdempotent)
            m_outcome.idempotentMs.push_back(
                    std::chrono::duration<double, std::milli>(latency).count());
    }

    HedgingOptions m_options;
    Random m_random;
    TimePoint m_now {};
    TimePoint m_warmUpEnds {};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Endpoint> m_endpoints;
    std::vector<EndpointView> m_view;
    Rotation m_rotation;
    PathHealth m_paths;
    std::vector<Gate> m_gates;
    std::vector<Attempt> m_attempts;
    std::vector<Request> m_requests;
    HedgingOutcome m_outcome;
};

} // namespace berylspur::bench
