#include "goldcrest/asio_event_loop.h"
#include "goldcrest/store_client.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

const call_options normal{call_priority::Normal, 2s};
const call_options urgent{call_priority::Urgent, 2s};
const call_options background{call_priority::Background, 2s};

store_transaction guardedPut(const std::string &key, const std::string &value)
{
    return store_transaction{}.requireAbsent(key).put(key, value);
}

} // namespace

TEST_GROUP(store_client)
{
    virtual_event_loop loop;
    store_model model;
    fake_store inner{model, loop};

    // Runs a commit to its end.
    result<commit_reply> commit(store_client & client, const store_transaction &transaction,
                                const call_options &options = normal)
    {
        std::optional<result<commit_reply>> outcome;
        client.commit(transaction, options,
                      [&](result<commit_reply> answer) { outcome = std::move(answer); });
        CHECK_FALSE(outcome.has_value()); // never inside the call
        CHECK(loop.advanceUntil([&] { return outcome.has_value(); }, 1min));
        return *outcome;
    }

    result<std::optional<store_entry>> get(store_client & client, const std::string &key,
                                           const call_options &options = normal)
    {
        std::optional<result<std::optional<store_entry>>> outcome;
        client.get(key, options, [&](auto answer) { outcome = std::move(answer); });
        CHECK(loop.advanceUntil([&] { return outcome.has_value(); }, 1min));
        return *outcome;
    }

    static bool failedWith(const result<commit_reply> &outcome, code number)
    {
        return failureOf(outcome) && failureOf(outcome)->number == number;
    }
};

// Guards against a write that took effect and is reported as failed or made twice.
TEST(store_client, aLostAnswerIsResolvedByReadingBack)
{
    store_client client(inner, loop, {});
    inner.faults().loseAnswers = 1;
    const result<commit_reply> outcome = commit(client, guardedPut("k", "token-1"));
    CHECK(failureOf(outcome) == nullptr);
    CHECK(valueOf(outcome).applied);
    LONGS_EQUAL(1, inner.counts().writes);
    LONGS_EQUAL(1, client.counts().resolved);
}

// Guards against a guarded write that is given up although its request never arrived.
TEST(store_client, aLostRequestIsSentAgainIfGuarded)
{
    store_client client(inner, loop, {});
    inner.faults().loseRequests = 1;
    const result<commit_reply> outcome = commit(client, guardedPut("k", "token-1"));
    CHECK(failureOf(outcome) == nullptr);
    CHECK(valueOf(outcome).applied);
    LONGS_EQUAL(2, inner.counts().writes);
}

// Guards against a blind repetition that overwrites a newer value.
TEST(store_client, anUnguardedWriteWithoutProofStaysAmbiguous)
{
    store_client client(inner, loop, {});
    inner.faults().loseRequests = 1;
    const result<commit_reply> outcome = commit(client, store_transaction{}.put("k", "token-1"));
    CHECK(failedWith(outcome, code::StoreAmbiguous));
    LONGS_EQUAL(1, inner.counts().writes);
    CHECK(model.range("k", {}).empty());
}

// Guards against a repetition of a write with neither a condition nor a value to read back after a
// failure that leaves its outcome open.
TEST(store_client, anUnguardedWriteIsRepeatedOnlyAfterFailuresWithoutEffect)
{
    const store_transaction removal = store_transaction{}.remove("k");
    const code codes[] = {code::StoreAmbiguous, code::StoreProtocol, code::LeaseLost,
                          code::Internal,       code::StoreConflict, code::OutcomeUnknown};
    for (const code number : codes) {
        store_client client(inner, loop, {});
        const std::uint64_t before = inner.counts().writes;
        inner.faults().loseAnswers = 1;
        inner.faults().lostAnswer = number;
        const result<commit_reply> outcome = commit(client, removal);
        CHECK_TEXT(failureOf(outcome) && !wroteNothing(failureOf(outcome)->number),
                   std::string(nameOf(number)).c_str());
        LONGS_EQUAL(before + 1, inner.counts().writes);
    }
    // Refused attempts come first, then one with an open outcome, which is the last.
    store_client client(inner, loop, {});
    const std::uint64_t before = inner.counts().writes;
    inner.faults().refuseWrites = true;
    inner.faults().loseAnswers = 1;
    inner.faults().lostAnswer = code::StoreAmbiguous;
    std::optional<result<commit_reply>> outcome;
    client.commit(removal, normal, [&](auto answer) { outcome = answer; });
    loop.advance(1ms);
    CHECK_FALSE(outcome.has_value());
    inner.faults().refuseWrites = false;
    CHECK(loop.advanceUntil([&] { return outcome.has_value(); }, 1min));
    CHECK(failedWith(*outcome, code::StoreAmbiguous));
    LONGS_EQUAL(0, inner.faults().loseAnswers);
    LONGS_EQUAL(before + 2, inner.counts().writes);
}

