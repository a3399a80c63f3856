#pragma once

// Decides which machines are drained and taken out for the maintenance waves that operators
// request, and which waves are completed. It does no I/O: maintenance_service.h passes times, the
// machine list and answers in, and carries out the decisions.
//
//   maintenance_planner planner(options, electedAt);
//   planner.setStoredStates(states);                       // written by earlier planners
//   planner.onMachines(machines, sentAt, now);             // a complete list
//   const maintenance_decisions decisions = planner.plan(inputs);
//   planner.onSent(release);                               // before the call
//   planner.onAnswer(release, machine_answer::Done, now);
//
// A machine counts against the cap of its wave from the call on, until a list that was requested
// after a definite answer shows that it is not in maintenance. A machine whose answer was lost
// keeps counting until the list or a repeated call shows what became of it. Only an answer, or a
// list that shows maintenance after a lost answer, proves that a maintenance has begun: a successor
// repeats the calls of its predecessor, which have no effect on machines that had theirs. It drains
// these machines first, since it can't tell them from those that had none.

#include "goldcrest/clock.h"
#include "goldcrest/machine_service.h"
#include "goldcrest/queue_catalogue.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

struct maintenance_options
{
    duration maintenanceTime = 30s; // from a call until the machine is back
    // No maintenance begins this long after the election, and none by a list from before. A
    // predecessor may still act in this time, and its calls may still arrive.
    duration settleTime = 5s;
    // Time within which most runs on a drained machine end. If the time of a wave is short,
    // machines are drained this long before they are due.
    duration drainLead = 10s;
    // Allowance for each machine, for the reading of the list and for the calls.
    duration overhead = 3s;
    // A machine that was refused, or keeps a long-running task when due, is tried again after the
    // first pause. The pauses double.
    duration firstRetryPause = 15s;
    duration longestRetryPause = 120s;
    duration fencePause = 2s; // without calls, after a call was fenced
    // No maintenance begins by an older list, and drained machines get work again if the list is
    // much older. The time that it takes to read the list is added twice, since a list is in use
    // until the next one is complete.
    duration freshList = 3s;
    duration longestDrainWithoutList = 10s;
    duration freshView = 3s; // nor by an older view of the waves
};

enum class wave_state { Running, Completed };

// What the store has about a wave.
struct stored_wave_state
{
    wave_state state = wave_state::Running;
    revision at = 0; // of the item
    bool isReadable = true;
};

struct maintenance_inputs
{
    const std::vector<maintenance_wave> &waves;
    time_point viewConfirmedAt{};
    // By id of the backend server. The entry with an empty id is for all that are not known.
    const std::map<std::string, server_use> &uses;
    std::string ownServer; // backend server beside the planner, whose machine comes last
    time_point now{};
};

// A machine that is to get the maintenance of a wave now.
struct maintenance_release
{
    std::int64_t wave = 0;
    std::string machine;
};

struct maintenance_decisions
{
    // Backend servers that get no new work, with the time at which their machines are due.
    std::map<std::string, time_point> drains;
    std::vector<maintenance_release> releases;
    std::map<std::int64_t, wave_state> states; // by number of the wave
};

// How far a wave has got, for metrics and the log.
struct wave_progress
{
    std::int64_t wave = 0;
    std::int64_t machines = 0; // that remain in it
    std::int64_t begun = 0;
    std::int64_t down = 0; // that count against the cap
    std::int64_t refused = 0; // that wait for another try
    duration timeLeft = 0ms; // negative: late
};

class maintenance_planner
{
public:
    maintenance_planner(const maintenance_options &options, time_point electedAt);

    // Sets what earlier planners have stored, by number of the wave.
    void setStoredStates(std::map<std::int64_t, stored_wave_state> states);

    // Replaces the machine list.
    // @param machines the complete list; an empty one is ignored
    // @param sentAt when its first page was requested
    // @param now when its last page was received
    void onMachines(const std::vector<machine_entry> &machines, time_point sentAt, time_point now);

