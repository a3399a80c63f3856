#include "review/stage-2/backend.h"

#include "goldcrest/http_client.h"
#include "review/stage-2/stage.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace goldcrest::review {

namespace {

using nlohmann::json;

constexpr duration tickInterval = 5ms;
constexpr duration checkInInterval = 1500ms;
constexpr std::int64_t longestLeaseMs = 10'000;
constexpr std::size_t endsPerAnswer = 500;
constexpr duration awayAfterCrash = 3s;

} // namespace

backend::backend(stage &scene, const backend_options &options)
    : m_scene(scene)
    , m_options(options)
{ }

backend::~backend() = default;

void backend::begin()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    m_startedAt = m_scene.now();
    m_server = std::make_unique<soak_http_server>(
        m_scene.loop(), m_options.port,
        [this](const soak_request &request, const soak_http_server::respond_function &respond) {
            receive(request, respond);
        });
    m_tickTimer = m_scene.loop().every(tickInterval, [this] { tick(); });
    m_checkInTimer = m_scene.loop().every(checkInInterval, [this] { sendCheckIn(); });
    sendCheckIn();
}

void backend::crash(duration away)
{
    for (const auto &[key, run] : std::exchange(m_running, {}))
        m_scene.noteEnd(key.first, "lost");
    m_queries.clear();
    m_ended.clear();
    m_highestOver.clear();
    m_sequence = m_token = m_leaseEnds = m_lastEnd = 0;
    m_tickTimer.reset();
    m_checkInTimer.reset();
    m_server.reset();
    m_returnTimer = m_scene.loop().after(away, [this] { begin(); });
}

std::vector<std::string> backend::runningTasks() const
{
    std::vector<std::string> tasks;
    tasks.reserve(m_running.size());
    for (const auto &[key, run] : m_running)
        tasks.push_back(key.first);
    return tasks;
}

std::int64_t backend::clock() const
{
    return (m_scene.now() - m_startedAt).count() + 1;
}

void backend::sendCheckIn()
{
    const json body = {{"service", "svc"},
                       {"address", fmt::format("127.0.0.1:{}", m_options.port)},
                       {"zone", m_options.failureDomain},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"capacity",
                        {{"cpu", m_options.capacity.cores},
                         {"mem_mb", m_options.capacity.memory},
                         {"gpus", m_options.capacity.accelerators}}},
                       {"labels", m_options.labels},
                       {"clock_ms", clock()},
                       {"sequence", ++m_sequence},
                       {"born", m_born}};
    http_request request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}/v1/Instances.Heartbeat/{}", m_options.port + 1,
                              m_options.id);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body.dump();
    request.timeout = 1s;
    m_scene.client().send(std::move(request), [](const result<http_response> &) {});
}

void backend::respondTo(const soak_http_server::respond_function &respond, int status,
                        json body) const
{
    body["clock_ms"] = clock();
    body["born"] = m_born;
    respond(status, body.dump());
}

void backend::receive(const soak_request &request,
                      const soak_http_server::respond_function &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respondTo(respond, 400, json::object());
    if (!request.instance.empty() && request.instance != m_options.id)
        return respondTo(respond, 421, json::object());
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < m_token)
        return respondTo(respond, 409, {{"reason", "fence"}});
    m_token = token;
    if (request.target == "/v1/hold")
        return query(body, respond);
    const bool isStart = request.target == "/v1/run-start";
    if (isStart && body.value("spec", "") == "crashes")
        return crashUnder(body);
    json answer = json::object();
    int status = 200;
    if (isStart)
        status = start(body, answer);
    else if (request.target == "/v1/run-stop")
        stop({body.value("task", ""), body.value("run", 0)});
    respondTo(respond, status, answer);
}

