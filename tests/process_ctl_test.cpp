// Runs berylspurctl as a process against the platform stand-in: exit statuses, lost responses and
// concurrent applies.
#define BOOST_TEST_MODULE process_ctl
#include "process_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace berylspur::test;
namespace data = boost::unit_test::data;
using Json = nlohmann::json;

namespace {

constexpr auto Limit = std::chrono::seconds(60);

/// Runs the platform stand-in, and berylspurctl against it.
class CtlFixture
{
public:
    CtlFixture()
        : m_directory(std::filesystem::temp_directory_path()
                      / ("berylspur-ctl-" + std::to_string(getpid()))),
          m_port(freePort())
    {
        std::filesystem::create_directories(m_directory);
        m_platform = std::make_unique<Process>("berylspur-platform",
                                               std::vector<std::string> {"--listen", platform()},
                                               (m_directory / "platform.log").string());
        BOOST_REQUIRE(waitFor([this] { return call(m_port, "GET", "/accounting").status == 200; }));
    }
    ~CtlFixture()
    {
        m_platform.reset();
        std::filesystem::remove_all(m_directory);
    }
    CtlFixture(const CtlFixture &) = delete;
    CtlFixture &operator=(const CtlFixture &) = delete;

    std::string platform() const { return "127.0.0.1:" + std::to_string(m_port); }

    void setFaults(const Json &faults) const
    {
        BOOST_REQUIRE(call(m_port, "POST", "/faults", {}, faults.dump()).status == 200);
    }
    Json accounting() const { return Json::parse(call(m_port, "GET", "/accounting").body); }

    std::string file(const std::string &name, const std::string &text) const
    {
        const auto path = (m_directory / name).string();
        std::ofstream(path) << text;
        return path;
    }
    /// Writes a manifest file with one service.
    std::string manifest(const std::string &name, int slots) const
    {
        return file(name, "fleet: f\nservices:\n- name: a\n  endpoints: 2\n  slots: "
                                  + std::to_string(slots)
                                  + "\n  routes: [{path-prefix: /, idempotent: true}]\n");
    }

    std::unique_ptr<Process> start(std::vector<std::string> arguments, const std::string &log) const
    {
        arguments.insert(arguments.end(), {"--output", "json"});
        return std::make_unique<Process>("berylspurctl", arguments, path(log));
    }
    int run(const std::vector<std::string> &arguments, Json *output = nullptr) const
    {
        std::filesystem::remove(path("run.log"));
        const auto status = start(arguments, "run.log")->waitForExit(Limit);
        if (output)
            *output = outputOf("run.log");
        return status.value_or(-1);
    }
    Json outputOf(const std::string &log) const
    {
        std::ifstream stream(path(log));
        return Json::parse(stream, nullptr, false);
    }

private:
    std::string path(const std::string &name) const { return (m_directory / name).string(); }

    std::filesystem::path m_directory;
    std::uint16_t m_port;
    std::unique_ptr<Process> m_platform;
};

} // namespace

// Guards against example manifests that berylspurctl rejects.
BOOST_DATA_TEST_CASE_F(CtlFixture, examples_are_accepted,
                       data::make({"resturi-clare.yaml", "midlands.yaml"}))
{
    const auto example = std::string(BERYLSPUR_SOURCE_DIR "/examples/") + sample;
    BOOST_TEST(run({"validate", example}) == 0);
    Json output;
    BOOST_TEST(run({"apply", example, "--platform", platform(), "--author", "ana"}, &output) == 0);
    BOOST_TEST(output["revision"] == 1);
    BOOST_TEST(output["changed"].size() == 4u);
}

// Guards against exit statuses by which a script would mistake a failure for success, or for
// another failure.
BOOST_FIXTURE_TEST_CASE(each_failure_has_its_exit_status, CtlFixture)
{
    const auto valid = manifest("m.yaml", 4);
    const std::vector<std::string> target = {"--platform", platform()};
    const auto with = [&target](std::vector<std::string> arguments) {
        arguments.insert(arguments.end(), target.begin(), target.end());
        return arguments;
    };
    BOOST_TEST(run({"apply", valid}) == 2);
    BOOST_TEST(run({"apply", valid, "--platform", "here"}) == 2);
    BOOST_TEST(run(with({"explain"})) == 2);
    BOOST_TEST(run({"validate", "/nonexistent.yaml"}) == 3);
    BOOST_TEST(run(with({"apply", file("bad.yaml", "fleet: f\nservices: 3\n")})) == 3);
    BOOST_TEST(run(with({"show", "--node", "127.0.0.1:1"})) == 6);
    BOOST_TEST(run({"dump", "127.0.0.1:1"}) == 6);
    BOOST_TEST(run(with({"explain", "--endpoint", "a-1", "--at", "2026-12-04T10:00:00Z"})) == 8);
    BOOST_TEST(accounting()["write"] == 0);
    setFaults({{"outage", true}});
    BOOST_TEST(run(with({"apply", valid})) == 5);
    BOOST_TEST(run(with({"explain", "--request", "00112233445566778899aabbccddeeff"})) == 5);
}

