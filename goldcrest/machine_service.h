#pragma once

// Interface of the service that lists a deployment's machines, moves them between pools and takes
// them out for maintenance. Adapters for a platform implement it; maintenance_service.h uses it.
//
//   machines.list("", [](result<machine_page> page) { ... });
//   machines.maintain({"m7", "node-3", epoch}, 4, [](machine_answer answer) { ... });
//
// Callbacks run on the event loop, never inside the call.

#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

enum class machine_state { Up, Moving, InMaintenance, Down };

struct machine_entry
{
    std::string id;
    std::string pool; // service of its backend server
    machine_state state = machine_state::Down;
    std::string server; // id of its backend server; empty: none
};

struct machine_page
{
    std::vector<machine_entry> machines;
    std::string nextToken; // of the next page; empty: this is the last one
};

// What runs on a backend server.
struct server_use
{
    bool hasRuns = false;
    bool hasLongRunning = false; // runs that end only if they are stopped
};

// Done: carried out, now or by an earlier call. Fenced: a newer holder has acted on the machine.
// Busy: the machine is not up, or may not be taken. NotInWave: the machine is not part of the wave.
// NotFound: there is no such machine, or the pool is for other machines. NotSent: certainly not
// carried out, since the service was not reached or has too many calls. Lost: may have been carried
// out, or may still be.
enum class machine_answer { Done, Fenced, Busy, NotInWave, NotFound, NotSent, Lost };

// Returns the name of an answer for logs and metrics.
std::string_view nameOf(machine_answer answer);

// What a machine is ordered to do, and on whose behalf.
struct machine_order
{
    std::string machine;
    std::string holder; // name of the planner's process
    epoch token = 0; // of the planner; the service refuses lower ones for the same machine
};

class machine_service
{
public:
    virtual ~machine_service() = default;

    // Reads one page of the machines.
    // @param pageToken machine_page::nextToken of the page before; empty: the first page
    // Errors: StoreOverBudget if the service has too many reads, BackendUnavailable, MalformedJson
    // and InvalidValue for an invalid response.
    virtual void list(std::string_view pageToken,
                      std::function<void(result<machine_page>)> callback)
        = 0;

    // Moves a machine to another pool. Ends everything that runs on it.
    virtual void move(const machine_order &order, std::string_view pool,
                      std::function<void(machine_answer)> callback)
        = 0;

    // Begins the maintenance of a machine. Ends everything that runs on it.
    // @param wave number of the wave that asks for it
    virtual void maintain(const machine_order &order, std::int64_t wave,
                          std::function<void(machine_answer)> callback)
        = 0;
};

} // namespace goldcrest
