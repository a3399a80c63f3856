#include "goldcrest/run_agent.h"
#include "testing/quiet_log.h"
#include "testing/virtual_event_loop.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// Keeps the calls and lets the test answer them.
class recording_host final : public run_host
{
public:
    struct start_call
    {
        start_order order;
        epoch token;
        std::function<void(result<start_reply>)> answer;
    };
    struct stop_call
    {
        run_id run;
        std::function<void(result<done>)> answer;
    };
    struct status_query
    {
        epoch token;
        std::int64_t endsStored;
        std::int64_t holdUntil;
        std::string id;
        std::function<void(result<host_status>)> answer;
    };

    void start(const start_order &order, epoch token, std::int64_t, const std::string &,
               std::function<void(result<start_reply>)> callback) override
    {
        starts.push_back({order, token, std::move(callback)});
    }
    void stop(const run_id &run, epoch, std::function<void(result<done>)> callback) override
    {
        stops.push_back({run, std::move(callback)});
    }
    void pace(const pace_order &order, epoch, std::function<void(result<done>)> callback) override
    {
        paces.push_back(order);
        callback(done{});
    }
    void queryStatus(epoch token, std::int64_t endsStored, std::int64_t holdUntil, duration,
                     const std::string &id,
                     std::function<void(result<host_status>)> callback) override
    {
        statusQueries.push_back({token, endsStored, holdUntil, id, std::move(callback)});
    }

    std::vector<start_call> starts;
    std::vector<stop_call> stops;
    std::vector<status_query> statusQueries;
    std::vector<pace_order> paces;
};

const run_id someRun{"5c0e7a21d94b36f8.0.0.0", 1};

// The backend server's clock may be 2% slow, and a call takes time.
constexpr duration stopTimeWithMargin = run_agent_options{}.stopTime + 20ms;

} // namespace

TEST_GROUP(run_agent)
{
    virtual_event_loop loop;
    recording_host host;
    std::vector<worker_report_message> reports;
    bool canSend = true;
    run_agent agent{loop, host, "w1", {}, [this](const worker_report_message &report) {
                        if (canSend)
                            reports.push_back(report);
                        return canSend;
                    }};
    std::int64_t clock = 1000;
    std::int64_t sequence = 0;
    std::int64_t finalReportsTaken = 0;

    host_announcement makeAnnouncement(const std::string &id, std::int64_t startedAtMs)
    {
        host_announcement announcement;
        announcement.id = id;
        announcement.startedAtMs = startedAtMs;
        announcement.sequence = ++sequence;
        return announcement;
    }

    // Announces an incarnation, which the backend server confirms if the agent asks.
    void announce(const std::string &id, std::int64_t startedAtMs, bool draining = false)
    {
        host_announcement announcement = makeAnnouncement(id, startedAtMs);
        announcement.draining = draining;
        const std::size_t asked = host.statusQueries.size();
        agent.onAnnouncement(announcement);
        if (host.statusQueries.size() > asked)
            answerConfirmation(id, startedAtMs);
        loop.advance(1ms);
    }

    // Answers the query for a confirmation as the backend server with this id and start does.
    void answerConfirmation(const std::string &id, std::int64_t startedAtMs)
    {
        const recording_host::status_query query = host.statusQueries.back();
        host.statusQueries.pop_back();
        LONGS_EQUAL(0, query.endsStored);
        LONGS_EQUAL(0, query.holdUntil);
        host_status status;
        status.isOtherIncarnation = query.id != id;
        status.startedAtMs = status.isOtherIncarnation ? 0 : startedAtMs;
        query.answer(status);
    }

    // Announces the current incarnation with this capacity.
    void announceAccelerators(std::int64_t count)
    {
        host_announcement changed = *agent.backend();
        ++changed.sequence;
        changed.capacity.accelerators = count;
        agent.onAnnouncement(changed);
        loop.advance(1ms);
    }

    worker_orders_message orders(epoch from, std::int64_t number)
    {
        worker_orders_message message;
        message.plannerEpoch = from;
        message.sequence = number;
        message.incarnation = agent.backend()->incarnation();
        message.holdUntil = clock + 8000;
        return message;
    }

    // The answer to a start of a backend server whose clock shows this time.
    static start_reply startedAt(std::int64_t clockMs)
    {
        start_reply reply;
        reply.clock = clockMs;
        return reply;
    }

    // Answers the last status query.
    void answerStatusQuery(std::vector<running_task> running = {},
                           std::vector<ended_task> ended = {})
    {
        host_status view;
        view.startedAtMs = agent.backend()->startedAtMs;
        view.clock = ++clock;
        view.running = std::move(running);
        view.ended = std::move(ended);
        const auto answer = host.statusQueries.back().answer;
        answer(view);
    }

    // Lets the time of a stop pass, which counts on the backend server's clock and from the first
    // list after the stop.
    void passStopTime()
    {
        loop.advance(1ms);
        answerStatusQuery();
        clock += run_agent_options{}.stopTime.count();
        loop.advance(stopTimeWithMargin);
        reports.clear();
    }

    void orderOneStartWithoutAnswer()
    {
        worker_orders_message message = orders(5, 1);
        message.starts.push_back({someRun, "spec", {}, {}});
        agent.onOrders(message);
        host.starts.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
        loop.advance(1ms);
    }

    // The planner has taken the final report of this incarnation, and knows no later one.
    void takeFinalReport(const std::string &incarnation, epoch from = 5)
    {
        worker_orders_message message;
        message.plannerEpoch = from;
        message.sequence = 1000 + ++finalReportsTaken;
        message.incarnation = incarnation;
        message.departedIncarnation = incarnation;
        CHECK(agent.onOrders(message));
        loop.advance(1ms);
    }

    // Answers the last status query as the next incarnation does, which has not announced itself.
    void answerAsTheNextIncarnation()
    {
        host_status next;
        next.startedAtMs = 200;
        next.clock = 10;
        next.ended.push_back({1, {"5c0e7a21d94b36f8.0.0.1", 1}, run_end::Done, {}});
        const auto answer = host.statusQueries.back().answer;
        answer(next);
    }

    void setup() override
    {
        silenceLog();
        announce("i-1", 100);
        agent.onPlanner(5);
        loop.advance(1ms);
    }
};

