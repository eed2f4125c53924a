// Discrete-event simulation of one service for the benchmarks: endpoints with slots, schedulers and
// detectors, gates with pickers and retry budgets, and a constant delay between them. It uses the
// product's classes on injected time, without network or nodes.
#pragma once

#include "berylspur/admission/slot_scheduler.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/owner/gray_detector.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/retry_budget.h"
#include "berylspur/routing/rotation.h"
#include "berylspur/routing/service_time_samples.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

namespace berylspur::bench {

using namespace std::chrono_literals;

constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Quantile \a share (0 to 1) of \a values; 0 if there are none.
inline double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto last = static_cast<double>(values.size() - 1);
    const auto position =
            values.begin() + static_cast<std::ptrdiff_t>(std::llround(std::ceil(share * last)));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

/// Calls \a run(seed) for each seed below \a seeds on a few threads. Results are ordered by seed.
template <typename Run>
auto runSeeds(std::uint32_t seeds, const Run &run)
{
    constexpr std::uint32_t Threads = 4;
    std::vector<decltype(run(std::uint64_t {}))> results(seeds);
    std::atomic<std::uint32_t> next = 0;
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < Threads; ++i) {
        threads.emplace_back([&] {
            for (std::uint32_t seed = next++; seed < seeds; seed = next++)
                results[seed] = run(std::uint64_t {seed});
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

/// Effect of an injected fault on one request.
struct FaultEffect
{
    double factor = 1; ///< multiplies the service time
    bool isLost = false; ///< no response before the deadline
    RequestOutcome outcome = RequestOutcome::Answered;
};

/// Rule by which gates choose an endpoint.
enum class PickRule {
    Uniform, ///< uniform over the endpoints in rotation, or by ModelOptions::weights
    OwnerLoad, ///< EndpointPicker in its default mode
    TwoRandom, ///< EndpointPicker in its baseline mode, two random choices
    AvailablePower, ///< two random choices, compared by speed divided by queue length
};

struct ModelOptions
{
    std::uint32_t endpoints = 8;
    std::uint32_t slots = 4;
    std::uint32_t gates = 4;
    SchedulerPolicy policy;
    DetectionMode detection = DetectionMode::Gray;
    bool sendsMedian = false; ///< dispatches carry the gate's median, not its last sample
    bool detectionEnabled = true; ///< false: detectors have no effect
    PickRule pick = PickRule::Uniform;
    Duration oneWayDelay = 0ms; ///< between gate and owner
    Duration deadline = 2s; ///< of short requests
    Duration longDeadline = 60s;
    double medianMs = 20; ///< of short service times, log-normal
    double spread = 0.8;
    double longMedianMs = 800;
    double longSpread = 0.3;
    double longRequestShare = 0; ///< of requests
    double concurrencySlowdown = 0.5; ///< share added to the service time with all slots busy
    std::vector<double> speeds; ///< per endpoint; empty: all 1
    std::vector<double> weights; ///< per endpoint, for Uniform; empty: all equal
    std::vector<double> customers {1}; ///< share of the demand by customer, as weights
    std::uint32_t retryPercent = 10;
    std::uint32_t floorPercent = 50;
    bool probesFail = false; ///< probes of endpoint 0 fail while faultLasts() is true
    std::function<double(double second)> demand; ///< requests/s
    double maxDemand = 0; ///< upper bound of demand, in requests/s
    std::function<FaultEffect(std::uint32_t endpoint, TimePoint now, Random &random)> faultEffect;
    std::function<bool(TimePoint now)> faultLasts = [](TimePoint) { return false; };

    /// Mean of short service times in seconds, without concurrencySlowdown.
    double meanServiceTime() const { return medianMs / 1e3 * std::exp(spread * spread / 2); }
    double meanLongService() const
    {
        return longMedianMs / 1e3 * std::exp(longSpread * longSpread / 2);
    }
};

/// Median of the latest service times that one gate observed over all endpoints. Baseline for the
/// detector if ModelOptions::sendsMedian is set.
class GateMedian
{
public:
    void add(Duration duration)
    {
        m_samples[m_count++ % Size] = duration;
        if (m_count < MinSamples || m_count % RecomputeEvery != 0)
            return;
        auto sorted = m_samples;
        const std::size_t used = std::min(m_count, Size);
        const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(used / 2);
        std::nth_element(sorted.begin(), middle,
                         sorted.begin() + static_cast<std::ptrdiff_t>(used));
        m_median = *middle;
    }
    Duration median() const { return m_median; }

private:
    static constexpr std::size_t Size = 32;
    static constexpr std::size_t MinSamples = 8;
    static constexpr std::size_t RecomputeEvery = 4;
    std::array<Duration, Size> m_samples {};
    std::size_t m_count = 0;
    Duration m_median {};
};

/// Final result of a request.
enum class RequestResult { Served, Late, Failed, Refused };

/// A request, from its arrival to its final result.
struct ModelRequest
{
    RequestId id;
    RequestClass requestClass = RequestClass::Short;
    std::uint32_t customer = 0;
    std::uint32_t gate = 0;
    std::uint32_t endpoint = 0;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint admitted; ///< by the owner of the endpoint
    TimePoint started;
    std::uint32_t attempts = 0;
    std::uint32_t refusedBy = UINT32_MAX; ///< endpoint that refused the last attempt
    double nominalService = 0; ///< seconds at speed 1
    bool isTrial = false;
    bool isHarmed = false; ///< affected by a fault
    FaultEffect faultEffect;
};

/// Runs the simulation and reports its course through hooks.
class ServiceModel
{
public:
    ServiceModel(ModelOptions options, std::uint64_t seed)
        : m_options(std::move(options)), m_random(seed)
    {
        for (std::uint32_t i = 0; i < m_options.endpoints; ++i) {
            m_endpoints.push_back(std::make_unique<Endpoint>(m_options));
            EndpointView view;
            view.id = "e" + std::to_string(i);
            view.node = "n" + std::to_string(i);
            view.failureDomain = "d";
            view.slots = m_options.slots;
            m_view.push_back(view);
        }
        for (std::uint32_t i = 0; i < m_options.gates; ++i)
            m_gates.push_back(std::make_unique<Gate>(m_options));
        m_rotation = rotation(m_view, rotationConfig());
    }

    /// Called when a request ends; \a slotTime is the time for which it held a slot.
    std::function<void(const ModelRequest &, RequestResult, TimePoint now, Duration slotTime)>
            onRequestEnd;
    /// Called when a detector changes its phase.
    std::function<void(std::uint32_t endpoint, const DetectorPhaseChange &, TimePoint now)>
            onChange;

    void run(Duration length)
    {
        const TimePoint end = TimePoint {} + length;
        schedule(nextArrival({}), Kind::Arrival, 0);
        if (m_options.detectionEnabled)
            schedule(TimePoint {} + TickInterval, Kind::Tick, 0);
        while (!m_events.empty() && m_events.top().time < end && !m_isStopped) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            handle(event);
        }
    }
    void stop() { m_isStopped = true; }

    std::uint64_t requests() const { return m_requestCount; }
    std::uint64_t retries() const { return m_retries; }
    GrayDetector &detector(std::uint32_t endpoint) { return m_endpoints[endpoint]->detector; }

private:
    static constexpr Duration TickInterval = 50ms;
    static constexpr Duration ProbeTime = 25ms;

    enum class Kind { Arrival, OwnerArrival, Answer, TimeOut, Refused, Tick, ProbeEnd };
    struct Event
    {
        TimePoint time;
        std::uint64_t order; ///< creation order; makes runs deterministic
        Kind kind;
        std::uint32_t index; ///< request or endpoint
        RequestId id; ///< of the request; detects that its index was reused
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Endpoint
    {
        explicit Endpoint(const ModelOptions &options)
            : scheduler(options.slots, options.policy), detector(options.detection)
        {
        }
        SlotScheduler scheduler;
        GrayDetector detector;
        std::unordered_map<RequestId, std::uint32_t> open; ///< queued or running
        std::uint32_t running = 0;
        bool probeInFlight = false;
    };
    struct Gate
    {
        explicit Gate(const ModelOptions &options)
            : picker("d", options.pick == PickRule::TwoRandom ? PickMode::TwoRandom
                                                              : PickMode::OwnerLoad),
              budget(options.retryPercent), loads(options.endpoints)
        {
        }
        EndpointPicker picker;
        RetryBudget budget;
        GateMedian serviceTimes[2];
        ServiceTimeSamples serviceTimeSamples[2];
        std::vector<SlotLoad> loads; ///< last report per endpoint, for AvailablePower
    };

    RotationConfig rotationConfig() const
    {
        return {m_options.endpoints * m_options.slots * m_options.floorPercent / 100};
    }

    void schedule(TimePoint time, Kind kind, std::uint32_t index, const RequestId &id = {})
    {
        m_events.push({time, m_order++, kind, index, id});
    }

    /// Next arrival of a Poisson process of varying rate, by thinning.
    TimePoint nextArrival(TimePoint from)
    {
        std::exponential_distribution<double> gap(m_options.maxDemand);
        std::uniform_real_distribution<double> draw(0, m_options.maxDemand);
        double second = toSeconds(from.time_since_epoch());
        do {
            second += gap(m_random);
        } while (draw(m_random) > m_options.demand(second));
        return TimePoint {} + fromSeconds(second);
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            handleArrival();
            return;
        case Kind::Tick:
            tick();
            return;
        case Kind::ProbeEnd:
            handleProbeEnd(event.index);
            return;
        case Kind::OwnerArrival:
        case Kind::Answer:
        case Kind::TimeOut:
        case Kind::Refused:
            break;
        }
        if (m_requests[event.index].id != event.id)
            return;
        if (event.kind == Kind::OwnerArrival)
            handleOwnerArrival(event.index);
        else if (event.kind == Kind::Refused)
            handleRefusal(event.index);
        else
            finishRun(event.index, event.kind == Kind::TimeOut);
    }

    void handleArrival()
    {
        schedule(nextArrival(m_now), Kind::Arrival, 0);
        ++m_requestCount;
        const std::uint32_t index = allocate();
        ModelRequest &request = m_requests[index];
        request = {};
        request.id = RequestId::generate(m_random);
        std::uniform_real_distribution<double> draw;
        if (draw(m_random) < m_options.longRequestShare)
            request.requestClass = RequestClass::Long;
        const bool isLong = request.requestClass == RequestClass::Long;
        request.customer = m_customerOf(m_random);
        request.gate = static_cast<std::uint32_t>(m_random() % m_options.gates);
        request.arrived = m_now;
        request.deadline = m_now + (isLong ? m_options.longDeadline : m_options.deadline);
        std::lognormal_distribution<double> time(
                std::log((isLong ? m_options.longMedianMs : m_options.medianMs) / 1e3),
                isLong ? m_options.longSpread : m_options.spread);
        request.nominalService = time(m_random);
        m_gates[request.gate]->budget.recordRequest();
        send(index);
    }

    void send(std::uint32_t index)
    {
        ModelRequest &request = m_requests[index];
        request.endpoint = pickEndpoint(request);
        ++request.attempts;
        m_gates[request.gate]->picker.onRequestSent(m_view[request.endpoint].id);
        schedule(m_now + m_options.oneWayDelay, Kind::OwnerArrival, index, request.id);
    }

    std::uint32_t pickEndpoint(ModelRequest &request)
    {
        // Trials take precedence: the dispatch of the gate marks the request as one.
        for (std::uint32_t i = 0; m_options.detectionEnabled && i < m_options.endpoints; ++i) {
            const GrayDetector &detector = m_endpoints[i]->detector;
            if (detector.phase() == DetectorPhase::Trial
                && detector.admits(true, trialLoad(*m_endpoints[i]), m_now)) {
                request.isTrial = true;
                return i;
            }
        }
        Gate &gate = *m_gates[request.gate];
        std::unordered_set<std::string> excluded;
        if (request.refusedBy != UINT32_MAX)
            excluded.insert(m_view[request.refusedBy].id);
        if (m_options.pick == PickRule::OwnerLoad || m_options.pick == PickRule::TwoRandom) {
            const auto picked = gate.picker.pick(m_view, m_rotation, excluded, m_now, m_random);
            return static_cast<std::uint32_t>(picked.value_or(request.endpoint));
        }
        const auto one = drawUniform(request.refusedBy);
        if (m_options.pick == PickRule::Uniform)
            return one;
        const auto other = drawUniform(one);
        return availablePower(gate, other) > availablePower(gate, one) ? other : one;
    }

    std::uint32_t drawUniform(std::uint32_t excluded)
    {
        const auto &admitted = m_rotation.admitted;
        std::uniform_real_distribution<double> draw;
        for (int i = 0; i < 64; ++i) {
            const std::uint32_t item = admitted[m_random() % admitted.size()];
            const double weight = m_options.weights.empty() ? 1 : m_options.weights[item];
            if (item != excluded && draw(m_random) <= weight)
                return item;
        }
        return admitted[0];
    }

    /// Speed divided by the number of requests at the endpoint, including the new one.
    double availablePower(const Gate &gate, std::uint32_t endpoint) const
    {
        const SlotLoad &load = gate.loads[endpoint];
        const double speed = load.meanServiceTime.count() == 0
                                     ? 1
                                     : 1 / static_cast<double>(load.meanServiceTime.count());
        return speed * m_options.slots / (load.slots - load.freeSlots + load.queued + 1.0);
    }

    void handleOwnerArrival(std::uint32_t index)
    {
        ModelRequest &request = m_requests[index];
        Endpoint &endpoint = *m_endpoints[request.endpoint];
        endpoint.detector.addBaselineSample(request.requestClass,
                                            baselineFor(*m_gates[request.gate], request), m_now);
        static const std::string routes[] = {"short", "long"};
        QueuedRequest queued {request.id, request.requestClass,
                              "customer" + std::to_string(request.customer),
                              routes[static_cast<int>(request.requestClass)], request.deadline};
        const bool isAdmitted = !m_options.detectionEnabled
                                || endpoint.detector.admits(true, trialLoad(endpoint), m_now);
        if (!isAdmitted || endpoint.scheduler.enqueue(queued, m_now)) {
            schedule(m_now + m_options.oneWayDelay, Kind::Refused, index, request.id);
            return;
        }
        request.admitted = m_now;
        endpoint.open[request.id] = index;
        dispatchQueued(request.endpoint);
    }

    TrialLoad trialLoad(const Endpoint &endpoint) const
    {
        TrialLoad load;
        for (const auto &[id, index] : endpoint.open) {
            const TimePoint admitted = m_requests[index].admitted;
            if (admitted < endpoint.detector.phaseSince())
                continue;
            ++load.open;
            load.lastAdmitted = std::max(load.lastAdmitted, admitted);
        }
        return load;
    }

    Duration baselineFor(const Gate &gate, const ModelRequest &request) const
    {
        const int requestClass = static_cast<int>(request.requestClass);
        return m_options.sendsMedian ? gate.serviceTimes[requestClass].median()
                                     : gate.serviceTimeSamples[requestClass].latestExcept(
                                             m_view[request.endpoint].id, m_now);
    }

    void handleRefusal(std::uint32_t index)
    {
        ModelRequest &request = m_requests[index];
        Gate &gate = *m_gates[request.gate];
        updateLoad(gate, request.endpoint);
        gate.picker.onRequestEnded(m_view[request.endpoint].id);
        request.refusedBy = request.endpoint;
        if (m_now < request.deadline && request.attempts < 3 && gate.budget.tryRetry()) {
            ++m_retries;
            send(index);
            return;
        }
        notifyEnd(index, RequestResult::Refused, {});
        release(index);
    }

    void dispatchQueued(std::uint32_t number)
    {
        Endpoint &endpoint = *m_endpoints[number];
        for (const RequestId &id : endpoint.scheduler.takeExpired(m_now)) {
            const std::uint32_t index = endpoint.open.at(id);
            endpoint.open.erase(id);
            m_gates[m_requests[index].gate]->picker.onRequestEnded(m_view[number].id);
            notifyEnd(index, RequestResult::Late, {});
            release(index);
        }
        while (const auto next = endpoint.scheduler.startNext(m_now))
            startRun(number, endpoint.open.at(next->id));
    }

    void startRun(std::uint32_t number, std::uint32_t index)
    {
        Endpoint &endpoint = *m_endpoints[number];
        ModelRequest &request = m_requests[index];
        request.started = m_now;
        if (m_options.faultEffect) {
            request.faultEffect = m_options.faultEffect(number, m_now, m_random);
            request.isHarmed = request.faultEffect.isLost || request.faultEffect.factor > 1
                               || request.faultEffect.outcome != RequestOutcome::Answered;
        }
        const double others =
                m_options.slots > 1 ? static_cast<double>(endpoint.running) / (m_options.slots - 1)
                                    : 0;
        ++endpoint.running;
        const double speed = m_options.speeds.empty() ? 1 : m_options.speeds[number];
        const double seconds = request.nominalService * request.faultEffect.factor / speed
                               * (1 + m_options.concurrencySlowdown * others);
        const TimePoint answer = m_now + std::max<Duration>(1us, fromSeconds(seconds));
        endpoint.detector.onRequestStarted(request.id, request.requestClass, m_now);
        if (request.faultEffect.isLost || answer >= request.deadline)
            schedule(request.deadline, Kind::TimeOut, index, request.id);
        else
            schedule(answer, Kind::Answer, index, request.id);
    }

    void finishRun(std::uint32_t index, bool timedOut)
    {
        ModelRequest &request = m_requests[index];
        const std::uint32_t number = request.endpoint;
        Endpoint &endpoint = *m_endpoints[number];
        const RequestOutcome outcome =
                timedOut ? RequestOutcome::TimedOut : request.faultEffect.outcome;
        const Duration slotTime = m_now - request.started;
        endpoint.detector.onRequestFinished(request.id, outcome, m_now);
        endpoint.scheduler.finish(request.id, m_now);
        endpoint.open.erase(request.id);
        --endpoint.running;
        Gate &gate = *m_gates[request.gate];
        gate.picker.onRequestEnded(m_view[number].id);
        updateLoad(gate, number);
        if (outcome == RequestOutcome::Answered) {
            gate.serviceTimes[static_cast<int>(request.requestClass)].add(slotTime);
            gate.serviceTimeSamples[static_cast<int>(request.requestClass)].add(m_view[number].id,
                                                                                slotTime, m_now);
        }
        notifyEnd(index,
                  timedOut                              ? RequestResult::Late
                  : outcome == RequestOutcome::Answered ? RequestResult::Served
                                                        : RequestResult::Failed,
                  slotTime);
        release(index);
        applyDetectorChanges(number);
        dispatchQueued(number);
    }

    void notifyEnd(std::uint32_t index, RequestResult end, Duration slotTime)
    {
        if (onRequestEnd)
            onRequestEnd(m_requests[index], end, m_now, slotTime);
    }

    void updateLoad(Gate &gate, std::uint32_t number)
    {
        const SlotLoad load = m_endpoints[number]->scheduler.load();
        gate.loads[number] = load;
        gate.picker.onLoadReported(m_view[number].id,
                                   {load.slots, load.freeSlots, load.queued, load.meanServiceTime},
                                   m_now);
    }

    void tick()
    {
        schedule(m_now + TickInterval, Kind::Tick, 0);
        for (std::uint32_t i = 0; i < m_options.endpoints; ++i) {
            Endpoint &endpoint = *m_endpoints[i];
            endpoint.detector.tick(m_now);
            applyDetectorChanges(i);
            if (!endpoint.probeInFlight && endpoint.detector.isProbeDue(m_now)) {
                endpoint.probeInFlight = true;
                schedule(m_now + ProbeTime, Kind::ProbeEnd, i);
            }
        }
    }

    void handleProbeEnd(std::uint32_t number)
    {
        Endpoint &endpoint = *m_endpoints[number];
        endpoint.probeInFlight = false;
        const bool fails = m_options.probesFail && number == 0 && m_options.faultLasts(m_now);
        endpoint.detector.recordProbe(!fails, m_now);
        applyDetectorChanges(number);
    }

    void applyDetectorChanges(std::uint32_t number)
    {
        if (!m_options.detectionEnabled)
            return;
        GrayDetector &detector = m_endpoints[number]->detector;
        for (const DetectorPhaseChange &change : detector.takeChanges()) {
            m_view[number].severity = detector.severity();
            m_rotation = rotation(m_view, rotationConfig());
            for (std::uint32_t i = 0; i < m_options.endpoints; ++i) {
                m_endpoints[i]->detector.setHeldByFloor(m_rotation.entries[i].verdict
                                                        == RotationVerdict::HeldByFloor);
            }
            if (onChange)
                onChange(number, change, m_now);
        }
    }

    std::uint32_t allocate()
    {
        if (m_free.empty()) {
            m_requests.emplace_back();
            return static_cast<std::uint32_t>(m_requests.size() - 1);
        }
        const std::uint32_t index = m_free.back();
        m_free.pop_back();
        return index;
    }
    void release(std::uint32_t index)
    {
        m_requests[index].id = {};
        m_free.push_back(index);
    }

    ModelOptions m_options;
    Random m_random;
    std::discrete_distribution<std::uint32_t> m_customerOf {m_options.customers.begin(),
                                                            m_options.customers.end()};
    TimePoint m_now {};
    std::uint64_t m_order = 0;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_retries = 0;
    bool m_isStopped = false;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::unique_ptr<Gate>> m_gates;
    std::vector<EndpointView> m_view;
    Rotation m_rotation;
    std::vector<ModelRequest> m_requests;
    std::vector<std::uint32_t> m_free;
};

} // namespace berylspur::bench
