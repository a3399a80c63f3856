#include "goldcrest/ctl_commands.h"

#include "goldcrest/burn_report.h"
#include "goldcrest/catalogue_codec.h"
#include "goldcrest/catalogue_diff.h"
#include "goldcrest/ctl_table.h"
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
// Within the default bound of the entries' maxWaitMs, so that one call does not end early.
constexpr duration longPoll = 20s;
constexpr std::int64_t defaultWaitSeconds = 30;
constexpr std::int64_t defaultTimeoutSeconds = 5;
constexpr std::int64_t maxSeconds = 7 * 24 * 3600;
constexpr std::int64_t defaultLimit = 50;

// Ends a command early; thrown and caught in this file only.
struct command_end
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

// Returns a member as text; empty if it is absent or null.
std::string textOf(const json &value, const char *name)
{
    const auto found = value.find(name);
    if (found == value.end() || found->is_null())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string listOf(const json &value, const char *name)
{
    std::string joined;
    for (const json &one : value.value(name, json::array()))
        joined.append(joined.empty() ? "" : ", ").append(one.get<std::string>());
    return joined;
}

std::string coresText(const json &amount)
{
    constexpr double thousandths = 1000;
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.3g",
                  static_cast<double>(amount.value("cores", std::int64_t{0})) / thousandths);
    return buffer.data();
}

std::string unixTimeText(const json &value, const char *name)
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
    ctl_exit publish(const std::string &path);
    ctl_exit workerList();
    ctl_exit backendList();
    ctl_exit jobList();
    ctl_exit jobShow();
    ctl_exit jobCancel();
    ctl_exit jobSubmit();
    ctl_exit explain();
    ctl_exit status();
    ctl_exit reportBurn();

    // Sends a call; prints the error and ends the command if it failed.
    entry_reply call(const entry_call &request);
    json callJson(const entry_call &request) { return parse(call(request)); }
    json parse(const entry_reply &reply) const;
    entry_client_options clientOptions() const;
    [[noreturn]] void end(const failure &why);
    [[noreturn]] void usageError(const std::string &reason) const;
    static ctl_exit exitOf(const failure &why);

    std::string readFile(const std::string &path) const;
    void writeFile(const std::string &path, const std::string &content) const;
    std::string jobPath() const;
    std::int64_t integerOption(const std::string &name, std::int64_t low, std::int64_t high,
                               std::int64_t otherwise) const;
    duration waitOption() const;
    std::string ifMatch(const std::string &fileText) const;
    std::vector<json> workers();
    bool wantsJson() const { return m_arguments.value("output") == "json"; }
    void printJson(const json &value) const { m_environment.out << value.dump(2) << '\n'; }

    ctl_exit reportRevision(json revision);
    void printRevision(const json &revision) const;
    ctl_exit reportJob(json job, bool waits);
    void printJob(const json &job) const;
    static ctl_exit exitOfJob(const json &job);

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
                      << " --help` shows the usage with an example.\n";
    throw command_end{ctl_exit::Usage};
}

ctl_exit ctl_session::exitOf(const failure &why)
{
    switch (why.number) {
    case code::RevisionConflict:
    case code::RevisionRequired:
        return ctl_exit::Conflict;
    case code::OutcomeUnknown:
    case code::StoreAmbiguous:
    case code::Internal:
        return ctl_exit::Unknown;
    case code::LinkClosed:
        return ctl_exit::Unreachable;
    default:
        return ctl_exit::Refused;
    }
}

void ctl_session::end(const failure &why)
{
    const std::string_view advice = adviceFor(why.number);
    if (wantsJson()) {
        printJson({{"error",
                    {{"code", static_cast<int>(why.number)},
                     {"name", nameOf(why.number)},
                     {"field", why.field},
                     {"reason", why.reason},
                     {"advice", advice}}}});
        throw command_end{exitOf(why)};
    }
    for (const std::string &warning : m_entries.takeWarnings())
        m_environment.err << "tried " << warning << '\n';
    m_environment.err << "goldcrestctl: " << nameOf(why.number) << " ("
                      << static_cast<int>(why.number) << "): ";
    if (!why.field.empty())
        m_environment.err << why.field << ": ";
    m_environment.err << why.reason << '\n';
    if (!advice.empty())
        m_environment.err << advice << '\n';
    throw command_end{exitOf(why)};
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
                                        std::int64_t high, std::int64_t otherwise) const
{
    if (!m_arguments.has(name))
        return otherwise;
    const auto number = parseInteger(m_arguments.value(name));
    if (!number || *number < low || *number > high)
        usageError("--" + name + " must be an integer of " + std::to_string(low) + " to "
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
    std::string one;
    while (std::getline(list, one, ',')) {
        if (!one.empty())
            options.entries.push_back(one);
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
        end(*error);
    if (!valueOf(reply).isSuccess())
        end(valueOf(reply).error());
    return std::move(valueOf(reply));
}

json ctl_session::parse(const entry_reply &reply) const
{
    json parsed = json::parse(reply.body, nullptr, false);
    if (!parsed.is_object()) {
        m_environment.err << "goldcrestctl: " << reply.entry
                          << " answered with something else than a JSON object; is it an entry of "
                             "goldcrestloft?\n";
        throw command_end{ctl_exit::Unknown};
    }
    return parsed;
}

// Catalogue

// Returns the revision in the first line of a file that `catalogue get` wrote.
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
    std::string tag = reply.header("etag");
    tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
    const json entries = parse(reply);
    if (wantsJson()) {
        printJson({{"revision", parseInteger(tag).value_or(0)}, {"catalogue", entries}});
        return ctl_exit::Done;
    }
    std::string text(revisionComment);
    text.append(tag).append(".\n").append(entries.dump(2)).append("\n");
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
            m_environment.out << textOf(error, "field") << ": " << textOf(error, "reason") << " ("
                              << textOf(error, "name") << ")\n";
    }
    return valid ? ctl_exit::Done : ctl_exit::Refused;
}

