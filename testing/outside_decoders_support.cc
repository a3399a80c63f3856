#include "testing/outside_decoders_support.h"

#include "platform/advice_client.h"
#include "platform/http_run_host.h"
#include "platform/kv_store.h"
#include "platform/operator_codec.h"
#include "platform/platform_settings.h"

#include "goldcrest/learned_state.h"
#include "goldcrest/membership.h"
#include "goldcrest/message_codec.h"
#include "testing/fuzz_support.h"
#include "testing/virtual_event_loop.h"

#include <memory>
#include <stdexcept>
#include <utility>

namespace goldcrest {

using namespace platform;

namespace {

// Throws if the planner would refuse a report with these values. It would close the link, so that
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
        throw std::runtime_error(error->field + ": " + error->reason);
}

// Returns a decoder of the body of an answer to `call`.
outside_decoder answerDecoder(std::string name, int status, std::vector<std::string> valid,
                              const std::function<void(http_client &client)> &call)
{
    return {std::move(name), std::move(valid), [status, call](const std::string &input) {
                fixed_client client;
                client.answer.status = status;
                client.answer.body = input;
                client.answersLeft = 4;
                call(client);
            }};
}

// Returns a decoder of the body of an answer of the store to `call`.
outside_decoder storeDecoder(std::string name, int status, const std::string &valid,
                             const std::function<void(platform_store &store)> &call)
{
    return answerDecoder(std::move(name), status, {valid}, [call](http_client &client) {
        virtual_event_loop loop;
        kv_store store{client, loop, "10.0.0.7:8524"};
        call(store);
    });
}

void addStore(std::vector<outside_decoder> &decoders)
{
    const call_options options{call_priority::Normal, 500ms};
    const std::string item = R"({"key":"gc/a","value":"eA==","revision":7,"created":3,"lease":0})";
    decoders.push_back(storeDecoder(
        "storeLists", 200, R"({"as_of":9,"has_more":false,"items":[)" + item + "," + item + "]}",
        [options](platform_store &store) {
            store.list("gc/", 0, options, [](const result<std::vector<store_entry>> &) {});
        }));
    decoders.push_back(storeDecoder("storeItems", 200, item, [options](platform_store &store) {
        store.get("gc/a", options, [](const result<std::optional<store_entry>> &) {});
    }));
    decoders.push_back(storeDecoder(
        "storeConflicts", 412, R"({"items":[)" + item + "]}", [options](platform_store &store) {
            store_transaction write;
            write.requireAbsent("gc/a").put("gc/a", "x");
            store.commit(std::move(write), options, [](const result<commit_reply> &) {});
        }));
    decoders.push_back(storeDecoder(
        "storeLeases", 200, R"({"lease":5,"ttl_ms":1600})", [options](platform_store &store) {
            store.grantLease(1600ms, options, [](const result<lease_id> &) {});
            store.renewLease(5, options, [](const result<duration> &) {});
        }));
    decoders.push_back(storeDecoder(
        "storeWatches", 200,
        R"({"as_of":9,"events":[)" + item + R"(,{"key":"gc/b","revision":9,"deleted":true}]})",
        [](platform_store &store) { store.watch("gc/", 7, [](const watch_batch &) {}); }));
}

void addServers(std::vector<outside_decoder> &decoders)
{
    decoders.push_back(
        {"announcements",
         {R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":8,
             "state":"draining","drain_remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":327,
             "gpus":2},"labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000})"},
         [](const std::string &input) {
             const result<host_announcement> decoded = decodeAnnouncement("i-1", input);
             if (!failureOf(decoded))
                 checkReport(valueOf(decoded), {});
         }});
    decoders.push_back(answerDecoder(
        "status", 200, {R"({"clock_ms":482113,"born":5,"running":[["5c0e.0.1.17",2,"0000",41,7]],
                         "ended":[[58,"5c0e.0.1.9",1,"done",""]]})"},
        [](http_client &client) {
            http_run_host host{client, "10.0.0.8:8529"};
            // An exception in the callback passes through the client.
            host.queryStatus(1, 2, 3, 0ms, "i-1", [](const result<host_status> &status) {
                if (!failureOf(status))
                    checkReport({}, valueOf(status));
            });
        }));
    decoders.push_back(answerDecoder("starts", 409, {R"({"clock_ms":482113,"reason":"room"})"},
                                     [](http_client &client) {
                                         http_run_host host{client, "10.0.0.8:8529"};
                                         host.start({{"5c0e.0.0.0", 2}, "spec", {}, {}}, 7, 486000,
                                                    "i-1", [](const result<start_reply> &) {});
                                     }));
    decoders.push_back(answerDecoder("advice", 200,
                                     {R"({"validity_ms":900,"good":[["i-1","t1"],["i-2","t2"]]})"},
                                     [](http_client &client) {
                                         advice_client advisor{client, "10.0.0.9:8530"};
                                         advisor.advise({"5c0e.0.0", {"i-1"}, 5ms, {"i-1/1"}},
                                                        [](const result<placement_advice> &) {});
                                     }));
}

