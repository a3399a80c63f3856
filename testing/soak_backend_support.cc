#include "testing/soak_backend_support.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr duration tickInterval = 5ms;
constexpr duration checkInInterval = 1500ms;
constexpr std::int64_t longestLeaseMs = 10'000; // max_hold_ms
constexpr std::int64_t stopTimeMs = 200; // stop_timeout_ms
constexpr std::int64_t gangTimeoutMs = 3000;
constexpr std::int64_t checkpointIntervalMs = 1000;
constexpr std::int64_t restoreMs = 100;
constexpr duration drainTime = 2s; // drain_ms
constexpr std::size_t endsPerAnswer = 500;
constexpr std::int64_t overtakeUs = 1000; // calls within this time overtake each other
// Orders that were placed with the earlier capacity may still arrive for this long.
constexpr duration capacityNewsTime = 10s;

std::int64_t unixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string gangName(const std::string &unit, std::int32_t run)
{
    return unit + "#" + std::to_string(run);
}

json capacityBody(const resources &capacity)
{
    return {{"cpu", capacity.cores}, {"mem_mb", capacity.memory}, {"gpus", capacity.accelerators}};
}

} // namespace

soak_backend::soak_backend(soak_surroundings &around, soak_backend_options options)
    : m_around(around)
    , m_options(std::move(options))
    , m_timers(around.loop)
    , m_capacity(m_options.capacity)
{
    around.servers.push_back(this);
}

soak_backend::~soak_backend() = default;

// ---- lifetimes -----------------------------------------------------------------------------

std::string soak_backend::lifeName() const
{
    return fmt::format("i-{}-{}", m_options.name, m_idNumber);
}

std::int64_t soak_backend::clock() const
{
    const time_point now = m_suspendedAt.value_or(m_around.loop.now());
    const std::int64_t passed = (now - m_startedAt - m_stoodStill).count();
    return m_hasSlowClock ? passed * 98 / 100 : passed;
}

bool soak_backend::isAway() const
{
    return m_suspendedAt || m_around.loop.now() < m_hangsUntil;
}

void soak_backend::begin(bool withSameId)
{
    if (m_server)
        return;
    ++m_life;
    if (!withSameId || m_idNumber == 0) {
        ++m_idNumber;
        m_hasSlowClock = m_around.random.chance(0.3);
    }
    m_born = std::max(unixMs(), m_born + 1);
    m_startedAt = m_around.loop.now();
    m_stoodStill = 0ms;
    m_suspendedAt.reset();
    m_hangsUntil = {};
    m_isDraining = m_isLeaving = false;
    m_sequence = m_token = m_leaseEnds = m_lastEnd = 0;
    m_capacity = m_options.capacity;
    m_announced.clear();
    m_highestOver.clear();
    m_ended.clear();
    m_server = std::make_unique<soak_http_server>(
        m_around.loop, m_options.port,
        [this](const http_request &request, const respond_function &respond) {
            receive(request, respond);
        });
    m_around.note(fmt::format("{}: lifetime {} begins, born={}", name(), lifeName(), m_born));
    m_tickTimer = m_around.loop.every(tickInterval, [this] { tick(); });
    m_checkInTimer = m_around.loop.every(checkInInterval, [this] { sendCheckIn(); });
    const int life = m_life;
    m_timers.after(m_around.random.time(0ms, 300ms), [this, life] {
        if (life == m_life && m_server)
            sendCheckIn();
    });
}

void soak_backend::endLifetime()
{
    ++m_life;
    m_timers.destroyLater(std::move(m_tickTimer));
    m_timers.destroyLater(std::move(m_checkInTimer));
    m_queries.clear();
    m_held.clear();
    for (auto &[key, run] : std::exchange(m_running, {})) {
        m_around.judge.onEnd(*run.record, "lost", m_around.loop.now());
        if (run.isGang)
            breakGang(gangName(run.unit, key.second));
    }
    m_server.reset();
    m_around.note(fmt::format("{}: lifetime {} has ended", name(), lifeName()));
}

void soak_backend::crash(duration away, bool withSameId)
{
    if (!m_server)
        return;
    endLifetime();
    m_timers.after(away, [this, withSameId] { begin(withSameId); });
}

void soak_backend::hang(duration time)
{
    if (!m_server || isAway())
        return;
    m_around.note(fmt::format("{}: hangs for {} ms", name(), time.count()));
    m_hangsUntil = m_around.loop.now() + time;
}

