#pragma once

// The configuration of queues, services and teams, and the operators' current maintenance requests,
// independent of the format in which a deployment stores them.
//
//   const queue_entry *queue = findQueue(*catalogue, host, path);
//   const queue_team *team = findTeamOfKey(*catalogue, key);

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/model.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Response times and ticket lifetime of a queue's placement advice service (placement_advisor.h).
struct advice_terms
{
    duration perCall = 0ms;
    duration perWorker = 0ms;
    duration ticketLifetime = 0ms;
};

struct queue_entry
{
    std::string name;
    std::string host; // host name in callers' requests, without a port
    std::string prefix; // of the URL path
    queue_policy policy;
    bool isPublic = false; // requests need no key
    std::optional<advice_terms> advice; // empty: workers need no approval
};

struct service_entry
{
    std::string name;
    bool enforcesCapacity = false; // its backend servers refuse tasks that do not fit
    bool isStandby = false; // a pool of machines that are powered off
};

struct queue_team
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; // reserved for its jobs of priority 0
    // Share of the capacity above the guarantees, relative to those of the other teams.
    double weight = 1;
};

struct queue_catalogue
{
    revision at = 0; // store revision, which only grows; use it to compare ages
    std::int64_t version = 0; // number chosen by the operators, in any order
    std::vector<queue_entry> queues;
    std::vector<service_entry> services;
    std::vector<queue_team> teams;
    std::map<std::string, std::size_t> teamOfKey; // index in teams
};

// A set of machines that are due for maintenance, at most `cap` at a time.
struct maintenance_wave
{
    std::int64_t number = 0;
    revision at = 0; // of its item in the store
    std::vector<std::string> machines;
    duration time = 0ms; // within which all maintenance should be done
    std::int32_t cap = 1;
};

// The current configuration and the maintenance that operators have requested.
struct operator_view
{
    std::shared_ptr<const queue_catalogue> catalogue; // empty: not read yet
    std::set<std::string> evacuatedDomains;
    std::vector<maintenance_wave> waves;
    // Changes that were acknowledged later may be missing.
    time_point confirmedAt{};
    // Time at which the last successful read was sent; not before confirmedAt.
    time_point heardAt{};
};

// Returns the queue whose host matches and whose prefix is the longest prefix of `path`, or
// nullptr.
// @param host as sent by the caller; a port is ignored
const queue_entry *findQueue(const queue_catalogue &catalogue, std::string_view host,
                             std::string_view path);
// Returns the queue of this name, or nullptr.
const queue_entry *findQueueByName(const queue_catalogue &catalogue, std::string_view name);

// Returns the team that a key belongs to, or nullptr.
const queue_team *findTeamOfKey(const queue_catalogue &catalogue, std::string_view key);
// Returns the team of this name, or nullptr.
const queue_team *findTeam(const queue_catalogue &catalogue, std::string_view name);

// Fills teamOfKey from the teams. A key that two teams list belongs to the first.
void indexKeys(queue_catalogue &catalogue);

} // namespace goldcrest