// Guards against a task that runs twice: the new planner took its first order as carried out, since
// the view was older than the planner (violated TWICE and LIMIT on days of both sites that a search
// for faults found).
TEST(run_agent, viewUnderAnEarlierPlannerIsNotReported)
{
    worker_orders_message first = orders(5, 7);
    first.starts.push_back({someRun, "spec", {}, {}});
    CHECK(agent.onOrders(first));
    loop.advance(1ms);
    agent.onPlanner(6);
    const auto early = host.statusQueries.back().answer;
    host_status view;
    view.startedAtMs = 100;
    view.clock = ++clock;
    early(view);
    CHECK(reports.empty());
    loop.advance(1ms);
    LONGS_EQUAL(6, host.statusQueries.back().token);
    answerStatusQuery();
    LONGS_EQUAL(1, reports.size());
    LONGS_EQUAL(6, reports[0].plannerEpoch);
    LONGS_EQUAL(0, reports[0].ordersSeen);
}

// Load pattern: a release, in which the backend servers are replaced one after the other. What ran
// on one that has left need not wait for its lease.
TEST(run_agent, reportsABackendServerThatHasLeft)
{
    const auto failQueries = [this](int count) {
        for (int i = 0; i < count; ++i) {
            const auto answer = host.statusQueries.back().answer;
            answer(makeFailure(code::BackendUnavailable, "connection refused"));
            loop.advance(200ms);
        }
    };
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    reports.clear();
    // Silence alone proves nothing.
    failQueries(10);
    CHECK(reports.empty());
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    reports.clear();
    agent.onDeparture("i-1");
    loop.advance(1ms);
    failQueries(9);
    CHECK(reports.empty());
    failQueries(3);
    CHECK(!reports.empty());
    CHECK(reports.back().isFinal);
    // An earlier process of the agent may have sent starts that still take effect.
    CHECK(!reports.back().hasEndedRuns);
    loop.advance(12s);
    failQueries(4);
    CHECK(reports.back().hasEndedRuns);
    STRCMP_EQUAL("i-1/100", reports.back().incarnation.c_str());
    CHECK(reports.back().unresolved.empty());
}

// Guards against a run that is replaced while it is being stopped: a backend server may list it
// neither as running nor as ended until the stop has ended it (TWICE, LIMIT).
TEST(run_agent, stoppedRunIsUnresolvedUntilItsEndMustBeListed)
{
    loop.advance(20s); // an agent that has just started may not know all starts
    answerStatusQuery({{someRun, {}, 10, 0}});
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun, {"5c0e7a21d94b36f8.0.0.1", 1}};
    agent.onOrders(stop);
    for (const recording_host::stop_call &call : std::vector(host.stops))
        call.answer(done{});
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    // The other run was never there.
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
    STRCMP_EQUAL(someRun.task.c_str(), reports.at(0).unresolved[0].task.c_str());
    passStopTime();
    answerStatusQuery();
    CHECK(reports.at(0).unresolved.empty());
}

// The same with a longer time of a stop, after the settings have changed.
TEST(run_agent, changedStopTimeAppliesAtOnce)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(done{});
    agent.setStopTime(run_agent_options{}.stopTime + 1s);
    passStopTime();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
    clock += 1000;
    loop.advance(1100ms);
    answerStatusQuery();
    CHECK(reports.back().unresolved.empty());
}

// Guards against a task that runs twice: an end that the backend server listed must not be lost
// with it, even if the planner could not be told at the time.
TEST(run_agent, endsOfADepartedBackendServerAreReported)
{
    answerStatusQuery({{someRun, {}, 90, 0}});
    loop.advance(1ms);
    canSend = false;
    answerStatusQuery({}, {{1, someRun, run_end::Done, {}}});
    loop.advance(1ms);
    agent.onDeparture("i-1");
    canSend = true;
    reports.clear();
    for (int i = 0; i < 12; ++i) {
        const auto answer = host.statusQueries.back().answer;
        answer(makeFailure(code::BackendUnavailable, "connection refused"));
        loop.advance(200ms);
    }
    CHECK(reports.back().isFinal);
    LONGS_EQUAL(1, reports.back().ended.size());
}

TEST(run_agent, endsAreReportedBeforeTheNextIncarnation)
{
    answerStatusQuery({{someRun, {}, 90, 0}});
    loop.advance(1ms);
    canSend = false;
    answerStatusQuery({}, {{1, someRun, run_end::Done, {}}});
    loop.advance(1ms);
    announce("i-2", 200);
    reports.clear();
    canSend = true;
    answerStatusQuery();
    LONGS_EQUAL(1, reports.size());
    STRCMP_EQUAL("i-1/100", reports[0].incarnation.c_str());
    CHECK(reports[0].isFinal);
    LONGS_EQUAL(1, reports[0].ended.size());
    takeFinalReport("i-1/100");
    answerStatusQuery();
    LONGS_EQUAL(2, reports.size());
    STRCMP_EQUAL("i-2/200", reports[1].incarnation.c_str());
    CHECK(!reports[1].isFinal);
}

// Guards against a task that runs again after it is done, and a crash that is not counted: a
// planner that still reads its records drops the final report, as it drops all messages (TWICE,
// BUDGET).
TEST(run_agent, finalReportIsRepeatedUntilThePlannerHasTakenIt)
{
    answerStatusQuery({}, {{1, someRun, run_end::Done, {}}});
    loop.advance(1ms);
    announce("i-2", 200);
    reports.clear();
    for (int i = 0; i < 3; ++i) {
        answerStatusQuery();
        loop.advance(600ms);
    }
    LONGS_EQUAL(3, reports.size());
    for (const worker_report_message &report : reports) {
        CHECK(report.isFinal);
        STRCMP_EQUAL("i-1/100", report.incarnation.c_str());
        LONGS_EQUAL(1, report.ended.size());
    }
    takeFinalReport("i-1/100");
    answerStatusQuery();
    CHECK(!reports.back().isFinal);
    STRCMP_EQUAL("i-2/200", reports.back().incarnation.c_str());
}

// The same for each of several incarnations that end before the planner takes messages.
TEST(run_agent, finalReportsOfSeveralIncarnationsAreSentInTheirOrder)
{
    answerStatusQuery({}, {{1, someRun, run_end::Done, {}}});
    loop.advance(1ms);
    announce("i-2", 200);
    announce("i-3", 300);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.size());
    STRCMP_EQUAL("i-1/100", reports[0].incarnation.c_str());
    LONGS_EQUAL(1, reports[0].ended.size());
    takeFinalReport("i-1/100");
    answerStatusQuery();
    LONGS_EQUAL(2, reports.size());
    STRCMP_EQUAL("i-2/200", reports[1].incarnation.c_str());
    CHECK(reports[1].isFinal);
    takeFinalReport("i-2/200");
    answerStatusQuery();
    LONGS_EQUAL(3, reports.size());
    STRCMP_EQUAL("i-3/300", reports[2].incarnation.c_str());
    CHECK(!reports[2].isFinal);
}

