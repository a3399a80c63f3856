#include "testing/soak_scene_support.h"

#include "goldcrest/base64.h"
#include "goldcrest/job_record.h"
#include "standins/kv_service.h"
#include "standins/one_shot_timers.h"
#include "standins/store_model.h"
#include "testing/process_support.h"
#include "testing/soak_backend_support.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace goldcrest {

namespace {

using nlohmann::json;
using respond_function = soak_http_server::respond_function;

constexpr const char *apiKey = "key-1";
constexpr int portsPerNode = 4;
constexpr duration contactTime = 3s; // contact_ms
constexpr duration graceTime = 6s; // grace_s
constexpr duration startupLimit = 2s; // of a process, also with sanitizers on a busy machine
constexpr duration callerPatience = 3s;
constexpr duration endBound = 60s; // for all accepted jobs, from the end of the last fault
constexpr duration longestLag = 300ms; // of this process's loop
constexpr int submitAttempts = 8;
constexpr int cancelAttempts = 10;
constexpr std::size_t printedProblems = 6;
constexpr std::size_t printedLines = 60;
constexpr std::size_t latestLines = 25;

enum class process_phase { Running, Paused, Stopping, Down };

enum class store_fault {
    None,
    Unavailable,
    TooMany,
    Reset, // before the call is carried out
    NoAnswer,
    Slow,
    LostAnswer,
    LateWrite,
    Restart, // after a transaction: closes the connections and refuses new ones for a time
};

struct store_fault_state
{
    store_fault kind = store_fault::None;
    time_point until{};
};

// A process under test, with its ways to the store and to the planner's link. Its ports are those
// of the backend server, control, link and metrics, or of the front, ready and metrics.
struct soak_node
{
    std::string name;
    bool isFront = false;
    int port = 0;
    process_phase phase = process_phase::Down;
    time_point phaseUntil{};
    time_point startedAt{};
    time_point disturbedUntil{};
    store_fault_state storeFault;
    std::unique_ptr<soak_http_server> store;
    std::unique_ptr<soak_proxy> storeProxy;
    std::map<int, std::unique_ptr<soak_proxy>> links; // by port of the link
};

std::string addressOf(int port)
{
    return fmt::format("127.0.0.1:{}", port);
}

class soak_scene
{
public:
    explicit soak_scene(const soak_options &options)
        : m_options(options)
        , m_directory(makeTestDirectory("soak-" + std::to_string(options.seed)))
        , m_log(m_directory + "/events.log")
        , m_startedAt(m_loop.now())
        , m_faultChoices(options.seed * 3 + 1)
        , m_callerChoices(options.seed * 3 + 2)
        , m_serverChoices(options.seed * 3 + 3)
        , m_client(makeCurlClient(m_loop))
        , m_judge([this](const std::string &rule, const std::string &what,
                         const std::string &subject) { report(rule, what, subject); })
        , m_service(m_loop, m_model)
        , m_around{m_loop, *m_client, m_judge, m_serverChoices, options.seed % 3 == 0, {},
                   {},     {},        {}}
        , m_processes(m_directory)
        , m_timers(m_loop)
    {
        m_around.note = [this](const std::string &text) { write(text); };
        m_around.isInTouch
            = [this](const std::string &server) { return isInTouch(*findNode(server), now()); };
        int port = findFreePorts(portsPerNode * (options.sidecars + options.fronts));
        for (int i = 1; i <= options.sidecars; ++i, port += portsPerNode) {
            addNode(fmt::format("side-{}", i), false, port);
            m_around.servers.push_back(makeSoakBackend(m_around,
                                                       {m_nodes.back()->name,
                                                        i % 2 == 0 ? "north" : "south",
                                                        {4000, 8192, 2},
                                                        {"a", fmt::format("r{}", i % 3)},
                                                        port}));
        }
        for (int i = 1; i <= options.fronts; ++i, port += portsPerNode)
            addNode(fmt::format("front-{}", i), true, port);
    }

    ~soak_scene()
    {
        m_timers.clear();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr && m_result.problems.empty())
            std::filesystem::remove_all(m_directory, ignored);
    }

