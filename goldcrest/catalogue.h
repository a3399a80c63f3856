#pragma once

// Data types of the operators' configuration: the catalogue of job classes, shapes, teams and
// cells, and the failure domains and workers that are taken out of service. The configuration is
// stored as one document with one revision.
//
//   result<configuration> parsed = parseConfiguration(text);   // see catalogue_codec.h
//   if (const failure *error = failureOf(parsed))
//       return respond(*error);
//   const team_entry &team = valueOf(parsed).entries.teams.at("routes");
//
// Every entry names its owner; shapes and teams also name a class.

#include "goldcrest/model.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

// Service-level objective of a class: the share `target` of its jobs must stay within `bound`.
struct service_objective
{
    double target = 0.99; // share of the class's jobs, 0 to 1
    duration bound = 0ms; // 0 means no bound
};

// Priority class of jobs, with its service-level objectives.
struct class_entry
{
    std::string name;
    std::string owner;
    std::int32_t weight = 1; // a larger one raises the priority among classes that are not urgent
    bool urgent = false; // starts before all other classes and may stop jobs on borrowed capacity
    service_objective startDelay; // from acceptance to the start
    service_objective completion; // from acceptance to the outcome
    service_objective answeredWhole; // the outcome is known and its result, if any, is complete
};

// Named job size: the number of tasks, the resources of each and where they may be placed.
struct shape_entry
{
    std::string name;
    std::string owner;
    std::string className; // default class of the shape's jobs
    std::int32_t tasks = 1;
    resources perTask;
    adjacency closeness = adjacency::None; // how close the tasks of a job must be to each other
    duration stopTime = 5s; // limit from a stop message to the end of the tasks
    duration maxRunTime = 0ms; // limit on the run time that a job may declare; 0 means no limit
};

// Capacity of one cell for `count` jobs of a shape. The team can reclaim it from borrowers at any
// time.
struct guarantee_entry
{
    std::string shape;
    std::int32_t count = 1;
    std::string cell;
};

// A team that submits jobs, with its limits and guarantees.
struct team_entry
{
    team_id name;
    std::string owner;
    std::string className; // default class of the team's jobs
    resources quota; // limit on the resources of running jobs; 0 in a field means no limit
    std::int32_t maxQueued = 1000; // limit on queued jobs
    std::vector<guarantee_entry> guarantees;
};

// A set of failure domains that one planner schedules.
struct cell_entry
{
    std::string name;
    std::string owner;
    std::set<std::string> failureDomains;
};

// The entries that operators maintain, by name.
struct catalogue
{
    std::map<std::string, class_entry> classes;
    std::map<std::string, shape_entry> shapes;
    std::map<team_id, team_entry> teams;
    std::map<std::string, cell_entry> cells;
};

// The configuration at one revision.
struct configuration
{
    revision number = 0;
    std::string writer; // unique token of the write; resolves writes with unknown outcome
    catalogue entries;
    std::set<std::string> domainsOut; // failure domains taken out of service
    std::set<worker_id> drainedWorkers;
};

} // namespace goldcrest
