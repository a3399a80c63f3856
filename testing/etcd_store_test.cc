#include "goldcrest/asio_event_loop.h"
#include "goldcrest/base64.h"
#include "goldcrest/etcd_store.h"
#include "goldcrest/http_client.h"
#include "goldcrest/store_client.h"
#include "standins/store_server.h"
#include "testing/fuzz_support.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The transfer thread allocates too, and the leak detector is not safe with threads.
const bool leakDetectorOff = (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

constexpr duration waitTimeout = 30s; // upper bound of every wait, far above the expected durations
const call_options defaultOptions{call_priority::Normal, 10s};

http_request adminRequest(const std::string &address, const std::string &method,
                          const std::string &path, const std::string &body)
{
    http_request request;
    request.method = method;
    request.url = "http://" + address + path;
    request.body = body;
    return request;
}

} // namespace

// The adapter and the stand-in server in one process, over a real connection.
TEST_GROUP(etcd_store)
{
    asio_event_loop *loop = nullptr;
    store_server *server = nullptr;
    http_client *client = nullptr;
    etcd_store *store = nullptr;
    std::unique_ptr<asio_event_loop> ownedLoop;
    std::unique_ptr<store_server> ownedServer;
    std::unique_ptr<http_client> ownedClient;
    std::unique_ptr<etcd_store> ownedStore;

    void setup() override
    {
        ownedLoop = std::make_unique<asio_event_loop>();
        ownedServer = std::make_unique<store_server>(*ownedLoop);
        CHECK(failureOf(ownedServer->listen("127.0.0.1:0")) == nullptr);
        ownedClient = makeCurlClient(*ownedLoop);
        ownedStore = std::make_unique<etcd_store>(*ownedClient, *ownedLoop, ownedServer->address());
        loop = ownedLoop.get();
        server = ownedServer.get();
        client = ownedClient.get();
        store = ownedStore.get();
    }

    void teardown() override
    {
        ownedStore.reset();
        ownedClient.reset();
        ownedServer.reset();
        ownedLoop.reset();
    }

    template<typename T>
    T wait(const std::function<void(std::function<void(T)>)> &start)
    {
        std::optional<T> outcome;
        start([&](T answer) { outcome = std::move(answer); });
        CHECK(loop->runUntil([&] { return outcome.has_value(); }, waitTimeout));
        return *outcome;
    }

    result<commit_reply> commit(platform_store & target, const store_transaction &transaction)
    {
        return wait<result<commit_reply>>(
            [&](auto callback) { target.commit(transaction, defaultOptions, callback); });
    }

    result<std::optional<store_entry>> get(const std::string &key)
    {
        return wait<result<std::optional<store_entry>>>(
            [&](auto callback) { store->get(key, defaultOptions, callback); });
    }

    result<http_response> admin(const std::string &method, const std::string &path,
                                const std::string &body)
    {
        return wait<result<http_response>>([&](auto callback) {
            client->send(adminRequest(server->address(), method, path, body), callback);
        });
    }

    static bool failedWith(const result<commit_reply> &outcome, code number)
    {
        return failureOf(outcome) && failureOf(outcome)->number == number;
    }
};

// Guards against malformed requests or answers, and against the loss of bytes that JSON can't
// represent.
TEST(etcd_store, transactionsAndReads)
{
    const std::string key("k\0\xff", 3);
    const std::string value("\0\x01\xfe", 3);
    const auto first
        = commit(*store, store_transaction{}.requireAbsent(key).put(key, value).put("l", ""));
    CHECK(failureOf(first) == nullptr && valueOf(first).applied);
    const auto read = get(key);
    CHECK(failureOf(read) == nullptr && valueOf(read).has_value());
    const store_entry entry = *valueOf(read);
    CHECK(entry.key == key && entry.value == value);
    LONGS_EQUAL(valueOf(first).at, entry.modRevision);
    const auto second = commit(*store, store_transaction{}.requireAbsent(key).put(key, "other"));
    CHECK(failureOf(second) == nullptr && !valueOf(second).applied);
    LONGS_EQUAL(1, valueOf(second).current.size());
    CHECK(valueOf(second).current[0].value == value);
    const auto third = commit(
        *store, store_transaction{}.requireModRevision(key, entry.modRevision).put(key, "third"));
    CHECK(valueOf(third).applied);
    CHECK(valueOf(get(key))->createRevision == entry.createRevision);
    const auto fourth = commit(
        *store, store_transaction{}.requireCreateRevision(key, entry.createRevision).remove(key));
    CHECK(valueOf(fourth).applied);
    CHECK_FALSE(valueOf(get(key)).has_value());
    CHECK(valueOf(get("l"))->value.empty());
}