    soak_result run()
    {
        publishConfiguration();
        for (const std::unique_ptr<soak_node> &node : m_nodes)
            startProcess(*node);
        for (const std::unique_ptr<soak_backend> &server : m_around.servers)
            server->begin();
        const timer_handle world = m_loop.every(20ms, [this] { tick(); });
        m_lastTick = now();
        const duration jobInterval = std::max(duration(1000 / m_options.sidecars), 30ms);
        timer_handle jobs
            = m_loop.every(jobInterval, [this] { submit(m_judge.addJob(makeJob())); });
        const timer_handle questions = m_loop.every(40ms, [this] { askAboutSome(); });
        scheduleFaults();
        m_loop.runUntil([] { return false; }, m_options.length);
        jobs.reset();
        healAll();
        const auto isOver = [this, checkedAt = now()]() mutable {
            if (now() < checkedAt + 200ms)
                return false;
            checkedAt = now();
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
        if (m_result.accepted == 0)
            report("START", "no job was accepted", "process");
        return m_result;
    }

private:
    time_point now() const { return m_loop.now(); }

    void write(const std::string &text)
    {
        m_events.push_back(fmt::format("{:7d} ms  {}", (now() - m_startedAt).count(), text));
        m_log << m_events.back() << '\n';
    }

    template<typename... Arguments>
    void note(fmt::format_string<Arguments...> text, Arguments &&...arguments)
    {
        write(fmt::format(text, std::forward<Arguments>(arguments)...));
    }

    void report(const std::string &rule, const std::string &what, const std::string &subject)
    {
        m_result.problems.push_back(rule + ": " + what);
        note("BROKEN {}: {}", rule, what);
        if (m_result.problems.size() > printedProblems)
            return;
        fmt::print("soak, seed {}, {}\n", m_options.seed, m_events.back());
        std::vector<std::string> shown;
        for (std::size_t i = m_events.size(); i-- > 0 && shown.size() < printedLines;) {
            if (i + latestLines >= m_events.size()
                || m_events[i].find(subject) != std::string::npos)
                shown.push_back(m_events[i]);
        }
        std::reverse(shown.begin(), shown.end());
        fmt::print("  {}\n  logs: {}\n", fmt::join(shown, "\n  "), m_directory);
        std::fflush(stdout);
    }

    // ---- the store ----

    void publishConfiguration()
    {
        json configuration = json::parse(R"({"version": 1, "limits": {"max_body_bytes": 262144},
            "services": [{"name": "svc", "enforces_capacity": false, "standby": false}],
            "tenants": [{"name": "team-1", "api_keys": ["key-1"], "guaranteed": {"gpus": 4}}],
            "routes": [{"name": "q0", "host": "jobs.example", "prefix": "/q0/", "priority": 0,
                "kind": "non_idempotent", "timeout_ms": 3000, "target_completion_ms": 1000,
                "service": "svc", "max_attempts": 4, "slack_factor": 3.0, "public": false}]})");
        configuration["services"][0]["enforces_capacity"] = m_around.isGuarding;
        configuration["routes"].push_back(configuration["routes"][0]);
        configuration["routes"][1].update({{"name", "q1"}, {"prefix", "/q1/"}, {"priority", 1}});
        store_transaction transaction;
        transaction.put("op/config", configuration.dump());
        m_model.commit(transaction);
    }

    void serveStore(soak_node &node, const soak_request &request, const respond_function &respond)
    {
        const store_fault_state &fault
            = now() < m_storeFault.until ? m_storeFault : node.storeFault;
        const auto passLater = [&](duration least, duration most, const respond_function &answer) {
            m_timers.after(m_faultChoices.time(least, most),
                           [this, &node, request, answer] { passToStore(node, request, answer); });
        };
        const auto ignore = [](int, const std::string &) {};
        switch (now() < fault.until ? fault.kind : store_fault::None) {
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
        case store_fault::Slow:
            return passLater(100ms, 1200ms, respond);
        case store_fault::LostAnswer:
            return passToStore(node, request, ignore);
        case store_fault::LateWrite:
            return passLater(300ms, 4000ms, ignore);
        case store_fault::Restart:
            if (request.target != "/v1/kv-txn")
                return passToStore(node, request, respond);
            passToStore(node, request, ignore);
            // At once: 2 ms later, libcurl mostly reports a failed rewind, which hides a wrong
            // conclusion from the refused connection.
            return refuseStore(node);
        }
    }

