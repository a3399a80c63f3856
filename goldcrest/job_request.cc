#include "goldcrest/job_request.h"

#include "goldcrest/digest.h"
#include "goldcrest/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <limits>

namespace goldcrest {

namespace {

using json = nlohmann::json;

constexpr std::int64_t maxCores = 1'000'000; // thousandths, of one task
constexpr std::int64_t maxMemoryMiB = 64 * 1024 * 1024;
constexpr std::int64_t maxAccelerators = 1024;

constexpr std::string_view knownFields[] = {
    "team",       "requestId",     "class",      "shape",     "tasks",      "perTask", "closeness",
    "idempotent", "canCheckpoint", "deadlineMs", "runTimeMs", "stopTimeMs", "payload"};

constexpr std::string_view knownResources[] = {"cores", "memory", "accelerators"};

// Fields that the shape sets if the request names one.
constexpr std::string_view sizeFields[] = {"tasks", "perTask", "closeness"};

constexpr std::pair<std::string_view, adjacency> adjacencyNames[] = {
    {"none", adjacency::None},
    {"failureDomain", adjacency::FailureDomain},
    {"rack", adjacency::Rack},
    {"worker", adjacency::Worker},
};

// Reads typed fields of a JSON object, with a default for absent ones, and keeps the first error.
class field_reader
{
public:
    explicit field_reader(const json &object, std::string path = {})
        : m_object(object)
        , m_path(std::move(path))
    { }

    bool has(std::string_view name) const { return m_object.contains(std::string(name)); }

    std::string text(std::string_view name)
    {
        const json *value = find(name);
        if (value == nullptr)
            return {};
        if (!value->is_string()) {
            fail(code::InvalidValue, name, "must be a string");
            return {};
        }
        return value->get<std::string>();
    }

    std::string requiredText(std::string_view name)
    {
        if (!has(name))
            fail(code::MissingField, name, "is required");
        return text(name);
    }

    bool boolean(std::string_view name)
    {
        const json *value = find(name);
        if (value == nullptr)
            return false;
        if (!value->is_boolean()) {
            fail(code::InvalidValue, name, "must be true or false");
            return false;
        }
        return value->get<bool>();
    }

