#include "testing/soak_scene_support.h"

#include "goldcrest/base64.h"
#include "standins/kv_service.h"
#include "standins/store_model.h"
#include "testing/process_support.h"
#include "testing/soak_backend_support.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr const char *leaderKeyEnd = "/leader";
constexpr const char *apiKey = "key-1";
constexpr int portsPerNode = 4;
constexpr duration contactTime = 3s; // contact_ms
constexpr duration graceTime = 6s; // grace_s
constexpr duration callerPatience = 3s;
constexpr duration startBound = 30s;
constexpr duration endBound = 60s; // for all accepted jobs, from the end of the last fault
constexpr duration worldInterval = 20ms;
constexpr duration longestLag = 300ms; // of this process's loop
constexpr int submitAttempts = 8;
constexpr int cancelAttempts = 10;
constexpr int printedProblems = 6;
constexpr std::size_t subjectLines = 30;
constexpr std::size_t latestLines = 25;

enum class process_phase { Running, Paused, Stopping, Down };

// What the store does to the calls of one process.
enum class store_fault { None, Unavailable, TooMany, Reset, NoAnswer, Slow, LostAnswer, LateWrite };

struct store_fault_state
{
    store_fault kind = store_fault::None;
    time_point until{};
};

// A process under test, with its way to the store and to the planner's link.
struct soak_node
{
    std::string name;
    bool isFront = false;
    int port = 0; // sidecars: of the backend server, control, link, metrics; fronts: front, ready,
                  // metrics
    process_phase phase = process_phase::Down;
    time_point phaseUntil{};
    time_point disturbedUntil{};
    store_fault_state storeFault;
    std::unique_ptr<soak_http_server> store;
    std::unique_ptr<soak_proxy> storeProxy;
    std::map<int, std::unique_ptr<soak_proxy>> links; // by port of the link

    int linkPort() const { return port + 2; }
};

class soak_scene
{
public:
    explicit soak_scene(const soak_options &options);
    ~soak_scene();
    soak_result run();

private:
    using respond_function = soak_http_server::respond_function;

    void note(const std::string &text);
    void report(const std::string &rule, const std::string &what, const std::string &subject);
    void printEvents(const std::string &subject) const;

    // The store.
    void publishConfiguration();
    store_fault storeFaultOf(const soak_node &node) const;
    void serveStore(soak_node &node, const http_request &request, const respond_function &respond);
    void passToStore(soak_node &node, const http_request &request, const respond_function &respond);
    std::string withProxies(soak_node &node, const std::string &body);
    void replaceLinks(soak_node &node, json &item);
    soak_node *planner();

    // Processes.
    void addNode(const std::string &name, bool isFront, int port);
    void startProcess(soak_node &node);
    void watchProcess(soak_node &node);
    void disturb(soak_node &node, duration time);
    bool isInTouch(const soak_node &node, time_point since) const;
    soak_node *findNode(const std::string &name);
    bool waitUntilReady();

    // Callers.
    soak_job makeJob();
    void submit(soak_job &job);
    void onSubmitAnswered(soak_job &job, int status);
    void cancel(soak_job &job);
    void askAbout(soak_job &job);
    void askAboutSome();
    void call(const std::string &method, const soak_node &front, const soak_job &job,
              std::function<void(int status, const std::string &body)> callback);
    soak_node &anyFront();

    // Faults.
    void scheduleFaults();
    void injectSeries();
    void injectFault(soak_node &node);
    void injectProcessFault(soak_node &node);
    void injectLinkFault(soak_node &node);
    void injectStoreFault(soak_node &node);
    void injectStoreOutage();
    void injectServerFault();
    void healAll();
    void tick();

