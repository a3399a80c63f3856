#include "review/stage-3/scene.h"

#include "goldcrest/job_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;
using respond_function = soak_http_server::respond_function;

constexpr int portsPerProcess = 4;
constexpr const char *callerHost = "jobs.example";
constexpr const char *cell = "main";

std::string addressOf(int port)
{
    return fmt::format("127.0.0.1:{}", port);
}

std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string gangKey(const std::string &task, std::int32_t run)
{
    return stepOf(task) + "/" + std::to_string(run);
}

} // namespace

nlohmann::json smallConfiguration(int guaranteed)
{
    json configuration = json::parse(R"({"version": 7, "limits": {"max_body_bytes": 262144},
        "services": [{"name": "svc", "health_path": "/health", "enforces_capacity": false,
            "standby": false}],
        "tenants": [{"name": "a", "api_keys": ["key-a"], "guaranteed": {"gpus": 0}},
            {"name": "b", "api_keys": ["key-b"], "guaranteed": {"gpus": 0}}],
        "routes": [{"name": "urgent", "host": "jobs.example", "prefix": "/urgent/", "priority": 0,
            "kind": "non_idempotent", "timeout_ms": 3000, "target_completion_ms": 250,
            "service": "svc", "max_attempts": 4, "slack_factor": 1.5, "public": false},
            {"name": "batch", "host": "jobs.example", "prefix": "/batch/", "priority": 2,
            "kind": "non_idempotent", "timeout_ms": 3000, "target_completion_ms": 3000,
            "service": "svc", "max_attempts": 3, "slack_factor": 3.0, "public": false}]})");
    configuration["tenants"][0]["guaranteed"]["gpus"] = guaranteed;
    return configuration;
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

// ---- gangs ---------------------------------------------------------------------------------

void gang_registry::join(review_backend &server, const std::string &task, std::int32_t run,
                         int size)
{
    std::vector<member> &members = m_members[gangKey(task, run)];
    members.emplace_back(&server, task);
    if (static_cast<int>(members.size()) < size)
        return;
    const std::vector<member> present = members;
    for (const auto &[where, name] : present)
        where->beginWork(name, run);
}

void gang_registry::leave(const std::string &task, std::int32_t run, const std::string &how)
{
    const auto found = m_members.find(gangKey(task, run));
    if (found == m_members.end())
        return;
    const std::vector<member> members = found->second;
    m_members.erase(found);
    for (const auto &[where, name] : members) {
        if (name != task)
            where->endRun(name, run, how == "done" ? "done" : where->endBeside(name, how));
    }
}

bool gang_registry::isMember(const std::string &task, std::int32_t run) const
{
    return m_members.count(gangKey(task, run)) > 0;
}

// ---- backend server ------------------------------------------------------------------------

review_backend::review_backend(review_scene &scene, int index, int port, int controlPort)
    : m_scene(scene)
    , m_name(fmt::format("server-{}", index + 1))
    , m_index(index)
    , m_port(port)
    , m_controlPort(controlPort)
    , m_timers(scene.loop())
{ }

std::int64_t review_backend::clock() const
{
    return (m_scene.now() - m_bornAt).count() + 1;
}

void review_backend::begin()
{
    ++m_lifetimes;
    m_id = fmt::format("i-{:04x}{:04x}", m_index + 1, m_lifetimes);
    m_bornAt = m_scene.now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_sequence = m_token = m_deadline = m_lastEnd = 0;
    m_isCrashing = false;
    m_server = std::make_unique<soak_http_server>(
        m_scene.loop(), m_port,
        [this](const soak_request &request, const respond_function &respond) {
            handle(request, respond);
        });
    m_tickTimer = m_scene.loop().every(10ms, [this] { tick(); });
    m_heartbeatTimer = m_scene.loop().every(heartbeatInterval, [this] { sendHeartbeat(); });
    m_scene.note(fmt::format("{}: lifetime {} begins", m_name, m_id));
    sendHeartbeat();
}