ctl_exit ctl_session::catalogueDiff()
{
    const result<catalogue> wanted = parseCatalogue(readFile(m_arguments.argument));
    if (const failure *error = failureOf(wanted))
        usageError(m_arguments.argument + ": " + error->field + ": " + error->reason);
    const result<catalogue> present = parseCatalogue(call({"GET", "/v1/catalogue"}).body);
    if (const failure *error = failureOf(present))
        end(*error);
    const auto lines = diffCatalogues(valueOf(present), valueOf(wanted));
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
    // Repeated after it took effect, the call would end in a conflict with itself.
    request.repeatable = false;
    return reportRevision(callJson(request));
}

// Failure domains, drains and revisions

ctl_exit ctl_session::publish(const std::string &path)
{
    entry_call request{"POST", path};
    const std::string match = ifMatch("");
    if (!match.empty()) {
        request.headers.emplace_back("If-Match", match);
        request.repeatable = false;
    }
    return reportRevision(callJson(request));
}

ctl_exit ctl_session::reportRevision(json revision)
{
    const bool waits = m_arguments.has("wait");
    const std::string path = "/v1/revisions/" + textOf(revision, "revision");
    const time_point deadline = m_environment.calls.now() + (waits ? waitOption() : 0ms);
    while (waits && !revision.value("inForce", false)) {
        if (m_environment.calls.now() >= deadline)
            break;
        m_environment.calls.runUntil([] { return false; }, pollInterval);
        const result<entry_reply> reply = m_entries.call({"GET", path});
        // The change is stored; an entry that does not answer now does not undo it.
        if (!failureOf(reply) && valueOf(reply).isSuccess())
            revision = parse(valueOf(reply));
    }
    const bool inForce = revision.value("inForce", false);
    if (wantsJson())
        printJson(revision);
    else
        printRevision(revision);
    return waits && !inForce ? ctl_exit::Pending : ctl_exit::Done;
}

void ctl_session::printRevision(const json &revision) const
{
    const bool inForce = revision.value("inForce", false);
    m_environment.out << "revision " << textOf(revision, "revision") << " is stored and "
                      << (inForce ? "in force everywhere" : "not yet in force everywhere") << '\n';
    table rows{{"CELL", "STATE", "REASON"}};
    for (const json &cell : revision.value("cells", json::array()))
        rows.push_back({textOf(cell, "cell"), textOf(cell, "state"), textOf(cell, "reason")});
    if (!inForce)
        m_environment.out << formatTable(rows);
}

// Workers

std::vector<json> ctl_session::workers()
{
    const std::string wanted = m_arguments.value("cell");
    std::vector<json> all;
    const json answer = callJson({"GET", "/v1/status"});
    for (const json &cell : answer.value("cells", json::array())) {
        const std::string name = textOf(cell, "cell");
        if (!wanted.empty() && name != wanted)
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
        rows.push_back({textOf(worker, "worker"), textOf(worker, "cell"),
                        textOf(worker, "failureDomain"), textOf(worker, "rack"),
                        textOf(worker, "state"), textOf(worker, "tasks"),
                        coresText(used) + "/" + coresText(capacity),
                        textOf(used, "accelerators") + "/" + textOf(capacity, "accelerators")});
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
        rows.push_back({textOf(worker, "worker"), textOf(worker, "cell"), textOf(worker, "state"),
                        textOf(worker, "tasks"), coresText(used), textOf(used, "memory") + " MiB",
                        textOf(used, "accelerators")});
    }
    m_environment.out << formatTable(rows);
    return ctl_exit::Done;
}

// Jobs

