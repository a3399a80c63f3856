#include "platform/advice_client.h"
#include "platform/http_run_host.h"
#include "platform/operator_codec.h"

#include "goldcrest/log_fields.h"
#include "testing/quiet_log.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;
using namespace goldcrest::platform;

namespace {

const std::string goodAnnouncement
    = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":8,
          "state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":2},
          "labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000000123})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    return text.replace(at, from.size(), to);
}

// Answers each request with one prepared response.
class scripted_client final : public http_client
{
public:
    void send(http_request request, std::function<void(result<http_response>)> callback) override
    {
        requests.push_back(std::move(request));
        callback(answer);
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)>,
                                        std::function<void(result<done>)>) override
    {
        return nullptr;
    }

    std::vector<http_request> requests;
    result<http_response> answer = http_response{};
};

} // namespace

TEST_GROUP(platform_codec)
{
    scripted_client client;
    http_run_host host{client, "10.0.0.8:8529"};

    void setup() override
    {
        silenceLog();
    }

    void respond(int status, const std::string &body)
    {
        http_response response;
        response.status = status;
        response.body = body;
        client.answer = response;
    }

    start_reply start()
    {
        start_reply reply;
        host.start({{"5c0e.0.0.0", 2}, "spec", "save", {}}, 7, 486000, "i-1",
                   [&](const result<start_reply> &answer) { reply = valueOf(answer); });
        return reply;
    }
};

// Guards against announcement fields that are lost or misread.
TEST(platform_codec, decodesAnnouncements)
{
    const result<host_announcement> decoded = decodeAnnouncement("i-7f3a", goodAnnouncement);
    CHECK(!failureOf(decoded));
    const host_announcement &host = valueOf(decoded);
    STRCMP_EQUAL("i-7f3a/1700000000123", host.incarnation().c_str());
    STRCMP_EQUAL("r1-3", host.rack.c_str());
    LONGS_EQUAL(2, host.capacity.accelerators);
    CHECK(!host.draining);
}

// Announcements from other writers may be malformed; decoding them must yield no backend server.
TEST(platform_codec, refusesBadAnnouncements)
{
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"resting\""},
                                                          {"\"sequence\":4", "\"sequence\":\"4\""},
                                                          {"\"service\":\"huvo11a\",", ""},
                                                          {"\"cpu\":16000", "\"cpu\":null"},
                                                          {"[\"a\",\"r1-3\"]", "[1]"},
                                                          {"{\"service\"", "{{"}}) {
        CHECK(failureOf(decodeAnnouncement("i-1", replaced(goodAnnouncement, from, to))));
    }
    CHECK(failureOf(decodeAnnouncement("i-1", "[]")));
    CHECK(failureOf(decodeAnnouncement("i-1", "")));
}

// Guards against an odd announcement that is taken for a backend server: the orders would go to a
// port that does not exist, and the planner would refuse the reports or plan with the capacity.
TEST(platform_codec, refusesAnnouncementsOutOfRange)
{
    const std::string address = R"("address":"10.128.0.9:8080")";
    const std::string longText(2000, 'x');
    std::string labels = "[\"a\"";
    for (int i = 0; i < 100; ++i)
        labels += ",\"b\"";
    for (const auto &[from, to, field] : std::vector<std::array<std::string, 3>>{
             {address + ",", "", "address"},
             {address, R"("address":"")", "address"},
             {address, R"("address":"10.128.0.9")", "address"},
             {address, R"("address":"10.128.0.9:0")", "address"},
             {address, R"("address":"10.128.0.9:65536")", "address"},
             {address, R"("address":"10.128.0.9:4294967297")", "address"},
             {address, R"("address":"10.128.0.9:-1")", "address"},
             {"\"cpu\":16000", "\"cpu\":-1", "capacity.cpu"},
             {"\"cpu\":16000", "\"cpu\":9223372036854775807", "capacity.cpu"},
             {"\"mem_mb\":32768", "\"mem_mb\":18446744073709551615", "capacity.mem_mb"},
             {"\"mem_mb\":32768", "\"mem_mb\":4000000000", "capacity.mem_mb"},
             {"\"gpus\":2", "\"gpus\":1e300", "capacity.gpus"},
             {"\"gpus\":2", "\"gpus\":1000000", "capacity.gpus"},
             {"\"ready\"", R"("draining","drain_remaining_ms":9223372036854775807)",
              "drain_remaining_ms"},
             {"huvo11a", longText, "service"},
             {"\"z1\"", "\"" + longText + "\"", "zone"},
             {"r1-3", longText, "labels"},
             {R"(["a","r1-3")", labels, "labels"}}) {
        const result<host_announcement> decoded
            = decodeAnnouncement("i-1", replaced(goodAnnouncement, from, to));
        const failure *error = failureOf(decoded);
        CHECK_TEXT(error, to.c_str());
        STRCMP_EQUAL_TEXT(field.c_str(), error->field.c_str(), to.c_str());
    }
    for (const std::string &id : {std::string(), std::string("i-1\r\nX: 1"), longText})
        CHECK(failureOf(decodeAnnouncement(id, goodAnnouncement)));
    CHECK(!failureOf(decodeAnnouncement(
        "i-1", replaced(goodAnnouncement, address, R"("address":"10.128.0.9:65535")"))));
}

