#include "goldcrest/store_client.h"
#include "platform/kv_store.h"
#include "platform/operator_feed.h"
#include "standins/kv_service.h"
#include "testing/quiet_log.h"
#include "testing/virtual_event_loop.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// Answers requests with prepared bodies, one after the other, and then no longer.
class scripted_store final : public http_client
{
public:
    void send(http_request request, std::function<void(result<http_response>)> callback) override
    {
        urls.push_back(request.url);
        if (bodies.empty())
            return;
        http_response response;
        response.status = 200;
        response.body = bodies.front();
        bodies.erase(bodies.begin());
        callback(std::move(response));
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)>,
                                        std::function<void(result<done>)>) override
    {
        return nullptr;
    }

    std::vector<std::string> bodies;
    std::vector<std::string> urls;
};

std::string pageOf(const std::string &first, const std::string &second, bool hasMore)
{
    std::string page = R"({"as_of":9,"has_more":)";
    page.append(hasMore ? "true" : "false").append(R"(,"items":[)");
    return page.append(first).append(",").append(second).append("]}");
}

// Returns a configuration with this many routes.
std::string configurationOf(int version, int routes)
{
    nlohmann::json body = {{"version", version},
                           {"services", nlohmann::json::array()},
                           {"tenants", nlohmann::json::array()}};
    for (int i = 0; i < routes; ++i)
        body["routes"].push_back({{"name", "r-more" + std::to_string(i)},
                                  {"host", "more.example"},
                                  {"prefix", "/more" + std::to_string(i) + "/"},
                                  {"kind", "non_idempotent"},
                                  {"timeout_ms", 3000},
                                  {"target_completion_ms", 3000},
                                  {"priority", 2},
                                  {"service", "svc"},
                                  {"max_attempts", 3},
                                  {"slack_factor", 3.0},
                                  {"public", false}});
    return body.dump();
}

} // namespace

TEST_GROUP(platform_store)
{
    virtual_event_loop loop;
    store_model model;
    kv_service service{loop, model};
    platform::kv_store store{service, loop, "10.0.0.7:8524"};
    const call_options options{call_priority::Normal, 500ms};

    void setup() override
    {
        silenceLog();
    }

    // Runs a call to its end.
    template<typename T, typename Call>
    result<T> finish(Call call)
    {
        std::optional<result<T>> outcome;
        call([&](result<T> answer) { outcome = std::move(answer); });
        loop.advance(2s);
        CHECK(outcome.has_value());
        return *outcome;
    }

    result<commit_reply> commit(const store_transaction &transaction)
    {
        return finish<commit_reply>(
            [&](auto callback) { store.commit(transaction, options, callback); });
    }

    void put(const std::string &key, const std::string &value)
    {
        store_transaction write;
        write.put(key, value);
        CHECK(!failureOf(model.commit(write)));
    }

    // Limits like those of the real processes.
    static store_client_options quickOptions()
    {
        store_client_options quick;
        quick.attemptTimeout = 700ms;
        quick.initialTimeout = 120ms;
        quick.initialBackoff = 15ms;
        quick.initialOpenTime = quick.maxOpenTime = 200ms;
        return quick;
    }

    // Lets the store fail for a while, publishes a configuration of this many routes, and returns
    // the version in force 3 s later. Meanwhile the process also reads small keys.
    std::int64_t versionAfterAnOutage(std::size_t bytesPerMs, int routes, bool isSilent)
    {
        service.faults().bytesPerMs = bytesPerMs;
        put("op/config", configurationOf(7, 1));
        store_client client(store, loop, quickOptions());
        std::int64_t version = 0;
        platform::operator_feed feed(loop, client, 600ms, 4s, [&](const operator_view &view) {
            version = view.catalogue->version;
        });
        const timer_handle others = loop.every(250ms, [&] {
            client.get("cells/main/leader", {call_priority::Urgent, 900ms}, [](const auto &) {});
        });
        loop.advance(4s);
        LONGS_EQUAL(7, version);
        (isSilent ? service.faults().loseAnswers : service.faults().refuse) = 1'000'000;
        loop.advance(4500ms);
        service.faults().loseAnswers = service.faults().refuse = 0;
        put("op/config", configurationOf(8, routes));
        loop.advance(3s);
        return version;
    }

    result<std::optional<store_entry>> get(const std::string &key)
    {
        return finish<std::optional<store_entry>>(
            [&](auto callback) { store.get(key, options, callback); });
    }
};

