#include "review/stage/stage.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>

namespace goldcrest::review {

namespace {

constexpr int ports = 90;
constexpr int adviceOffset = 4;
constexpr duration tickInterval = 5ms;
constexpr duration heartbeatInterval = 1500ms;
constexpr std::int64_t longestLeaseMs = 10'000; // max_hold_ms
constexpr std::size_t endsPerAnswer = 500;
constexpr std::size_t maxValueBytes = 1'048'576; // max_value_bytes
constexpr const char *apiKey = "key-1";
constexpr const char *serviceName = "svc";
constexpr duration decisionTime = 50ms; // of the advice service
constexpr duration ticketValidity = 3s;
constexpr duration callerPatience = 3s; // deadline-ms of the callers

std::int64_t unixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

json stepOf(std::int32_t count, std::int64_t millicores, std::int64_t memory)
{
    return {{"count", count}, {"cpu", millicores}, {"mem_mb", memory}};
}

// ---- backend servers -----------------------------------------------------------------------

backend::backend(stage &scene, std::string worker, const resources &capacity,
                 std::vector<std::string> labels, int firstPort)
    : m_stage(scene)
    , m_worker(std::move(worker))
    , m_capacity(capacity)
    , m_labels(std::move(labels))
    , m_firstPort(firstPort)
{ }

std::string backend::address() const
{
    return "127.0.0.1:" + std::to_string(m_firstPort);
}

std::string backend::controlAddress() const
{
    return "127.0.0.1:" + std::to_string(m_firstPort + 1);
}

std::string backend::linkAddress() const
{
    return "127.0.0.1:" + std::to_string(m_firstPort + 2);
}

std::string backend::metricsAddress() const
{
    return "127.0.0.1:" + std::to_string(m_firstPort + 3);
}

std::int64_t backend::clock() const
{
    return (m_stage.loop().now() - m_startedAt).count();
}

void backend::begin(const lifetime &next)
{
    m_life = next;
    m_born = unixMs();
    m_startedAt = m_stage.loop().now();
    m_isHanging = false;
    m_sequence = m_token = m_leaseEnds = m_lastEnd = 0;
    m_running.clear();
    m_work.clear();
    m_highestOver.clear();
    m_ended.clear();
    m_server = std::make_unique<plain_http>(
        m_stage.loop().context(), static_cast<unsigned short>(m_firstPort),
        [this](const http_request &request, const plain_http::respond_function &respond) {
            handle(request, respond);
        });
    m_stage.note(
        fmt::format("{}: server {} begins a lifetime, born={}", m_worker, m_life.id, m_born));
    m_tickTimer = m_stage.loop().every(tickInterval, [this] { tick(); });
    m_registerTimer = m_stage.loop().after(m_life.registersAfter, [this] {
        sendHeartbeat();
        m_heartbeatTimer = m_stage.loop().every(heartbeatInterval, [this] { sendHeartbeat(); });
    });
}

void backend::crash()
{
    m_stage.note(m_worker + ": server " + m_life.id + " ends");
    m_tickTimer.reset();
    m_heartbeatTimer.reset();
    m_registerTimer.reset();
    m_holds.clear();
    for (const auto &[task, run] : std::exchange(m_running, {})) {
        run->endedAt = m_stage.loop().now();
        run->how = "the server ended";
        m_stage.note(
            fmt::format("{}: run {} of {} ends with the server", m_worker, run->number, task));
    }
    m_server.reset();
}

void backend::hang()
{
    m_stage.note(m_worker + ": server " + m_life.id + " answers no calls from now on");
    m_isHanging = true;
}

void backend::sendHeartbeat()
{
    const json body = {{"service", serviceName},
                       {"address", address()},
                       {"zone", "north"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"capacity",
                        {{"cpu", m_capacity.cores},
                         {"mem_mb", m_capacity.memory},
                         {"gpus", m_capacity.accelerators}}},
                       {"labels", m_labels},
                       {"clock_ms", clock()},
                       {"born", m_born},
                       {"sequence", ++m_sequence}};
    http_request request;
    request.method = "POST";
    request.url = "http://" + controlAddress() + "/v1/Instances.Heartbeat/" + m_life.id;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body.dump();
    request.timeout = 1s;
    m_stage.client().send(std::move(request), [](const result<http_response> &) {});
}

void backend::respondTo(const plain_http::respond_function &respond, const answer &reply) const
{
    json body = reply.second;
    body["clock_ms"] = clock();
    body["born"] = m_born;
    respond(reply.first, body.dump());
}

json backend::statusBody() const
{
    json running = json::array();
    for (const auto &[task, run] : m_running) {
        const work_plan &work = m_work.at(task);
        const std::int64_t done
            = (clock() - work.begunAt) * 100 / std::max<std::int64_t>(1, work.length);
        running.push_back({task, run->number, "", std::min<std::int64_t>(done, 99)});
    }
    json ended = json::array();
    for (const ended_run &one : m_ended) {
        if (ended.size() == endsPerAnswer)
            break;
        ended.push_back({one.number, one.task, one.run, one.how, ""});
    }
    return {{"running", std::move(running)}, {"ended", std::move(ended)}};
}

void backend::handle(const http_request &request, const plain_http::respond_function &respond)
{
    if (m_isHanging)
        return;
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respondTo(respond, {400, json::object()});
    if (request.url == "/v1/run-start")
        return respondTo(respond, start(request, body));
    if (isFenced(body))
        return respondTo(respond, {409, {{"reason", "fence"}}});
    if (request.url == "/v1/run-stop")
        return respondTo(respond, stop(body));
    if (request.url != "/v1/hold")
        return respondTo(respond, {200, json::object()});
    extendLease(body);
    const std::int64_t seen = body.value("last_seen", std::int64_t{0});
    for (const ended_run &one : m_ended) {
        if (one.number <= seen)
            m_stage.noteAcknowledged(m_worker, one.number, one.task, one.how);
    }
    m_ended.remove_if([seen](const ended_run &one) { return one.number <= seen; });
    const duration wait(body.value("wait_ms", std::int64_t{0}));
    if (!m_ended.empty() || wait == 0ms)
        return respondTo(respond, {200, statusBody()});
    m_holds.push_back({respond, m_stage.loop().now() + wait});
}

bool backend::isFenced(const json &body)
{
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

// A lease covers everything that runs here. It never gets shorter, and is limited.
void backend::extendLease(const json &body)
{
    const std::int64_t wanted = body.value("deadline_ms", std::int64_t{0});
    m_leaseEnds = std::max(m_leaseEnds, std::min(wanted, clock() + longestLeaseMs));
}

backend::answer backend::start(const http_request &request, const json &body)
{
    for (const auto &[name, value] : request.headers) {
        if (name == "expected-instance" && value != m_life.id)
            return {421, json::object()};
    }
    if (isFenced(body))
        return {409, {{"reason", "fence"}}};
    const std::string task = body.value("task", "");
    const std::int32_t number = body.value("run", 0);
    extendLease(body);
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second->number == number)
        return {200, json::object()};
    if (!hasTicket(body))
        return {409, {{"reason", "ticket"}}};
    if (number <= m_highestOver[task] || present != m_running.end())
        return {409, {{"reason", "old"}}};
    if (m_leaseEnds <= clock())
        return {409, {{"reason", "late"}}};
    m_running[task] = &m_stage.addRun(m_worker, task, number);
    m_work[task] = {clock(), std::atoll(body.value("spec", "0").c_str())};
    return {200, json::object()};
}

bool backend::hasTicket(const json &body) const
{
    const std::string task = body.value("task", "");
    const auto needed = m_stage.ticketOf(task.substr(0, task.rfind('.')), m_life.id);
    return !needed || body.value("ticket", "") == *needed;
}

backend::answer backend::stop(const json &body)
{
    const std::string task = body.value("task", "");
    const std::int32_t number = body.value("run", 0);
    m_highestOver[task] = std::max(m_highestOver[task], number);
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second->number <= number)
        endRun(task, "stopped");
    return {200, json::object()};
}

void backend::endRun(const std::string &task, const std::string &how)
{
    task_run &run = *m_running.at(task);
    run.endedAt = m_stage.loop().now();
    run.how = how;
    m_highestOver[task] = std::max(m_highestOver[task], run.number);
    m_ended.push_back({++m_lastEnd, task, run.number, how});
    m_running.erase(task);
    m_stage.note(fmt::format("{}: run {} of {} ends: {}", m_worker, run.number, task, how));
}

void backend::tick()
{
    const time_point now = m_stage.loop().now();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : m_running) {
        if (clock() > m_leaseEnds)
            over.emplace_back(task, "lapsed");
        else if (clock() - m_work[task].begunAt >= m_work[task].length)
            over.emplace_back(task, "done");
    }
    for (const auto &[task, how] : over)
        endRun(task, how);
    for (auto it = m_holds.begin(); it != m_holds.end();) {
        if (m_ended.empty() && now < it->until) {
            ++it;
            continue;
        }
        respondTo(it->respond, {200, statusBody()});
        it = m_holds.erase(it);
    }
}