// Guards against a prefix that also matches its successor, and an ignored limit.
TEST(etcd_store, listsByPrefix)
{
    store_transaction many;
    for (const char *key : {"a/", "a/1", "a/2", "a/\xff", "a0", "b"})
        many.put(key, key);
    commit(*store, many);
    const auto list = [&](const std::string &prefix, std::size_t limit) {
        const auto found = wait<result<std::vector<store_entry>>>(
            [&](auto callback) { store->list(prefix, limit, defaultOptions, callback); });
        CHECK(failureOf(found) == nullptr);
        return valueOf(found).size();
    };
    LONGS_EQUAL(4, list("a/", 0));
    LONGS_EQUAL(2, list("a/", 2));
    LONGS_EQUAL(6, list("", 0));
    LONGS_EQUAL(0, list("c", 0));
}

// Guards against the use of a lease that has ended without a LeaseLost error.
TEST(etcd_store, leasesKeepTheirKeysUntilTheyEnd)
{
    const auto granted = wait<result<lease_id>>(
        [&](auto callback) { store->grantLease(5s, defaultOptions, callback); });
    CHECK(failureOf(granted) == nullptr);
    const lease_id lease = valueOf(granted);
    commit(*store, store_transaction{}.put("leader", "w1", lease));
    LONGS_EQUAL(lease, valueOf(get("leader"))->lease);
    const auto renew = [&] {
        return wait<result<duration>>(
            [&](auto callback) { store->renewLease(lease, defaultOptions, callback); });
    };
    CHECK(valueOf(renew()) == 5s);
    const auto revoked = wait<result<done>>(
        [&](auto callback) { store->revokeLease(lease, defaultOptions, callback); });
    CHECK(failureOf(revoked) == nullptr);
    CHECK_FALSE(valueOf(get("leader")).has_value());
    CHECK(failureOf(renew()) && failureOf(renew())->number == code::LeaseLost);
    CHECK(failedWith(commit(*store, store_transaction{}.put("leader", "w1", lease)),
                     code::LeaseLost));
}

// Guards against a stand-in whose leases never end, with which a dead planner would stay elected.
TEST(etcd_store, anUnrenewedLeaseEndsAndItsKeyIsReportedAsDeleted)
{
    const auto granted = wait<result<lease_id>>([&](auto callback) {
        store->grantLease(500ms, defaultOptions, callback);
    }); // 500 ms is rounded up to 1 s
    bool isDeleted = false;
    const auto watch = store->watch("leader", 0, [&](const watch_batch &batch) {
        for (const watch_event &event : batch.events)
            isDeleted = isDeleted || event.deleted;
    });
    CHECK(loop->runUntil([&] { return server->model().watchCount() == 1; }, waitTimeout));
    commit(*store, store_transaction{}.put("leader", "w1", valueOf(granted)));
    CHECK(loop->runUntil([&] { return isDeleted; }, waitTimeout));
    CHECK_FALSE(valueOf(get("leader")).has_value());
}

