#include "goldcrest/asio_event_loop.h"
#include "goldcrest/ctl_commands.h"

#include "testing/system_support.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The option parser and the HTTP client keep static tables, which the leak detector of CppUTest
// takes for leaks.
const bool leakDetectorOff = (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

// Runs goldcrestctl's commands in this process against the entries of a system.
class ctl_runner
{
public:
    explicit ctl_runner(const test_system &system)
    {
        // An address at which nothing answers comes first.
        m_entries = "127.0.0.1:1";
        for (int entry = 1; entry <= 2; ++entry)
            m_entries += "," + system.entryUrl(entry).substr(std::string("http://").size());
    }

    ctl_exit run(std::vector<std::string> arguments)
    {
        output.str("");
        arguments.insert(arguments.end(), {"--entry", m_entries});
        ctl_environment environment{
            {*m_client,
             [this](const std::function<bool()> &condition, duration limit) {
                 return m_loop.runUntil(condition, limit);
             },
             [this] { return m_loop.now(); }},
            [] { return static_cast<std::int64_t>(std::time(nullptr)) * 1000; },
            output,
            output,
            [](const std::string &) { return std::string(); }};
        const ctl_exit exit = runCtl(arguments, environment);
        return exit;
    }

    std::ostringstream output;

private:
    asio_event_loop m_loop;
    std::unique_ptr<http_client> m_client = makeCurlClient(m_loop);
    std::string m_entries;
};

} // namespace

TEST_GROUP(ctl_process)
{
    std::string file;

    void setup() override
    {
        file = "/tmp/goldcrest_ctl_process_" + std::to_string(::getpid());
    }
    void teardown() override
    {
        std::remove(file.c_str());
    }
};

// Guards against commands that do not fit the API that the entries offer.
TEST(ctl_process, operatesARunningSystem)
{
    system_options options;
    options.name = "ctl";
    test_system system(options);
    CHECK(system.start());
    ctl_runner ctl(system);

    CHECK(ctl.run({"status"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "main"));
    CHECK(ctl.run({"backend", "list"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "w4"));

    CHECK(ctl.run({"catalogue", "get", "--file", file}) == ctl_exit::Done);
    CHECK(ctl.run({"catalogue", "diff", file}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "no differences"));
    CHECK(ctl.run({"catalogue", "validate", file}) == ctl_exit::Done);
    CHECK(ctl.run({"catalogue", "apply", file, "--wait=60"}) == ctl_exit::Done);

    CHECK(ctl.run({"failure-domain", "out", "south", "--wait=60"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "in force everywhere"));
    CHECK(ctl.run({"status"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "failure domains out of service: south"));
    // The file is based on the revision before that.
    CHECK(ctl.run({"catalogue", "apply", file}) == ctl_exit::Conflict);
    CHECK(ctl.run({"failure-domain", "in", "south", "--wait=60"}) == ctl_exit::Done);
    CHECK(ctl.run({"failure-domain", "out", "nowhere"}) == ctl_exit::Refused);
    CHECK(ctl.run({"worker", "drain", "w1", "--wait=60"}) == ctl_exit::Done);
    CHECK(ctl.run({"worker", "undrain", "w1", "--wait=60"}) == ctl_exit::Done);

    test_job job;
    job.id = "first";
    std::ofstream(file) << test_system::bodyOf(job);
    CHECK(ctl.run({"job", "submit", "--file", file, "--wait=120"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "completed"));
    CHECK(ctl.run({"job", "submit", "--file", file}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "attached"));
    CHECK(ctl.run({"job", "list", "--team", "routes"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "first"));
    CHECK(ctl.run({"explain", "routes/first"}) == ctl_exit::Done);
    CHECK(ctl.run({"job", "show", "routes/none"}) == ctl_exit::Refused);
    CHECK(ctl.run({"report", "burn"}) == ctl_exit::Done);
    CHECK(contains(ctl.output.str(), "planning"));
}
