#pragma once

// Persistent state of a job in the store, its encoding and its keys.
//
// The entry that accepts a job creates the record; after that only the planner of the cell changes
// it. Its transactions also require the creation revision of the leader key to be the planner's
// epoch, so that a replaced planner can't write.

#include "goldcrest/messages.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

struct job_record
{
    job_spec spec;
    std::string
        bodyDigest; // of the caller's request; separates a repeated request from a reused id
    std::string writer; // unique token of the last write
    std::string cell;
    std::int64_t acceptedAtUnixMs = 0;
    job_phase phase = job_phase::Accepted;
    std::int32_t attempt = 0; // last attempt with an intent; 0 if none
    epoch intentEpoch = 0; // epoch of the planner that wrote the intent
    std::vector<worker_id> intentWorkers;
    std::int32_t failedAttempts = 0;
    std::optional<job_outcome> outcome;
    std::optional<failure> why;
    std::vector<task_result> results; // empty if the results are in parts
    std::int32_t resultParts = 0; // number of result part keys
    double progress = 0; // share of the work that checkpoints of earlier attempts saved, 0 to 1
};

// Results larger than this are stored in parts of at most this size, in bytes before encoding.
constexpr std::size_t maxResultPartBytes = 512 * 1024;

// Records of finished jobs are kept this long, so that a repeated request gets its answer.
constexpr duration recordRetention = 24h;

std::string encodeJobRecord(const job_record &record);

// Fails with code::MalformedMessage, or with code::UnsupportedVersion for a record of another
// version.
result<job_record> decodeJobRecord(std::string_view bytes);

std::string jobRecordKey(const job_key &job); // jobs/<team>/<request id>
std::string cellJobKey(std::string_view cell,
                       const job_key &job); // cells/<cell>/jobs/<team>/<request id>
std::string cellJobPrefix(std::string_view cell); // cells/<cell>/jobs/
std::string resultPartKey(const job_key &job, std::int32_t attempt, std::int32_t part);
std::string leaderKey(std::string_view cell); // cells/<cell>/leader
constexpr std::string_view configurationKey = "config/current";

// Encodes the results of a job as parts, each a list of task results that fits in one store value.
std::vector<std::string> encodeResultParts(const std::vector<task_result> &results);

// Decodes and joins all parts of a job, in order. Fails with code::MalformedMessage if a piece of a
// result is missing.
result<std::vector<task_result>> decodeResultParts(const std::vector<std::string> &parts);

} // namespace goldcrest