// Guards against a write that the store refuses for its size and that is sent again and again.
TEST(platform_store, valuesThatAreTooLargeAreNotSent)
{
    const auto writeOf = [this](std::size_t size) {
        return finish<commit_reply>([&](auto callback) {
            store_transaction write;
            write.put("k", std::string(size, 'x'));
            store.commit(std::move(write), options, callback);
        });
    };
    CHECK(!failureOf(writeOf(platform::defaultMaxValueBytes)));
    const auto refused = writeOf(platform::defaultMaxValueBytes + 1);
    CHECK(failureOf(refused)->number == code::StoreValueTooLarge);
}

// Guards against keys or values that change in transit, and a failed precondition that still
// writes.
TEST(platform_store, writesAndReadsAnyBytes)
{
    const std::string value("a\0\xff/+ z", 7);
    store_transaction write;
    write.requireAbsent("gc/x y").put("gc/x y", value);
    CHECK(valueOf(commit(write)).applied);
    const auto entry = valueOf(get("gc/x y"));
    CHECK(entry.has_value());
    CHECK(entry->value == value);
    CHECK(!valueOf(get("gc/other")).has_value());
    const commit_reply refused = valueOf(commit(write));
    CHECK(!refused.applied);
    LONGS_EQUAL(1, refused.current.size());
    CHECK(refused.current[0].value == value);
}

// Guards against a listing that ends after its first page.
TEST(platform_store, listsPageByPage)
{
    for (int i = 0; i < 7; ++i) {
        store_transaction write;
        write.put("gc/" + std::to_string(i), "v");
        commit(write);
    }
    service.faults().pageItems = 3;
    const auto listed = valueOf(finish<std::vector<store_entry>>(
        [&](auto callback) { store.list("gc/", 0, options, callback); }));
    LONGS_EQUAL(7, listed.size());
    STRCMP_EQUAL("gc/6", listed.back().key.c_str());
}

// Responses 503 and 429 mean that the write was not applied; a lost answer leaves its outcome
// unknown.
// Answers each request with the same body.
class fixed_client final : public http_client
{
public:
    explicit fixed_client(std::string body)
        : m_body(std::move(body))
    { }
    void send(http_request, std::function<void(result<http_response>)> callback) override
    {
        http_response response;
        response.status = 200;
        response.body = m_body;
        callback(response);
    }
    std::unique_ptr<http_stream> stream(http_request, std::function<void(std::string_view)>,
                                        std::function<void(result<done>)>) override
    {
        return nullptr;
    }

private:
    std::string m_body;
};

// Guards against a process that ends because of one malformed answer.
TEST(platform_store, malformedPagesAreErrors)
{
    for (const std::string body :
         {R"({"items":[],"has_more":true})", R"({"items":[7],"has_more":true})",
          R"({"items":["x"],"has_more":true})", R"({"items":[{"key":7}],"has_more":true})",
          R"({"items":[null],"has_more":true})", R"({"items":{"a":1},"has_more":true})", R"([1])",
          "{", ""}) {
        fixed_client client(body);
        platform::kv_store other(client, loop, "10.0.0.7:8524");
        std::optional<result<std::vector<store_entry>>> outcome;
        other.list("gc/", 0, options,
                   [&](const result<std::vector<store_entry>> &answer) { outcome = answer; });
        CHECK(outcome.has_value());
        CHECK(failureOf(*outcome) != nullptr);
    }
}

TEST(platform_store, refusalsAndLostAnswersDiffer)
{
    store_transaction write;
    write.put("gc/a", "v");
    service.faults().refuse = 1;
    CHECK(failureOf(commit(write))->number == code::StoreUnavailable);
    service.faults().refuse = 1;
    service.faults().refusalStatus = 429;
    CHECK(failureOf(commit(write))->number == code::StoreOverBudget);
    service.faults().loseAnswers = 1;
    CHECK(failureOf(commit(write))->number == code::StoreAmbiguous);
    CHECK(valueOf(get("gc/a")).has_value());
}