void addOperators(std::vector<outside_decoder> &decoders)
{
    decoders.push_back(
        {"submittedJobs",
         {R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,
             "affinity":"r1-3","gang":true},{"count":20,"cpu":2000,"after":[0],"gpus":1,
             "checkpointing":true}],"repeat_count":2,"first_run_ms":5,"interval_ms":100})"},
         [](const std::string &input) {
             const result<graph_job> job = decodeJob("5c0e7a21d94b36f8", input);
             if (failureOf(job))
                 return;
             // The planner must be able to read the record of an accepted job.
             const result<graph_job> stored = decodeGraphJob(encodeGraphJob(valueOf(job)));
             if (const failure *error = failureOf(stored))
                 throw std::runtime_error(error->field + ": " + error->reason + ": " + input);
         }});
    decoders.push_back(
        {"configurations",
         {R"({"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/lohu930/",
             "target_completion_ms":1000,"priority":1,"service":"s","max_attempts":4,
             "slack_factor":3.0,"public":false,"advice":{"decision_ms":5,"per_worker_ms":1,
             "validity_ms":900}}],"services":[{"name":"s","enforces_capacity":true}],
             "tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpus":16}}]})"},
         [](const std::string &input) {
             store_entry entry;
             entry.value = input;
             decodeCatalogue(entry);
         }});
    decoders.push_back({"waves",
                        {R"({"wave":3,"machines":["m1","m2"],"duration_s":60.5,"cap":2})"},
                        [](const std::string &input) {
                            store_entry entry;
                            entry.key = "op/wave/3";
                            entry.value = input;
                            sortOperatorItems({entry});
                        }});
    decoders.push_back(
        {"settings",
         {R"({"name":"f1","failureDomain":"d","frontListen":"127.0.0.1:8080","maxConnections":9,
             "readyListen":"127.0.0.1:8081","metricsListen":"127.0.0.1:8082",
             "storeAddress":"127.0.0.1:8083","drainTimeMs":100})"},
         [](const std::string &input) {
             parseFrontSettings(input);
             parseSidecarSettings(input);
         }});
}

void addRecords(std::vector<outside_decoder> &decoders)
{
    graph_job job;
    job.id = "5c0e7a21d94b36f8";
    job.queue = "q";
    job.steps.emplace_back().gang = true;
    job_progress progress;
    progress.writer = "5:1";
    progress.occurrences.emplace_back().steps.emplace_back().tasks.emplace_back().saved = "s";
    decoders.push_back(
        {"jobs", {encodeGraphJob(job)}, [](const std::string &input) { decodeGraphJob(input); }});
    decoders.push_back({"progress", {encodeJobProgress(progress)}, [](const std::string &input) {
                            decodeJobProgress(input);
                        }});
    learned_state learned;
    learned.speeds = {{"s", "m1", 0.2, 0.1, 4}};
    learned.runTimes = {{"q", 5, 8, 8, 1, 1, std::vector<double>(run_time_model::binCount, 1)}};
    learned.pairs = {{"a", "b", {1, 1, 1, 1}, {0.5, 0.5, 0.5, 0.5}}};
    learned.uses = {{"s", "t", 0.5, 20s}};
    learned.pauses = {{1, 2, 3000}};
    learned.avoided = {{"i-1/1", 4s}};
    decoders.push_back({"learned state",
                        {encodeLearnedState(learned)},
                        [](const std::string &input) { decodeLearnedState(input); }});
    decoders.push_back({"leaders",
                        {encodeLeader({"w1", "10.0.0.8:7000"})},
                        [](const std::string &input) { decodeLeader(input); }});
    decoders.push_back(
        {"tasks", {"5c0e7a21d94b36f8.0.1.17"}, [](const std::string &input) { parseTask(input); }});
    worker_report_message report;
    report.worker = "w1";
    report.labels = {"a", "r1"};
    report.running.push_back({{"5c0e.0.0.0", 1}, "saved", 40, 0});
    report.ended.push_back({1, {"5c0e.0.0.1", 1}, run_end::Done, {}});
    report.unresolved.push_back({"5c0e.0.0.2", 1});
    worker_orders_message orders;
    orders.starts.push_back({{"5c0e.0.0.0", 1}, "payload", "saved", "ticket"});
    admission_outlook_message outlook;
    outlook.services.push_back({"s", {64'000, 1024, 8}, {}, {}, {}});
    outlook.queues.push_back({"q", "s", 20s, {{"t", 30s}}, 150});
    outlook.guarantees.push_back({"t", 16});
    const admission_detail_message detail{1, 1, {{"s", 1, 16, 20s}}, {{"q", 2s, {{"t", 30s}}}}};
    decoders.push_back(
        {"messages",
         {encodeMessage(report), encodeMessage(orders), encodeMessage(outlook),
          encodeMessage(detail), encodeMessage(graph_intake_message{"a", "b"}),
          encodeMessage(graph_query_message{1, "a", "q"}), encodeMessage(takeover_message{7})},
         [](const std::string &input) { decodeMessage(input); }});
}

} // namespace

std::vector<outside_decoder> outsideDecoders()
{
    std::vector<outside_decoder> decoders;
    addServers(decoders);
    addStore(decoders);
    addOperators(decoders);
    addRecords(decoders);
    return decoders;
}

} // namespace goldcrest
