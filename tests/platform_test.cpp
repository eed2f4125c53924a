// Client of the platform's object API against the platform stand-in, with each fault that the
// stand-in can inject.
#define BOOST_TEST_MODULE platform
#include "platform_fixture.h"

using namespace berylspur;
using test::codeOf;
using test::PlatformFixture;

// Guards against a conditional update that overwrites what another writer stored.
BOOST_FIXTURE_TEST_CASE(conditional_write_has_one_winner, PlatformFixture)
{
    const auto first = write("a/b:c", "one", NoObject);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(codeOf(write("a/b:c", "two", NoObject)) == ErrorCode::PlatformConflict);
    const auto second = write("a/b:c", "three", first.value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second.value().isNewerThan(first.value()));
    BOOST_TEST(codeOf(write("a/b:c", "four", first.value())) == ErrorCode::PlatformConflict);
    const auto object = read("a/b:c");
    BOOST_REQUIRE(object.has_value());
    BOOST_TEST(object.value().value == "three");
    BOOST_TEST(object.value().version == second.value());
}

// Guards against a list with objects outside of the prefix or in the wrong order, values that are
// not binary-safe, and a removal that reports success for a missing object.
BOOST_FIXTURE_TEST_CASE(remove_and_list, PlatformFixture)
{
    BOOST_TEST(write("p/2", "").has_value());
    BOOST_TEST(write("p/1", std::string("\0\xff", 2)).has_value());
    BOOST_TEST(write("q", "").has_value());
    const auto list = wait<std::vector<PlatformObject>>(
            [this](auto done) { client.list("p/", std::move(done)); });
    BOOST_REQUIRE(list.has_value());
    BOOST_REQUIRE(list.value().size() == 2u);
    BOOST_TEST(list.value()[0].name == "p/1");
    BOOST_TEST((read("p/1").value().value == std::string("\0\xff", 2)));
    const auto removed = wait<void>([this](auto done) { client.remove("p/1", std::move(done)); });
    BOOST_TEST(removed.has_value());
    BOOST_TEST(codeOf(read("p/1")) == ErrorCode::PlatformNotFound);
    const auto again = wait<void>([this](auto done) { client.remove("p/1", std::move(done)); });
    BOOST_TEST(codeOf(again) == ErrorCode::PlatformNotFound);
}

// Guards against a watch that misses a write or costs more than one call while it waits.
BOOST_FIXTURE_TEST_CASE(watch_waits_for_the_next_version, PlatformFixture)
{
    const auto first = write("config/head", "one").value();
    std::optional<Result<PlatformObject>> seen;
    client.watch("config/head", first,
                 [&seen](Result<PlatformObject> object) { seen.emplace(object); });
    BOOST_TEST(write("other/x", "x").has_value());
    BOOST_TEST(!seen.has_value());
    BOOST_TEST(write("config/head", "two").has_value());
    runUntil([&seen] { return seen.has_value(); });
    BOOST_REQUIRE(seen->has_value());
    BOOST_TEST(seen->value().value == "two");
    BOOST_TEST(server.accounting().watch == 1u);
}

// Guards against a watch that ends when another object of the kind changes.
BOOST_FIXTURE_TEST_CASE(watch_continues_after_a_change_of_another_object, PlatformFixture)
{
    const auto first = write("config/head", "one").value();
    std::optional<Result<PlatformObject>> seen;
    client.watch("config/head", first,
                 [&seen](Result<PlatformObject> object) { seen.emplace(object); });
    runUntil([this] { return server.pendingCalls() == 1; });
    BOOST_TEST(write("config/other", "x").has_value());
    runUntil([this] { return server.accounting().watch == 2; });
    BOOST_TEST(!seen.has_value());
    BOOST_TEST(write("config/head", "two").has_value());
    runUntil([&seen] { return seen.has_value(); });
    BOOST_TEST(seen->value().value == "two");
}

// Guards against a watch that never ends once the store has compacted the history it continues
// from.
BOOST_FIXTURE_TEST_CASE(watch_survives_compaction, PlatformFixture)
{
    const auto first = write("config/head", "one").value();
    std::optional<Result<PlatformObject>> seen;
    client.watch("config/head", first,
                 [&seen](Result<PlatformObject> object) { seen.emplace(object); });
    runUntil([this] { return server.pendingCalls() == 1; });
    server.store().write("config/head", "two", first.revision); // bypasses the watch notification
    server.compact();
    runUntil([&seen] { return seen.has_value(); });
    BOOST_TEST(seen->value().value == "two");
}

// Guards against a list that stops after its first page.
BOOST_FIXTURE_TEST_CASE(list_reads_all_pages, PlatformFixture)
{
    constexpr int Objects = 1203;
    for (int i = 0; i < Objects; ++i)
        server.put("many/" + std::to_string(10000 + i), "x");
    const auto list = wait<std::vector<PlatformObject>>(
            [this](auto done) { client.list("many/", std::move(done)); });
    BOOST_REQUIRE(list.has_value());
    BOOST_TEST(list.value().size() == static_cast<std::size_t>(Objects));
}