    void refuseStore(soak_node &node)
    {
        const duration time = m_faultChoices.time(300ms, 5000ms);
        const bool withReset = m_faultChoices.chance(0.5);
        note(
            "store: {} loses its connections{} after a transaction, new ones are refused for {} ms",
            node.name, withReset ? " by a reset" : "", time.count());
        disturb(node, time);
        node.storeProxy->refuse(time, withReset);
    }

    void passToStore(soak_node &node, const soak_request &request, const respond_function &respond)
    {
        http_request passed;
        passed.method = request.method;
        passed.url = "http://store" + request.target;
        passed.body = request.body;
        m_service.send(std::move(passed),
                       [this, &node, respond](const result<http_response> &outcome) {
                           if (failureOf(outcome))
                               return respond(0, {});
                           std::string body = valueOf(outcome).body;
                           if (body.find(m_leaderKey) != std::string::npos) {
                               json changed = json::parse(body);
                               insertProxies(node, changed);
                               body = changed.dump();
                           }
                           respond(valueOf(outcome).status, body);
                       });
    }

    // Replaces the link address of the planner by that of a proxy for this process.
    void insertProxies(soak_node &node, json &value)
    {
        for (json &part : value) {
            if (part.is_structured())
                insertProxies(node, part);
        }
        if (!value.is_object() || value.value("key", "") != m_leaderKey || !value.contains("value"))
            return;
        const std::string record = decodeBase64(value["value"].get<std::string>()).value_or("");
        json leader = json::parse(record, nullptr, false);
        const soak_node *target = leader.is_object() ? findNode(leader["worker"]) : nullptr;
        if (target == nullptr || target == &node)
            return;
        const int port = target->port + 2;
        std::unique_ptr<soak_proxy> &proxy = node.links[port];
        if (!proxy)
            proxy = std::make_unique<soak_proxy>(m_loop, [port] { return port; });
        leader["address"] = addressOf(proxy->port());
        value["value"] = encodeBase64(leader.dump());
    }

    // Returns the sidecar with the planner's role, or nothing.
    soak_node *planner()
    {
        for (const store_entry &entry : m_model.range(m_leaderKey, ""))
            return findNode(json::parse(entry.value).value("worker", ""));
        return nullptr;
    }

    // ---- processes ----

    soak_node *findNode(const std::string &name)
    {
        const auto found = std::find_if(
            m_nodes.begin(), m_nodes.end(),
            [&](const std::unique_ptr<soak_node> &node) { return node->name == name; });
        return found == m_nodes.end() ? nullptr : found->get();
    }

    void addNode(const std::string &name, bool isFront, int port)
    {
        m_nodes.push_back(std::make_unique<soak_node>());
        soak_node &node = *m_nodes.back();
        node.name = name;
        node.isFront = isFront;
        node.port = port;
        node.store = std::make_unique<soak_http_server>(
            m_loop, 0, [this, &node](const soak_request &request, const respond_function &respond) {
                serveStore(node, request, respond);
            });
        node.storeProxy
            = std::make_unique<soak_proxy>(m_loop, [&node] { return node.store->port(); });
        json settings = {{"name", name},
                         {"failureDomain", m_nodes.size() % 2 == 0 ? "north" : "south"},
                         {"storeAddress", addressOf(node.storeProxy->port())}};
        const std::vector<const char *> listening = isFront
            ? std::vector{"frontListen", "readyListen", "metricsListen"}
            : std::vector{"backendAddress", "controlListen", "linkListen", "metricsListen"};
        for (const char *setting : listening)
            settings[setting] = addressOf(port++);
        settings["admission"] = true;
        if (!isFront)
            settings.update(json::parse(R"({"service": "svc", "stopTimeMs": 200,
                "gangTimeoutMs": 3000, "longestLeaseMs": 10000, "checkpointIntervalS": 1})"));
        writeFile(m_directory + "/" + name + ".json", settings.dump());
    }