// Begins a task under which this server crashes at once.
void backend::crashUnder(const json &body)
{
    const std::string task = body.value("task", "");
    m_scene.noteStart({m_options.id, task, body.value("run", 0), m_scene.now()});
    m_scene.noteEnd(task, "lost");
    m_scene.loop().post([this] {
        if (!m_server)
            return;
        m_scene.write(fmt::format("{} crashes, for {} ms", m_options.id, awayAfterCrash.count()));
        crash(awayAfterCrash);
    });
}

void backend::extendLease(const json &body)
{
    const std::int64_t wanted = body.value("deadline_ms", std::int64_t{0});
    m_leaseEnds = std::max(m_leaseEnds, std::min(wanted, clock() + longestLeaseMs));
}

int backend::start(const json &body, json &answer)
{
    extendLease(body);
    const run_key key{body.value("task", ""), body.value("run", 0)};
    if (m_running.count(key) > 0)
        return 200;
    if (key.second <= m_highestOver[key.first]) {
        answer["reason"] = "old";
        return 409;
    }
    if (m_leaseEnds <= clock()) {
        answer["reason"] = "late";
        return 409;
    }
    const std::string text = body.value("spec", "");
    const std::size_t work = text.find("work_ms=");
    live_run run;
    run.startedAt = clock();
    run.lasts = text.find("lasts") != std::string::npos;
    if (work != std::string::npos)
        run.work = std::atoll(text.c_str() + work + 8);
    m_running[key] = run;
    m_scene.noteStart({m_options.id, key.first, key.second, m_scene.now()});
    return 200;
}

void backend::stop(const run_key &stopped)
{
    m_highestOver[stopped.first] = std::max(m_highestOver[stopped.first], stopped.second);
    std::vector<run_key> ending;
    for (const auto &[key, run] : m_running) {
        if (key.first == stopped.first && key.second <= stopped.second)
            ending.push_back(key);
    }
    for (const run_key &key : ending)
        endRun(key, "stopped");
}

void backend::endRun(const run_key &key, const std::string &how)
{
    m_running.erase(key);
    m_highestOver[key.first] = std::max(m_highestOver[key.first], key.second);
    m_ended.push_back({++m_lastEnd, key, how});
    m_scene.noteEnd(key.first, how);
}

void backend::query(const json &body, const soak_http_server::respond_function &respond)
{
    m_isQueried = true;
    extendLease(body);
    const std::int64_t seen = body.value("last_seen", std::int64_t{0});
    m_ended.remove_if([seen](const ended_run &one) { return one.number <= seen; });
    m_queries.push_back({respond, clock() + body.value("wait_ms", std::int64_t{0})});
    answerQueries();
}

void backend::answerQueries()
{
    std::vector<waiting_query> waiting;
    for (waiting_query &one : std::exchange(m_queries, {})) {
        if (m_ended.empty() && clock() < one.until) {
            waiting.push_back(std::move(one));
            continue;
        }
        json running = json::array();
        for (const auto &[key, run] : m_running) {
            const std::int64_t worked = clock() - run.startedAt;
            // A task that lasts is at work after a short startup.
            const std::int64_t percent = run.lasts
                ? std::min<std::int64_t>(100, worked / 5)
                : worked * 99 / std::max<std::int64_t>(1, run.work);
            running.push_back({key.first, key.second, "", percent, 0});
        }
        json ended = json::array();
        for (const ended_run &end : m_ended) {
            if (ended.size() < endsPerAnswer)
                ended.push_back({end.number, end.key.first, end.key.second, end.how, ""});
        }
        respondTo(one.respond, 200, {{"running", std::move(running)}, {"ended", std::move(ended)}});
    }
    m_queries = std::move(waiting);
}

void backend::tick()
{
    std::vector<std::pair<run_key, std::string>> ending;
    for (const auto &[key, run] : m_running) {
        if (clock() > m_leaseEnds)
            ending.emplace_back(key, "lapsed");
        else if (!run.lasts && clock() - run.startedAt >= run.work)
            ending.emplace_back(key, "done");
    }
    for (const auto &[key, how] : ending)
        endRun(key, how);
    answerQueries();
}

} // namespace goldcrest::review