    // Returns the current decisions. Nothing changes until the next call for the same inputs,
    // unless the caller reports that it sent the releases.
    maintenance_decisions plan(const maintenance_inputs &inputs);

    // A call is about to be sent. No other call is released for the machine until its answer.
    void onSent(const maintenance_release &release);
    void onAnswer(const maintenance_release &release, machine_answer answer, time_point now);

    // Returns whether the list is still needed, since no list shows yet what a call did.
    bool hasOpenCalls() const;

    // Returns whether a wave is not completed, or a call is open, so that the list is needed.
    bool needsMachines() const;

    std::vector<wave_progress> progress(time_point now) const;

private:
    struct member
    {
        bool hasBegun = false;
        bool isDraining = false;
        bool isCalled = false; // a call has no answer yet
        bool isUncertain = false; // an answer was lost
        time_point drainedAt{}; // begin of the draining
        time_point answeredAt{}; // last answer, or when it was given up
        time_point retryAt{};
        duration retryPause = 0ms;
    };
    struct wave
    {
        std::int32_t cap = 0;
        time_point seenAt{};
        time_point deadline{};
        time_point changedAt{}; // last change of the machines
        bool isRestored = false; // an earlier planner has stored its state
        std::vector<std::string> machines; // without duplicates
        std::map<std::string, member> members; // also those that were removed from the wave
        bool isRequested = false; // in the last view
        bool isCompleted = false;
    };

    void updateWaves(const maintenance_inputs &inputs);
    void updateWave(wave &current, const maintenance_wave &requested, bool isNew, time_point now);
    std::vector<machine_entry> downMachines() const;
    void indexCalls();
    void delayRetry(member &state, time_point now) const;
    void applyAnswer(member &state, machine_answer answer, time_point now);
    void drainCalled(time_point now, maintenance_decisions &decisions) const;
    bool mayDrain(time_point now) const;
    void settleLostCall(const wave &current, const std::string &id, member &state) const;
    void planWave(std::int64_t number, wave &current, const maintenance_inputs &inputs,
                  maintenance_decisions &decisions);
    std::vector<std::string> candidatesOf(wave &current, const maintenance_inputs &inputs) const;
    void chooseDrains(wave &current, const std::vector<std::string> &candidates,
                      const maintenance_inputs &inputs) const;
    void repeatUncertain(std::int64_t number, wave &current, const maintenance_inputs &inputs,
                         maintenance_decisions &decisions);
    void chooseReleases(std::int64_t number, wave &current,
                        const std::vector<std::string> &candidates,
                        const maintenance_inputs &inputs, maintenance_decisions &decisions) const;
    bool mayRelease(const wave &current, const maintenance_inputs &inputs) const;
    time_point dueAt(const wave &current, std::size_t position, std::size_t count) const;
    server_use useOf(const std::string &machine, const maintenance_inputs &inputs) const;
    bool isDown(const std::string &machine) const;
    bool hasOpenCall(const std::string &machine) const;
    std::int64_t downCount(const wave &current) const;
    bool hasLeft(const std::string &machine) const;
    bool isCompleted(const wave &current) const;
    const machine_entry *find(const std::string &machine) const;

    maintenance_options m_options;
    time_point m_electedAt;
    time_point m_pausedUntil{};
    std::map<std::int64_t, stored_wave_state> m_stored;
    std::map<std::int64_t, wave> m_waves;
    std::map<std::string, machine_entry> m_machines;
    std::set<std::string> m_openCalls; // machines whose call has no definite answer
    std::set<std::string> m_unlisted; // machines that no list shows since a definite answer
    std::map<std::string, int> m_missing; // consecutive lists without a machine of a wave
    time_point m_listSentAt{};
    duration m_listTime = 0ms; // that the reading took
    bool m_hasList = false;
};

} // namespace goldcrest
