// Tests that the real processes report every metric that docs/metrics.md names for them.

#include "testing/system_support.h"

#include "goldcrest/metrics.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;
using nlohmann::json;

namespace {

// The library's leak check is not safe with the thread of the HTTP client. It is turned off before
// any other static object allocates, since memory must not be freed in another mode than it was
// allocated in.
struct leak_check_off
{
    leak_check_off() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};
[[gnu::init_priority(101)]] leak_check_off leakCheckOff;

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

// Returns the metrics of a program that have no sample in a Prometheus text.
std::string missingIn(const std::string &text, std::string_view program)
{
    std::string missing;
    for (const std::string &name : metricNames(program)) {
        const std::string line = "\n" + name;
        const bool present = contains(text, line + " ") || contains(text, line + "{")
            || contains(text, line + "_count ") || contains(text, line + "_count{");
        if (!present)
            missing += name + " ";
    }
    return missing;
}

// Returns the value of an unlabelled sample, or of one whose labels are part of `name`; -1 if
// there is none.
double sampleOf(const std::string &text, const std::string &name)
{
    const std::string start = "\ngoldcrest_" + name + " ";
    const std::size_t at = text.find(start);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + start.size()));
}

} // namespace

TEST_GROUP(processMetrics)
{
    std::unique_ptr<test_system> system;

    // The library's leak check is not safe with threads.
    void setup() override
    {
        MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
        system_options options;
        options.name = "metrics";
        options.entries = 1;
        system = std::make_unique<test_system>(options);
        CHECK(system->start());
    }

    void teardown() override
    {
        system.reset();
    }

    std::string metricsOf(const std::string &url)
    {
        const result<http_response> answer = system->client().call("GET", url + "/metrics");
        return failureOf(answer) ? std::string() : "\n" + valueOf(answer).body;
    }

    std::string agentMetrics(const std::string &worker)
    {
        return metricsOf("http://" + system->backendListenAddress("agent-" + worker));
    }

    // One job that completes, one that is cancelled while it runs, and one that is refused.
    void runJobs()
    {
        test_job first;
        first.id = "m1";
        STRCMP_EQUAL("completed", system->submit(1, first, 20s).outcome().c_str());
        test_job cancelled;
        cancelled.id = "m2";
        cancelled.runTime = 60s;
        system->submit(1, cancelled);
        CHECK(system->waitForState(1, cancelled, "running"));
        system->call(1, "DELETE", "/v1/jobs/routes/m2");
        CHECK(system->waitForOutcome(1, cancelled).isFinal());
        test_job refused;
        refused.id = "m3";
        refused.team = "nobody";
        CHECK(system->submit(1, refused).errorCode() != 0);
    }
};

// Guards against metrics that the page names and no process reports, and against a planner whose
// counters do not follow its jobs.
TEST(processMetrics, processesReportAllTheirMetrics)
{
    runJobs();
    metricsOf(system->entryUrl(1)); // an answer is counted after it was sent
    const std::string entry = metricsOf(system->entryUrl(1));
    STRCMP_EQUAL("", missingIn(entry, "entry").c_str());
    CHECK(sampleOf(entry, "store_call_seconds_count") > 0);

    const std::string name = system->planner();
    const std::string planner = agentMetrics(name);
    STRCMP_EQUAL("", missingIn(planner, "planner").c_str());
    STRCMP_EQUAL("", missingIn(planner, "agent").c_str());
    CHECK(sampleOf(planner, "planner_epoch") > 0);
    CHECK(sampleOf(planner, "config_revision") > 0);
    CHECK(sampleOf(planner, "decision_seconds_count") > 0);
    CHECK(sampleOf(planner, "decision_seconds_sum") > 0);
    DOUBLES_EQUAL(4, sampleOf(planner, "workers{state=\"in service\"}"), 0);
    DOUBLES_EQUAL(1, sampleOf(planner, "gangs_stopped_total{reason=\"cancelled\"}"), 0);
    DOUBLES_EQUAL(0, sampleOf(planner, "running_jobs"), 0);
    CHECK(contains(planner, "\ngoldcrest_gangs_started_total{class="));

    for (const worker_place &worker : system->workers()) {
        const std::string agent = agentMetrics(worker.name);
        STRCMP_EQUAL_TEXT("", missingIn(agent, "agent").c_str(), worker.name.c_str());
        DOUBLES_EQUAL(1, sampleOf(agent, "backend_reachable"), 0);
        CHECK(sampleOf(agent, "backend_calls_total{result=\"answered\"}") > 0);
        // The figures of a cell come from its planner alone.
        if (worker.name == name)
            continue;
        DOUBLES_EQUAL(0, sampleOf(agent, "planner_epoch"), 0);
        CHECK(!contains(agent, "goldcrest_free_accelerators"));
    }
    for (const violation &broken : system->check())
        FAIL(broken.text().c_str());
}

// Guards against metrics of an agent that anyone can read although a token is set, and against a
// wrong method that is answered as a success.
TEST(processMetrics, agentChecksTheTokenAndTheMethod)
{
    const std::string directory = makeTestDirectory("metrics-token");
    const int port = findFreePorts(2);
    const auto address = [](int number) { return "127.0.0.1:" + std::to_string(number); };
    const json settings = {{"worker", "w9"},
                           {"failureDomain", "Matane"},
                           {"rack", "r9"},
                           {"cell", "main"},
                           {"linkListen", address(port)},
                           {"backendListen", address(port + 1)},
                           {"capacity", {{"cores", 1000}, {"memory", 1000}, {"accelerators", 1}}},
                           {"entries", {"127.0.0.1:1"}},
                           {"storeUrls", {"http://" + system->storeAddress()}},
                           {"token", "secret"}};
    const std::string path = directory + "/agent.json";
    writeFile(path, settings.dump());
    process_group processes(directory);
    processes.start("agent", {binary("goldcrest-agent"), "--settings", path});
    const std::string url = "http://" + address(port + 1) + "/metrics";
    const auto statusOf = [&](const char *method, const std::string &authorization) {
        test_client::options extra;
        if (!authorization.empty())
            extra.headers.emplace_back("Authorization", authorization);
        const result<http_response> answer = system->client().call(method, url, extra);
        return failureOf(answer) ? 0 : valueOf(answer).status;
    };
    CHECK(waitFor([&] { return statusOf("GET", "") != 0; }));
    LONGS_EQUAL(401, statusOf("GET", ""));
    LONGS_EQUAL(401, statusOf("GET", "Bearer secreT"));
    LONGS_EQUAL(401, statusOf("GET", "Bearer secret2"));
    LONGS_EQUAL(200, statusOf("GET", "Bearer secret"));
    LONGS_EQUAL(405, statusOf("POST", "Bearer secret"));
}