// Guards against changes that a watch misses, reports twice or out of order.
TEST(etcd_store, watchesReportPastAndNewChangesInOrder)
{
    const auto first = commit(*store, store_transaction{}.put("w/1", "a"));
    std::vector<std::string> seen;
    const auto recordEvents = [&](const watch_batch &batch) {
        for (const watch_event &event : batch.events)
            seen.push_back(event.entry.key + (event.deleted ? "-" : "=" + event.entry.value));
        if (batch.broken)
            seen.emplace_back("broken");
    };
    std::unique_ptr<store_watch> watch = store->watch("w/", valueOf(first).at, recordEvents);
    CHECK(loop->runUntil([&] { return seen.size() == 1; }, waitTimeout));
    commit(*store, store_transaction{}.put("x", "outside"));
    commit(*store, store_transaction{}.put("w/2", "b").remove("w/1"));
    CHECK(loop->runUntil([&] { return seen.size() == 3; }, waitTimeout));
    const std::vector<std::string> expected = {"w/1=a", "w/2=b", "w/1-"};
    CHECK(seen == expected);
    server->breakWatches();
    CHECK(loop->runUntil([&] { return seen.size() == 4; }, waitTimeout));
    STRCMP_EQUAL("broken", seen.back().c_str());
}

// Guards against a watch that misses changes which the service no longer has.
TEST(etcd_store, aWatchFromACompactedRevisionIsBroken)
{
    for (int i = 0; i < 5; ++i)
        commit(*store, store_transaction{}.put("k", std::to_string(i)));
    server->model().compact(server->model().current());
    bool isBroken = false;
    const auto watch = store->watch(
        "k", 2, [&](const watch_batch &batch) { isBroken = isBroken || batch.broken; });
    CHECK(loop->runUntil([&] { return isBroken; }, waitTimeout));
}

// Guards against a watch that stays open at the service after its caller has cancelled it.
TEST(etcd_store, anEndedWatchIsEndedAtTheService)
{
    std::unique_ptr<store_watch> watch = store->watch("k", 0, [](const watch_batch &) {});
    CHECK(loop->runUntil([&] { return server->model().watchCount() == 1; }, waitTimeout));
    watch.reset();
    CHECK(loop->runUntil([&] { return server->model().watchCount() == 0; }, waitTimeout));
}

// Guards against a transport that repeats a write by itself when an answer is lost.
TEST(etcd_store, aLostAnswerIsAmbiguousAndTheWriteIsSentOnce)
{
    commit(*store, store_transaction{}.put("warm", "up")); // opens a connection to be reused
    for (int i = 0; i < 3; ++i) {
        const std::uint64_t before = server->counts().writes;
        server->faults().loseAnswers = 1;
        const std::string key = "k" + std::to_string(i);
        CHECK(failedWith(commit(*store, store_transaction{}.put(key, "v")), code::StoreAmbiguous));
        LONGS_EQUAL(before + 1, server->counts().writes);
        CHECK(valueOf(get(key)).has_value());
    }
}

// Guards against a resolution of unknown outcomes that works only with the in-memory store.
TEST(etcd_store, theStoreClientResolvesALostAnswer)
{
    store_client resolving(*store, *loop, {});
    server->faults().loseAnswers = 1;
    const auto outcome
        = commit(resolving, store_transaction{}.requireAbsent("k").put("k", "token"));
    CHECK(failureOf(outcome) == nullptr && valueOf(outcome).applied);
    LONGS_EQUAL(1, server->counts().writes);
    LONGS_EQUAL(1, resolving.counts().resolved);
}

// Guards against an ambiguous outcome for calls that were certainly not applied, and the reverse.
TEST(etcd_store, faultsMapToTheirCodes)
{
    server->faults().refuseWrites = true;
    CHECK(failedWith(commit(*store, store_transaction{}.put("k", "v")), code::StoreOverBudget));
    server->faults().refuseWrites = false;
    server->faults().down = true;
    CHECK(failedWith(commit(*store, store_transaction{}.put("k", "v")), code::StoreAmbiguous));
    CHECK(failureOf(get("k"))->number == code::StoreUnavailable);
    server->faults().down = false;
    CHECK(failedWith(
        commit(*store, store_transaction{}.put("k", std::string(maxStoreValueBytes + 1, 'x'))),
        code::StoreValueTooLarge));
    const auto largest
        = commit(*store, store_transaction{}.put("k", std::string(maxStoreValueBytes, 'x')));
    CHECK(failureOf(largest) == nullptr);
    etcd_store unreachable(*client, *loop, "127.0.0.1:1");
    CHECK(
        failedWith(commit(unreachable, store_transaction{}.put("k", "v")), code::StoreUnavailable));
}