void review_backend::crash(duration time)
{
    m_scene.note(fmt::format("{}: crashes with {} runs, down for {} ms", m_name, m_runs.size(),
                             time.count()));
    m_tickTimer.reset();
    m_heartbeatTimer.reset();
    m_server.reset();
    m_holds.clear();
    const std::map<std::string, run> lost = std::exchange(m_runs, {});
    m_ends.clear();
    m_highestOver.clear();
    for (const auto &[task, gone] : lost) {
        m_scene.noteRun({m_scene.now(), m_name, task, gone.number, "crashed"});
        if (m_scene.gangs().isMember(task, gone.number))
            m_scene.gangs().leave(task, gone.number, "broken");
    }
    m_timers.clear();
    m_timers.after(time, [this] { begin(); });
}

int review_backend::runningOf(const std::string &job) const
{
    return static_cast<int>(std::count_if(
        m_runs.begin(), m_runs.end(), [&](const auto &one) { return jobOf(one.first) == job; }));
}

void review_backend::sendHeartbeat()
{
    m_heartbeatAt = m_scene.now();
    const json body = {{"service", "svc"},
                       {"address", addressOf(m_port)},
                       {"zone", "rimouski"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"capacity", {{"cpu", 64000}, {"mem_mb", 262144}, {"gpus", 8}}},
                       {"labels", {"a", fmt::format("r1-{}", m_index / 3 + 1)}},
                       {"clock_ms", clock()},
                       {"born", m_born},
                       {"sequence", ++m_sequence}};
    http_request request;
    request.method = "POST";
    request.url = "http://" + addressOf(m_controlPort) + "/v1/Instances.Heartbeat/" + m_id;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body.dump();
    request.timeout = 1s;
    m_scene.client().send(std::move(request), [](const result<http_response> &) {});
}

void review_backend::handle(const soak_request &request, const respond_function &respond)
{
    if (m_isCrashing)
        return;
    if (request.target == "/health")
        return respond(200, "{}");
    if (!request.instance.empty() && request.instance != m_id)
        return respond(421, "{}");
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond(400, "{}");
    if (request.target == "/v1/run-start")
        handleStart(body, respond);
    else if (request.target == "/v1/run-stop")
        handleStop(body, respond);
    else if (request.target == "/v1/hold")
        handleHold(body, respond);
    else
        respond(200, json{{"clock_ms", clock()}}.dump());
}

