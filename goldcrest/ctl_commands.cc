#include "goldcrest/ctl_commands.h"

#include "goldcrest/burn_report.h"
#include "goldcrest/catalogue_codec.h"
#include "goldcrest/catalogue_diff.h"
#include "goldcrest/ctl_check.h"
#include "goldcrest/ctl_table.h"
#include "goldcrest/json_text.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/text_table.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

namespace goldcrest {

namespace {

using json = nlohmann::ordered_json;
using table = std::vector<table_row>;

constexpr std::string_view defaultEntry = "127.0.0.1:8080";
constexpr std::string_view revisionComment = "// Based on revision ";
constexpr duration pollInterval = 250ms;
// Below the default of the entries' maxWaitMs setting, so that an entry does not cut a wait short.
constexpr duration longPollTime = 20s;
constexpr std::int64_t defaultWaitSeconds = 30;
constexpr std::int64_t defaultTimeoutSeconds = 5;
constexpr std::int64_t maxSeconds = 7 * 24 * 3600;
constexpr std::int64_t defaultLimit = 50;

// Ends a command early with an exit code. Thrown and caught in this file only.
struct command_exit
{
    ctl_exit exit;
};

struct ctl_arguments
{
    const ctl_command *command = nullptr;
    std::string argument;
    std::map<std::string, std::string> options;

    bool has(const std::string &name) const { return options.count(name) != 0; }
    std::string value(const std::string &name) const
    {
        const auto found = options.find(name);
        return found == options.end() ? std::string() : found->second;
    }
};

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

// Returns a member of a JSON object as text; empty if it is absent or null.
std::string memberText(const json &value, const char *name)
{
    const auto found = value.find(name);
    if (found == value.end() || found->is_null())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

// Returns a member that is an array of strings, joined by commas.
std::string memberList(const json &value, const char *name)
{
    std::string joined;
    for (const json &item : value.value(name, json::array()))
        joined.append(joined.empty() ? "" : ", ").append(item.get<std::string>());
    return joined;
}

// Formats the cores of an amount of resources, which holds them in thousandths.
std::string formatCores(const json &amount)
{
    constexpr double thousandths = 1000;
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.3g",
                  static_cast<double>(amount.value("cores", std::int64_t{0})) / thousandths);
    return buffer.data();
}

// Formats a member with unix milliseconds as UTC; empty if it is not an integer.
std::string formatUnixTime(const json &value, const char *name)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_number_integer())
        return {};
    const std::time_t seconds = found->get<std::int64_t>() / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> buffer{};
    std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buffer.data();
}

// Runs one parsed command.
class ctl_session
{
public:
    ctl_session(const ctl_arguments &arguments, ctl_environment &environment);

    ctl_exit run();

private:
    ctl_exit catalogueGet();
    ctl_exit catalogueValidate();
    ctl_exit catalogueDiff();
    ctl_exit catalogueApply();

    // Posts a change of the configuration without a body, and reports the new revision.
    ctl_exit postConfigurationChange(const std::string &path);
    ctl_exit workerList();
    ctl_exit backendList();
    ctl_exit jobList();
    ctl_exit jobShow();
    ctl_exit jobCancel();
    ctl_exit jobSubmit();
    ctl_exit explain();
    ctl_exit status();
    ctl_exit reportBurn();
    ctl_exit check();

    // Sends a call to the entries. Prints the error and ends the command if the call fails.
    entry_reply call(const entry_call &request);
    json callJson(const entry_call &request) { return parse(call(request)); }
    json parse(const entry_reply &reply) const;
    entry_client_options clientOptions() const;

    // Prints an error, as JSON or with advice, and ends the command.
    [[noreturn]] void exitWithError(const failure &error);
    [[noreturn]] void usageError(const std::string &reason) const;
    static ctl_exit exitCodeFor(const failure &error);

    // A path of "-" is standard input or output.
    std::string readFile(const std::string &path) const;
    void writeFile(const std::string &path, const std::string &content) const;

    // Returns the API path of the job that the argument names.
    std::string jobPath() const;

