// Simulation of services whose requests differ in rank and call each other, on injected time and
// without network: the product's schedulers, pickers and parent admission, and slots that take
// time.
#pragma once

#include "berylspur/admission/parent_admission.h"
#include "berylspur/admission/slot_scheduler.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/placement_retry.h"

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace berylspur::test {

/// A kind of requests. A kind with a call runs half of its time, makes the call and runs the rest.
struct Kind
{
    std::string service;
    std::uint32_t rank = 0;
    double rate = 0; ///< requests a second
    Duration time {}; ///< mean of the run, without its call
    Duration deadline {};
    Duration latencyTarget {};
    std::string customer = "c";
    std::string calledService = {}; ///< empty: no call
    double callShare = 0; ///< of the runs
    Duration callTime {};
    Duration callDeadline {};
};

struct Load
{
    struct Service
    {
        std::string name;
        std::uint32_t endpoints = 8;
        std::uint32_t slots = 5;
    };
    std::vector<Service> services;
    std::vector<Kind> kinds;
    std::uint32_t domains = 1; ///< failure domains
    std::uint32_t gates = 4;
    /// Factor of the demand at a time and in a failure domain.
    std::function<double(double second, std::uint32_t domain)> demand;
    double maxDemand = 1; ///< upper bound of demand
    /// True if the service refuses an arriving request, whatever its load.
    std::function<bool(const std::string &service, double second, Random &random)> isShed;
    double length = 30; ///< seconds
    bool usesRanks = true; ///< false: all requests have one rank, as before ranks were used
};

/// Requests of one kind.
struct Count
{
    std::uint64_t offered = 0;
    std::uint64_t served = 0; ///< within the deadline, with their call
    std::uint64_t onTime = 0; ///< served within the latency target
    std::uint64_t refusedAtGate = 0; ///< by ParentAdmission
    std::uint64_t wasted = 0; ///< ran without effect: their call failed, or they were late
    double share() const { return of(served); }
    double onTimeShare() const { return of(onTime); }
    double of(std::uint64_t count) const
    {
        return offered == 0 ? 1 : static_cast<double>(count) / static_cast<double>(offered);
    }
};

class Replay
{
public:
    Replay(Load load, std::uint64_t seed) : m_load(std::move(load)), m_random(seed)
    {
        std::uint32_t number = 0;
        for (const auto &service : m_load.services) {
            Service &target = m_services[service.name];
            for (std::uint32_t i = 0; i < service.endpoints; ++i) {
                target.first = i == 0 ? number : target.first;
                EndpointView view;
                view.id = "e" + std::to_string(number++);
                view.failureDomain = domainName(i % m_load.domains);
                view.slots = service.slots;
                target.view.push_back(view);
                m_endpoints.push_back(std::make_unique<Endpoint>(service.slots));
            }
            target.rotation = rotation(target.view, {});
        }
        std::vector<std::uint32_t> ranks;
        for (const auto &kind : m_load.kinds)
            ranks.push_back(kind.rank);
        std::sort(ranks.begin(), ranks.end());
        ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
        for (std::uint32_t i = 0; i < m_load.gates; ++i) {
            m_gates.push_back(std::make_unique<Gate>(domainName(i % m_load.domains)));
            m_gates.back()->admission.setRanks(ranks);
        }
        m_counts.resize(m_load.kinds.size());
    }

    /// Requests by kind that arrived in \a from to \a to, in seconds.
    std::vector<Count> run(double from, double to)
    {
        m_from = at(from);
        m_to = at(to);
        for (std::uint32_t kind = 0; kind < m_load.kinds.size(); ++kind)
            scheduleArrival(kind);
        while (!m_events.empty() && m_events.top().time < at(m_load.length)) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        return m_counts;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Endpoint
    {
        explicit Endpoint(std::uint32_t slots) : scheduler(slots) { }
        SlotScheduler scheduler;
        CallStatistics calls;
    };
    struct Service
    {
        std::vector<EndpointView> view;
        Rotation rotation;
        std::uint32_t first = 0; ///< index of its first endpoint
    };
    struct Gate
    {
        explicit Gate(std::string domain) : picker(std::move(domain)) { }
        EndpointPicker picker;
        ParentAdmission admission;
    };
    struct Request
    {
        QueuedRequest queued;
        std::string service;
        std::uint32_t kind = 0;
        std::uint32_t gate = 0;
        std::uint32_t endpoint = 0;
        std::shared_ptr<Request> parent; ///< set for nested calls
        TimePoint arrived;
        Duration time {};
        std::unordered_set<std::string> tried;
    };
    using RequestPtr = std::shared_ptr<Request>;

    static TimePoint at(double second)
    {
        return TimePoint {} + Duration(std::llround(1e6 * second));
    }
    static double seconds(TimePoint time) { return 1e-6 * double(time.time_since_epoch().count()); }
    static std::string domainName(std::uint32_t domain) { return "d" + std::to_string(domain); }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_order++, std::move(action)});
    }
    Duration drawTime(Duration mean)
    {
        constexpr double Spread = 0.4;
        std::lognormal_distribution<double> factor(-Spread * Spread / 2, Spread);
        return Duration(std::llround(double(mean.count()) * factor(m_random)));
    }
    bool drawBool(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void scheduleArrival(std::uint32_t kind)
    {
        std::exponential_distribution<double> gap(m_load.kinds[kind].rate * m_load.maxDemand);
        schedule(Duration(std::llround(1e6 * gap(m_random))), [this, kind] {
            scheduleArrival(kind);
            const auto gate = static_cast<std::uint32_t>(m_random() % m_load.gates);
            const double factor =
                    m_load.demand ? m_load.demand(seconds(m_now), gate % m_load.domains) : 1;
            if (drawBool(factor / m_load.maxDemand))
                arrive(kind, gate);
        });
    }

    void arrive(std::uint32_t kindNumber, std::uint32_t gate)
    {
        const Kind &kind = m_load.kinds[kindNumber];
        auto request = std::make_shared<Request>();
        request->queued.id = RequestId::generate(m_random);
        request->queued.customer = kind.customer;
        request->queued.route = "route" + std::to_string(kindNumber);
        request->queued.deadline = m_now + kind.deadline;
        request->queued.latencyTarget = kind.latencyTarget;
        request->queued.priority = m_load.usesRanks ? kind.rank : 0;
        request->service = kind.service;
        request->kind = kindNumber;
        request->gate = gate;
        request->arrived = m_now;
        request->time = drawTime(kind.time);
        if (Count *count = countOf(*request))
            ++count->offered;
        const auto waitOf = [&](const std::string &service) { return waitAt(service, gate); };
        const ParentRequest parent {request->queued.route, kind.rank, kind.deadline};
        if (m_load.usesRanks && m_gates[gate]->admission.check(parent, waitOf, m_now)) {
            if (Count *count = countOf(*request))
                ++count->refusedAtGate;
            return;
        }
        place(request);
    }

    std::optional<Duration> waitAt(const std::string &service, std::uint32_t gate)
    {
        Duration sum {};
        int known = 0;
        for (const auto &endpoint : m_services.at(service).view) {
            if (const auto wait = m_gates[gate]->picker.reportedWait(endpoint, m_now)) {
                sum += *wait;
                ++known;
            }
        }
        return known == 0 ? std::nullopt : std::optional<Duration>(sum / known);
    }

    void place(const RequestPtr &request)
    {
        Service &service = m_services.at(request->service);
        Gate &gate = *m_gates[request->gate];
        const auto picked =
                gate.picker.pick(service.view, service.rotation, request->tried, m_now, m_random);
        constexpr std::size_t MaxRefusals = 4;
        if (!picked || request->tried.size() >= MaxRefusals) {
            giveUp(request);
            return;
        }
        request->endpoint = service.first + static_cast<std::uint32_t>(*picked);
        request->tried.insert(service.view[*picked].id);
        gate.picker.onRequestSent(idOf(*request));
        Endpoint &endpoint = *m_endpoints[request->endpoint];
        const bool isShed =
                m_load.isShed && m_load.isShed(request->service, seconds(m_now), m_random);
        m_open[request->queued.id] = request;
        if (isShed || endpoint.scheduler.enqueue(request->queued, m_now)) {
            onRefused(request->queued.id);
            return;
        }
        startQueued(request->endpoint);
    }

    const std::string &idOf(const Request &request) const
    {
        const Service &service = m_services.at(request.service);
        return service.view[request.endpoint - service.first].id;
    }

    void giveUp(const RequestPtr &request)
    {
        const UnplacedRequest wait {request->parent != nullptr, false, request->arrived,
                                    request->queued.deadline};
        if (!shouldRetryPlacement(wait, m_now)) {
            end(request, false);
            return;
        }
        request->tried.clear();
        schedule(PlacementRetryDelay, [this, request] { place(request); });
    }

    void onRefused(const RequestId &id)
    {
        const auto request = m_open.extract(id).mapped();
        report(*request);
        m_gates[request->gate]->picker.onRequestEnded(idOf(*request));
        if (m_now >= request->queued.deadline)
            end(request, false);
        else
            place(request);
    }

    void startQueued(std::uint32_t number)
    {
        SlotScheduler &scheduler = m_endpoints[number]->scheduler;
        while (const auto next = scheduler.startNext(m_now))
            run(m_open.at(next->id));
        for (const auto &id : scheduler.takeExpired(m_now))
            onRefused(id);
        for (const auto &displaced : scheduler.takeDisplaced())
            onRefused(displaced.id);
    }

    void run(const RequestPtr &request)
    {
        m_endpoints[request->endpoint]->calls.onRun(request->queued.route, m_now);
        const Kind &kind = m_load.kinds[request->kind];
        if (request->parent || !drawBool(kind.callShare)) {
            schedule(request->time, [this, request] { finish(request, true); });
            return;
        }
        schedule(request->time / 2, [this, request] { call(request); });
    }

    void call(const RequestPtr &parent)
    {
        const Kind &kind = m_load.kinds[parent->kind];
        auto request = std::make_shared<Request>(*parent);
        request->queued.id = RequestId::generate(m_random);
        request->queued.route = "call" + std::to_string(parent->kind);
        request->queued.isNestedCall = true;
        request->queued.deadline =
                std::min<TimePoint>(m_now + kind.callDeadline, parent->queued.deadline);
        request->queued.latencyTarget = {};
        request->service = kind.calledService;
        request->gate = parent->endpoint % m_load.gates; // the gate on the host of the parent
        request->parent = parent;
        request->tried.clear();
        request->arrived = m_now;
        request->time = drawTime(kind.callTime);
        place(request);
    }

    void finish(const RequestPtr &request, bool isSuccess)
    {
        Endpoint &endpoint = *m_endpoints[request->endpoint];
        endpoint.scheduler.finish(request->queued.id, m_now);
        m_open.erase(request->queued.id);
        report(*request);
        m_gates[request->gate]->picker.onRequestEnded(idOf(*request));
        end(request, isSuccess && m_now <= request->queued.deadline, true);
        startQueued(request->endpoint);
    }

    void end(const RequestPtr &request, bool isServed, bool hasRun = false)
    {
        if (const auto &parent = request->parent) {
            const Duration wait = m_now - request->arrived - request->time;
            m_endpoints[parent->endpoint]->calls.onCallEnded(
                    parent->queued.route, {request->service, !hasRun, request->time, wait}, m_now);
            schedule(isServed ? parent->time / 2 : Duration::zero(),
                     [this, parent, isServed] { finish(parent, isServed); });
            return;
        }
        if (Count *count = countOf(*request)) {
            count->served += isServed ? 1 : 0;
            const Duration target = m_load.kinds[request->kind].latencyTarget;
            count->onTime += isServed && m_now - request->arrived <= target ? 1 : 0;
            count->wasted += hasRun && !isServed ? 1 : 0;
        }
    }

    void report(const Request &request)
    {
        Gate &gate = *m_gates[request.gate];
        const Endpoint &endpoint = *m_endpoints[request.endpoint];
        const SlotLoad load = endpoint.scheduler.load();
        gate.picker.onLoadReported(idOf(request),
                                   {load.slots, load.freeSlots, load.queued, load.meanServiceTime},
                                   m_now);
        gate.admission.onReport(request.queued.route,
                                endpoint.calls.calls(request.queued.route, m_now), m_now);
    }

    Count *countOf(const Request &request)
    {
        const bool isCounted = request.arrived >= m_from && request.arrived < m_to;
        return isCounted ? &m_counts[request.kind] : nullptr;
    }

    Load m_load;
    Random m_random;
    TimePoint m_now {};
    TimePoint m_from;
    TimePoint m_to;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::map<std::string, Service> m_services;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::unique_ptr<Gate>> m_gates;
    std::unordered_map<RequestId, RequestPtr> m_open; ///< queued or running
    std::vector<Count> m_counts;
};

} // namespace berylspur::test