    soak_options m_options;
    std::string m_directory;
    std::ofstream m_log;
    std::vector<std::string> m_events;
    soak_result m_result;
    asio_event_loop m_loop;
    time_point m_startedAt{};
    time_point m_lastTick{};
    soak_random m_faultChoices;
    soak_random m_callerChoices;
    soak_random m_serverChoices;
    std::unique_ptr<http_client> m_client;
    soak_judge m_judge;
    store_model m_model;
    kv_service m_service;
    store_fault_state m_storeFault; // for all processes
    time_point m_storeDisturbedUntil{};
    soak_surroundings m_around;
    std::vector<std::unique_ptr<soak_node>> m_nodes;
    std::vector<std::unique_ptr<soak_backend>> m_servers;
    process_group m_processes;
    one_shot_timers m_timers;
    bool m_isHealing = false;
    std::uint64_t m_lastId = 0;
};

soak_scene::soak_scene(const soak_options &options)
    : m_options(options)
    , m_directory(makeTestDirectory("soak-" + std::to_string(options.seed)))
    , m_log(m_directory + "/events.log")
    , m_startedAt(m_loop.now())
    , m_lastTick(m_startedAt)
    , m_faultChoices(options.seed * 3 + 1)
    , m_callerChoices(options.seed * 3 + 2)
    , m_serverChoices(options.seed * 3 + 3)
    , m_client(makeCurlClient(m_loop))
    , m_judge([this](const std::string &rule, const std::string &what, const std::string &subject) {
        report(rule, what, subject);
    })
    , m_service(m_loop, m_model)
    , m_around{m_loop, *m_client, m_judge, m_serverChoices, options.seed % 3 == 0, {}, {}, {}, {}}
    , m_processes(m_directory)
    , m_timers(m_loop)
{
    m_around.note = [this](const std::string &text) { note(text); };
    m_around.isInTouch
        = [this](const std::string &server) { return isInTouch(*findNode(server), m_loop.now()); };
    int port = findFreePorts(portsPerNode * (options.sidecars + options.fronts));
    for (int i = 1; i <= options.sidecars; ++i, port += portsPerNode) {
        addNode("side-" + std::to_string(i), false, port);
        soak_backend_options server;
        server.name = m_nodes.back()->name;
        server.failureDomain = i % 2 == 0 ? "north" : "south";
        server.capacity = {6000, 8192, 2};
        server.labels = {"a", "r" + std::to_string(i % 3)};
        server.port = port;
        server.controlPort = port + 1;
        m_servers.push_back(std::make_unique<soak_backend>(m_around, server));
    }
    for (int i = 1; i <= options.fronts; ++i, port += portsPerNode)
        addNode("front-" + std::to_string(i), true, port);
}

soak_scene::~soak_scene()
{
    m_timers.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr && m_result.problems.empty())
        std::filesystem::remove_all(m_directory, ignored);
}

void soak_scene::note(const std::string &text)
{
    m_events.push_back(fmt::format("{:7d} ms  {}", (m_loop.now() - m_startedAt).count(), text));
    m_log << m_events.back() << '\n';
}

void soak_scene::report(const std::string &rule, const std::string &what,
                        const std::string &subject)
{
    m_result.problems.push_back(fmt::format("{}: {}", rule, what));
    note("BROKEN " + m_result.problems.back());
    if (m_result.problems.size() > printedProblems)
        return;
    std::printf("soak, seed %llu, %s\n", static_cast<unsigned long long>(m_options.seed),
                m_events.back().c_str());
    printEvents(subject);
    std::printf("  logs: %s\n", m_directory.c_str());
    std::fflush(stdout);
}

void soak_scene::printEvents(const std::string &subject) const
{
    std::vector<const std::string *> shown;
    for (std::size_t i = m_events.size(); i-- > 0;) {
        const bool isLatest = i + latestLines >= m_events.size();
        if (isLatest || m_events[i].find(subject) != std::string::npos)
            shown.push_back(&m_events[i]);
        if (shown.size() >= subjectLines + latestLines)
            break;
    }
    for (auto it = shown.rbegin(); it != shown.rend(); ++it)
        std::printf("  %s\n", (*it)->c_str());
}

// ---- the store -----------------------------------------------------------------------------

