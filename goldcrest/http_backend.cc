#include "goldcrest/http_backend.h"

#include "goldcrest/base64.h"

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

// Reads the fields of one JSON object and keeps the first fault.
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
    void integer(const char *name, number &value)
    {
        const json *field = find(name);
        if (field && (!field->is_number_integer() || field->get<std::int64_t>() < 0))
            fail(code::InvalidValue, name, "expected an integer of 0 or more");
        else if (field)
            value = static_cast<number>(field->get<std::int64_t>());
    }

    void time(const char *name, duration &value)
    {
        std::int64_t milliseconds = 0;
        integer(name, milliseconds);
        value = duration(milliseconds);
    }

    void share(const char *name, double &value)
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

    void amount(const char *name, resources &value)
    {
        const json *field = find(name);
        if (!field)
            return;
        object_reader inner(*field);
        inner.integer("millicores", value.cores);
        inner.integer("memoryMiB", value.memory);
        inner.integer("accelerators", value.accelerators);
        if (inner.m_fault)
            fail(inner.m_fault->number, std::string(name) + "." + inner.m_fault->field,
                 inner.m_fault->reason);
    }

    const std::optional<failure> &fault() const { return m_fault; }

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

    void fail(code number, std::string field, std::string reason)
    {
        if (!m_fault)
            m_fault = makeFailure(number, std::move(reason), std::move(field));
    }

    const json &m_object;
    std::optional<failure> m_fault;
};

result<json> parseText(std::string_view body)
{
    json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded())
        return makeFailure(code::MalformedJson, "the body is not JSON");
    return parsed;
}

std::optional<failure> failureOfAnswer(const result<http_response> &answer)
{
    if (const failure *error = failureOf(answer))
        return makeFailure(code::BackendUnavailable, error->reason);
    const http_response &response = valueOf(answer);
    if (response.status >= statusClientErrors && response.status < statusServerErrors)
        return makeFailure(code::InvalidValue,
                           "the backend server answered " + std::to_string(response.status));
    if (response.status != statusOk)
        return makeFailure(code::BackendUnavailable,
                           "the backend server answered " + std::to_string(response.status));
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
    reader.integer("slots", announcement.slots);
    reader.amount("capacity", announcement.capacity);
    if (reader.fault())
        return *reader.fault();
    return announcement;
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
    if (reader.fault())
        return *reader.fault();
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
    reader.amount("reserved", task.reserved);
    reader.time("leaseMs", task.lease);
    reader.share("resumeFrom", task.resumeFrom);
    if (reader.fault())
        return *reader.fault();
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
        reader.share("progress", task.progress);
        reader.share("checkpointed", task.checkpointed);
        reader.amount("used", task.used);
        if (reader.fault())
            return *reader.fault();
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
        const bool plain = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z')
            || (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '_' || byte == '~';
        // A segment of dots alone would be removed from the path.
        if (plain || (byte == '.' && text != "." && text != "..")) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0x0fU];
    }
    return encoded;
}

// A list whose outputs are being read.
struct http_backend::open_list
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

void http_backend::connect(std::string_view address)
{
    m_base = "http://" + std::string(address);
}

void http_backend::call(std::string_view method, const std::string &path, std::string body,
                        std::function<void(result<http_response>)> callback)
{
    http_request request;
    request.method = method;
    // Before the announcement the address is empty and the client fails the call.
    request.url = (m_base.empty() ? "http://127.0.0.1:1" : m_base) + path;
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    m_client.send(std::move(request),
                  [alive = m_alive, callback = std::move(callback)](result<http_response> answer) {
                      if (*alive)
                          callback(std::move(answer));
                  });
}

void http_backend::callDone(std::string_view method, const std::string &path, std::string body,
                            backend_callback<done> callback)
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
    callDone("POST", "/v1/tasks", formatTaskStart(task), std::move(callback));
}

void http_backend::renew(const std::vector<std::string> &ids, duration lease,
                         backend_callback<done> callback)
{
    const json body{{"ids", ids}, {"leaseMs", lease.count()}};
    callDone("POST", "/v1/leases", body.dump(), std::move(callback));
}

void http_backend::stop(std::string_view id, bool checkpoint, duration within,
                        backend_callback<done> callback)
{
    const json body{{"checkpoint", checkpoint}, {"withinMs", within.count()}};
    callDone("POST", "/v1/tasks/" + encodePathSegment(id) + "/stop", body.dump(),
             std::move(callback));
}

void http_backend::throttle(std::string_view id, const resources &limit,
                            backend_callback<done> callback)
{
    const json body{{"limit", toJson(limit)}};
    callDone("POST", "/v1/tasks/" + encodePathSegment(id) + "/throttle", body.dump(),
             std::move(callback));
}

void http_backend::forget(std::string_view id, backend_callback<done> callback)
{
    m_delivered.erase(std::string(id));
    call("DELETE", "/v1/tasks/" + encodePathSegment(id), {},
         [callback = std::move(callback)](const result<http_response> &answer) {
             const std::optional<failure> error = failureOfAnswer(answer);
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
             auto open = std::make_shared<open_list>();
             open->tasks = std::move(valueOf(parsed));
             open->callback = callback;
             fetchOutput(open, 0);
         });
}

void http_backend::fetchOutput(const std::shared_ptr<open_list> &open, std::size_t index)
{
    while (index < open->tasks.size()) {
        const backend_task &task = open->tasks[index];
        if (task.state != task_state::Running && m_delivered.count(task.id) == 0)
            break;
        ++index;
    }
    if (index == open->tasks.size()) {
        for (const backend_task &task : open->tasks) {
            if (task.state != task_state::Running)
                m_delivered.insert(task.id);
        }
        open->callback(std::move(open->tasks));
        return;
    }
    const std::string path = "/v1/tasks/" + encodePathSegment(open->tasks[index].id) + "/output";
    call("GET", path, {}, [this, open, index](result<http_response> answer) {
        if (const std::optional<failure> error = failureOfAnswer(answer)) {
            open->callback(*error);
            return;
        }
        open->tasks[index].output = std::move(valueOf(answer).body);
        fetchOutput(open, index + 1);
    });
}

} // namespace goldcrest