// Guards against treating status 429 as a valid response.
BOOST_FIXTURE_TEST_CASE(too_many_calls_are_unreachable, PlatformFixture)
{
    server.faults().tooMany = 1;
    BOOST_TEST(codeOf(write("a/b", "x", NoObject)) == ErrorCode::PlatformUnreachable);
    BOOST_TEST(write("a/b", "x", NoObject).has_value());
}

// Guards against reporting a write as failed when only its response was lost: the write took
// effect, so the result code must leave the outcome open.
BOOST_FIXTURE_TEST_CASE(lost_response_of_a_write_is_a_timeout, PlatformFixture)
{
    server.faults().loseWriteResponses = 1;
    BOOST_TEST(codeOf(write("a", "one", NoObject)) == ErrorCode::PlatformTimeout);
    BOOST_TEST(read("a").value().value == "one");
    BOOST_TEST(codeOf(write("a", "one", NoObject)) == ErrorCode::PlatformConflict);
}

// Guards against reporting an outage as a missing object.
BOOST_FIXTURE_TEST_CASE(outage_is_unreachable, PlatformFixture)
{
    server.faults().outage = true;
    BOOST_TEST(codeOf(read("a")) == ErrorCode::PlatformUnreachable);
    BOOST_TEST(codeOf(write("a", "x")) == ErrorCode::PlatformUnreachable);
    server.faults().outage = false;
    BOOST_TEST(codeOf(read("a")) == ErrorCode::PlatformNotFound);
}

// Guards against reporting an unknown outcome for a write that never reached the platform.
BOOST_FIXTURE_TEST_CASE(refused_connection_is_unreachable, PlatformFixture)
{
    PlatformClient unreachable(base(), Address {"127.0.0.1", 1});
    const auto result = wait<ObjectVersion>([&unreachable](auto done) {
        unreachable.write("a", "x", std::nullopt, std::move(done));
    });
    BOOST_TEST(codeOf(result) == ErrorCode::PlatformUnreachable);
}

// Guards against a call that never ends because the platform accepts it and sends no response.
BOOST_FIXTURE_TEST_CASE(missing_response_is_a_timeout, PlatformFixture)
{
    server.faults().silent = true;
    std::optional<Result<PlatformObject>> readResult;
    std::optional<Result<ObjectVersion>> writeResult;
    client.read("a", [&readResult](auto result) { readResult.emplace(result); });
    client.write("a", "x", std::nullopt,
                 [&writeResult](auto result) { writeResult.emplace(result); });
    runUntil([&] { return readResult && writeResult; });
    BOOST_TEST(codeOf(*readResult) == ErrorCode::PlatformTimeout);
    BOOST_TEST(codeOf(*writeResult) == ErrorCode::PlatformTimeout);
}

// Guards against a stand-in whose stale-read fault has no effect; other tests depend on it.
BOOST_FIXTURE_TEST_CASE(held_snapshot_hides_newer_writes, PlatformFixture)
{
    const auto first = write("a", "old").value();
    server.store().holdSnapshot();
    BOOST_TEST(write("a", "new", first).has_value());
    BOOST_TEST(read("a").value().value == "old");
    server.store().releaseSnapshot();
    BOOST_TEST(read("a").value().value == "new");
}

// Guards against a stand-in whose return from a copy has no effect; other tests depend on it.
BOOST_FIXTURE_TEST_CASE(restored_copy_undoes_writes_and_gives_revisions_out_again, PlatformFixture)
{
    auto &store = server.store();
    server.put("a", "kept");
    store.takeCopy();
    const auto copied = store.revision();
    server.put("a", "lost");
    server.put("b", "lost");
    const auto lost = store.revision();
    server.restoreCopy();
    BOOST_TEST(store.era() == 2U);
    BOOST_TEST(store.read("a")->value == "kept");
    BOOST_TEST(!store.read("b").has_value());
    BOOST_TEST(!store.eventsAfter("a", lost).has_value());
    server.put("b", "again");
    BOOST_TEST(store.read("b")->version == copied + 1);
    BOOST_TEST(store.eventsAfter("a", copied).has_value());
}

// Guards against a use after free when the client is destroyed in a callback or before it.
BOOST_FIXTURE_TEST_CASE(client_may_be_destroyed_in_a_callback, PlatformFixture)
{
    auto own = std::make_unique<PlatformClient>(base(), address());
    bool called = false;
    own->watch("never", NoObject,
               [](const auto &) { BOOST_ERROR("called after the client ended"); });
    own->read("a", [&](const auto &) {
        own.reset();
        called = true;
    });
    runUntil([&called] { return called; });
    BOOST_TEST(codeOf(read("d")) == ErrorCode::PlatformNotFound);
}
