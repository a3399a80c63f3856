#pragma once

// Parses and validates a caller's job request, and chooses the cell that runs it.
//
//   result<job_request> request = parseJobRequest(body, config.entries, request_limits{});
//   if (const failure *error = failureOf(request))
//       return respond(*error);
//   result<std::string> cell = chooseCell(valueOf(request).spec, config.entries, workers);
//
// The body is a JSON object with these fields:
//   team, requestId             strings, required
//   class                       string; default: the shape's class, else the team's
//   shape                       string; without it, perTask is required
//   perTask                     object: cores in thousandths, memory in MiB, accelerators
//   tasks                       integer, default 1
//   closeness                   none, failureDomain, rack or worker; default none
//                               (perTask, tasks and closeness must be absent if shape is given)
//   idempotent, canCheckpoint   booleans, default false
//   deadlineMs, runTimeMs       integers, default 0: not set
//   stopTimeMs                  integer; default: the shape's, else 5000
//   payload                     string, passed to the backend servers unchanged

#include "goldcrest/catalogue.h"
#include "goldcrest/messages.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Limits on one request. They keep a job record below the size limit of a store value.
struct request_limits
{
    std::size_t maxPayloadBytes = 256 * 1024;
    std::size_t maxRequestIdBytes = 128;
    std::int32_t maxTasks = 1024;
    duration maxDeadline = 30 * 24h;
    duration maxRunTime = 30 * 24h;
    duration maxStopTime = 10min;
};

struct job_request
{
    job_spec spec;
    std::string bodyDigest; // digest of the body, regardless of field order and white space
};

// Parses a request, and fills in what its shape and its team define.
// Errors: MalformedJson, UnknownField, MissingField, InvalidValue, BodyTooLarge, UnknownTeam,
// UnknownClass, UnknownShape; all but MalformedJson with the field.
result<job_request> parseJobRequest(std::string_view body, const catalogue &entries,
                                    const request_limits &limits);

// Returns whether a request id can be part of a store key and of a URL path.
bool isValidRequestId(std::string_view id, const request_limits &limits);

// Workers of each cell as last reported by its planner. The workers of an absent cell are not known
// yet.
using cell_workers = std::map<std::string, std::vector<worker_status>>;

// Returns whether a job fits on the total capacity of these workers, regardless of what runs there.
bool fitsOn(const job_spec &spec, const std::vector<worker_status> &workers);

// Returns the cell of a job: one in which the team has a guarantee for the shape, else one in which
// it has any guarantee, else any cell. Cells whose known workers can't hold the job are excluded.
// Entries that know the same workers choose the same cell for the same job.
// Errors: ShapeFitsNowhere if no cell is left.
result<std::string> chooseCell(const job_spec &spec, const catalogue &entries,
                               const cell_workers &workers);

} // namespace goldcrest
