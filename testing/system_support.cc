#include "testing/system_support.h"

#include "goldcrest/digest.h"
#include "goldcrest/entry_client.h"
#include "goldcrest/history_log.h"
#include "goldcrest/text_prefix.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

// Offsets of the ports of one system from its first port.
constexpr int storePort = 0;
constexpr int entryPorts = 1; // HTTP and link for each entry
constexpr int maxEntries = 5;
constexpr int workerPorts = 11; // link and announcements of the agent, backend server
constexpr int portsPerWorker = 3;
constexpr int defaultWorkers = 4;

constexpr duration pollWait = 2s; // maximum wait of one long poll

json resourcesOf(const system_options &options)
{
    return {{"cores", options.cores},
            {"memory", options.memory},
            {"accelerators", options.accelerators}};
}

std::string expectedDigest(const test_job &job)
{
    return job.outputBytes > 0 ? std::string() : digestOf(job.output);
}

int portsFor(const system_options &options)
{
    const std::size_t workers = options.workers.empty() ? defaultWorkers : options.workers.size();
    return workerPorts + portsPerWorker * static_cast<int>(workers);
}

} // namespace

std::string testCatalogue(const std::vector<worker_place> &workers)
{
    std::set<std::string> domains;
    for (const worker_place &worker : workers)
        domains.insert(worker.failureDomain);
    json entries;
    entries["classes"]["planning"] = {{"owner", "test"}, {"weight", 10}};
    entries["classes"]["forecast"] = {{"owner", "test"}, {"weight", 1}};
    entries["classes"]["urgent"] = {{"owner", "test"}, {"weight", 100}, {"urgent", true}};
    entries["shapes"]["route-gang"]
        = {{"owner", "test"},
           {"class", "planning"},
           {"tasks", 2},
           {"perTask", {{"cores", 1000}, {"memory", 1024}, {"accelerators", 2}}},
           {"stopTimeMs", 1000}};
    entries["shapes"]["whole-fleet"]
        = {{"owner", "test"},
           {"class", "forecast"},
           {"tasks", 1000},
           {"perTask", {{"cores", 1000}, {"memory", 1024}, {"accelerators", 8}}}};
    entries["teams"]["routes"] = {{"owner", "test"},
                                  {"class", "planning"},
                                  {"guarantees", {{{"shape", "route-gang"}, {"cell", "main"}}}}};
    entries["teams"]["vision"] = {{"owner", "test"}, {"class", "forecast"}};
    entries["cells"]["main"] = {{"owner", "test"}, {"failureDomains", domains}};
    return entries.dump();
}

std::string test_answer::text(const char *field) const
{
    if (!body.is_object() || !body.contains(field) || !body[field].is_string())
        return {};
    return body[field].get<std::string>();
}

int test_answer::errorCode() const
{
    const bool given = body.is_object() && body.contains("error") && body["error"].contains("code");
    return given ? body["error"]["code"].get<int>() : 0;
}

bool test_answer::notRun() const
{
    return outcome() == "not run" || (body.is_object() && body.value("notRun", false));
}

test_system::test_system(system_options options)
    : m_options(std::move(options))
    , m_directory(makeTestDirectory(m_options.name))
    , m_firstPort(findFreePorts(portsFor(m_options)))
    , m_processes(m_directory)
{
    if (m_options.workers.empty())
        m_options.workers = {{"w1", "north", "n1"},
                             {"w2", "north", "n1"},
                             {"w3", "south", "s1"},
                             {"w4", "south", "s1"}};
    if (m_options.catalogue.empty())
        m_options.catalogue = testCatalogue(m_options.workers);
    m_options.entries = std::min(m_options.entries, maxEntries);
    for (const worker_place &worker : m_options.workers)
        note({{"event", "worker"}, {"worker", worker.name}, {"domain", worker.failureDomain}});
    writeSettings();
}