// A final report without an answer is repeated on the next link, and only one that was sent there
// counts as taken.
TEST(run_agent, finalReportIsRepeatedOnTheNextLink)
{
    answerStatusQuery();
    loop.advance(1ms);
    announce("i-2", 200);
    answerStatusQuery();
    CHECK(reports.back().isFinal);
    agent.onPlanner(0);
    agent.onPlanner(5);
    loop.advance(1ms);
    takeFinalReport("i-1/100"); // sent before the link closed
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.size());
    CHECK(reports[0].isFinal);
    takeFinalReport("i-1/100");
    answerStatusQuery();
    CHECK(!reports.back().isFinal);
}

// A start without an answer may still reach the next incarnation.
// Guards the count of crashes under a task: a planner that was told of a crash may be lost before
// it stored the count, so that its successor must be told too.
TEST(run_agent, eachPlannerIsToldOfACrash)
{
    worker_orders_message first = orders(5, 1);
    first.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(first);
    host.starts.back().answer(start_reply{});
    announce("i-2", 200);
    for (const epoch planner : {epoch(5), epoch(6)}) {
        reports.clear();
        agent.onPlanner(planner);
        loop.advance(1ms);
        answerStatusQuery();
        CHECK(reports.at(0).isFinal);
        CHECK(!reports.at(0).wasAnnounced);
        LONGS_EQUAL(1, reports.at(0).startedRuns.size());
        LONGS_EQUAL(planner, reports.at(0).plannerEpoch);
        takeFinalReport("i-1/100", planner);
        reports.clear();
        loop.advance(600ms);
        answerStatusQuery();
        CHECK(!reports.at(0).isFinal);
    }
}

// Guards LIMIT: a start that is repeated because it got no answer was placed on the capacity of
// before, and the planner may be out of reach.
TEST(run_agent, openStartIsRefusedWhenTheCapacityShrinks)
{
    worker_orders_message first = orders(5, 1);
    first.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(first);
    host.starts.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
    host_announcement smaller = *agent.backend();
    ++smaller.sequence;
    smaller.capacity.accelerators = -1;
    agent.onAnnouncement(smaller);
    loop.advance(1s);
    LONGS_EQUAL(1, host.starts.size());
    LONGS_EQUAL(1, host.stops.size());
}

// The same when the capacity has grown back before the start is known to be stopped: the start is
// refused, not repeated, and its outcome stays open until the stop is confirmed. A start that is
// ordered in between is refused when the capacity shrinks for the second time.
TEST(run_agent, refusedStartIsNotRepeatedWhenTheCapacityGrowsBack)
{
    const run_id other{"5c0e7a21d94b36f8.0.0.1", 1};
    worker_orders_message first = orders(5, 1);
    first.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(first);
    host.starts[0].answer(makeFailure(code::BackendUnavailable, "no answer"));
    announceAccelerators(-1);
    announceAccelerators(0);
    first.sequence = 2;
    first.starts.push_back({other, "spec", {}, {}});
    agent.onOrders(first);
    answerStatusQuery(); // confirms the incarnation after the call without an answer
    LONGS_EQUAL(2, host.starts.size());
    CHECK(host.starts[1].order.run == other);
    host.starts[1].answer(makeFailure(code::BackendUnavailable, "no answer"));
    announceAccelerators(-2);
    announceAccelerators(0);
    loop.advance(1s);
    LONGS_EQUAL(2, host.starts.size());
    LONGS_EQUAL(2, host.stops.size());
    answerStatusQuery();
    LONGS_EQUAL(2, reports.back().unresolved.size());
    CHECK(reports.back().refused.empty());
    host.stops[0].answer(done{});
    host.stops[1].answer(done{});
    passStopTime();
    answerStatusQuery();
    CHECK(reports.back().unresolved.empty());
    LONGS_EQUAL(2, reports.back().refused.size());
    LONGS_EQUAL(2, host.starts.size());
}

// The same for a start that arrives after the capacity has shrunk, in orders that were made before
// the planner knew of that. One that was placed on the smaller capacity is carried out.
TEST(run_agent, startPlacedOnALargerCapacityIsRefused)
{
    loop.advance(20s); // no start of an earlier process can take effect any more
    announceAccelerators(8);
    worker_orders_message early = orders(5, 1);
    early.capacity.accelerators = 8;
    early.starts.push_back({someRun, "spec", {}, {}});
    const run_id other{"5c0e7a21d94b36f8.0.0.1", 1};
    announceAccelerators(4);
    agent.onOrders(early);
    LONGS_EQUAL(0, host.starts.size());
    answerStatusQuery();
    LONGS_EQUAL(1, reports.back().refused.size());
    CHECK(reports.back().refused[0].run == someRun);
    CHECK(reports.back().refused[0].why == start_refusal::NoCapacity);
    worker_orders_message late = orders(5, 2);
    late.capacity.accelerators = 4;
    late.starts.push_back({other, "spec", {}, {}});
    agent.onOrders(late);
    LONGS_EQUAL(1, host.starts.size());
    CHECK(host.starts[0].order.run == other);
    // Its start goes on being ordered until it is listed, and stays started.
    host.starts[0].answer(start_reply{});
    announceAccelerators(2);
    late.sequence = 3;
    agent.onOrders(late);
    loop.advance(1s);
    LONGS_EQUAL(1, host.starts.size());
    LONGS_EQUAL(0, host.stops.size());
}

TEST(run_agent, announcedDepartureIsNoCrash)
{
    announce("i-1", 100, true);
    announce("i-2", 200);
    answerStatusQuery();
    CHECK(reports.at(0).isFinal);
    CHECK(reports.at(0).wasAnnounced);
}

TEST(run_agent, departureLeavesUnansweredStartsUnresolved)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
    agent.onDeparture("i-1");
    loop.advance(1ms);
    for (int i = 0; i < 12; ++i) {
        const auto answer = host.statusQueries.back().answer;
        answer(makeFailure(code::BackendUnavailable, "connection refused"));
        loop.advance(200ms);
    }
    CHECK(reports.back().isFinal);
    LONGS_EQUAL(1, reports.back().unresolved.size());
}

TEST(run_agent, ordersOfAnEarlierPlannerAreRefused)
{
    CHECK(!agent.onOrders(orders(4, 1)));
    CHECK(agent.onOrders(orders(5, 2)));
    CHECK(!agent.onOrders(orders(5, 2)));
}

