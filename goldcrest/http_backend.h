#pragma once

// Client of a backend server's HTTP interface (docs/backend-interface.md), and the JSON bodies of
// its calls.
//
//   http_backend backend(*client);
//   backend.setAddress("127.0.0.1:8101");       // from the backend server's announcement
//   backend.start(task, [](result<done> answer) { ... });
//
// list() returns the output of an ended task once, in the first list that shows the task as ended;
// the caller must keep it. A failed call gives InvalidValue if the backend server refused it with a
// 4xx status, and BackendUnavailable otherwise, since it may then have taken effect.

#include "goldcrest/backend_server.h"
#include "goldcrest/http_client.h"
#include "goldcrest/http_server.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace goldcrest {

// What a backend server reports about itself to its agent.
struct backend_announcement
{
    std::string address; // host:port
    std::int32_t slots = 0; // tasks at a time; 0 means no limit
    resources capacity;
};

// Errors: MalformedJson, MissingField, InvalidValue.
result<backend_announcement> parseAnnouncement(std::string_view body);
std::string formatAnnouncement(const backend_announcement &announcement);

// Checks a request to the paths at which an agent takes the calls of its backend server.
// @return why it is refused; empty if it may be handled. Calls from other machines are refused: a
//     backend server is beside its agent, and the task list of another server would end all tasks.
// Errors: NotFound, MethodNotAllowed.
std::optional<failure> checkBackendCall(const server_request &request);

// Returns whether the backend server is draining.
// Errors: MalformedJson, MissingField, InvalidValue.
result<bool> parseDrain(std::string_view body);

// Returns the state's name in the interface, such as "running".
std::string_view nameOf(task_state state);

// JSON bodies of the task calls. The stand-in backend server uses the same functions.
// Errors: MalformedJson, MissingField, InvalidValue.
std::string formatTaskStart(const task_start &task);
result<task_start> parseTaskStart(std::string_view body);
std::string formatTaskList(const std::vector<backend_task> &tasks);
result<std::vector<backend_task>> parseTaskList(std::string_view body);

// Returns `text` percent-encoded for use as one path segment (RFC 3986).
std::string encodePathSegment(std::string_view text);

class http_backend final : public backend_server
{
public:
    // The client must outlive the object.
    explicit http_backend(http_client &client);
    ~http_backend() override;

    // Sets the address (host:port). Calls made before this fail with BackendUnavailable.
    void setAddress(std::string_view address);
    bool hasAddress() const { return !m_baseUrl.empty(); }

    void start(const task_start &task, backend_callback<done> callback) override;
    void renew(const std::vector<std::string> &ids, duration lease,
               backend_callback<done> callback) override;
    void stop(std::string_view id, bool checkpoint, duration within,
              backend_callback<done> callback) override;
    void throttle(std::string_view id, const resources &limit,
                  backend_callback<done> callback) override;
    void list(backend_callback<std::vector<backend_task>> callback) override;
    void forget(std::string_view id, backend_callback<done> callback) override;

private:
    struct pending_list;

    void call(std::string_view method, const std::string &path, std::string body,
              std::function<void(result<http_response>)> callback);
    void callWithoutResult(std::string_view method, const std::string &path, std::string body,
                           backend_callback<done> callback);
    void fetchOutput(const std::shared_ptr<pending_list> &pending, std::size_t index);

    http_client &m_client;
    std::string m_baseUrl;
    std::set<std::string> m_deliveredOutputs; // ended tasks whose output list() has returned
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace goldcrest