void ctl_session::printJob(const json &job) const
{
    table rows{{"job", textOf(job, "team") + "/" + textOf(job, "requestId")},
               {"state", textOf(job, "state")}};
    const auto add = [&](const char *label, const std::string &value) {
        if (!value.empty())
            rows.push_back({label, value});
    };
    add("outcome", textOf(job, "outcome"));
    if (job.contains("error"))
        add("reason", textOf(job["error"], "name") + ": " + textOf(job["error"], "reason"));
    add("cell", textOf(job, "cell"));
    add("class", textOf(job, "class"));
    add("shape", textOf(job, "shape"));
    add("attempt", textOf(job, "attempt"));
    add("accepted", unixTimeText(job, "acceptedAtUnixMs"));
    add("start delay",
        textOf(job, "startDelayMs").empty() ? "" : textOf(job, "startDelayMs") + " ms");
    if (!job.value("recorded", true))
        add("recorded", "not yet; the platform's store is down");
    if (job.contains("waitsFor")) {
        const json &waits = job["waitsFor"];
        add("waits for", textOf(waits, "constraint") + ": " + textOf(waits, "detail"));
        add("would help", textOf(waits, "wouldHelp"));
        add("position", textOf(waits, "position"));
    }
    m_environment.out << formatTable(rows);
    for (const json &one : job.value("results", json::array())) {
        m_environment.out << "task " << textOf(one, "task")
                          << (one.value("succeeded", false) ? " succeeded" : " failed") << ", "
                          << textOf(one, "bytes") << " bytes";
        if (one.contains("encoding"))
            m_environment.out << " in " << textOf(one, "encoding");
        m_environment.out << ":\n" << textOf(one, "output") << '\n';
    }
}

ctl_exit ctl_session::exitOfJob(const json &job)
{
    const std::string outcome = textOf(job, "outcome");
    if (outcome == "completed")
        return ctl_exit::Done;
    if (outcome == "failed")
        return ctl_exit::JobFailed;
    if (outcome == "not run")
        return ctl_exit::JobNotRun;
    return outcome.empty() ? ctl_exit::Pending : ctl_exit::Unknown;
}

ctl_exit ctl_session::reportJob(json job, bool waits)
{
    const std::string path = "/v1/jobs/" + encodePercent(textOf(job, "team")) + "/"
        + encodePercent(textOf(job, "requestId"));
    const time_point deadline = m_environment.calls.now() + (waits ? waitOption() : 0ms);
    while (waits && !job.contains("outcome")) {
        const duration left = deadline - m_environment.calls.now();
        if (left <= 0ms)
            break;
        entry_call request("GET", "");
        request.wait = std::min(left, longPoll);
        request.path = path + "?waitMs=" + std::to_string(request.wait.count());
        const time_point asked = m_environment.calls.now();
        const result<entry_reply> reply = m_entries.call(request);
        if (!failureOf(reply) && valueOf(reply).isSuccess())
            job = parse(valueOf(reply));
        // An entry that answers at once, or none that does, must not be asked in a tight loop.
        if (!job.contains("outcome") && m_environment.calls.now() - asked < pollInterval)
            m_environment.calls.runUntil([] { return false; }, pollInterval);
    }
    if (wantsJson())
        printJson(job);
    else
        printJob(job);
    return waits ? exitOfJob(job) : ctl_exit::Done;
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
        rows.push_back({textOf(job, "requestId"), textOf(job, "state"), textOf(job, "outcome"),
                        textOf(job, "class"), textOf(job, "shape"), textOf(job, "cell"),
                        textOf(job, "attempt"), unixTimeText(job, "acceptedAtUnixMs")});
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
    // The request id makes the repetition attach to the same job.
    const entry_reply reply = call(request);
    if (!wantsJson() && reply.status == 200)
        m_environment.err << "attached to the job that was submitted before\n";
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
    const std::string confirmed = textOf(answer, "confirmedAgeMs");
    out << "entry " << textOf(answer, "entry")
        << (answer.value("draining", false) ? ", draining" : "") << "; revision "
        << textOf(answer, "revision") << ", "
        << (confirmed.empty() ? "not confirmed" : "confirmed " + confirmed + " ms ago") << '\n';
    const std::string domains = listOf(answer, "domainsOut");
    const std::string drained = listOf(answer, "drainedWorkers");
    out << "failure domains out of service: " << (domains.empty() ? "none" : domains) << '\n';
    out << "drained workers: " << (drained.empty() ? "none" : drained) << '\n';
    table rows{{"CELL", "PLANNER", "EPOCH", "REVISION", "STATE", "QUEUED", "RUNNING", "FREE ACC.",
                "BORROWED", "UNMET GUARANTEES"}};
    for (const json &cell : answer.value("cells", json::array()))
        rows.push_back({textOf(cell, "cell"), textOf(cell, "planner"), textOf(cell, "epoch"),
                        textOf(cell, "acknowledged"),
                        textOf(cell, "configuration")
                            + (textOf(cell, "reason").empty() ? "" : ": " + textOf(cell, "reason")),
                        textOf(cell, "queuedJobs"), textOf(cell, "runningJobs"),
                        textOf(cell, "freeAccelerators"), textOf(cell, "borrowedAccelerators"),
                        listOf(cell, "unmetGuarantees")});
    out << formatTable(rows);
    return ctl_exit::Done;
}