// A start with unknown outcome is reported as unresolved, and repeated until it is answered.
TEST(run_agent, repeatsAStartWithoutAnAnswer)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    LONGS_EQUAL(1, host.starts.size());
    host.starts[0].answer(makeFailure(code::BackendUnavailable, "no answer"));
    loop.advance(200ms);
    // The backend server may have restarted.
    LONGS_EQUAL(1, host.starts.size());
    answerStatusQuery();
    LONGS_EQUAL(1, reports.back().unresolved.size());
    LONGS_EQUAL(2, host.starts.size());
    host.starts[1].answer(start_reply{});
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 0, 0}});
    CHECK(reports.back().unresolved.empty());
    LONGS_EQUAL(1, reports.back().running.size());
}

// A refused start is stopped before it is reported, since an earlier call may still arrive.
TEST(run_agent, refusalIsFollowedByAStop)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    start_reply refused;
    refused.refused = start_refusal::NoCapacity;
    host.starts[0].answer(refused);
    LONGS_EQUAL(1, host.stops.size());
    loop.advance(1ms);
    answerStatusQuery();
    LONGS_EQUAL(1, reports.back().unresolved.size());
    CHECK(reports.back().refused.empty());
    host.stops[0].answer(done{});
    loop.advance(1ms);
    answerStatusQuery();
    CHECK(reports.back().unresolved.empty());
    LONGS_EQUAL(1, reports.back().refused.size());
}

// Guards against a start that reaches a new incarnation of the backend server late (seed 59 of the
// model).
TEST(run_agent, stopsStartsOfUnknownOutcomeInANewIncarnation)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts[0].answer(makeFailure(code::BackendUnavailable, "no answer"));
    loop.advance(200ms);
    answerStatusQuery();
    host.starts[1].answer(start_reply{});
    announce("i-1", 200);
    LONGS_EQUAL(1, host.stops.size());
    CHECK(host.stops[0].run == someRun);
    answerStatusQuery();
    LONGS_EQUAL(1, reports.back().unresolved.size());
}

// Guards against a stop of work that runs: its start's answer was lost, and orders no longer name
// it.
TEST(run_agent, listedRunIsNotStoppedWhenOrdersDropIt)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts[0].answer(makeFailure(code::BackendUnavailable, "no answer"));
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 0, 0}});
    agent.onOrders(orders(5, 2));
    loop.advance(500ms);
    LONGS_EQUAL(0, host.stops.size());
}

// Guards against a stop of work that runs: a status query overtakes the answer to a start, and the
// planner no longer orders what it has seen running.
TEST(run_agent, listedRunIsNotStoppedWhileItsStartIsPending)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 0, 0}});
    agent.onOrders(orders(5, 2));
    host.starts[0].answer(start_reply{});
    loop.advance(500ms);
    LONGS_EQUAL(0, host.stops.size());
    LONGS_EQUAL(1, host.starts.size());
}

// The same when the answer is lost: the run is listed, and a repeated start is not needed.
TEST(run_agent, listedRunIsNotStartedAgainWhenItsAnswerIsLost)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 0, 0}});
    agent.onOrders(orders(5, 2));
    host.starts[0].answer(makeFailure(code::BackendUnavailable, "no answer"));
    loop.advance(500ms);
    answerStatusQuery({{someRun, {}, 0, 0}});
    LONGS_EQUAL(0, host.stops.size());
    LONGS_EQUAL(1, host.starts.size());
    CHECK(reports.back().unresolved.empty());
}

// A pace is set once for each change, and only for runs that the backend server lists.
TEST(run_agent, setsPacesOfListedRuns)
{
    worker_orders_message message = orders(5, 1);
    message.paces.push_back({someRun, 40});
    agent.onOrders(message);
    LONGS_EQUAL(0, host.paces.size());
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 0, 0}});
    LONGS_EQUAL(1, host.paces.size());
    message.sequence = 2;
    agent.onOrders(message);
    LONGS_EQUAL(1, host.paces.size());
    message.sequence = 3;
    message.paces[0].percent = 0;
    agent.onOrders(message);
    LONGS_EQUAL(2, host.paces.size());
    LONGS_EQUAL(0, host.paces[1].percent);
}

TEST(run_agent, delayedAnnouncementOfAnEarlierIncarnationIsIgnored)
{
    announce("i-2", 300);
    agent.onAnnouncement(makeAnnouncement("i-1", 100));
    answerConfirmation("i-2", 300);
    STRCMP_EQUAL("i-2/300", agent.backend()->incarnation().c_str());
    agent.onAnnouncement(makeAnnouncement("i-2", 100));
    answerConfirmation("i-2", 300);
    STRCMP_EQUAL("i-2/300", agent.backend()->incarnation().c_str());
}

// Guards against running work that is reported as gone and replaced, since another writer announced
// a copy of the backend server under another id or with a later start (TWICE on tawe-loft).
TEST(run_agent, announcementOfAnotherWriterEndsNoRuns)
{
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    reports.clear();
    agent.onAnnouncement(makeAnnouncement("i-copy", 100));
    answerConfirmation("i-1", 100);
    agent.onAnnouncement(makeAnnouncement("i-1", 500));
    answerConfirmation("i-1", 100);
    loop.advance(1s);
    answerStatusQuery({{someRun, {}, 20, 0}});
    LONGS_EQUAL(1, reports.size());
    CHECK(!reports[0].isFinal);
    STRCMP_EQUAL("i-1/100", reports[0].incarnation.c_str());
    LONGS_EQUAL(2, agent.unconfirmedAnnouncements());
}

// Guards against a backend server that gets no work after a restart because its clock, which its
// start is taken from, was ahead before.
TEST(run_agent, confirmedRestartWithAnEarlierStartIsTaken)
{
    announce("i-1", 90);
    STRCMP_EQUAL("i-1/90", agent.backend()->incarnation().c_str());
}

// Guards against an incarnation that stays unknown because the first query for its confirmation got
// no answer, or was refused for an old planner's token after a restart of the agent.
TEST(run_agent, confirmationIsAskedForAgain)
{
    agent.onAnnouncement(makeAnnouncement("i-2", 200));
    const auto unanswered = host.statusQueries.back().answer;
    host.statusQueries.pop_back();
    unanswered(makeFailure(code::StaleEpoch, "fenced"));
    loop.advance(200ms);
    answerConfirmation("i-2", 200);
    STRCMP_EQUAL("i-2/200", agent.backend()->incarnation().c_str());
    agent.onAnnouncement(makeAnnouncement("i-3", 300));
    agent.onPlanner(6);
    answerConfirmation("i-3", 300);
    STRCMP_EQUAL("i-3/300", agent.backend()->incarnation().c_str());
}