    // Returns the value of an option, or `defaultValue` if it is not given. Ends the command with a
    // usage error if the value is not an integer from `low` to `high`.
    std::int64_t integerOption(const std::string &name, std::int64_t low, std::int64_t high,
                               std::int64_t defaultValue) const;
    duration waitOption() const;

    // Returns the value of If-Match, from --revision or else from the file; empty if neither has
    // it.
    std::string ifMatch(const std::string &fileText) const;

    // Returns the workers of all cells, or of the one given by --cell.
    std::vector<json> workers();
    bool wantsJson() const { return m_arguments.value("output") == "json"; }
    void printJson(const json &value) const { m_environment.out << value.dump(2) << '\n'; }

    // Prints a revision. With --wait, first waits until it is in force.
    ctl_exit reportRevision(json revision);
    void printRevision(const json &revision) const;

    // Prints a job. If `shouldWait`, first waits until the job has its outcome.
    ctl_exit reportJob(json job, bool shouldWait);
    void printJob(const json &job) const;
    static ctl_exit exitCodeForJob(const json &job);

    const ctl_arguments &m_arguments;
    ctl_environment &m_environment;
    entry_client m_entries;
};

ctl_session::ctl_session(const ctl_arguments &arguments, ctl_environment &environment)
    : m_arguments(arguments)
    , m_environment(environment)
    , m_entries(clientOptions(), environment.calls)
{ }

// Errors and files

void ctl_session::usageError(const std::string &reason) const
{
    m_environment.err << "goldcrestctl: " << reason << '\n'
                      << "`goldcrestctl " << m_arguments.command->words
                      << " --help` shows the usage and an example.\n";
    throw command_exit{ctl_exit::Usage};
}

ctl_exit ctl_session::exitCodeFor(const failure &error)
{
    switch (error.number) {
    case code::RevisionConflict:
    case code::RevisionRequired:
        return ctl_exit::Conflict;
    case code::LinkClosed:
        return ctl_exit::Unreachable;
    default:
        return changedNothing(error.number) ? ctl_exit::Refused : ctl_exit::Unknown;
    }
}

void ctl_session::exitWithError(const failure &error)
{
    const std::string_view advice = adviceFor(error.number);
    if (wantsJson()) {
        printJson({{"error",
                    {{"code", static_cast<int>(error.number)},
                     {"name", nameOf(error.number)},
                     {"field", error.field},
                     {"reason", error.reason},
                     {"advice", advice}}}});
        throw command_exit{exitCodeFor(error)};
    }
    for (const std::string &warning : m_entries.takeWarnings())
        m_environment.err << "tried " << warning << '\n';
    m_environment.err << "goldcrestctl: " << nameOf(error.number) << " ("
                      << static_cast<int>(error.number) << "): ";
    if (!error.field.empty())
        m_environment.err << error.field << ": ";
    m_environment.err << error.reason << '\n';
    if (!advice.empty())
        m_environment.err << advice << '\n';
    throw command_exit{exitCodeFor(error)};
}

