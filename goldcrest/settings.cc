#include "goldcrest/settings.h"

#include "goldcrest/settings_table.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace goldcrest {

namespace {

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr std::int64_t maxIntegerSetting = 1'000'000;
constexpr std::int64_t hourMs = 3'600'000;

// Returns an accessor for a member of the settings, or for a member of a part of them.
template<typename S, typename T>
std::function<T &(S &)> at(T S::*member)
{
    return [member](S &settings) -> T & { return settings.*member; };
}

template<typename S, typename P, typename T>
std::function<T &(S &)> at(P S::*part, T P::*member)
{
    return [part, member](S &settings) -> T & { return settings.*part.*member; };
}

template<typename S>
void addLimits(settings_table<S> &table)
{
    table.integer("http.maxBodyBytes", at(&S::http, &http_limits::maxBodyBytes))
        .range(1024, 64 * mebibyte)
        .unit("bytes")
        .about("Largest body of an HTTP request.");
    table.integer("http.maxHeaderBytes", at(&S::http, &http_limits::maxHeaderBytes))
        .range(512, 65'536) // the HTTP parser refuses more than 80 KiB
        .unit("bytes")
        .about("Largest header of an HTTP request, including the request line.");
    table.integer("http.maxConnections", at(&S::http, &http_limits::maxConnections))
        .range(1, maxIntegerSetting)
        .about("Limit on open HTTP connections.");
    table.integer("http.maxConnectionsPerPeer", at(&S::http, &http_limits::maxConnectionsPerPeer))
        .range(1, maxIntegerSetting)
        .about("Limit on open HTTP connections from one IP address. Behind a load balancer, all "
               "callers may share its address.");
    table.integer("http.maxOpenRequests", at(&S::http, &http_limits::maxOpenRequests))
        .range(1, maxIntegerSetting)
        .about(
            "Limit on HTTP requests without a complete response, including those that wait for a "
            "job.");
    table.milliseconds("http.headerTimeoutMs", at(&S::http, &http_limits::headerTimeout))
        .range(100, hourMs)
        .about("Time limit from connecting, or from the last response, to a complete request.");
    table.milliseconds("http.writeTimeoutMs", at(&S::http, &http_limits::writeTimeout))
        .range(100, hourMs)
        .about(
            "Time within which a client must read a response, or a piece of a chunked response.");
    table.integer("links.maxFrameBytes", at(&S::links, &link_limits::maxFrameBytes))
        .range(mebibyte, maxFrameBytes)
        .unit("bytes")
        .about("Largest frame between two processes. Results are sent in pieces of 512 KiB.");
    table.integer("links.sendBufferBytes", at(&S::links, &link_limits::sendBufferBytes))
        .range(mebibyte, 1024 * mebibyte)
        .unit("bytes")
        .about(
            "Limit on the bytes queued to be sent on one link. Further messages are dropped; the "
            "sender's timers send them again.");
    table.integer("links.maxConnections", at(&S::links, &link_limits::maxConnections))
        .range(1, maxIntegerSetting)
        .about("Limit on accepted links.");
    table.integer("links.maxConnectionsPerPeer", at(&S::links, &link_limits::maxConnectionsPerPeer))
        .range(1, maxIntegerSetting)
        .about("Limit on accepted links from one IP address.");
    table.milliseconds("links.helloTimeoutMs", at(&S::links, &link_limits::helloTimeout))
        .range(100, 60'000)
        .about("Time limit from connecting to the hello message of the peer.");
    table.milliseconds("links.pingAfterMs", at(&S::links, &link_limits::pingAfter))
        .range(100, 60'000)
        .about("Time without received data after which a link sends a ping.");
    table.milliseconds("links.idleTimeoutMs", at(&S::links, &link_limits::idleTimeout))
        .range(200, 120'000)
        .about(
            "Time without received data after which a link is closed. Must be above pingAfterMs.");
    table.milliseconds("links.reconnectMinMs", at(&S::links, &link_limits::reconnectMin))
        .range(10, 60'000)
        .about("First delay before an outgoing link reconnects; it doubles with each attempt.");
    table.milliseconds("links.reconnectMaxMs", at(&S::links, &link_limits::reconnectMax))
        .range(10, 60'000)
        .about("Largest delay before an outgoing link reconnects.");
}

template<typename S>
void addCommon(settings_table<S> &table)
{
    table.textList("storeUrls", text_kind::Url, at(&S::storeUrls))
        .required()
        .about("Endpoints of the platform's key-value service.");
    table.integer("storeCallsPerSecond", at(&S::storeCallsPerSecond))
        .range(1, 10'000)
        .unit("calls/s")
        .about("Limit on the rate of calls of this process to the key-value service.");
    table.integer("memoryMb", at(&S::memoryMb))
        .range(32, maxIntegerSetting)
        .unit("MB")
        .about("Memory limit of the machine. A quarter of it is for connections and requests in "
               "flight, links included, an eighth for responses to this process.");
    table.text("token", text_kind::Text, at(&S::token))
        .about("Shared secret of all processes and callers; empty means no authentication.");
    addLimits(table);
    table.text("log.directory", text_kind::Text, at(&S::log, &log_settings::directory))
        .about("Directory of the log files; empty means standard output.");
    table.integer("log.minLevel", at(&S::log, &log_settings::minLevel))
        .range(0, 3)
        .about("Lowest severity that is written: 0 info, 1 warning, 2 error, 3 fatal.");
    table.boolean("faults.allowed", at(&S::faults, &fault_settings::allowed))
        .about(
            "Allows fault injection for tests. If false, the administrative call for it does not "
            "exist.");
    table
        .converted("faults.blocks", text_kind::LinkBlock,
                   [](S &settings, const std::vector<std::string> &values) {
                       settings.faults.blocks.clear();
                       for (const std::string &value : values)
                           settings.faults.blocks.push_back(valueOf(parseLinkBlock(value)));
                   })
        .about("Links that are blocked from the start of the process, as host:port=sending, "
               "=receiving or =both; needs faults.allowed.");
}

settings_table<entry_settings> makeEntryTable()
{
    settings_table<entry_settings> table;
    table.text("name", text_kind::Name, at(&entry_settings::name))
        .required()
        .about("Name of this entry, unique among the entries.");
    table.text("failureDomain", text_kind::Name, at(&entry_settings::failureDomain))
        .required()
        .about("Failure domain of the host.");
    table.text("httpListen", text_kind::Address, at(&entry_settings::httpListen))
        .required()
        .about("Listening address for HTTP requests of callers and operators.");
    table.text("linkListen", text_kind::Address, at(&entry_settings::linkListen))
        .required()
        .about("Listening address for links from agents and other entries; they connect to it as "
               "written here.");
    table.textList("entryPeers", text_kind::Address, at(&entry_settings::entryPeers))
        .about("Link addresses of all entries; the address of this entry may be included.");
    table.integer("maxWaitingJobs", at(&entry_settings::maxWaitingJobs))
        .range(1, 10'000'000)
        .unit("jobs")
        .about("Limit on accepted jobs without an outcome that this entry tracks; further jobs are "
               "refused.");
    table.milliseconds("maxWaitMs", at(&entry_settings::maxWait))
        .range(0, hourMs)
        .about("Upper limit of waitMs in a request.");
    table.milliseconds("drainTimeoutMs", at(&entry_settings::drainTimeout))
        .range(0, 24 * hourMs)
        .about("Time after SIGTERM within which open requests may finish.");
    addCommon(table);
    return table;
}

settings_table<agent_settings> makeAgentTable()
{
    constexpr std::int64_t maxCapacity = 1'000'000'000;
    settings_table<agent_settings> table;
    table.text("worker", text_kind::Name, at(&agent_settings::worker))
        .required()
        .about("Id of the worker, unique in the deployment.");
    table.text("failureDomain", text_kind::Name, at(&agent_settings::failureDomain))
        .required()
        .about("Failure domain of the worker.");
    table.text("rack", text_kind::Name, at(&agent_settings::rack))
        .required()
        .about("Rack of the worker.");
    table.text("cell", text_kind::Name, at(&agent_settings::cell))
        .required()
        .about("Cell that the worker belongs to.");
    table.text("linkListen", text_kind::Address, at(&agent_settings::linkListen))
        .required()
        .about(
            "Listening address for links from other agents and the entries; they connect to it as "
            "written here.");
    table.text("backendListen", text_kind::Address, at(&agent_settings::backendListen))
        .required()
        .about("Listening address at which the backend server announces itself.");
    table.integer("capacity.cores", at(&agent_settings::capacity, &resources::cores))
        .required()
        .range(1, maxCapacity)
        .unit("thousandths of a core")
        .about("Processor capacity for tasks.");
    table.integer("capacity.memory", at(&agent_settings::capacity, &resources::memory))
        .required()
        .range(1, maxCapacity)
        .unit("MiB")
        .about("Memory for tasks.");
    table.integer("capacity.accelerators", at(&agent_settings::capacity, &resources::accelerators))
        .range(0, 1024)
        .unit("devices")
        .about("Accelerators for tasks.");
    table.integer("slots", at(&agent_settings::slots))
        .range(0, 100'000)
        .unit("tasks")
        .about("Limit on tasks that run at the same time; 0 means that only the capacity limits "
               "them.");
    table.textList("entries", text_kind::Address, at(&agent_settings::entries))
        .required()
        .about("Link addresses of all entries.");
    table.boolean("eligible", at(&agent_settings::eligible))
        .about("Whether this agent may be elected planner of its cell.");
    table.choice("outageRule", at(&agent_settings::outageRule), {"allEntries", "majority", "stop"})
        .about(
            "Condition on which a planner continues to start work while the store does not confirm "
            "its configuration: allEntries: all entries answer and none has had contact with the "
            "store; majority: more than half of the entries answer that they have had no contact; "
            "stop: never. No entry that answers may know a newer configuration.");
    addCommon(table);
    return table;
}

template<typename S>
void checkCommon(const S &settings, std::vector<failure> &errors)
{
    const link_limits &links = settings.links;
    if (links.idleTimeout <= links.pingAfter)
        addSettingError(errors, "links.idleTimeoutMs", "must be above links.pingAfterMs");
    if (links.reconnectMax < links.reconnectMin)
        addSettingError(errors, "links.reconnectMaxMs", "must not be below links.reconnectMinMs");
    if (!settings.faults.allowed && !settings.faults.blocks.empty())
        addSettingError(errors, "faults.blocks", "needs faults.allowed");
}

void checkDistinct(const std::vector<std::string> &values, const std::string &path,
                   std::vector<failure> &errors)
{
    for (std::size_t i = 0; i < values.size(); ++i) {
        const auto before = values.begin() + static_cast<std::ptrdiff_t>(i);
        if (std::find(values.begin(), before, values[i]) != before)
            addSettingError(errors, path + "[" + std::to_string(i) + "]", "occurs twice");
    }
}

} // namespace

result<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return makeFailure(code::SettingsInvalid, "can't read the settings file " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

settings_result<entry_settings> parseEntrySettings(std::string_view text)
{
    settings_result<entry_settings> parsed;
    makeEntryTable().parse(text, parsed.value, parsed.errors);
    checkCommon(parsed.value, parsed.errors);
    checkDistinct(parsed.value.entryPeers, "entryPeers", parsed.errors);
    if (!parsed.value.httpListen.empty() && parsed.value.httpListen == parsed.value.linkListen)
        addSettingError(parsed.errors, "linkListen", "must differ from httpListen");
    return parsed;
}

settings_result<agent_settings> parseAgentSettings(std::string_view text)
{
    settings_result<agent_settings> parsed;
    makeAgentTable().parse(text, parsed.value, parsed.errors);
    checkCommon(parsed.value, parsed.errors);
    checkDistinct(parsed.value.entries, "entries", parsed.errors);
    if (!parsed.value.linkListen.empty() && parsed.value.linkListen == parsed.value.backendListen)
        addSettingError(parsed.errors, "backendListen", "must differ from linkListen");
    return parsed;
}

settings_result<entry_settings> loadEntrySettings(const std::string &path)
{
    return loadSettingsFile<entry_settings>(path, &parseEntrySettings);
}

settings_result<agent_settings> loadAgentSettings(const std::string &path)
{
    return loadSettingsFile<agent_settings>(path, &parseAgentSettings);
}

std::string settingsMarkdown()
{
    return "# Settings\n\n"
           "The daemons read one JSON file; comments are allowed. `--check-settings` validates a "
           "file and reports every\nerror with its path. Dots in a name stand for nested objects. "
           "This page is generated from the table in\n`goldcrest/settings.cc`.\n\n"
           "## goldcrest-entry\n\n"
        + makeEntryTable().markdown() + "\n## goldcrest-agent\n\n" + makeAgentTable().markdown();
}

} // namespace goldcrest