// ---- stage ---------------------------------------------------------------------------------

stage::stage(const std::string &directory)
    : m_directory(directory)
    , m_temporary(makeTestDirectory("review"))
    , m_record(directory + "/record.txt")
    , m_timers(m_loop)
    , m_client(makeCurlClient(m_loop))
    , m_service(m_loop, m_model)
    , m_processes(m_temporary)
    , m_startedAt(m_loop.now())
    , m_firstPort(findFreePorts(ports))
    , m_nextPort(m_firstPort + 10)
{
    m_store = std::make_unique<plain_http>(
        m_loop.context(), static_cast<unsigned short>(m_firstPort),
        [this](const http_request &request, const plain_http::respond_function &respond) {
            serveStore(request, respond);
        });
}

stage::~stage()
{
    m_timers.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_temporary, ignored);
}

std::string stage::portOf(int offset) const
{
    return "127.0.0.1:" + std::to_string(m_firstPort + offset);
}

void stage::note(const std::string &text)
{
    m_record << fmt::format("{:7d} ms  {}\n", (m_loop.now() - m_startedAt).count(), text)
             << std::flush;
}

// Passes a request on to the model of the store. Like the platform's store, it refuses values that
// are larger than max_value_bytes.
void stage::serveStore(const http_request &request, const plain_http::respond_function &respond)
{
    if (request.url == "/v1/kv-txn") {
        const json body = json::parse(request.body, nullptr, false);
        for (const json &row : body.value("set_keys", json::array())) {
            const std::size_t bytes = row.value("value", "").size() / 4 * 3;
            if (bytes <= maxValueBytes + 2)
                continue;
            note(fmt::format("store: refuses a value of {} bytes for {}", bytes,
                             row.value("key", "")));
            return respond(400, "{}");
        }
    }
    http_request passed = request;
    passed.url = "http://store" + request.url;
    m_service.send(std::move(passed), [respond](const result<http_response> &outcome) {
        if (failureOf(outcome))
            return respond(0, {});
        respond(valueOf(outcome).status, valueOf(outcome).body);
    });
}