// Returns whether a call comes from an earlier holder than one that was seen.
bool review_backend::isFenced(const json &body)
{
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

void review_backend::extend(const json &body)
{
    const std::int64_t deadline = body.value("deadline_ms", std::int64_t{0});
    m_deadline = std::max(m_deadline, std::min(deadline, clock() + longestLease.count()));
}

void review_backend::refuse(const char *reason, const respond_function &respond) const
{
    respond(409, json{{"clock_ms", clock()}, {"born", m_born}, {"reason", reason}}.dump());
}

void review_backend::handleStart(const json &body, const respond_function &respond)
{
    if (isFenced(body))
        return refuse("fence", respond);
    const std::string task = body.value("task", "");
    const std::int32_t number = body.value("run", 0);
    if (body.value("deadline_ms", std::int64_t{0}) <= clock())
        return refuse("late", respond);
    extend(body);
    const auto found = m_runs.find(task);
    const auto over = m_highestOver.find(task);
    if (found != m_runs.end() && found->second.number == number)
        return respond(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
    if ((over != m_highestOver.end() && number <= over->second) || found != m_runs.end())
        return refuse("old", respond);
    run &started = m_runs[task];
    started.number = number;
    started.plan = m_scene.options().planOf(task, number);
    const int gangSize = m_scene.gangSizeOf(task);
    m_scene.noteRun({m_scene.now(), m_name, task, number, "start"});
    if (started.plan.crashes) {
        m_isCrashing = true; // this function belongs to the server that ends
        m_crashTimer = m_scene.loop().after(1ms, [this] { crash(crashedTime); });
        return;
    }
    if (gangSize > 1)
        m_scene.gangs().join(*this, task, number, gangSize);
    else
        started.workSince = m_scene.now();
    respond(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
}

void review_backend::handleStop(const json &body, const respond_function &respond)
{
    if (isFenced(body))
        return refuse("fence", respond);
    const std::string task = body.value("task", "");
    const std::int32_t number = body.value("run", 0);
    std::int32_t &over = m_highestOver[task];
    over = std::max(over, number);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.number == number && !found->second.isStopping) {
        found->second.isStopping = true;
        if (percentOf(found->second) == 100)
            m_scene.noteRun({m_scene.now(), m_name, task, number, "stop ordered"});
        m_timers.after(stopTime / 4, [this, task, number] { endRun(task, number, "stopped"); });
    }
    respond(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
}

std::int64_t review_backend::percentOf(const run &one) const
{
    if (one.workSince == time_point{})
        return 0;
    constexpr std::int64_t startup = 300;
    const std::int64_t worked = (m_scene.now() - one.workSince).count();
    if (one.plan.lasts)
        return std::min<std::int64_t>(100, worked * 100 / startup);
    return std::min<std::int64_t>(99, worked * 100 / one.plan.length.count());
}

std::string review_backend::lists() const
{
    json running = json::array();
    for (const auto &[task, one] : m_runs) {
        std::int64_t percent = 0;
        if (one.workSince != time_point{}) {
            const std::int64_t worked = (m_scene.now() - one.workSince).count();
            percent = one.plan.lasts
                ? (worked > 300 ? 100 : worked / 3)
                : std::min<std::int64_t>(99, worked * 100 / one.plan.length.count());
        }
        running.push_back({task, one.number, "", percent, 0});
    }
    constexpr std::size_t most = 500;
    json ended = json::array();
    for (const json &end : m_ends) {
        if (ended.size() < most)
            ended.push_back(end);
    }
    return json{{"clock_ms", clock()}, {"born", m_born}, {"running", running}, {"ended", ended}}
        .dump();
}

void review_backend::handleHold(const json &body, const respond_function &respond)
{
    if (isFenced(body))
        return refuse("fence", respond);
    extend(body);
    const std::int64_t lastSeen = body.value("last_seen", std::int64_t{0});
    m_ends.erase(std::remove_if(m_ends.begin(), m_ends.end(),
                                [&](const json &end) { return end[0] <= lastSeen; }),
                 m_ends.end());
    const std::int64_t waitMs = body.value("wait_ms", std::int64_t{0});
    if (waitMs <= 0 || !m_ends.empty())
        return respond(200, lists());
    const std::uint64_t number = ++m_holdCount;
    m_holds[number] = {respond, lastSeen};
    m_timers.after(duration(waitMs), [this, number] {
        const auto found = m_holds.find(number);
        if (found == m_holds.end())
            return;
        const respond_function answer = found->second.respond;
        m_holds.erase(found);
        answer(200, lists());
    });
}

void review_backend::answerHolds()
{
    const std::map<std::uint64_t, waiting_hold> holds = std::exchange(m_holds, {});
    for (const auto &[number, hold] : holds)
        hold.respond(200, lists());
}

void review_backend::beginWork(const std::string &task, std::int32_t number)
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.number == number)
        found->second.workSince = m_scene.now();
}

std::string review_backend::endBeside(const std::string &task, const std::string &how) const
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.isStopping)
        return "stopped";
    const bool failsToo = found != m_runs.end() && found->second.plan.how == "failed";
    return how == "failed" && failsToo ? "failed" : "broken";
}

void review_backend::endRun(const std::string &task, std::int32_t number, const std::string &how)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end() || found->second.number != number)
        return;
    m_runs.erase(found);
    std::int32_t &over = m_highestOver[task];
    over = std::max(over, number);
    m_ends.push_back({++m_lastEnd, task, number, how, ""});
    m_scene.noteRun({m_scene.now(), m_name, task, number, how});
    if (m_scene.gangs().isMember(task, number))
        m_scene.gangs().leave(task, number, how);
    answerHolds();
}