// Guards against announcements and jobs whose nesting overflows the stack of a later step, and
// against answers that are read in spite of it.
TEST(platform_codec, refusesDeepNesting)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string odd = replaced(goodAnnouncement, "{", R"({"extra":)" + deep + ",");
    const result<host_announcement> announcement = decodeAnnouncement("i-1", odd);
    CHECK(failureOf(announcement) && failureOf(announcement)->number == code::MalformedJson);
    CHECK(failureOf(decodeAnnouncement("i-1", deep)));
    CHECK(failureOf(decodeAnnouncement("i-1", std::string(1'000'000, '['))));
    const std::string job = R"({"steps":[{"extra":)" + deep + "}]}";
    CHECK(failureOf(decodeJob("5c0e7a21d94b36f8", job)));
}

// Guards against an announcement of another writer that is taken for the backend server's own
// though a field has another type, also one that nothing is decided from.
TEST(platform_codec, refusesAnnouncementsWithFieldsOfAnotherType)
{
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"slots\":8", "\"slots\":\"8\""},
             {"\"version\":\"v1\"", "\"version\":1"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":\"0\""},
             {"\"clock_ms\":482113", "\"clock_ms\":[]"},
             {"\"sequence\":4", "\"sequence\":-4"},
             {"\"born\":1700000000123", "\"born\":\"now\""}})
        CHECK_TEXT(failureOf(decodeAnnouncement("i-1", replaced(goodAnnouncement, from, to))),
                   to.c_str());
}

// Guards against a status or reason of a refused start that maps to the wrong refusal, and against
// a 500 that is taken for a known outcome.
TEST(platform_codec, decodesRefusalsOfStarts)
{
    respond(200, R"({"clock_ms":1})");
    CHECK(!start().refused);
    LONGS_EQUAL(1, *start().clock);
    for (const char *body : {"{}", R"({"clock_ms":"1"})", "[1]", ""}) {
        respond(200, body);
        CHECK_TEXT(!start().refused && !start().clock, body);
    }
    respond(409, R"({"clock_ms":1,"reason":"fence"})");
    CHECK(start().isFenced);
    respond(409, R"({"clock_ms":1,"reason":"old"})");
    CHECK(*start().refused == start_refusal::Superseded);
    respond(409, R"({"clock_ms":1,"reason":"room"})");
    CHECK(*start().refused == start_refusal::NoCapacity);
    respond(421, "{}");
    CHECK(start().isOtherIncarnation);
    respond(503, "{}");
    CHECK(*start().refused == start_refusal::Unhealthy);
    respond(500, "{}");
    bool isUnknown = false;
    host.start(
        {{"5c0e.0.0.0", 2}, "spec", {}, {}}, 7, 1, "i-1",
        [&](const result<start_reply> &answer) { isUnknown = failureOf(answer) != nullptr; });
    CHECK(isUnknown);
}

// Guards against a start request without its fencing token, deadline, checkpoint or expected
// instance.
TEST(platform_codec, startCarriesTokenLeaseAndCheckpoint)
{
    respond(200, "{}");
    start();
    const http_request &sent = client.requests.back();
    STRCMP_EQUAL("http://10.0.0.8:8529/v1/run-start", sent.url.c_str());
    const auto body = nlohmann::json::parse(sent.body);
    LONGS_EQUAL(7, body["fencing_token"].get<int>());
    LONGS_EQUAL(486000, body["deadline_ms"].get<int>());
    STRCMP_EQUAL("save", body["saved"].get<std::string>().c_str());
    CHECK(!body.contains("ticket"));
    STRCMP_EQUAL("Expected-Instance", sent.headers.back().first.c_str());
}