test_system::~test_system()
{
    // The files of a run without violations are not needed.
    if (!m_checked || std::getenv("GOLDCREST_KEEP_FILES") != nullptr)
        return;
    for (const std::string &process : m_started) {
        if (m_processes.isRunning(process))
            m_processes.kill(process);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

std::string test_system::address(int port) const
{
    return "127.0.0.1:" + std::to_string(port);
}

int test_system::entryHttpPort(int entry) const
{
    return m_firstPort + entryPorts + (entry - 1) * 2;
}

std::string test_system::pathOf(const std::string &process, const char *suffix) const
{
    return m_directory + "/" + process + suffix;
}

std::string test_system::storeAddress() const
{
    return address(m_firstPort + storePort);
}

std::string test_system::entryUrl(int entry, const std::string &path) const
{
    return "http://" + address(entryHttpPort(entry)) + path;
}

std::string test_system::httpAddress(const std::string &process) const
{
    if (startsWith(process, "entry-"))
        return address(entryHttpPort(std::stoi(process.substr(6))));
    const std::string link = linkAddress(process);
    const std::size_t colon = link.rfind(':');
    // The agent's HTTP server for its backend server listens on the next port.
    return address(std::stoi(link.substr(colon + 1)) + 1);
}

std::string test_system::linkAddress(const std::string &process) const
{
    if (startsWith(process, "entry-"))
        return address(entryHttpPort(std::stoi(process.substr(6))) + 1);
    int port = m_firstPort + workerPorts;
    for (const worker_place &worker : m_options.workers) {
        if (process == "agent-" + worker.name)
            return address(port);
        port += portsPerWorker;
    }
    return {};
}

std::string test_system::backendListenAddress(const std::string &agent) const
{
    int port = m_firstPort + workerPorts;
    for (const worker_place &worker : m_options.workers) {
        if (agent == "agent-" + worker.name)
            return address(port + 1);
        port += portsPerWorker;
    }
    return {};
}

void test_system::writeSettings()
{
    json entryLinks = json::array();
    for (int i = 1; i <= m_options.entries; ++i)
        entryLinks.push_back(linkAddress("entry-" + std::to_string(i)));
    const json stores = {"http://" + storeAddress()};
    m_commands["store"] = {binary("goldcrest-store-standin"), "--listen", storeAddress()};
    m_started.emplace_back("store");
    for (int i = 1; i <= m_options.entries; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const json settings = {{"name", name},
                               {"failureDomain", "entries"},
                               {"httpListen", address(entryHttpPort(i))},
                               {"linkListen", linkAddress(name)},
                               {"storeUrls", stores},
                               {"entryPeers", entryLinks},
                               {"storeCallsPerSecond", 1000},
                               {"drainTimeoutMs", m_options.drainTimeout.count()},
                               {"faults", {{"allowed", true}}}};
        writeFile(pathOf(name, ".json"), settings.dump(2));
        m_commands[name] = {binary("goldcrest-entry"), "--settings", pathOf(name, ".json"),
                            "--history", pathOf(name, ".history")};
        m_started.push_back(name);
    }
    int port = m_firstPort + workerPorts;
    for (const worker_place &worker : m_options.workers) {
        const std::string agent = "agent-" + worker.name;
        const std::string backend = "backend-" + worker.name;
        const json settings = {{"worker", worker.name},
                               {"failureDomain", worker.failureDomain},
                               {"rack", worker.rack},
                               {"cell", "main"},
                               {"linkListen", address(port)},
                               {"backendListen", address(port + 1)},
                               {"capacity", resourcesOf(m_options)},
                               {"slots", 64},
                               {"entries", entryLinks},
                               {"storeUrls", stores},
                               {"storeCallsPerSecond", 1000},
                               {"faults", {{"allowed", true}}}};
        writeFile(pathOf(agent, ".json"), settings.dump(2));
        m_commands[agent] = {binary("goldcrest-agent"), "--settings", pathOf(agent, ".json"),
                             "--history", pathOf(agent, ".history")};
        m_commands[backend] = {binary("goldcrest-backend-standin"),
                               "--listen",
                               address(port + 2),
                               "--agent",
                               address(port + 1),
                               "--history",
                               pathOf(backend, ".history")};
        m_started.push_back(agent);
        m_started.push_back(backend);
        port += portsPerWorker;
    }
}

void test_system::startProcess(const std::string &process)
{
    m_processes.start(process, m_commands.at(process));
}

bool test_system::start()
{
    for (const std::string &process : m_started)
        startProcess(process);
    const bool answers = waitFor([&] { return call(1, "GET", "/v1/status").status == 200; });
    if (!answers)
        return false;
    const bool stored = waitFor([&] {
        const int status = call(1, "PUT", "/v1/catalogue", m_options.catalogue, "0").status;
        return status == 200 || status == 412;
    });
    if (!stored)
        return false;
    for (int i = 1; i <= m_options.entries; ++i) {
        if (!waitForWorkers(i, static_cast<int>(m_options.workers.size()))
            || !waitForRevision(i, 1))
            return false;
    }
    return true;
}

void test_system::restart(const std::string &process)
{
    startProcess(process);
}

void test_system::killBackend(const std::string &worker)
{
    m_processes.kill("backend-" + worker);
    note({{"event", "killed"}, {"worker", worker}});
}

void test_system::shutDown(const std::string &process)
{
    note({{"event", "shutDown"}, {"process", process}});
    m_processes.terminate(process);
}

test_answer test_system::call(int entry, std::string_view method, const std::string &path,
                              const std::string &body, const std::string &ifMatch, duration timeout)
{
    test_client::options extra;
    extra.body = body;
    extra.timeout = timeout;
    if (!ifMatch.empty())
        extra.headers.emplace_back("If-Match", ifMatch);
    const result<http_response> received = m_client.call(method, entryUrl(entry, path), extra);
    test_answer answer;
    if (failureOf(received) != nullptr)
        return answer;
    answer.status = valueOf(received).status;
    answer.body = json::parse(valueOf(received).body, nullptr, false);
    return answer;
}

void test_system::startCall(int entry, std::string_view method, const std::string &path,
                            const std::string &body, std::function<void(test_answer)> callback)
{
    test_client::options extra;
    extra.body = body;
    extra.timeout = conditionLimit;
    m_client.start(method, entryUrl(entry, path), extra,
                   [callback = std::move(callback)](const result<http_response> &received) {
                       test_answer answer;
                       if (failureOf(received) == nullptr) {
                           answer.status = valueOf(received).status;
                           answer.body = json::parse(valueOf(received).body, nullptr, false);
                       }
                       callback(std::move(answer));
                   });
}

std::string test_system::bodyOf(const test_job &job)
{
    json payload = {{"runMs", job.runTime.count()}};
    if (job.outputBytes > 0)
        payload["outputBytes"] = job.outputBytes;
    else
        payload["output"] = job.output;
    json body = {{"team", job.team},
                 {"requestId", job.id},
                 {"idempotent", job.idempotent},
                 {"canCheckpoint", job.canCheckpoint},
                 {"stopTimeMs", 1000},
                 {"payload", payload.dump()}};
    if (job.shape.empty()) {
        body["tasks"] = job.tasks;
        body["perTask"] = {{"cores", 1000}, {"memory", 1024}, {"accelerators", job.accelerators}};
    } else {
        body["shape"] = job.shape;
    }
    if (job.deadline > 0ms)
        body["deadlineMs"] = job.deadline.count();
    return body.dump();
}

void test_system::recordSubmit(const test_job &job)
{
    note({{"event", "submit"},
          {"team", job.team},
          {"request", job.id},
          {"idempotent", job.idempotent},
          {"tasks", job.tasks},
          {"digest", expectedDigest(job)}});
}

void test_system::recordAnswer(const std::string &team, const std::string &request,
                               const test_answer &answer)
{
    if (!answer.isFinal() && !answer.notRun())
        return;
    json fields = {{"event", "answered"},       {"team", team},
                   {"request", request},        {"outcome", answer.outcome()},
                   {"notRun", answer.notRun()}, {"digests", json::array()}};
    if (answer.body.contains("results")) {
        for (const json &taskResult : answer.body["results"]) {
            const std::string output = taskResult.value("output", "");
            const bool text = !taskResult.contains("encoding");
            // The digest is computed from the received output, not taken from the response.
            fields["digests"].push_back(text ? digestOf(output) : taskResult.value("digest", ""));
        }
    }
    note(std::move(fields));
}

test_answer test_system::submit(int entry, const test_job &job, duration wait)
{
    recordSubmit(job);
    test_answer answer = call(entry, "POST", "/v1/jobs?waitMs=" + std::to_string(wait.count()),
                              bodyOf(job), {}, wait + conditionLimit);
    recordAnswer(job.team, job.id, answer);
    return answer;
}

void test_system::startSubmit(int entry, const test_job &job)
{
    recordSubmit(job);
    startCall(entry, "POST", "/v1/jobs", bodyOf(job),
              [this, job](const test_answer &answer) { recordAnswer(job.team, job.id, answer); });
}

test_answer test_system::queryJob(int entry, const test_job &job, duration wait)
{
    const std::string path
        = "/v1/jobs/" + job.team + "/" + job.id + "?waitMs=" + std::to_string(wait.count());
    test_answer answer = call(entry, "GET", path, {}, {}, wait + 10s);
    recordAnswer(job.team, job.id, answer);
    return answer;
}

test_answer test_system::waitForOutcome(int entry, const test_job &job, duration limit)
{
    test_answer answer;
    waitFor(
        [&] {
            answer = queryJob(entry, job, pollWait);
            if (answer.status == 0)
                entry = entry % m_options.entries + 1;
            return answer.isFinal();
        },
        limit);
    return answer;
}

test_answer test_system::setDomain(int entry, const std::string &failureDomain, bool out)
{
    test_answer answer
        = call(entry, "POST",
               "/v1/failure-domains/" + encodePercent(failureDomain) + (out ? "/out" : "/in"));
    if (answer.status == 200)
        note({{"event", out ? "domainOut" : "domainIn"},
              {"domain", failureDomain},
              {"revision", answer.body.value("revision", 0)}});
    return answer;
}

bool test_system::waitForState(int entry, const test_job &job, const std::string &state)
{
    return waitFor([&] { return queryJob(entry, job).text("state") == state; });
}

bool test_system::waitForRevision(int entry, std::int64_t number)
{
    return waitFor([&] {
        const test_answer answer = call(entry, "GET", "/v1/revisions/" + std::to_string(number));
        return answer.status == 200 && answer.body.value("inForce", false);
    });
}

nlohmann::json test_system::status(int entry)
{
    const test_answer answer = call(entry, "GET", "/v1/status");
    return answer.body.is_object() ? answer.body : json::object();
}

bool test_system::waitForWorkers(int entry, int count)
{
    return waitFor([&] {
        const json all = status(entry);
        int inService = 0;
        for (const json &cell : all.value("cells", json::array())) {
            for (const json &worker : cell.value("workers", json::array()))
                inService += worker.value("state", "") == "in service" ? 1 : 0;
        }
        return inService >= count;
    });
}

std::string test_system::planner(int entry)
{
    const json all = status(entry);
    for (const json &cell : all.value("cells", json::array())) {
        if (cell.value("linkOpen", false))
            return cell.value("planner", "");
    }
    return {};
}

bool test_system::waitForPlanner(int entry, const std::string &excludedWorker)
{
    return waitFor([&] {
        const std::string worker = planner(entry);
        return !worker.empty() && worker != excludedWorker;
    });
}

bool test_system::postTo(const std::string &address, const std::string &path,
                         const nlohmann::json &body)
{
    test_client::options extra;
    extra.body = body.dump();
    const result<http_response> answer = m_client.call("POST", "http://" + address + path, extra);
    return failureOf(answer) == nullptr && valueOf(answer).status == 200;
}

bool test_system::storeFaults(const nlohmann::json &faults)
{
    return postTo(storeAddress(), "/standin/faults", faults);
}

nlohmann::json test_system::storeCounts()
{
    const result<http_response> answer
        = m_client.call("GET", "http://" + storeAddress() + "/standin/counts");
    if (failureOf(answer))
        return json::object();
    return json::parse(valueOf(answer).body, nullptr, false);
}

bool test_system::backendFaults(const std::string &worker, const nlohmann::json &faults)
{
    return postTo(m_commands.at("backend-" + worker)[2], "/standin/faults", faults);
}

bool test_system::drainBackend(const std::string &worker, bool draining)
{
    return postTo(m_commands.at("backend-" + worker)[2], "/standin/drain",
                  {{"draining", draining}});
}

bool test_system::cutLinks(int entry, const std::vector<std::string> &blocks)
{
    return call(entry, "PUT", "/v1/faults/links", json(blocks).dump()).status == 200;
}

void test_system::note(nlohmann::json fields)
{
    fields["unixMs"] = unixTimeMs();
    m_testEvents.add("test", std::move(fields));
}

run_history test_system::readHistory() const
{
    run_history history = m_testEvents;
    for (const std::string &process : m_started)
        history.addFile(process, pathOf(process, ".history"));
    return history;
}

std::vector<violation> test_system::check()
{
    for (const std::string &process : m_started) {
        if (m_processes.isRunning(process))
            m_processes.kill(process);
    }
    std::vector<violation> found = checkHistory(readHistory());
    // The checks pass trivially if no task started or no response arrived.
    if (countEvents("backend-", "taskStart") == 0 || countEvents("test", "answered") == 0)
        found.push_back({0, "no task started, or no answer arrived", m_options.name, 0});
    m_checked = found.empty();
    return found;
}

std::size_t test_system::countEvents(const std::string &prefix, const std::string &event,
                                     const std::string &request)
{
    std::size_t count = 0;
    for (const run_event &one : readHistory().sorted()) {
        const bool wanted = request.empty() || one.text("request") == request;
        count += startsWith(one.source, prefix) && one.name == event && wanted ? 1 : 0;
    }
    return count;
}

} // namespace goldcrest
