// Rotation and its floor.
#define BOOST_TEST_MODULE rotation
#include "berylspur/core/ids.h"
#include "berylspur/routing/rotation.h"
#include "routing_views.h"

#include <algorithm>
#include <map>
#include <set>

using namespace berylspur;
using namespace berylspur::test;

namespace {

bool isReady(const EndpointView &endpoint)
{
    return endpoint.ownerAlive && endpoint.readiness == EndpointReadiness::Ready;
}

std::uint32_t readySlots(const std::vector<EndpointView> &view)
{
    std::uint32_t slots = 0;
    for (const EndpointView &endpoint : view)
        slots += isReady(endpoint) ? endpoint.slots : 0;
    return slots;
}

/// Ready slots of \a view that \a rotation leaves in rotation.
std::uint32_t slotsLeft(const std::vector<EndpointView> &view, const Rotation &rotation)
{
    std::uint32_t slots = 0;
    for (const RotationEntry &entry : rotation.entries) {
        if (isIn(entry.verdict) && isReady(view[entry.endpoint]))
            slots += view[entry.endpoint].slots;
    }
    return slots;
}

std::map<std::string, RotationVerdict> verdictsById(const std::vector<EndpointView> &view,
                                                    const RotationConfig &config)
{
    std::map<std::string, RotationVerdict> verdicts;
    for (const RotationEntry &entry : rotation(view, config).entries)
        verdicts[view[entry.endpoint].id] = entry.verdict;
    return verdicts;
}

/// View of a node on one side of a partition: some owners unreachable, different suspicions.
std::vector<EndpointView> drawOtherView(std::vector<EndpointView> view)
{
    for (EndpointView &endpoint : view) {
        endpoint.ownerAlive = endpoint.ownerAlive && *rc::gen::arbitrary<bool>();
        endpoint.severity = *rc::gen::inRange(0U, 5U);
    }
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rotation_floor)

// Guards against ejection below the floor (invariant 1), and against endpoints that serve no
// requests being counted as capacity.
BOOST_AUTO_TEST_CASE(floor_holds_for_any_view)
{
    checkProperty(2000, [] {
        const auto view = drawView();
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 200);
        const Rotation result = rotation(view, {floor});
        RC_ASSERT(slotsLeft(view, result) >= std::min(floor, readySlots(view)));
        RC_ASSERT(slotsLeft(view, result) == result.slotsInRotation);
        RC_ASSERT(result.entries.size() == view.size());
        std::set<std::uint32_t> admitted(result.admitted.begin(), result.admitted.end());
        RC_ASSERT(admitted.size() == result.admitted.size());
        for (std::size_t i = 0; i < view.size(); ++i) {
            const RotationVerdict verdict = result.entries[i].verdict;
            RC_ASSERT(result.entries[i].endpoint == i);
            RC_ASSERT(isIn(verdict) == (admitted.count(static_cast<std::uint32_t>(i)) == 1));
            RC_ASSERT(!isIn(verdict) || isReady(view[i]));
            RC_ASSERT(verdict != RotationVerdict::Ejected || view[i].severity > 0);
        }
    });
}

// Guards against ejecting a suspect while a more severe one of the same size stays in rotation.
BOOST_AUTO_TEST_CASE(most_severe_suspect_is_ejected_first)
{
    checkProperty(2000, [] {
        const auto view = drawView();
        const Rotation result = rotation(view, {*rc::gen::inRange<std::uint32_t>(0, 120)});
        for (std::size_t held = 0; held < view.size(); ++held) {
            if (result.entries[held].verdict != RotationVerdict::HeldByFloor)
                continue;
            for (std::size_t gone = 0; gone < view.size(); ++gone) {
                if (result.entries[gone].verdict == RotationVerdict::Ejected
                    && view[gone].slots >= view[held].slots)
                    RC_ASSERT(view[gone].severity >= view[held].severity);
            }
        }
    });
}

// Guards against nodes with the same view that eject different endpoints and so go below the floor
// together.
BOOST_AUTO_TEST_CASE(order_of_the_view_does_not_matter)
{
    checkProperty(1000, [] {
        auto view = drawView();
        const RotationConfig config {*rc::gen::inRange<std::uint32_t>(0, 120)};
        const auto before = verdictsById(view, config);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(view.begin(), view.end(), random);
        RC_ASSERT(verdictsById(view, config) == before);
    });
}

// Guards against a self-inflicted outage when a common cause makes all endpoints look faulty at
// once.
BOOST_AUTO_TEST_CASE(all_suspect_ejects_down_to_the_floor_only)
{
    checkProperty(1000, [] {
        auto view = drawView();
        for (EndpointView &endpoint : view) {
            endpoint.slots = 4;
            endpoint.severity = *rc::gen::inRange(1U, 5U);
        }
        const std::uint32_t ready = readySlots(view);
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 160);
        const std::uint32_t roundedUp = (floor + 3) / 4 * 4;
        RC_ASSERT(slotsLeft(view, rotation(view, {floor})) == std::min(roundedUp, ready));
    });
}

// Guards against ejections on one side of a partition that count on capacity of the other side.
BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_keep_the_floor)
{
    checkProperty(1000, [] {
        const auto left = drawView();
        const auto right = drawOtherView(left);
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 120);
        for (const auto &view : {left, right})
            RC_ASSERT(slotsLeft(view, rotation(view, {floor}))
                      >= std::min(floor, readySlots(view)));
    });
}

// Guards against draining, cold or unreachable endpoints being counted as capacity that allows
// further ejections.
BOOST_AUTO_TEST_CASE(endpoints_without_capacity_allow_no_ejections)
{
    auto view = makeView({"a", "a", "a", "a"});
    view[0].severity = 3;
    view[1].readiness = EndpointReadiness::Draining;
    view[2].readiness = EndpointReadiness::Cold;
    view[3].ownerAlive = false;
    const Rotation held = rotation(view, {4});
    BOOST_TEST((held.entries[0].verdict == RotationVerdict::HeldByFloor));
    BOOST_TEST((held.entries[1].verdict == RotationVerdict::NotReady));
    BOOST_TEST((held.entries[2].verdict == RotationVerdict::NotReady));
    BOOST_TEST((held.entries[3].verdict == RotationVerdict::OwnerGone));
    BOOST_TEST(held.slotsInRotation == 4U);
    view[1].readiness = EndpointReadiness::Ready;
    BOOST_TEST((rotation(view, {4}).entries[0].verdict == RotationVerdict::Ejected));
}

BOOST_AUTO_TEST_SUITE_END()