// Guards against a process that keeps using an unreachable member of the service.
TEST(etcd_store, theNextMemberIsTriedAfterAFailure)
{
    etcd_store several(
        *client, *loop,
        std::vector<std::string>{"http://127.0.0.1:1/", "http://" + server->address() + '/'});
    CHECK(failedWith(commit(several, store_transaction{}.put("k", "v")), code::StoreUnavailable));
    CHECK(failureOf(commit(several, store_transaction{}.put("k", "v"))) == nullptr);
    CHECK(failureOf(commit(several, store_transaction{}.put("k", "v"))) == nullptr);
}

// Guards against a call that outlives its deadline while the service is slow.
TEST(etcd_store, aSlowAnswerEndsWithTheDeadline)
{
    server->faults().delay = waitTimeout * 10;
    const auto outcome = wait<result<commit_reply>>([&](auto callback) {
        store->commit(store_transaction{}.put("k", "v"), {call_priority::Normal, 200ms}, callback);
    });
    CHECK(failedWith(outcome, code::StoreAmbiguous));
    LONGS_EQUAL(1, server->counts().writes);
    LONGS_EQUAL(1, server->model().range("k", {}).size());
}

// Guards against a stream that takes an error page for data, and callbacks of an ended stream.
TEST(etcd_store, streamsEndWithTheReason)
{
    int pieces = 0;
    std::optional<result<done>> end;
    std::unique_ptr<http_stream> stream = client->stream(
        adminRequest(server->address(), "POST", "/v3/nothing", "{}"),
        [&](std::string_view) { ++pieces; },
        [&](const result<done> &outcome) {
            end = outcome;
            stream.reset(); // a caller may end the stream in its callback
        });
    CHECK(loop->runUntil([&] { return end.has_value(); }, waitTimeout));
    CHECK(failureOf(*end) && failureOf(*end)->number == code::StoreProtocol);
    LONGS_EQUAL(0, pieces);
    end.reset();
    stream = client->stream(
        adminRequest("127.0.0.1:1", "GET", "/", ""), [&](std::string_view) { ++pieces; },
        [&](const result<done> &outcome) { end = outcome; });
    CHECK(loop->runUntil([&] { return end.has_value(); }, waitTimeout));
    CHECK(failureOf(*end)->number == code::StoreUnavailable);
    end.reset();
    stream = client->stream(
        adminRequest("127.0.0.1:1", "GET", "/", ""), [&](std::string_view) { ++pieces; },
        [&](const result<done> &outcome) { end = outcome; });
    stream.reset();
    commit(*store, store_transaction{}.put("k", "v"));
    CHECK_FALSE(end.has_value());
}

// Guards against faults in the admin interface of the stand-in, which the process tests use.
TEST(etcd_store, faultsAndCountsOverHttp)
{
    const auto set = admin("POST", "/standin/faults",
                           R"({"down":true,"delayMs":5,"loseAnswers":2,"refuseWrites":true})");
    LONGS_EQUAL(200, valueOf(set).status);
    CHECK(server->faults().down && server->faults().refuseWrites);
    CHECK(server->faults().delay == 5ms && server->faults().loseAnswers == 2);
    admin("POST", "/standin/faults",
          R"({"down":false,"delayMs":0,"loseAnswers":0,"refuseWrites":false})");
    commit(*store, store_transaction{}.put("k", "v"));
    get("k");
    const auto watch = store->watch("k", 0, [](const watch_batch &) {});
    CHECK(loop->runUntil([&] { return server->model().watchCount() == 1; }, waitTimeout));
    const auto counts = admin("GET", "/standin/counts", "");
    const auto parsed = nlohmann::json::parse(valueOf(counts).body);
    LONGS_EQUAL(1, parsed["writes"].get<int>());
    LONGS_EQUAL(1, parsed["reads"].get<int>());
    LONGS_EQUAL(1, parsed["watches"].get<int>());
    LONGS_EQUAL(1, parsed["waitingWatches"].get<int>());
    LONGS_EQUAL(3, parsed["total"].get<int>());
}