void soak_scene::publishConfiguration()
{
    json routes = json::array();
    for (int priority = 0; priority < 2; ++priority) {
        const std::string queue = "q" + std::to_string(priority);
        routes.push_back({{"name", queue},
                          {"host", "jobs.example"},
                          {"prefix", "/" + queue + "/"},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 3000},
                          {"target_completion_ms", 1000},
                          {"priority", priority},
                          {"service", "svc"},
                          {"max_attempts", soakMaxAttempts},
                          {"slack_factor", 3.0},
                          {"public", false}});
    }
    const json configuration
        = {{"version", 1},
           {"routes", std::move(routes)},
           {"services",
            {{{"name", "svc"}, {"enforces_capacity", m_around.isGuarding}, {"standby", false}}}},
           {"limits", {{"max_body_bytes", 262144}}},
           {"tenants",
            {{{"name", "team-1"},
              {"api_keys", json::array({apiKey})},
              {"guaranteed", {{"gpus", 4}}}}}}};
    store_transaction write;
    write.put("op/config", configuration.dump());
    m_model.commit(write);
}

store_fault soak_scene::storeFaultOf(const soak_node &node) const
{
    if (m_loop.now() < m_storeFault.until)
        return m_storeFault.kind;
    return m_loop.now() < node.storeFault.until ? node.storeFault.kind : store_fault::None;
}

void soak_scene::serveStore(soak_node &node, const http_request &request,
                            const respond_function &respond)
{
    const auto ignore = [](int, const std::string &) {};
    switch (storeFaultOf(node)) {
    case store_fault::None:
        return passToStore(node, request, respond);
    case store_fault::Unavailable:
        return respond(503, "{}");
    case store_fault::TooMany:
        return respond(429, "{}");
    case store_fault::Reset:
        return respond(0, {});
    case store_fault::NoAnswer:
        return;
    case store_fault::LostAnswer:
        return passToStore(node, request, ignore);
    case store_fault::Slow:
        return m_timers.after(m_faultChoices.time(100ms, 1200ms), [this, &node, request, respond] {
            passToStore(node, request, respond);
        });
    case store_fault::LateWrite:
        return m_timers.after(m_faultChoices.time(300ms, 4000ms), [this, &node, request, ignore] {
            passToStore(node, request, ignore);
        });
    }
}

void soak_scene::passToStore(soak_node &node, const http_request &request,
                             const respond_function &respond)
{
    http_request passed = request;
    passed.url = "http://store" + request.url;
    m_service.send(std::move(passed), [this, &node, respond](const result<http_response> &outcome) {
        if (failureOf(outcome))
            return respond(0, {});
        const http_response &response = valueOf(outcome);
        respond(response.status, withProxies(node, response.body));
    });
}

// Returns a response in which the planner's link address is that of a proxy for this process.
std::string soak_scene::withProxies(soak_node &node, const std::string &body)
{
    if (body.find(leaderKeyEnd) == std::string::npos)
        return body;
    json changed = json::parse(body, nullptr, false);
    if (changed.contains("value"))
        replaceLinks(node, changed);
    for (const char *list : {"items", "events"}) {
        if (!changed.contains(list))
            continue;
        for (json &item : changed[list])
            replaceLinks(node, item);
    }
    return changed.dump();
}

void soak_scene::replaceLinks(soak_node &node, json &item)
{
    const std::string key = item.value("key", "");
    const std::string end = leaderKeyEnd;
    if (!item.contains("value") || key.size() < end.size()
        || key.compare(key.size() - end.size(), end.size(), end) != 0)
        return;
    std::string value = decodeBase64(item["value"].get<std::string>()).value_or("");
    for (const std::unique_ptr<soak_node> &target : m_nodes) {
        const int port = target->linkPort();
        const std::string address = fmt::format("127.0.0.1:{}\"", port);
        const std::size_t at = value.find(address);
        if (target->isFront || target.get() == &node || at == std::string::npos)
            continue;
        std::unique_ptr<soak_proxy> &proxy = node.links[port];
        if (!proxy)
            proxy = std::make_unique<soak_proxy>(m_loop, [port] { return port; });
        value.replace(at, address.size(), fmt::format("127.0.0.1:{}\"", proxy->port()));
        item["value"] = encodeBase64(value);
        return;
    }
}

