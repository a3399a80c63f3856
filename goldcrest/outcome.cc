#include "goldcrest/outcome.h"

#include <fmt/format.h>

#include <iterator>

namespace goldcrest {

namespace {

constexpr code_entry codeTable[] = {
    {code::MalformedJson, "MalformedJson", 400, "The body is not valid JSON.", "Correct the body."},
    {code::UnknownField, "UnknownField", 400, "A field is unknown; `field` has its path.",
     "Remove or correct the field."},
    {code::MissingField, "MissingField", 400, "A required field is absent; `field` has its path.",
     "Add the field."},
    {code::InvalidValue, "InvalidValue", 400,
     "A value has the wrong type or is out of range; `field` has its path.", "Correct the value."},
    {code::BodyTooLarge, "BodyTooLarge", 413, "The body is larger than the limit.",
     "Send less; keep large inputs elsewhere and refer to them."},
    {code::UnknownTeam, "UnknownTeam", 422, "The catalogue has no such team.",
     "Correct the team, or ask the operators to add it."},
    {code::UnknownShape, "UnknownShape", 422, "The catalogue has no such job shape.",
     "Correct the shape, or ask the operators to add it."},
    {code::UnknownClass, "UnknownClass", 422, "The catalogue has no such priority class.",
     "Correct the class, or ask the operators to add it."},
    {code::ShapeFitsNowhere, "ShapeFitsNowhere", 422,
     "The job can never run: no worker or cell is large enough.",
     "Ask for less; waiting does not help."},
    {code::RequestIdReused, "RequestIdReused", 409,
     "The request id belongs to another request of this team.",
     "Use a new request id for a new request."},
    {code::UnknownRequest, "UnknownRequest", 404,
     "There is no job with this request id, or its record has expired.",
     "Check the team and the id; submit again if the job is still wanted and 24 h have not passed "
     "since it was first sent."},
    {code::UnknownFailureDomain, "UnknownFailureDomain", 404,
     "No cell of the catalogue has this failure domain.", "Correct the name."},
    {code::GuaranteesDoNotFit, "GuaranteesDoNotFit", 422,
     "The guarantees of the new catalogue do not fit on the workers; the reason has the numbers.",
     "Reduce the guarantees or add workers."},
    {code::RevisionConflict, "RevisionConflict", 412,
     "The configuration has changed since the revision that the change was based on.",
     "Read the current revision, check the change against it, and send it again."},
    {code::RevisionRequired, "RevisionRequired", 428,
     "A change of the configuration must name the revision that it replaces.",
     "Send `If-Match` with the ETag that was read."},
    {code::Unauthorized, "Unauthorized", 401, "The token is missing or wrong.",
     "Send the right token."},
    {code::NotFound, "NotFound", 404, "There is no such resource.", "Correct the path."},
    {code::UnknownWorker, "UnknownWorker", 404, "No worker has this name.", "Correct the name."},
    {code::MethodNotAllowed, "MethodNotAllowed", 405, "The resource does not support the method.",
     "Use another method."},
    {code::QueueFull, "QueueFull", 503,
     "The queue of the cell or of the entry is full. The request was not run.",
     "Send the same request again later, with growing delays."},
    {code::TeamLimit, "TeamLimit", 429,
     "The team has reached its limit on jobs. The request was not run.",
     "Wait for some of the team's jobs to end."},
    {code::DeadlinePassed, "DeadlinePassed", 504,
     "The deadline passed before the job could start. It was not run.",
     "Submit under a new request id if the job is still wanted."},
    {code::Cancelled, "Cancelled", 409, "The job was cancelled before it started. It was not run.",
     "None."},
    {code::Draining, "Draining", 503, "The process is shutting down. The request was not run.",
     "Send the same request to another entry."},
    {code::TooManyConnections, "TooManyConnections", 503,
     "The client or the process has too many open connections.", "Reuse connections; try later."},
    {code::TooManyRequests, "TooManyRequests", 429,
     "Too many requests are open. The request was not run.",
     "Send the same request again later, with growing delays."},
    {code::HeaderTimeout, "HeaderTimeout", 408,
     "The request did not arrive completely in time. It was not run.", "Send the request again."},
    {code::NoTimelyCapacity, "NoTimelyCapacity", 429,
     "The job would start too late to be of use. It was not stored and is not run.",
     "Send the same request again after the time in `Retry-After`."},
    {code::MemoryLimit, "MemoryLimit", 503,
     "The process has no memory left for requests that arrive. The request was not run.",
     "Send the same request again later, or to another entry."},
    {code::TaskFailed, "TaskFailed", 500, "A task of the job failed. The job was started.",
     "Look at the output of the task."},
    {code::FailedOnSeveralWorkers, "FailedOnSeveralWorkers", 500,
     "The job failed on several healthy workers and was stopped.",
     "Look at the output; the fault is probably in the job."},
    {code::StoppedByCaller, "StoppedByCaller", 409, "The job was cancelled after it had started.",
     "None; work may have been done."},
    {code::ExceededDeclaration, "ExceededDeclaration", 500,
     "A task used much more than it declared and was stopped.",
     "Declare the real size or run time."},
    {code::OutcomeUnknown, "OutcomeUnknown", 500,
     "The job may have run, but its outcome can't be determined. It is not started again.",
     "Check its effect before submitting it under a new request id."},
    {code::PlannerUnreachable, "PlannerUnreachable", 503,
     "The planner of the cell can't be reached now; the answering process does not know the state "
     "of the job.",
     "Ask again with the same request id."},
    {code::AnswerPending, "AnswerPending", 202, "The job is accepted and has no outcome yet.",
     "Ask again with the same request id."},
    {code::StoreUnavailable, "StoreUnavailable", 503,
     "The store does not answer. Nothing was changed.",
     "Send the same request again, with growing delays."},
    {code::StoreAmbiguous, "StoreAmbiguous", 503,
     "The response of the store was lost; the change may have taken effect, or may still do so.",
     "Read the state before trying again; repeat job requests with the same request id."},
    {code::StoreConflict, "StoreConflict", 409,
     "Another process changed the same entry first. Nothing was changed.",
     "Read the state and decide again."},
    {code::StoreOverBudget, "StoreOverBudget", 503,
     "The budget of store calls is used up, in this process or at the store. Nothing was changed.",
     "Send the same request again later, with growing delays."},
    {code::StoreValueTooLarge, "StoreValueTooLarge", 413,
     "A value is larger than the store accepts. Nothing was changed.", "Send less."},
    {code::StoreProtocol, "StoreProtocol", 502,
     "The store refused a call or answered in an unexpected form.",
     "Report it: the versions of the programs and of the store do not match."},
    {code::LeaseLost, "LeaseLost", 503, "A lease at the store has ended.",
     "Internal: the holder steps down."},
    {code::StaleEpoch, "StaleEpoch", 409, "The message is from a planner that was replaced.",
     "Internal: the sender steps down."},
    {code::HoldRefused, "HoldRefused", 409,
     "A worker refused to hold capacity for the tasks. Nothing was started.",
     "Internal: the planner places the job elsewhere."},
    {code::HoldExpired, "HoldExpired", 409,
     "The start arrived after the hold had ended. Nothing was started.",
     "Internal: the planner tries again."},
    {code::AttemptAborted, "AttemptAborted", 409,
     "The attempt was aborted before its start arrived. Nothing was started.", "Internal: none."},
    {code::StaleConfiguration, "StaleConfiguration", 503,
     "The configuration has not been confirmed recently, so nothing is started; or an older "
     "revision than the one in use was received.",
     "Wait; check the state of the store if the error persists."},
    {code::MalformedMessage, "MalformedMessage", 400,
     "A message or a stored record is not in the expected form; `field` has the position.",
     "Report it: the versions of the processes do not match, or data was damaged."},
    {code::UnsupportedVersion, "UnsupportedVersion", 400,
     "A message or a record has a version that this program does not support.",
     "Bring the programs to the same version."},
    {code::LinkClosed, "LinkClosed", 503, "The connection to another process closed.",
     "Internal: the sender connects again."},
    {code::BackendUnavailable, "BackendUnavailable", 503,
     "The backend server does not answer; a start may have taken effect.",
     "Internal: the agent reads the task list."},
    {code::WorkerQuarantined, "WorkerQuarantined", 503,
     "Several jobs failed on the worker, so it receives no jobs for some time.",
     "Check the worker for faults."},
    {code::WorkerDraining, "WorkerDraining", 503,
     "The worker is in graceful shutdown and accepts no new work. Nothing was started.",
     "Internal: the planner places the job elsewhere."},
    {code::SettingsInvalid, "SettingsInvalid", 400,
     "The settings of a process are wrong; `field` has the path.", "Correct the settings file."},
    {code::Internal, "Internal", 500, "A fault in this program.",
     "Report it with the log lines of the request."},
};

const code_entry *find(code number)
{
    for (const code_entry &entry : codeTable) {
        if (entry.number == number)
            return &entry;
    }
    return nullptr;
}

} // namespace

std::string_view nameOf(code number)
{
    const code_entry *entry = find(number);
    return entry ? entry->name : "Unnumbered";
}

int httpStatusOf(code number)
{
    constexpr int internalServerError = 500;
    const code_entry *entry = find(number);
    return entry ? entry->httpStatus : internalServerError;
}

std::vector<code_entry> listCodes()
{
    return {std::begin(codeTable), std::end(codeTable)};
}

std::string errorsMarkdown()
{
    std::string page = R"(# Errors

Every error has a number, a name, a reason for a person and, where one field is at fault, its path. The numbers
never change meaning. The range says what is known about a request:

| range | meaning |
|---|---|
| 100-199 | the request is wrong and was not run |
| 200-299 | the request was right, but was refused or ended without a start; it was not run |
| 300-399 | the job was started |
| 400-499 | the state of the request is not known now |
| 500-599 | calls to the store |
| 600-699 | between the system's own processes and its backend servers |
| 700-799 | settings |
| 900 | a fault in the program |

This page is generated from the table in `goldcrest/outcome.cc`.

| number | name | HTTP status | meaning | what the caller should do |
|---|---|---|---|---|
)";
    for (const code_entry &entry : codeTable) {
        page += fmt::format("| {} | `{}` | {} | {} | {} |\n", static_cast<int>(entry.number),
                            entry.name, entry.httpStatus, entry.meaning, entry.advice);
    }
    return page;
}

} // namespace goldcrest