ctl_exit ctl_session::reportBurn()
{
    burn_report merged;
    std::size_t answered = 0;
    failure last = makeFailure(code::LinkClosed, "no entry answered");
    for (const std::string &entry : m_entries.entries()) {
        const result<entry_reply> reply = m_entries.callOne(entry, {"GET", "/v1/burn"});
        std::optional<failure> error;
        if (const failure *unanswered = failureOf(reply))
            error = *unanswered;
        else if (!valueOf(reply).isSuccess())
            error = valueOf(reply).error();
        result<burn_report> parsed = error ? *error : burn_report::parse(valueOf(reply).body);
        if (const failure *unusable = failureOf(parsed)) {
            m_environment.err << entry << ": " << unusable->reason
                              << "; its counts are missing from the report\n";
            last = *unusable;
            continue;
        }
        merged.merge(valueOf(parsed));
        ++answered;
    }
    if (answered == 0)
        end(last);
    const std::int64_t now = m_environment.unixTimeMs();
    if (m_arguments.has("html"))
        writeFile(m_arguments.value("html"), renderBurnHtml(merged, now));
    else if (wantsJson())
        m_environment.out << merged.json(now) << '\n';
    else
        m_environment.out << renderBurnText(merged, now);
    return ctl_exit::Done;
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
        return publish("/v1/failure-domains/" + name + "/out");
    case ctl_action::DomainIn:
        return publish("/v1/failure-domains/" + name + "/in");
    case ctl_action::WorkerList:
        return workerList();
    case ctl_action::WorkerDrain:
        return publish("/v1/workers/" + name + "/drain");
    case ctl_action::WorkerUndrain:
        return publish("/v1/workers/" + name + "/undrain");
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
    }
    return ctl_exit::Usage;
}

// Command line

ctl_exit usage(ctl_environment &environment, const std::string &reason)
{
    environment.err << "goldcrestctl: " << reason << '\n'
                    << "`goldcrestctl --help` lists the commands and options.\n";
    return ctl_exit::Usage;
}

std::string joined(const std::vector<std::string> &parts)
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

ctl_exit checkAndRun(const ctl_arguments &arguments, const std::vector<std::string> &rest,
                     ctl_environment &environment)
{
    const ctl_command &command = *arguments.command;
    for (const ctl_option &option : ctlOptions()) {
        if (arguments.has(std::string(option.name)) && !takesOption(command, option))
            return usage(environment,
                         std::string(command.words) + " has no option --"
                             + std::string(option.name));
    }
    const std::size_t expected = command.argument.empty() ? 0 : 1;
    if (rest.size() < expected)
        return usage(environment,
                     std::string(command.words) + " needs " + std::string(command.argument));
    if (rest.size() > expected) {
        // The value of --wait is optional, so that a separate one is taken for an argument.
        const bool isWaitTime = arguments.has("wait") && parseInteger(rest[expected]).has_value();
        return usage(environment,
                     std::string(command.words) + " does not take " + rest[expected]
                         + (isWaitTime ? "; give the time as --wait=" + rest[expected] : ""));
    }
    const std::string output = arguments.value("output");
    if (!output.empty() && output != "text" && output != "json")
        return usage(environment, "--output must be text or json, not " + output);
    try {
        return ctl_session(arguments, environment).run();
    } catch (const command_end &end) {
        return end.exit;
    } catch (const json::exception &error) {
        environment.err << "goldcrestctl: the entry's answer has an unexpected form: "
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
                parsed.options[name] = joined(values[name].as<std::vector<std::string>>());
            else
                parsed.options[name] = option.value.empty() ? "" : values[name].as<std::string>();
        }
    } catch (const std::exception &error) {
        return usage(environment, error.what());
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
        return usage(environment,
                     words.empty() ? "a command is required"
                                   : "there is no command " + words[0]
                             + (words.size() > 1 ? " " + words[1] : ""));
    const auto own
        = std::count(parsed.command->words.begin(), parsed.command->words.end(), ' ') + 1;
    const std::vector<std::string> rest(words.begin() + own, words.end());
    if (!rest.empty())
        parsed.argument = rest[0];
    return checkAndRun(parsed, rest, environment);
}

} // namespace goldcrest
