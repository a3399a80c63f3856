#include "goldcrest/metrics.h"

#include "goldcrest/agent_core.h"

#include "testing/doc_page_support.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(metrics){};

// Guards against text that a Prometheus server does not parse, and label values that break a line.
TEST(metrics, formatsCountersAndGauges)
{
    metrics_registry metrics;
    metrics.add(metric::JobsAccepted, "urgent");
    metrics.add(metric::JobsAccepted, "urgent", 2);
    metrics.add(metric::JobsAccepted, "a\"b\nc");
    metrics.set(metric::ConfigConfirmedAge, 0.25);
    const std::string text = metrics.text();
    CHECK(contains(text, "# TYPE goldcrest_jobs_accepted_total counter\n"));
    CHECK(contains(text, "\ngoldcrest_jobs_accepted_total{class=\"urgent\"} 3\n"));
    CHECK(contains(text, "{class=\"a\\\"b\\nc\"} 1\n"));
    CHECK(contains(text, "\ngoldcrest_config_confirmed_age_seconds 0.25\n"));
    CHECK(!contains(text, "goldcrest_queued_jobs"));
}

// Guards against buckets that are not cumulative, and times outside the buckets that are lost.
TEST(metrics, formatsHistograms)
{
    metrics_registry metrics;
    for (const duration time : {0ms, 2ms, 100ms, 2000ms, duration(200'000'000)})
        metrics.observe(metric::StartDelay, time, "planning");
    const std::string text = metrics.text();
    CHECK(contains(text, "_bucket{class=\"planning\",le=\"0.001\"} 1\n"));
    CHECK(contains(text, "_bucket{class=\"planning\",le=\"0.00316228\"} 2\n"));
    CHECK(contains(text, "_bucket{class=\"planning\",le=\"1\"} 3\n"));
    CHECK(contains(text, "_bucket{class=\"planning\",le=\"100000\"} 4\n"));
    CHECK(contains(text, "_bucket{class=\"planning\",le=\"+Inf\"} 5\n"));
    CHECK(contains(text, "goldcrest_start_delay_seconds_count{class=\"planning\"} 5\n"));
    CHECK(contains(text, "goldcrest_start_delay_seconds_sum{class=\"planning\"} 200002\n"));
    CHECK(metrics.quantile(metric::StartDelay, 0.8, "planning") == 3162ms);
    CHECK(metrics.quantile(metric::StartDelay, 0.5, "none") == 0ms);
}

// Guards against external label values that exhaust the memory.
TEST(metrics, boundsTheLabelValues)
{
    metrics_registry metrics;
    constexpr std::size_t more = 50;
    for (std::size_t i = 0; i < metrics_registry::maxLabelValues + more; ++i)
        metrics.add(metric::JobsRefused, std::to_string(i));
    DOUBLES_EQUAL(more, metrics.value(metric::JobsRefused, "other"), 0);
    DOUBLES_EQUAL(1, metrics.value(metric::JobsRefused, "7"), 0);
}

// Guards against a documentation page that does not list all metrics.
TEST(metrics, pageListsAllMetrics)
{
    STRCMP_EQUAL("", compareDocPage("docs/metrics.md", metricsMarkdown()).c_str());
}

// Guards against program names that match as substrings, and against metrics common to all programs
// that are left out.
TEST(metrics, namesThoseOfAProgram)
{
    const std::vector<std::string> names = metricNames("agent");
    const auto has = [&](const char *name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    CHECK(has("goldcrest_agent_parts"));
    CHECK(has("goldcrest_http_requests_total"));
    CHECK(has("goldcrest_open_links"));
    CHECK(!has("goldcrest_queued_jobs"));
    CHECK(metricNames("age").size() == metricNames("none").size());
}

// Guards against planner metrics that a process still reports after its planner role has ended.
TEST(metrics, clearsTheMetricsOfOneProgram)
{
    metrics_registry metrics;
    metrics.set(metric::QueuedJobs, 3);
    metrics.observe(metric::DecisionTime, 1ms);
    metrics.set(metric::ConfigRevision, 7);
    metrics.clear("planner");
    CHECK(!contains(metrics.text(), "goldcrest_queued_jobs"));
    CHECK(!contains(metrics.text(), "goldcrest_decision_seconds"));
    CHECK(contains(metrics.text(), "goldcrest_config_revision 7\n"));
}

// Guards against refused messages of a replaced planner that are not counted.
TEST(metrics, agentCountsFencedMessages)
{
    agent_core core(agent_options{});
    const time_point now{};
    core.begin(now);
    core.plannerLinkOpened(5, now);
    core.plannerMessage(throttle_message{{}, 5, {}}, now);
    LONGS_EQUAL(0, core.counters().fencedMessages);
    core.plannerMessage(throttle_message{{}, 4, {}}, now);
    core.plannerMessage(stop_message{{}, 4, false}, now);
    LONGS_EQUAL(2, core.counters().fencedMessages);
}
