// Endpoints that fail requests immediately, and the capacity floor: tests rotation and picker
// together under the load of a fleet in which a third of a service's endpoints fails at any time.
#define BOOST_TEST_MODULE failing_endpoints
#include "berylspur/routing/capacity_floor.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/rotation.h"
#include "property_check.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint32_t Slots = 8;
constexpr std::uint32_t FloorPercent = 70;

schema::Service service()
{
    schema::Service result;
    result.set_floor_percent(FloorPercent);
    return result;
}

/// \a size endpoints, of which the first \a failing fail their requests and the next \a slow are
/// slow.
std::vector<EndpointView> makeView(std::size_t size, std::size_t failing, std::size_t slow)
{
    std::vector<EndpointView> view(size);
    for (std::size_t i = 0; i < size; ++i) {
        view[i].id = "e" + std::to_string(i);
        view[i].node = "n" + std::to_string(i);
        view[i].failureDomain = "fd";
        view[i].slots = Slots;
        view[i].failsRequests = i < failing;
        view[i].severity = i < failing + slow ? 80 : 0;
    }
    return view;
}

/// Slots of endpoint \a i that its owner admits requests to: one in a trial that the floor did not
/// open.
std::uint32_t admittedSlots(const std::vector<EndpointView> &view, const Rotation &state,
                            std::size_t i)
{
    const RotationEntry &entry = state.entries[i];
    if (!entry.isInRotation())
        return 0;
    const bool isLimited = view[i].onTrial && entry.verdict != RotationVerdict::OpenedByFloor;
    return isLimited ? 1 : view[i].slots;
}

std::uint32_t usableSlots(const std::vector<EndpointView> &view, const Rotation &state)
{
    std::uint32_t slots = 0;
    for (std::size_t i = 0; i < view.size(); ++i)
        slots += admittedSlots(view, state, i);
    return slots;
}

/// Share of Picks requests that a gate sends to the first \a failing endpoints. Failing endpoints
/// report all slots as free, since their requests end immediately; the others are half busy.
double shareSentToFailing(const std::vector<EndpointView> &view, const RotationConfig &config,
                          std::size_t failing)
{
    constexpr int Picks = 2000;
    Random random(7);
    EndpointPicker picker("fd", PickMode::OwnerLoad);
    const auto state = rotation(view, config);
    int sentToFailing = 0;
    TimePoint now(std::chrono::seconds(10));
    for (int i = 0; i < Picks; ++i) {
        now += std::chrono::milliseconds(5);
        for (std::size_t e = 0; e < view.size(); ++e)
            picker.onLoadReported(view[e].id, {Slots, e < failing ? Slots : Slots / 2, 0, {}}, now);
        const auto picked = picker.pick(view, state, {}, now, random);
        BOOST_REQUIRE(picked.has_value());
        sentToFailing += *picked < failing ? 1 : 0;
    }
    return static_cast<double>(sentToFailing) / Picks;
}

struct FloorCase
{
    const char *name;
    std::size_t size;
    std::size_t failing;
    std::size_t slow;
    std::size_t inRotation; ///< endpoints that stay in rotation
};

std::ostream &operator<<(std::ostream &out, const FloorCase &sample)
{
    return out << sample.name;
}

// The floor is 70% of 20 endpoints: 14 endpoints, or 7 for failing ones.
const std::vector<FloorCase> FloorCases {
        {"all healthy", 20, 0, 0, 20},
        {"failing ones beyond the floor are ejected", 20, 9, 0, 11},
        {"a service that fails as a whole keeps half of the floor", 20, 20, 0, 7},
        {"slow ones are held by the floor", 20, 0, 9, 14},
        {"ejected failing ones leave less margin for slow ones", 20, 6, 3, 14},
        {"beyond the floor all slow ones stay", 20, 9, 3, 11},
};

} // namespace

// Guards against failing endpoints that count as healthy capacity, or whose ejection ignores the
// floor.
BOOST_DATA_TEST_CASE(failing_endpoints_are_no_healthy_capacity, data::make(FloorCases), sample)
{
    const auto view = makeView(sample.size, sample.failing, sample.slow);
    const auto state = rotation(view, rotationConfig(service(), view));
    BOOST_TEST(state.admitted.size() == sample.inRotation);
}

namespace {

struct TrialCase
{
    const char *name;
    std::size_t trusted;
    std::size_t suspect;
    std::size_t onTrial;
    bool failsRequests; ///< reason of the suspicions
    std::size_t opened; ///< endpoints in trial that admit requests to all slots
};

std::ostream &operator<<(std::ostream &out, const TrialCase &sample)
{
    return out << sample.name;
}

// Slots are 8 each; the floor is 70% of them, or 35% where requests failed.
const std::vector<TrialCase> TrialCases {
        {"enough are trusted", 3, 0, 2, true, 0},
        {"after a power cut", 1, 1, 3, true, 1},
        {"none is trusted", 0, 2, 4, true, 2},
        {"a trial after slowness counts against the full floor", 3, 0, 2, false, 1},
        {"the only endpoint", 0, 0, 1, true, 1},
};

} // namespace