// Guards against a caller that is told that nothing was written, by a status that says nothing of
// the kind: the server carries out the transaction and fails while it answers.
TEST(platform_store, unexpectedStatusOfAWriteLeavesItsOutcomeOpen)
{
    store_transaction write;
    write.put("k", "v");
    for (const int status : {500, 502, 504, 408, 302}) {
        service.faults().misreport = 1;
        service.faults().misreportedStatus = status;
        const result<commit_reply> outcome = commit(write);
        CHECK(failureOf(outcome));
        STRCMP_EQUAL_TEXT("StoreAmbiguous", std::string(nameOf(failureOf(outcome)->number)).c_str(),
                          std::to_string(status).c_str());
    }
    for (const int status : {400, 403, 413}) {
        service.faults().refuse = 1;
        service.faults().refusalStatus = status;
        CHECK(failureOf(commit(write))->number == code::StoreProtocol);
    }
}

// Guards against a conflict that is taken for a missing key, since the body of the response was
// lost.
TEST(platform_store, conflictWithoutItsValuesIsAFailure)
{
    store_transaction write;
    write.requireAbsent("k").put("k", "v");
    CHECK(valueOf(commit(write)).applied);
    service.faults().misreport = 1;
    service.faults().misreportedStatus = 412;
    CHECK(failureOf(commit(write)));
    CHECK(!valueOf(commit(write)).applied);
}

// Guards against keys that outlive their lease, and writes with a lease that has ended.
TEST(platform_store, leasesEndTheirKeys)
{
    const lease_id lease = valueOf(
        finish<lease_id>([&](auto callback) { store.grantLease(5s, options, callback); }));
    store_transaction write;
    write.put("gc/a", "v", lease);
    CHECK(valueOf(commit(write)).applied);
    const auto renew = [&](auto callback) { store.renewLease(lease, options, callback); };
    CHECK(valueOf(finish<duration>(renew)) > 0ms);
    loop.advance(6s);
    CHECK(failureOf(finish<duration>(renew))->number == code::LeaseLost);
    CHECK(!valueOf(get("gc/a")).has_value());
    CHECK(failureOf(commit(write))->number == code::LeaseLost);
}

// A watch resumes from its last position after it fails or its wait times out.
TEST(platform_store, watchResumesAfterFailures)
{
    std::vector<std::string> keys;
    const auto watch = store.watch("gc/", model.current() + 1, [&](const watch_batch &batch) {
        for (const watch_event &event : batch.events)
            keys.push_back(event.entry.key);
    });
    loop.advance(3s);
    store_transaction first;
    first.put("gc/1", "v");
    commit(first);
    service.faults().failWatches = true;
    loop.advance(3s);
    store_transaction second;
    second.put("gc/2", "v");
    commit(second);
    loop.advance(3s);
    LONGS_EQUAL(2, keys.size());
    STRCMP_EQUAL("gc/2", keys[1].c_str());
}

// Guards against a watch that silently skips compacted changes.
TEST(platform_store, watchWithoutItsHistoryIsBroken)
{
    for (int i = 0; i < 5; ++i) {
        store_transaction write;
        write.put("gc/1", std::to_string(i));
        commit(write);
    }
    model.compact(model.current());
    int broken = 0;
    const auto watch
        = store.watch("gc/", 2, [&](const watch_batch &batch) { broken += batch.broken ? 1 : 0; });
    loop.advance(3s);
    LONGS_EQUAL(1, broken);
}

// Guards against slow calls: short initial timeouts resolve a lost answer before 700 ms pass.
TEST(platform_store, lostAnswerIsResolvedQuickly)
{
    store_client_options fast;
    fast.initialTimeout = 120ms;
    fast.initialBackoff = 15ms;
    store_client client(store, loop, fast);
    service.faults().loseAnswers = 1;
    store_transaction write;
    write.requireAbsent("gc/a").put("gc/a", "token-1");
    bool applied = false;
    client.commit(write, {call_priority::Normal, 1500ms}, [&](const result<commit_reply> &outcome) {
        applied = !failureOf(outcome) && valueOf(outcome).applied;
    });
    loop.advance(200ms);
    CHECK(applied);
}

