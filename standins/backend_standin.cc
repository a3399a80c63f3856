// Simulated backend server with fault injection, for tests with real processes.
//
//   goldcrest-backend-standin --listen 127.0.0.1:8101 --agent 127.0.0.1:7301 --worker w1
//       --history w1.jsonl
//
// It implements the interface of docs/backend-interface.md and starts every task that it receives,
// even beyond its capacity. The payload of a task controls its simulated run:
// {"runMs", "output", "outputBytes", "fail", "usage": {"millicores", ...}}.
//
// Test control:
//   POST /standin/faults {"failEverything": bool, "ignoreStops": bool, "stopDelayMs": n,
//                         "usageLagMs": n} sets the fields that are present.
//   POST /standin/drain {"draining": bool} starts or ends a graceful shutdown.
//
// The event history contains taskStart, taskEnd, stopRequest, drain and drainEnd.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/history_log.h"
#include "goldcrest/http_backend.h"
#include "goldcrest/http_server.h"
#include "goldcrest/message_codec.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr duration updateInterval = 10ms;
constexpr duration announceInterval = 1s;
constexpr std::int32_t announcedSlots = 64;

struct backend_faults
{
    bool failEverything = false;
    bool ignoreStops = false;
    duration stopDelay = 0ms;
    duration usageLag = 1s; // from the start of a task until its usage is reported
};

struct task_plan
{
    duration runTime = 100ms;
    std::string output = "done";
    bool fail = false;
    resources usage;
};

struct standin_task
{
    backend_task view;
    task_start started;
    task_plan plan;
    gang_info gang;
    time_point startedAt;
    time_point leaseEnd;
    std::optional<time_point> stopAt;
};