    void startProcess(soak_node &node)
    {
        note("{}: process starts", node.name);
        node.phase = process_phase::Running;
        node.startedAt = now();
        disturb(node, 0ms);
        m_processes.start(node.name,
                          {binary(node.isFront ? "goldcrest-front" : "goldcrest-sidecar"),
                           "--settings", m_directory + "/" + node.name + ".json"});
    }

    void enter(soak_node &node, process_phase phase, duration time)
    {
        constexpr const char *names[] = {"running", "paused", "terminated", "down"};
        note("{}: process is {}, for up to {} ms", node.name, names[static_cast<int>(phase)],
             time.count());
        node.phase = phase;
        node.phaseUntil = now() + time;
        disturb(node, time);
    }

    // Carries out what is due for a process, and reports one that has ended by itself.
    void watchProcess(soak_node &node)
    {
        const bool isDue = now() >= node.phaseUntil;
        if (node.phase == process_phase::Down) {
            if (isDue)
                startProcess(node);
        } else if (!m_processes.isRunning(node.name)) {
            const int status = m_processes.waitForExit(node.name, 0ms).value_or(-1);
            // SIGTERM ends a process that has not begun to handle it yet.
            const bool isTooEarly = status == -SIGTERM && now() - node.startedAt < startupLimit;
            if (node.phase != process_phase::Stopping || (status != 0 && !isTooEarly))
                report("FAULT", fmt::format("{} ended by itself, status {}", node.name, status),
                       node.name);
            enter(node, process_phase::Down, m_faultChoices.time(300ms, 3000ms));
        } else if (node.phase == process_phase::Paused && isDue) {
            m_processes.resume(node.name);
            enter(node, process_phase::Running, 0ms);
        } else if (node.phase == process_phase::Stopping && isDue) {
            m_processes.kill(node.name);
            enter(node, process_phase::Down, 1s);
        }
    }

    void disturb(soak_node &node, duration time)
    {
        node.disturbedUntil = std::max(node.disturbedUntil, now() + time);
    }

    // Returns whether a machine is in touch: neither it nor the store was disturbed since
    // contact_ms before.
    bool isInTouch(const soak_node &node, time_point at) const
    {
        return node.phase == process_phase::Running
            && std::max(node.disturbedUntil, m_storeDisturbedUntil) + contactTime < at;
    }