// Returns the sidecar with the planner's role, or any if there is none.
soak_node *soak_scene::planner()
{
    for (const store_entry &entry : m_model.range(std::string(1, '\0'), std::string(1, '\0'))) {
        const std::string end = leaderKeyEnd;
        if (entry.key.size() < end.size()
            || entry.key.compare(entry.key.size() - end.size(), end.size(), end) != 0)
            continue;
        const json record = json::parse(entry.value, nullptr, false);
        if (record.is_object())
            return findNode(record.value("worker", ""));
    }
    return nullptr;
}

// ---- processes -----------------------------------------------------------------------------

soak_node *soak_scene::findNode(const std::string &name)
{
    for (const std::unique_ptr<soak_node> &node : m_nodes) {
        if (node->name == name)
            return node.get();
    }
    return nullptr;
}

void soak_scene::addNode(const std::string &name, bool isFront, int port)
{
    m_nodes.push_back(std::make_unique<soak_node>());
    soak_node &node = *m_nodes.back();
    node.name = name;
    node.isFront = isFront;
    node.port = port;
    node.store = std::make_unique<soak_http_server>(
        m_loop, 0, [this, &node](const http_request &request, const respond_function &respond) {
            serveStore(node, request, respond);
        });
    node.storeProxy = std::make_unique<soak_proxy>(m_loop, [&node] { return node.store->port(); });
    const auto at = [](int number) { return "127.0.0.1:" + std::to_string(number); };
    json settings = {{"name", name},
                     {"failureDomain", port / portsPerNode % 2 == 0 ? "north" : "south"},
                     {"storeAddress", at(node.storeProxy->port())}};
    if (isFront) {
        settings.update({{"frontListen", at(port)},
                         {"readyListen", at(port + 1)},
                         {"metricsListen", at(port + 2)},
                         {"keyRevocationMs", 5000}});
    } else {
        settings.update({{"backendAddress", at(port)},
                         {"controlListen", at(port + 1)},
                         {"linkListen", at(port + 2)},
                         {"metricsListen", at(port + 3)},
                         {"service", "svc"},
                         {"stopTimeMs", 200},
                         {"gangTimeoutMs", 3000},
                         {"longestLeaseMs", 10'000},
                         {"checkpointIntervalS", 1},
                         {"reclaimTimeMs", 2700},
                         {"changeTimeMs", 5000},
                         {"stateTimeS", 120},
                         {"remoteFactor", 3}});
    }
    writeFile(m_directory + "/" + name + ".json", settings.dump());
}

void soak_scene::startProcess(soak_node &node)
{
    note(node.name + ": process starts");
    node.phase = process_phase::Running;
    disturb(node, 0ms);
    m_processes.start(node.name,
                      {binary(node.isFront ? "goldcrest-front" : "goldcrest-sidecar"), "--settings",
                       m_directory + "/" + node.name + ".json"});
}

// Carries out what is due for a process, and reports one that has ended by itself.
void soak_scene::watchProcess(soak_node &node)
{
    const bool isDue = m_loop.now() >= node.phaseUntil;
    const bool isRunning = node.phase != process_phase::Down && m_processes.isRunning(node.name);
    if (node.phase == process_phase::Down) {
        if (isDue)
            startProcess(node);
        return;
    }
    if (!isRunning) {
        const int status = m_processes.waitForExit(node.name, 0ms).value_or(-1);
        if (node.phase != process_phase::Stopping || status != 0)
            m_judge.onProcessEnded(node.name, status);
        note(fmt::format("{}: process has ended, status {}", node.name, status));
        node.phase = process_phase::Down;
        node.phaseUntil = m_loop.now() + m_faultChoices.time(300ms, 3000ms);
        disturb(node, 3s);
    } else if (node.phase == process_phase::Paused && isDue) {
        note(node.name + ": process goes on");
        m_processes.resume(node.name);
        node.phase = process_phase::Running;
        disturb(node, 0ms);
    } else if (node.phase == process_phase::Stopping && isDue) {
        m_processes.kill(node.name);
        node.phase = process_phase::Down;
        node.phaseUntil = m_loop.now() + 1s;
        disturb(node, 1s);
    }
}

void soak_scene::disturb(soak_node &node, duration time)
{
    node.disturbedUntil = std::max(node.disturbedUntil, m_loop.now() + time);
}

// Returns whether a machine is in touch at a time: neither it nor the store was disturbed since
// contact_ms before.
bool soak_scene::isInTouch(const soak_node &node, time_point since) const
{
    return node.phase == process_phase::Running && node.disturbedUntil + contactTime < since
        && m_storeDisturbedUntil + contactTime < since;
}

bool soak_scene::waitUntilReady()
{
    auto ready = std::make_shared<std::set<std::string>>();
    const time_point until = m_loop.now() + startBound;
    while (m_loop.now() < until && ready->size() < static_cast<std::size_t>(m_options.fronts)) {
        for (const std::unique_ptr<soak_node> &node : m_nodes) {
            if (!node->isFront)
                continue;
            http_request request;
            request.url = fmt::format("http://127.0.0.1:{}/v1/ready", node->port + 1);
            request.timeout = 500ms;
            m_client->send(std::move(request), [ready, name = node->name](const auto &outcome) {
                if (!failureOf(outcome) && valueOf(outcome).status == 200)
                    ready->insert(name);
            });
        }
        m_loop.runUntil([] { return false; }, 300ms);
    }
    return m_loop.now() < until;
}

// ---- callers -------------------------------------------------------------------------------

soak_node &soak_scene::anyFront()
{
    const std::size_t first = m_nodes.size() - static_cast<std::size_t>(m_options.fronts);
    return *m_nodes[first + m_callerChoices.below(static_cast<std::size_t>(m_options.fronts))];
}

soak_job soak_scene::makeJob()
{
    soak_random &random = m_callerChoices;
    soak_job job;
    job.id = fmt::format("{:016x}", (m_options.seed << 32U) + ++m_lastId);
    job.queue = random.chance(0.2) ? "q0" : "q1";
    job.payload = fmt::format("payload-{}", random.between(0, 1'000'000));
    const std::int64_t kind = random.between(0, 9);
    soak_step step;
    step.perTask = {500, 256, 0};
    if (kind < 5) { // many short tasks at a time
        step.count = static_cast<std::int32_t>(random.between(8, 32));
        step.work = random.time(50ms, 400ms);
        job.steps.push_back(step);
    } else if (kind < 8) { // steps one after the other
        const std::size_t steps = 1 + random.below(3);
        for (std::size_t i = 0; i < steps; ++i) {
            step.count = static_cast<std::int32_t>(random.between(1, 6));
            step.work = random.time(50ms, 3000ms);
            step.isCheckpointing = random.chance(0.5);
            step.perTask.accelerators = random.chance(0.2) ? 1 : 0;
            step.after.clear();
            if (i > 0)
                step.after.push_back(i - 1);
            job.steps.push_back(step);
        }
    } else {
        step.count = static_cast<std::int32_t>(random.between(2, 6));
        step.work = random.time(200ms, 2500ms);
        step.isGang = true;
        step.isCheckpointing = random.chance(0.5);
        step.perTask = {1000, 512, random.chance(0.4) ? 1 : 0};
        job.steps.push_back(step);
    }
    return job;
}

void soak_scene::call(const std::string &method, const soak_node &front, const soak_job &job,
                      std::function<void(int status, const std::string &body)> callback)
{
    http_request request;
    request.method = method;
    request.url = fmt::format("http://127.0.0.1:{}/{}/{}", front.port, job.queue, job.id);
    request.headers = {{"Host", "jobs.example"},
                       {"Key", apiKey},
                       {"Content-Type", "application/json"},
                       {"Deadline-Ms", std::to_string(callerPatience.count())}};
    request.timeout = callerPatience;
    if (method == "POST") {
        json body = {{"spec", job.payload}, {"steps", json::array()}};
        for (const soak_step &step : job.steps) {
            body["steps"].push_back({{"count", step.count},
                                     {"cpu", step.perTask.cores},
                                     {"mem_mb", step.perTask.memory},
                                     {"gpus", step.perTask.accelerators},
                                     {"estimated_ms", step.work.count()},
                                     {"gang", step.isGang},
                                     {"checkpointing", step.isCheckpointing},
                                     {"after", step.after}});
        }
        request.body = body.dump();
    }
    m_client->send(std::move(request),
                   [callback = std::move(callback)](const result<http_response> &outcome) {
                       if (failureOf(outcome))
                           return callback(0, {});
                       callback(valueOf(outcome).status, valueOf(outcome).body);
                   });
}

void soak_scene::submit(soak_job &job)
{
    ++job.attempts;
    const soak_node &front = anyFront();
    call("POST", front, job, [this, &job, &front](int status, const std::string &) {
        note(fmt::format("caller: {} is answered {} by {}", job.id, status, front.name));
        onSubmitAnswered(job, status);
    });
}

void soak_scene::onSubmitAnswered(soak_job &job, int status)
{
    const bool isFirst = !job.acceptedAt;
    m_judge.onSubmitAnswered(job, status, m_loop.now());
    soak_random &random = m_callerChoices;
    const bool isUnknown = status == 0 || status == 502 || status == 504;
    if (isUnknown && !job.acceptedAt && job.attempts < submitAttempts)
        return m_timers.after(random.time(100ms, 800ms), [this, &job] { submit(job); });
    if (!job.acceptedAt || !isFirst)
        return;
    if (random.chance(0.1)) // a repeated request that arrives late
        m_timers.after(random.time(200ms, 3000ms), [this, &job] { submit(job); });
    if (random.chance(0.1))
        m_timers.after(random.time(0ms, 2000ms), [this, &job] { cancel(job); });
}

void soak_scene::cancel(soak_job &job)
{
    ++job.cancels;
    call("DELETE", anyFront(), job, [this, &job](int status, const std::string &) {
        note(fmt::format("caller: the cancel of {} is answered {}", job.id, status));
        m_judge.onCancelAnswered(job, status, m_loop.now());
        if (!job.cancelledAt && job.cancels < cancelAttempts)
            m_timers.after(500ms, [this, &job] { cancel(job); });
    });
}

void soak_scene::askAbout(soak_job &job)
{
    const soak_node &front = anyFront();
    const time_point askedAt = m_loop.now();
    call("GET", front, job, [this, &job, &front, askedAt](int status, const std::string &body) {
        const json parsed = json::parse(body, nullptr, false);
        const std::string state = parsed.is_object() ? parsed.value("state", "") : "";
        if (state != job.shown)
            note(fmt::format("caller: {} is shown as {} {}", job.id, status, state));
        // A question counts only if the front was in touch until its answer.
        const bool isInTouchAll = isInTouch(front, askedAt) && isInTouch(front, m_loop.now());
        m_judge.onShown(job, status, state, isInTouchAll, askedAt);
    });
}

// Asks about jobs that were accepted and are not known to be over.
void soak_scene::askAboutSome()
{
    std::vector<soak_job *> open;
    for (auto &[id, job] : m_judge.jobs()) {
        if (job.acceptedAt && !job.isOver())
            open.push_back(&job);
    }
    constexpr std::size_t asked = 4;
    for (std::size_t i = 0; i < asked && !open.empty(); ++i)
        askAbout(*open[m_callerChoices.below(open.size())]);
}

// ---- faults --------------------------------------------------------------------------------

// Faults come in series that overlap, with calm stretches in which the rules with a time bound
// apply.
void soak_scene::scheduleFaults()
{
    constexpr duration period = 12s;
    constexpr duration calm = 5s;
    const duration phase = (m_loop.now() - m_startedAt) % period;
    if (phase < period - calm)
        injectSeries();
    m_timers.after(m_faultChoices.time(300ms, 1500ms), [this] {
        if (!m_isHealing)
            scheduleFaults();
    });
}

void soak_scene::injectSeries()
{
    const std::int64_t length = m_faultChoices.between(1, 3);
    for (std::int64_t i = 0; i < length; ++i) {
        m_timers.after(m_faultChoices.time(0ms, 800ms), [this] {
            if (m_isHealing)
                return;
            ++m_result.faults;
            const bool isOutside = m_options.hasOutsideFaults && m_faultChoices.chance(0.6);
            if (!isOutside && m_options.hasServerFaults)
                return injectServerFault();
            soak_node *node = m_faultChoices.chance(0.35) ? planner() : nullptr;
            if (node == nullptr)
                node = m_nodes[m_faultChoices.below(m_nodes.size())].get();
            if (m_options.hasOutsideFaults)
                injectFault(*node);
        });
    }
}

void soak_scene::injectFault(soak_node &node)
{
    const std::int64_t kind = m_faultChoices.between(0, 9);
    if (kind < 4)
        return injectProcessFault(node);
    if (kind < 7)
        return injectLinkFault(node);
    if (kind < 9)
        return injectStoreFault(node);
    injectStoreOutage();
}

void soak_scene::injectProcessFault(soak_node &node)
{
    if (node.phase != process_phase::Running)
        return;
    switch (m_faultChoices.between(0, 2)) {
    case 0:
        node.phase = process_phase::Paused;
        node.phaseUntil = m_loop.now() + m_faultChoices.time(100ms, 6000ms);
        m_processes.pause(node.name);
        break;
    case 1:
        node.phase = process_phase::Down;
        node.phaseUntil = m_loop.now() + m_faultChoices.time(2000ms, 4000ms);
        m_processes.kill(node.name);
        break;
    default:
        node.phase = process_phase::Stopping;
        node.phaseUntil = m_loop.now() + graceTime;
        m_processes.terminate(node.name);
    }
    constexpr const char *names[] = {"running", "paused", "terminated", "killed"};
    disturb(node, node.phaseUntil - m_loop.now());
    note(fmt::format("{}: process is {}, for up to {} ms", node.name,
                     names[static_cast<int>(node.phase)],
                     (node.phaseUntil - m_loop.now()).count()));
}

void soak_scene::injectLinkFault(soak_node &node)
{
    std::vector<soak_proxy *> proxies;
    const bool hitsStore = node.links.empty() || m_faultChoices.chance(0.5);
    if (hitsStore)
        proxies.push_back(node.storeProxy.get());
    if (!hitsStore || m_faultChoices.chance(0.3)) {
        for (const auto &[port, proxy] : node.links)
            proxies.push_back(proxy.get());
    }
    const duration time = m_faultChoices.time(300ms, 5000ms);
    const std::int64_t kind = m_faultChoices.between(0, 5);
    constexpr const char *names[]
        = {"delayed", "reset", "silent", "cut to the target", "cut to the client", "cut"};
    note(fmt::format("{}: {} proxies {}, for {} ms if it ends", node.name, proxies.size(),
                     names[kind], time.count()));
    disturb(node, time);
    const duration delay = m_faultChoices.time(10ms, 400ms);
    for (soak_proxy *proxy : proxies) {
        if (kind == 0)
            proxy->delay(delay, time);
        if (kind == 1)
            proxy->reset();
        if (kind == 2)
            proxy->silence();
        if (kind == 3 || kind == 5)
            proxy->cut(soak_proxy::direction::ToTarget, time);
        if (kind == 4 || kind == 5)
            proxy->cut(soak_proxy::direction::ToClient, time);
    }
}

void soak_scene::injectStoreFault(soak_node &node)
{
    const duration time = m_faultChoices.time(200ms, 4000ms);
    node.storeFault = {static_cast<store_fault>(m_faultChoices.between(1, 7)), m_loop.now() + time};
    disturb(node, time);
    note(fmt::format("{}: store fault {} for {} ms", node.name,
                     static_cast<int>(node.storeFault.kind), time.count()));
}

void soak_scene::injectStoreOutage()
{
    if (m_faultChoices.chance(0.3)) {
        note("store: forgets its history");
        m_model.compact(m_model.current());
        return;
    }
    const duration time = m_faultChoices.time(200ms, 3000ms);
    m_storeFault = {static_cast<store_fault>(m_faultChoices.between(1, 7)), m_loop.now() + time};
    m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, m_storeFault.until);
    note(fmt::format("store: fault {} for all, for {} ms", static_cast<int>(m_storeFault.kind),
                     time.count()));
}

