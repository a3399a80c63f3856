#pragma once

// Internal to the cell_planner*.cc files: the planner's state per job, worker and entry, and the
// constants and helpers that several of these files share.

#include "goldcrest/cell_planner.h"

#include <algorithm>

namespace goldcrest {

// Initial and maximum delay before a job whose attempt could not start is queued again.
constexpr duration parkDelay = 200ms;
constexpr duration maxParkDelay = 5s;

// Initial and maximum delay between attempts to read or write a record while the store fails.
constexpr duration storeRetryDelay = 1s;
constexpr duration maxStoreRetryDelay = 8s;

// Returns the exponential backoff delay after `tries` earlier failures, at most `most`.
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

// Where the planner keeps a job.
enum class job_place {
    Parked, // waits for its release time before it is passed to the engine
    Queued, // in the engine's queue
    Placed, // has a gang, and the engine counts its resources
    Recovering, // has a gang of an earlier planner, which is not yet in the engine
    Ended,
};

struct cell_planner::planned_job
{
    job_spec spec;
    bool hasPayload = true; // false if the job is known only from an inventory
    bool mustReadRecord = false; // ended in this epoch; its record must be read before a start
    bool recorded = true; // an entry has created the record
    std::int64_t acceptedAtUnixMs = 0;
    job_place place = job_place::Parked;
    std::set<link_id> watchers; // links of the entries that get updates
    std::optional<gang_coordinator> gang;

    // Earlier attempts.
    bool mayHaveRun = false; // an earlier planner may have started it without an intent
    std::int32_t lastAttempt = 0;
    std::int32_t startedAttempts = 0; // attempts that may have run
    std::int32_t failedAttempts = 0;
    std::int32_t parkCount = 0; // consecutive attempts that did not start, for the backoff
    double progress = 0;
    bool cancelled = false;
    std::optional<stop_reason> stopCause;
    time_point queuedSince;
    duration startDelay = 0ms;

    // The record in the store.
    std::optional<job_record> base; // as last read or written, without spec and results
    std::optional<store_revision> baseRevision; // empty: must be read before a write; 0: absent
    std::int32_t intentAttempt = 0;
    epoch intentEpoch = 0;
    std::vector<worker_id> intentWorkers;
    bool storeBusy = false; // a read or a write is in progress
    bool dirty = false; // the record differs from the stored one
    std::optional<job_outcome> sentOutcome; // outcome in the write in progress
    job_record sentRecord;

    // Omits payload and results: they can be large, and this object has them already.
    void setBase(job_record record)
    {
        record.spec = {};
        record.results.clear();
        base = std::move(record);
    }
    std::int32_t sentIntent = 0; // attempt number of the intent in the write in progress
    time_point retryAt;
    time_point createAfter; // when the planner creates a record that the entry has not created
    std::int32_t storeFailures = 0; // consecutive

    // Outcome and results.
    std::optional<job_outcome> outcome;
    std::optional<failure> why;
    std::vector<task_result> results;
    attempt_id resultAttempt;
    std::vector<worker_id> resultWorkers; // notified once the result is stored
    bool durable = false; // the outcome is stored
    bool answered = false; // the outcome may be reported to entries
};

struct cell_planner::worker_state
{
    worker_info info;
    link_id link = 0; // 0: not connected
    link_id newestLink = 0; // that an inventory came on, also if it has closed
    bool inventoryRead = false;
    bool draining = false;
    bool backendReachable = true;
    bool suspect = false;
    bool lost = false;
    time_point lastContactAt;
    std::optional<time_point> inventoryRequestedAt;
    std::int32_t partCountMismatches = 0; // consecutive heartbeats with an unexpected part count
    enum class engine_view { Absent, Up, Suspended, Down } inEngine = engine_view::Absent;
    std::set<job_key> gangs; // jobs with a gang that has tasks here
};

struct cell_planner::entry_state
{
    link_id link = 0; // 0: not connected
    time_point closedAt;
    std::uint64_t query = 0;
    time_point querySentAt;
    std::optional<time_point> answeredQuerySentAt; // send time of the last query answered
    bool reachedStore = false;
    revision highestRevision = 0;
};

} // namespace goldcrest