void soak_backend::suspend(duration time)
{
    if (!m_server || isAway())
        return;
    m_around.note(fmt::format("{}: suspended for {} ms", name(), time.count()));
    m_suspendedAt = m_around.loop.now();
    const int life = m_life;
    m_timers.after(time, [this, life] {
        if (life != m_life || !m_suspendedAt)
            return;
        m_stoodStill += m_around.loop.now() - *m_suspendedAt;
        m_suspendedAt.reset();
    });
}

void soak_backend::drain()
{
    if (!m_server || m_isDraining)
        return;
    m_around.note(name() + ": drains");
    m_isDraining = true;
    sendCheckIn();
    const int life = m_life;
    // A server that gets no acknowledgement ends anyway.
    m_timers.after(8s, [this, life] {
        if (life == m_life && m_server && !m_isLeaving)
            leave();
    });
}

void soak_backend::leave()
{
    m_isLeaving = true;
    http_request request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}/v1/Instances.Deregister/{}",
                              m_options.controlPort, lifeName());
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = json{{"born", m_born}}.dump();
    request.timeout = 2s;
    const duration away = m_around.random.time(200ms, 3000ms);
    m_around.client.send(std::move(request),
                         [this, life = m_life, away](const result<http_response> &) {
                             if (life == m_life)
                                 crash(away, false);
                         });
}

void soak_backend::shrink(duration time)
{
    m_capacity.cores = m_options.capacity.cores / 2;
    m_capacity.memory = m_options.capacity.memory / 2;
    m_around.note(fmt::format("{}: half of the capacity for {} ms", name(), time.count()));
    m_timers.after(time, [this] { m_capacity = m_options.capacity; });
}

void soak_backend::delayCheckIns(duration time)
{
    m_checkInsLateUntil = m_around.loop.now() + time;
}

void soak_backend::delayCalls(duration time)
{
    m_around.note(fmt::format("{}: late calls for {} ms", name(), time.count()));
    m_callsLateUntil = m_around.loop.now() + time;
}

void soak_backend::settle()
{
    m_isSettled = true;
    m_callsLateUntil = m_checkInsLateUntil = m_hangsUntil = {};
    m_capacity = m_options.capacity;
}

// ---- check-ins -----------------------------------------------------------------------------

void soak_backend::sendCheckIn()
{
    if (isAway() && (m_suspendedAt || m_around.random.chance(0.5)))
        return;
    json body = {{"service", "svc"},
                 {"address", fmt::format("127.0.0.1:{}", m_options.port)},
                 {"zone", m_options.failureDomain},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", m_isDraining ? "draining" : "ready"},
                 {"cold_remaining_ms", 0},
                 {"capacity", capacityBody(m_capacity)},
                 {"labels", m_options.labels},
                 {"clock_ms", clock()},
                 {"born", m_born},
                 {"sequence", ++m_sequence}};
    if (m_isDraining)
        body["drain_remaining_ms"] = drainTime.count();
    if (m_announced.empty() || m_announced.back().amount != m_capacity)
        m_announced.push_back({m_capacity, std::nullopt});
    check_in next{m_life, lifeName(), body.dump(), m_isDraining, m_capacity};
    if (m_around.loop.now() >= m_checkInsLateUntil)
        return postCheckIn(next);
    // The check-in may arrive after later ones, and after the end of this lifetime.
    m_timers.after(m_around.random.time(0ms, 3000ms),
                   [this, next = std::move(next)] { postCheckIn(next); });
}

void soak_backend::postCheckIn(const check_in &sent)
{
    http_request request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}/v1/Instances.Heartbeat/{}",
                              m_options.controlPort, sent.id);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = sent.body;
    request.timeout = 1s;
    m_around.client.send(std::move(request), [this, sent](const result<http_response> &outcome) {
        if (sent.life == m_life && !failureOf(outcome) && valueOf(outcome).status == 200)
            onCheckInAcknowledged(sent);
    });
}

void soak_backend::onCheckInAcknowledged(const check_in &sent)
{
    for (announced_capacity &earlier : m_announced) {
        if (sent.capacity == m_announced.back().amount && earlier.amount != sent.capacity
            && !earlier.supersededAt)
            earlier.supersededAt = m_around.loop.now();
    }
    if (!sent.isDraining || m_isLeaving)
        return;
    m_isLeaving = true;
    const int life = m_life;
    m_timers.after(drainTime + m_around.random.time(0ms, 4000ms), [this, life] {
        if (life == m_life && m_server)
            leave();
    });
}