void soak_scene::injectServerFault()
{
    soak_backend &server = *m_servers[m_faultChoices.below(m_servers.size())];
    const duration time = m_faultChoices.time(300ms, 5000ms);
    switch (m_faultChoices.between(0, m_options.hasSuspensions ? 8 : 7)) {
    case 0:
        return server.crash(m_faultChoices.time(10ms, 4000ms), m_faultChoices.chance(0.5));
    case 1:
        return server.hang(time);
    case 2:
        return server.drain();
    case 3:
        return server.shrink(time);
    case 4:
        return server.sendOddCheckIn();
    case 5:
        return server.delayCheckIns(time);
    case 6:
    case 7:
        return server.delayCalls(time);
    default:
        // A suspended machine stops both of its processes.
        soak_node &node = *findNode(server.name());
        if (node.phase != process_phase::Running)
            return;
        node.phase = process_phase::Paused;
        node.phaseUntil = m_loop.now() + time;
        disturb(node, time);
        m_processes.pause(node.name);
        server.suspend(time);
    }
}

void soak_scene::healAll()
{
    note("all faults end");
    m_isHealing = true;
    m_storeFault = {};
    for (const std::unique_ptr<soak_node> &node : m_nodes) {
        node->storeFault = {};
        node->storeProxy->heal();
        for (const auto &[port, proxy] : node->links)
            proxy->heal();
        if (node->phase == process_phase::Paused || node->phase == process_phase::Down)
            node->phaseUntil = m_loop.now();
    }
    for (const std::unique_ptr<soak_backend> &server : m_servers)
        server->settle();
}