json parseObject(std::string_view text)
{
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

resources parseUsage(const json &usage, const resources &reserved)
{
    return {usage.value("millicores", reserved.cores), usage.value("memoryMiB", reserved.memory),
            usage.value("accelerators", reserved.accelerators)};
}

task_plan parsePlan(const task_start &start)
{
    const json payload = parseObject(start.payload);
    task_plan plan;
    plan.runTime = duration(payload.value("runMs", plan.runTime.count()));
    plan.output = payload.value("output", plan.output);
    if (const auto bytes = payload.value("outputBytes", std::size_t(0)); bytes > 0)
        plan.output = std::string(bytes, 'x');
    plan.fail = payload.value("fail", false);
    plan.usage = parseUsage(payload.value("usage", json::object()), start.reserved);
    return plan;
}

class backend_standin
{
public:
    backend_standin(asio_event_loop &loop, std::string address, std::string agent,
                    std::string worker, const std::string &historyPath)
        : m_loop(loop)
        , m_address(std::move(address))
        , m_agent(std::move(agent))
        , m_worker(std::move(worker))
        , m_history(historyPath)
        , m_client(makeCurlClient(loop))
    { }

    result<done> start()
    {
        auto server = makeHttpServer(
            m_loop, m_address, http_limits{},
            [this](const server_request &request, const std::shared_ptr<responder> &answer) {
                answer->respond(handle(request));
            });
        if (const failure *error = failureOf(server))
            return *error;
        m_server = std::move(valueOf(server));
        m_updateTimer = m_loop.every(updateInterval, [this] { updateTasks(); });
        m_announceTimer = m_loop.every(announceInterval, [this] { announce(); });
        announce();
        return done{};
    }

private:
    server_response handle(const server_request &request)
    {
        constexpr std::string_view tasks = "/v1/tasks";
        const std::string_view path = request.path;
        if (path == "/standin/faults")
            return setFaults(parseObject(request.body));
        if (path == "/standin/drain")
            return setDraining(parseObject(request.body).value("draining", true));
        if (path == "/v1/leases")
            return renewLeases(parseObject(request.body));
        if (path == tasks)
            return request.method == "POST" ? startTask(request.body) : listTasks();
        if (path.substr(0, tasks.size()) == tasks)
            return handleTask(request, std::string(path.substr(tasks.size() + 1)));
        return {404, "application/json", {}, "{}"};
    }

    server_response handleTask(const server_request &request, const std::string &rest)
    {
        const std::size_t slash = rest.find('/');
        const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
        // The HTTP server does not decode the path, and task ids contain '/' and other reserved
        // characters.
        const result<std::string> id = decodePercent(rest.substr(0, slash));
        const auto found = failureOf(id) ? m_tasks.end() : m_tasks.find(valueOf(id));
        if (found == m_tasks.end())
            return {404, "application/json", {}, "{}"};
        standin_task &task = found->second;
        if (action == "stop")
            return stopTask(task, parseObject(request.body));
        if (action == "throttle")
            return throttleTask(task, parseObject(request.body));
        if (action == "output")
            return {200, "application/octet-stream", {}, task.view.output};
        if (request.method == "DELETE" && task.view.state != task_state::Running)
            m_tasks.erase(found);
        return {200, "application/json", {}, "{}"};
    }

    server_response startTask(const std::string &body)
    {
        const result<task_start> parsed = parseTaskStart(body);
        if (const failure *error = failureOf(parsed))
            return {400, "application/json", {}, json{{"error", error->reason}}.dump()};
        const task_start &start = valueOf(parsed);
        if (m_tasks.count(start.id) > 0)
            return {};
        standin_task task;
        task.started = start;
        task.plan = parsePlan(start);
        task.view.id = start.id;
        task.view.metadata = start.metadata;
        task.view.checkpointed = start.resumeFrom;
        task.startedAt = m_loop.now();
        task.leaseEnd = m_loop.now() + start.lease;
        const result<gang_info> gang = decodeGangInfo(start.metadata);
        if (!failureOf(gang))
            task.gang = valueOf(gang);
        m_history.write(history_event("taskStart")
                            .attempt(task.gang.attempt)
                            .text("worker", task.gang.own.worker)
                            .text("task", start.id));
        m_tasks.emplace(start.id, std::move(task));
        return {};
    }

    server_response renewLeases(const json &body)
    {
        const duration lease(body.value("leaseMs", std::int64_t(0)));
        for (const json &id : body.value("ids", json::array())) {
            const auto found = m_tasks.find(id.get<std::string>());
            if (found != m_tasks.end())
                found->second.leaseEnd = m_loop.now() + lease;
        }
        return {};
    }

    server_response listTasks()
    {
        std::vector<backend_task> views;
        for (auto &[id, task] : m_tasks) {
            updateProgress(task);
            views.push_back(task.view);
        }
        return {200, "application/json", {}, formatTaskList(views)};
    }

    server_response stopTask(standin_task &task, const json &body)
    {
        m_history.write(history_event("stopRequest").text("task", task.view.id));
        if (task.view.state != task_state::Running || m_faults.ignoreStops)
            return {};
        updateProgress(task);
        if (body.value("checkpoint", false))
            task.view.checkpointed = task.view.progress;
        task.stopAt = m_loop.now() + m_faults.stopDelay;
        return {};
    }

    static server_response throttleTask(standin_task &task, const json &body)
    {
        const resources limit
            = parseUsage(body.value("limit", json::object()), task.started.reserved);
        task.plan.usage = {std::min(task.plan.usage.cores, limit.cores),
                           std::min(task.plan.usage.memory, limit.memory),
                           std::min(task.plan.usage.accelerators, limit.accelerators)};
        return {};
    }

    server_response setFaults(const json &body)
    {
        m_faults.failEverything = body.value("failEverything", m_faults.failEverything);
        m_faults.ignoreStops = body.value("ignoreStops", m_faults.ignoreStops);
        m_faults.stopDelay = duration(body.value("stopDelayMs", m_faults.stopDelay.count()));
        m_faults.usageLag = duration(body.value("usageLagMs", m_faults.usageLag.count()));
        return {};
    }

    server_response setDraining(bool draining)
    {
        m_draining = draining;
        std::string worker;
        if (!m_tasks.empty())
            worker = m_tasks.begin()->second.gang.own.worker;
        m_history.write(history_event(draining ? "drain" : "drainEnd").text("worker", worker));
        notifyAgent("/v1/drain", json{{"draining", draining}}.dump());
        return {};
    }

    // Ends the tasks that have completed, failed, been stopped or lost their lease.
    void updateTasks()
    {
        const time_point now = m_loop.now();
        for (auto &[id, task] : m_tasks) {
            if (task.view.state != task_state::Running)
                continue;
            updateProgress(task);
            if (task.plan.fail || m_faults.failEverything)
                end(task, task_state::Failed);
            else if (task.view.progress >= 1)
                end(task, task_state::Succeeded);
            else if (now >= task.leaseEnd || (task.stopAt && now >= *task.stopAt))
                end(task, task_state::Stopped);
        }
    }

    void updateProgress(standin_task &task)
    {
        if (task.view.state != task_state::Running)
            return;
        task.view.ranFor = m_loop.now() - task.startedAt;
        const double addedProgress = task.plan.runTime > 0ms
            ? static_cast<double>(task.view.ranFor.count())
                / static_cast<double>(task.plan.runTime.count())
            : 1;
        task.view.progress = std::min(1.0, task.started.resumeFrom + addedProgress);
        if (task.view.ranFor >= m_faults.usageLag)
            task.view.used = task.plan.usage;
    }

    void end(standin_task &task, task_state state)
    {
        task.view.state = state;
        if (state == task_state::Succeeded)
            task.view.output = task.plan.output;
        m_history.write(history_event("taskEnd")
                            .attempt(task.gang.attempt)
                            .text("worker", task.gang.own.worker)
                            .text("task", task.view.id)
                            .text("state", nameOf(state)));
    }

    void announce()
    {
        constexpr resources anyCapacity{64000, 262144, 8};
        notifyAgent("/v1/announce", formatAnnouncement({m_address, announcedSlots, anyCapacity}));
        if (m_draining)
            notifyAgent("/v1/drain", json{{"draining", true}}.dump());
    }

    void notifyAgent(const std::string &path, std::string body)
    {
        http_request request;
        request.method = "POST";
        request.url = "http://" + m_agent + path;
        request.body = std::move(body);
        m_client->send(std::move(request), [](const result<http_response> &) {});
    }

    asio_event_loop &m_loop;
    std::string m_address;
    std::string m_agent;
    std::string m_worker;
    history_log m_history;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_server> m_server;
    backend_faults m_faults;
    bool m_draining = false;
    std::map<std::string, standin_task> m_tasks;
    timer_handle m_updateTimer;
    timer_handle m_announceTimer;
};

int run(const std::string &listen, const std::string &agent, const std::string &worker,
        const std::string &history)
{
    asio_event_loop loop;
    backend_standin standin(loop, listen, agent, worker, history);
    const result<done> started = standin.start();
    if (const failure *error = failureOf(started)) {
        std::cerr << error->reason << '\n';
        return EXIT_FAILURE;
    }
    loop.onSignal([&] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

} // namespace goldcrest

int main(int argc, char **argv)
{
    cxxopts::Options options("goldcrest-backend-standin", "Backend server for tests");
    options.add_options()("listen", "host:port", cxxopts::value<std::string>())(
        "agent", "host:port where the agent takes announcements", cxxopts::value<std::string>())(
        "worker", "name for the history", cxxopts::value<std::string>()->default_value(""))(
        "history", "file for the event history",
        cxxopts::value<std::string>()->default_value(""))("help", "usage");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        return goldcrest::run(parsed["listen"].as<std::string>(), parsed["agent"].as<std::string>(),
                              parsed["worker"].as<std::string>(),
                              parsed["history"].as<std::string>());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n' << options.help();
        return EXIT_FAILURE;
    }
}