void stage::publishConfiguration(const std::vector<queue_description> &queues)
{
    json routes = json::array();
    for (const queue_description &queue : queues) {
        routes.push_back({{"name", queue.name},
                          {"host", "jobs.example"},
                          {"prefix", "/" + queue.name + "/"},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 3000},
                          {"target_completion_ms", 1000},
                          {"priority", queue.priority},
                          {"service", serviceName},
                          {"max_attempts", 4},
                          {"slack_factor", 3.0},
                          {"public", false}});
        if (!queue.isAdvised)
            continue;
        m_advisedQueues.insert(queue.name);
        routes.back()["advice"] = {{"decision_ms", decisionTime.count()},
                                   {"per_worker_ms", 0},
                                   {"validity_ms", ticketValidity.count()}};
    }
    const json configuration = {
        {"version", ++m_version},
        {"routes", std::move(routes)},
        {"services", {{{"name", serviceName}, {"enforces_capacity", false}, {"standby", false}}}},
        {"limits", {{"max_body_bytes", 262144}}},
        {"tenants",
         {{{"name", "team-1"},
           {"api_keys", json::array({apiKey})},
           {"guaranteed", {{"gpus", 0}}}}}}};
    store_transaction write;
    write.put("op/config", configuration.dump());
    m_model.commit(write);
}

