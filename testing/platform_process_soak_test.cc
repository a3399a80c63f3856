// Randomized runs of the real sidecars and fronts under faults, judged by what callers and backend
// servers see. GOLDCREST_SOAK_FIRST, GOLDCREST_SOAK_SEEDS, GOLDCREST_SOAK_SECONDS and
// GOLDCREST_SOAK_SIDECARS choose other seeds, another length of each and another size;
// GOLDCREST_SOAK_SUSPEND=1 adds suspended machines.

#include "testing/soak_judge_support.h"
#include "testing/soak_network_support.h"
#include "testing/soak_scene_support.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The library's leak check is not safe with threads, and the HTTP client has one.
struct leak_check_off
{
    leak_check_off() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};
[[gnu::init_priority(101)]] leak_check_off leakCheckOff;

constexpr std::uint64_t seedsInCi = 2;
constexpr int secondsInCi = 12;

std::int64_t numberFrom(const char *name, std::int64_t otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::atoll(text);
}

soak_options optionsOf(std::uint64_t seed)
{
    soak_options options;
    options.seed = seed;
    options.sidecars = static_cast<int>(numberFrom("GOLDCREST_SOAK_SIDECARS", options.sidecars));
    options.length = std::chrono::seconds(numberFrom("GOLDCREST_SOAK_SECONDS", secondsInCi));
    options.hasSuspensions = numberFrom("GOLDCREST_SOAK_SUSPEND", 0) != 0;
    // Every fourth seed has no faults from outside, so that more tasks start.
    options.hasOutsideFaults = seed % 4 != 0;
    return options;
}

// Returns whether a seed holds.
bool holds(std::uint64_t seed)
{
    const soak_options options = optionsOf(seed);
    const soak_result result = runSoak(options);
    std::printf(
        "soak, seed %llu: %zu problems, %zu jobs (%zu accepted, %zu completed), %zu starts, "
        "%zu faults\n",
        static_cast<unsigned long long>(seed), result.problems.size(), result.jobs, result.accepted,
        result.completed, result.starts, result.faults);
    std::fflush(stdout);
    return result.problems.empty();
}

} // namespace

TEST_GROUP(platform_soak){};

TEST(platform_soak, randomFaultsBreakNoRule)
{
    const auto first = static_cast<std::uint64_t>(numberFrom("GOLDCREST_SOAK_FIRST", 1));
    const auto seeds = static_cast<std::uint64_t>(numberFrom("GOLDCREST_SOAK_SEEDS", seedsInCi));
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        failed += holds(seed) ? 0 : 1;
    UNSIGNED_LONGS_EQUAL(0, failed);
}

// Seeds that failed once. TWICE and LIMIT at b2cc142 (4, 9): a list from before a start was carried
// out was taken for a later one, because both had the same millisecond.
// REFUSED at fa02c7b (106): a write whose connection was lost counted as unsent, because the next
// connection was refused.
TEST(platform_soak, seedsThatFailedOnceHold)
{
    int failed = 0;
    for (const std::uint64_t seed : {4, 9, 106})
        failed += holds(seed) ? 0 : 1;
    LONGS_EQUAL(0, failed);
}

// The judge itself, with histories that break a rule and histories that are exempt from it.
TEST_GROUP(soak_judge)
{
    std::vector<std::string> rules; // that were reported as broken
    soak_judge judge{[this](const std::string &rule, const std::string &, const std::string &) {
        rules.push_back(rule);
    }};
    soak_job *job = nullptr;
    const time_point begin{1h};

    void setup() override
    {
        soak_job sent;
        sent.id = "5c0e7a21d94b36f8";
        sent.payload = "p";
        sent.attempts = 1;
        sent.steps.resize(2);
        sent.steps[1].after = {0};
        job = &judge.addJob(sent);
    }

    soak_start orderOf(std::int32_t run, std::size_t step = 0) const
    {
        return {"side-" + std::to_string(run),
                job->id + ".0." + std::to_string(step) + ".0",
                run,
                "p",
                "",
                false,
                true};
    }

    void expect(const std::vector<std::string> &expected)
    {
        CHECK(rules == expected);
    }
};

TEST(soak_judge, findsTwoRunsAtOnce)
{
    soak_run &first = judge.onStart(orderOf(1), begin);
    judge.onStart(orderOf(2), begin + 1ms);
    expect({"TWICE"});
    judge.onEnd(first, "stopped", begin + 2ms);
    judge.onStart(orderOf(3), begin + 3ms); // run 2 still works
    expect({"TWICE", "TWICE"});
}

TEST(soak_judge, findsAStartAfterAnEndThatWasNoted)
{
    soak_run &first = judge.onStart(orderOf(1), begin);
    judge.onEnd(first, "done", begin + 10ms);
    judge.onNoted(first, true); // the lease had lapsed, so that the next start is no fault
    soak_run &second = judge.onStart(orderOf(2), begin + 20ms);
    expect({});
    judge.onNoted(first, false);
    expect({"TWICE"});
    judge.onEnd(second, "done", begin + 30ms);
    judge.onStart(orderOf(3), begin + 40ms);
    expect({"TWICE", "TWICE"});
}