// Guards against starts and acknowledgements that reach the next incarnation under the same id
// before it is announced. It took a start with the lease of the last one, beside the next run of
// the task (TWICE); it forgot its own end under the number of an earlier one, so that the task ran
// again (TWICE); and its run counted as lost in the crash before it (LOST).
TEST(run_agent, nothingIsOrderedFromAnIncarnationInDoubt)
{
    worker_orders_message message = orders(5, 1);
    message.endsStored = 3;
    agent.onOrders(message);
    loop.advance(1ms);
    LONGS_EQUAL(3, host.statusQueries.back().endsStored);
    message.sequence = 2;
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.statusQueries.back().answer(makeFailure(code::BackendUnavailable, "connection reset"));
    host.starts[0].answer(makeFailure(code::BackendUnavailable, "connection refused"));
    // The next incarnation answers.
    for (int i = 0; i < 5; ++i) {
        loop.advance(200ms);
        LONGS_EQUAL(0, host.statusQueries.back().endsStored);
        LONGS_EQUAL(0, host.statusQueries.back().holdUntil);
        host_status next;
        next.startedAtMs = 200;
        next.clock = 10;
        next.ended.push_back({1, {"5c0e7a21d94b36f8.0.0.1", 1}, run_end::Done, {}});
        const auto answer = host.statusQueries.back().answer;
        answer(next);
    }
    LONGS_EQUAL(1, host.starts.size());
    announce("i-1", 200);
    answerStatusQuery();
    CHECK(reports.at(0).isFinal);
    CHECK(reports.at(0).startedRuns.empty());
    LONGS_EQUAL(0, reports.at(0).ended.size());
    LONGS_EQUAL(1, host.starts.size());
}

// Guards against a job that is failed without cause (review/3): a start without an answer was
// repeated, and its run in the next incarnation counted as lost in the crash of the one before.
TEST(run_agent, startIsNotRepeatedIntoTheNextIncarnation)
{
    answerStatusQuery();
    orderOneStartWithoutAnswer();
    for (int i = 0; i < 5; ++i) {
        host.statusQueries.back().answer(makeFailure(code::BackendUnavailable, "refused"));
        loop.advance(200ms);
        LONGS_EQUAL(1, host.starts.size());
    }
    answerAsTheNextIncarnation();
    LONGS_EQUAL(1, host.starts.size());
    announce("i-1", 200);
    answerStatusQuery();
    CHECK(reports.at(1).isFinal);
    CHECK(reports.at(1).startedRuns.empty());
}

// Guards against a task that runs again after it is done (review/1): the number of the last end
// that the crashed incarnation had listed acknowledged an end of the next one, which was never
// reported.
TEST(run_agent, endsOfTheNextIncarnationAreNotAcknowledged)
{
    answerStatusQuery();
    worker_orders_message message = orders(5, 1);
    message.endsStored = 3;
    agent.onOrders(message);
    loop.advance(1ms);
    LONGS_EQUAL(3, host.statusQueries.back().endsStored);
    host.statusQueries.back().answer(makeFailure(code::BackendUnavailable, "connection reset"));
    for (int i = 0; i < 5; ++i) {
        loop.advance(200ms);
        LONGS_EQUAL(0, host.statusQueries.back().endsStored);
        answerAsTheNextIncarnation();
    }
}

// Guards against two runs of a task at the same time (review/4): a start that a server had not
// answered for longer than the lease reached its next incarnation, whose clock starts anew, so that
// the end of the lease lay far ahead.
TEST(run_agent, leaseOfTheCrashedIncarnationIsNotUsedInTheNextOne)
{
    answerStatusQuery();
    orderOneStartWithoutAnswer();
    for (int i = 0; i < 60; ++i) {
        loop.advance(200ms);
        host.statusQueries.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
    }
    for (int i = 0; i < 5; ++i) {
        loop.advance(200ms);
        LONGS_EQUAL(0, host.statusQueries.back().holdUntil);
        answerAsTheNextIncarnation();
    }
    LONGS_EQUAL(1, host.starts.size());
}

// Guards against a task that runs again after it is done (review/1): the next incarnation is behind
// the same id without a failed call, and takes the number of an acknowledged end for one of its
// own.
TEST(run_agent, restartThatAStartAnswerShowsAcknowledgesNothing)
{
    answerStatusQuery();
    loop.advance(1ms);
    worker_orders_message message = orders(5, 1);
    message.endsStored = 3;
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts.at(0).answer(startedAt(10));
    loop.advance(1ms);
    LONGS_EQUAL(0, host.statusQueries.back().endsStored);
    LONGS_EQUAL(0, host.statusQueries.back().holdUntil);
}

// Guards against a task that runs again after it is done (review/1): its start is carried out by
// the next incarnation, which has completed it before the start is answered.
TEST(run_agent, noEndIsAcknowledgedWhileAStartIsUnanswered)
{
    answerStatusQuery();
    loop.advance(1ms);
    worker_orders_message message = orders(5, 1);
    message.endsStored = 3;
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    loop.advance(1ms);
    LONGS_EQUAL(0, host.statusQueries.back().endsStored);
    // The withheld acknowledgement does not turn waiting queries into a busy loop.
    const std::size_t asked = host.statusQueries.size();
    answerStatusQuery({}, {{3, {"5c0e7a21d94b36f8.0.0.1", 1}, run_end::Done, {}}});
    loop.advance(50ms);
    LONGS_EQUAL(asked, host.statusQueries.size());
    host.starts.at(0).answer(startedAt(clock + 60));
    loop.advance(1ms);
    LONGS_EQUAL(3, host.statusQueries.back().endsStored);
}

// Guards against a job that is failed without cause (review/3): a run that the next incarnation
// started counted as lost in the crash of the one before, though no call had failed.
TEST(run_agent, runThatTheNextIncarnationStartedIsNotLostInTheCrash)
{
    answerStatusQuery();
    loop.advance(1ms);
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts.at(0).answer(startedAt(10));
    announce("i-1", 200);
    answerStatusQuery();
    CHECK(reports.at(1).isFinal);
    CHECK(reports.at(1).startedRuns.empty());
    LONGS_EQUAL(1, reports.at(1).unresolved.size());
}

// Guards the count of crashes under a task: a run that the known incarnation started, by its clock,
// is lost in its crash, though no status query was answered in between.
TEST(run_agent, runThatTheKnownIncarnationStartedIsLostInItsCrash)
{
    answerStatusQuery();
    loop.advance(400ms);
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    // A clock that is 2% slow has advanced by 392 ms.
    host.starts.at(0).answer(startedAt(clock + 392));
    announce("i-1", 200);
    answerStatusQuery();
    CHECK(reports.at(1).isFinal);
    LONGS_EQUAL(1, reports.at(1).startedRuns.size());
}