void soak_backend::sendOddCheckIn()
{
    const auto withCapacity = [this](const std::string &cores, const std::string &service) {
        return fmt::format(
            R"({{"service":"{}","zone":"north","state":"ready","labels":["a","r1"],)"
            R"("address":"127.0.0.1:{}","capacity":{{"cpu":{},"mem_mb":1,"gpus":0}},)"
            R"("sequence":1,"born":{}}})",
            service, m_options.port, cores, m_born + 1000);
    };
    const std::vector<std::string> bodies
        = {withCapacity("1000", "another"), withCapacity("1e300", "svc"),
           withCapacity(std::string(20'000, '[') + std::string(20'000, ']'), "svc"), "{\"state\":"};
    http_request request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}/v1/Instances.Heartbeat/i-odd-{}",
                              m_options.controlPort, m_around.random.below(3));
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = bodies[m_around.random.below(bodies.size())];
    request.timeout = 1s;
    m_around.client.send(std::move(request), [](const result<http_response> &) {});
}

resources soak_backend::largestAnnounced() const
{
    resources largest;
    for (const announced_capacity &one : m_announced) {
        // The planner may know an earlier capacity until the check-in with the new one has come to
        // it.
        if (one.supersededAt && *one.supersededAt + capacityNewsTime < m_around.loop.now())
            continue;
        largest.cores = std::max(largest.cores, one.amount.cores);
        largest.memory = std::max(largest.memory, one.amount.memory);
        largest.accelerators = std::max(largest.accelerators, one.amount.accelerators);
    }
    return largest;
}

// ---- calls ---------------------------------------------------------------------------------

void soak_backend::receive(const http_request &request, const respond_function &respond)
{
    soak_random &random = m_around.random;
    if (isAway()) {
        m_held.push_back({request, respond, {}});
        return;
    }
    const int life = m_life;
    const bool hasTrouble = m_around.loop.now() < m_callsLateUntil;
    if (hasTrouble && random.chance(0.2)) {
        const auto ignore = [](int, const std::string &) {};
        return m_timers.after(random.time(300ms, 4000ms), [this, life, request, ignore] {
            if (life == m_life)
                carryOut(request, ignore, true);
        });
    }
    const bool losesAnswer = hasTrouble && random.chance(0.1);
    const std::int64_t answerDelay = random.chance(0.3) ? random.between(0, overtakeUs) : 0;
    const auto answerLater
        = [this, respond, losesAnswer, answerDelay](int status, const std::string &body) {
              if (losesAnswer)
                  return;
              afterMicroseconds(m_around.loop, answerDelay,
                                [respond, status, body] { respond(status, body); });
          };
    const std::int64_t delay = random.chance(0.5) ? random.between(0, overtakeUs) : 0;
    afterMicroseconds(m_around.loop, delay, [this, life, request, answerLater] {
        if (life == m_life)
            carryOut(request, answerLater, false);
    });
}

void soak_backend::carryOut(const http_request &request, const respond_function &respond,
                            bool isLate)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respondTo(respond, {400, json::object()});
    for (const auto &[header, value] : request.headers) {
        if (header == "expected-instance" && value != lifeName())
            return respondTo(respond, {421, json::object()});
    }
    if (isFenced(body))
        return respondTo(respond, {409, {{"reason", "fence"}}});
    if (request.url == "/v1/run-start")
        return respondTo(respond, start(body, isLate));
    if (request.url == "/v1/run-stop")
        return respondTo(respond, stop(body));
    if (request.url == "/v1/hold")
        return query(body, respond);
    respondTo(respond, {200, json::object()});
}

void soak_backend::respondTo(const respond_function &respond, const answer &reply) const
{
    json body = reply.second;
    body["clock_ms"] = clock();
    body["born"] = m_born;
    respond(reply.first, body.dump());
}

