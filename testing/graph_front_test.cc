#include "goldcrest/graph_front.h"
#include "platform/front_api.h"
#include "standins/store_model.h"
#include "testing/quiet_log.h"
#include "testing/virtual_event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

struct recorded_response final : responder
{
    void respond(server_response response) override { answers.push_back(std::move(response)); }
    void sendChunk(const server_response &, std::string_view) override { }
    void endChunks() override { }
    bool isOpen() const override { return true; }

    std::vector<server_response> answers;
};

// Answers writes with a prepared failure, or drops them without an answer.
class failing_store final : public platform_store
{
public:
    void get(std::string_view, const call_options &,
             store_callback<std::optional<store_entry>>) override
    { }
    void list(std::string_view, std::size_t, const call_options &,
              store_callback<std::vector<store_entry>>) override
    { }
    void commit(store_transaction, const call_options &,
                store_callback<commit_reply> callback) override
    {
        if (error)
            callback(*error);
    }
    void grantLease(duration, const call_options &, store_callback<lease_id>) override { }
    void renewLease(lease_id, const call_options &, store_callback<duration>) override { }
    void revokeLease(lease_id, const call_options &, store_callback<done>) override { }
    std::unique_ptr<store_watch> watch(std::string_view, store_revision,
                                       std::function<void(watch_batch)>) override
    {
        return nullptr;
    }

    std::optional<failure> error;
};

const std::string someId = "5c0e7a21d94b36f8";
const std::string someBody = R"({"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256}]})";

} // namespace

TEST_GROUP(graph_front)
{
    virtual_event_loop loop;
    store_model model;
    fake_store store{model, loop};
    std::vector<graph_query_message> queries;
    std::vector<graph_intake_message> intakes;
    bool hasPlanner = false;
    graph_front front{loop, store, {}, [this](const message &value) {
                          if (const auto *query = std::get_if<graph_query_message>(&value))
                              queries.push_back(*query);
                          if (const auto *intake = std::get_if<graph_intake_message>(&value))
                              intakes.push_back(*intake);
                          return hasPlanner;
                      }};
    platform::front_api api{front, [] { return unix_ms{1000}; }};

    void confirm()
    {
        auto catalogue = std::make_shared<queue_catalogue>();
        catalogue->at = 1;
        queue_entry queue;
        queue.name = "q";
        queue.host = "a.example";
        queue.prefix = "/p/";
        catalogue->queues.push_back(queue);
        queue.name = "open";
        queue.prefix = "/open/";
        queue.isPublic = true;
        catalogue->queues.push_back(queue);
        catalogue->teams.push_back({"t", {"key"}, 0});
        indexKeys(*catalogue);
        operator_view view;
        view.catalogue = catalogue;
        view.confirmedAt = loop.now();
        front.setView(view);
    }

    // Submits a job through a front with this store, and returns the status.
    int submitThrough(platform_store & failing)
    {
        graph_front other(loop, failing, {}, [](const message &) { return false; });
        other.setView(front.view());
        platform::front_api otherApi(other, [] { return unix_ms{1000}; });
        server_request request;
        request.method = "POST";
        request.path = "/p/" + someId;
        request.headers = {{"host", "a.example"}, {"key", "key"}, {"deadline-ms", "3000"}};
        request.body = someBody;
        const auto answer = std::make_shared<recorded_response>();
        otherApi.handle(request, answer);
        return answer->answers.empty() ? 0 : answer->answers[0].status;
    }

    // Sends a request and returns the status, or 0 while there is no answer.
    int send(const std::string &method, const std::string &path, const std::string &key = "key",
             const std::string &body = {}, duration wait = 3s, const std::string &timeLeft = "3000")
    {
        server_request request;
        request.method = method;
        request.path = path;
        request.headers = {{"host", "a.example"}, {"key", key}, {"deadline-ms", timeLeft}};
        request.body = body;
        const auto answer = std::make_shared<recorded_response>();
        api.handle(request, answer);
        loop.advance(wait);
        lastRetryAfter.clear();
        if (!answer->answers.empty()) {
            for (const auto &[name, value] : answer->answers[0].headers) {
                if (name == "Retry-After")
                    lastRetryAfter = value;
            }
        }
        lastBody = answer->answers.empty() ? std::string() : answer->answers[0].body;
        return answer->answers.empty() ? 0 : answer->answers[0].status;
    }

    std::string lastBody;
    std::string lastRetryAfter;

    void setup() override
    {
        silenceLog();
        loop.advance(1s);
    }
};

