// Endpoint choice of a gate.
#define BOOST_TEST_MODULE endpoint_picker
#include "berylspur/routing/endpoint_picker.h"
#include "routing_views.h"

#include <boost/test/data/test_case.hpp>
#include <map>
#include <optional>
#include <ostream>
#include <unordered_set>

using namespace berylspur;
using namespace berylspur::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start {1000s};

/// Counts of 400 picks by index.
std::map<std::size_t, int> pickCounts(EndpointPicker &picker, const std::vector<EndpointView> &view,
                                      const std::unordered_set<std::string> &excluded,
                                      TimePoint now)
{
    Random random(11);
    std::map<std::size_t, int> counts;
    const Rotation all = rotation(view, {});
    for (int i = 0; i < 400; ++i) {
        if (const auto pick = picker.pick(view, all, excluded, now, random))
            ++counts[*pick];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(picker)

// Guards against traffic to other failure domains while the gate's own has free slots.
BOOST_AUTO_TEST_CASE(own_failure_domain_goes_first)
{
    const auto view = makeView({"a", "b", "b", "c"});
    EndpointPicker picker("b");
    auto counts = pickCounts(picker, view, {}, Start);
    BOOST_TEST(counts.size() == 2U);
    BOOST_TEST((counts[1] > 0 && counts[2] > 0));

    picker.onLoadReported("e1", {4, 0, 3, 10ms}, Start);
    counts = pickCounts(picker, view, {}, Start);
    BOOST_TEST(counts[2] == 400);

    picker.onLoadReported("e2", {4, 0, 1, 10ms}, Start);
    counts = pickCounts(picker, view, {}, Start);
    BOOST_TEST(counts[1] + counts[2] < 200);
    BOOST_TEST((counts[0] > 0 && counts[3] > 0));
}

// Guards against endpoints of the own failure domain that are filled to the last slot while others
// are idle: where domains have unequal numbers of endpoints, the busiest got five times the
// requests of the idlest.
BOOST_DATA_TEST_CASE(nearly_full_endpoint_of_the_own_domain_is_not_preferred,
                     data::make({1U, 2U, 3U, 4U}), freeSlots)
{
    constexpr std::uint32_t Slots = 6;
    const auto view = makeView({"a", "b", "c"});
    EndpointPicker picker("b");
    for (const char *other : {"e0", "e2"})
        picker.onLoadReported(other, {Slots, Slots, 0, 10ms}, Start);
    picker.onLoadReported("e1", {Slots, freeSlots, 0, 10ms}, Start);
    const auto counts = pickCounts(picker, view, {}, Start);
    const bool isRoomy = 5 * freeSlots > Slots;
    BOOST_TEST(counts.contains(1) == isRoomy);
    BOOST_TEST(counts.contains(0) == !isRoomy);
}

struct NearCase
{
    const char *name;
    ReportedLoad own; ///< of the endpoint on the gate's host
    ReportedLoad domain; ///< of the other endpoint in its failure domain
    std::optional<std::size_t> picked;
};

std::ostream &operator<<(std::ostream &out, const NearCase &sample)
{
    return out << sample.name;
}

// Guards against large bodies that cross the network, or failure domains, while a near endpoint
// could take them in time, and against near endpoints that are preferred whatever their queue.
BOOST_DATA_TEST_CASE(
        large_bodies_stay_near_unless_they_would_wait,
        data::make({
                NearCase {"free slot on the host", {4, 1, 0, 500ms}, {4, 4, 0, 500ms}, 1},
                NearCase {"host full", {4, 0, 2, 500ms}, {4, 1, 0, 500ms}, 2},
                NearCase {"short queues", {4, 0, 3, 500ms}, {4, 0, 2, 500ms}, 2},
                NearCase {"long queues", {4, 0, 9, 500ms}, {4, 0, 9, 500ms}, {}},
        }),
        sample)
{
    auto view = makeView({"a", "b", "b", "c"});
    view[1].node = "host";
    EndpointPicker picker("b");
    picker.onLoadReported("e1", sample.own, Start);
    picker.onLoadReported("e2", sample.domain, Start);
    Random random(3);
    const auto picked = picker.pickNear(view, rotation(view, {}), {}, "host", 1s, Start, random);
    BOOST_TEST((picked == sample.picked));
}

// Guards against a retry at the endpoint that refused the request, and against ejected endpoints
// being picked.
BOOST_AUTO_TEST_CASE(excluded_and_ejected_are_not_picked)
{
    checkProperty(1000, [] {
        const auto view = drawView();
        const Rotation in = rotation(view, {*rc::gen::inRange<std::uint32_t>(0, 120)});
        std::unordered_set<std::string> excluded;
        std::size_t left = 0;
        for (std::size_t i = 0; i < view.size(); ++i) {
            if (*rc::gen::arbitrary<bool>())
                excluded.insert(view[i].id);
            else if (isIn(in.entries[i].verdict))
                ++left;
        }
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        for (const PickMode mode : {PickMode::OwnerLoad, PickMode::TwoRandom}) {
            EndpointPicker picker("domain-1", mode);
            for (int i = 0; i < 20; ++i) {
                const auto pick = picker.pick(view, in, excluded, Start, random);
                RC_ASSERT(pick.has_value() == (left > 0));
                if (!pick)
                    break;
                RC_ASSERT(excluded.count(view[*pick].id) == 0);
                RC_ASSERT(isIn(in.entries[*pick].verdict));
                picker.onRequestSent(view[*pick].id);
            }
        }
    });
}

// Guards against a biased choice that leaves endpoints idle, in small and large services.
BOOST_DATA_TEST_CASE(idle_endpoints_share_evenly, data::make({2, 5, 8, 40}), size)
{
    const auto view = makeView(std::vector<std::string>(static_cast<std::size_t>(size), "a"));
    EndpointPicker picker("a");
    const Rotation all = rotation(view, {});
    Random random(5);
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 1000 * size; ++i)
        ++counts[*picker.pick(view, all, {}, Start, random)];
    for (int i = 0; i < size; ++i) {
        BOOST_TEST(counts[static_cast<std::size_t>(i)] > 850);
        BOOST_TEST(counts[static_cast<std::size_t>(i)] < 1150);
    }
}

// Guards against an endpoint that is avoided forever: its last report showed a long queue, and
// without requests no new report arrives.
BOOST_AUTO_TEST_CASE(stale_report_ages_out)
{
    const auto view = makeView({"a", "a"});
    EndpointPicker picker("a");
    picker.onLoadReported("e0", {4, 0, 50, 100ms}, Start);
    BOOST_TEST(pickCounts(picker, view, {}, Start)[0] == 0);
    const auto later = pickCounts(picker, view, {}, Start + EndpointPicker::ReportLifetime);
    BOOST_TEST(later.at(0) > 100);
}

// Guards against a burst within one round trip that goes entirely to the endpoint last reported
// free.
BOOST_AUTO_TEST_CASE(own_requests_since_the_report_count)
{
    const auto view = makeView({"a", "a"});
    EndpointPicker picker("a");
    picker.onLoadReported("e0", {4, 4, 0, 10ms}, Start);
    picker.onLoadReported("e1", {4, 4, 0, 10ms}, Start);
    Random random(3);
    const Rotation all = rotation(view, {});
    std::map<std::size_t, int> sent;
    for (int i = 0; i < 8; ++i) {
        const auto pick = picker.pick(view, all, {}, Start, random);
        picker.onRequestSent(view[*pick].id);
        ++sent[*pick];
    }
    BOOST_TEST(sent[0] == 4);
    BOOST_TEST(sent[1] == 4);
    for (int i = 0; i < 4; ++i)
        picker.onRequestEnded("e0");
    BOOST_TEST(pickCounts(picker, view, {}, Start)[0] == 400);
}

// Guards against memory growth with each endpoint that ever existed.
BOOST_AUTO_TEST_CASE(retain_forgets)
{
    EndpointPicker picker("a");
    picker.onRequestSent("e0");
    picker.onLoadReported("e1", {}, Start);
    picker.onRequestEnded("unknown");
    BOOST_TEST(picker.size() == 2U);
    picker.retain({"e1"});
    BOOST_TEST(picker.size() == 1U);
    picker.onRequestEnded("e0");
    BOOST_TEST(picker.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