void review_backend::tick()
{
    std::vector<std::pair<std::string, std::int32_t>> over;
    const bool hasLapsed = clock() > m_deadline;
    for (const auto &[task, one] : m_runs) {
        const bool isDone = one.workSince != time_point{} && !one.plan.lasts && !one.isStopping
            && m_scene.now() - one.workSince >= one.plan.length;
        if (hasLapsed || isDone)
            over.emplace_back(task, one.number);
    }
    for (const auto &[task, number] : over) {
        const auto found = m_runs.find(task);
        if (found == m_runs.end())
            continue;
        endRun(task, number, hasLapsed ? "lapsed" : found->second.plan.how);
    }
}

// ---- slow link -----------------------------------------------------------------------------

std::int64_t slow_link::rate::take(std::size_t bytes)
{
    const auto now = std::chrono::steady_clock::now();
    freeAt = std::max(freeAt, now)
        + std::chrono::microseconds(static_cast<std::int64_t>(bytes) * 8 / mbps);
    return std::chrono::duration_cast<std::chrono::microseconds>(freeAt - now).count();
}

// Passes on what it has read once the link has had the time for it, and reads more after that.
struct slow_link::connection : std::enable_shared_from_this<connection>
{
    connection(asio_event_loop &eventLoop, asio::ip::tcp::socket accepted,
               std::shared_ptr<rate> shared)
        : loop(eventLoop)
        , client(std::move(accepted))
        , target(eventLoop.context())
        , limit(std::move(shared))
    { }

    void begin(int port)
    {
        target.async_connect({asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)},
                             [self = shared_from_this()](asio::error_code error) {
                                 if (error)
                                     return self->close();
                                 self->readRequest();
                                 self->readResponse();
                             });
    }

    void readRequest()
    {
        client.async_read_some(
            asio::buffer(requestBytes),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (error)
                    return self->close();
                asio::async_write(self->target, asio::buffer(self->requestBytes, size),
                                  [self](asio::error_code failed, std::size_t) {
                                      failed ? self->close() : self->readRequest();
                                  });
            });
    }

    void readResponse()
    {
        target.async_read_some(
            asio::buffer(responseBytes),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (error)
                    return self->close();
                afterMicroseconds(self->loop, self->limit->take(size),
                                  [self, size] { self->passResponse(size); });
            });
    }

    void passResponse(std::size_t size)
    {
        if (!client.is_open())
            return;
        asio::async_write(client, asio::buffer(responseBytes, size),
                          [self = shared_from_this()](asio::error_code error, std::size_t) {
                              error ? self->close() : self->readResponse();
                          });
    }

    void close()
    {
        asio::error_code ignored;
        client.close(ignored);
        target.close(ignored);
    }

    asio_event_loop &loop;
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    std::shared_ptr<rate> limit;
    std::array<char, 4096> requestBytes{};
    std::array<char, 4096> responseBytes{};
};

slow_link::slow_link(asio_event_loop &loop, int target, int mbps)
    : m_rate(std::make_shared<rate>())
    , m_listener(loop, 0, [this, &loop, target](asio::ip::tcp::socket accepted) {
        std::make_shared<connection>(loop, std::move(accepted), m_rate)->begin(target);
    })
{
    m_rate->mbps = mbps;
}

// ---- scene ---------------------------------------------------------------------------------

