#include "goldcrest/agent_core.h"
#include "goldcrest/gang_coordinator.h"
#include "goldcrest/outage_rule.h"

#include "goldcrest/digest.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr epoch firstEpoch = 10;
constexpr epoch secondEpoch = 20;
constexpr time_point start{1000ms};

gang_info gangOf(std::int32_t number, epoch plannerEpoch, std::int32_t members = 1)
{
    gang_info gang;
    gang.attempt = {{"team", "job"}, number};
    gang.plannerEpoch = plannerEpoch;
    gang.tasks = members;
    gang.members = members;
    gang.leader = "w1";
    gang.leaderAddress = "w1:1";
    gang.own = {"w1", 0, 1};
    if (members > 1)
        gang.parts = {{"w1", 0, 1}, {"w2", 1, 1}};
    gang.spec.perTask = {1000, 1000, 1};
    return gang;
}

template<typename wanted>
std::vector<wanted> messagesIn(const std::vector<agent_action> &actions)
{
    std::vector<wanted> found;
    for (const agent_action &action : actions) {
        const auto *sent = std::get_if<send_to_planner>(&action);
        if (sent && std::holds_alternative<wanted>(sent->content))
            found.push_back(std::get<wanted>(sent->content));
    }
    return found;
}

template<typename wanted>
std::size_t countOf(const std::vector<agent_action> &actions)
{
    std::size_t count = 0;
    for (const agent_action &action : actions)
        count += std::holds_alternative<wanted>(action) ? 1 : 0;
    return count;
}

// Returns the number of the list call among these actions.
std::uint64_t listCallIn(const std::vector<agent_action> &actions)
{
    std::uint64_t call = 0;
    for (const agent_action &action : actions) {
        if (const auto *list = std::get_if<list_tasks>(&action))
            call = list->call;
    }
    return call;
}

agent_core makeAgent()
{
    agent_options options;
    options.worker.id = "w1";
    options.worker.capacity = {4000, 4000, 2};
    options.worker.slots = 2;
    agent_core agent(options);
    agent.begin(start);
    agent.taskListAnswered(listCallIn(agent.takeActions()), std::vector<listed_task>{}, start);
    agent.plannerLinkOpened(firstEpoch, start);
    agent.takeActions();
    return agent;
}

void hold(agent_core &agent, const gang_info &gang, time_point now)
{
    agent.plannerMessage(hold_message{gang, 1500ms, 1}, now);
}

void begin(agent_core &agent, const gang_info &gang, time_point now)
{
    agent.plannerMessage(start_message{gang.attempt, gang.plannerEpoch, "payload", 0}, now);
}

} // namespace

TEST_GROUP(agent_core){};

// Guards against a replaced planner that starts work after its successor was seen.
TEST(agent_core, refusesLowerEpochs)
{
    agent_core agent = makeAgent();
    hold(agent, gangOf(1, firstEpoch), start);
    agent.plannerLinkOpened(secondEpoch, start);
    begin(agent, gangOf(1, firstEpoch), start + 10ms);
    hold(agent, gangOf(2, firstEpoch), start + 20ms);
    const std::vector<agent_action> actions = agent.takeActions();
    LONGS_EQUAL(0, countOf<start_task>(actions));
    CHECK(messagesIn<task_started_message>(actions).at(0).refused->number == code::StaleEpoch);
    CHECK(messagesIn<hold_reply_message>(actions).back().refused->number == code::StaleEpoch);
}

// Guards against a start that was delayed in the network beyond the bound that promise 3 in
// docs/design.md sets.
TEST(agent_core, refusesAStartAfterTheHoldsLifetime)
{
    agent_core agent = makeAgent();
    hold(agent, gangOf(1, firstEpoch), start);
    begin(agent, gangOf(1, firstEpoch), start + 1500ms);
    const std::vector<agent_action> actions = agent.takeActions();
    LONGS_EQUAL(0, countOf<start_task>(actions));
    CHECK(messagesIn<task_started_message>(actions).at(0).refused->number == code::HoldExpired);
}

// Guards against a repeated hold and start that arrive after the abort of their attempt.
TEST(agent_core, neverStartsAnAbortedAttempt)
{
    agent_core agent = makeAgent();
    const gang_info gang = gangOf(1, firstEpoch);
    hold(agent, gang, start);
    agent.plannerMessage(abort_message{gang.attempt, firstEpoch}, start);
    hold(agent, gang, start + 10ms);
    begin(agent, gang, start + 20ms);
    const std::vector<agent_action> actions = agent.takeActions();
    LONGS_EQUAL(0, countOf<start_task>(actions));
    CHECK(!messagesIn<abort_reply_message>(actions).at(0).everStarted);
}