// Rows that can't be decoded are skipped; the other rows are kept.
TEST(platform_codec, decodesViews)
{
    respond(200, R"({"clock_ms":482113,"born":5,
        "running":[["a.0.0.0",2,"save",41,7.5],["bad"],["b.0.0.0",1,"",0]],
        "ended":[[58,"c.0.0.0",1,"done",""],[59,"d.0.0.0",1,"vanished",""],
                 [60,"e.0.0.0",3,"broken","s"]]})");
    host_status view;
    host.queryStatus(7, 57, 486000, 1s, "i-1",
                     [&](const result<host_status> &answer) { view = valueOf(answer); });
    LONGS_EQUAL(482113, view.clock);
    LONGS_EQUAL(2, view.running.size());
    LONGS_EQUAL(41, view.running[0].percent);
    LONGS_EQUAL(7, view.running[0].load);
    LONGS_EQUAL(2, view.ended.size());
    CHECK(view.ended[1].how == run_end::GangMemberEnded);
    // A run of a skipped row may exist.
    CHECK(view.isPartial);
    respond(200, R"({"clock_ms":482113,"born":5,"ended":[]})");
    result<host_status> absent = host_status{};
    host.queryStatus(7, 57, 0, 0ms, "i-1",
                     [&](const result<host_status> &answer) { absent = answer; });
    CHECK(failureOf(absent));
    respond(409, R"({"reason":"fence"})");
    const failure *why = nullptr;
    result<host_status> refused = host_status{};
    host.queryStatus(7, 57, 0, 0ms, "i-1",
                     [&](const result<host_status> &answer) { refused = answer; });
    why = failureOf(refused);
    CHECK(why && why->number == code::StaleEpoch);
}

// Guards against a run number that is cut to 32 bits and names another run, and against numbers
// that the planner refuses, so that it loses all reports of the worker. Percent and load are only
// hints: the run is at work whatever they say.
TEST(platform_codec, leavesOutRowsOutOfRange)
{
    respond(200, R"({"clock_ms":482113,"born":5,
        "running":[["a.0.0.0",4294967298,"",41],["a.0.0.1",-1,"",41],
                   ["a.0.0.2",9223372036854775809,"",41],["a.0.0.3",1e300,"",41],["a.0.0.4",1e400,"",41],
                   ["b.0.0.0",2,"",1e300,1e300],["b.0.0.1",2,"",-1e300,-5]],
        "ended":[[58,"c.0.0.0",4294967297,"done",""],[-3,"c.0.0.1",1,"done",""],
                 [18446744073709551615,"c.0.0.2",1,"done",""],[61,"d.0.0.0",1,"done",""]]})");
    host_status view;
    host.queryStatus(7, 57, 486000, 1s, "i-1",
                     [&](const result<host_status> &answer) { view = valueOf(answer); });
    LONGS_EQUAL(2, view.running.size());
    STRCMP_EQUAL("b.0.0.0", view.running[0].run.task.c_str());
    LONGS_EQUAL(100, view.running[0].percent);
    LONGS_EQUAL(1'000'000'000, view.running[0].load);
    LONGS_EQUAL(0, view.running[1].percent);
    LONGS_EQUAL(0, view.running[1].load);
    LONGS_EQUAL(1, view.ended.size());
    LONGS_EQUAL(61, view.ended[0].number);
}

// Guards against the lists of one backend server that are taken for those of another.
TEST(platform_codec, namesTheServerThatAStatusIsWantedOf)
{
    respond(421, R"({"clock_ms":1})");
    host_status refused;
    host.queryStatus(7, 0, 0, 0ms, "i-7",
                     [&](const result<host_status> &answer) { refused = valueOf(answer); });
    CHECK(refused.isOtherIncarnation);
    STRCMP_EQUAL("Expected-Instance", client.requests.back().headers.back().first.c_str());
    STRCMP_EQUAL("i-7", client.requests.back().headers.back().second.c_str());
}

