#pragma once

// Internal to the cell_planner*.cc files: what the planner keeps per job, worker and entry, and the
// constants and helpers that several of the files use.

#include "goldcrest/cell_planner.h"

#include <algorithm>

namespace goldcrest {

// First delay and largest delay before a job whose attempt could not start is queued again.
constexpr duration parkDelay = 200ms;
constexpr duration maxParkDelay = 5s;

// Delay between two tries to read or write a record while the store does not answer.
constexpr duration storeRetryDelay = 1s;
constexpr duration maxStoreRetryDelay = 8s;

inline duration backoff(duration first, duration most, std::int32_t tries)
{
    constexpr std::int32_t maxDoublings = 6;
    const std::int32_t doublings = std::min(tries, maxDoublings);
    return std::min(most, first * (1 << doublings));
}

inline failure cancelFailure()
{
    return makeFailure(code::Cancelled, "the caller cancelled the job");
}

inline std::size_t resultBytes(const std::vector<task_result> &results)
{
    std::size_t bytes = 0;
    for (const task_result &each : results)
        bytes += each.output.size();
    return bytes;
}

// Where a job is, as the planner sees it.
enum class job_place {
    Parked, // waits for its release time before the engine gets it
    Queued, // in the engine's queue
    Placed, // has a gang, and the engine counts its resources
    Recovering, // has a gang of an earlier planner that the engine does not know yet
    Ended,
};

struct cell_planner::planned_job
{
    job_spec spec;
    bool hasPayload = true; // false for a job known only from an inventory
    bool mustRead = false; // ended in this epoch, so its record is read before a start
    bool recorded = true; // an entry created its record
    std::int64_t acceptedAtUnixMs = 0;
    job_place place = job_place::Parked;
    std::set<link_id> watchers; // entries that get updates
    std::optional<gang_coordinator> gang;

    // What is known about earlier runs.
    bool runUncertain = false; // an earlier planner may have started it without an intent
    std::int32_t lastAttempt = 0;
    std::int32_t startedAttempts = 0; // attempts that may have run
    std::int32_t failedAttempts = 0;
    std::int32_t parkings = 0; // in a row, for the backoff
    double progress = 0;
    bool cancelled = false;
    std::optional<stop_reason> stopCause;
    time_point queuedSince;
    duration startDelay = 0ms;

    // The record in the store.
    std::optional<job_record> base; // as last read or written, without the spec and the results
    std::optional<store_revision> baseRevision; // empty: must be read before a write
    std::int32_t intentAttempt = 0;
    epoch intentEpoch = 0;
    std::vector<worker_id> intentWorkers;
    bool storeBusy = false; // a read or a write is open
    bool dirty = false;
    std::optional<job_outcome> sentOutcome; // in the open write
    job_record sentRecord;

    // Payload and results can be large and are in this object already, so `base` has no copy of
    // them.
    void setBase(job_record record)
    {
        record.spec = {};
        record.results.clear();
        base = std::move(record);
    }
    std::int32_t sentIntent = 0; // attempt of the intent in the open write
    time_point retryAt;
    time_point createAfter; // of a record that the entry has not created
    std::int32_t storeFailures = 0;

    // The end.
    std::optional<job_outcome> outcome;
    std::optional<failure> why;
    std::vector<task_result> results;
    attempt_id resultAttempt;
    std::vector<worker_id> resultWorkers; // to be told when the result is stored
    bool durable = false;
    bool answered = false;
};

struct cell_planner::worker_state
{
    worker_info info;
    link_id link = 0; // 0: not connected
    bool inventoryRead = false;
    bool draining = false;
    bool backendReachable = true;
    bool suspect = false;
    bool lost = false;
    time_point heardAt;
    std::optional<time_point> inventoryAskedAt;
    std::int32_t differences = 0; // heartbeats in a row whose part count differs
    enum class engine_view { Absent, Up, Suspended, Down } inEngine = engine_view::Absent;
    std::set<job_key> gangs; // jobs with a gang that has tasks here
};

struct cell_planner::entry_state
{
    link_id link = 0; // 0: not connected
    time_point closedAt;
    std::uint64_t query = 0;
    time_point askedAt;
    std::optional<time_point> answeredAskedAt; // when the answered question was sent
    bool heardFromStore = false;
    revision highestRevision = 0;
};

} // namespace goldcrest
