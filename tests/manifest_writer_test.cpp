// Tests of apply and drain against the platform stand-in: races, lost responses, data loss.
#define BOOST_TEST_MODULE manifest_writer
#include "berylspur/core/ids.h"
#include "berylspur/ctl/manifest_writer.h"
#include "berylspur/ctl/report.h"
#include "berylspur/customers/customer_table.h"
#include "platform_fixture.h"
#include "property_check.h"

#include <map>
#include <set>

using namespace berylspur;
using test::PlatformFixture;

namespace {

/// A manifest with one service per name. Different \a slots give different content.
schema::Manifest makeManifest(const std::vector<std::string> &names, std::uint32_t slots = 4)
{
    schema::Manifest manifest;
    manifest.set_fleet("f");
    manifest.set_customer_header("X-Customer");
    for (const auto &name : names) {
        auto &service = *manifest.add_services();
        service.set_name(name);
        service.set_endpoints(2);
        service.set_slots(slots);
        service.add_routes()->set_path_prefix("/" + name);
    }
    return manifest;
}

WriteIdentity makeIdentity(const std::string &author)
{
    static Random random(1);
    return {author, RequestId::generate(random).toHex(), 1000};
}

struct ApplyFixture : PlatformFixture
{
    PlatformSession session {base(), address()};
    ManifestWriter writer {session, std::chrono::milliseconds(0)};

    ApplyFixture()
    {
        server.afterWrite = [this](const std::string &name) {
            headWrites += name == ManifestWriter::HeadName ? 1 : 0;
        };
    }

    WriteOutcome apply(const schema::Manifest &manifest, const std::string &author = "ana",
                       const ActiveRevisions &activeRevisions = {})
    {
        return writer.apply(manifest, activeRevisions, makeIdentity(author));
    }
    schema::ManifestHead head()
    {
        schema::ManifestHead content;
        const auto object = server.store().read(ManifestWriter::HeadName);
        BOOST_REQUIRE(object.has_value());
        BOOST_REQUIRE(content.ParseFromString(object->value));
        return content;
    }
    schema::ManifestHead::Entry entry(const std::string &service)
    {
        const auto current = head();
        for (const auto &found : current.entries()) {
            if (found.service() == service)
                return found;
        }
        return {};
    }
    schema::Service content(const std::string &service)
    {
        schema::Service found;
        const auto object =
                server.store().read(ManifestWriter::contentName(service, entry(service).hash()));
        BOOST_REQUIRE(object.has_value());
        found.ParseFromString(object->value);
        return found;
    }
    /// Replaces the head as another author would; \a keepApplyIds keeps the apply id of the old
    /// head.
    void writeAsOther(const schema::Manifest &manifest, bool keepApplyIds)
    {
        schema::ManifestHead next;
        const auto object = server.store().read(ManifestWriter::HeadName);
        schema::ManifestHead old;
        if (object)
            old.ParseFromString(object->value);
        next.set_revision(old.revision() + 1);
        next.set_author("mihai");
        next.set_apply_id("other");
        next.set_customer_header(manifest.customer_header());
        if (keepApplyIds) {
            auto &earlier = *next.add_earlier();
            earlier.set_revision(old.revision());
            earlier.set_apply_id(old.apply_id());
        }
        for (const auto &service : manifest.services()) {
            auto &added = *next.add_entries();
            added.set_service(service.name());
            added.set_hash(ManifestWriter::contentHash(service.SerializeAsString()));
            added.set_revision(next.revision());
        }
        server.store().write(ManifestWriter::HeadName, next.SerializeAsString(), std::nullopt);
    }
    /// Runs \a action just before the first write of the head takes effect.
    void atFirstHeadWrite(const std::function<void()> &action)
    {
        server.beforeWrite = [this, action](const std::string &name) {
            if (name != ManifestWriter::HeadName)
                return;
            const auto run = action;
            server.beforeWrite = nullptr;
            run();
        };
    }