review_scene::review_scene(const std::string &recordPath, scene_options options)
    : m_options(std::move(options))
    , m_startedAt(m_loop.now())
    , m_record(recordPath)
    , m_directory(makeTestDirectory("goldcrest-review"))
    , m_client(makeCurlClient(m_loop))
    , m_service(m_loop, m_model)
    , m_timers(m_loop)
    , m_gangs(std::make_unique<gang_registry>())
    , m_processes(m_directory)
{
    int port = findFreePorts(portsPerProcess * (m_options.sidecars + m_options.fronts));
    const auto add = [&](const std::string &name) {
        m_ports[name] = port;
        port += portsPerProcess;
        m_stores[name] = std::make_unique<soak_http_server>(
            m_loop, 0, [this, name](const soak_request &request, const respond_function &respond) {
                if (!storeHook || !storeHook(name, request, respond))
                    carryOut(request, respond);
            });
    };
    for (int i = 0; i < m_options.sidecars; ++i) {
        const std::string name = fmt::format("side-{}", i + 1);
        add(name);
        m_backends.push_back(
            std::make_unique<review_backend>(*this, i, portOf(name, 0), portOf(name, 1)));
    }
    for (int i = 0; i < m_options.fronts; ++i) {
        const std::string name = fmt::format("front-{}", i + 1);
        add(name);
        if (m_options.frontLinkMbps > 0)
            m_links[name] = std::make_unique<slow_link>(m_loop, m_stores.at(name)->port(),
                                                        m_options.frontLinkMbps);
    }
    writeSettings();
}

review_scene::~review_scene()
{
    m_timers.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory, ignored);
}

int review_scene::portOf(const std::string &name, int offset) const
{
    return m_ports.at(name) + offset;
}

// The settings are those of deploy/front.json and deploy/sidecar.json.
void review_scene::writeSettings()
{
    for (const auto &[name, port] : m_ports) {
        const auto link = m_links.find(name);
        const int storePort
            = link == m_links.end() ? m_stores.at(name)->port() : link->second->port();
        json settings = {{"name", name},
                         {"failureDomain", "rimouski"},
                         {"metricsListen", addressOf(port + 3)},
                         {"storeAddress", addressOf(storePort)},
                         {"storeValueBytes", 1048576},
                         {"admission", true}};
        if (name.rfind("front", 0) == 0) {
            settings.update({{"frontListen", addressOf(port)},
                             {"readyListen", addressOf(port + 1)},
                             {"memoryMb", 260},
                             {"keyRevocationMs", 5000}});
        } else {
            settings.update({{"controlListen", addressOf(port + 1)},
                             {"linkListen", addressOf(port + 2)},
                             {"memoryMb", 128},
                             {"backendAddress", addressOf(port)},
                             {"service", "svc"},
                             {"stopTimeMs", stopTime.count()},
                             {"gangTimeoutMs", gangTimeout.count()},
                             {"longestLeaseMs", longestLease.count()},
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
                             {"machineCallsPerSecond", 60},
                             {"machineReadsPerSecond", 60},
                             {"maintenanceTimeS", 2},
                             {"noticeMs", 4500},
                             {"holderLeaseMs", 3000},
                             {"adviceAddress", ""}});
        }
        writeFile(m_directory + "/" + name + ".json", settings.dump(2));
    }
}

std::vector<std::string> review_scene::arguments(const std::string &name) const
{
    const char *program
        = name.rfind("front", 0) == 0 ? "target/goldcrest-front" : "target/goldcrest-sidecar";
    return {program, "--settings", m_directory + "/" + name + ".json"};
}

void review_scene::startProcess(const std::string &name)
{
    note(name + ": started");
    m_processes.start(name, arguments(name));
}

bool review_scene::start()
{
    configure(m_options.configuration);
    for (const auto &[name, port] : m_ports)
        startProcess(name);
    for (const std::unique_ptr<review_backend> &server : m_backends)
        server->begin();
    constexpr duration startLimit = 20s;
    const time_point end = now() + startLimit;
    bool isReady = false;
    while (!isReady && now() < end) {
        pass(200ms);
        http_answer ready;
        bool isAnswered = false;
        http_request request;
        request.url = "http://" + addressOf(portOf("front-1", 1)) + "/v1/ready";
        m_client->send(std::move(request), [&](const result<http_response> &outcome) {
            isAnswered = true;
            ready.status = failureOf(outcome) ? 0 : valueOf(outcome).status;
        });
        wait(3s, [&] { return isAnswered; });
        isReady = ready.status == 200 && !planner().empty();
    }
    // All backend servers have announced themselves twice by then.
    pass(2 * heartbeatInterval + 500ms);
    note(isReady ? "the deployment is ready" : "the deployment is not ready");
    return isReady;
}

