#pragma once

// The backend server over its HTTP interface (docs/backend-interface.md).
//
//   http_backend backend(*client);
//   backend.connect("127.0.0.1:8101");          // from the backend server's announcement
//   backend.start(task, [](result<done> answer) { ... });
//
// list() gives the output of an ended task once, in the first list that shows the end; the caller
// keeps it. Every failed call gives BackendUnavailable, since it may have taken effect, or
// InvalidValue if the backend server refused it.

#include "goldcrest/backend_server.h"
#include "goldcrest/http_client.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace goldcrest {

// What a backend server says of itself.
struct backend_announcement
{
    std::string address; // host:port
    std::int32_t slots = 0;
    resources capacity;
};

// Errors: MalformedJson, MissingField, InvalidValue.
result<backend_announcement> parseAnnouncement(std::string_view body);
std::string formatAnnouncement(const backend_announcement &announcement);

// Errors: MalformedJson, MissingField, InvalidValue.
result<bool> parseDrain(std::string_view body);

// Returns the state's name in the interface, such as "running".
std::string_view nameOf(task_state state);

// JSON forms of the task calls; the stand-in reads and writes the same.
std::string formatTaskStart(const task_start &task);
result<task_start> parseTaskStart(std::string_view body);
std::string formatTaskList(const std::vector<backend_task> &tasks);
result<std::vector<backend_task>> parseTaskList(std::string_view body);

// Returns `text` in the form that a path segment allows (RFC 3986).
std::string encodePathSegment(std::string_view text);

class http_backend final : public backend_server
{
public:
    // The client must outlive the object.
    explicit http_backend(http_client &client);
    ~http_backend() override;

    // Sets the address; calls fail until it is known.
    void connect(std::string_view address);
    bool isConnected() const { return !m_base.empty(); }

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
    struct open_list;

    void call(std::string_view method, const std::string &path, std::string body,
              std::function<void(result<http_response>)> callback);
    void callDone(std::string_view method, const std::string &path, std::string body,
                  backend_callback<done> callback);
    void fetchOutput(const std::shared_ptr<open_list> &open, std::size_t index);

    http_client &m_client;
    std::string m_base;
    std::set<std::string> m_delivered; // ended tasks whose output was given
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace goldcrest
