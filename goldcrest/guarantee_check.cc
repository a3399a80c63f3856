#include "goldcrest/guarantee_check.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace goldcrest {

namespace {

struct free_worker
{
    const worker_status *status = nullptr;
    resources free;
};

struct wanted_gang
{
    team_id team;
    const shape_entry *shape = nullptr;
};

std::string groupName(const worker_status &worker, adjacency closeness)
{
    switch (closeness) {
    case adjacency::None:
        break;
    case adjacency::FailureDomain:
        return worker.failureDomain;
    case adjacency::Rack:
        return worker.failureDomain + "/" + worker.rack;
    case adjacency::Worker:
        return worker.worker;
    }
    return {};
}

std::int64_t tasksIn(const resources &free, const resources &need, std::int64_t most)
{
    std::int64_t count = most;
    if (need.cores > 0)
        count = std::min(count, free.cores / need.cores);
    if (need.memory > 0)
        count = std::min(count, free.memory / need.memory);
    if (need.accelerators > 0)
        count = std::min(count, free.accelerators / need.accelerators);
    return count;
}

// Takes the resources of one gang within the fullest group of workers that holds it.
bool placeGang(const shape_entry &shape, std::vector<free_worker> &workers)
{
    std::map<std::string, std::vector<free_worker *>> groups;
    for (free_worker &worker : workers)
        groups[groupName(*worker.status, shape.closeness)].push_back(&worker);
    std::vector<free_worker *> *best = nullptr;
    std::int64_t bestRoom = std::numeric_limits<std::int64_t>::max();
    for (auto &[name, members] : groups) {
        std::int64_t room = 0;
        for (const free_worker *member : members)
            room += tasksIn(member->free, shape.perTask, shape.tasks);
        if (room >= shape.tasks && room < bestRoom) {
            best = &members;
            bestRoom = room;
        }
    }
    if (best == nullptr)
        return false;
    std::stable_sort(best->begin(), best->end(), [](const free_worker *a, const free_worker *b) {
        return std::tie(a->free.accelerators, a->free.cores)
            < std::tie(b->free.accelerators, b->free.cores);
    });
    std::int64_t left = shape.tasks;
    for (free_worker *member : *best) {
        const std::int64_t tasks = tasksIn(member->free, shape.perTask, left);
        member->free -= shape.perTask * tasks;
        left -= tasks;
    }
    return true;
}

std::vector<wanted_gang> gangsOf(const catalogue &entries, const std::string &cell)
{
    std::vector<wanted_gang> gangs;
    for (const auto &[name, team] : entries.teams) {
        for (const guarantee_entry &guarantee : team.guarantees) {
            const auto shape = entries.shapes.find(guarantee.shape);
            if (guarantee.cell != cell || shape == entries.shapes.end())
                continue;
            for (std::int32_t i = 0; i < guarantee.count; ++i)
                gangs.push_back({name, &shape->second});
        }
    }
    std::stable_sort(gangs.begin(), gangs.end(), [](const wanted_gang &a, const wanted_gang &b) {
        const auto sizeOf = [](const shape_entry &shape) {
            return std::make_tuple(shape.closeness, shape.perTask.accelerators, shape.perTask.cores,
                                   shape.tasks);
        };
        return sizeOf(*a.shape) > sizeOf(*b.shape);
    });
    return gangs;
}

std::string describe(const resources &amount)
{
    return std::to_string(amount.accelerators) + " accelerators, "
        + std::to_string(amount.cores / 1000) + " cores and " + std::to_string(amount.memory)
        + " MiB";
}

} // namespace

std::vector<failure> checkGuarantees(const catalogue &entries, const cell_workers &workers)
{
    std::vector<failure> failures;
    for (const auto &[cell, entry] : entries.cells) {
        const auto known = workers.find(cell);
        if (known == workers.end() || known->second.empty())
            continue;
        std::vector<free_worker> freeWorkers;
        resources total;
        for (const worker_status &worker : known->second) {
            freeWorkers.push_back({&worker, worker.capacity});
            total += worker.capacity;
        }
        resources wanted;
        std::string missing;
        for (const wanted_gang &gang : gangsOf(entries, cell)) {
            wanted += gang.shape->perTask * gang.shape->tasks;
            if (missing.empty() && !placeGang(*gang.shape, freeWorkers))
                missing = gang.team + "/" + gang.shape->name;
        }
        if (!missing.empty())
            failures.push_back(makeFailure(code::GuaranteesDoNotFit,
                                           "cell " + cell + " has " + describe(total)
                                               + ", the guarantees need " + describe(wanted)
                                               + "; the first that does not fit is " + missing,
                                           "cells." + cell));
    }
    return failures;
}

} // namespace goldcrest
