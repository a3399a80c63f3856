#pragma once

// Interface of a backend server that runs tasks of graph jobs. One lease covers all of its runs.
// Adapters for a platform implement it; run_agent.h uses it.
//
//   host.start(order, token, holdUntil, id, [](result<start_reply> reply) { ... });
//   host.queryStatus(token, endsStored, holdUntil, wait, id,
//                    [](result<host_status> status) { ... });
//
// `token` is the planner's epoch, which fences off older planners. Callbacks run on the event loop.
// A call that fails with BackendUnavailable may have taken effect, or may do so later.

#include "goldcrest/clock.h"
#include "goldcrest/messages.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

// A backend server's announcement of itself.
struct host_announcement
{
    std::string id;
    std::int64_t startedAtMs = 0; // start of its current incarnation, ms since 1970
    std::int64_t sequence = 0; // grows within an incarnation; announcements may be reordered
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    duration drainLeft = 0ms; // while draining: minimum time until it leaves
    std::string address; // host:port of the backend server, as announced
    std::string sender; // host:port that the announcement came from, for the log

    // Identifies the incarnation. The id alone does not, since it may be reused after a restart.
    std::string incarnation() const { return id + "/" + std::to_string(startedAtMs); }
};

struct start_reply
{
    std::optional<start_refusal> refused; // empty: the run exists
    bool isFenced = false; // refused because of a newer planner's token
    bool isOtherIncarnation = false; // refused because the backend server has restarted
    // Clock of the backend server, ms; starts anew with each incarnation. Empty if not known.
    std::optional<std::int64_t> clock;
};

// All runs on a backend server, and the ended runs that were not acknowledged yet.
struct host_status
{
    bool isOtherIncarnation = false; // refused by a server with another id; nothing else is set
    std::int64_t startedAtMs = 0; // as in the announcement
    std::int64_t clock = 0; // of the backend server, ms
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    bool isPartial = false; // entries of the lists could not be decoded and are left out
};

class run_host
{
public:
    virtual ~run_host() = default;

    // Starts a run. If the run exists already, it is left unchanged and the call succeeds.
    // @param holdUntil end of the lease of all runs, on the backend server's clock, ms
    // @param id intended backend server; any other refuses the start
    virtual void start(const start_order &order, epoch token, std::int64_t holdUntil,
                       const std::string &id, std::function<void(result<start_reply>)> callback)
        = 0;

    // Stops a run. If it does not exist, a later start of it is refused.
    virtual void stop(const run_id &run, epoch token, std::function<void(result<done>)> callback)
        = 0;

    // Limits a run to a share of its full speed.
    virtual void pace(const pace_order &order, epoch token,
                      std::function<void(result<done>)> callback)
        = 0;

    // Returns the status of all runs. Extends the lease, acknowledges ends up to `endsStored`, and
    // waits at most `wait` for an end that is not acknowledged.
    // @param holdUntil end of the lease; 0: leaves it unchanged
    // @param id intended backend server; any other refuses the query
    virtual void queryStatus(epoch token, std::int64_t endsStored, std::int64_t holdUntil,
                             duration wait, const std::string &id,
                             std::function<void(result<host_status>)> callback)
        = 0;
};

} // namespace goldcrest