// Guards against a refusal that a planner takes as proof that nothing started: a late copy of a
// start that an earlier run of this process carried out.
TEST(agent_core, refusesAStartThatItDoesNotRememberWithoutProof)
{
    agent_core agent = makeAgent();
    agent.plannerLinkOpened(secondEpoch, start);
    agent.takeActions();
    begin(agent, gangOf(1, firstEpoch), start + 10ms);
    const std::vector<agent_action> actions = agent.takeActions();
    LONGS_EQUAL(0, countOf<start_task>(actions));
    const auto answer = messagesIn<task_started_message>(actions).at(0);
    CHECK(answer.refused->number == code::OutcomeUnknown);
}

// Guards against a false proof: a restarted agent can't know whether an earlier run of it started
// the attempt.
TEST(agent_core, givesNoProofForAnAttemptThatItDoesNotRemember)
{
    agent_core agent = makeAgent();
    agent.plannerMessage(abort_message{{{"team", "job"}, 7}, firstEpoch}, start);
    CHECK(messagesIn<abort_reply_message>(agent.takeActions()).at(0).everStarted);
}

// Guards against holds beyond the worker's capacity, since backend servers start whatever they get.
TEST(agent_core, holdsNoMoreThanItsCapacity)
{
    agent_core agent = makeAgent();
    for (std::int32_t number = 1; number <= 3; ++number)
        hold(agent, gangOf(number, firstEpoch), start);
    const auto replies = messagesIn<hold_reply_message>(agent.takeActions());
    CHECK(!replies.at(1).refused);
    CHECK(replies.at(2).refused->number == code::HoldRefused);
}

// Guards against a member that goes on while another member of its gang is silent.
TEST(agent_core, stopsAGangThatIsNotWholeForOneGangLease)
{
    agent_core agent = makeAgent();
    const gang_info gang = gangOf(1, firstEpoch, 2);
    hold(agent, gang, start);
    begin(agent, gang, start);
    agent.taskStartAnswered(taskIdOf(gang, 0), done{}, start);
    agent.tick(start + gangLease - 1ms);
    LONGS_EQUAL(0, countOf<stop_task>(agent.takeActions()));
    agent.tick(start + gangLease);
    LONGS_EQUAL(1, countOf<stop_task>(agent.takeActions()));
}

// Guards against new work on a backend server in graceful shutdown, also after its hold.
TEST(agent_core, refusesStartsWhileDraining)
{
    agent_core agent = makeAgent();
    hold(agent, gangOf(1, firstEpoch), start);
    agent.drainChanged(true, start);
    begin(agent, gangOf(1, firstEpoch), start + 10ms);
    const std::vector<agent_action> actions = agent.takeActions();
    LONGS_EQUAL(0, countOf<start_task>(actions));
    LONGS_EQUAL(1, messagesIn<drain_notice_message>(actions).size());
}

// Guards against an inventory that lacks the tasks which an earlier run of the agent started.
TEST(agent_core, reportsFoundTasksAfterARestart)
{
    agent_core agent({});
    agent.begin(start);
    agent.plannerLinkOpened(firstEpoch, start);
    const std::vector<agent_action> first = agent.takeActions();
    LONGS_EQUAL(0, messagesIn<inventory_message>(first).size());
    const gang_info gang = gangOf(3, firstEpoch);
    backend_task task;
    task.id = taskIdOf(gang, 0);
    agent.taskListAnswered(listCallIn(first), std::vector<listed_task>{{task, gang}}, start + 10ms);
    const std::vector<agent_action> actions = agent.takeActions();
    LONGS_EQUAL(1, messagesIn<inventory_message>(actions).at(0).parts.size());
    LONGS_EQUAL(0, countOf<start_task>(actions) + countOf<forget_task>(actions));
}

TEST_GROUP(output_assembly){};

// Guards against an answer that is put together from pieces in the wrong order or twice.
TEST(output_assembly, takesPiecesInAnyOrderAndTwice)
{
    const std::string whole = "abcdefgh";
    const std::string digest = digestOf(whole);
    output_assembly output;
    output.add({0, true, "efgh", 8, 4, digest});
    output.add({0, true, "efgh", 8, 4, digest});
    CHECK(!output.isComplete());
    output.add({0, true, "abcd", 8, 0, digest});
    CHECK(output.isComplete());
    CHECK(output.whole().output == whole);
}