backend &stage::addBackend(const std::string &worker, const resources &capacity,
                           std::vector<std::string> labels)
{
    m_backends.push_back(
        std::make_unique<backend>(*this, worker, capacity, std::move(labels), m_nextPort));
    m_nextPort += 4;
    return *m_backends.back();
}

void stage::startAdvice(std::vector<std::string> allowed)
{
    m_allowed = std::move(allowed);
    m_advice = std::make_unique<plain_http>(
        m_loop.context(), static_cast<unsigned short>(m_firstPort + adviceOffset),
        [this](const http_request &request, const plain_http::respond_function &respond) {
            serveAdvice(request, respond);
        });
}

void stage::serveAdvice(const http_request &request, const plain_http::respond_function &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::string step = body.value("step", "");
    json good = json::array();
    for (const json &id : body.value("workers", json::array())) {
        if (std::find(m_allowed.begin(), m_allowed.end(), id) != m_allowed.end())
            good.push_back({id, *ticketOf(step, id.get<std::string>())});
    }
    note(fmt::format("advice: asked for step {} about {}, allows {}", step, body["workers"].dump(),
                     good.dump()));
    const json answer = {{"good", std::move(good)}, {"validity_ms", ticketValidity.count()}};
    m_timers.after(decisionTime, [respond, text = answer.dump()] { respond(200, text); });
}

std::optional<std::string> stage::ticketOf(const std::string &step, const std::string &server) const
{
    if (m_advisedJobs.count(jobOf(step)) == 0)
        return std::nullopt;
    return step + "@" + server;
}

void stage::startFront()
{
    const json settings
        = {{"name", "front-1"},        {"failureDomain", "north"},   {"frontListen", portOf(1)},
           {"readyListen", portOf(2)}, {"metricsListen", portOf(3)}, {"storeAddress", portOf(0)},
           {"keyRevocationMs", 5000}};
    writeFile(m_temporary + "/front-1.json", settings.dump());
    m_processes.start("front-1",
                      {binary("goldcrest-front"), "--settings", m_temporary + "/front-1.json"});
}

void stage::startSidecar(const backend &server)
{
    json settings = {{"name", server.worker()},
                     {"failureDomain", "north"},
                     {"controlListen", server.controlAddress()},
                     {"linkListen", server.linkAddress()},
                     {"metricsListen", server.metricsAddress()},
                     {"storeAddress", portOf(0)},
                     {"backendAddress", server.address()},
                     {"service", serviceName},
                     {"stopTimeMs", 200},
                     {"gangTimeoutMs", 3000},
                     {"longestLeaseMs", longestLeaseMs},
                     {"checkpointIntervalS", 1},
                     {"reclaimTimeMs", 2700},
                     {"changeTimeMs", 5000},
                     {"stateTimeS", 120},
                     {"remoteFactor", 3}};
    if (m_advice)
        settings["adviceAddress"] = portOf(adviceOffset);
    const std::string path = m_temporary + "/" + server.worker() + ".json";
    writeFile(path, settings.dump());
    m_processes.start(server.worker(), {binary("goldcrest-sidecar"), "--settings", path});
}

bool stage::runUntil(const std::function<bool()> &condition, duration limit)
{
    return m_loop.runUntil(condition, limit);
}

void stage::runFor(duration time)
{
    m_loop.runUntil([] { return false; }, time);
}

http_request stage::callTo(const std::string &method, const std::string &path) const
{
    http_request request;
    request.method = method;
    request.url = "http://" + portOf(1) + path;
    request.headers = {{"Host", "jobs.example"},
                       {"Key", apiKey},
                       {"Content-Type", "application/json"},
                       {"Deadline-Ms", std::to_string(callerPatience.count())}};
    request.timeout = callerPatience;
    return request;
}

http_response stage::exchange(http_request request)
{
    auto received = std::make_shared<std::optional<http_response>>();
    m_client->send(std::move(request), [received](const result<http_response> &outcome) {
        *received = failureOf(outcome) ? http_response{} : valueOf(outcome);
    });
    runUntil([&] { return received->has_value(); }, callerPatience + 2s);
    return received->value_or(http_response{});
}

