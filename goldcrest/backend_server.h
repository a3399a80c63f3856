#pragma once

// Interface through which an agent starts, stops and lists the tasks of its backend server.
// http_backend.h implements it over HTTP; docs/backend-interface.md specifies the HTTP interface.
//
//   backend.start(task, [](const result<done> &answer) { ... });
//
// All calls are asynchronous; callbacks run on the process's event loop. A start that fails with
// BackendUnavailable may have taken effect: the agent reads the task list before it decides.

#include "goldcrest/clock.h"
#include "goldcrest/messages.h"
#include "goldcrest/outcome.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

enum class task_state { Running, Succeeded, Failed, Stopped };

// One task at the backend server. Its id is unique per attempt, planner epoch and task.
struct backend_task
{
    std::string id;
    std::string metadata; // opaque to the backend server; the agent keeps gang data here
    task_state state = task_state::Running;
    std::string output; // set when the task has ended
    duration ranFor = 0ms;
    double progress = 0; // fraction of the work done, 0 to 1
    double checkpointed = 0; // fraction of the work that the last checkpoint saved, 0 to 1
    resources used; // as last measured, so it lags behind
};

// Parameters of a start call.
struct task_start
{
    std::string id;
    std::string metadata;
    std::string payload;
    resources reserved;
    duration lease = 10s; // the backend server stops the task when the lease expires
    double resumeFrom = 0; // fraction of the work saved by a checkpoint, 0 to 1
};

template<typename T>
using backend_callback = std::function<void(result<T>)>;

class backend_server
{
public:
    virtual ~backend_server() = default;

    // Starts a task. If the id exists already, the call has no effect and succeeds.
    virtual void start(const task_start &task, backend_callback<done> callback) = 0;

    // Renews the leases of tasks: each lasts `lease` from the call on.
    virtual void renew(const std::vector<std::string> &ids, duration lease,
                       backend_callback<done> callback)
        = 0;

    // Stops a task within the time `within`, after a checkpoint if `checkpoint` is set. The task
    // ends in the state Stopped.
    virtual void stop(std::string_view id, bool checkpoint, duration within,
                      backend_callback<done> callback)
        = 0;

    // Limits the resources that a task may use.
    virtual void throttle(std::string_view id, const resources &limit,
                          backend_callback<done> callback)
        = 0;

    // Lists all running tasks, and the ended ones that have not been forgotten.
    virtual void list(backend_callback<std::vector<backend_task>> callback) = 0;

    // Deletes an ended task and its output from the backend server.
    virtual void forget(std::string_view id, backend_callback<done> callback) = 0;
};

} // namespace goldcrest
