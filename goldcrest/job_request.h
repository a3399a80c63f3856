#pragma once

// Parses and checks a caller's job request, and chooses the cell that runs it.
//
//   result<job_request> request = parseJobRequest(body, config.entries, request_limits{});
//   if (const failure *error = failureOf(request))
//       return respond(*error);
//   std::string cell = chooseCell(valueOf(request).spec, config.entries, capacities);
//
// The body is a JSON object with these fields:
//   team, requestId                   required
//   class                             default: the shape's class, else the team's
//   shape                             or the sizes: tasks, cores, memoryMiB, accelerators,
//   adjacency idempotent, canCheckpoint         booleans, default false deadlineMs, runTimeMs,
//   stopTimeMs integers payload                           string, passed to the backend servers as
//   it is

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

// Bounds of one request. They keep a job record below the store's value limit.
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
    std::string bodyDigest; // independent of the order of fields and of white space
};

// Parses a request.
// Errors: MalformedJson, UnknownField, MissingField, InvalidValue, BodyTooLarge, UnknownTeam,
// UnknownClass, UnknownShape, each with the field.
result<job_request> parseJobRequest(std::string_view body, const catalogue &entries,
                                    const request_limits &limits);

// Returns whether a request id can be part of a store key and of a URL path.
bool isValidRequestId(std::string_view id, const request_limits &limits);

// Workers of each cell as last reported by its planner. A cell that is absent is not known yet.
using cell_workers = std::map<std::string, std::vector<worker_status>>;

// Returns whether a job fits on the whole capacity of these workers, whatever runs there now.
bool fitsOn(const job_spec &spec, const std::vector<worker_status> &workers);

// Returns the cell of a job: one with the team's guarantee for the shape, else one with any
// guarantee of the team, else any cell. Cells whose known workers can't hold the job are left out.
// The same job goes to the same cell at every entry that knows the same workers.
// Errors: ShapeFitsNowhere.
result<std::string> chooseCell(const job_spec &spec, const catalogue &entries,
                               const cell_workers &workers);

} // namespace goldcrest