// Guards against a queue matched by the wrong host or prefix, and errors without the path of the
// field.
TEST(platform_codec, decodesCatalogues)
{
    store_entry entry;
    entry.modRevision = 9;
    entry.value
        = R"({"version":7,"routes":[{"name":"r","host":"nony24.example","prefix":"/lohu930/",
            "kind":"non_idempotent","timeout_ms":3000,"target_completion_ms":1000,"priority":1,
            "service":"s","max_attempts":4,"slack_factor":3.0,"public":false},
            {"name":"q","host":"nony24.example","prefix":"/lohu930/x/","service":"s"}],
            "services":[{"name":"s","enforces_capacity":true}],
            "tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpus":16}}]})";
    const result<queue_catalogue> decoded = decodeCatalogue(entry);
    CHECK(!failureOf(decoded));
    const queue_catalogue &catalogue = valueOf(decoded);
    LONGS_EQUAL(9, catalogue.at);
    STRCMP_EQUAL("r", findQueue(catalogue, "nony24.example:80", "/lohu930/5c0e")->name.c_str());
    STRCMP_EQUAL("q", findQueue(catalogue, "nony24.example", "/lohu930/x/5c0e")->name.c_str());
    CHECK(!findQueue(catalogue, "other.example", "/lohu930/5c0e"));
    LONGS_EQUAL(16, findTeamOfKey(catalogue, "k2")->guaranteedAccelerators);
    CHECK(!findTeamOfKey(catalogue, "k3"));
    CHECK(catalogue.services[0].enforcesCapacity);
    entry.value = R"({"version":7,"routes":[{"name":"r"}]})";
    const result<queue_catalogue> bad = decodeCatalogue(entry);
    STRCMP_EQUAL("routes[0].host", failureOf(bad)->field.c_str());
}

// Guards against lost job fields, and against accepting malformed jobs.
TEST(platform_codec, decodesJobs)
{
    const result<graph_job> decoded
        = decodeJob("5c0e7a21d94b36f8",
                    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,
            "affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"estimated_ms":7000,
            "after":[0],"checkpointing":true}],"repeat_count":2,"first_run_ms":5,
            "interval_ms":100})");
    CHECK(!failureOf(decoded));
    const graph_job &job = valueOf(decoded);
    LONGS_EQUAL(2, job.steps.size());
    STRCMP_EQUAL("r1-3", job.steps[0].dataRack.c_str());
    CHECK(job.steps[1].checkpointing);
    LONGS_EQUAL(2, job.schedule.occurrences);
    for (const char *bad :
         {"", "[]", R"({"steps":[]})", R"({"steps":[{"count":0}]})", R"({"steps":[{"after":[0]}]})",
          R"({"steps":[{"cpu":"1"}]})", R"({"steps":"x"})"})
        CHECK(failureOf(decodeJob("5c0e7a21d94b36f8", bad)) != nullptr);
}

// Guards against jobs that are accepted and lost, because the planner can't read their record or
// their numbers overflow, and against a dependency that is cut to the number of another step.
TEST(platform_codec, refusesJobsOutOfRange)
{
    const std::string longText(70'000, 'x');
    for (const std::string &bad :
         {std::string(R"({"steps":[{},{"after":[4294967296]}]})"),
          std::string(R"({"steps":[{},{"after":[18446744069414584320]}]})"),
          std::string(R"({"steps":[{"cpu":9223372036854775807}]})"),
          std::string(R"({"steps":[{"mem_mb":9223372036854775807}]})"),
          std::string(R"({"steps":[{"gpus":1000000}]})"),
          std::string(R"({"steps":[{"estimated_ms":9223372036854775807}]})"),
          std::string(R"({"steps":[{}],"first_run_ms":9223372036854775807})"),
          std::string(R"({"steps":[{}],"repeat_count":2147483647,"interval_ms":300000000000})"),
          R"({"steps":[{"affinity":")" + longText + "\"}]}",
          R"({"steps":[{"required_label":")" + longText + "\"}]}",
          R"({"steps":[{"image":")" + longText + "\"}]}"}) {
        CHECK_TEXT(failureOf(decodeJob("5c0e7a21d94b36f8", bad)), bad.substr(0, 90).c_str());
    }
    std::string steps = "{}";
    std::string after = "0";
    for (int i = 1; i < 600; ++i) {
        steps += ",{\"after\":[" + after + "]}";
        after += "," + std::to_string(i);
    }
    CHECK(failureOf(decodeJob("5c0e7a21d94b36f8", "{\"steps\":[" + steps + "]}")));
    CHECK(!failureOf(
        decodeJob("5c0e7a21d94b36f8",
                  R"({"steps":[{"cpu":1}],"repeat_count":2147483647,"interval_ms":86400000})")));
}