// Guards against a view that looks newer than its last successful read.
TEST(platform_store, operatorViewCarriesTheTimeOfItsRead)
{
    put("op/config", R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
        "service":"s","priority":1,"max_attempts":4,"slack_factor":3.0,
        "target_completion_ms":1000}],"services":[],"tenants":[]})");
    operator_view seen;
    int views = 0;
    platform::operator_feed feed(loop, store, 500ms, 4s, [&](const operator_view &view) {
        seen = view;
        ++views;
    });
    loop.advance(20ms);
    LONGS_EQUAL(7, seen.catalogue->version);
    const time_point first = seen.confirmedAt;
    put("op/evacuate/north", "{}");
    loop.advance(600ms);
    CHECK(seen.evacuatedDomains.count("north") == 1);
    CHECK(seen.confirmedAt > first);
    // A document that does not parse keeps the last good configuration in force.
    put("op/config", "no json");
    loop.advance(1s);
    LONGS_EQUAL(7, seen.catalogue->version);
    const int before = views;
    service.faults().refuse = 100;
    loop.advance(2s);
    LONGS_EQUAL(before, views);
}

// Guards against a list that one odd item ends for good, at whatever place of a page it is, and
// against one that never ends because its pages do not advance.
TEST(platform_store, listsPastUnreadableItems)
{
    scripted_store client;
    platform::kv_store odd{client, loop, "10.0.0.7:8524"};
    const auto list = [&] {
        return finish<std::vector<store_entry>>(
            [&](auto callback) { odd.list("gc/", 0, options, callback); });
    };
    const std::string first = R"({"key":"gc/a","value":"eA==","revision":7,"created":3})";
    const std::string second = R"({"key":"gc/c","value":"eA==","revision":8,"created":4})";
    for (const std::string &item :
         {std::string("7"), std::string("[]"), std::string("{}"), std::string(R"({"key":5})"),
          std::string(R"({"key":"gc/b","value":"eA==","revision":9223372036854775808})"),
          std::string(R"({"key":"gc/b","value":"eA==","revision":1e400})")}) {
        client.urls.clear();
        client.bodies = {pageOf(first, item, true), pageOf(item, second, false)};
        const auto entries = list();
        CHECK_TEXT(!failureOf(entries), item.c_str());
        LONGS_EQUAL_TEXT(2, valueOf(entries).size(), item.c_str());
        LONGS_EQUAL(2, client.urls.size());
    }
    const std::string same = pageOf(first, first, true);
    client.urls.clear();
    client.bodies = {same, same, same, same};
    CHECK(failureOf(list())->number == code::StoreProtocol);
    LONGS_EQUAL(2, client.urls.size());
}

// Guards against a watch that one odd event stops, and against an event that is taken for a write
// because its flag can't be read.
TEST(platform_store, watchesPastUnreadableEvents)
{
    scripted_store client;
    platform::kv_store odd{client, loop, "10.0.0.7:8524"};
    const std::string good = R"({"key":"gc/a","value":"eA==","revision":8,"created":3})";
    client.bodies = {R"({"as_of":8,"events":[7,{"key":"gc/b","revision":7,"deleted":"yes"},
                         {"key":"gc/c","revision":18446744073709551615},
                         {"key":"gc/d","revision":7,"created":-1e400},)"
                         + good + "]}",
                     R"({"as_of":9,"events":[{"key":"gc/a","revision":9,"deleted":true}]})"};
    std::vector<watch_event> events;
    const auto watch = odd.watch("gc/", 7, [&](const watch_batch &batch) {
        events.insert(events.end(), batch.events.begin(), batch.events.end());
    });
    LONGS_EQUAL(2, events.size());
    CHECK(!events[0].deleted);
    CHECK(events[1].deleted);
    LONGS_EQUAL(3, client.urls.size());
    CHECK(client.urls[2].find("after=9") != std::string::npos);
}

// Guards against lease 0, which stands for no lease: keys that are written with it would stay for
// good. A renewal counts whatever its body is, since the store promises only its status.
TEST(platform_store, refusesLeasesThatAreNone)
{
    scripted_store client;
    platform::kv_store odd{client, loop, "10.0.0.7:8524"};
    for (const char *body : {"{}", R"({"lease":0})", R"({"lease":-5})", R"({"lease":1e300})",
                             R"({"lease":18446744073709551615})"}) {
        client.bodies = {body};
        const auto granted
            = finish<lease_id>([&](auto callback) { odd.grantLease(1s, options, callback); });
        CHECK_TEXT(failureOf(granted), body);
    }
    for (const char *body : {"{}", "[", R"({"ttl_ms":-1})", R"({"ttl_ms":1600})"}) {
        client.bodies = {body};
        CHECK_TEXT(!failureOf(finish<duration>(
                       [&](auto callback) { odd.renewLease(5, options, callback); })),
                   body);
    }
}

