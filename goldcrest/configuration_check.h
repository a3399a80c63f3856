#pragma once

// Checks a configuration before it is sent: finds entries that the programs refuse or ignore,
// entries that can never match, limits that contradict each other, and the differences from the
// configuration in force. It does no I/O and knows no format: a configuration_reader
// (configuration_reader.h) decodes the deployment's one.
//
//   configuration_document document = reader.parse(text);
//   for (const configuration_finding &one : checkConfiguration(document, options)) ...
//   for (const configuration_finding &one : compareConfigurations(inForce, document)) ...
//
// Scripts depend on the numbers of findings, so they must not change. Keys are never part of a
// finding.

#include "goldcrest/clock.h"
#include "goldcrest/queue_catalogue.h"

#include <gsl/span>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

enum class finding_severity { Error, Warning, Note };

// Returns the name of a severity as it is printed.
std::string_view nameOf(finding_severity severity);

// Kinds of findings by number.
enum class finding : std::int32_t {
    NotJson = 101,
    BadField = 102,
    UnknownField = 103,
    DuplicateQueue = 110,
    DuplicateService = 111,
    DuplicateTeam = 112,
    KeyOfTwoTeams = 113,
    UnknownService = 114,
    HiddenQueue = 201,
    BadHost = 202,
    BadPrefix = 203,
    TeamWithoutKeys = 204,
    UnusedService = 205,
    EmptyKey = 206,
    GuaranteesTooLarge = 301,
    TargetTooShort = 302,
    NoAttempts = 303,
    SlackBelowOne = 304,
    BodyLimitTooSmall = 305,
    QueueAdded = 401,
    QueueRemoved = 402,
    QueueChanged = 403,
    ServiceAdded = 411,
    ServiceRemoved = 412,
    ServiceChanged = 413,
    TeamAdded = 421,
    TeamRemoved = 422,
    TeamChanged = 423,
    KeysChanged = 424,
    LimitAdded = 431,
    LimitRemoved = 432,
    LimitChanged = 433,
};

struct configuration_finding
{
    finding number = finding::NotJson;
    finding_severity severity = finding_severity::Error;
    std::string place; // JSON path in the document
    std::string text;
};

// A number of findings with its meaning, for the documentation.
struct finding_kind
{
    finding number = finding::NotJson;
    finding_severity severity = finding_severity::Error;
    std::string_view meaning;
};

// Returns all kinds in the order of their numbers.
gsl::span<const finding_kind> findingKinds();

// Names of the fields in the deployment's format, for places. Those of items are relative to them.
struct configuration_names
{
    std::string queues, services, teams; // the lists
    std::string name, host, prefix; // of a queue; also the name of a service and a team
    std::string service, priority, maxAttempts, slackFactor, target, isPublic, advice;
    std::string enforcesCapacity, isStandby; // of a service
    std::string keys, guaranteed; // of a team
    std::string bodyLimit; // whole path
};

// A configuration as it could be read. The items have the positions that they have in the text;
// fields that can't be read have default values.
struct configuration_document
{
    configuration_names names;
    queue_catalogue catalogue;
    std::map<std::string, std::string> limits; // by path
    std::optional<std::int64_t> bodyLimit; // largest body of a request, in bytes
    std::vector<configuration_finding> findings; // made while reading
};

struct configuration_check_options
{
    std::optional<std::int64_t> accelerators; // of all workers; empty: not known
    std::map<std::string, duration> shortestRuns; // of the tasks of a queue, by its name
};

// Returns the findings about a configuration, with those made while reading first. A field that
// could not be read has no further findings.
std::vector<configuration_finding> checkConfiguration(const configuration_document &document,
                                                      const configuration_check_options &options);

// Returns the differences of a configuration from the one in force, as notes with old and new
// value. Items are compared by name, and keys only counted.
std::vector<configuration_finding> compareConfigurations(const configuration_document &inForce,
                                                         const configuration_document &next);

} // namespace goldcrest
