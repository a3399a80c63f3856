// Feeds mutated input to each decoder of bytes from outside the process. A decoder must return an
// error or a value; it must not throw. What becomes part of a message or a record must be accepted
// by the decoder of that message or record.

#include "platform/advice_client.h"
#include "platform/http_run_host.h"
#include "platform/kv_store.h"
#include "platform/operator_codec.h"
#include "platform/platform_settings.h"

#include "goldcrest/membership.h"
#include "goldcrest/message_codec.h"
#include "testing/fuzz_support.h"
#include "testing/quiet_log.h"
#include "testing/virtual_event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;
using namespace goldcrest::platform;

namespace {

// The leak detector searches its list at each deallocation, which takes 40 s for a value of 100,000
// levels.
const bool leakDetectorOff = (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

// Fails if the planner would refuse a report with these values. It would close the link, so that
// the worker is lost to it for as long as the values stay.
void checkReport(const host_announcement &announced, const host_status &status)
{
    worker_report_message report;
    report.worker = "w1";
    report.incarnation = announced.incarnation();
    report.machine = announced.id;
    report.service = announced.service;
    report.failureDomain = announced.failureDomain;
    report.rack = announced.rack;
    report.labels = announced.labels;
    report.capacity = announced.capacity;
    report.drainLeft = announced.drainLeft;
    report.clock = status.clock;
    report.running = status.running;
    report.ended = status.ended;
    const result<message> decoded = decodeMessage(encodeMessage(report));
    if (const failure *error = failureOf(decoded))
        FAIL((error->field + ": " + error->reason).c_str());
}

} // namespace

TEST_GROUP(decoder_fuzz)
{
    virtual_event_loop loop;
    fixed_client client;

    void setup() override
    {
        silenceLog();
    }

    void fuzz(const std::string &valid, const std::function<void(const std::string &)> &decode)
    {
        const std::string fault = fuzzFault(valid, decode);
        if (!fault.empty())
            FAIL(fault.c_str());
    }

    void fuzzAnswers(int status, const std::string &valid, const std::function<void()> &call)
    {
        fuzz(valid, [&](const std::string &input) {
            client.answer.status = status;
            client.answer.body = input;
            client.answersLeft = 4;
            call();
        });
    }
};

TEST(decoder_fuzz, announcements)
{
    fuzz(R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":8,
             "state":"draining","drain_remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":327,
             "gpus":2},"labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000})",
         [](const std::string &input) {
             const result<host_announcement> decoded = decodeAnnouncement("i-1", input);
             if (!failureOf(decoded))
                 checkReport(valueOf(decoded), {});
         });
}

TEST(decoder_fuzz, submittedJobs)
{
    fuzz(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,
             "affinity":"r1-3","gang":true},{"count":20,"cpu":2000,"after":[0],"gpus":1,
             "checkpointing":true}],"repeat_count":2,"first_run_ms":5,"interval_ms":100})",
         [](const std::string &input) {
             const result<graph_job> job = decodeJob("5c0e7a21d94b36f8", input);
             if (failureOf(job))
                 return;
             // The planner must be able to read the record of an accepted job.
             const result<graph_job> stored = decodeGraphJob(encodeGraphJob(valueOf(job)));
             if (const failure *error = failureOf(stored))
                 FAIL((error->field + ": " + error->reason + ": " + input).c_str());
         });
}

TEST(decoder_fuzz, configurations)
{
    fuzz(R"({"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/lohu930/",
             "target_completion_ms":1000,"priority":1,"service":"s","max_attempts":4,
             "slack_factor":3.0,"public":false,"advice":{"decision_ms":5,"per_worker_ms":1,
             "validity_ms":900}}],"services":[{"name":"s","enforces_capacity":true}],
             "tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpus":16}}]})",
         [](const std::string &input) {
             store_entry entry;
             entry.value = input;
             decodeCatalogue(entry);
         });
}

TEST(decoder_fuzz, statusOfBackendServers)
{
    http_run_host host{client, "10.0.0.8:8529"};
    fuzzAnswers(200, R"({"clock_ms":482113,"born":5,"running":[["5c0e.0.1.17",2,"0000",41,7]],
                         "ended":[[58,"5c0e.0.1.9",1,"done",""]]})",
                [&] {
                    host.queryStatus(1, 2, 3, 0ms, "i-1", [](const result<host_status> &status) {
                        if (!failureOf(status))
                            checkReport({}, valueOf(status));
                    });
                });
}