// Guards against endpoints in trial that count as capacity although their owners admit one request
// at a time: a service had one of five endpoints open for six seconds, and the floor held no other.
BOOST_DATA_TEST_CASE(trials_are_opened_below_the_floor, data::make(TrialCases), sample)
{
    const std::size_t size = sample.trusted + sample.suspect + sample.onTrial;
    auto view = makeView(size, 0, 0);
    for (std::size_t i = sample.trusted; i < size; ++i) {
        view[i].onTrial = i >= sample.trusted + sample.suspect;
        view[i].severity = view[i].onTrial ? 0 : 80; // owners publish no severity in a trial
        view[i].failsRequests = sample.failsRequests;
        view[i].rampPercent = view[i].onTrial ? 50 : 100;
    }
    const auto config = rotationConfig(service(), view);
    const auto state = rotation(view, config);
    const auto floor = sample.failsRequests ? config.failingFloorSlots : config.floorSlots;
    BOOST_TEST(usableSlots(view, state) >= floor);
    const auto opened = std::ranges::count(state.entries, RotationVerdict::OpenedByFloor,
                                           &RotationEntry::verdict);
    BOOST_TEST(static_cast<std::size_t>(opened) == sample.opened);
}

// Guards against failing endpoints that attract requests: each endpoint that the floor held in
// rotation took and failed 28 requests within one second, because the healthy endpoints were full
// while a failing one always has free slots.
BOOST_AUTO_TEST_CASE(failing_endpoints_attract_no_requests)
{
    constexpr std::size_t Size = 20;
    constexpr std::size_t Failing = 9;
    const auto view = makeView(Size, Failing, 0);
    BOOST_TEST(shareSentToFailing(view, rotationConfig(service(), view), Failing) == 0.0);
}

namespace {

/// Endpoints of a service.
const std::vector<std::size_t> ServiceSizes {4, 8, 30};

} // namespace

// Guards against a service that is closed by its own detectors: of seven endpoints that failed a
// part of their requests four were ejected at once, and the others refused requests for full
// queues.
BOOST_DATA_TEST_CASE(failing_endpoints_do_not_close_the_service, data::make(ServiceSizes), size)
{
    const std::size_t floor = (size * FloorPercent + 99) / 100;
    for (std::size_t failing = 1; failing <= size; ++failing) {
        const auto view = makeView(size, failing, 0);
        const auto counts = rotation(view, rotationConfig(service(), view)).counts();
        BOOST_TEST(counts.ejected <= size - floor, failing << " of " << size << " fail");
    }
}

// Guards against ejection below the floor for failing endpoints, and against ejecting slow
// endpoints below the full floor, in any view.
BOOST_AUTO_TEST_CASE(floors_hold_for_any_view)
{
    test::checkProperty(1000, [] {
        auto view = makeView(*rc::gen::inRange<std::size_t>(1, 40), 0, 0);
        for (auto &endpoint : view) {
            endpoint.severity = *rc::gen::inRange(0U, 4U);
            endpoint.failsRequests = endpoint.severity > 0 && *rc::gen::arbitrary<bool>();
            endpoint.onTrial = endpoint.severity > 0 && *rc::gen::arbitrary<bool>();
        }
        const auto config = rotationConfig(service(), view);
        const auto state = rotation(view, config);
        RC_ASSERT(usableSlots(view, state) == state.slotsInRotation);
        RC_ASSERT(state.slotsInRotation >= config.failingFloorSlots);
        // A slow endpoint is ejected, or limited in its trial, only if the full floor remains.
        for (std::size_t i = 0; i < view.size(); ++i) {
            if (!view[i].failsRequests && view[i].severity > 0
                && admittedSlots(view, state, i) < Slots)
                RC_ASSERT(state.slotsInRotation >= config.floorSlots);
        }
    });
}

// Guards against a held endpoint that fails its requests but counts as the capacity in whose place
// a slow one is ejected. With equal slots the floor that holds the one holds the other.
BOOST_AUTO_TEST_CASE(held_failing_endpoints_are_no_capacity_for_slow_ones)
{
    test::checkProperty(1000, [] {
        auto view = makeView(*rc::gen::inRange<std::size_t>(1, 7), 0, 0);
        for (auto &endpoint : view) {
            endpoint.slots = *rc::gen::inRange(1U, 17U);
            endpoint.severity = *rc::gen::inRange(0U, 4U);
            endpoint.failsRequests = endpoint.severity > 0 && *rc::gen::arbitrary<bool>();
        }
        const auto config = rotationConfig(service(), view);
        const auto state = rotation(view, config);
        std::uint32_t healthy = 0;
        bool isSlowEjected = false;
        for (std::size_t i = 0; i < view.size(); ++i) {
            healthy += view[i].failsRequests ? 0 : admittedSlots(view, state, i);
            isSlowEjected = isSlowEjected
                            || (!view[i].failsRequests
                                && state.entries[i].verdict == RotationVerdict::Ejected);
        }
        if (isSlowEjected)
            RC_ASSERT(healthy >= config.floorSlots);
        RC_ASSERT(usableSlots(view, state) >= config.failingFloorSlots);
    });
}
