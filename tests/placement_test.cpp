// Which endpoint a gate chooses, replayed for the loads that the rules of placement answer.
#define BOOST_TEST_MODULE placement
#include "berylspur/routing/placement.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <random>

using namespace berylspur;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint32_t Slots = 10;

struct TrialLoadCase
{
    const char *name;
    int gates;
    int endpoints;
    int inTrial;
    double idempotentPerS; ///< of the service, over all gates
    double otherPerS;
};

std::ostream &operator<<(std::ostream &out, const TrialLoadCase &sample)
{
    return out << sample.name;
}

/// The loads of the services on the day that broke the floor rule.
const std::vector<TrialLoadCase> TrialLoads {
        {"many in trial, most requests are not idempotent", 89, 55, 14, 56, 136},
        {"few endpoints, most requests are not idempotent", 89, 5, 1, 14, 18},
        {"all requests are idempotent", 89, 29, 6, 100, 0},
};

std::vector<EndpointView> endpointsOf(const TrialLoadCase &sample)
{
    constexpr int Domains = 5;
    std::vector<EndpointView> view;
    for (int i = 0; i < sample.endpoints; ++i) {
        EndpointView endpoint;
        endpoint.id = "e" + std::to_string(i);
        endpoint.node = "n" + std::to_string(i);
        endpoint.failureDomain = "d" + std::to_string(i % Domains);
        endpoint.slots = Slots;
        endpoint.onTrial = i < sample.inTrial;
        endpoint.rampPercent = endpoint.onTrial ? 50 : 100;
        view.push_back(endpoint);
    }
    return view;
}

/// Gates that place requests, and owners that admit one request at a time to an endpoint in trial.
class Fleet
{
public:
    Fleet(const TrialLoadCase &sample, std::uint64_t seed)
        : m_sample(sample), m_view(endpointsOf(sample)), m_rotation(rotation(m_view, {})),
          m_random(seed)
    {
        for (int i = 0; i < sample.gates; ++i)
            m_gates.emplace_back("d" + std::to_string(i % 5));
    }

    /// Runs until each endpoint in trial has admitted a request; returns the longest wait.
    Duration longestWait(Duration limit)
    {
        std::poisson_distribution<int> idempotent(perStep(m_sample.idempotentPerS));
        std::poisson_distribution<int> other(perStep(m_sample.otherPerS));
        while (m_admissions.size() < static_cast<std::size_t>(m_sample.inTrial)
               && m_now - Begin < limit) {
            m_now += Step;
            endRequests();
            for (int i = idempotent(m_random); i > 0; --i)
                send(true);
            for (int i = other(m_random); i > 0; --i)
                send(false);
        }
        return m_now - Begin;
    }
    int refusals() const { return m_refusals; }

private:
    static constexpr TimePoint Begin {1s};
    static constexpr Duration Step = 10ms;
    static constexpr Duration ServiceTime = 900ms;

    struct Running
    {
        TimePoint end;
        EndpointPicker *gate;
        std::string endpoint;
    };

    static double perStep(double perS)
    {
        return perS * std::chrono::duration<double>(Step).count();
    }

    void endRequests()
    {
        std::erase_if(m_running, [this](const Running &request) {
            if (request.end > m_now)
                return false;
            request.gate->onRequestEnded(request.endpoint);
            return true;
        });
    }

    void send(bool idempotent)
    {
        EndpointPicker &gate = m_gates[m_random() % m_gates.size()];
        PlacementRequest request {.isIdempotent = idempotent, .triedEndpoints = {}};
        while (const auto picked =
                       placeRequest(request, m_view, m_rotation, gate, m_paths, m_now, m_random)) {
            const EndpointView &endpoint = m_view[*picked];
            gate.onRequestSent(endpoint.id);
            if (!endpoint.onTrial || admitTrialRequest(endpoint.id, idempotent)) {
                m_running.push_back({m_now + ServiceTime, &gate, endpoint.id});
                return;
            }
            ++m_refusals;
            gate.onRequestEnded(endpoint.id);
            gate.onRequestFailed(endpoint.id, m_now);
            request.isFirstPlacement = false;
            request.triedEndpoints.insert(endpoint.id);
        }
    }

    bool admitTrialRequest(const std::string &endpoint, bool idempotent)
    {
        return idempotent && m_admissions.emplace(endpoint, m_now).second;
    }

    TrialLoadCase m_sample;
    std::vector<EndpointView> m_view;
    Rotation m_rotation;
    Random m_random;
    std::vector<EndpointPicker> m_gates;
    PathHealth m_paths;
    TimePoint m_now = Begin;
    std::vector<Running> m_running;
    std::map<std::string, TimePoint> m_admissions; // by endpoint in trial
    int m_refusals = 0;
};

} // namespace

// Guards against endpoints in trial that get no request for seconds: gates chose them at random, so
// they waited for up to 8 s, and less than the floor of the service was in use.
BOOST_DATA_TEST_CASE(endpoints_in_trial_get_a_request_soon,
                     data::make(TrialLoads) * data::xrange(std::uint64_t {20}), sample, seed)
{
    Fleet fleet(sample, seed);
    BOOST_TEST(toMs(fleet.longestWait(20s)) <= 2000);
}
