// The planner of a cell in the gang API, with agents and a store that answer at once.

#include "goldcrest/cell_planner.h"
#include "testing/quiet_log.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr std::int64_t startUnixMs = 1'700'000'000'000;
constexpr link_id entryLink = 1000;
constexpr epoch someEpoch = 1;

} // namespace

// A planner whose store answers at once, and whose agents hold and start whatever they are asked
// to.
TEST_GROUP(cell_planner)
{
    time_point now{1h};
    cell_planner planner{makeOptions(), makeGangScheduler("cell-1"), makeUnanimousPolicy(), now};
    std::map<link_id, std::string> workers{{1, "w1"}, {2, "w2"}, {3, "w1"}};
    std::vector<std::pair<link_id, gang_info>> holds;
    std::vector<gang_info> started;
    store_revision storeRevision = 0;
    bool isIdempotent = true; // the job
    std::optional<failure> startRefusal; // of the first start

    static planner_options makeOptions()
    {
        planner_options options;
        options.cell = "cell-1";
        options.worker = "w1";
        options.number = someEpoch;
        options.startUnixMs = startUnixMs;
        return options;
    }

    void setup() override
    {
        silenceLog();
        configuration config;
        config.number = 1;
        config.entries.cells["cell-1"] = {"cell-1", "operations", {"d"}};
        class_entry batch;
        batch.name = "batch";
        config.entries.classes["batch"] = batch;
        team_entry team;
        team.name = "team";
        team.className = "batch";
        team.maxQueued = 100;
        config.entries.teams["team"] = team;
        planner.leaseChanged(true, false, now);
        planner.configurationOffered(config, 0ms, now);
        planner.recordsLoaded(std::vector<loaded_record>{}, now);
        planner.entryOpened(entryLink, "entry-1", now);
    }

    inventory_message inventoryOf(link_id link)
    {
        inventory_message inventory;
        inventory.worker.id = workers.at(link);
        inventory.worker.failureDomain = "d";
        inventory.worker.rack = "r";
        inventory.worker.address = workers.at(link) + ":1";
        inventory.worker.capacity = {4000, 4000, 0};
        inventory.backendReachable = true;
        return inventory;
    }

    void deliver(link_id link, const message &content)
    {
        planner.received(link, content, now);
        execute();
    }

    void advance(duration time)
    {
        for (duration passed = 0ms; passed < time; passed += 100ms) {
            now += 100ms;
            planner.configurationConfirmed(1, 0ms, now);
            planner.tick(now);
            execute();
        }
    }

    void execute()
    {
        for (std::vector<planner_action> actions = planner.takeActions(); !actions.empty();
             actions = planner.takeActions()) {
            for (const planner_action &action : actions) {
                if (const auto *write = std::get_if<write_record>(&action))
                    planner.recordWritten(write->job, {write_status::Applied, ++storeRevision},
                                          now);
                else if (const auto *read = std::get_if<read_record>(&action))
                    planner.recordRead(read->job, stored(), now);
                else if (const auto *sent = std::get_if<send_message>(&action))
                    answer(*sent);
            }
        }
    }

    void answer(const send_message &sent)
    {
        if (const auto *hold = std::get_if<hold_message>(&sent.content)) {
            holds.emplace_back(sent.link, hold->gang);
            planner.received(
                sent.link,
                hold_reply_message{hold->gang.attempt, workers.at(sent.link), someEpoch, {}}, now);
        } else if (const auto *start = std::get_if<start_message>(&sent.content)) {
            started.push_back(holds.back().second);
            planner.received(sent.link,
                             task_started_message{start->attempt, workers.at(sent.link), someEpoch,
                                                  std::exchange(startRefusal, std::nullopt)},
                             now);
        }
    }

    job_spec makeSpec() const
    {
        job_spec spec;
        spec.key = {"team", "request"};
        spec.className = "batch";
        spec.tasks = 1;
        spec.perTask = {1000, 1000, 0};
        spec.idempotent = isIdempotent;
        spec.declaredRunTime = 1h;
        return spec;
    }

    std::optional<loaded_record> stored()
    {
        loaded_record loaded;
        loaded.record.spec = makeSpec();
        loaded.record.cell = "cell-1";
        loaded.record.acceptedAtUnixMs = startUnixMs + 600'000;
        loaded.modRevision = ++storeRevision;
        return loaded;
    }

    void submit()
    {
        submit_job_message message;
        message.spec = makeSpec();
        message.acceptedAtUnixMs = startUnixMs + 600'000;
        deliver(entryLink, message);
        advance(500ms);
    }
};

// Guards against a job that runs twice: an agent has opened another link, on which the job was
// started, and its inventory from before that arrives on the earlier link, which was cut meanwhile.
TEST(cell_planner, inventoryOnAnEarlierLinkDoesNotProveAGangGone)
{
    deliver(1, inventoryOf(1));
    deliver(3, inventoryOf(3)); // the same agent on its next link
    advance(3s);
    submit();
    LONGS_EQUAL(1, started.size());
    deliver(2, inventoryOf(2));
    deliver(1, inventoryOf(1)); // sent before the other link was opened
    advance(2s);
    LONGS_EQUAL(1, started.size());
}

// Guards against a job that runs twice: a refusal of a start counted as a proof that no task was
// started unless its code was known to prove nothing.
TEST(cell_planner, onlyKnownRefusalsProveThatNoTaskWasStarted)
{
    isIdempotent = false;
    startRefusal = makeFailure(code::Internal, "a fault after the first task was started");
    deliver(1, inventoryOf(1));
    advance(3s);
    submit();
    advance(10s);
    LONGS_EQUAL(1, started.size());
}

// Guards against a job that waits for a proof that it has.
TEST(cell_planner, aRefusedStartIsRepeatedWhenNoTaskWasStarted)
{
    isIdempotent = false;
    startRefusal = makeFailure(code::HoldExpired, "the attempt has no hold on this worker");
    deliver(1, inventoryOf(1));
    advance(3s);
    submit();
    advance(10s);
    LONGS_EQUAL(2, started.size());
}