// Guards against two runs of a task at the same time (review/4): a start without an answer is
// carried out by the next incarnation, and went on until that one announced itself.
TEST(run_agent, startCarriedOutByTheNextIncarnationIsStoppedAtOnce)
{
    answerStatusQuery();
    orderOneStartWithoutAnswer();
    answerAsTheNextIncarnation();
    LONGS_EQUAL(1, host.starts.size());
    LONGS_EQUAL(1, host.stops.size());
}

// Guards against two runs of a task at the same time (review/4): an announcement shows that the
// next incarnation may be there, and it was still sent starts until it had confirmed itself.
TEST(run_agent, startWaitsWhileAnAnnouncedIncarnationIsNotConfirmed)
{
    answerStatusQuery();
    loop.advance(1ms);
    agent.onAnnouncement(makeAnnouncement("i-1", 200));
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    LONGS_EQUAL(0, host.starts.size());
    loop.advance(1ms);
    answerStatusQuery();
    LONGS_EQUAL(1, host.starts.size());
}

// Guards against a run that is replaced and started all the same: its start waited for the
// incarnation to be confirmed, and a report showed it as carried out and not listed (TWICE and
// LIMIT on a hunted day with late orders).
TEST(run_agent, startThatWaitsForAConfirmationIsUnresolved)
{
    host.statusQueries.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    message.stops.push_back({"5c0e7a21d94b36f8.0.0.1", 1});
    agent.onOrders(message);
    loop.advance(200ms);
    LONGS_EQUAL(0, host.starts.size());
    // A call fails after the query was sent, so that its answer confirms nothing.
    loop.advance(1ms);
    host.stops.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
    answerStatusQuery();
    LONGS_EQUAL(0, host.starts.size());
    LONGS_EQUAL(1, reports.back().ordersSeen);
    CHECK(std::count(reports.back().unresolved.begin(), reports.back().unresolved.end(), someRun)
          == 1);
}

// Guards against an incarnation that stays in doubt once it has answered again.
TEST(run_agent, ordersGoOnOnceTheIncarnationIsConfirmed)
{
    worker_orders_message message = orders(5, 1);
    message.endsStored = 3;
    agent.onOrders(message);
    loop.advance(1ms);
    host.statusQueries.back().answer(makeFailure(code::BackendUnavailable, "no answer"));
    loop.advance(200ms);
    LONGS_EQUAL(0, host.statusQueries.back().endsStored);
    answerStatusQuery();
    loop.advance(200ms);
    LONGS_EQUAL(3, host.statusQueries.back().endsStored);
    LONGS_EQUAL(message.holdUntil, host.statusQueries.back().holdUntil);
}

// Guards against a drain that is never seen because another writer announced the backend server
// with a sequence number far ahead of its own.
TEST(run_agent, sequenceOfAnotherWriterHidesNoAnnouncementForGood)
{
    host_announcement foreign = makeAnnouncement("i-1", 100);
    foreign.sequence = 1'000'000;
    agent.onAnnouncement(foreign);
    announce("i-1", 100, true);
    CHECK(agent.backend()->draining);
}

// The same if the foreign announcement was the first one that the agent got.
TEST(run_agent, lowerSequenceCountsOnceTheHighestIsNotFollowedUp)
{
    host_announcement foreign = makeAnnouncement("i-1", 200);
    foreign.sequence = 1'000'000;
    agent.onAnnouncement(foreign);
    answerConfirmation("i-1", 200);
    announce("i-1", 200, true);
    CHECK(!agent.backend()->draining);
    loop.advance(6s);
    announce("i-1", 200, true);
    CHECK(agent.backend()->draining);
}

// Guards against a server that stays shut out because its departure notice was a delayed one of the
// incarnation before, which the notice names.
TEST(run_agent, departureNoticeOfAnEarlierIncarnationIsIgnored)
{
    agent.onDeparture("i-1", 90);
    loop.advance(1ms);
    answerStatusQuery();
    CHECK(!reports.back().draining);
    agent.onDeparture("i-1", 100);
    loop.advance(1ms);
    answerStatusQuery();
    CHECK(reports.back().draining);
}

// Guards DRAIN: a backend server that is leaving gets no start, whatever the planner knows.
TEST(run_agent, startsNothingOnADrainingBackendServer)
{
    loop.advance(20s); // no start of an earlier process can take effect any more
    announce("i-1", 100, true);
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    LONGS_EQUAL(0, host.starts.size());
    loop.advance(1ms);
    answerStatusQuery();
    LONGS_EQUAL(1, reports.back().refused.size());
    CHECK(reports.back().draining);
}

// The lease is what the planner granted, and ends are acknowledged only once they are stored.
TEST(run_agent, passesOnLeaseAndStoredEnds)
{
    worker_orders_message message = orders(5, 1);
    message.endsStored = 3;
    agent.onOrders(message);
    loop.advance(1ms);
    LONGS_EQUAL(3, host.statusQueries.back().endsStored);
    LONGS_EQUAL(message.holdUntil, host.statusQueries.back().holdUntil);
    agent.onOrders(orders(5, 2));
    loop.advance(600ms);
    LONGS_EQUAL(3, host.statusQueries.back().endsStored);
}

// Guards against work that is stopped and replaced because of a departure notice that was delayed
// beyond a restart under the same id, or came from another writer (LOST, TWICE).
TEST(run_agent, departureNoticeIsNotTakenForAServerThatKeepsCheckingIn)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    agent.onDeparture("i-1");
    loop.advance(1ms);
    for (int i = 0; i < 10; ++i) {
        announce("i-1", 100);
        loop.advance(1500ms);
        answerStatusQuery({{someRun, {}, 20, 0}});
        loop.advance(1ms);
    }
    CHECK(!reports.back().draining);
}

// Guards against a run that is replaced while it works: its backend server had not left, and did
// not answer for a second (TWICE).
TEST(run_agent, silentServerThatKeepsCheckingInHasNotLeft)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    agent.onDeparture("i-1");
    reports.clear();
    for (int i = 0; i < 10; ++i) {
        announce("i-1", 100);
        const auto unanswered = host.statusQueries.back().answer;
        unanswered(makeFailure(code::BackendUnavailable, "no answer"));
        loop.advance(200ms);
    }
    answerStatusQuery({{someRun, {}, 20, 0}});
    for (const worker_report_message &report : reports)
        CHECK(!report.isFinal);
}

// Guards against a drain that is never seen, and a service that stays unknown, while another writer
// copies the id and start of the backend server each second with a higher sequence number (DRAIN,
// LOST).
TEST(run_agent, repeatedForeignAnnouncementsDoNotHideADrain)
{
    for (int second = 0; second < 20; ++second) {
        host_announcement foreign = makeAnnouncement("i-1", 100);
        foreign.sequence = 1'000'000 + second;
        foreign.service = "unknown";
        agent.onAnnouncement(foreign);
        loop.advance(500ms);
        announce("i-1", 100, true);
        loop.advance(500ms);
    }
    CHECK(agent.backend()->draining);
}