// Guards against an injected restart of the service that loses the write before it, or that never
// ends. The process tests use it.
TEST(etcd_store, aRestartAfterAJobIsStoredKeepsTheJob)
{
    admin("POST", "/standin/faults", R"({"closeAtJobMs":300})");
    commit(*store, store_transaction{}.requireAbsent("k").put("k", "v"));
    const auto job = store_transaction{}.requireAbsent("jobs/t/r").put("jobs/t/r", "record");
    CHECK(failedWith(commit(*store, job), code::StoreAmbiguous));
    CHECK(loop->runUntil([&] { return server->address().empty(); }, waitTimeout));
    CHECK(failureOf(get("k")) != nullptr);
    CHECK(loop->runUntil([&] { return !server->address().empty(); }, waitTimeout));
    const auto kept = get("jobs/t/r");
    CHECK(failureOf(kept) == nullptr && valueOf(kept).has_value());
    CHECK(valueOf(kept)->value == "record");
    const auto next = store_transaction{}.requireAbsent("jobs/t/s").put("jobs/t/s", "record");
    CHECK(failureOf(commit(*store, next)) == nullptr); // the fault occurs once
}

// Guards against many calls at once that lose or mix up answers.
TEST(etcd_store, answersBelongToTheirCalls)
{
    constexpr int calls = 200;
    int correct = 0;
    int ended = 0;
    for (int i = 0; i < calls; ++i)
        commit(*store, store_transaction{}.put("k" + std::to_string(i), std::to_string(i)));
    for (int i = 0; i < calls; ++i) {
        store->get("k" + std::to_string(i), defaultOptions, [&, i](const auto &outcome) {
            ++ended;
            correct += !failureOf(outcome) && valueOf(outcome)->value == std::to_string(i) ? 1 : 0;
        });
    }
    CHECK(loop->runUntil([&] { return ended == calls; }, waitTimeout));
    LONGS_EQUAL(calls, correct);
}

TEST_GROUP(base64){};

// Guards against wrong padding and acceptance of malformed text.
TEST(base64, knownValuesAndMalformedText)
{
    STRCMP_EQUAL("", encodeBase64("").c_str());
    STRCMP_EQUAL("Zg==", encodeBase64("f").c_str());
    STRCMP_EQUAL("Zm8=", encodeBase64("fo").c_str());
    STRCMP_EQUAL("Zm9vYmFy", encodeBase64("foobar").c_str());
    STRCMP_EQUAL("//4=", encodeBase64("\xff\xfe").c_str());
    std::string every;
    for (int byte = 0; byte < 256; ++byte) {
        every += static_cast<char>(byte);
        CHECK(decodeBase64(encodeBase64(every)) == every);
    }
    for (const char *text : {"A", "AA", "AAA", "A===", "AA=A", "====", "AA A", "AA-_"})
        CHECK_FALSE(decodeBase64(text).has_value());
}

// The adapter with prepared answers.
TEST_GROUP(etcd_answers)
{
    fixed_client client;
    std::unique_ptr<asio_event_loop> loop = std::make_unique<asio_event_loop>();

    void respond(const std::string &body)
    {
        client.answer.status = 200;
        client.answer.body = body;
        client.answersLeft = 1;
    }

    result<std::optional<store_entry>> get(const std::string &item)
    {
        respond(R"({"header":{"revision":9},"kvs":[)" + item + "]}");
        etcd_store store(client, *loop, "http://10.0.0.7:2379");
        result<std::optional<store_entry>> entry = std::optional<store_entry>();
        store.get("a", defaultOptions,
                  [&](const result<std::optional<store_entry>> &answer) { entry = answer; });
        return entry;
    }

    template<typename T, typename Call>
    bool fails(const std::string &body, Call call)
    {
        respond(body);
        etcd_store store(client, *loop, "http://10.0.0.7:2379");
        bool hasFailed = false;
        call(store, [&](const result<T> &answer) { hasFailed = failureOf(answer) != nullptr; });
        return hasFailed;
    }
};