// Guards against a second write of the head after the response to the first one was lost.
BOOST_FIXTURE_TEST_CASE(lost_responses_are_recovered, CtlFixture)
{
    // The response to the first write, which creates the content, is lost; the content is written
    // again.
    setFaults({{"lose-write-responses", 1}});
    Json output;
    BOOST_TEST(run({"apply", manifest("m.yaml", 4), "--platform", platform()}, &output) == 0);
    BOOST_TEST(accounting()["write"] == 3);
    // The content of the third drain already exists since the first one, so its write is refused
    // and the lost response is that of the head write.
    BOOST_TEST(run({"drain", "a-1", "--service", "a", "--platform", platform()}) == 0);
    BOOST_TEST(run({"drain", "a-1", "--service", "a", "--undo", "--platform", platform()}) == 0);
    const int writes = accounting()["write"];
    setFaults({{"lose-write-responses", 1}});
    BOOST_TEST(run({"drain", "a-1", "--service", "a", "--platform", platform()}, &output) == 0);
    BOOST_TEST(output["recovered"] == true);
    BOOST_TEST(accounting()["write"] == writes + 2);
}

// Guards against two accepted writes of one revision, and against a conflict report without the
// winning author.
BOOST_FIXTURE_TEST_CASE(concurrent_applies_have_one_winner_per_revision, CtlFixture)
{
    constexpr int Authors = 6;
    // The delay makes all authors read the head before the first one writes it.
    setFaults({{"delay-ms", 500}});
    std::vector<std::unique_ptr<Process>> processes;
    for (int i = 0; i < Authors; ++i) {
        const auto name = std::to_string(i);
        processes.push_back(start({"apply", manifest(name + ".yaml", 10 + i), "--platform",
                                   platform(), "--author", "author-" + name},
                                  name + ".log"));
    }
    std::set<std::string> accepted;
    std::vector<Json> rejected;
    for (int i = 0; i < Authors; ++i) {
        const auto status = processes[static_cast<std::size_t>(i)]->waitForExit(Limit);
        const auto output = outputOf(std::to_string(i) + ".log");
        if (status == 0) {
            accepted.insert("author-" + std::to_string(i));
            continue;
        }
        BOOST_TEST(status.value_or(-1) == 4);
        rejected.push_back(output);
    }
    setFaults({{"delay-ms", 0}});
    BOOST_TEST(accepted.size() + rejected.size() == static_cast<std::size_t>(Authors));
    for (const auto &output : rejected) {
        BOOST_TEST(accepted.contains(output["winner"]["author"].get<std::string>()));
        BOOST_TEST(output["differs"].dump() == R"(["a"])");
    }
    // Each accepted apply adds one revision. There may be more than one if the machine is so busy
    // that an author starts late.
    Json output;
    BOOST_TEST(run({"apply", manifest("last.yaml", 99), "--platform", platform()}, &output) == 0);
    BOOST_TEST(output["revision"] == accepted.size() + 1);
}

// Guards against a check whose exit status hides findings, or that fails because of differences
// from the version in force.
BOOST_FIXTURE_TEST_CASE(check_lists_findings_and_differences, CtlFixture)
{
    BOOST_TEST(run({"check", file("bad.yaml", "fleet: f\nservces: []\n")}) == 1);
    BOOST_TEST(run({"check", "/nowhere/manifest.yaml"}) == 2);
    BOOST_TEST(run({"check"}) == 2);
    BOOST_REQUIRE(run({"apply", manifest("one.yaml", 2), "--platform", platform()}) == 0);
    Json output;
    BOOST_TEST(run({"check", manifest("two.yaml", 3), "--platform", platform()}, &output) == 0);
    const Json expected {{{"service", "a"},
                          {"field", "slots"},
                          {"in-force", "2"},
                          {"next", "3"},
                          {"cuts-off", ""}}};
    BOOST_TEST(output["differences"] == expected);
    BOOST_TEST(output["findings"].empty());
}