    void tick()
    {
        const duration lag = now() - std::exchange(m_lastTick, now());
        // While this process gets no processor time, nothing that it sees proves a time bound.
        if (lag > longestLag) {
            m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, now());
            note("the soak's own loop was held up for {} ms", lag.count());
        }
        for (const std::unique_ptr<soak_node> &node : m_nodes)
            watchProcess(*node);
    }

    // ---- callers ----

    soak_node &anyFront()
    {
        const auto fronts = static_cast<std::size_t>(m_options.fronts);
        return *m_nodes[m_nodes.size() - 1 - m_callerChoices.below(fronts)];
    }

    // Returns a job of many short tasks, of steps one after the other, or of a gang.
    soak_job makeJob()
    {
        soak_random &random = m_callerChoices;
        soak_job job;
        job.id = fmt::format("{:016x}", (m_options.seed << 32U) + m_judge.jobs().size());
        job.queue = random.chance(0.2) ? "q0" : "q1";
        job.payload = fmt::format("payload-{}", random.between(0, 1'000'000));
        const std::int64_t kind = random.between(0, 9);
        const bool isWide = kind < 5;
        const bool isGang = kind >= 8;
        const std::size_t steps = isWide || isGang ? 1 : 1 + random.below(3);
        for (std::size_t i = 0; i < steps; ++i) {
            soak_step step;
            step.count = static_cast<std::int32_t>(isWide ? random.between(8, 32)
                                                          : random.between(isGang ? 2 : 1, 6));
            step.work = random.time(50ms, isWide ? 400ms : 3000ms);
            step.isGang = isGang;
            step.isCheckpointing = !isWide && random.chance(0.5);
            step.perTask = {isGang ? 1000 : 500, 256, !isWide && random.chance(0.3) ? 1 : 0};
            if (i > 0)
                step.after.push_back(i - 1);
            job.steps.push_back(step);
        }
        return job;
    }

    void call(const std::string &method, const soak_node &front, const soak_job &job,
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
        json body = {{"spec", job.payload}, {"steps", json::array()}};
        for (const soak_step &step : job.steps)
            body["steps"].push_back({{"count", step.count},
                                     {"cpu", step.perTask.cores},
                                     {"mem_mb", step.perTask.memory},
                                     {"gpus", step.perTask.accelerators},
                                     {"estimated_ms", step.work.count()},
                                     {"gang", step.isGang},
                                     {"checkpointing", step.isCheckpointing},
                                     {"after", step.after}});
        if (method == "POST")
            request.body = body.dump();
        m_client->send(std::move(request),
                       [callback = std::move(callback)](const result<http_response> &outcome) {
                           if (failureOf(outcome))
                               return callback(0, {});
                           callback(valueOf(outcome).status, valueOf(outcome).body);
                       });
    }

    void submit(soak_job &job)
    {
        ++job.attempts;
        const soak_node &front = anyFront();
        call("POST", front, job, [this, &job, &front](int status, const std::string &body) {
            note("caller: {} is answered {} by {}", job.id, status, front.name);
            const json answer = json::parse(body, nullptr, false);
            const int code = answer.is_object() ? answer.value("code", 0) : 0;
            onSubmitAnswered(job, status, code);
        });
    }

    void onSubmitAnswered(soak_job &job, int status, int code)
    {
        const bool isFirst = !job.acceptedAt;
        m_judge.onSubmitAnswered(job, status, now(), code);
        soak_random &random = m_callerChoices;
        const bool isUnknown = status == 0 || status == 502 || status == 504;
        if (isUnknown && !job.acceptedAt && job.attempts < submitAttempts)
            m_timers.after(random.time(100ms, 800ms), [this, &job] { submit(job); });
        if (!job.acceptedAt || !isFirst)
            return;
        if (random.chance(0.1)) // a repeated request that arrives late
            m_timers.after(random.time(200ms, 3000ms), [this, &job] { submit(job); });
        if (random.chance(0.15))
            m_timers.after(random.time(0ms, 2000ms), [this, &job] { cancel(job); });
    }

    void cancel(soak_job &job)
    {
        ++job.cancels;
        call("DELETE", anyFront(), job, [this, &job](int status, const std::string &) {
            note("caller: the cancel of {} is answered {}", job.id, status);
            m_judge.onCancelAnswered(job, status, now());
            if (!job.cancelledAt && job.cancels < cancelAttempts)
                m_timers.after(500ms, [this, &job] { cancel(job); });
        });
    }

    void askAbout(soak_job &job)
    {
        const soak_node &front = anyFront();
        call("GET", front, job,
             [this, &job, &front, askedAt = now()](int status, const std::string &body) {
                 const json parsed = json::parse(body, nullptr, false);
                 const std::string state = parsed.is_object() ? parsed.value("state", "") : "";
                 if (state != job.shown)
                     note("caller: {} is shown as {} {}", job.id, status, state);
                 m_judge.onShown(job, status, state, isInTouch(front, askedAt), askedAt);
             });
    }

    // Asks about jobs that were accepted and are not known to be over.
    void askAboutSome()
    {
        std::vector<soak_job *> open;
        for (auto &[id, job] : m_judge.jobs()) {
            if (job.acceptedAt && !job.isOver())
                open.push_back(&job);
        }
        for (int i = 0; i < 4 && !open.empty(); ++i)
            askAbout(*open[m_callerChoices.below(open.size())]);
    }

    // ---- faults ----

    // Faults come in series that overlap, with calm stretches in which the rules with a time bound
    // apply.
    void scheduleFaults()
    {
        const bool isCalm = (now() - m_startedAt) % 12s > 7s;
        for (std::int64_t i = isCalm ? 0 : m_faultChoices.between(1, 3); i > 0; --i)
            m_timers.after(m_faultChoices.time(0ms, 800ms), [this] { injectFault(); });
        m_timers.after(m_faultChoices.time(150ms, 900ms) / std::clamp(m_options.sidecars / 8, 1, 4),
                       [this] {
                           if (!m_isHealing)
                               scheduleFaults();
                       });
    }

    void injectFault()
    {
        if (m_isHealing)
            return;
        ++m_result.faults;
        soak_node *node = m_faultChoices.chance(0.35) ? planner() : nullptr;
        if (node == nullptr)
            node = m_nodes[m_faultChoices.below(m_nodes.size())].get();
        const std::int64_t kind = m_faultChoices.between(0, 17);
        if (kind < 6 || !m_options.hasOutsideFaults)
            injectServerFault();
        else if (kind < 10)
            injectProcessFault(*node);
        else if (kind < 13)
            injectLinkFault(*node);
        else
            injectStoreFault(kind < 16 ? node : nullptr);
    }

    void injectProcessFault(soak_node &node)
    {
        const std::int64_t kind = m_faultChoices.between(0, 2);
        if (node.phase != process_phase::Running)
            return;
        if (kind == 0) {
            enter(node, process_phase::Paused, m_faultChoices.time(100ms, 6000ms));
            m_processes.pause(node.name);
        } else if (kind == 1) {
            enter(node, process_phase::Down, m_faultChoices.time(2000ms, 4000ms));
            m_processes.kill(node.name);
        } else {
            enter(node, process_phase::Stopping, graceTime);
            m_processes.terminate(node.name);
        }
    }

    void injectLinkFault(soak_node &node)
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
        const duration delay = m_faultChoices.time(10ms, 400ms);
        const auto kind = static_cast<link_fault>(m_faultChoices.between(0, 5));
        constexpr const char *names[]
            = {"delayed", "reset", "silent", "cut to the target", "cut to the client", "cut"};
        note("{}: {} proxies {}, for {} ms if it ends", node.name, proxies.size(),
             names[static_cast<int>(kind)], time.count());
        disturb(node, time);
        for (soak_proxy *proxy : proxies)
            proxy->inject(kind, time, delay);
    }

    // @param node nothing for a fault that hits all processes
    void injectStoreFault(soak_node *node)
    {
        const duration time = m_faultChoices.time(200ms, 3000ms);
        // A restart shows a fault only if it meets a submission, so it comes often.
        const auto kind = m_faultChoices.chance(0.4)
            ? store_fault::Restart
            : static_cast<store_fault>(m_faultChoices.between(0, 7));
        note("store: fault {} for {}, for {} ms", static_cast<int>(kind),
             node == nullptr ? "all" : node->name, time.count());
        if (kind == store_fault::None) // the store forgets its history
            return m_model.compact(m_model.current());
        if (node != nullptr) {
            node->storeFault = {kind, now() + time};
            return disturb(*node, time);
        }
        m_storeFault = {kind, now() + time};
        m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, now() + time);
    }

    void injectServerFault()
    {
        soak_backend &server = *m_around.servers[m_faultChoices.below(m_around.servers.size())];
        const duration time = m_faultChoices.time(300ms, 5000ms);
        const auto kind = static_cast<server_fault>(
            m_faultChoices.between(0, m_options.hasSuspensions ? 8 : 7));
        soak_node &node = *findNode(server.name());
        if (kind == server_fault::Suspend) { // stops both processes of the machine
            if (node.phase != process_phase::Running)
                return;
            enter(node, process_phase::Paused, time);
            m_processes.pause(node.name);
        }
        server.inject(kind, time);
    }

    void healAll()
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
                node->phaseUntil = now();
        }
        for (const std::unique_ptr<soak_backend> &server : m_around.servers)
            server->settle();
    }

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
    std::string m_leaderKey = leaderKey("main");
    store_fault_state m_storeFault; // for all processes
    time_point m_storeDisturbedUntil{};
    soak_surroundings m_around;
    std::vector<std::unique_ptr<soak_node>> m_nodes;
    process_group m_processes;
    one_shot_timers m_timers;
    bool m_isHealing = false;
};

} // namespace

soak_result runSoak(const soak_options &options)
{
    return soak_scene(options).run();
}

} // namespace goldcrest
