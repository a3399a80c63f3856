#pragma once

// Settings of the daemons, read from JSON files that may contain comments. docs/settings.md lists
// all settings.
//
//   settings_result<entry_settings> parsed = parseEntrySettings(text);
//   for (const failure &error : parsed.errors)
//       std::cerr << error.field << ": " << error.reason << '\n';
//   if (parsed.errors.empty())
//       run(parsed.value);
//
// A daemon validates its whole file before it starts. Every error is reported with the path of the
// setting, the allowed range and the unit.

#include "goldcrest/http_server.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"
#include "goldcrest/websocket_link.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

struct log_settings
{
    std::string directory; // of the log files; empty: standard output
    std::int32_t minLevel = 0; // glog severity, 0 info to 3 fatal
};

// How long a planner may go on starting jobs while the store does not confirm its configuration
// (docs/design.md, 6.3): while all entries answer that they had no contact with the store since the
// planner's last confirmation, while most of them answer so, or not at all.
enum class outage_rule { AllEntries, Majority, Stop };

// Fault injection for tests. The administrative call for it exists only if `allowed` is set.
struct fault_settings
{
    bool allowed = false;
    std::vector<link_block> blocks; // in force from the start
};

// Memory limit in MB of the machine of an entry or agent. With it, the budget of all listeners is
// as large as the two budgets of 64 MiB that HTTP requests and links had before it was introduced.
constexpr std::int32_t defaultMemoryMb = 537;

struct entry_settings
{
    std::string name; // unique among the entries
    std::string failureDomain;
    std::string httpListen; // host:port for callers and operators
    std::string linkListen; // host:port for agents and other entries
    std::vector<std::string> storeUrls;
    std::vector<std::string> entryPeers; // link addresses of all entries; may include its own
    std::string token; // empty: no authentication
    http_limits http;
    link_limits links;
    std::int32_t storeCallsPerSecond = 150; // limit on calls to the store
    std::int32_t memoryMb = defaultMemoryMb;
    std::int32_t maxWaitingJobs = 20000; // limit on accepted jobs without an outcome
    duration maxWait = 60s; // upper limit of waitMs in a request
    duration drainTimeout = 120s; // from SIGTERM, for open requests to finish
    log_settings log;
    fault_settings faults;
};

struct agent_settings
{
    worker_id worker;
    std::string failureDomain;
    std::string rack;
    std::string cell;
    std::string linkListen; // host:port for other agents and the entries
    std::string backendListen; // host:port for announcements of the backend server
    resources capacity;
    std::int32_t slots = 0; // limit on tasks that run at the same time; 0 means no limit
    std::vector<std::string> entries; // link addresses of all entries
    std::vector<std::string> storeUrls;
    std::string token; // empty: no authentication
    bool eligible = true; // whether it may be elected planner of its cell
    outage_rule outageRule = outage_rule::AllEntries;
    http_limits http;
    link_limits links;
    std::int32_t storeCallsPerSecond = 150; // limit on calls to the store
    std::int32_t memoryMb = defaultMemoryMb;
    log_settings log;
    fault_settings faults;
};

// Settings parsed from a file, or all errors found in it. `value` is valid only if `errors` is
// empty.
template<typename T>
struct settings_result
{
    T value;
    std::vector<failure> errors; // code SettingsInvalid
};

// Returns the text of a settings file. Errors: SettingsInvalid if it can't be read.
result<std::string> readSettingsFile(const std::string &path);

// Reads a file and parses it with `parse`.
template<typename T>
settings_result<T> loadSettingsFile(const std::string &path,
                                    settings_result<T> (*parse)(std::string_view text))
{
    const result<std::string> text = readSettingsFile(path);
    if (const failure *error = failureOf(text)) {
        settings_result<T> missing;
        missing.errors.push_back(*error);
        return missing;
    }
    return parse(valueOf(text));
}

// Parses and validates the text of a settings file.
settings_result<entry_settings> parseEntrySettings(std::string_view text);
settings_result<agent_settings> parseAgentSettings(std::string_view text);

// Reads, parses and validates a settings file.
settings_result<entry_settings> loadEntrySettings(const std::string &path);
settings_result<agent_settings> loadAgentSettings(const std::string &path);

// Returns whether a text is a valid host:port. Port 0 is allowed and means any free port.
bool isHostPort(std::string_view text);

// As isHostPort, for an address to connect to: port 0 is refused.
bool isConnectableHostPort(std::string_view text);

// Returns the tables of all settings of the entry and the agent, as docs/settings.md has them.
// GOLDCREST_WRITE_DOCS=1 build/settings_test writes the page.
std::string settingsMarkdown();

} // namespace goldcrest
