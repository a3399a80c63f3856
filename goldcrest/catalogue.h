#pragma once

// The operators' configuration: one document with one revision.
//
//   result<configuration> parsed = parseConfiguration(text);   // see catalogue_codec.h
//
// Every entry has an owner, and names the class and the limits that bind it.

#include "goldcrest/model.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

// Service-level objective of a class: a share of jobs within a bound.
struct service_objective
{
    double target = 0.99; // share of jobs, 0 to 1
    duration bound = 0ms; // 0 means no bound
};

// Priority class of jobs.
struct class_entry
{
    std::string name;
    std::string owner;
    std::int32_t weight = 1; // larger goes first among classes that are not urgent
    bool urgent = false; // starts before all others and may stop borrowers
    service_objective startDelay;
    service_objective completion;
    service_objective answeredWhole;
};

// Named size of a job.
struct shape_entry
{
    std::string name;
    std::string owner;
    std::string className;
    std::int32_t tasks = 1;
    resources perTask;
    adjacency closeness = adjacency::None;
    duration stopTime = 5s;
    duration maxRunTime = 0ms; // 0 means no limit
};

// Capacity for `count` jobs of a shape that the team can always reclaim.
struct guarantee_entry
{
    std::string shape;
    std::int32_t count = 1;
    std::string cell;
};

struct team_entry
{
    team_id name;
    std::string owner;
    std::string className; // default class of the team's jobs
    resources quota; // limit of what runs at a time; 0 in a field means no limit
    std::int32_t maxQueued = 1000; // jobs
    std::vector<guarantee_entry> guarantees;
};

// A set of failure domains that one planner plans.
struct cell_entry
{
    std::string name;
    std::string owner;
    std::set<std::string> failureDomains;
};

struct catalogue
{
    std::map<std::string, class_entry> classes;
    std::map<std::string, shape_entry> shapes;
    std::map<team_id, team_entry> teams;
    std::map<std::string, cell_entry> cells;
};

// What is in force at one revision.
struct configuration
{
    revision number = 0;
    std::string writer; // unique token of the write, to resolve ambiguous writes
    catalogue entries;
    std::set<std::string> domainsOut; // failure domains taken out of service
    std::set<worker_id> drainedWorkers;
};

} // namespace goldcrest