    int headWrites = 0; ///< writes of the head that took effect
};

using Names = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_CASE(first_apply_writes_content_and_head, ApplyFixture)
{
    const auto outcome = apply(makeManifest({"a", "b"}));
    BOOST_TEST(outcome.error.code == ErrorCode::Ok);
    BOOST_TEST(outcome.revision == 1u);
    BOOST_TEST((outcome.changedServices == Names {"a", "b"}));
    BOOST_TEST(head().author() == "ana");
    BOOST_TEST(content("b").slots() == 4u);
}

// Guards against needless writes: a repeated apply must not trigger a reload on every node.
BOOST_FIXTURE_TEST_CASE(same_manifest_again_writes_nothing, ApplyFixture)
{
    apply(makeManifest({"a", "b"}));
    const auto writes = server.accounting().write;
    const auto outcome = apply(makeManifest({"b", "a"}));
    BOOST_TEST(outcome.isUnchanged);
    BOOST_TEST(outcome.revision == 1u);
    BOOST_TEST(server.accounting().write == writes);
}

// Guards against a change of one service that nodes see as a change of all services.
BOOST_FIXTURE_TEST_CASE(only_changed_services_get_the_new_revision, ApplyFixture)
{
    apply(makeManifest({"a", "b", "c"}));
    auto next = makeManifest({"a", "b"});
    next.mutable_services(1)->set_slots(9);
    const auto outcome = apply(next);
    BOOST_TEST((outcome.changedServices == Names {"b", "c"}));
    BOOST_TEST(entry("a").revision() == 1u);
    BOOST_TEST(entry("b").revision() == 2u);
    BOOST_TEST(entry("c").revision() == 2u);
    BOOST_TEST(entry("c").hash().empty());
}

// Guards against nodes that keep the old customer header, which they store with each service.
BOOST_FIXTURE_TEST_CASE(new_customer_header_changes_all_services, ApplyFixture)
{
    apply(makeManifest({"a", "b"}));
    auto next = makeManifest({"a", "b"});
    next.set_customer_header("X-Hotel");
    BOOST_TEST((apply(next).changedServices == Names {"a", "b"}));
    BOOST_TEST(entry("a").revision() == 2u);
}

// Guards against two accepted writes of one revision, and against a conflict report without the
// winning author or the differing services.
BOOST_FIXTURE_TEST_CASE(loser_of_a_race_learns_who_won, ApplyFixture)
{
    apply(makeManifest({"a", "b", "c"}));
    const auto other = makeManifest({"a", "b", "d"}, 4);
    atFirstHeadWrite([&] { writeAsOther(other, true); });
    auto own = makeManifest({"a", "b", "c"});
    own.mutable_services(0)->set_slots(7);
    const auto outcome = apply(own, "ana");
    BOOST_TEST(outcome.error.code == ErrorCode::ManifestConflict);
    BOOST_REQUIRE(outcome.winner.has_value());
    BOOST_TEST(outcome.winner->author == "mihai");
    BOOST_TEST(outcome.winner->revision == 2u);
    BOOST_TEST((outcome.differingServices == Names {"a", "c", "d"}));
    BOOST_TEST(head().author() == "mihai");
    BOOST_TEST(headWrites == 1);
}

// Guards against a second write, or a reported failure, after a lost response.
BOOST_FIXTURE_TEST_CASE(lost_response_is_found_by_apply_id, ApplyFixture)
{
    atFirstHeadWrite([this] { server.faults().loseWriteResponses = 1; });
    const auto outcome = apply(makeManifest({"a"}));
    BOOST_TEST(outcome.error.code == ErrorCode::Ok);
    BOOST_TEST(outcome.isRecovered);
    BOOST_TEST(outcome.revision == 1u);
    BOOST_TEST(headWrites == 1);
    BOOST_TEST(head().author() == "ana");
}

// Guards against a reported conflict when the write took effect, its response was lost, and another
// write replaced it before the head was read again.
BOOST_FIXTURE_TEST_CASE(lost_response_then_replaced_is_accepted, ApplyFixture)
{
    apply(makeManifest({"a"}));
    atFirstHeadWrite([this] {
        server.faults().loseWriteResponses = 1;
        server.beforeRead = [this](const std::string &) {
            server.beforeRead = nullptr;
            writeAsOther(makeManifest({"a"}, 8), true);
        };
    });
    const auto outcome = apply(makeManifest({"a", "b"}));
    BOOST_TEST(outcome.error.code == ErrorCode::Ok);
    BOOST_TEST(outcome.isRecovered);
    BOOST_TEST(outcome.revision == 2u);
    BOOST_REQUIRE(outcome.winner.has_value());
    BOOST_TEST(outcome.winner->author == "mihai");
    BOOST_TEST(outcome.winner->revision == 3u);
    BOOST_TEST((outcome.differingServices == Names {"a", "b"}));
}

// Guards against replacing the head twice when a response is lost and the platform returns older
// data.
BOOST_FIXTURE_TEST_CASE(lost_response_and_old_data_take_effect_once, ApplyFixture)
{
    apply(makeManifest({"a"}));
    int reads = 0;
    atFirstHeadWrite([&] {
        server.faults().loseWriteResponses = 1;
        server.store().holdSnapshot();
        server.beforeRead = [&](const std::string &) {
            if (++reads == 13)
                server.store().releaseSnapshot();
        };
    });
    const auto outcome = apply(makeManifest({"a", "b"}));
    BOOST_TEST(outcome.error.code == ErrorCode::Ok);
    BOOST_TEST(outcome.isRecovered);
    BOOST_TEST(headWrites == 2);
    BOOST_TEST(head().revision() == 2u);
}

// Guards against a reported failure when the request was lost and a retry would succeed.
BOOST_FIXTURE_TEST_CASE(lost_request_is_sent_again, ApplyFixture)
{
    atFirstHeadWrite([this] { server.faults().dropWrites = 1; });
    const auto outcome = apply(makeManifest({"a"}));
    BOOST_TEST(outcome.error.code == ErrorCode::Ok);
    BOOST_TEST(headWrites == 1);
}

// Guards against an unknown outcome that is reported as success or as failure.
BOOST_FIXTURE_TEST_CASE(outage_after_a_lost_response_is_unknown, ApplyFixture)
{
    atFirstHeadWrite([this] {
        server.faults().loseWriteResponses = 1;
        server.beforeRead = nullptr;
        server.afterWrite = [this](const std::string &) { server.faults().outage = true; };
    });
    const auto manifest = makeManifest({"a"});
    const auto outcome = apply(manifest);
    BOOST_TEST(outcome.error.code == ErrorCode::PlatformTimeout);
    BOOST_TEST((exitStatusOf(outcome.error.code) == ExitStatus::OutcomeUnknown));
    server.faults().outage = false;
    server.afterWrite = nullptr;
    BOOST_TEST(apply(manifest).isUnchanged);
}

// Guards against a head that refers to missing content objects.
BOOST_FIXTURE_TEST_CASE(outage_during_content_leaves_the_head, ApplyFixture)
{
    apply(makeManifest({"a"}));
    server.beforeWrite = [this](const std::string &) { server.faults().outage = true; };
    const auto outcome = apply(makeManifest({"a", "b", "c"}));
    BOOST_TEST(outcome.error.code == ErrorCode::PlatformUnreachable);
    server.faults().outage = false;
    BOOST_TEST(head().revision() == 1u);
}

// Guards against a failed apply when only responses to content writes were lost.
BOOST_FIXTURE_TEST_CASE(lost_responses_of_content_writes_do_no_harm, ApplyFixture)
{
    server.faults().loseWriteResponses = 3;
    BOOST_TEST(apply(makeManifest({"a", "b", "c"})).error.code == ErrorCode::Ok);
    BOOST_TEST(content("c").slots() == 4u);
    BOOST_TEST(headWrites == 1);
}

// Guards against an apply that is based on an older head, which the platform returned.
BOOST_FIXTURE_TEST_CASE(old_head_cannot_be_replaced, ApplyFixture)
{
    apply(makeManifest({"a"}));
    server.store().holdSnapshot();
    writeAsOther(makeManifest({"a"}, 8), true);
    server.beforeWrite = [this](const std::string &name) {
        if (name == ManifestWriter::HeadName)
            server.store().releaseSnapshot();
    };
    const auto outcome = apply(makeManifest({"a", "b"}));
    BOOST_TEST(outcome.error.code == ErrorCode::ManifestConflict);
    BOOST_TEST(outcome.winner.value().author == "mihai");
}

// Guards against nodes that ignore a new manifest after the platform lost its data, and against
// services that stay active because the platform no longer lists them.
BOOST_FIXTURE_TEST_CASE(manifest_after_lost_data_is_above_what_nodes_have, ApplyFixture)
{
    apply(makeManifest({"a", "b"}));
    server.store().loseAllData();
    const ActiveRevisions activeRevisions {41, {{"a", 7}, {"b", 41}, {"gone", 3}}};
    const auto outcome = apply(makeManifest({"a", "b"}), "ana", activeRevisions);
    BOOST_TEST(outcome.error.code == ErrorCode::Ok);
    BOOST_TEST(outcome.revision == 42u);
    for (const auto *name : {"a", "b", "gone"})
        BOOST_TEST(entry(name).revision() == 42u);
    BOOST_TEST(entry("gone").hash().empty());
    BOOST_TEST(content("a").name() == "a");
}

// Guards against entries that keep a revision below that of the nodes after the platform lost data.
BOOST_FIXTURE_TEST_CASE(old_head_after_lost_data_is_renewed, ApplyFixture)
{
    apply(makeManifest({"a", "b"}));
    const auto outcome = apply(makeManifest({"a", "b"}), "ana", {5, {{"a", 5}, {"b", 1}}});
    BOOST_TEST(outcome.revision == 6u);
    BOOST_TEST(entry("a").revision() == 6u);
    BOOST_TEST(entry("b").revision() == 6u);
}

BOOST_FIXTURE_TEST_CASE(drain_and_undo_go_through_the_head, ApplyFixture)
{
    apply(makeManifest({"a", "b"}));
    const auto drained = writer.drain("a", "a-1", false, {}, makeIdentity("ana"));
    BOOST_TEST(drained.error.code == ErrorCode::Ok);
    BOOST_TEST(drained.revision == 2u);
    BOOST_REQUIRE(content("a").drain_size() == 1);
    BOOST_TEST(content("a").drain(0) == "a-1");
    BOOST_TEST(entry("b").revision() == 1u);
    BOOST_TEST(writer.drain("a", "a-1", false, {}, makeIdentity("ana")).isUnchanged);
    BOOST_TEST(headWrites == 2);

    // An apply replaces the whole manifest, drain lists included; it must report what it undrains.
    const auto applied = apply(makeManifest({"a", "b"}));
    BOOST_TEST((applied.undrained == Names {"a: a-1"}));
    BOOST_TEST(content("a").drain_size() == 0);

    writer.drain("a", "a-1", false, {}, makeIdentity("ana"));
    writer.drain("a", "n2", false, {}, makeIdentity("ana"));
    const auto undoOutcome = writer.drain("a", "a-1", true, {}, makeIdentity("ana"));
    BOOST_TEST(undoOutcome.error.code == ErrorCode::Ok);
    BOOST_REQUIRE(content("a").drain_size() == 1);
    BOOST_TEST(content("a").drain(0) == "n2");
    BOOST_TEST(writer.drain("a", "a-1", true, {}, makeIdentity("ana")).isUnchanged);
}

BOOST_FIXTURE_TEST_CASE(drain_refuses_what_it_cannot_do, ApplyFixture)
{
    apply(makeManifest({"a"}));
    const auto code = [&](const std::string &service, const std::string &target,
                          const ActiveRevisions &activeRevisions) {
        return writer.drain(service, target, false, activeRevisions, makeIdentity("ana"))
                .error.code;
    };
    BOOST_TEST(code("x", "a-1", {}) == ErrorCode::CommandUsage);
    BOOST_TEST(code("a", "A 1", {}) == ErrorCode::CommandUsage);
    BOOST_TEST(code("a", std::string(100000, 'a'), {}) == ErrorCode::CommandUsage);
    // The head is older than that of the nodes: a drain would reactivate old content.
    BOOST_TEST(code("a", "a-1", {9, {}}) == ErrorCode::PlatformOlderData);
    BOOST_TEST(headWrites == 1);
}

// Guards against a drain that overwrites a manifest accepted after the drain read the head.
BOOST_FIXTURE_TEST_CASE(drain_loses_a_race_like_apply, ApplyFixture)
{
    apply(makeManifest({"a"}));
    atFirstHeadWrite([this] { writeAsOther(makeManifest({"a"}, 8), true); });
    const auto outcome = writer.drain("a", "a-1", false, {}, makeIdentity("ana"));
    BOOST_TEST(outcome.error.code == ErrorCode::ManifestConflict);
    BOOST_TEST(outcome.winner.value().author == "mihai");
}

// Guards against an accepted manifest that is missing from the history of the head, and against a
// rejected one that is in it, for random sequences of applies, races, lost requests and responses.
BOOST_AUTO_TEST_CASE(accepted_means_in_the_history_of_the_head)
{
    test::checkProperty(200, [] {
        ApplyFixture fixture;
        std::map<std::string, bool> accepted;
        std::uint64_t revision = 0;
        const int steps = *rc::gen::inRange(1, 12);
        for (int i = 0; i < steps; ++i) {
            const int fault = *rc::gen::inRange(0, 6);
            const auto slots = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
            const auto names = *rc::gen::elementOf(
                    std::vector<Names> {{"a"}, {"a", "b"}, {"b", "c"}, {"a", "b", "c"}});
            const auto manifest = makeManifest(names, slots);
            fixture.atFirstHeadWrite([&] {
                if (fault == 0)
                    fixture.server.faults().loseWriteResponses = 1;
                if (fault == 1)
                    fixture.server.faults().dropWrites = 1;
                if (fault == 2)
                    fixture.writeAsOther(makeManifest({"a"}, slots + 10), true);
                if (fault == 3) {
                    fixture.server.faults().loseWriteResponses = 1;
                    fixture.server.beforeRead = [&](const std::string &) {
                        fixture.server.beforeRead = nullptr;
                        fixture.writeAsOther(makeManifest({"b"}, slots + 10), true);
                    };
                }
            });
            const auto id = makeIdentity("ana");
            const auto outcome = fixture.writer.apply(manifest, {}, id);
            fixture.server.beforeRead = nullptr;
            fixture.server.beforeWrite = nullptr;
            fixture.server.faults() = {};
            if (!outcome.isUnchanged)
                accepted[id.applyId] = outcome.error.code == ErrorCode::Ok;
            RC_ASSERT((outcome.error.code == ErrorCode::ManifestConflict)
                      == (fault == 2 && !outcome.isUnchanged));

            const auto head = fixture.head();
            RC_ASSERT(head.revision() >= revision);
            revision = head.revision();
            std::set<std::string> history {head.apply_id()};
            for (const auto &earlier : head.earlier())
                history.insert(earlier.apply_id());
            RC_ASSERT(history.contains(id.applyId)
                      == (accepted.contains(id.applyId) && accepted.at(id.applyId)));
            if (head.author() != "ana")
                continue;
            for (const auto &entry : head.entries()) {
                const auto name = ManifestWriter::contentName(entry.service(), entry.hash());
                RC_ASSERT(entry.hash().empty() || fixture.server.store().read(name).has_value());
            }
        }
    });
}

// Guards against a change of one customer that rewrites all of them, against customers who stay
// after the manifest has lost them, and against a drain that drops them.
BOOST_FIXTURE_TEST_CASE(only_changed_customer_shards_get_the_new_revision, ApplyFixture)
{
    auto manifest = makeManifest({"a"});
    for (const auto *name : {"x", "y"}) {
        auto &customer = *manifest.add_customers();
        customer.set_name(name);
        customer.add_keys(std::string("key-") + name);
    }
    const auto shardOf = [this](const std::string &name) {
        const auto current = head();
        for (const auto &entry : current.customer_entries()) {
            if (entry.shard() == customerShard(name))
                return entry;
        }
        return schema::ManifestHead::CustomerEntry();
    };
    BOOST_TEST(apply(manifest).customersChanged);
    BOOST_TEST(apply(manifest).isUnchanged);
    manifest.mutable_customers(0)->set_rate(5);
    const auto outcome = apply(manifest);
    BOOST_TEST(outcome.customersChanged);
    BOOST_TEST(outcome.changedServices.empty());
    BOOST_TEST(shardOf("x").revision() == 2U);
    BOOST_TEST(shardOf("y").revision() == 1U);
    schema::CustomerShard content;
    const auto object = server.store().read(
            ManifestWriter::customerContentName(customerShard("x"), shardOf("x").hash()));
    BOOST_REQUIRE(object.has_value());
    BOOST_REQUIRE(content.ParseFromString(object->value));
    BOOST_TEST(content.customers(0).rate() == 5U);
    writer.drain("a", "node-1", false, {}, makeIdentity("ana"));
    BOOST_TEST(!shardOf("x").hash().empty());
    apply(makeManifest({"a"}));
    BOOST_TEST(shardOf("x").hash().empty());
    BOOST_TEST(shardOf("x").revision() == 4U);
    BOOST_TEST(apply(makeManifest({"a"})).isUnchanged);
    // After data loss, nodes may hold customers that the platform no longer lists.
    ActiveRevisions active;
    active.revision = 9;
    apply(makeManifest({"a"}), "ana", active);
    BOOST_TEST(head().customer_entries_size() == static_cast<int>(CustomerShards));
    BOOST_TEST(shardOf("y").revision() == 10U);
}
