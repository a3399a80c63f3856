#include "goldcrest/http_backend.h"

#include "goldcrest/base64.h"
#include "goldcrest/json_text.h"
#include "goldcrest/settings.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusClientErrors = 400;
constexpr int statusServerErrors = 500;

json toJson(const resources &value)
{
    return {{"millicores", value.cores},
            {"memoryMiB", value.memory},
            {"accelerators", value.accelerators}};
}

std::optional<task_state> stateOf(std::string_view name)
{
    for (const task_state state :
         {task_state::Running, task_state::Succeeded, task_state::Failed, task_state::Stopped}) {
        if (nameOf(state) == name)
            return state;
    }
    return std::nullopt;
}

// Reads the fields of one JSON object and keeps the first error.
class object_reader
{
public:
    explicit object_reader(const json &object)
        : m_object(object)
    {
        if (!object.is_object())
            fail(code::InvalidValue, "", "expected an object");
    }

    void text(const char *name, std::string &value)
    {
        const json *field = find(name);
        if (field && !field->is_string())
            fail(code::InvalidValue, name, "expected a string");
        else if (field)
            value = field->get<std::string>();
    }

    void bytes(const char *name, std::string &value)
    {
        std::string encoded;
        text(name, encoded);
        const std::optional<std::string> decoded = decodeBase64(encoded);
        if (!decoded)
            fail(code::InvalidValue, name, "expected base64");
        else
            value = *decoded;
    }

    template<typename number>
    void integer(const char *name, number &value,
                 std::int64_t max = std::numeric_limits<number>::max())
    {
        const json *field = find(name);
        if (!field)
            return;
        // nlohmann::json holds all integers from 0 on as unsigned.
        if (!field->is_number_unsigned() || field->get<std::uint64_t>() > std::uint64_t(max))
            fail(code::InvalidValue, name, "expected an integer from 0 to " + std::to_string(max));
        else
            value = static_cast<number>(field->get<std::int64_t>());
    }

    void time(const char *name, duration &value)
    {
        std::int64_t milliseconds = 0;
        integer(name, milliseconds, longestTime.count());
        value = duration(milliseconds);
    }

    void fraction(const char *name, double &value)
    {
        const json *field = find(name);
        if (!field)
            return;
        const bool valid
            = field->is_number() && field->get<double>() >= 0 && field->get<double>() <= 1;
        if (valid)
            value = field->get<double>();
        else
            fail(code::InvalidValue, name, "expected a number from 0 to 1");
    }

    void boolean(const char *name, bool &value)
    {
        const json *field = find(name);
        if (field && !field->is_boolean())
            fail(code::InvalidValue, name, "expected true or false");
        else if (field)
            value = field->get<bool>();
    }

    void resourceVector(const char *name, resources &value)
    {
        const json *field = find(name);
        if (!field)
            return;
        object_reader inner(*field);
        inner.integer("millicores", value.cores, largestMachine.cores);
        inner.integer("memoryMiB", value.memory, largestMachine.memory);
        inner.integer("accelerators", value.accelerators, largestMachine.accelerators);
        if (inner.m_error)
            fail(inner.m_error->number, std::string(name) + "." + inner.m_error->field,
                 inner.m_error->reason);
    }

    const std::optional<failure> &error() const { return m_error; }

    void fail(code number, std::string field, std::string reason)
    {
        if (!m_error)
            m_error = makeFailure(number, std::move(reason), std::move(field));
    }

private:
    const json *find(const char *name)
    {
        if (!m_object.is_object())
            return nullptr;
        const auto field = m_object.find(name);
        if (field != m_object.end())
            return &*field;
        fail(code::MissingField, name, "the field is required");
        return nullptr;
    }

    const json &m_object;
    std::optional<failure> m_error;
};

result<json> parseText(std::string_view body)
{
    json parsed = parseJson(body);
    if (parsed.is_discarded())
        return makeFailure(code::MalformedJson, "the body is not JSON or is nested too deeply");
    return parsed;
}

std::optional<failure> failureOfAnswer(const result<http_response> &answer)
{
    if (const failure *error = failureOf(answer))
        return makeFailure(code::BackendUnavailable, error->reason);
    const http_response &response = valueOf(answer);
    if (response.status >= statusClientErrors && response.status < statusServerErrors)
        return makeFailure(code::InvalidValue,
                           "the backend server answered with status "
                               + std::to_string(response.status));
    if (response.status != statusOk)
        return makeFailure(code::BackendUnavailable,
                           "the backend server answered with status "
                               + std::to_string(response.status));
    return std::nullopt;
}

} // namespace