TEST(decoder_fuzz, answersToStarts)
{
    http_run_host host{client, "10.0.0.8:8529"};
    fuzzAnswers(409, R"({"clock_ms":482113,"reason":"room"})", [&] {
        host.start({{"5c0e.0.0.0", 2}, "spec", {}, {}}, 7, 486000, "i-1",
                   [](const result<start_reply> &) {});
    });
}

TEST(decoder_fuzz, answersOfTheStore)
{
    kv_store store{client, loop, "10.0.0.7:8524"};
    const call_options options{call_priority::Normal, 500ms};
    const std::string item = R"({"key":"gc/a","value":"eA==","revision":7,"created":3,"lease":0})";
    fuzzAnswers(200, R"({"as_of":9,"has_more":false,"items":[)" + item + "," + item + "]}", [&] {
        store.list("gc/", 0, options, [](const result<std::vector<store_entry>> &) {});
    });
    fuzzAnswers(200, item, [&] {
        store.get("gc/a", options, [](const result<std::optional<store_entry>> &) {});
    });
    fuzzAnswers(412, R"({"items":[)" + item + "]}", [&] {
        store_transaction write;
        write.requireAbsent("gc/a").put("gc/a", "x");
        store.commit(std::move(write), options, [](const result<commit_reply> &) {});
    });
    fuzzAnswers(200, R"({"lease":5,"ttl_ms":1600})", [&] {
        store.grantLease(1600ms, options, [](const result<lease_id> &) {});
        store.renewLease(5, options, [](const result<duration> &) {});
    });
    fuzzAnswers(
        200, R"({"as_of":9,"events":[)" + item + R"(,{"key":"gc/b","revision":9,"deleted":true}]})",
        [&] { store.watch("gc/", 7, [](const watch_batch &) {}); });
}

TEST(decoder_fuzz, answersOfTheAdviceService)
{
    advice_client advisor{client, "10.0.0.9:8530"};
    fuzzAnswers(200, R"({"validity_ms":900,"good":[["i-1","t1"],["i-2","t2"]]})", [&] {
        advisor.advise({"5c0e.0.0", {"i-1"}, 5ms, {"i-1/1"}},
                       [](const result<placement_advice> &) {});
    });
}

TEST(decoder_fuzz, maintenanceWaves)
{
    fuzz(R"({"wave":3,"machines":["m1","m2"],"duration_s":60.5,"cap":2})",
         [](const std::string &input) {
             store_entry entry;
             entry.key = "op/wave/3";
             entry.value = input;
             sortOperatorItems({entry});
         });
}

TEST(decoder_fuzz, settings)
{
    fuzz(R"({"name":"f1","failureDomain":"d","frontListen":"127.0.0.1:8080","maxConnections":9,
             "readyListen":"127.0.0.1:8081","metricsListen":"127.0.0.1:8082",
             "storeAddress":"127.0.0.1:8083","drainTimeMs":100})",
         [](const std::string &input) {
             parseFrontSettings(input);
             parseSidecarSettings(input);
         });
}

TEST(decoder_fuzz, storedRecords)
{
    graph_job job;
    job.id = "5c0e7a21d94b36f8";
    job.queue = "q";
    job.steps.emplace_back().gang = true;
    fuzz(encodeGraphJob(job), [](const std::string &input) { decodeGraphJob(input); });
    job_progress progress;
    progress.writer = "5:1";
    progress.occurrences.emplace_back().steps.emplace_back().tasks.emplace_back().saved = "s";
    fuzz(encodeJobProgress(progress), [](const std::string &input) { decodeJobProgress(input); });
    fuzz(encodeLeader({"w1", "10.0.0.8:7000"}),
         [](const std::string &input) { decodeLeader(input); });
    fuzz("5c0e7a21d94b36f8.0.1.17", [](const std::string &input) { parseTask(input); });
}

TEST(decoder_fuzz, messagesBetweenProcesses)
{
    worker_report_message report;
    report.worker = "w1";
    report.labels = {"a", "r1"};
    report.running.push_back({{"5c0e.0.0.0", 1}, "saved", 40, 0});
    report.ended.push_back({1, {"5c0e.0.0.1", 1}, run_end::Done, {}});
    report.unresolved.push_back({"5c0e.0.0.2", 1});
    worker_orders_message orders;
    orders.starts.push_back({{"5c0e.0.0.0", 1}, "payload", "saved", "ticket"});
    for (const message &sent :
         {message(report), message(orders), message(graph_intake_message{"a", "b"}),
          message(graph_query_message{1, "a", "q"}), message(takeover_message{7})})
        fuzz(encodeMessage(sent), [](const std::string &input) { decodeMessage(input); });
}