// Guards against "did not take effect" for a write that took effect and was overwritten.
TEST(store_client, anOverwrittenWriteStaysAmbiguous)
{
    store_client client(inner, loop, {});
    inner.faults().loseAnswers = 1;
    std::optional<result<commit_reply>> outcome;
    client.commit(guardedPut("k", "token-1"), normal, [&](auto answer) { outcome = answer; });
    CHECK_FALSE(failureOf(model.commit(store_transaction{}.put("k", "of another writer"))));
    CHECK(loop.advanceUntil([&] { return outcome.has_value(); }, 1min));
    CHECK(failedWith(*outcome, code::StoreAmbiguous));
    LONGS_EQUAL(1, client.counts().unresolved);
}

// Guards against ambiguous writes during an outage being reported as without effect.
TEST(store_client, aLostAnswerBeforeAnOutageStaysAmbiguous)
{
    store_client client(inner, loop, {});
    inner.faults().loseAnswers = 1;
    std::optional<result<commit_reply>> outcome;
    client.commit(guardedPut("k", "token-1"), normal, [&](auto answer) { outcome = answer; });
    inner.faults().down = true;
    CHECK(loop.advanceUntil([&] { return outcome.has_value(); }, 1min));
    CHECK(failedWith(*outcome, code::StoreAmbiguous));
}

// Guards against a log that shows only the last error of a call, though an earlier attempt decides
// whether the write may have taken effect.
TEST(store_client, failureNamesTheFirstAttempt)
{
    store_client client(inner, loop, {});
    inner.faults().loseAnswers = 1;
    std::optional<result<commit_reply>> outcome;
    client.commit(guardedPut("k", "token-1"), normal, [&](auto answer) { outcome = answer; });
    CHECK(loop.advanceUntil([&] { return inner.faults().loseAnswers == 0; }, 1s));
    inner.faults().down = true;
    CHECK(loop.advanceUntil([&] { return outcome.has_value(); }, 1min));
    STRCMP_CONTAINS("(1 attempts to write, 1 without an answer; the first: the connection closed",
                    failureOf(*outcome)->reason.c_str());
}

// Guards against a conflict that is hidden by the resolution of lost answers.
TEST(store_client, aConflictIsReportedAsNotApplied)
{
    store_client client(inner, loop, {});
    CHECK(valueOf(commit(client, guardedPut("k", "a"))).applied);
    const result<commit_reply> second = commit(client, guardedPut("k", "b"));
    CHECK_FALSE(valueOf(second).applied);
    STRCMP_EQUAL("a", valueOf(second).current.at(0).value.c_str());
}

// Guards against calls that never end while the store is down, and against a late end.
TEST(store_client, everyCallEndsByItsDeadlineDuringAnOutage)
{
    store_client client(inner, loop, {});
    inner.faults().unresponsive = true;
    int ended = 0;
    constexpr int calls = 60;
    for (int i = 0; i < calls; ++i)
        client.get("k", {call_priority::Background, 2s}, [&](const auto &) { ++ended; });
    loop.advance(2s + 10ms);
    LONGS_EQUAL(calls, ended);
}

// Guards against a retry storm that multiplies the load of a failing store.
TEST(store_client, retriesStayWithinTheirBudget)
{
    store_client_options options;
    options.failuresToOpen = 1'000'000; // the breaker is tested below
    options.maxSavedRetries = 20;
    options.retryShare = 0.2;
    store_client client(inner, loop, options);
    inner.faults().down = true;
    constexpr int calls = 500;
    int ended = 0;
    for (int i = 0; i < calls; ++i) {
        client.get("k", normal, [&](const auto &) { ++ended; });
        loop.advance(20ms);
    }
    loop.advance(5s);
    LONGS_EQUAL(calls, ended);
    CHECK(client.counts().retries <= 20 + calls / 5);
    CHECK(inner.counts().total() <= calls + 20 + calls / 5);
}

// Guards against urgent calls that wait behind a burst of others.
TEST(store_client, urgentCallsGoFirst)
{
    store_client_options options;
    options.callsPerSecond = 10;
    options.burst = 10;
    store_client client(inner, loop, options);
    const call_options backgroundWithLongDeadline{call_priority::Background, 1min};
    const call_options normalWithLongDeadline{call_priority::Normal, 1min};
    for (int i = 0; i < 20; ++i)
        client.get("background", backgroundWithLongDeadline, [](const auto &) {});
    for (int i = 0; i < 20; ++i)
        client.get("normal", normalWithLongDeadline, [](const auto &) {});
    // One token at least is kept for urgent calls after any burst of the others.
    const std::size_t before = inner.callOrder().size();
    client.get("urgent", urgent, [](const auto &) {});
    LONGS_EQUAL(before + 1, inner.callOrder().size());
    STRCMP_EQUAL("urgent", inner.callOrder().back().c_str());
    for (int i = 0; i < 5; ++i)
        client.get("urgent", {call_priority::Urgent, 1min}, [](const auto &) {});
    loop.advance(1min);
    const std::vector<std::string> &order = inner.callOrder();
    const auto lastUrgent = std::find(order.rbegin(), order.rend(), "urgent");
    const auto nextNormal
        = std::find(order.begin() + static_cast<std::ptrdiff_t>(before), order.end(), "normal");
    CHECK(&*lastUrgent < &*nextNormal);
    const auto lastNormal = std::find(order.rbegin(), order.rend(), "normal");
    const auto lateBackground
        = std::find(order.begin() + static_cast<std::ptrdiff_t>(before), order.end(), "background");
    CHECK(&*lastNormal < &*lateBackground);
}