// Guards against a start on a backend server that drains, after an announcement from before the
// drain that was delayed (DRAIN).
TEST(run_agent, delayedAnnouncementDoesNotEndADrain)
{
    const host_announcement delayed = makeAnnouncement("i-1", 100);
    announce("i-1", 100, true);
    CHECK(agent.backend()->draining);
    loop.advance(6s);
    agent.onAnnouncement(delayed);
    CHECK(agent.backend()->draining);
}

// Guards against a new incarnation that stays unknown, as the query for its confirmation is dropped
// when another writer announces a server.
TEST(run_agent, foreignAnnouncementDoesNotDropAPendingConfirmation)
{
    agent.onAnnouncement(makeAnnouncement("i-2", 200));
    const auto genuine = host.statusQueries.back();
    host.statusQueries.pop_back();
    agent.onAnnouncement(makeAnnouncement("i-copy", 100));
    host_status confirmed;
    confirmed.startedAtMs = 200;
    genuine.answer(confirmed);
    answerConfirmation("i-2", 200);
    STRCMP_EQUAL("i-2/200", agent.backend()->incarnation().c_str());
}

// Guards against a run that is replaced while its stop lasts: an agent whose process is new orders
// it again, the start is refused as the run is being stopped, and no list has it yet (TWICE,
// LIMIT).
TEST(run_agent, supersededStartIsUnresolvedWhileItsStopMayLast)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    start_reply reply;
    reply.refused = start_refusal::Superseded;
    host.starts[0].answer(reply);
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(0, reports.at(0).refused.size());
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
}

// Guards against a run that is replaced a moment before its stop has ended it: the clock of its
// backend server may be 2% slow (TWICE).
TEST(run_agent, stopMayLastLongerOnASlowClock)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(done{});
    loop.advance(run_agent_options{}.stopTime + 5ms);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
}

// Guards against a task that runs twice: a query that was sent while a start was under way, and
// whose list is without the run, was taken for later than the start if both were answered in the
// same millisecond (TWICE on rirabsl-sched).
TEST(run_agent, listFromBeforeAStartDoesNotProveItGone)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    message.endsStored = 1; // is acknowledged with a query
    agent.onOrders(message);
    loop.advance(0ms);
    const std::size_t queries = host.statusQueries.size();
    host.starts.back().answer(startedAt(clock));
    answerStatusQuery();
    LONGS_EQUAL(1, reports.size());
    LONGS_EQUAL(1, reports[0].ordersSeen);
    LONGS_EQUAL(1, reports[0].unresolved.size());
    // A query that is sent after the start's answer proves it, also in the same millisecond.
    loop.advance(0ms);
    CHECK(host.statusQueries.size() > queries);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.size());
    CHECK(reports[0].unresolved.empty());
}

// Guards against starts and acknowledgements that reach the next incarnation (TWICE): an answer to
// a query that was sent before a call failed, in the same millisecond, confirmed the incarnation.
TEST(run_agent, answerToAQueryFromBeforeADoubtDoesNotConfirm)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    message.endsStored = 1; // is acknowledged with a query
    agent.onOrders(message);
    loop.advance(0ms);
    host.starts.back().answer(makeFailure(code::BackendUnavailable, "connection reset"));
    answerStatusQuery();
    LONGS_EQUAL(1, host.starts.size());
    loop.advance(run_agent_options{}.retryPause);
    LONGS_EQUAL(1, host.starts.size());
    answerStatusQuery();
    LONGS_EQUAL(2, host.starts.size());
}

// Guards against capacity that counts as free while it is in use (LIMIT): two lists of the same
// millisecond may arrive in either order, and the earlier one was reported after the later one.
TEST(run_agent, overtakenListOfTheSameMillisecondIsNotReported)
{
    answerStatusQuery();
    loop.advance(1ms);
    const auto waiting = host.statusQueries.back().answer;
    worker_orders_message message = orders(5, 1);
    message.endsStored = 1; // is acknowledged with a second query
    agent.onOrders(message);
    loop.advance(1ms);
    const std::size_t queries = host.statusQueries.size();
    reports.clear();
    answerStatusQuery({{someRun, {}, 10, 0}});
    host_status earlier;
    earlier.startedAtMs = 100;
    earlier.clock = clock;
    waiting(earlier);
    LONGS_EQUAL(1, reports.size());
    LONGS_EQUAL(1, reports[0].running.size());
    // A query that is sent after the later list has arrived is answered after it was made.
    loop.advance(1ms);
    CHECK(host.statusQueries.size() > queries);
    --clock;
    answerStatusQuery();
    LONGS_EQUAL(2, reports.size());
}

// Guards against a task that runs twice: orders to stop a run, made for the earlier incarnation of
// a backend server, counted as carried out on the next one, which a start of an earlier process of
// the agent may still reach.
TEST(run_agent, ordersThatAreNotCarriedOutAreNotReportedAsSeen)
{
    worker_orders_message other = orders(5, 1);
    other.incarnation = "i-0/50";
    other.starts.push_back({someRun, "spec", {}, {}});
    CHECK(agent.onOrders(other));
    CHECK(!agent.onOrders(other));
    LONGS_EQUAL(0, host.starts.size());
    agent.onPlanner(5);
    loop.advance(1ms);
    answerStatusQuery();
    LONGS_EQUAL(0, reports.back().ordersSeen);
    worker_orders_message own = orders(5, 2);
    own.endsStored = 1;
    agent.onOrders(own);
    loop.advance(1ms);
    answerStatusQuery();
    LONGS_EQUAL(2, reports.back().ordersSeen);
    // Orders for the earlier incarnation were not carried out on this one.
    announce("i-2", 200);
    answerStatusQuery();
    LONGS_EQUAL(0, reports.back().ordersSeen);
}

// Guards against a run that is replaced while it is being stopped: the backend server has carried a
// stop out, its answer is lost with the connection, and a list is without the run meanwhile (TWICE,
// LIMIT).
TEST(run_agent, runWhoseStopGotNoAnswerIsUnresolved)
{
    loop.advance(20s); // an agent that has just started may not know all starts
    worker_orders_message start = orders(5, 1);
    start.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(start);
    host.starts.back().answer(startedAt(clock));
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    worker_orders_message stop = orders(5, 2);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(makeFailure(code::BackendUnavailable, "connection reset"));
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(2, reports.at(0).ordersSeen);
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
}