TEST_GROUP(outage_policy){};

// Guards against an outage policy that lets work continue although an entry may have accepted a
// change.
TEST(outage_policy, continuesOnlyIfNoEntryReachedTheStore)
{
    const entry_answers silent{3, 3, 0, 0};
    const entry_answers oneMissing{3, 2, 0, 0};
    const entry_answers oneReached{3, 3, 1, 0};
    CHECK(makeUnanimousPolicy()->mayContinue(silent));
    CHECK(!makeUnanimousPolicy()->mayContinue(oneMissing));
    CHECK(!makeUnanimousPolicy()->mayContinue(oneReached));
    CHECK(makeMajorityPolicy()->mayContinue(oneMissing));
    CHECK(!makeStoppingPolicy()->mayContinue(silent));
}

namespace {

// Holds and begins a gang of one task, whose start is answered with success at this time.
void startAnswered(agent_core &agent, const gang_info &gang, time_point begun, time_point answered)
{
    hold(agent, gang, begun);
    begin(agent, gang, begun);
    agent.taskStartAnswered(taskIdOf(gang, gang.own.firstTask), done{}, answered);
}

} // namespace

// Guards against a job that runs twice: a task list that was requested before a start proved the
// task gone if the start was answered in the millisecond in which it was sent.
TEST(agent_core, listFromBeforeAQuickStartDoesNotProveItsTaskGone)
{
    agent_core agent = makeAgent();
    agent.tick(start + 10s);
    const std::uint64_t call = listCallIn(agent.takeActions());
    CHECK(call != 0);
    const gang_info gang = gangOf(1, firstEpoch);
    startAnswered(agent, gang, start + 10s + 5ms, start + 10s + 5ms);
    agent.takeActions();
    agent.taskListAnswered(call, std::vector<listed_task>{}, start + 10s + 6ms);
    LONGS_EQUAL(0, messagesIn<task_finished_message>(agent.takeActions()).size());
}

// Guards against "never started" for a task whose start failed and that a task list lacks: the
// backend server may have received the start and run the task, or may receive it later.
TEST(agent_core, aFailedStartIsNoProofThatTheTaskNeverStarted)
{
    for (const code number : {code::BackendUnavailable, code::InvalidValue}) {
        agent_core agent = makeAgent();
        const gang_info gang = gangOf(1, firstEpoch);
        hold(agent, gang, start);
        begin(agent, gang, start);
        agent.taskStartAnswered(taskIdOf(gang, 0), makeFailure(number, "no answer"), start + 1ms);
        const std::uint64_t call = listCallIn(agent.takeActions());
        CHECK(call != 0);
        agent.taskListAnswered(call, std::vector<listed_task>{}, start + 2ms);
        agent.plannerMessage(abort_message{gang.attempt, gang.plannerEpoch}, start + 3ms);
        const std::vector<agent_action> actions = agent.takeActions();
        // The planner takes this code for no proof; see onlyKnownRefusalsProveThatNoTaskWasStarted.
        for (const task_started_message &started : messagesIn<task_started_message>(actions))
            CHECK(started.refused && started.refused->number == code::BackendUnavailable);
        const auto replies = messagesIn<abort_reply_message>(actions);
        LONGS_EQUAL(1, replies.size());
        CHECK(replies[0].everStarted);
    }
}

// Guards against a job that runs twice: the answer to a task list call from before a start counted
// as that of the later call, which another start that failed had caused.
TEST(agent_core, answerToAnEarlierListCallDoesNotProveATaskGone)
{
    agent_core agent = makeAgent();
    agent.tick(start + 10s);
    const std::uint64_t call = listCallIn(agent.takeActions());
    CHECK(call != 0);
    const gang_info gang = gangOf(1, firstEpoch);
    startAnswered(agent, gang, start + 10s + 1ms, start + 10s + 3ms);
    gang_info other = gangOf(2, firstEpoch);
    hold(agent, other, start + 10s + 4ms);
    begin(agent, other, start + 10s + 4ms);
    agent.taskStartAnswered(taskIdOf(other, 0), makeFailure(code::BackendUnavailable, "no answer"),
                            start + 10s + 5ms);
    LONGS_EQUAL(1, countOf<list_tasks>(agent.takeActions()));
    // The first call is answered, with a list from before both starts.
    agent.taskListAnswered(call, std::vector<listed_task>{}, start + 10s + 6ms);
    for (const task_finished_message &finished :
         messagesIn<task_finished_message>(agent.takeActions()))
        CHECK(!(finished.attempt == gang.attempt));
}
