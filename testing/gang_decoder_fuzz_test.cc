// As decoder_fuzz_test, for the decoders of gang jobs, of the etcd store and of the documents that
// operators write.

#include "goldcrest/burn_report.h"
#include "goldcrest/catalogue_codec.h"
#include "goldcrest/etcd_store.h"
#include "goldcrest/http_backend.h"
#include "goldcrest/job_record.h"
#include "goldcrest/job_request.h"
#include "goldcrest/message_codec.h"
#include "goldcrest/settings.h"
#include "testing/fuzz_support.h"
#include "testing/quiet_log.h"
#include "testing/virtual_event_loop.h"

#include <functional>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The leak detector searches its list at each deallocation, which takes 40 s for a value of 100,000
// levels.
const bool leakDetectorOff = (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

} // namespace

TEST_GROUP(gang_decoder_fuzz)
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

TEST(gang_decoder_fuzz, answersOfTheEtcdStore)
{
    etcd_store store{client, loop, "http://10.0.0.7:2379"};
    const call_options options{call_priority::Normal, 500ms};
    const std::string item = R"({"key":"YQ==","value":"eA==","create_revision":"3",)"
                             R"("mod_revision":7,"lease":"5"})";
    const std::string header = R"("header":{"revision":9})";
    fuzzAnswers(200, "{" + header + R"(,"kvs":[)" + item + "]}", [&] {
        store.get("a", options, [](const result<std::optional<store_entry>> &) {});
        store.list("a", 0, options, [](const result<std::vector<store_entry>> &) {});
    });
    fuzzAnswers(200,
                "{" + header + R"(,"succeeded":false,"responses":[{"response_range":{"kvs":[)"
                    + item + "]}}]}",
                [&] {
                    store_transaction write;
                    write.requireAbsent("a").put("a", "x");
                    store.commit(std::move(write), options, [](const result<commit_reply> &) {});
                });
    fuzzAnswers(200, R"({"ID":"5","result":{"TTL":"3"}})", [&] {
        store.grantLease(3s, options, [](const result<lease_id> &) {});
        store.renewLease(5, options, [](const result<duration> &) {});
    });
    fuzzAnswers(400, R"({"code":5,"message":"not found"})",
                [&] { store.renewLease(5, options, [](const result<duration> &) {}); });
    fuzzAnswers(200,
                R"({"result":{)" + header + R"(,"events":[{"type":"PUT","kv":)" + item + "}]}}\n",
                [&] { store.watch("a", 7, [](const watch_batch &) {}); });
}

TEST(gang_decoder_fuzz, bodiesOfGangJobs)
{
    catalogue entries;
    entries.teams["t"].className = "c";
    entries.classes["c"].name = "c";
    fuzz(R"({"team":"t","requestId":"r","tasks":2,"perTask":{"cores":1000,"memory":64},
             "idempotent":true,"deadlineMs":9000,"runTimeMs":500,"payload":"x"})",
         [&](const std::string &input) { parseJobRequest(input, entries, request_limits{}); });
    const std::string sizes = R"({"millicores":1000,"memoryMiB":64,"accelerators":1})";
    fuzz(R"({"address":"10.0.0.9:8080","slots":8,"capacity":)" + sizes + "}",
         [](const std::string &input) { parseAnnouncement(input); });
    fuzz(R"({"draining":true})", [](const std::string &input) { parseDrain(input); });
    fuzz(R"({"id":"a","metadata":"","payload":"eA==","leaseMs":900,"resumeFrom":0.5,"reserved":)"
             + sizes + "}",
         [](const std::string &input) { parseTaskStart(input); });
    fuzz(R"({"tasks":[{"id":"a","metadata":"","state":"running","ranForMs":5,"progress":0.5,
             "checkpointed":0.5,"used":)"
             + sizes + "}]}",
         [](const std::string &input) { parseTaskList(input); });
    fuzz(encodeGangInfo({}), [](const std::string &input) { decodeGangInfo(input); });
}

TEST(gang_decoder_fuzz, documentsOfOperators)
{
    fuzz(R"({"listen":"127.0.0.1:8080","linkListen":"127.0.0.1:8081","cell":"c",
             "log":{"minLevel":1}})",
         [](const std::string &input) {
             parseEntrySettings(input);
             parseAgentSettings(input);
         });
    catalogue entries;
    entries.teams["t"].className = "c";
    entries.classes["c"].name = "c";
    fuzz(formatCatalogue(entries), [](const std::string &input) {
        parseCatalogue(input);
        parseConfiguration(input);
    });
    fuzz(burn_report{}.json(0), [](const std::string &input) { burn_report::parse(input); });
}

TEST(gang_decoder_fuzz, recordsOfGangJobs)
{
    fuzz(encodeJobRecord({}), [](const std::string &input) { decodeJobRecord(input); });
    task_result output;
    output.output = "x";
    output.totalBytes = 1;
    fuzz(encodeResultParts({output}).front(),
         [](const std::string &input) { decodeResultParts({input}); });
}