// Guards LOST: a job was accepted whose record is larger than the store takes while its tasks run,
// so that it could never start. Just under the limit it is accepted.
TEST(graph_front, refusesJobsWhoseRecordMayGrowTooLarge)
{
    confirm();
    const auto jobOf = [](std::size_t count) {
        return R"({"spec":"x","steps":[{"count":10000,"cpu":500,"mem_mb":256},{"count":)"
            + std::to_string(count) + R"(,"cpu":500,"mem_mb":256}]})";
    };
    LONGS_EQUAL(400, send("POST", "/p/" + someId, "key", jobOf(1000)));
    STRCMP_CONTAINS("the limit is 1048576", lastBody.c_str());
    CHECK(store.counts().writes == 0);
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", jobOf(900)));
}

// Guards LOST where the store accepts larger values: a job was accepted whose record no later
// planner can decode, so that it was held back for good.
TEST(graph_front, refusesJobsWhoseRecordMayNotBeDecoded)
{
    graph_front_options options;
    options.maxRecordBytes = 16 * 1'048'576;
    graph_front other(loop, store, options, [](const message &) { return false; });
    graph_job job;
    job.id = someId;
    job.steps.resize(3);
    std::optional<submit_outcome> outcome;
    const auto submit = [&](std::int32_t count) {
        for (step_spec &step : job.steps)
            step.count = count;
        outcome.reset();
        other.submit(job, 3s, [&](const submit_outcome &answer) { outcome = answer; });
        loop.advance(100ms);
        CHECK(outcome.has_value());
        return failureOf(outcome->stored);
    };
    const failure *error = submit(10'000);
    CHECK(error && error->number == code::StoreValueTooLarge);
    STRCMP_CONTAINS("the limit is 262144", error->reason.c_str());
    CHECK(store.counts().writes == 0);
    CHECK(submit(7'900) == nullptr);
}

// Guards the bound above: the record of a job whose tasks all run, with names of the usual lengths,
// is no larger than was assumed when the job was accepted.
TEST(graph_front, largestRecordIsNoLargerThanAssumed)
{
    graph_job job;
    job.steps.resize(3);
    job_progress progress;
    progress.writer = "1000000:1000000";
    progress.occurrences.resize(1);
    for (step_spec &step : job.steps) {
        step.count = 200;
        task_record record{
            false, 9, 9, std::string(24, 'w'), std::string(32, 'i'), std::string(24, 's')};
        record.crashes = record.startCrashes = record.possibleCrashes = 4;
        record.countedCrash = 9;
        progress.occurrences[0].steps.emplace_back().tasks.assign(200, record);
    }
    CHECK(encodeJobProgress(progress).size() <= largestProgressBytes(job));
}

// Guards against an error that callers can't act on: it named neither the field nor the bound.
TEST(graph_front, errorsNameTheFieldAndItsBound)
{
    confirm();
    const auto errorOf = [&](const std::string &fields) {
        LONGS_EQUAL(400,
                    send("POST", "/p/" + someId, "key",
                         R"({"spec":"x","steps":[{"count":1},{"count":1}],)" + fields + "}", 0ms));
        return lastBody;
    };
    const std::string repeats = errorOf(R"("repeat_count":3000000000)");
    STRCMP_CONTAINS("repeat_count: must be between 0 and 2147483647", repeats.c_str());
    STRCMP_CONTAINS(R"("field":"repeat_count")", repeats.c_str());
    STRCMP_CONTAINS("interval_ms: must be between 0 and", errorOf(R"("interval_ms":-1)").c_str());
    STRCMP_CONTAINS("first_run_ms: must be between -",
                    errorOf(R"("first_run_ms":9223372036854775807)").c_str());
    LONGS_EQUAL(
        400, send("POST", "/p/" + someId, "key", R"({"steps":[{"count":1},{"count":-1}]})", 0ms));
    STRCMP_CONTAINS("steps[1].count: must be between 0 and", lastBody.c_str());
    CHECK(store.counts().writes == 0);
}

TEST(graph_front, answersByConfigurationAndKey)
{
    LONGS_EQUAL(503, send("POST", "/p/" + someId, "key", someBody, 0ms));
    confirm();
    LONGS_EQUAL(404, send("POST", "/other/" + someId, "key", someBody, 0ms));
    LONGS_EQUAL(401, send("POST", "/p/" + someId, "no", someBody, 0ms));
    LONGS_EQUAL(400, send("POST", "/p/" + someId, "key", "{", 0ms));
    LONGS_EQUAL(404, send("POST", "/p/short", "key", someBody, 0ms));
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(200, send("POST", "/open/" + std::string("0123456789abcdef"), "", someBody, 10ms));
}

// Guards CONFIG: a key that was taken away stops working within 5 s on a process that
// receives no watch events.
TEST(graph_front, keysFailClosedWithoutAConfirmedConfiguration)
{
    confirm();
    CHECK(front.isReady());
    loop.advance(2600ms);
    CHECK(!front.isReady());
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    loop.advance(1500ms);
    LONGS_EQUAL(503, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(200, send("POST", "/open/" + someId, "", someBody, 10ms));
}

TEST(graph_front, oneIdIsOneJob)
{
    confirm();
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    const store_revision revision = model.current();
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(revision, model.current());
}

// Guards starts while the planner's watch receives no events. A job that existed before may
// have ended, and is not reported again.
TEST(graph_front, notifiesThePlannerOfStoredJobs)
{
    confirm();
    hasPlanner = true;
    store.faults().loseRequests = 1;
    LONGS_EQUAL(504, send("POST", "/p/00000000000000aa", "key", someBody, 2s));
    CHECK(intakes.empty());
    confirm();
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(1, intakes.size());
    STRCMP_EQUAL(someId.c_str(), intakes[0].job.c_str());
    CHECK(!failureOf(decodeGraphJob(intakes[0].accepted)));
    LONGS_EQUAL(200, send("DELETE", "/p/" + someId, "key", {}, 50ms));
    LONGS_EQUAL(2, intakes.size());
    CHECK(intakes[1].accepted.empty());
}

// A caller whose deadline is near gets an answer before it, instead of a timeout.
TEST(graph_front, answersWithinTheCallersTime)
{
    confirm();
    store.faults().unresponsive = true;
    LONGS_EQUAL(0, send("POST", "/p/" + someId, "key", someBody, 800ms));
    confirm();
    LONGS_EQUAL(504, send("POST", "/p/00000000000000aa", "key", someBody, 400ms, "900"));
    LONGS_EQUAL(504, send("POST", "/p/00000000000000ab", "key", someBody, 50ms, "100"));
    confirm();
    LONGS_EQUAL(503, send("GET", "/p/" + someId, "key", {}, 850ms, "990"));
    confirm();
    hasPlanner = true; // and does not answer
    LONGS_EQUAL(503, send("GET", "/p/" + someId, "key", {}, 850ms, "990"));
    LONGS_EQUAL(503, send("GET", "/p/" + someId, "key", {}, 85ms, "100"));
}

// 503 guarantees that the job never runs; a write with unknown outcome proves nothing.
// Load pattern: the store turns a third of the fronts away while urgent jobs come in a burst. A
// caller of such a front is served by another one at once, if the planner shows that the store
// serves others.
TEST(graph_front, callersReturnAtOnceIfOnlyThisFrontIsInTrouble)
{
    hasPlanner = true;
    confirm();
    store.faults().down = true;
    const auto answerOfPlanner = [this] {
        send("GET", "/p/", "key", {}, 10ms);
        graph_reply_message reply;
        reply.query = queries.back().query;
        front.onReply(reply);
    };
    // The planner may not have noticed yet that the store is down for all. Callers that come back
    // at once would use up their attempts.
    loop.advance(1500ms);
    answerOfPlanner();
    LONGS_EQUAL(503, send("POST", "/p/" + someId, "key", someBody, 300ms));
    STRCMP_EQUAL("1", lastRetryAfter.c_str());
    loop.advance(500ms);
    answerOfPlanner();
    LONGS_EQUAL(503, send("POST", "/p/" + someId, "key", someBody, 300ms));
    STRCMP_EQUAL("0", lastRetryAfter.c_str());
    // A notification is answered without a look at the store.
    loop.advance(1s);
    front.onReply({});
    CHECK(front.retryAfter().count() == 1);
}

TEST(graph_front, lostAnswerIsNotARefusal)
{
    confirm();
    store.faults().loseAnswers = 100;
    LONGS_EQUAL(504, send("POST", "/p/" + someId, "key", someBody, 2s));
    confirm();
    store.faults().loseAnswers = 0;
    store.faults().down = true;
    LONGS_EQUAL(503, send("POST", "/p/00000000000000aa", "key", someBody, 2s));
}

// Guards against a job that runs after 503 or 429, which promise that it never does: only errors
// that are known to mean it may be answered so, whatever other errors a store call may end with.
TEST(graph_front, onlyKnownRefusalsPromiseThatAJobNeverRuns)
{
    confirm();
    failing_store failing;
    const std::set<code> refusals
        = {code::StoreUnavailable, code::StoreOverBudget, code::StoreValueTooLarge};
    for (const code_entry &entry : listCodes()) {
        failing.error = makeFailure(entry.number, "failed");
        const int status = submitThrough(failing);
        if (refusals.count(entry.number) == 0)
            LONGS_EQUAL_TEXT(504, status, std::string(entry.name).c_str());
    }
    failing.error = makeFailure(code::StoreUnavailable, "failed");
    LONGS_EQUAL(503, submitThrough(failing));
}

// Guards against an answer other than 504 to a submission that is lost within the process after
// its job may have been stored.
TEST(graph_front, submissionThatIsDroppedIsNotARefusal)
{
    confirm();
    failing_store dropping;
    LONGS_EQUAL(504, submitThrough(dropping));
}

TEST(graph_front, statesComeFromThePlannerOrTheStore)
{
    confirm();
    LONGS_EQUAL(410, send("GET", "/p/" + someId, "key", {}, 50ms));
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(200, send("GET", "/p/" + someId, "key", {}, 50ms));
    STRCMP_EQUAL(R"({"state":"queued"})", lastBody.c_str());
    hasPlanner = true;
    // A planner that does not answer is replaced by the store.
    LONGS_EQUAL(200, send("GET", "/p/" + someId, "key", {}, 400ms));
    STRCMP_EQUAL(R"({"state":"queued"})", lastBody.c_str());
    job_progress progress;
    progress.state = graph_job_state::Completed;
    store_transaction write;
    write.put(graphProgressKey(someId), encodeJobProgress(progress));
    CHECK(!failureOf(model.commit(write)));
    hasPlanner = false;
    LONGS_EQUAL(200, send("GET", "/p/" + someId, "key", {}, 50ms));
    STRCMP_EQUAL(R"({"state":"completed"})", lastBody.c_str());
}

TEST(graph_front, cancelsAcceptedJobsOnly)
{
    confirm();
    LONGS_EQUAL(410, send("DELETE", "/p/" + someId, "key", {}, 50ms));
    CHECK(model.range(graphCancelKey(someId), {}).empty());
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(200, send("DELETE", "/p/" + someId, "key", {}, 50ms));
    LONGS_EQUAL(200, send("DELETE", "/p/" + someId, "key", {}, 50ms));
    LONGS_EQUAL(1, model.range(graphCancelKey(someId), {}).size());
}

// A shutdown interrupts nothing: the balancer is notified, and open connections are served to the
// end.
TEST(graph_front, drainingServesOpenConnections)
{
    confirm();
    CHECK(front.isReady());
    front.drain();
    CHECK(!front.isReady());
    LONGS_EQUAL(200, send("POST", "/p/" + someId, "key", someBody, 10ms));
    LONGS_EQUAL(200, send("GET", "/p/" + someId, "key", {}, 50ms));
}
