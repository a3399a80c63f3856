// Feeds mutated input to each decoder of bytes from outside the process. A decoder must return an
// error or a value; it must not throw. Each decoder gets the same seeds in every run.
//
// GOLDCREST_FUZZ_FIRST and GOLDCREST_FUZZ_SEEDS choose other seeds.

#include "platform/http_run_host.h"
#include "platform/kv_store.h"
#include "platform/operator_codec.h"

#include "goldcrest/membership.h"
#include "goldcrest/message_codec.h"
#include "testing/quiet_log.h"
#include "testing/virtual_event_loop.h"

#include <cstdlib>
#include <exception>
#include <functional>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;
using namespace goldcrest::platform;

namespace {

constexpr std::uint64_t seedsInCi = 400;

std::uint64_t numberFrom(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Replaces, removes or inserts a few bytes, values of other types among them.
std::string mutated(std::string text, std::mt19937_64 &random)
{
    constexpr std::string_view pieces[] = {"null",    "-1",   "1e400", "99999999999999999999",
                                           "\"x\"",   "{}",   "[]",    "true",
                                           "\\u0000", "\xff", ",",     "}",
                                           "\"",      "0.5",  "-0"};
    const std::uint64_t changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        const std::size_t length = random() % 6;
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, pieces[random() % std::size(pieces)]);
            break;
        default:
            text.replace(at, length, pieces[random() % std::size(pieces)]);
        }
    }
    return text;
}

// Answers each request with the same body.
class fixed_client final : public http_client
{
public:
    void send(http_request, std::function<void(result<http_response>)> callback) override
    {
        callback(answer);
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)>,
                                        std::function<void(result<done>)>) override
    {
        return nullptr;
    }

    http_response answer;
};

} // namespace

TEST_GROUP(decoder_fuzz)
{
    virtual_event_loop loop;
    fixed_client client;

    void setup() override
    {
        silenceLog();
    }

    // Runs `decode` on mutations of a valid input.
    void fuzz(const std::string &valid, const std::function<void(const std::string &)> &decode)
    {
        const std::uint64_t first = numberFrom("GOLDCREST_FUZZ_FIRST", 1);
        const std::uint64_t last = first + numberFrom("GOLDCREST_FUZZ_SEEDS", seedsInCi);
        for (std::uint64_t seed = first; seed < last; ++seed) {
            std::mt19937_64 random(seed);
            const std::string input = mutated(valid, random);
            try {
                decode(input);
            } catch (const std::exception &error) {
                FAIL((std::string(error.what()) + ", seed " + std::to_string(seed) + ": " + input)
                         .c_str());
            }
        }
    }

    void fuzzAnswers(int status, const std::string &valid, const std::function<void()> &call)
    {
        fuzz(valid, [&](const std::string &input) {
            client.answer.status = status;
            client.answer.body = input;
            call();
        });
    }
};

TEST(decoder_fuzz, announcements)
{
    fuzz(R"({"service":"s","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":8,
             "state":"draining","drain_remaining_ms":900,"capacity":{"cpu":16000,"mem_mb":327,
             "gpus":2},"labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000})",
         [](const std::string &input) { decodeAnnouncement("i-1", input); });
}

TEST(decoder_fuzz, submittedJobs)
{
    fuzz(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,
             "affinity":"r1-3","gang":true},{"count":20,"cpu":2000,"after":[0],"gpus":1,
             "checkpointing":true}],"repeat_count":2,"first_run_ms":5,"interval_ms":100})",
         [](const std::string &input) { decodeJob("5c0e7a21d94b36f8", input); });
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
                [&] { host.queryStatus(1, 2, 3, 0ms, "i-1", [](const result<host_status> &) {}); });
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