void review_scene::configure(const nlohmann::json &configuration)
{
    store_transaction transaction;
    transaction.put("op/config", configuration.dump());
    m_model.commit(transaction);
    note(fmt::format("operator: version {} acknowledged, {} bytes",
                     configuration.value("version", 0), configuration.dump().size()));
}

bool review_scene::wait(duration limit, const std::function<bool()> &condition)
{
    return m_loop.runUntil(condition, limit);
}

void review_scene::pass(duration time)
{
    wait(time, [] { return false; });
}

void review_scene::note(const std::string &text)
{
    m_record << fmt::format("{:8.3f} s  {}\n",
                            static_cast<double>((now() - m_startedAt).count()) / 1000, text);
    m_record.flush();
}

void review_scene::noteRun(seen_run run)
{
    note(fmt::format("{}: {} run {}: {}", run.server, run.task, run.run, run.event));
    m_seen.push_back(std::move(run));
}

int review_scene::runningTasks(const std::string &job) const
{
    int running = 0;
    for (const std::unique_ptr<review_backend> &server : m_backends)
        running += server->runningOf(job);
    return running;
}

int review_scene::gangSizeOf(const std::string &task) const
{
    const auto job = m_jobs.find(jobOf(task));
    if (job == m_jobs.end())
        return 1;
    const std::string step = stepOf(task);
    const std::size_t number = std::strtoul(step.c_str() + step.rfind('.') + 1, nullptr, 10);
    const json &spec = job->second.steps.at(number);
    return spec.value("gang", false) ? spec.value("count", 1) : 1;
}

void review_scene::carryOut(const soak_request &request, const respond_function &respond)
{
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

std::string review_scene::planner() const
{
    for (const store_entry &entry : m_model.range(leaderKey(cell), ""))
        return json::parse(entry.value).value("worker", "");
    return {};
}

void review_scene::call(const std::string &method, const std::string &path, const std::string &key,
                        const std::string &body, std::function<void(const http_answer &)> callback,
                        int front)
{
    http_request request;
    request.method = method;
    request.url = "http://" + addressOf(portOf(fmt::format("front-{}", front + 1), 0)) + path;
    request.headers = {{"Host", callerHost}, {"Key", key}, {"Deadline-Ms", "3000"}};
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    request.body = body;
    request.timeout = 3s;
    const std::string what = method + " " + path;
    note("caller: " + what);
    m_client->send(
        std::move(request),
        [this, what, callback = std::move(callback)](const result<http_response> &outcome) {
            http_answer answer;
            if (!failureOf(outcome))
                answer = {valueOf(outcome).status, valueOf(outcome).body};
            note(fmt::format("caller: {} -> {} {}", what, answer.status, answer.body));
            callback(answer);
        });
}

http_answer review_scene::callAndWait(const std::string &method, const std::string &path,
                                      const std::string &key, const std::string &body, int front)
{
    std::optional<http_answer> answer;
    call(
        method, path, key, body, [&](const http_answer &received) { answer = received; }, front);
    wait(5s, [&] { return answer.has_value(); });
    return answer.value_or(http_answer{});
}

std::optional<time_point> review_scene::submit(const review_job &job)
{
    m_jobs[job.id] = job;
    const json body = {{"spec", "spec of " + job.id}, {"steps", job.steps}};
    for (int tries = 0; tries < 4; ++tries) {
        if (callAndWait("POST", job.prefix + job.id, job.key, body.dump()).status == 200)
            return now();
        pass(1s);
    }
    return std::nullopt;
}

std::string review_scene::stateOf(const review_job &job)
{
    const http_answer answer = callAndWait("GET", job.prefix + job.id, job.key);
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("state", "") : std::string();
}

} // namespace goldcrest