    std::int64_t integer(std::string_view name, std::int64_t low, std::int64_t high,
                         std::int64_t defaultValue)
    {
        const json *value = find(name);
        if (value == nullptr)
            return defaultValue;
        const bool fits = value->is_number_integer()
            && !(value->is_number_unsigned()
                 && value->get<std::uint64_t>()
                     > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
        if (!fits || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
            fail(code::InvalidValue, name,
                 "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
            return defaultValue;
        }
        return value->get<std::int64_t>();
    }

    // Reads the resources of one task, in the units of the catalogue.
    resources perTask()
    {
        resources value;
        const json *object = find("perTask");
        if (object == nullptr)
            return value;
        if (!object->is_object()) {
            fail(code::InvalidValue, "perTask", "must be an object");
            return value;
        }
        for (const auto &[name, field] : object->items()) {
            if (std::find(std::begin(knownResources), std::end(knownResources), name)
                == std::end(knownResources))
                fail(code::UnknownField, "perTask." + name, "is not a known field");
        }
        field_reader fields(*object, "perTask.");
        value.cores = fields.integer("cores", 0, maxCores, 0);
        value.memory = fields.integer("memory", 0, maxMemoryMiB, 0);
        value.accelerators = fields.integer("accelerators", 0, maxAccelerators, 0);
        if (!m_error)
            m_error = fields.error();
        return value;
    }

    void fail(code errorCode, std::string_view field, std::string_view reason)
    {
        if (!m_error)
            m_error
                = makeFailure(errorCode, m_path + std::string(field) + " " + std::string(reason),
                              m_path + std::string(field));
    }

    const std::optional<failure> &error() const { return m_error; }

private:
    const json *find(std::string_view name) const
    {
        const auto found = m_object.find(std::string(name));
        return found == m_object.end() ? nullptr : &*found;
    }

    const json &m_object;
    std::string m_path; // path of the object, with a dot at its end; empty for the root
    std::optional<failure> m_error;
};

adjacency readCloseness(field_reader &reader)
{
    if (!reader.has("closeness"))
        return adjacency::None;
    const std::string name = reader.text("closeness");
    for (const auto &[known, value] : adjacencyNames) {
        if (known == name)
            return value;
    }
    reader.fail(code::InvalidValue, "closeness",
                "must be one of none, failureDomain, rack, worker");
    return adjacency::None;
}

void readSizes(field_reader &reader, const request_limits &limits, job_spec &spec)
{
    spec.tasks = static_cast<std::int32_t>(reader.integer("tasks", 1, limits.maxTasks, 1));
    spec.perTask = reader.perTask();
    spec.closeness = readCloseness(reader);
    if (spec.perTask == resources{})
        reader.fail(code::MissingField, "shape",
                    "is required unless perTask has a resource above 0");
}

void applyShape(field_reader &reader, const catalogue &entries, job_spec &spec,
                duration &maxRunTime)
{
    const auto found = entries.shapes.find(spec.shape);
    if (found == entries.shapes.end()) {
        reader.fail(code::UnknownShape, "shape", "\"" + spec.shape + "\" is not in the catalogue");
        return;
    }
    for (const std::string_view field : sizeFields) {
        if (reader.has(field))
            reader.fail(code::InvalidValue, field, "must be absent, because the shape sets it");
    }
    const shape_entry &shape = found->second;
    spec.tasks = shape.tasks;
    spec.perTask = shape.perTask;
    spec.closeness = shape.closeness;
    spec.stopTime = shape.stopTime;
    if (shape.maxRunTime > 0ms)
        maxRunTime = std::min(maxRunTime, shape.maxRunTime);
}

void chooseClass(field_reader &reader, const catalogue &entries, const team_entry &team,
                 job_spec &spec)
{
    spec.className = reader.text("class");
    const auto shape = entries.shapes.find(spec.shape);
    if (spec.className.empty() && shape != entries.shapes.end())
        spec.className = shape->second.className;
    if (spec.className.empty())
        spec.className = team.className;
    if (entries.classes.count(spec.className) == 0)
        reader.fail(code::UnknownClass, "class",
                    "\"" + spec.className + "\" is not in the catalogue");
}

void readTimes(field_reader &reader, const request_limits &limits, duration maxRunTime,
               job_spec &spec)
{
    spec.deadline = duration(reader.integer("deadlineMs", 0, limits.maxDeadline.count(), 0));
    spec.declaredRunTime = duration(reader.integer("runTimeMs", 0, maxRunTime.count(), 0));
    spec.stopTime = duration(
        reader.integer("stopTimeMs", 1, limits.maxStopTime.count(), spec.stopTime.count()));
}

// Returns how many tasks of this size fit into a capacity at the same time.
std::int64_t tasksThatFit(const resources &need, const resources &capacity)
{
    std::int64_t count = std::numeric_limits<std::int64_t>::max();
    const auto limitCount = [&count](std::int64_t available, std::int64_t needed) {
        if (needed > 0)
            count = std::min(count, available / needed);
    };
    limitCount(capacity.cores, need.cores);
    limitCount(capacity.memory, need.memory);
    limitCount(capacity.accelerators, need.accelerators);
    return count;
}

// Returns a key that is the same for all workers over which the tasks of one job may spread.
std::string adjacencyGroup(const worker_status &worker, adjacency closeness)
{
    switch (closeness) {
    case adjacency::None:
        return {};
    case adjacency::FailureDomain:
        return worker.failureDomain;
    case adjacency::Rack:
        return worker.failureDomain + "/" + worker.rack;
    case adjacency::Worker:
        return worker.worker;
    }
    return {};
}

// Returns the cells in which the team has a guarantee for the shape, else those in which it has any
// guarantee.
std::vector<std::string> preferredCells(const job_spec &spec, const catalogue &entries)
{
    std::vector<std::string> shapeCells;
    std::vector<std::string> teamCells;
    const auto team = entries.teams.find(spec.key.team);
    if (team != entries.teams.end()) {
        for (const guarantee_entry &guarantee : team->second.guarantees) {
            teamCells.push_back(guarantee.cell);
            if (!spec.shape.empty() && guarantee.shape == spec.shape)
                shapeCells.push_back(guarantee.cell);
        }
    }
    if (!shapeCells.empty())
        return shapeCells;
    return teamCells;
}

std::vector<std::string> cellsThatFit(const job_spec &spec, const std::vector<std::string> &cells,
                                      const cell_workers &workers)
{
    std::vector<std::string> fitting;
    for (const std::string &cell : cells) {
        const auto known = workers.find(cell);
        if (known == workers.end() || fitsOn(spec, known->second))
            fitting.push_back(cell);
    }
    return fitting;
}

// Picks a cell by the hash of the job's key, so that every entry picks the same one.
std::string pickByKey(const job_spec &spec, const std::vector<std::string> &cells)
{
    return cells[job_key_hash{}(spec.key) % cells.size()];
}

} // namespace

bool isValidRequestId(std::string_view id, const request_limits &limits)
{
    if (id.empty() || id.size() > limits.maxRequestIdBytes || id == "." || id == "..")
        return false;
    return std::all_of(id.begin(), id.end(), [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool digit = c >= '0' && c <= '9';
        return letter || digit || c == '.' || c == '_' || c == '-' || c == ':';
    });
}

result<job_request> parseJobRequest(std::string_view body, const catalogue &entries,
                                    const request_limits &limits)
{
    const json parsed = parseJson(body);
    if (parsed.is_discarded())
        return makeFailure(code::MalformedJson, "the body is not JSON or is nested too deeply");
    if (!parsed.is_object())
        return makeFailure(code::MalformedJson, "the body is not a JSON object");
    for (const auto &[name, value] : parsed.items()) {
        if (std::find(std::begin(knownFields), std::end(knownFields), name)
            == std::end(knownFields))
            return makeFailure(code::UnknownField, "the field is not known", name);
    }

    field_reader reader(parsed);
    job_request request;
    job_spec &spec = request.spec;
    spec.key.team = reader.requiredText("team");
    spec.key.requestId = reader.requiredText("requestId");
    if (!isValidRequestId(spec.key.requestId, limits))
        reader.fail(code::InvalidValue, "requestId",
                    "must have 1 to " + std::to_string(limits.maxRequestIdBytes)
                        + " of the characters A-Z a-z 0-9 . _ - :");
    const auto team = entries.teams.find(spec.key.team);
    if (team == entries.teams.end())
        reader.fail(code::UnknownTeam, "team", "\"" + spec.key.team + "\" is not in the catalogue");
    if (reader.error())
        return *reader.error();

    duration maxRunTime = limits.maxRunTime;
    spec.shape = reader.text("shape");
    if (reader.has("shape"))
        applyShape(reader, entries, spec, maxRunTime);
    else
        readSizes(reader, limits, spec);
    chooseClass(reader, entries, team->second, spec);
    spec.idempotent = reader.boolean("idempotent");
    spec.canCheckpoint = reader.boolean("canCheckpoint");
    readTimes(reader, limits, maxRunTime, spec);
    spec.payload = reader.text("payload");
    if (spec.payload.size() > limits.maxPayloadBytes)
        reader.fail(code::BodyTooLarge, "payload",
                    "has more than " + std::to_string(limits.maxPayloadBytes) + " bytes");
    if (reader.error())
        return *reader.error();
    request.bodyDigest = digestOf(parsed.dump());
    return request;
}

bool fitsOn(const job_spec &spec, const std::vector<worker_status> &workers)
{
    std::map<std::string, std::int64_t> tasksOfGroup;
    for (const worker_status &worker : workers) {
        std::int64_t &tasks = tasksOfGroup[adjacencyGroup(worker, spec.closeness)];
        tasks += std::min<std::int64_t>(tasksThatFit(spec.perTask, worker.capacity), spec.tasks);
        if (tasks >= spec.tasks)
            return true;
    }
    return false;
}

result<std::string> chooseCell(const job_spec &spec, const catalogue &entries,
                               const cell_workers &workers)
{
    std::vector<std::string> cells = cellsThatFit(spec, preferredCells(spec, entries), workers);
    if (!cells.empty())
        return pickByKey(spec, cells);
    for (const auto &[name, cell] : entries.cells)
        cells.push_back(name);
    cells = cellsThatFit(spec, cells, workers);
    if (!cells.empty())
        return pickByKey(spec, cells);
    return makeFailure(
        code::ShapeFitsNowhere,
        std::to_string(spec.tasks) + " tasks of " + std::to_string(spec.perTask.cores)
            + " thousandths of a core, " + std::to_string(spec.perTask.memory) + " MiB and "
            + std::to_string(spec.perTask.accelerators) + " accelerators do not fit in any cell",
        spec.shape.empty() ? "tasks" : "shape");
}

} // namespace goldcrest