// Guards against an unbounded queue, and against urgent calls refused for the sake of others.
TEST(store_client, aFullQueueRefusesAndGivesWayToUrgentCalls)
{
    store_client_options options;
    options.callsPerSecond = 1;
    options.burst = 2;
    options.maxQueued = 4;
    store_client client(inner, loop, options);
    std::vector<std::string> refused;
    const auto add = [&](const std::string &name, const call_options &chosen) {
        client.get(name, chosen, [&refused, name](const auto &outcome) {
            if (failureOf(outcome) && failureOf(outcome)->number == code::StoreOverBudget)
                refused.push_back(name);
        });
    };
    for (int i = 0; i < 8; ++i)
        add("background", background);
    for (int i = 0; i < 4; ++i)
        add("urgent", urgent);
    loop.advance(1ms);
    CHECK(std::find(refused.begin(), refused.end(), "background") != refused.end());
    CHECK(std::find(refused.begin(), refused.end(), "urgent") == refused.end());
}

// Guards against calls that pile up at a store that is down, and against a breaker that stays open.
TEST(store_client, theBreakerOpensAndClosesByAProbe)
{
    store_client client(inner, loop, {});
    inner.faults().down = true;
    for (int i = 0; i < 5; ++i)
        CHECK(failureOf(get(client, "k")) != nullptr);
    CHECK(client.isSuspended());
    const std::uint64_t before = inner.counts().total();
    for (int i = 0; i < 100; ++i)
        client.get("k", normal, [](const auto &) {});
    loop.advance(10ms);
    CHECK(inner.counts().total() - before <= 1);
    inner.faults().down = false;
    CHECK(loop.advanceUntil([&] { return failureOf(get(client, "k")) == nullptr; }, 10s, 100ms));
    CHECK_FALSE(client.isSuspended());
}

// Guards against reads that are suspended because the store refuses writes.
TEST(store_client, refusedWritesDoNotSuspendReads)
{
    store_client client(inner, loop, {});
    inner.faults().refuseWrites = true;
    for (int i = 0; i < 10; ++i)
        CHECK(failedWith(commit(client, guardedPut("k", "a")), code::StoreOverBudget));
    CHECK(failureOf(get(client, "k")) == nullptr);
}

// Guards against a process that reports a wrong time of its last contact with the store.
TEST(store_client, lastContactIsTheTimeOfReceipt)
{
    store_client client(inner, loop, {});
    CHECK_FALSE(client.lastContact().has_value());
    inner.faults().delay = 100ms;
    const time_point sentAt = loop.now();
    get(client, "k");
    CHECK(client.lastContact() == sentAt + 100ms);
    inner.faults().down = true;
    get(client, "k");
    CHECK(client.lastContact() == sentAt + 100ms);
}

// Guards against callbacks into objects that were destroyed with the client.
TEST(store_client, noCallbackRunsAfterDestruction)
{
    bool ran = false;
    {
        store_client client(inner, loop, {});
        inner.faults().delay = 10ms;
        client.get("k", normal, [&](const auto &) { ran = true; });
    }
    loop.advance(1min);
    CHECK_FALSE(ran);
}

// Guards against synchronised retries of many processes.
TEST(store_client, backoffGrowsWithJitterUpToItsLimit)
{
    jittered_backoff backoff(50ms, 1s, 7);
    for (int failures = 1; failures < 40; ++failures) {
        const duration step = std::min<duration>(1s, 50ms * (1 << std::min(failures - 1, 10)));
        const duration delay = backoff.delayOf(failures);
        CHECK(delay >= step / 2 && delay <= step);
    }
    CHECK(jittered_backoff(50ms, 1s, 1).delayOf(6) != jittered_backoff(50ms, 1s, 2).delayOf(6));
}

// Guards against "did not take effect" for a write that is sent after its deadline has passed: a
// loop that is late handles the deadline and the timer of the budget one after the other, before
// the failure that the deadline posts.
TEST(store_client, writeThatWaitedUntilItsDeadlineIsNotSentAndReportedAsUnsent)
{
    asio_event_loop realLoop;
    fake_store realInner(model, realLoop);
    store_client_options options;
    options.callsPerSecond = 1;
    options.burst = 2; // the second call waits 100 ms for the budget
    store_client client(realInner, realLoop, options);
    client.get("other", normal, [](const auto &) {});
    std::optional<result<commit_reply>> outcome;
    client.commit(guardedPut("k", "token-1"), {call_priority::Normal, 90ms},
                  [&](auto answer) { outcome = std::move(answer); });
    realLoop.post([] { std::this_thread::sleep_for(150ms); });
    CHECK(realLoop.runUntil([&] { return outcome.has_value(); }, 5s));
    CHECK(failedWith(*outcome, code::StoreUnavailable));
    CHECK(model.range("k", {}).empty());
}
