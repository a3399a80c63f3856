#pragma once

// Carries out the decisions of maintenance_planner.h for one term of the elected planner: reads the
// machine list, sends the calls, and stores the states of the waves.
//
//   maintenance_service service(loop, store, machines, options, epoch, callbacks);
//   service.setView(view);
//
// It makes no call while no wave needs one. The epoch is the token of all calls. The states are
// stored in transactions that require the planner's leader key, so that a planner that was replaced
// can't overwrite those of its successor.

#include "goldcrest/event_loop.h"
#include "goldcrest/machine_service.h"
#include "goldcrest/maintenance_planner.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/queue_catalogue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// How the states of waves are stored: the key is the prefix with the number of the wave.
struct wave_status_format
{
    std::string prefix;
    std::function<std::string(wave_state)> encode;
    std::function<std::optional<wave_state>(std::string_view)> decode;
};

struct maintenance_service_options
{
    std::string cell;
    std::string holder; // name of this process
    maintenance_options planner;
    wave_status_format status;
    duration listInterval = 1s; // between the beginnings of two readings of the list
    double callsPerSecond = 2; // to the machines, of all processes together
    double readsPerSecond = 2; // pages of the list
    duration firstBackoff = 1s; // after a failed read or call; doubles with each
    duration longestBackoff = 10s;
};

struct maintenance_callbacks
{
    // Returns whether this process is certainly still the planner.
    std::function<bool()> mayAct;
    // Returns what runs on the backend servers, by id.
    std::function<std::map<std::string, server_use>()> uses;
    // Returns the id of the backend server beside this process.
    std::function<std::string()> ownServer;
    // Sets the backend servers that get no new work, with the times at which they are due.
    std::function<void(const std::map<std::string, time_point> &)> setDrains;
    std::function<void(machine_answer)> onAnswer; // for metrics; may be empty
};

class maintenance_service
{
public:
    // `loop`, `store` and `machines` must outlive the service.
    maintenance_service(event_loop &loop, platform_store &store, machine_service &machines,
                        const maintenance_service_options &options, epoch number,
                        maintenance_callbacks callbacks);
    ~maintenance_service();
    maintenance_service(const maintenance_service &) = delete;
    maintenance_service &operator=(const maintenance_service &) = delete;

    // Sets the waves that operators request.
    void setView(const operator_view &view);

    std::vector<wave_progress> progress() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