void soak_scene::tick()
{
    const duration lag = m_loop.now() - m_lastTick;
    m_lastTick = m_loop.now();
    // While this process gets no processor time, nothing that it sees proves a time bound.
    if (lag > longestLag) {
        m_storeDisturbedUntil = m_loop.now();
        note(fmt::format("the soak's own loop was held up for {} ms", lag.count()));
    }
    for (const std::unique_ptr<soak_node> &node : m_nodes)
        watchProcess(*node);
}

// ---- a run ---------------------------------------------------------------------------------

soak_result soak_scene::run()
{
    publishConfiguration();
    for (const std::unique_ptr<soak_node> &node : m_nodes)
        startProcess(*node);
    for (const std::unique_ptr<soak_backend> &server : m_servers)
        server->begin(false);
    if (!waitUntilReady()) {
        report("START", "the deployment doesn't become ready", "process");
        return m_result;
    }
    const timer_handle world = m_loop.every(worldInterval, [this] { tick(); });
    const duration jobInterval = std::max(duration(1000 / m_options.sidecars), 30ms);
    timer_handle jobs = m_loop.every(jobInterval, [this] { submit(m_judge.addJob(makeJob())); });
    const timer_handle questions = m_loop.every(40ms, [this] { askAboutSome(); });
    scheduleFaults();
    m_loop.runUntil([] { return false; }, m_options.length);
    jobs.reset();
    healAll();
    time_point checkedAt{};
    const auto isOver = [&] {
        if (m_loop.now() < checkedAt + 200ms)
            return false;
        checkedAt = m_loop.now();
        return m_judge.checkAllOver(false);
    };
    if (!m_loop.runUntil(isOver, endBound))
        m_judge.checkAllOver(true);
    m_result.starts = m_judge.starts();
    m_result.jobs = m_judge.jobs().size();
    for (const auto &[id, job] : m_judge.jobs()) {
        m_result.accepted += job.acceptedAt ? 1 : 0;
        m_result.completed += job.shown == "completed" ? 1 : 0;
    }
    return m_result;
}

} // namespace

soak_result runSoak(const soak_options &options)
{
    return soak_scene(options).run();
}

} // namespace goldcrest
