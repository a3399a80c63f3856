#include "goldcrest/graph_job.h"

#include "goldcrest/graph_job_fields.h"

#include <algorithm>
#include <charconv>

namespace goldcrest {

namespace {

using positional::field_encoding;
using positional::field_list;
using positional::field_reader;
using positional::field_writer;

constexpr std::int64_t recordVersion = 1;
constexpr std::int32_t maxTasksPerStep = 10'000;
constexpr std::size_t maxSteps = 1'000;

template<typename T>
std::string encodeRecord(const T &value)
{
    field_writer fields(field_encoding::Cbor);
    fields("version", recordVersion);
    field_list<T>::visit(fields, value);
    return positional::formatCbor(fields.take());
}

template<typename T>
result<T> decodeRecord(std::string_view bytes)
{
    const std::optional<nlohmann::json> items = positional::parseCbor(bytes);
    if (!items || !items->is_array())
        return makeFailure(code::MalformedMessage,
                           "the record is not an array in the supported subset of CBOR");
    std::optional<failure> error;
    std::int64_t version = 0;
    T value;
    field_reader fields(*items, 0, {}, field_encoding::Cbor, error);
    fields("version", version);
    if (!error && version != recordVersion)
        return makeFailure(code::UnsupportedVersion, "the version of the record is not supported",
                           "version");
    field_list<T>::visit(fields, value);
    fields.finish();
    if (error)
        return *std::move(error);
    return value;
}

failure invalid(std::string field, std::string reason)
{
    return makeFailure(code::InvalidValue, std::move(reason), std::move(field));
}

} // namespace

std::string formatTask(const task_key &task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

result<task_key> parseTask(std::string_view text)
{
    task_key task;
    const std::size_t end = text.find('.');
    if (end == std::string_view::npos || end == 0)
        return makeFailure(code::MalformedMessage, "is not of the form ID.OCCURRENCE.STEP.INDEX",
                           "task");
    task.job = std::string(text.substr(0, end));
    const char *next = text.data() + end;
    const char *last = text.data() + text.size();
    for (std::int32_t *part : {&task.occurrence, &task.step, &task.index}) {
        if (next == last || *next != '.')
            return makeFailure(code::MalformedMessage,
                               "is not of the form ID.OCCURRENCE.STEP.INDEX", "task");
        const auto [after, error] = std::from_chars(next + 1, last, *part);
        if (error != std::errc() || *part < 0)
            return makeFailure(code::MalformedMessage,
                               "is not of the form ID.OCCURRENCE.STEP.INDEX", "task");
        next = after;
    }
    if (next != last)
        return makeFailure(code::MalformedMessage, "is not of the form ID.OCCURRENCE.STEP.INDEX",
                           "task");
    return task;
}

std::string_view nameOf(graph_job_state state)
{
    switch (state) {
    case graph_job_state::Queued:
        return "queued";
    case graph_job_state::Running:
        return "running";
    case graph_job_state::Completed:
        return "completed";
    case graph_job_state::Failed:
        return "failed";
    case graph_job_state::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

result<done> checkGraphJob(const graph_job &job)
{
    if (job.steps.empty())
        return invalid("steps", "must contain at least one step");
    if (job.steps.size() > maxSteps)
        return invalid("steps", "must contain at most 1000 steps");
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const step_spec &step = job.steps[i];
        const std::string path = "steps[" + std::to_string(i) + "]";
        if (step.count < 1 || step.count > maxTasksPerStep)
            return invalid(path + ".count", "must be between 1 and 10000");
        if (step.perTask.cores < 0 || step.perTask.memory < 0 || step.perTask.accelerators < 0)
            return invalid(path, "resources must not be negative");
        for (const std::int32_t predecessor : step.after) {
            if (predecessor < 0 || predecessor >= static_cast<std::int32_t>(i))
                return invalid(path + ".after", "must refer to earlier steps only");
        }
    }
    if (job.schedule.occurrences < 0 || job.schedule.interval < 0ms)
        return invalid("schedule", "occurrences and interval must not be negative");
    return done{};
}

duration criticalPathTime(const graph_job &job)
{
    return criticalPathTime(job, [](const step_spec &step) { return step.estimated; });
}

duration criticalPathTime(const graph_job &job,
                          const std::function<duration(const step_spec &)> &timeOf)
{
    std::vector<duration> ends(job.steps.size(), 0ms);
    duration longest = 0ms;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        for (const std::int32_t predecessor : job.steps[i].after)
            ends[i] = std::max(ends[i], ends[static_cast<std::size_t>(predecessor)]);
        ends[i] += timeOf(job.steps[i]);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

std::string encodeGraphJob(const graph_job &job)
{
    return encodeRecord(job);
}

result<graph_job> decodeGraphJob(std::string_view value)
{
    result<graph_job> job = decodeRecord<graph_job>(value);
    if (failureOf(job))
        return job;
    const result<done> checked = checkGraphJob(valueOf(job));
    if (const failure *error = failureOf(checked))
        return *error;
    return job;
}

std::string encodeJobProgress(const job_progress &progress)
{
    return encodeRecord(progress);
}

const std::size_t maxProgressItems = positional::maxItems;

progress_size largestProgress(const graph_job &job, std::size_t occurrences)
{
    // The name of a worker, its incarnation and a checkpoint have at most 24, 32 and 24 bytes on
    // the users' platform; the counters have one byte each while they are below 24.
    constexpr progress_size perTask{96, 11};
    constexpr progress_size perStep{16, 3};
    constexpr progress_size perOccurrence{16, 4};
    constexpr progress_size other{256, 7};
    progress_size one = perOccurrence;
    for (const step_spec &step : job.steps) {
        const auto tasks = static_cast<std::size_t>(step.count);
        one.bytes += perStep.bytes + perTask.bytes * tasks;
        one.items += perStep.items + perTask.items * tasks;
    }
    return {other.bytes + one.bytes * occurrences, other.items + one.items * occurrences};
}

std::size_t largestProgressBytes(const graph_job &job)
{
    return largestProgress(job).bytes;
}

std::size_t maxOverlappingOccurrences(const graph_job &job, std::size_t maxRecordBytes)
{
    const progress_size one = largestProgress(job);
    const progress_size two = largestProgress(job, 2);
    const std::size_t further = std::min(
        (maxRecordBytes - std::min(maxRecordBytes, one.bytes)) / (two.bytes - one.bytes),
        (maxProgressItems - std::min(maxProgressItems, one.items)) / (two.items - one.items));
    return 1 + further;
}

result<job_progress> decodeJobProgress(std::string_view value)
{
    return decodeRecord<job_progress>(value);
}

std::string graphJobKey(std::string_view id)
{
    return std::string(graphIntakePrefix) + "job/" + std::string(id);
}

std::string graphCancelKey(std::string_view id)
{
    return std::string(graphIntakePrefix) + "cancel/" + std::string(id);
}

std::string graphFenceKey(std::string_view id)
{
    return "gc/fence/" + std::string(id);
}

std::string graphProgressKey(std::string_view id)
{
    return std::string(graphProgressPrefix) + std::string(id);
}

} // namespace goldcrest