// Guards CONFIG (review/13): after an outage of the store, fronts with a slow link never read a
// configuration of many routes, since each attempt was cut off before its end.
TEST(platform_store, largeConfigurationIsReadOnASlowLink)
{
    constexpr std::size_t mbps = 125; // bytes in a millisecond
    LONGS_EQUAL(8, versionAfterAnOutage(10 * mbps, 1400, false));
    LONGS_EQUAL(8, versionAfterAnOutage(10 * mbps, 1400, true));
    LONGS_EQUAL(8, versionAfterAnOutage(2 * mbps, 350, false));
    LONGS_EQUAL(8, versionAfterAnOutage(2 * mbps, 350, true));
}

// Guards takeovers: a planner that reads a long list began anew after each lost page, with as
// little time as for the whole.
TEST(platform_store, listingGoesOnAfterALostPage)
{
    for (int i = 100; i < 400; ++i)
        put("gc/run/" + std::to_string(i), "record");
    service.faults().pageItems = 50;
    store_client client(store, loop, quickOptions());
    std::optional<result<std::vector<store_entry>>> outcome;
    client.list("gc/run/", 0, {call_priority::Urgent, 400ms, largeAnswer},
                [&](auto listed) { outcome = std::move(listed); });
    // One in two pages is lost.
    std::size_t pages = 0;
    for (int lost = 0; lost < 3; ++lost) {
        pages = service.calls().size();
        CHECK(loop.advanceUntil([&] { return service.calls().size() > pages; }, 1s, 1ms));
        service.faults().losePages = 1;
        CHECK(loop.advanceUntil([&] { return service.faults().losePages == 0; }, 1s, 1ms));
    }
    loop.advance(3s);
    CHECK(outcome && !failureOf(*outcome));
    LONGS_EQUAL(300, valueOf(*outcome).size());
    STRCMP_EQUAL("gc/run/399", valueOf(*outcome).back().key.c_str());
    LONGS_EQUAL(6 + 3, service.calls().size());
}

// Guards the limit of a listing that makes no progress.
TEST(platform_store, listingWithoutProgressEndsByItsDeadline)
{
    put("gc/run/1", "record");
    service.faults().loseAnswers = 100;
    store_client client(store, loop, quickOptions());
    bool hasFailed = false;
    client.list("gc/run/", 0, {call_priority::Urgent, 400ms, largeAnswer},
                [&](const auto &listed) { hasFailed = failureOf(listed) != nullptr; });
    loop.advance(410ms);
    CHECK(hasFailed);
}

// Guards callers with 250 ms: a large answer on a slow link does not lengthen the time after which
// a small one counts as lost.
TEST(platform_store, largeAnswersDoNotDelayTheRepetitionOfSmallOnes)
{
    put("op/config", configurationOf(7, 1400));
    service.faults().bytesPerMs = 1250;
    store_client client(store, loop, quickOptions());
    client.list("op/", 0, {call_priority::Urgent, 900ms, largeAnswer}, [](const auto &) {});
    loop.advance(2s);
    service.faults().loseAnswers = 1;
    bool isAnswered = false;
    client.get("gc/in/job/1", {call_priority::Normal, 900ms},
               [&](const auto &outcome) { isAnswered = !failureOf(outcome); });
    loop.advance(200ms);
    CHECK(isAnswered);
}