std::string_view nameOf(task_state state)
{
    switch (state) {
    case task_state::Running:
        return "running";
    case task_state::Succeeded:
        return "succeeded";
    case task_state::Failed:
        return "failed";
    case task_state::Stopped:
        return "stopped";
    }
    return "failed";
}

result<backend_announcement> parseAnnouncement(std::string_view body)
{
    const result<json> parsed = parseText(body);
    if (const failure *error = failureOf(parsed))
        return *error;
    backend_announcement announcement;
    object_reader reader(valueOf(parsed));
    reader.text("address", announcement.address);
    if (!isConnectableHostPort(announcement.address))
        reader.fail(code::InvalidValue, "address", "is no host:port with a port from 1 to 65535");
    reader.integer("slots", announcement.slots);
    reader.resourceVector("capacity", announcement.capacity);
    if (reader.error())
        return *reader.error();
    return announcement;
}

std::optional<failure> checkBackendCall(const server_request &request)
{
    if (request.path != "/v1/announce" && request.path != "/v1/drain")
        return makeFailure(code::NotFound, "the path does not exist");
    if (!request.isLocal)
        return makeFailure(code::NotFound, "only a backend server on this machine may call this");
    if (request.method != "POST")
        return makeFailure(code::MethodNotAllowed, "only POST is allowed");
    return std::nullopt;
}

std::string formatAnnouncement(const backend_announcement &announcement)
{
    return json{{"address", announcement.address},
                {"slots", announcement.slots},
                {"capacity", toJson(announcement.capacity)}}
        .dump();
}

result<bool> parseDrain(std::string_view body)
{
    const result<json> parsed = parseText(body);
    if (const failure *error = failureOf(parsed))
        return *error;
    bool draining = true;
    object_reader reader(valueOf(parsed));
    reader.boolean("draining", draining);
    if (reader.error())
        return *reader.error();
    return draining;
}

std::string formatTaskStart(const task_start &task)
{
    return json{{"id", task.id},
                {"metadata", encodeBase64(task.metadata)},
                {"payload", encodeBase64(task.payload)},
                {"reserved", toJson(task.reserved)},
                {"leaseMs", task.lease.count()},
                {"resumeFrom", task.resumeFrom}}
        .dump();
}

result<task_start> parseTaskStart(std::string_view body)
{
    const result<json> parsed = parseText(body);
    if (const failure *error = failureOf(parsed))
        return *error;
    task_start task;
    object_reader reader(valueOf(parsed));
    reader.text("id", task.id);
    reader.bytes("metadata", task.metadata);
    reader.bytes("payload", task.payload);
    reader.resourceVector("reserved", task.reserved);
    reader.time("leaseMs", task.lease);
    reader.fraction("resumeFrom", task.resumeFrom);
    if (reader.error())
        return *reader.error();
    return task;
}

std::string formatTaskList(const std::vector<backend_task> &tasks)
{
    json list = json::array();
    for (const backend_task &task : tasks) {
        list.push_back({{"id", task.id},
                        {"metadata", encodeBase64(task.metadata)},
                        {"state", nameOf(task.state)},
                        {"ranForMs", task.ranFor.count()},
                        {"progress", task.progress},
                        {"checkpointed", task.checkpointed},
                        {"used", toJson(task.used)}});
    }
    return json{{"tasks", std::move(list)}}.dump();
}

result<std::vector<backend_task>> parseTaskList(std::string_view body)
{
    const result<json> parsed = parseText(body);
    if (const failure *error = failureOf(parsed))
        return *error;
    const json &document = valueOf(parsed);
    if (!document.is_object() || !document.contains("tasks") || !document["tasks"].is_array())
        return makeFailure(code::MissingField, "expected an array", "tasks");
    std::vector<backend_task> tasks;
    for (const json &item : document["tasks"]) {
        backend_task task;
        std::string state;
        object_reader reader(item);
        reader.text("id", task.id);
        reader.bytes("metadata", task.metadata);
        reader.text("state", state);
        reader.time("ranForMs", task.ranFor);
        reader.fraction("progress", task.progress);
        reader.fraction("checkpointed", task.checkpointed);
        reader.resourceVector("used", task.used);
        if (reader.error())
            return *reader.error();
        const std::optional<task_state> known = stateOf(state);
        if (!known)
            return makeFailure(code::InvalidValue, "unknown state", "tasks.state");
        task.state = *known;
        tasks.push_back(std::move(task));
    }
    return tasks;
}

std::string encodePathSegment(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z')
            || (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '_' || byte == '~';
        // URL normalization would remove a segment "." or "..", so their dots are encoded too.
        if (unreserved || (byte == '.' && text != "." && text != "..")) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0x0fU];
    }
    return encoded;
}

// A list call that still reads the outputs of ended tasks.
struct http_backend::pending_list
{
    std::vector<backend_task> tasks;
    backend_callback<std::vector<backend_task>> callback;
};