std::string ctl_session::readFile(const std::string &path) const
{
    if (path == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream file(path, std::ios::binary);
    if (!file)
        usageError("can't read the file " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void ctl_session::writeFile(const std::string &path, const std::string &content) const
{
    if (path == "-") {
        m_environment.out << content;
        return;
    }
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << content;
    file.close();
    if (!file)
        usageError("can't write the file " + path);
}

std::int64_t ctl_session::integerOption(const std::string &name, std::int64_t low,
                                        std::int64_t high, std::int64_t defaultValue) const
{
    if (!m_arguments.has(name))
        return defaultValue;
    const auto number = parseInteger(m_arguments.value(name));
    if (!number || *number < low || *number > high)
        usageError("--" + name + " must be an integer from " + std::to_string(low) + " to "
                   + std::to_string(high));
    return *number;
}

duration ctl_session::waitOption() const
{
    return std::chrono::seconds(integerOption("wait", 0, maxSeconds, defaultWaitSeconds));
}

std::string ctl_session::jobPath() const
{
    const std::string &name = m_arguments.argument;
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == name.size())
        usageError("a job is named TEAM/REQUEST-ID, not " + name);
    return "/v1/jobs/" + encodePercent(name.substr(0, slash)) + "/"
        + encodePercent(name.substr(slash + 1));
}

// Calls

entry_client_options ctl_session::clientOptions() const
{
    entry_client_options options;
    std::string addresses = m_arguments.value("entry");
    if (addresses.empty())
        addresses = m_environment.variable("GOLDCREST_ENTRIES");
    if (addresses.empty())
        addresses = defaultEntry;
    std::istringstream list(addresses);
    std::string address;
    while (std::getline(list, address, ',')) {
        if (!address.empty())
            options.entries.push_back(address);
    }
    options.token = m_environment.variable("GOLDCREST_TOKEN");
    if (m_arguments.has("token-file")) {
        options.token = readFile(m_arguments.value("token-file"));
        options.token.erase(options.token.find_last_not_of(" \r\n") + 1);
    }
    options.timeout
        = std::chrono::seconds(integerOption("timeout", 1, maxSeconds, defaultTimeoutSeconds));
    return options;
}

entry_reply ctl_session::call(const entry_call &request)
{
    result<entry_reply> reply = m_entries.call(request);
    if (const failure *error = failureOf(reply))
        exitWithError(*error);
    if (!valueOf(reply).isSuccess())
        exitWithError(valueOf(reply).error());
    return std::move(valueOf(reply));
}

json ctl_session::parse(const entry_reply &reply) const
{
    auto parsed = parseJson<json>(reply.body);
    if (!parsed.is_object()) {
        m_environment.err
            << "goldcrestctl: " << reply.entry
            << " sent a response that is not a JSON object; check that the address is "
               "that of a goldcrestloft entry\n";
        throw command_exit{ctl_exit::Unknown};
    }
    return parsed;
}

// Catalogue

// Returns the revision in the first line of a file that `catalogue get --file` wrote, if there is
// one.
std::optional<std::int64_t> revisionOfFile(std::string_view text)
{
    if (text.substr(0, revisionComment.size()) != revisionComment)
        return std::nullopt;
    text.remove_prefix(revisionComment.size());
    return parseInteger(text.substr(0, text.find_first_of(".\r\n")));
}

std::string ctl_session::ifMatch(const std::string &fileText) const
{
    constexpr std::int64_t maxRevision = INT64_MAX;
    if (m_arguments.has("revision"))
        return "\"" + std::to_string(integerOption("revision", 0, maxRevision, 0)) + "\"";
    const auto written = revisionOfFile(fileText);
    return written ? "\"" + std::to_string(*written) + "\"" : std::string();
}

ctl_exit ctl_session::catalogueGet()
{
    const entry_reply reply = call({"GET", "/v1/catalogue"});
    std::string etag = reply.header("etag");
    etag.erase(std::remove(etag.begin(), etag.end(), '"'), etag.end());
    const json entries = parse(reply);
    if (wantsJson()) {
        printJson({{"revision", parseInteger(etag).value_or(0)}, {"catalogue", entries}});
        return ctl_exit::Done;
    }
    std::string text(revisionComment);
    text.append(etag).append(".\n").append(entries.dump(2)).append("\n");
    writeFile(m_arguments.has("file") ? m_arguments.value("file") : "-", text);
    return ctl_exit::Done;
}

ctl_exit ctl_session::catalogueValidate()
{
    entry_call request{"POST", "/v1/catalogue/validate"};
    request.body = readFile(m_arguments.argument);
    const json answer = callJson(request);
    const bool valid = answer.value("valid", false);
    if (wantsJson()) {
        printJson(answer);
    } else if (valid) {
        m_environment.out << m_arguments.argument << " is valid\n";
    } else {
        for (const json &error : answer.value("errors", json::array()))
            m_environment.out << memberText(error, "field") << ": " << memberText(error, "reason")
                              << " (" << memberText(error, "name") << ")\n";
    }
    return valid ? ctl_exit::Done : ctl_exit::Refused;
}

ctl_exit ctl_session::catalogueDiff()
{
    const result<catalogue> proposed = parseCatalogue(readFile(m_arguments.argument));
    if (const failure *error = failureOf(proposed))
        usageError(m_arguments.argument + ": " + error->field + ": " + error->reason);
    const result<catalogue> current = parseCatalogue(call({"GET", "/v1/catalogue"}).body);
    if (const failure *error = failureOf(current))
        exitWithError(*error);
    const auto lines = diffCatalogues(valueOf(current), valueOf(proposed));
    if (wantsJson()) {
        printJson({{"differences", lines}});
        return ctl_exit::Done;
    }
    for (const std::string &line : lines)
        m_environment.out << line << '\n';
    if (lines.empty())
        m_environment.out << "no differences\n";
    return ctl_exit::Done;
}

ctl_exit ctl_session::catalogueApply()
{
    entry_call request{"PUT", "/v1/catalogue"};
    request.body = readFile(m_arguments.argument);
    const std::string match = ifMatch(request.body);
    if (match.empty())
        usageError(m_arguments.argument
                   + " does not name the revision that it is based on in its first line; edit a "
                     "file that `goldcrestctl catalogue get --file` wrote, or give --revision");
    request.headers.emplace_back("If-Match", match);
    // A retry of a call that already took effect would conflict with the revision that it created.
    request.repeatable = false;
    return reportRevision(callJson(request));
}

// Failure domains, drains and revisions

ctl_exit ctl_session::postConfigurationChange(const std::string &path)
{
    entry_call request{"POST", path};
    const std::string match = ifMatch("");
    if (!match.empty()) {
        request.headers.emplace_back("If-Match", match);
        request.repeatable = false; // see catalogueApply()
    }
    return reportRevision(callJson(request));
}

ctl_exit ctl_session::reportRevision(json revision)
{
    const bool shouldWait = m_arguments.has("wait");
    const std::string path = "/v1/revisions/" + memberText(revision, "revision");
    const time_point deadline = m_environment.calls.now() + (shouldWait ? waitOption() : 0ms);
    while (shouldWait && !revision.value("inForce", false)) {
        if (m_environment.calls.now() >= deadline)
            break;
        m_environment.calls.runUntil([] { return false; }, pollInterval);
        const result<entry_reply> reply = m_entries.call({"GET", path});
        // The change is already stored, so a failed status call is ignored and retried.
        if (!failureOf(reply) && valueOf(reply).isSuccess())
            revision = parse(valueOf(reply));
    }
    const bool inForce = revision.value("inForce", false);
    if (wantsJson())
        printJson(revision);
    else
        printRevision(revision);
    return shouldWait && !inForce ? ctl_exit::Pending : ctl_exit::Done;
}

void ctl_session::printRevision(const json &revision) const
{
    const bool inForce = revision.value("inForce", false);
    m_environment.out << "revision " << memberText(revision, "revision") << " is stored and "
                      << (inForce ? "in force everywhere" : "not yet in force everywhere") << '\n';
    table rows{{"CELL", "STATE", "REASON"}};
    for (const json &cell : revision.value("cells", json::array()))
        rows.push_back(
            {memberText(cell, "cell"), memberText(cell, "state"), memberText(cell, "reason")});
    if (!inForce)
        m_environment.out << formatTable(rows);
}

// Workers

std::vector<json> ctl_session::workers()
{
    const std::string cellName = m_arguments.value("cell");
    std::vector<json> all;
    const json answer = callJson({"GET", "/v1/status"});
    for (const json &cell : answer.value("cells", json::array())) {
        const std::string name = memberText(cell, "cell");
        if (!cellName.empty() && name != cellName)
            continue;
        if (!cell.contains("workers"))
            m_environment.err << "cell " << name << ": its planner did not answer\n";
        for (json worker : cell.value("workers", json::array())) {
            worker["cell"] = name;
            all.push_back(std::move(worker));
        }
    }
    return all;
}

ctl_exit ctl_session::workerList()
{
    const std::vector<json> all = workers();
    if (wantsJson()) {
        printJson({{"workers", all}});
        return ctl_exit::Done;
    }
    table rows{{"WORKER", "CELL", "DOMAIN", "RACK", "STATE", "TASKS", "CORES", "ACCELERATORS"}};
    for (const json &worker : all) {
        const json capacity = worker.value("capacity", json::object());
        const json used = worker.value("used", json::object());
        rows.push_back(
            {memberText(worker, "worker"), memberText(worker, "cell"),
             memberText(worker, "failureDomain"), memberText(worker, "rack"),
             memberText(worker, "state"), memberText(worker, "tasks"),
             formatCores(used) + "/" + formatCores(capacity),
             memberText(used, "accelerators") + "/" + memberText(capacity, "accelerators")});
    }
    m_environment.out << formatTable(rows);
    return ctl_exit::Done;
}

ctl_exit ctl_session::backendList()
{
    const std::vector<json> all = workers();
    if (wantsJson()) {
        printJson({{"backends", all}});
        return ctl_exit::Done;
    }
    table rows{
        {"BACKEND OF", "CELL", "STATE", "TASKS", "CORES USED", "MEMORY USED", "ACCELERATORS USED"}};
    for (const json &worker : all) {
        const json used = worker.value("used", json::object());
        rows.push_back({memberText(worker, "worker"), memberText(worker, "cell"),
                        memberText(worker, "state"), memberText(worker, "tasks"), formatCores(used),
                        memberText(used, "memory") + " MiB", memberText(used, "accelerators")});
    }
    m_environment.out << formatTable(rows);
    return ctl_exit::Done;
}

// Jobs

void ctl_session::printJob(const json &job) const
{
    table rows{{"job", memberText(job, "team") + "/" + memberText(job, "requestId")},
               {"state", memberText(job, "state")}};
    const auto add = [&](const char *label, const std::string &value) {
        if (!value.empty())
            rows.push_back({label, value});
    };
    add("outcome", memberText(job, "outcome"));
    if (job.contains("error"))
        add("reason", memberText(job["error"], "name") + ": " + memberText(job["error"], "reason"));
    add("cell", memberText(job, "cell"));
    add("class", memberText(job, "class"));
    add("shape", memberText(job, "shape"));
    add("attempt", memberText(job, "attempt"));
    add("accepted", formatUnixTime(job, "acceptedAtUnixMs"));
    add("start delay",
        memberText(job, "startDelayMs").empty() ? "" : memberText(job, "startDelayMs") + " ms");
    if (!job.value("recorded", true))
        add("recorded", "not yet; the platform's store is down");
    if (job.contains("waitsFor")) {
        const json &waitReason = job["waitsFor"];
        add("waits for",
            memberText(waitReason, "constraint") + ": " + memberText(waitReason, "detail"));
        add("would help", memberText(waitReason, "wouldHelp"));
        add("position", memberText(waitReason, "position"));
    }
    m_environment.out << formatTable(rows);
    for (const json &item : job.value("results", json::array())) {
        m_environment.out << "task " << memberText(item, "task")
                          << (item.value("succeeded", false) ? " succeeded" : " failed") << ", "
                          << memberText(item, "bytes") << " bytes";
        if (item.contains("encoding"))
            m_environment.out << " in " << memberText(item, "encoding");
        m_environment.out << ":\n" << memberText(item, "output") << '\n';
    }
}

ctl_exit ctl_session::exitCodeForJob(const json &job)
{
    const std::string outcome = memberText(job, "outcome");
    if (outcome == "completed")
        return ctl_exit::Done;
    if (outcome == "failed")
        return ctl_exit::JobFailed;
    if (outcome == "not run")
        return ctl_exit::JobNotRun;
    return outcome.empty() ? ctl_exit::Pending : ctl_exit::Unknown;
}

ctl_exit ctl_session::reportJob(json job, bool shouldWait)
{
    const std::string path = "/v1/jobs/" + encodePercent(memberText(job, "team")) + "/"
        + encodePercent(memberText(job, "requestId"));
    const time_point deadline = m_environment.calls.now() + (shouldWait ? waitOption() : 0ms);
    while (shouldWait && !job.contains("outcome")) {
        const duration left = deadline - m_environment.calls.now();
        if (left <= 0ms)
            break;
        entry_call request("GET", "");
        request.wait = std::min(left, longPollTime);
        request.path = path + "?waitMs=" + std::to_string(request.wait.count());
        const time_point sentAt = m_environment.calls.now();
        const result<entry_reply> reply = m_entries.call(request);
        if (!failureOf(reply) && valueOf(reply).isSuccess())
            job = parse(valueOf(reply));
        // Avoids a busy loop if the call returns at once, with an unfinished job or with an error.
        if (!job.contains("outcome") && m_environment.calls.now() - sentAt < pollInterval)
            m_environment.calls.runUntil([] { return false; }, pollInterval);
    }
    if (wantsJson())
        printJson(job);
    else
        printJob(job);
    return shouldWait ? exitCodeForJob(job) : ctl_exit::Done;
}

ctl_exit ctl_session::jobList()
{
    constexpr std::int64_t maxLimit = 100'000;
    if (!m_arguments.has("team"))
        usageError("--team is required");
    const std::int64_t limit = integerOption("limit", 1, maxLimit, defaultLimit);
    const json answer = callJson({"GET",
                                  "/v1/jobs?team=" + encodePercent(m_arguments.value("team"))
                                      + "&limit=" + std::to_string(limit)});
    if (wantsJson()) {
        printJson(answer);
        return ctl_exit::Done;
    }
    table rows{{"REQUEST", "STATE", "OUTCOME", "CLASS", "SHAPE", "CELL", "ATTEMPT", "ACCEPTED"}};
    for (const json &job : answer.value("jobs", json::array()))
        rows.push_back({memberText(job, "requestId"), memberText(job, "state"),
                        memberText(job, "outcome"), memberText(job, "class"),
                        memberText(job, "shape"), memberText(job, "cell"),
                        memberText(job, "attempt"), formatUnixTime(job, "acceptedAtUnixMs")});
    m_environment.out << formatTable(rows);
    return ctl_exit::Done;
}

ctl_exit ctl_session::jobShow()
{
    return reportJob(callJson({"GET", jobPath()}), m_arguments.has("wait"));
}

ctl_exit ctl_session::jobCancel()
{
    return reportJob(callJson({"DELETE", jobPath()}), false);
}

ctl_exit ctl_session::jobSubmit()
{
    if (!m_arguments.has("file"))
        usageError("--file is required");
    entry_call request{"POST", "/v1/jobs"};
    request.body = readFile(m_arguments.value("file"));
    // A retry carries the same request id, so it attaches to the same job.
    const entry_reply reply = call(request);
    if (!wantsJson() && reply.status == 200)
        m_environment.err << "attached to the job that was submitted earlier\n";
    return reportJob(parse(reply), m_arguments.has("wait"));
}

ctl_exit ctl_session::explain()
{
    const json job = callJson({"GET", jobPath() + "/explain"});
    if (wantsJson())
        printJson(job);
    else
        printJob(job);
    return ctl_exit::Done;
}

// Status and reports

ctl_exit ctl_session::status()
{
    const json answer = callJson({"GET", "/v1/status"});
    if (wantsJson()) {
        printJson(answer);
        return ctl_exit::Done;
    }
    std::ostream &out = m_environment.out;
    const std::string confirmed = memberText(answer, "confirmedAgeMs");
    out << "entry " << memberText(answer, "entry")
        << (answer.value("draining", false) ? ", draining" : "") << "; revision "
        << memberText(answer, "revision") << ", "
        << (confirmed.empty() ? "not confirmed" : "confirmed " + confirmed + " ms ago") << '\n';
    const std::string domains = memberList(answer, "domainsOut");
    const std::string drained = memberList(answer, "drainedWorkers");
    out << "failure domains out of service: " << (domains.empty() ? "none" : domains) << '\n';
    out << "drained workers: " << (drained.empty() ? "none" : drained) << '\n';
    table rows{{"CELL", "PLANNER", "EPOCH", "REVISION", "STATE", "QUEUED", "RUNNING", "FREE ACC.",
                "BORROWED", "UNMET GUARANTEES"}};
    for (const json &cell : answer.value("cells", json::array()))
        rows.push_back(
            {memberText(cell, "cell"), memberText(cell, "planner"), memberText(cell, "epoch"),
             memberText(cell, "acknowledged"),
             memberText(cell, "configuration")
                 + (memberText(cell, "reason").empty() ? "" : ": " + memberText(cell, "reason")),
             memberText(cell, "queuedJobs"), memberText(cell, "runningJobs"),
             memberText(cell, "freeAccelerators"), memberText(cell, "borrowedAccelerators"),
             memberList(cell, "unmetGuarantees")});
    out << formatTable(rows);
    return ctl_exit::Done;
}

ctl_exit ctl_session::reportBurn()
{
    burn_report merged;
    std::size_t answered = 0;
    failure lastError = makeFailure(code::LinkClosed, "no entry answered");
    for (const std::string &entry : m_entries.entries()) {
        const result<entry_reply> reply = m_entries.callOne(entry, {"GET", "/v1/burn"});
        std::optional<failure> error;
        if (const failure *callError = failureOf(reply))
            error = *callError;
        else if (!valueOf(reply).isSuccess())
            error = valueOf(reply).error();
        result<burn_report> parsed = error ? *error : burn_report::parse(valueOf(reply).body);
        if (const failure *reportError = failureOf(parsed)) {
            m_environment.err << entry << ": " << reportError->reason
                              << "; its counts are missing from the report\n";
            lastError = *reportError;
            continue;
        }
        merged.merge(valueOf(parsed));
        ++answered;
    }
    if (answered == 0)
        exitWithError(lastError);
    const std::int64_t now = m_environment.unixTimeMs();
    if (m_arguments.has("html"))
        writeFile(m_arguments.value("html"), renderBurnHtml(merged, now));
    else if (wantsJson())
        m_environment.out << merged.json(now) << '\n';
    else
        m_environment.out << renderBurnText(merged, now);
    return ctl_exit::Done;
}

ctl_exit ctl_session::check()
{
    ctl_check_request request;
    request.text = readFile(m_arguments.argument);
    if (m_arguments.has("against"))
        request.against = readFile(m_arguments.value("against"));
    request.store = m_arguments.value("store");
    request.workers = m_arguments.value("workers");
    request.shortestRuns = m_arguments.value("shortest-run");
    request.wantsJson = wantsJson();
    return runCheck(request, m_environment);
}

ctl_exit ctl_session::run()
{
    const std::string name = encodePercent(m_arguments.argument);
    switch (m_arguments.command->action) {
    case ctl_action::CatalogueGet:
        return catalogueGet();
    case ctl_action::CatalogueValidate:
        return catalogueValidate();
    case ctl_action::CatalogueDiff:
        return catalogueDiff();
    case ctl_action::CatalogueApply:
        return catalogueApply();
    case ctl_action::DomainOut:
        return postConfigurationChange("/v1/failure-domains/" + name + "/out");
    case ctl_action::DomainIn:
        return postConfigurationChange("/v1/failure-domains/" + name + "/in");
    case ctl_action::WorkerList:
        return workerList();
    case ctl_action::WorkerDrain:
        return postConfigurationChange("/v1/workers/" + name + "/drain");
    case ctl_action::WorkerUndrain:
        return postConfigurationChange("/v1/workers/" + name + "/undrain");
    case ctl_action::BackendList:
        return backendList();
    case ctl_action::JobList:
        return jobList();
    case ctl_action::JobShow:
        return jobShow();
    case ctl_action::JobCancel:
        return jobCancel();
    case ctl_action::JobSubmit:
        return jobSubmit();
    case ctl_action::Explain:
        return explain();
    case ctl_action::Status:
        return status();
    case ctl_action::ReportBurn:
        return reportBurn();
    case ctl_action::Completion:
        m_environment.out << bashCompletion();
        return ctl_exit::Done;
    case ctl_action::Check:
        return check();
    }
    return ctl_exit::Usage;
}

// Command line

ctl_exit printUsageError(ctl_environment &environment, const std::string &reason)
{
    environment.err << "goldcrestctl: " << reason << '\n'
                    << "`goldcrestctl --help` lists the commands and options.\n";
    return ctl_exit::Usage;
}

std::string joinWithCommas(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts)
        text.append(text.empty() ? "" : ",").append(part);
    return text;
}

cxxopts::Options optionParser()
{
    cxxopts::Options parser("goldcrestctl");
    auto add = parser.add_options();
    for (const ctl_option &option : ctlOptions()) {
        const std::string name(option.name);
        if (option.value.empty())
            add(name, "");
        else if (name == "entry")
            add(name, "", cxxopts::value<std::vector<std::string>>());
        else if (name == "wait")
            add(name, "",
                cxxopts::value<std::string>()->implicit_value(std::to_string(defaultWaitSeconds)));
        else
            add(name, "", cxxopts::value<std::string>());
    }
    add("words", "", cxxopts::value<std::vector<std::string>>());
    parser.parse_positional({"words"});
    return parser;
}

// Checks the arguments and options against the command table, then runs the command.
ctl_exit checkAndRun(const ctl_arguments &arguments, const std::vector<std::string> &positional,
                     ctl_environment &environment)
{
    const ctl_command &command = *arguments.command;
    for (const ctl_option &option : ctlOptions()) {
        if (arguments.has(std::string(option.name)) && !takesOption(command, option))
            return printUsageError(environment,
                                   std::string(command.words) + " has no option --"
                                       + std::string(option.name));
    }
    const std::size_t expected = command.argument.empty() ? 0 : 1;
    if (positional.size() < expected)
        return printUsageError(
            environment, std::string(command.words) + " needs " + std::string(command.argument));
    if (positional.size() > expected) {
        // --wait takes its value only after `=`; a separate word is parsed as an argument.
        const bool isWaitTime
            = arguments.has("wait") && parseInteger(positional[expected]).has_value();
        return printUsageError(
            environment,
            std::string(command.words) + " does not take " + positional[expected]
                + (isWaitTime ? "; give the time as --wait=" + positional[expected] : ""));
    }
    const std::string output = arguments.value("output");
    if (!output.empty() && output != "text" && output != "json")
        return printUsageError(environment, "--output must be text or json, not " + output);
    try {
        return ctl_session(arguments, environment).run();
    } catch (const command_exit &early) {
        return early.exit;
    } catch (const json::exception &error) {
        environment.err << "goldcrestctl: the entry's response has an unexpected structure: "
                        << error.what() << '\n';
        return ctl_exit::Unknown;
    }
}

} // namespace