// Guards against a revision or lease above 2^63 that is taken for a negative number, and against a
// remaining time whose conversion to milliseconds overflows.
TEST(etcd_answers, refusesNumbersOutOfRange)
{
    CHECK(!failureOf(get(R"({"key":"YQ==","create_revision":3,"mod_revision":"7"})")));
    for (const char *number : {"18446744073709551615", "9223372036854775808", "1e300",
                               "\"9223372036854775808\"", "[]"}) {
        const std::string item = R"({"key":"YQ==","create_revision":)" + std::string(number) + "}";
        CHECK_TEXT(failureOf(get(item)), number);
    }
    for (const char *time : {"9223372036854775807", "\"9223372036854775807\"", "1e300"}) {
        CHECK_TEXT(fails<duration>(R"({"result":{"TTL":)" + std::string(time) + "}}",
                                   [](etcd_store &store, auto callback) {
                                       store.renewLease(5, defaultOptions, callback);
                                   }),
                   time);
    }
    CHECK(fails<lease_id>(R"({"ID":18446744073709551615})", [](etcd_store &store, auto callback) {
        store.grantLease(3s, defaultOptions, callback);
    }));
}

// Guards against a write that counts as refused after an error that promises nothing: the service
// may have carried it out before it or a proxy gave up.
TEST(etcd_answers, onlyKnownRefusalsEndTheOutcomeOfAWrite)
{
    struct expectation
    {
        int status;
        const char *body;
        code ofWrite;
    };
    const expectation expectations[] = {
        {408, "", code::StoreAmbiguous},
        {408, R"({"code":1,"message":"context canceled"})", code::StoreAmbiguous},
        {409, R"({"code":10,"message":"etcdserver: aborted"})", code::StoreAmbiguous},
        {409, "", code::StoreAmbiguous},
        {413, R"({"code":8,"message":"grpc: received message larger than max"})",
         code::StoreAmbiguous},
        {429, R"({"code":8,"message":"grpc: received message larger than max"})",
         code::StoreAmbiguous},
        {499, R"({"code":1,"message":"context canceled"})", code::StoreAmbiguous},
        {400, R"({"code":4,"message":"context deadline exceeded"})", code::StoreAmbiguous},
        {302, "", code::StoreAmbiguous},
        {204, "", code::StoreAmbiguous},
        {400, R"({"code":2,"message":"unknown"})", code::StoreAmbiguous},
        {500, R"({"code":2,"message":"unknown"})", code::StoreAmbiguous},
        {503, R"({"code":14,"message":"etcdserver: request timed out"})", code::StoreAmbiguous},
        {504, R"({"code":4,"message":"etcdserver: request timed out"})", code::StoreAmbiguous},
        {500, R"({"code":8,"message":"proxy"})", code::StoreAmbiguous},
        {400, R"({"code":3,"message":"etcdserver: duplicate key given in txn request"})",
         code::StoreProtocol},
        {400, R"({"code":3,"message":"etcdserver: request is too large"})",
         code::StoreValueTooLarge},
        {401, R"({"code":16,"message":"etcdserver: invalid auth token"})", code::StoreProtocol},
        {403, R"({"code":7,"message":"etcdserver: permission denied"})", code::StoreProtocol},
        {404, R"({"code":5,"message":"etcdserver: requested lease not found"})", code::LeaseLost},
        {429, R"({"code":8,"message":"etcdserver: too many requests"})", code::StoreOverBudget},
        {429, R"({"code":8,"message":"etcdserver: mvcc: database space exceeded"})",
         code::StoreOverBudget},
        {400, "", code::StoreProtocol},
        {404, "", code::StoreProtocol},
        {413, "", code::StoreProtocol},
    };
    for (const expectation &each : expectations) {
        client.answer.status = each.status;
        client.answer.body = each.body;
        client.answersLeft = 1;
        etcd_store store(client, *loop, "http://10.0.0.7:2379");
        std::optional<code> seen;
        store.commit(store_transaction{}.put("k", "v"), defaultOptions, [&](const auto &outcome) {
            seen = failureOf(outcome) ? failureOf(outcome)->number : code::Internal;
        });
        const std::string what = std::to_string(each.status) + " " + each.body + " became "
            + std::string(seen ? nameOf(*seen) : "nothing");
        CHECK_TEXT(seen == each.ofWrite, what.c_str());
    }
}