bool soak_backend::isFenced(const json &body)
{
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

// A lease covers everything that runs here. It never gets shorter, and is limited.
void soak_backend::extendLease(const json &body)
{
    expire();
    const std::int64_t wanted = body.value("deadline_ms", std::int64_t{0});
    m_leaseEnds = std::max(m_leaseEnds, std::min(wanted, clock() + longestLeaseMs));
}

soak_backend::answer soak_backend::start(const json &body, bool isLate)
{
    if (!m_isSettled && m_around.random.chance(0.002))
        return {503, json::object()};
    extendLease(body);
    const run_key key{body.value("task", ""), body.value("run", 0)};
    if (m_running.count(key) > 0)
        return {200, json::object()};
    if (key.second <= m_highestOver[key.first])
        return {409, {{"reason", "old"}}};
    if (m_leaseEnds <= clock())
        return {409, {{"reason", "late"}}};
    live_run run = makeRun(body);
    resources used = run.room;
    for (const auto &[other, present] : m_running)
        used += present.room;
    const bool fits = used.cores <= m_capacity.cores && used.memory <= m_capacity.memory
        && used.accelerators <= m_capacity.accelerators;
    if (m_around.isGuarding && !fits)
        return {409, {{"reason", "room"}}};
    for (soak_backend *server : m_around.servers)
        server->expire();
    soak_start order{name(),
                     key.first,
                     key.second,
                     body.value("spec", ""),
                     body.value("saved", ""),
                     isLate,
                     m_around.isInTouch(name())};
    m_around.note(fmt::format("{}: run {} of {} starts{}, fence {}", name(), key.second, key.first,
                              isLate ? ", late" : "", m_token));
    run.record = &m_around.judge.onStart(order, m_around.loop.now());
    if (!m_around.isGuarding)
        m_around.judge.onLoad(name(), key.first, used, largestAnnounced());
    const bool isGang = run.isGang;
    m_running[key] = std::move(run);
    if (isGang)
        joinGang(key);
    return {200, json::object()};
}

soak_backend::live_run soak_backend::makeRun(const json &body) const
{
    live_run run;
    run.unit = body.value("task", "");
    run.arrivedAt = clock();
    const std::optional<soak_task_name> task = parseSoakTask(run.unit);
    const soak_job *job = task ? m_around.judge.findJob(task->job) : nullptr;
    if (job == nullptr || task->step >= job->steps.size())
        return run;
    const soak_step &step = job->steps[task->step];
    run.room = step.perTask;
    run.isGang = step.isGang;
    run.gangSize = step.count;
    run.isCheckpointing = step.isCheckpointing;
    run.work = step.work.count();
    if (step.isGang)
        run.unit = run.unit.substr(0, run.unit.rfind('.'));
    else
        run.begunAt = run.arrivedAt;
    const std::string saved = body.value("saved", "");
    const std::size_t slash = saved.find('/');
    if (slash != std::string::npos) {
        run.doneBefore = std::atoll(saved.c_str() + slash + 1);
        run.work = std::max<std::int64_t>(0, run.work - run.doneBefore) + restoreMs;
    }
    if (!m_isSettled && m_around.random.chance(step.isGang ? 0.005 : 0.02))
        run.failsAfter = m_around.random.between(0, run.work);
    return run;
}

soak_backend::answer soak_backend::stop(const json &body)
{
    expire();
    const run_key stopped{body.value("task", ""), body.value("run", 0)};
    m_highestOver[stopped.first] = std::max(m_highestOver[stopped.first], stopped.second);
    for (auto &[key, run] : m_running) {
        if (key.first != stopped.first || key.second > stopped.second || run.stopsAt)
            continue;
        m_around.note(fmt::format("{}: run {} of {} is to stop", name(), key.second, key.first));
        run.stopsAt = clock() + m_around.random.between(0, stopTimeMs);
        run.isHidden = m_around.random.chance(0.5);
    }
    return {200, json::object()};
}

void soak_backend::query(const json &body, const respond_function &respond)
{
    extendLease(body);
    const std::int64_t seen = body.value("last_seen", std::int64_t{0});
    for (const ended_run &one : m_ended) {
        if (one.number > seen)
            continue;
        m_around.note(fmt::format("{}: end {} of run {} of {} is noted", name(), one.record->how,
                                  one.record->number, one.record->task));
        m_around.judge.onNoted(*one.record, m_lapsedAt >= *one.record->endedAt);
    }
    m_ended.remove_if([seen](const ended_run &one) { return one.number <= seen; });
    const duration wait(body.value("wait_ms", std::int64_t{0}));
    if (!m_ended.empty() || wait == 0ms)
        return respondTo(respond, {200, statusBody()});
    m_queries.push_back({{}, respond, m_around.loop.now() + wait});
}

json soak_backend::statusBody() const
{
    json running = json::array();
    for (const auto &[key, run] : m_running) {
        const std::int64_t percent = workDone(run) * 100 / std::max<std::int64_t>(1, run.work);
        if (!run.isHidden)
            running.push_back({key.first, key.second, savedBy(run, false),
                               std::clamp<std::int64_t>(percent, 0, 99), run.room.cores});
    }
    json ended = json::array();
    for (const ended_run &one : m_ended) {
        if (ended.size() == endsPerAnswer)
            break;
        ended.push_back(
            {one.number, one.record->task, one.record->number, one.record->how, one.saved});
    }
    return {{"running", std::move(running)}, {"ended", std::move(ended)}};
}

void soak_backend::answerQueries()
{
    std::vector<waiting_call> waiting;
    for (waiting_call &one : std::exchange(m_queries, {})) {
        if (m_ended.empty() && m_around.loop.now() < one.until)
            waiting.push_back(std::move(one));
        else
            respondTo(one.respond, {200, statusBody()});
    }
    m_queries = std::move(waiting);
}

// ---- runs ----------------------------------------------------------------------------------

std::int64_t soak_backend::workDone(const live_run &run) const
{
    return run.begunAt ? std::min(clock() - *run.begunAt, run.work) : 0;
}

// Returns UNIT/MS, the work that a start with this value doesn't repeat.
std::string soak_backend::savedBy(const live_run &run, bool isStopped) const
{
    const std::int64_t done = workDone(run) + run.doneBefore;
    const std::int64_t kept = isStopped ? done : done / checkpointIntervalMs * checkpointIntervalMs;
    if (!run.isCheckpointing || kept == 0)
        return "";
    return fmt::format("{}/{}", run.unit, kept);
}

void soak_backend::endRun(const run_key &key, const std::string &how)
{
    const auto found = m_running.find(key);
    if (found == m_running.end())
        return;
    const live_run run = found->second;
    m_running.erase(found);
    m_around.judge.onEnd(*run.record, how, m_around.loop.now());
    m_highestOver[key.first] = std::max(m_highestOver[key.first], key.second);
    m_ended.push_back({++m_lastEnd, run.record, savedBy(run, how == "stopped")});
    m_around.note(fmt::format("{}: run {} of {} ends {}", name(), key.second, key.first, how));
    if (run.isGang && how != "done")
        breakGang(gangName(run.unit, key.second));
}

// The work of a gang starts when all of its members are present.
void soak_backend::joinGang(const run_key &key)
{
    const live_run &joined = m_running.at(key);
    auto &members = m_around.gangs[gangName(joined.unit, key.second)];
    members.emplace_back(this, key.first);
    if (static_cast<std::int32_t>(members.size()) < joined.gangSize)
        return;
    for (const auto &[server, task] : members) {
        live_run &member = server->m_running.at({task, key.second});
        member.begunAt = server->clock();
    }
}

// One member of a gang has ended other than done, so the others end broken.
void soak_backend::breakGang(const std::string &gang)
{
    const auto found = m_around.gangs.find(gang);
    if (found == m_around.gangs.end())
        return;
    const std::int32_t run = std::atoi(gang.c_str() + gang.find('#') + 1);
    const auto members = found->second;
    m_around.gangs.erase(found);
    for (const auto &[server, task] : members) {
        if (server->m_running.count({task, run}) > 0 && server->m_running.at({task, run}).begunAt)
            server->endRun({task, run}, "broken");
    }
}

void soak_backend::expire()
{
    if (m_suspendedAt || !m_server || clock() <= m_leaseEnds)
        return;
    m_lapsedAt = m_around.loop.now();
    std::vector<run_key> all;
    for (const auto &[key, run] : m_running)
        all.push_back(key);
    for (const run_key &key : all)
        endRun(key, "lapsed");
}

// Returns how a run ends now, or nothing if it goes on.
std::string soak_backend::dueEnd(const live_run &run) const
{
    if (run.stopsAt && clock() >= *run.stopsAt)
        return "stopped";
    if (run.stopsAt)
        return "";
    if (!run.begunAt)
        return clock() - run.arrivedAt > gangTimeoutMs ? "alone" : "";
    if (run.failsAfter && clock() - *run.begunAt >= *run.failsAfter)
        return "failed";
    return clock() - *run.begunAt >= run.work ? "done" : "";
}

void soak_backend::tick()
{
    if (m_suspendedAt)
        return;
    expire();
    std::vector<std::pair<run_key, std::string>> over;
    for (const auto &[key, run] : m_running) {
        std::string how = dueEnd(run);
        if (!how.empty())
            over.emplace_back(key, std::move(how));
    }
    for (const auto &[key, how] : over) {
        const auto run = m_running.find(key);
        if (run == m_running.end())
            continue;
        const auto gang = m_around.gangs.find(gangName(run->second.unit, key.second));
        if (how != "done" || !run->second.isGang || gang == m_around.gangs.end()) {
            endRun(key, how);
            continue;
        }
        const auto members = gang->second;
        m_around.gangs.erase(gang);
        for (const auto &[server, task] : members)
            server->endRun({task, key.second}, "done");
    }
    if (isAway())
        return;
    for (const waiting_call &call : std::exchange(m_held, {})) {
        const int life = m_life;
        afterMicroseconds(m_around.loop, m_around.random.between(0, overtakeUs),
                          [this, life, call] {
                              if (life == m_life)
                                  carryOut(call.request, call.respond, true);
                          });
    }
    answerQueries();
}

} // namespace goldcrest