ctl_exit runCtl(const std::vector<std::string> &arguments, ctl_environment &environment)
{
    std::vector<const char *> pointers{"goldcrestctl"};
    for (const std::string &argument : arguments)
        pointers.push_back(argument.c_str());
    ctl_arguments parsed;
    std::vector<std::string> words;
    try {
        cxxopts::Options parser = optionParser();
        const auto values = parser.parse(static_cast<int>(pointers.size()), pointers.data());
        if (values.count("words") > 0)
            words = values["words"].as<std::vector<std::string>>();
        for (const ctl_option &option : ctlOptions()) {
            const std::string name(option.name);
            if (values.count(name) == 0)
                continue;
            if (name == "entry")
                parsed.options[name] = joinWithCommas(values[name].as<std::vector<std::string>>());
            else
                parsed.options[name] = option.value.empty() ? "" : values[name].as<std::string>();
        }
    } catch (const std::exception &error) {
        return printUsageError(environment, error.what());
    }
    const bool wantsHelp = parsed.has("help") || (!words.empty() && words[0] == "help");
    if (!words.empty() && words[0] == "help")
        words.erase(words.begin());
    parsed.command = findCommand(words);
    if (wantsHelp || arguments.empty()) {
        environment.out << (parsed.command ? commandHelp(*parsed.command) : overviewHelp());
        return wantsHelp ? ctl_exit::Done : ctl_exit::Usage;
    }
    if (!parsed.command)
        return printUsageError(environment,
                               words.empty() ? "a command is required"
                                             : "there is no command " + words[0]
                                       + (words.size() > 1 ? " " + words[1] : ""));
    const auto wordCount
        = std::count(parsed.command->words.begin(), parsed.command->words.end(), ' ') + 1;
    const std::vector<std::string> positional(words.begin() + wordCount, words.end());
    if (!positional.empty())
        parsed.argument = positional[0];
    return checkAndRun(parsed, positional, environment);
}

} // namespace goldcrest