http_backend::http_backend(http_client &client)
    : m_client(client)
{ }

http_backend::~http_backend()
{
    *m_alive = false;
}

void http_backend::setAddress(std::string_view address)
{
    m_baseUrl = "http://" + std::string(address);
}

void http_backend::call(std::string_view method, const std::string &path, std::string body,
                        std::function<void(result<http_response>)> callback)
{
    http_request request;
    request.method = method;
    // Before the first announcement the address is unknown. Port 1 makes the call fail as it would
    // for a backend server that is down.
    request.url = (m_baseUrl.empty() ? "http://127.0.0.1:1" : m_baseUrl) + path;
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    m_client.send(std::move(request),
                  [alive = m_alive, callback = std::move(callback)](result<http_response> answer) {
                      if (*alive)
                          callback(std::move(answer));
                  });
}

void http_backend::callWithoutResult(std::string_view method, const std::string &path,
                                     std::string body, backend_callback<done> callback)
{
    call(method, path, std::move(body),
         [callback = std::move(callback)](const result<http_response> &answer) {
             const std::optional<failure> error = failureOfAnswer(answer);
             if (error)
                 callback(*error);
             else
                 callback(done{});
         });
}

void http_backend::start(const task_start &task, backend_callback<done> callback)
{
    callWithoutResult("POST", "/v1/tasks", formatTaskStart(task), std::move(callback));
}

void http_backend::renew(const std::vector<std::string> &ids, duration lease,
                         backend_callback<done> callback)
{
    const json body{{"ids", ids}, {"leaseMs", lease.count()}};
    callWithoutResult("POST", "/v1/leases", body.dump(), std::move(callback));
}

void http_backend::stop(std::string_view id, bool checkpoint, duration within,
                        backend_callback<done> callback)
{
    const json body{{"checkpoint", checkpoint}, {"withinMs", within.count()}};
    callWithoutResult("POST", "/v1/tasks/" + encodePathSegment(id) + "/stop", body.dump(),
                      std::move(callback));
}

void http_backend::throttle(std::string_view id, const resources &limit,
                            backend_callback<done> callback)
{
    const json body{{"limit", toJson(limit)}};
    callWithoutResult("POST", "/v1/tasks/" + encodePathSegment(id) + "/throttle", body.dump(),
                      std::move(callback));
}

void http_backend::forget(std::string_view id, backend_callback<done> callback)
{
    m_deliveredOutputs.erase(std::string(id));
    call("DELETE", "/v1/tasks/" + encodePathSegment(id), {},
         [callback = std::move(callback)](const result<http_response> &answer) {
             const std::optional<failure> error = failureOfAnswer(answer);
             // A task that the backend server does not know is forgotten already.
             const bool absent = !failureOf(answer) && valueOf(answer).status == statusNotFound;
             if (error && !absent)
                 callback(*error);
             else
                 callback(done{});
         });
}

void http_backend::list(backend_callback<std::vector<backend_task>> callback)
{
    call("GET", "/v1/tasks", {},
         [this, callback = std::move(callback)](const result<http_response> &answer) {
             if (const std::optional<failure> error = failureOfAnswer(answer)) {
                 callback(*error);
                 return;
             }
             result<std::vector<backend_task>> parsed = parseTaskList(valueOf(answer).body);
             if (const failure *error = failureOf(parsed)) {
                 callback(makeFailure(code::BackendUnavailable, error->reason, error->field));
                 return;
             }
             auto pending = std::make_shared<pending_list>();
             pending->tasks = std::move(valueOf(parsed));
             pending->callback = callback;
             fetchOutput(pending, 0);
         });
}

void http_backend::fetchOutput(const std::shared_ptr<pending_list> &pending, std::size_t index)
{
    while (index < pending->tasks.size()) {
        const backend_task &task = pending->tasks[index];
        if (task.state != task_state::Running && m_deliveredOutputs.count(task.id) == 0)
            break;
        ++index;
    }
    if (index == pending->tasks.size()) {
        for (const backend_task &task : pending->tasks) {
            if (task.state != task_state::Running)
                m_deliveredOutputs.insert(task.id);
        }
        pending->callback(std::move(pending->tasks));
        return;
    }
    const std::string path = "/v1/tasks/" + encodePathSegment(pending->tasks[index].id) + "/output";
    call("GET", path, {}, [this, pending, index](result<http_response> answer) {
        if (const std::optional<failure> error = failureOfAnswer(answer)) {
            pending->callback(*error);
            return;
        }
        pending->tasks[index].output = std::move(valueOf(answer).body);
        fetchOutput(pending, index + 1);
    });
}

} // namespace goldcrest