// The same for a run that the agent knows only from the lists.
TEST(run_agent, listedRunWhoseStopGotNoAnswerIsUnresolved)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(makeFailure(code::BackendUnavailable, "connection reset"));
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).ordersSeen);
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
}

// Guards against a start of an earlier incarnation, or of an earlier process of the agent, that
// takes effect late beside the next run: its stop had no answer, counted as carried out, and was
// not repeated once the orders left it out (TWICE).
TEST(run_agent, stopWithoutAnswerIsRepeatedUntilItIsAnswered)
{
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(makeFailure(code::BackendUnavailable, "no answer"));
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).ordersSeen);
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
    loop.advance(run_agent_options{}.retryPause);
    LONGS_EQUAL(2, host.stops.size());
}

// Guards against a run that is replaced while its backend server ends it for a reason of its own,
// for example with its gang: the lists are without it already when the stop is ordered, so the
// agent takes the stop for one of a run that was never there (TWICE, LIMIT).
TEST(run_agent, stopOfARunThatIsBeingEndedIsUnresolved)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.advance(1ms);
    answerStatusQuery(); // is being ended and not listed
    loop.advance(1ms);
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(done{});
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).ordersSeen);
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
}

// Guards against a task that runs twice: an earlier process of the agent has sent the start, which
// is carried out late. This process refuses the start of a server that drains, and nothing keeps
// the late one from running beside the next run.
TEST(run_agent, startThatAnEarlierProcessMayHaveSentIsStoppedWhenRefused)
{
    announce("i-1", 100, true);
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    LONGS_EQUAL(0, host.starts.size());
    loop.advance(1ms);
    reports.clear();
    answerStatusQuery();
    CHECK(reports.at(0).refused.empty());
    LONGS_EQUAL(1, host.stops.size());
    host.stops.back().answer(done{});
    passStopTime();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).refused.size());
}

// Guards against a run that is replaced while its stop lasts: its machine was suspended meanwhile,
// which the agent's time counts and the clock of the backend server doesn't (TWICE, LIMIT).
TEST(run_agent, suspensionDoesNotCountAsTimeOfAStop)
{
    loop.advance(20s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    worker_orders_message stop = orders(5, 1);
    stop.stops = {someRun};
    agent.onOrders(stop);
    host.stops.at(0).answer(done{});
    loop.advance(5s); // of which the backend server's clock shows 1 ms
    reports.clear();
    answerStatusQuery();
    LONGS_EQUAL(1, reports.at(0).unresolved.size());
}

// Guards TWICE: the clock of the backend server stands still while its machine is suspended, so
// that the server does not end the runs, and the planner has replaced them. The agent may be cut
// off from the planner meanwhile.
TEST(run_agent, runsAreStoppedOnceTheirLeaseIsOver)
{
    answerStatusQuery();
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts.back().answer(startedAt(clock));
    const run_id earlierRun{"5c0e7a21d94b36f8.0.0.1", 1};
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 10, 0}, {earlierRun, {}, 10, 0}});
    agent.onPlanner(0);
    loop.jump(8s);
    CHECK(host.stops.empty());
    loop.jump(700ms);
    LONGS_EQUAL(2, host.stops.size());
    CHECK(host.stops[0].run == someRun);
    CHECK(host.stops[1].run == earlierRun);
}

// Guards TWICE: an agent that was started anew and can't reach the planner knows no lease. The
// backend server has ended the runs that it finds within 8.2 s, unless the machine was suspended
// meanwhile.
TEST(run_agent, runsOfAnEarlierProcessAreStoppedOnceTheirLeaseIsOver)
{
    answerStatusQuery({{someRun, {}, 10, 0}});
    loop.jump(7s);
    CHECK(host.stops.empty());
    loop.jump(1700ms);
    LONGS_EQUAL(1, host.stops.size());
    CHECK(host.stops[0].run == someRun);
}

// Work that runs must not be stopped by its own agent: a planner has extended the lease of the
// runs.
TEST(run_agent, runsOfAnEarlierProcessGoOnOnceTheirLeaseIsExtended)
{
    for (std::int64_t i = 1; i < 60; ++i) {
        answerStatusQuery({{someRun, {}, 10, 0}});
        agent.onOrders(orders(5, i));
        loop.advance(500ms);
        clock += 500;
    }
    CHECK(host.stops.empty());
}

// Guards TWICE: after the settings have changed to a shorter lease, the agent must find the report
// that a lease was granted for, and stop the runs after a suspension.
TEST(run_agent, changedLeaseAppliesAtOnce)
{
    agent.setWorkerLease(4s);
    answerStatusQuery({{someRun, {}, 10, 0}});
    worker_orders_message message = orders(5, 1);
    message.holdUntil = clock + 4000;
    agent.onOrders(message);
    agent.onPlanner(0);
    loop.jump(4s);
    CHECK(host.stops.empty());
    loop.jump(700ms);
    LONGS_EQUAL(1, host.stops.size());
}

// Work that runs must not be stopped by its own agent.
TEST(run_agent, runsAreNotStoppedWhileTheirLeaseIsExtended)
{
    worker_orders_message message = orders(5, 1);
    message.starts.push_back({someRun, "spec", {}, {}});
    agent.onOrders(message);
    host.starts.back().answer(startedAt(clock));
    for (std::int64_t i = 2; i < 60; ++i) {
        loop.advance(500ms);
        clock += 500;
        answerStatusQuery({{someRun, {}, 10, 0}});
        agent.onOrders(orders(5, i));
    }
    loop.advance(7s);
    CHECK(host.stops.empty());
}

// Guards TWICE: orders from before a suspension that are read after it must not extend the lease by
// the time of the suspension, although the backend server's clock was read again in between.
TEST(run_agent, leaseIsCountedFromTheReportThatItWasGrantedFor)
{
    answerStatusQuery({{someRun, {}, 10, 0}});
    const worker_orders_message delayed = orders(5, 1);
    loop.jump(5s);
    loop.advance(1ms);
    answerStatusQuery({{someRun, {}, 10, 0}});
    agent.onOrders(delayed);
    agent.onPlanner(0);
    loop.advance(2s);
    CHECK(host.stops.empty());
    loop.advance(2s);
    LONGS_EQUAL(1, host.stops.size());
}

// Guards TWICE: the start was ordered before a suspension that outlasted the lease. By the clock of
// the backend server it would not come too late.
TEST(run_agent, startIsNotRepeatedOnceItsLeaseIsOver)
{
    answerStatusQuery();
    orderOneStartWithoutAnswer();
    LONGS_EQUAL(1, host.starts.size());
    agent.onPlanner(0);
    loop.jump(9s);
    loop.advance(1s);
    LONGS_EQUAL(1, host.starts.size());
    CHECK(!host.stops.empty());
}