// Load pattern: a front reads a configuration of 1,400 routes on 10 Mbit/s for a minute. In full
// each time, that would be 100 times the configuration.
TEST(platform_store, largeConfigurationIsNotReadAgainEachTime)
{
    const std::string large = configurationOf(7, 1400);
    service.faults().bytesPerMs = 1250;
    put("op/config", large);
    store_client client(store, loop, quickOptions());
    operator_view seen;
    platform::operator_feed feed(loop, client, 600ms, 4s,
                                 [&](const operator_view &view) { seen = view; });
    loop.advance(2s);
    LONGS_EQUAL(7, seen.catalogue->version);
    const std::size_t before = service.sentBytes();
    duration oldest = 0ms;
    for (int i = 0; i < 600; ++i) {
        loop.advance(100ms);
        oldest = std::max(oldest, loop.now() - seen.confirmedAt);
        CHECK(loop.now() - seen.heardAt < 1500ms); // the front stays ready
    }
    CHECK(service.sentBytes() - before < 10 * large.size());
    CHECK(oldest < 3s); // keys are refused after 4 s, and the planner starts nothing after 3 s
    // What changes is known after the next read, also while a full one is not due.
    put("op/evacuate/north", "{}");
    loop.advance(1100ms);
    CHECK(seen.evacuatedDomains.count("north") == 1);
    store_transaction removal;
    removal.remove("op/evacuate/north");
    CHECK(!failureOf(model.commit(removal)));
    put("op/config", configurationOf(8, 1400));
    loop.advance(1700ms);
    CHECK(seen.evacuatedDomains.empty());
    LONGS_EQUAL(8, seen.catalogue->version);
}

// Guards CONFIG and keys: the store leaves changes out while it drops its history.
TEST(platform_store, changesThatAWatchDoesNotHearAreFound)
{
    put("op/config", configurationOf(7, 400));
    operator_view seen;
    platform::operator_feed feed(loop, store, 600ms, 4s,
                                 [&](const operator_view &view) { seen = view; });
    loop.advance(2s);
    service.faults().hideEvents = true;
    put("op/config", configurationOf(8, 400));
    const time_point changedAt = loop.now();
    loop.advance(1s);
    CHECK(seen.confirmedAt <= changedAt);
    model.compact(model.current() + 1);
    service.faults().hideEvents = false;
    loop.advance(700ms);
    LONGS_EQUAL(8, seen.catalogue->version);
    // Even if the history is never dropped.
    service.faults().hideEvents = true;
    put("op/config", configurationOf(9, 400));
    loop.advance(11s);
    LONGS_EQUAL(9, seen.catalogue->version);
}

// Guards the bytes on a slow link: while versions follow each other, only the newest is read.
TEST(platform_store, quickVersionsAreReadInFull)
{
    put("op/config", configurationOf(7, 400));
    std::int64_t version = 0;
    platform::operator_feed feed(loop, store, 600ms, 4s, [&](const operator_view &view) {
        version = view.catalogue->version;
    });
    loop.advance(2s);
    for (int i = 8; i < 30; ++i) {
        put("op/config", configurationOf(i, 400));
        loop.advance(100ms);
    }
    loop.advance(700ms);
    LONGS_EQUAL(29, version);
    const std::size_t watches = static_cast<std::size_t>(
        std::count_if(service.calls().begin(), service.calls().end(), [](const std::string &call) {
            return call.find("kv-watch") != std::string::npos;
        }));
    CHECK(watches <= 12);
}

// Guards callers with keys where keys must stop working soon: a view from changes alone would be
// too old for them after the loss of an answer.
TEST(platform_store, shortLivedViewsAreReadInFull)
{
    put("op/config", configurationOf(7, 400));
    duration oldest = 0ms;
    operator_view seen;
    platform::operator_feed feed(loop, store, 600ms, 2s,
                                 [&](const operator_view &view) { seen = view; });
    loop.advance(1s);
    for (int i = 0; i < 100; ++i) {
        loop.advance(100ms);
        oldest = std::max(oldest, loop.now() - seen.confirmedAt);
    }
    CHECK(oldest < 700ms);
    feed.setLongestAge(4s);
    loop.advance(5s);
    CHECK(service.calls().back().find("kv-watch") != std::string::npos);
}

// Guards fronts that are never ready: the store refuses to tell changes.
TEST(platform_store, refusedChangesAreReplacedByReadsInFull)
{
    put("op/config", configurationOf(7, 400));
    operator_view seen;
    platform::operator_feed feed(loop, store, 600ms, 4s,
                                 [&](const operator_view &view) { seen = view; });
    loop.advance(1s);
    service.faults().refuseWatches = true;
    loop.advance(1s);
    for (int i = 0; i < 100; ++i) {
        loop.advance(100ms);
        CHECK(loop.now() - seen.heardAt < 1500ms);
    }
}