bool stage::waitUntilServing(duration limit)
{
    const time_point until = m_loop.now() + limit;
    http_request ready;
    ready.url = "http://" + portOf(2) + "/v1/ready";
    ready.timeout = 500ms;
    while (m_loop.now() < until && exchange(ready).status != 200)
        runFor(100ms);
    std::vector<std::string> ids;
    for (const std::unique_ptr<backend> &server : m_backends) {
        while (m_loop.now() < until) {
            const std::string id = newId();
            if (submit("plans", id, 100ms, {stepOf(1, 100, 100)}) != 200) {
                runFor(100ms);
                continue;
            }
            ids.push_back(id);
            break;
        }
        (void)server;
    }
    for (const std::string &id : ids) {
        while (stateOf("plans", id) != "completed") {
            if (m_loop.now() >= until)
                return false;
            runFor(100ms);
        }
    }
    note("the deployment serves");
    return m_loop.now() < until;
}

void stage::submitLater(const std::string &queue, const std::string &id, duration work,
                        const std::vector<json> &steps, std::function<void(int)> callback)
{
    if (m_advisedQueues.count(queue) > 0)
        m_advisedJobs.insert(id);
    json body = {{"spec", std::to_string(work.count())}, {"steps", json::array()}};
    for (json step : steps) {
        step["estimated_ms"] = work.count();
        body["steps"].push_back(std::move(step));
    }
    http_request request = callTo("POST", "/" + queue + "/" + id);
    request.body = body.dump();
    m_client->send(
        std::move(request),
        [this, id, queue, callback = std::move(callback)](const result<http_response> &outcome) {
            const int status = failureOf(outcome) ? 0 : valueOf(outcome).status;
            note(fmt::format("caller: job {} for {} is answered {}", id, queue, status));
            callback(status);
        });
}

int stage::submit(const std::string &queue, const std::string &id, duration work,
                  const std::vector<json> &steps)
{
    constexpr int attempts = 4;
    int status = 0;
    for (int i = 0; i < attempts; ++i) {
        bool isAnswered = false;
        submitLater(queue, id, work, steps, [&](int answered) {
            status = answered;
            isAnswered = true;
        });
        runUntil([&] { return isAnswered; }, callerPatience + 2s);
        if (status != 0 && status != 502 && status != 504)
            break;
    }
    return status;
}

std::string stage::stateOf(const std::string &queue, const std::string &id)
{
    const http_response response = exchange(callTo("GET", "/" + queue + "/" + id));
    if (response.status != 200)
        return std::to_string(response.status);
    return json::parse(response.body, nullptr, false).value("state", "");
}

std::string stage::newId()
{
    return fmt::format("{:016x}", 0xabc0000000000000ULL + ++m_lastId);
}

bool stage::hasStarted(const std::string &job) const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [&](const task_run &run) { return jobOf(run.task) == job; });
}

task_run &stage::addRun(const std::string &worker, const std::string &task, std::int32_t number)
{
    note(fmt::format("{}: run {} of {} starts", worker, number, task));
    for (const task_run &other : m_runs) {
        if (other.task != task || other.endedAt || !m_overlap.empty())
            continue;
        m_overlap = fmt::format("run {} of {} starts on {} while run {} works on {}", number, task,
                                worker, other.number, other.worker);
        note(m_overlap);
    }
    if (m_acknowledgedDone.count(task) > 0 && m_startAfterDone.empty()) {
        m_startAfterDone = fmt::format("run {} of {} starts on {} after an earlier run has ended "
                                       "done, and that end was acknowledged",
                                       number, task, worker);
        note(m_startAfterDone);
    }
    task_run &added = m_runs.emplace_back();
    added.worker = worker;
    added.task = task;
    added.number = number;
    added.startedAt = m_loop.now();
    return added;
}

void stage::noteAcknowledged(const std::string &worker, std::int64_t number,
                             const std::string &task, const std::string &how)
{
    note(fmt::format("{}: end {} ({} {}) is acknowledged by last_seen", worker, number, task, how));
    if (how == "done")
        m_acknowledgedDone.insert(task);
}

int stage::finish(verdict outcome, const std::string &why)
{
    constexpr const char *names[] = {"the rule held", "the rule was broken", "could not run"};
    note(fmt::format("{}: {}", names[static_cast<int>(outcome)], why));
    return static_cast<int>(outcome);
}

} // namespace goldcrest::review