// Guards against a ticket that makes the orders undecodable for the agent, and against one odd row
// that hides the others.
TEST(platform_codec, leavesOutOddRowsOfAdvice)
{
    advice_client advisor{client, "10.0.0.9:8530"};
    const auto advise = [&] {
        result<placement_advice> advice = placement_advice{};
        advisor.advise({"5c0e.0.0", {"i-1"}, 5ms, {"i-1/1"}},
                       [&](const result<placement_advice> &answer) { advice = answer; });
        return advice;
    };
    respond(200,
            R"({"validity_ms":900,"good":[["i-1",")" + std::string(70'000, 'x')
                + R"("],7,["i-2"],["i-3",4],["i-4","t"]]})");
    LONGS_EQUAL(1, valueOf(advise()).tickets.size());
    CHECK(valueOf(advise()).isPartial);
    respond(200, R"({"validity_ms":900,"good":[]})");
    CHECK(!valueOf(advise()).isPartial);
    // An answer without a list refuses no machine.
    respond(200, R"({"validity_ms":900})");
    CHECK(failureOf(advise()));
    for (const char *time : {"-1", "9223372036854775807", "18446744073709551615", "1e300"}) {
        respond(200, R"({"good":[],"validity_ms":)" + std::string(time) + "}");
        CHECK_TEXT(failureOf(advise()), time);
    }
}

// Guards against a wrong type or range of a nested field that gives a default: a guarantee of 0, or
// advice that is needed at once.
TEST(platform_codec, refusesBadNestedFieldsOfCatalogues)
{
    const std::string route = R"({"name":"r","host":"h","prefix":"/p/","service":"s")";
    for (const auto &[text, field] : std::vector<std::pair<std::string, std::string>>{
             {R"("tenants":[{"name":"t","guaranteed":{"gpus":"16"}}])",
              "tenants[0].guaranteed.gpus"},
             {R"("tenants":[{"name":"t","guaranteed":{"gpus":-1}}])", "tenants[0].guaranteed.gpus"},
             {R"("tenants":[{"name":"t","guaranteed":{"gpus":1e300}}])",
              "tenants[0].guaranteed.gpus"},
             {"\"routes\":[" + route + R"(,"advice":{"decision_ms":"5"}}])",
              "routes[0].advice.decision_ms"},
             {"\"routes\":[" + route + R"(,"advice":{"validity_ms":-5}}])",
              "routes[0].advice.validity_ms"},
             {"\"routes\":[" + route + R"(,"slack_factor":1e300}])", "routes[0].slack_factor"},
             {"\"routes\":[" + route + R"(,"slack_factor":-1}])", "routes[0].slack_factor"},
             {"\"routes\":[" + route + R"(,"target_completion_ms":9223372036854775807}])",
              "routes[0].target_completion_ms"}}) {
        store_entry entry;
        entry.value = R"({"version":7,)" + text + "}";
        const result<queue_catalogue> decoded = decodeCatalogue(entry);
        CHECK_TEXT(failureOf(decoded), text.c_str());
        STRCMP_EQUAL_TEXT(field.c_str(), failureOf(decoded)->field.c_str(), text.c_str());
    }
}

// Guards against a time that overflows, and against one odd wave that hides the others.
TEST(platform_codec, leavesOutWavesOutOfRange)
{
    std::vector<store_entry> entries(4);
    const std::string machines = R"("machines":["m"],"cap":1)";
    entries[0].value = R"({"wave":1,"duration_s":1e300,)" + machines + "}";
    entries[1].value = R"({"wave":2,"duration_s":-5,)" + machines + "}";
    entries[2].value = R"({"wave":3,"duration_s":60.5,)" + machines + "}";
    entries[3].value = std::string(100'000, '[');
    for (std::size_t i = 0; i < entries.size(); ++i)
        entries[i].key = "op/wave/" + std::to_string(i + 1);
    const operator_items items = sortOperatorItems(entries);
    LONGS_EQUAL(1, items.waves.size());
    LONGS_EQUAL(60'500, items.waves[0].time.count());
}
