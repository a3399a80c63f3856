#include "goldcrest/outcome.h"

namespace goldcrest {

namespace {

struct code_entry
{
    code number;
    std::string_view name;
    int httpStatus;
};

constexpr code_entry codeTable[] = {
    {code::MalformedJson, "MalformedJson", 400},
    {code::UnknownField, "UnknownField", 400},
    {code::MissingField, "MissingField", 400},
    {code::InvalidValue, "InvalidValue", 400},
    {code::BodyTooLarge, "BodyTooLarge", 413},
    {code::UnknownTeam, "UnknownTeam", 422},
    {code::UnknownShape, "UnknownShape", 422},
    {code::UnknownClass, "UnknownClass", 422},
    {code::ShapeFitsNowhere, "ShapeFitsNowhere", 422},
    {code::RequestIdReused, "RequestIdReused", 409},
    {code::UnknownRequest, "UnknownRequest", 404},
    {code::UnknownFailureDomain, "UnknownFailureDomain", 404},
    {code::GuaranteesDoNotFit, "GuaranteesDoNotFit", 422},
    {code::RevisionConflict, "RevisionConflict", 412},
    {code::RevisionRequired, "RevisionRequired", 428},
    {code::Unauthorized, "Unauthorized", 401},
    {code::NotFound, "NotFound", 404},
    {code::UnknownWorker, "UnknownWorker", 404},
    {code::MethodNotAllowed, "MethodNotAllowed", 405},
    {code::QueueFull, "QueueFull", 503},
    {code::TeamLimit, "TeamLimit", 429},
    {code::DeadlinePassed, "DeadlinePassed", 504},
    {code::Cancelled, "Cancelled", 409},
    {code::Draining, "Draining", 503},
    {code::TooManyConnections, "TooManyConnections", 503},
    {code::TooManyRequests, "TooManyRequests", 429},
    {code::HeaderTimeout, "HeaderTimeout", 408},
    {code::TaskFailed, "TaskFailed", 500},
    {code::FailedOnSeveralWorkers, "FailedOnSeveralWorkers", 500},
    {code::StoppedByCaller, "StoppedByCaller", 409},
    {code::ExceededDeclaration, "ExceededDeclaration", 500},
    {code::OutcomeUnknown, "OutcomeUnknown", 500},
    {code::PlannerUnreachable, "PlannerUnreachable", 503},
    {code::AnswerPending, "AnswerPending", 202},
    {code::StoreUnavailable, "StoreUnavailable", 503},
    {code::StoreAmbiguous, "StoreAmbiguous", 503},
    {code::StoreConflict, "StoreConflict", 409},
    {code::StoreOverBudget, "StoreOverBudget", 503},
    {code::StoreValueTooLarge, "StoreValueTooLarge", 413},
    {code::StoreProtocol, "StoreProtocol", 502},
    {code::LeaseLost, "LeaseLost", 503},
    {code::StaleEpoch, "StaleEpoch", 409},
    {code::HoldRefused, "HoldRefused", 409},
    {code::HoldExpired, "HoldExpired", 409},
    {code::AttemptAborted, "AttemptAborted", 409},
    {code::StaleConfiguration, "StaleConfiguration", 503},
    {code::MalformedMessage, "MalformedMessage", 400},
    {code::UnsupportedVersion, "UnsupportedVersion", 400},
    {code::LinkClosed, "LinkClosed", 503},
    {code::BackendUnavailable, "BackendUnavailable", 503},
    {code::WorkerQuarantined, "WorkerQuarantined", 503},
    {code::WorkerDraining, "WorkerDraining", 503},
    {code::SettingsInvalid, "SettingsInvalid", 400},
    {code::Internal, "Internal", 500},
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

} // namespace goldcrest