TEST(soak_judge, findsStartsThatNobodyAskedFor)
{
    soak_start order = orderOf(1, 1);
    judge.onStart(order, begin);
    expect({"ORDER"});
    order = orderOf(2);
    order.spec = "q";
    judge.onStart(order, begin);
    order.task = "0000000000000000.0.0.0";
    judge.onStart(order, begin);
    expect({"ORDER", "UNASKED", "UNASKED"});
    judge.onSubmitAnswered(*job, 503, begin);
    expect({"ORDER", "UNASKED", "UNASKED", "REFUSED"});
}

// A refusal by the admission control holds for the submissions before it, also for those without an
// answer. A later submission may start, and so may one beside another refusal.
TEST(soak_judge, findsAStartAfterARefusalThatCoversEarlierSubmissions)
{
    job->attempts = 2; // the first one got no answer
    judge.onSubmitAnswered(*job, 429, begin, 206);
    judge.onEnd(judge.onStart(orderOf(1), begin), "stopped", begin + 1ms);
    expect({});
    judge.onSubmitAnswered(*job, 429, begin + 2ms, 208);
    expect({"REFUSED"});
    judge.onEnd(judge.onStart(orderOf(2), begin + 3ms), "stopped", begin + 4ms);
    expect({"REFUSED", "REFUSED"});
    ++job->attempts;
    judge.onStart(orderOf(3), begin + 5ms);
    expect({"REFUSED", "REFUSED"});
}

TEST(soak_judge, findsAStartAfterACancel)
{
    judge.onCancelAnswered(*job, 200, begin);
    soak_start order = orderOf(1);
    order.isLate = true;
    judge.onEnd(judge.onStart(order, begin + 4s), "stopped", begin + 5s);
    order = orderOf(2);
    order.isInTouch = false;
    judge.onEnd(judge.onStart(order, begin + 5s), "stopped", begin + 6s);
    expect({});
    judge.onStart(orderOf(3), begin + 6s);
    expect({"UNASKED"});
    CHECK_FALSE(judge.checkAllOver(true)); // run 3 works on
    expect({"UNASKED", "UNASKED"});
}

TEST(soak_judge, findsStatesWithoutCause)
{
    job->acceptedAt = begin;
    judge.onShown(*job, 410, "", true, begin + 2s);
    judge.onShown(*job, 410, "", false, begin + 4s);
    expect({});
    judge.onShown(*job, 410, "", true, begin + 4s);
    judge.onShown(*job, 200, "failed", true, begin);
    judge.onShown(*job, 200, "cancelled", true, begin);
    expect({"LOST", "LOST", "LOST"});
    judge.onShown(*job, 200, "completed", true, begin);
    expect({"LOST", "LOST", "LOST", "MIXED", "MIXED"}); // one for each step
}

TEST(soak_judge, findsAServerAboveItsCapacity)
{
    judge.onLoad(orderOf(1), {1000, 100, 1}, {1000, 100, 1});
    expect({});
    judge.onLoad(orderOf(1), {1000, 100, 2}, {1000, 100, 1});
    expect({"LIMIT"});
}

TEST_GROUP(soak_network){};

// Guards against a crash of the soak itself on a busy machine, where several connections wait: a
// listener that is destroyed between two of them was used by the second one.
TEST(soak_network, listenerMayBeDestroyedWhileConnectionsWait)
{
    asio_event_loop loop;
    int accepted = 0;
    auto listener = std::make_unique<soak_listener>(
        loop, 0, [&accepted](const asio::ip::tcp::socket &) { ++accepted; });
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(),
                                          static_cast<std::uint16_t>(listener->port()));
    asio::io_context clientContext;
    asio::ip::tcp::socket first(clientContext);
    asio::ip::tcp::socket second(clientContext);
    first.connect(address);
    second.connect(address);
    while (accepted == 0)
        loop.context().run_one();
    listener.reset();
    loop.context().poll();
    LONGS_EQUAL(1, accepted);
}

// Guards against faults without effect: a client must be refused, and served again at the same
// port.
TEST(soak_network, listenerRefusesForATimeAndTakesItsPortAgain)
{
    asio_event_loop loop;
    int accepted = 0;
    soak_listener listener(loop, 0, [&accepted](const asio::ip::tcp::socket &) { ++accepted; });
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(),
                                          static_cast<std::uint16_t>(listener.port()));
    asio::io_context clientContext;
    const auto connect = [&] {
        asio::error_code error;
        asio::ip::tcp::socket client(clientContext);
        client.connect(address, error);
        return error;
    };
    listener.refuse(100ms);
    CHECK(connect() == asio::error::connection_refused);
    listener.refuse(10ms); // doesn't end the longer time
    loop.runUntil([] { return false; }, 50ms);
    CHECK(connect() == asio::error::connection_refused);
    loop.runUntil([] { return false; }, 100ms);
    CHECK_FALSE(connect());
    CHECK(loop.runUntil([&] { return accepted == 1; }, 1s));
}
