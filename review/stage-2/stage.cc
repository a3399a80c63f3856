#include "review/stage-2/stage.h"

#include "goldcrest/job_record.h"
#include "review/stage-2/backend.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <unistd.h>
#include <utility>

namespace goldcrest::review {

namespace {

using nlohmann::json;

constexpr int portsPerNode = 4;
constexpr duration callerPatience = 3s;
constexpr duration startLimit = 15s;
constexpr const char *host = "jobs.example";

std::string addressOf(int port)
{
    return fmt::format("127.0.0.1:{}", port);
}

// Returns the resident memory of a process in MB, or 0.
std::int64_t memoryOf(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/statm", process));
    std::int64_t size = 0;
    std::int64_t resident = 0;
    if (!(file >> size >> resident))
        return 0;
    return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

// Returns whether a task belongs to a job.
bool isOf(const std::string &task, const std::string &job)
{
    return task.compare(0, job.size() + 1, job + '.') == 0;
}

} // namespace

stage::stage(const stage_options &options, const std::string &recordPath)
    : m_options(options)
    , m_directory(makeTestDirectory("review"))
    , m_record(recordPath)
    , m_startedAt(m_loop.now())
    , m_client(makeCurlClient(m_loop))
    , m_service(m_loop, m_model)
    , m_processes(m_directory)
{
    m_store = std::make_unique<soak_http_server>(
        m_loop, 0,
        [this](const soak_request &request, const soak_http_server::respond_function &respond) {
            serveStore(request, respond);
        });
    int port = findFreePorts(portsPerNode * (options.sidecars + options.fronts));
    for (int i = 1; i <= options.sidecars; ++i, port += portsPerNode) {
        addNode(fmt::format("side-{}", i), false, port);
        m_backends.push_back(
            std::make_unique<backend>(*this,
                                      backend_options{fmt::format("i-{}", i),
                                                      i % 2 == 0 ? "north" : "south",
                                                      options.capacity,
                                                      {"a", fmt::format("r{}", (i + 2) / 3)},
                                                      port}));
    }
    for (int i = 1; i <= options.fronts; ++i, port += portsPerNode)
        addNode(fmt::format("front-{}", i), true, port);
}

stage::~stage()
{
    m_watchTimer.reset();
    m_backends.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory, ignored);
}

void stage::write(const std::string &text)
{
    m_record << fmt::format("{:7d} ms  {}\n", (now() - m_startedAt).count(), text) << std::flush;
}

// Fills in the templates of the deployment.
void stage::addNode(const std::string &name, bool isFront, int port)
{
    const std::string store = addressOf(m_store->port());
    json settings = {{"name", name},
                     {"failureDomain", m_nodes.size() % 2 == 0 ? "south" : "north"},
                     {"storeAddress", store},
                     {"storeValueBytes", 1'048'576},
                     {"admission", true}};
    if (isFront)
        settings.update({{"frontListen", addressOf(port)},
                         {"readyListen", addressOf(port + 1)},
                         {"metricsListen", addressOf(port + 2)},
                         {"memoryMb", m_options.frontMemoryMb},
                         {"keyRevocationMs", 5000}});
    else
        settings.update({{"backendAddress", addressOf(port)},
                         {"controlListen", addressOf(port + 1)},
                         {"linkListen", addressOf(port + 2)},
                         {"metricsListen", addressOf(port + 3)},
                         {"memoryMb", m_options.sidecarMemoryMb},
                         {"service", "svc"},
                         {"stopTimeMs", 200},
                         {"gangTimeoutMs", 3000},
                         {"longestLeaseMs", 10'000},
                         {"checkpointIntervalS", 1},
                         {"reclaimTimeMs", 2700},
                         {"changeTimeMs", 5000},
                         {"stateTimeS", 120},
                         {"remoteFactor", 3},
                         {"workerSpeeds", true},
                         {"urgentRoom", true},
                         {"interference", true},
                         {"teamShares", false},
                         {"preemptionLimits", false},
                         {"heavyTails", true},
                         {"learnedState", true},
                         {"maintenance", true},
                         {"machinesAddress", store},
                         {"machineCallsPerSecond", 60.0},
                         {"machineReadsPerSecond", 60.0},
                         {"maintenanceTimeS", 2},
                         {"noticeMs", 4500},
                         {"holderLeaseMs", 3000}});
    writeFile(m_directory + "/" + name + ".json", settings.dump());
    node added;
    added.name = name;
    added.isFront = isFront;
    added.port = port;
    m_nodes.push_back(added);
}

void stage::publishConfiguration()
{
    json configuration = json::parse(R"({"version": 1, "limits": {"max_body_bytes": 262144},
        "services": [{"name": "svc", "enforces_capacity": false, "standby": false}],
        "tenants": [
            {"name": "team-1", "api_keys": ["key-1"], "guaranteed": {"gpus": 8}},
            {"name": "team-2", "api_keys": ["key-2"], "guaranteed": {"gpus": 4}}],
        "routes": [{"name": "q0", "host": "jobs.example", "prefix": "/q0/", "priority": 0,
            "kind": "non_idempotent", "timeout_ms": 3000, "target_completion_ms": 1000,
            "service": "svc", "max_attempts": 4, "slack_factor": 3.0, "public": false}]})");
    configuration["routes"].push_back(configuration["routes"][0]);
    configuration["routes"][1].update({{"name", "q2"}, {"prefix", "/q2/"}, {"priority", 2}});
    store_transaction transaction;
    transaction.put("op/config", configuration.dump());
    m_model.commit(transaction);
}

void stage::serveStore(const soak_request &request,
                       const soak_http_server::respond_function &respond)
{
    // No machine is in a wave, and none is idle.
    if (request.target.compare(0, 12, "/v1/machines") == 0)
        return respond(200, R"({"machines":[],"next_token":""})");
    http_request passed;
    passed.method = request.method;
    passed.url = "http://store" + request.target;
    passed.body = request.body;
    m_service.send(std::move(passed), [respond](const result<http_response> &outcome) {
        if (failureOf(outcome))
            return respond(0, {});
        respond(valueOf(outcome).status, valueOf(outcome).body);
    });
}

// The platform: starts processes again that have ended, and kills those over their memory.
void stage::watchProcesses()
{
    for (node &one : m_nodes) {
        if (!one.isRunning) {
            if (now() < one.startAt)
                continue;
            m_processes.start(one.name,
                              {binary(one.isFront ? "goldcrest-front" : "goldcrest-sidecar"),
                               "--settings", m_directory + "/" + one.name + ".json"});
            one.isRunning = true;
            write(one.name + ": process starts");
            continue;
        }
        if (!m_processes.isRunning(one.name)) {
            ++m_endsByThemselves;
            write(fmt::format("{}: process has ended by itself, status {}", one.name,
                              m_processes.waitForExit(one.name, 0ms).value_or(-1)));
            one.isRunning = false;
            one.startAt = now() + m_options.restartDelay;
            continue;
        }
        const std::int64_t memory = memoryOf(m_processes.idOf(one.name));
        if (memory <= (one.isFront ? m_options.frontMemoryMb : m_options.sidecarMemoryMb))
            continue;
        ++m_killsForMemory;
        write(fmt::format("{}: process is over its memory ({} MB) and is killed{}", one.name,
                          memory, one.name == planner() ? ", it is the planner" : ""));
        m_processes.kill(one.name);
        one.isRunning = false;
        one.startAt = now() + m_options.restartDelay;
    }
}

bool stage::areReady()
{
    const bool areFrontsReady = std::all_of(m_nodes.begin(), m_nodes.end(), [&](const node &one) {
        if (!one.isFront)
            return true;
        http_request request;
        request.url = fmt::format("http://{}/v1/ready", addressOf(one.port + 1));
        std::optional<int> status;
        m_client->send(std::move(request), [&](const result<http_response> &outcome) {
            status = failureOf(outcome) ? 0 : valueOf(outcome).status;
        });
        m_loop.runUntil([&] { return status.has_value(); }, 3s);
        return status == 200;
    });
    return areFrontsReady
        && std::all_of(m_backends.begin(), m_backends.end(),
                       [](const auto &server) { return server->isQueried(); });
}

bool stage::start()
{
    publishConfiguration();
    watchProcesses();
    m_watchTimer = m_loop.every(20ms, [this] { watchProcesses(); });
    for (const std::unique_ptr<backend> &server : m_backends)
        server->begin();
    const time_point until = now() + startLimit;
    while (now() < until) {
        if (!planner().empty() && areReady()) {
            // Traffic starts some time after the machines do.
            wait(3s);
            write("the deployment is ready, the planner is " + planner());
            return true;
        }
        wait(100ms);
    }
    write("the deployment did not start");
    return false;
}

bool stage::waitUntil(const std::function<bool()> &condition, duration limit)
{
    return m_loop.runUntil(condition, limit);
}

void stage::wait(duration time)
{
    m_loop.runUntil([] { return false; }, time);
}

const stage::node &stage::frontAt(int number) const
{
    const int index = m_options.sidecars + number;
    return m_nodes[static_cast<std::size_t>(index)];
}

http_request stage::requestFor(const std::string &method, int front, const std::string &queue,
                               const std::string &id, const std::string &body) const
{
    const node &called = frontAt(front);
    http_request request;
    request.method = method;
    request.url = fmt::format("http://{}/{}/{}", addressOf(called.port), queue, id);
    request.headers = {{"Host", host},
                       {"Key", queue == "q0" ? "key-1" : "key-2"},
                       {"Content-Type", "application/json"},
                       {"Deadline-Ms", std::to_string(callerPatience.count())}};
    request.body = body;
    request.timeout = callerPatience;
    return request;
}

seen_answer stage::call(const std::string &method, int front, const std::string &queue,
                        const std::string &id, const std::string &body)
{
    const auto answer = std::make_shared<std::optional<seen_answer>>();
    m_client->send(
        requestFor(method, front, queue, id, body), [answer](const result<http_response> &outcome) {
            if (failureOf(outcome))
                *answer = seen_answer{};
            else
                *answer = seen_answer{valueOf(outcome).status,
                                      json::parse(valueOf(outcome).body, nullptr, false)};
        });
    m_loop.runUntil([&] { return answer->has_value(); }, callerPatience + 1s);
    seen_answer seen = answer->value_or(seen_answer{});
    write(fmt::format("caller: {} /{}/{} at {} -> {} {}", method, queue, id, frontAt(front).name,
                      seen.status, seen.body.is_object() ? seen.body.dump() : ""));
    return seen;
}

seen_answer stage::submit(int front, const std::string &queue, const std::string &id,
                          const json &body)
{
    write("caller: submits " + id + " " + body.dump());
    return call("POST", front, queue, id, body.dump());
}

void stage::submitLater(int front, const std::string &queue, const std::string &id,
                        const json &body)
{
    write("caller: submits " + id + " " + body.dump());
    m_client->send(requestFor("POST", front, queue, id, body.dump()),
                   [this, id](const result<http_response> &outcome) {
                       write(fmt::format("caller: {} is answered {}", id,
                                         failureOf(outcome) ? 0 : valueOf(outcome).status));
                   });
}

std::string stage::crashServerOf(const std::string &job, duration away)
{
    for (const std::unique_ptr<backend> &server : m_backends) {
        const std::vector<std::string> tasks = server->runningTasks();
        if (std::none_of(tasks.begin(), tasks.end(),
                         [&](const std::string &task) { return isOf(task, job); }))
            continue;
        write(fmt::format("{} crashes, for {} ms", server->id(), away.count()));
        server->crash(away);
        return server->id();
    }
    return {};
}

seen_answer stage::ask(int front, const std::string &queue, const std::string &id)
{
    return call("GET", front, queue, id, {});
}

seen_answer stage::cancel(int front, const std::string &queue, const std::string &id)
{
    return call("DELETE", front, queue, id, {});
}

std::size_t stage::startsOf(const std::string &job) const
{
    return static_cast<std::size_t>(
        std::count_if(m_starts.begin(), m_starts.end(),
                      [&](const seen_start &seen) { return isOf(seen.task, job); }));
}

std::size_t stage::endsOf(const std::string &job, const std::string &how) const
{
    return static_cast<std::size_t>(
        std::count_if(m_ends.begin(), m_ends.end(),
                      [&](const auto &end) { return isOf(end.first, job) && end.second == how; }));
}

std::size_t stage::runningOf(const std::string &job) const
{
    std::size_t count = 0;
    for (const std::unique_ptr<backend> &server : m_backends) {
        for (const std::string &task : server->runningTasks())
            count += isOf(task, job) ? 1 : 0;
    }
    return count;
}

std::size_t stage::runningTasks() const
{
    std::size_t count = 0;
    for (const std::unique_ptr<backend> &server : m_backends)
        count += server->runningTasks().size();
    return count;
}

std::string stage::planner() const
{
    for (const store_entry &entry : m_model.range(leaderKey("main"), ""))
        return json::parse(entry.value).value("worker", "");
    return {};
}

void stage::kill(const std::string &process, duration downFor)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const node &one) { return one.name == process; });
    if (found == m_nodes.end())
        return;
    write(process + ": process is killed");
    m_processes.kill(process);
    found->isRunning = false;
    found->startAt = now() + downFor;
}

void stage::noteStart(const seen_start &seen)
{
    m_starts.push_back(seen);
    write(fmt::format("{}: run {} of {} starts", seen.server, seen.run, seen.task));
}

void stage::noteEnd(const std::string &task, const std::string &how)
{
    m_ends.emplace_back(task, how);
    write(fmt::format("task {} ends {}", task, how));
}

} // namespace goldcrest::review
