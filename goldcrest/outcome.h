#pragma once

// Numbered result codes and the result type that every fallible function returns.
//
//   result<job_spec> parsed = parseJobSpec(body);
//   if (const failure *error = failureOf(parsed))
//       return respond(*error);
//   job_spec &spec = valueOf(parsed);
//
// The numbers are part of the HTTP interface and never change meaning; docs/errors.md lists them.

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrest {

enum class code {
    // 100-199: the request is invalid and was not run.
    MalformedJson = 100,
    UnknownField = 101,
    MissingField = 102,
    InvalidValue = 103,
    BodyTooLarge = 104,
    UnknownTeam = 105,
    UnknownShape = 106,
    UnknownClass = 107,
    ShapeFitsNowhere = 108,
    RequestIdReused = 109,
    UnknownRequest = 110,
    UnknownFailureDomain = 111,
    GuaranteesDoNotFit = 112,
    RevisionConflict = 113,
    RevisionRequired = 114,
    Unauthorized = 115,
    NotFound = 116,
    UnknownWorker = 117,
    MethodNotAllowed = 118,

    // 200-299: the request was valid but was refused or ended without a start; it was not run.
    QueueFull = 200,
    TeamLimit = 201,
    DeadlinePassed = 202,
    Cancelled = 203,
    Draining = 204,
    TooManyConnections = 205,
    TooManyRequests = 206,
    HeaderTimeout = 207,
    NoTimelyCapacity = 208,
    MemoryLimit = 209,

    // 300-399: the job was started.
    TaskFailed = 300,
    FailedOnSeveralWorkers = 301,
    StoppedByCaller = 302,
    ExceededDeclaration = 303,

    // 400-499: the state of the request is not known now.
    OutcomeUnknown = 400,
    PlannerUnreachable = 401,
    AnswerPending = 402,

    // 500-599: calls to the platform's store.
    StoreUnavailable = 500,
    StoreAmbiguous = 501,
    StoreConflict = 502,
    StoreOverBudget = 503,
    StoreValueTooLarge = 504,
    StoreProtocol = 505,
    LeaseLost = 506,

    // 600-699: between the system's own processes and its backend servers.
    StaleEpoch = 600,
    HoldRefused = 601,
    HoldExpired = 602,
    AttemptAborted = 603,
    StaleConfiguration = 604,
    MalformedMessage = 605,
    UnsupportedVersion = 606,
    LinkClosed = 607,
    BackendUnavailable = 608,
    WorkerQuarantined = 609,
    WorkerDraining = 610,

    // 700-799: settings.
    SettingsInvalid = 700,

    // 900: a fault in this program.
    Internal = 900,
};

// Why an operation failed.
struct failure
{
    code number = code::Internal;
    std::string field; // path of the offending field, such as "tasks[2].cores"; empty if none
    std::string reason; // human-readable, one sentence
};

template<typename T>
using result = std::variant<T, failure>;

// Value type of operations that return no value on success.
using done = std::monostate;

// Returns the failure in `outcome`, or nullptr if it holds a value.
template<typename T>
const failure *failureOf(const result<T> &outcome)
{
    return std::get_if<failure>(&outcome);
}

// Returns the value in `outcome`; the caller has checked that there is one.
template<typename T>
T &valueOf(result<T> &outcome)
{
    return std::get<T>(outcome);
}

template<typename T>
const T &valueOf(const result<T> &outcome)
{
    return std::get<T>(outcome);
}

// @param field path of the offending field, empty if none
inline failure makeFailure(code number, std::string reason, std::string field = {})
{
    return failure{number, std::move(field), std::move(reason)};
}

// Returns the code's stable name, such as "UnknownTeam", or "Unnumbered" for an unknown code.
std::string_view nameOf(code number);

// Returns the HTTP status of the response to a request that ended with `number`; 500 for an unknown
// code.
int httpStatusOf(code number);

// Documentation of one code.
struct code_entry
{
    code number;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
    std::string_view advice; // what the caller should do
};

// Returns all codes in ascending order of their numbers.
std::vector<code_entry> listCodes();

// Returns the text of docs/errors.md, a Markdown table of all codes.
std::string errorsMarkdown();

} // namespace goldcrest
