#include "testing/soak_backend_support.h"

#include "standins/one_shot_timers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <list>
#include <optional>

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
constexpr duration unheardDrainTime = 8s; // a server that gets no acknowledgement leaves anyway
constexpr std::size_t endsPerAnswer = 500;
constexpr std::int64_t overtakeUs = 1000; // calls within this time overtake each other
// Orders that were placed with the earlier capacity may still arrive for this long.
constexpr duration capacityNewsTime = 10s;

std::int64_t unixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

class server_model final : public soak_backend
{
public:
    server_model(soak_surroundings &around, soak_backend_options options)
        : m_around(around)
        , m_options(std::move(options))
        , m_timers(around.loop)
    { }

    const std::string &name() const override { return m_options.name; }

    void begin() override
    {
        m_hasSlowClock = m_around.random.chance(0.3);
        m_born = std::max(unixMs(), m_born + 1);
        m_startedAt = now();
        m_stoodStill = 0ms;
        m_suspendedAt.reset();
        m_hangsUntil = m_refusesUntil = {};
        m_isDraining = m_isLeaving = false;
        m_sequence = m_token = m_leaseEnds = m_lastEnd = 0;
        m_capacity = m_options.capacity;
        m_announced.clear();
        m_highestOver.clear();
        m_ended.clear();
        m_server = std::make_unique<soak_http_server>(
            m_around.loop, m_options.port,
            [this](const soak_request &request, const respond_function &respond) {
                receive(request, respond);
            });
        note("lifetime {} begins, born={}", lifeName(), m_born);
        m_tickTimer = m_around.loop.every(tickInterval, [this] { tick(); });
        m_checkInTimer = m_around.loop.every(checkInInterval, [this] { sendCheckIn(); });
        inThisLife(m_around.random.time(0ms, 300ms), [this] { sendCheckIn(); });
    }

    void inject(server_fault kind, duration time) override
    {
        if (!m_server || isAway())
            return;
        constexpr const char *names[]
            = {"crash",          "hang",       "drain",   "shrink", "odd check-in",
               "late check-ins", "late calls", "refusal", "suspend"};
        note("{} for {} ms", names[static_cast<int>(kind)], time.count());
        switch (kind) {
        case server_fault::Crash:
            return crash(time, m_around.random.chance(0.5));
        case server_fault::Hang:
            m_hangsUntil = now() + time;
            return;
        case server_fault::Drain:
            m_isDraining = true;
            sendCheckIn();
            return inThisLife(unheardDrainTime, [this] { leave(); });
        case server_fault::Shrink:
            m_capacity.cores = m_options.capacity.cores / 2;
            m_capacity.memory = m_options.capacity.memory / 2;
            return m_timers.after(time, [this] { m_capacity = m_options.capacity; });
        case server_fault::OddCheckIn:
            return sendOddCheckIn();
        case server_fault::LateCheckIns:
            m_checkInsLateUntil = now() + time;
            return;
        case server_fault::LateCalls:
            m_callsLateUntil = now() + time;
            return;
        case server_fault::Refusal:
            m_refusesUntil = now() + time;
            return;
        case server_fault::Suspend:
            m_suspendedAt = now();
            inThisLife(time, [this] { resume(); });
        }
    }

    void settle() override
    {
        m_isSettled = true;
        resume();
        m_callsLateUntil = m_checkInsLateUntil = m_hangsUntil = m_refusesUntil = {};
        m_capacity = m_options.capacity;
    }

    void expire() override
    {
        if (m_suspendedAt || !m_server || clock() <= m_leaseEnds)
            return;
        m_lapsedAt = now();
        const auto running = m_running;
        for (const auto &[key, run] : running)
            endRun(key.first, key.second, "lapsed");
    }

    void beginWork(const std::string &task, std::int32_t run) override
    {
        const auto found = m_running.find({task, run});
        if (found != m_running.end())
            found->second.begunAt = clock();
    }

    void endRun(const std::string &task, std::int32_t run, const std::string &how) override
    {
        const auto found = m_running.find({task, run});
        if (found == m_running.end())
            return;
        const std::string gang = gangName(found->first);
        m_around.judge.onEnd(*found->second.record, how, now());
        m_highestOver[task] = std::max(m_highestOver[task], run);
        m_ended.push_back(
            {++m_lastEnd, found->second.record, savedBy(found->second, how == "stopped")});
        note("run {} of {} ends {}", run, task, how);
        m_running.erase(found);
        if (how != "done")
            breakGang(gang);
    }

private:
    using respond_function = soak_http_server::respond_function;
    using run_key = std::pair<std::string, std::int32_t>; // task and run
    using answer = std::pair<int, json>; // status and body

    struct live_run
    {
        soak_run *record = nullptr;
        soak_step step;
        std::int64_t arrivedAt = 0; // on clock(), as all below
        std::optional<std::int64_t> begunAt;
        std::int64_t work = 0; // ms, left at begunAt
        std::int64_t doneBefore = 0; // ms, work of earlier runs
        std::optional<std::int64_t> failsAfter; // ms of work
        std::optional<std::int64_t> stopsAt;
        bool isHidden = false;
    };
    struct ended_run
    {
        std::int64_t number = 0;
        soak_run *record = nullptr;
        std::string saved;
    };
    struct held_call
    {
        soak_request request;
        respond_function respond;
        time_point until{}; // of a status query
    };
    // Capacity that was announced, until a check-in with another one has been acknowledged.
    struct announced_capacity
    {
        resources amount;
        std::optional<time_point> supersededAt;
    };

    template<typename... Arguments>
    void note(fmt::format_string<Arguments...> text, Arguments &&...arguments) const
    {
        m_around.note(name() + ": " + fmt::format(text, std::forward<Arguments>(arguments)...));
    }

    time_point now() const { return m_around.loop.now(); }
    std::string lifeName() const { return fmt::format("i-{}-{}", name(), m_idNumber); }
    bool isAway() const { return m_suspendedAt || now() < m_hangsUntil; }

    std::int64_t clock() const
    {
        const duration passed = m_suspendedAt.value_or(now()) - m_startedAt - m_stoodStill;
        return m_hasSlowClock ? passed.count() * 98 / 100 : passed.count();
    }

    // Runs a task after some time, unless the lifetime has ended until then.
    void inThisLife(duration delay, std::function<void()> task)
    {
        m_timers.after(delay, [this, life = m_life, task = std::move(task)] {
            if (life == m_life)
                task();
        });
    }

    void resume()
    {
        if (m_suspendedAt)
            m_stoodStill += now() - *m_suspendedAt;
        m_suspendedAt.reset();
    }

    void crash(duration away, bool withSameId)
    {
        ++m_life;
        m_timers.destroyLater(std::move(m_tickTimer));
        m_timers.destroyLater(std::move(m_checkInTimer));
        m_queries.clear();
        m_held.clear();
        note("lifetime {} ends", lifeName());
        for (auto &[key, run] : std::exchange(m_running, {})) {
            m_around.judge.onEnd(*run.record, "lost", now());
            breakGang(gangName(key));
        }
        m_server.reset();
        m_idNumber += withSameId ? 0 : 1;
        m_timers.after(away, [this] { begin(); });
    }

    // ---- check-ins ----

    void post(const std::string &call, const std::string &id, std::string body,
              std::function<void(int status)> then)
    {
        http_request request;
        request.method = "POST";
        request.url
            = fmt::format("http://127.0.0.1:{}/v1/Instances.{}/{}", m_options.port + 1, call, id);
        request.headers.emplace_back("Content-Type", "application/json");
        request.body = std::move(body);
        request.timeout = 1s;
        m_around.client.send(std::move(request),
                             [then = std::move(then)](const result<http_response> &outcome) {
                                 then(failureOf(outcome) ? 0 : valueOf(outcome).status);
                             });
    }

    std::string checkInBody(const std::string &service, const std::string &state,
                            const std::string &cores, std::int64_t born) const
    {
        return fmt::format(R"({{"service":"{}","state":"{}","capacity":{{"cpu":{}}},"born":{},)"
                           R"("address":"127.0.0.1:{}","zone":"{}","version":"v1","slots":8,)"
                           R"("cold_remaining_ms":0,"clock_ms":{},"sequence":1}})",
                           service, state, cores, born, m_options.port, m_options.failureDomain,
                           clock());
    }

    void sendOddCheckIn()
    {
        const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
        const std::vector<std::array<std::string, 3>> odd // service, state and cpu
            = {{"another", "ready", "1000"},
               {"svc", "gone", "1000"},
               {"svc", "ready", "1e300"},
               {"svc", "ready", deep},
               {"svc", "ready", "}"}};
        const auto &[service, state, cores] = odd[m_around.random.below(odd.size())];
        post("Heartbeat", "i-odd", checkInBody(service, state, cores, m_born + 1000), [](int) {});
    }

    void sendCheckIn()
    {
        if (m_suspendedAt || (isAway() && m_around.random.chance(0.5)))
            return;
        json body = json::parse(checkInBody("svc", m_isDraining ? "draining" : "ready",
                                            std::to_string(m_capacity.cores), m_born));
        body["capacity"]["mem_mb"] = m_capacity.memory;
        body["capacity"]["gpus"] = m_capacity.accelerators;
        body["labels"] = m_options.labels;
        body["sequence"] = ++m_sequence;
        if (m_isDraining)
            body["drain_remaining_ms"] = drainTime.count();
        if (m_announced.empty() || m_announced.back().amount != m_capacity)
            m_announced.push_back({m_capacity, std::nullopt});
        const auto acknowledged
            = [this, life = m_life, isDraining = m_isDraining, capacity = m_capacity](int status) {
                  if (life == m_life && status == 200)
                      onCheckInAcknowledged(isDraining, capacity);
              };
        // A late check-in may arrive after later ones, and after the end of this lifetime.
        const bool isLate = now() < m_checkInsLateUntil;
        m_timers.after(isLate ? m_around.random.time(0ms, 3000ms) : 0ms,
                       [this, id = lifeName(), text = body.dump(), acknowledged] {
                           post("Heartbeat", id, text, acknowledged);
                       });
    }

    void onCheckInAcknowledged(bool isDraining, const resources &capacity)
    {
        for (announced_capacity &earlier : m_announced) {
            if (m_announced.back().amount == capacity && earlier.amount != capacity
                && !earlier.supersededAt)
                earlier.supersededAt = now();
        }
        if (isDraining)
            inThisLife(drainTime + m_around.random.time(0ms, 4000ms), [this] { leave(); });
    }

    void leave()
    {
        if (std::exchange(m_isLeaving, true))
            return;
        const duration away = m_around.random.time(200ms, 3000ms);
        post("Deregister", lifeName(), json{{"born", m_born}}.dump(),
             [this, life = m_life, away](int) {
                 if (life == m_life)
                     crash(away, false);
             });
    }

    resources largestAnnounced() const
    {
        resources largest;
        for (const announced_capacity &one : m_announced) {
            // The planner may know an earlier capacity until the check-in with the new one has come
            // to it.
            if (one.supersededAt && *one.supersededAt + capacityNewsTime < now())
                continue;
            largest.cores = std::max(largest.cores, one.amount.cores);
            largest.memory = std::max(largest.memory, one.amount.memory);
            largest.accelerators = std::max(largest.accelerators, one.amount.accelerators);
        }
        return largest;
    }

    // ---- calls ----

    void receive(const soak_request &request, const respond_function &respond)
    {
        soak_random &random = m_around.random;
        if (isAway()) {
            m_held.push_back({request, respond, {}});
            return;
        }
        const bool hasTrouble = now() < m_callsLateUntil;
        if (!m_isSettled && random.chance(hasTrouble ? 0.4 : 0.005))
            return inThisLife(random.time(300ms, 4000ms), [this, request] {
                carryOut(
                    request, [](int, const std::string &) {}, true);
            });
        const bool losesAnswer = hasTrouble && random.chance(0.1);
        const std::int64_t answerDelay = random.chance(0.3) ? random.between(0, overtakeUs) : 0;
        const auto answerLater
            = [this, respond, losesAnswer, answerDelay,
               isOrder = request.target != "/v1/hold"](int status, const std::string &body) {
                  if (isOrder && now() < m_refusesUntil)
                      refuse();
                  else if (!losesAnswer)
                      afterMicroseconds(m_around.loop, answerDelay,
                                        [respond, status, body] { respond(status, body); });
              };
        const std::int64_t delay = random.chance(0.5) ? random.between(0, overtakeUs) : 0;
        afterMicroseconds(m_around.loop, delay, [this, life = m_life, request, answerLater] {
            if (life == m_life)
                carryOut(request, answerLater, false);
        });
    }

    void refuse()
    {
        const duration time = m_around.random.time(300ms, 5000ms);
        const bool withReset = m_around.random.chance(0.5);
        note("closes its connections{} after an order, refuses new ones for {} ms",
             withReset ? " by a reset" : "", time.count());
        m_server->refuse(time, withReset);
    }

    void carryOut(const soak_request &request, const respond_function &respond, bool isLate)
    {
        const json body = json::parse(request.body, nullptr, false);
        const std::int64_t token = body.value("fencing_token", std::int64_t{0});
        if (!request.instance.empty() && request.instance != lifeName())
            return respondTo(respond, {421, json::object()});
        if (token < m_token)
            return respondTo(respond, {409, {{"reason", "fence"}}});
        m_token = token;
        if (request.target == "/v1/run-start")
            return respondTo(respond, start(body, isLate));
        if (request.target == "/v1/hold")
            return query(body, respond);
        if (request.target == "/v1/run-stop")
            stop({body.value("task", ""), body.value("run", 0)});
        respondTo(respond, {200, json::object()});
    }

    void respondTo(const respond_function &respond, answer reply) const
    {
        reply.second["clock_ms"] = clock();
        reply.second["born"] = m_born;
        respond(reply.first, reply.second.dump());
    }

    // A lease covers everything that runs here. It never gets shorter, and is limited.
    void extendLease(const json &body)
    {
        expire();
        const std::int64_t wanted = body.value("deadline_ms", std::int64_t{0});
        m_leaseEnds = std::max(m_leaseEnds, std::min(wanted, clock() + longestLeaseMs));
    }

    answer start(const json &body, bool isLate)
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
        soak_start order{name(),
                         key.first,
                         key.second,
                         body.value("spec", ""),
                         body.value("saved", ""),
                         isLate,
                         m_around.isInTouch(name())};
        live_run run = makeRun(order);
        resources used = run.step.perTask;
        for (const auto &[other, present] : m_running)
            used += present.step.perTask;
        if (m_around.isGuarding
            && (used.cores > m_capacity.cores || used.memory > m_capacity.memory
                || used.accelerators > m_capacity.accelerators))
            return {409, {{"reason", "room"}}};
        note("run {} of {} starts{}, fence {}", key.second, key.first, isLate ? " late" : "",
             m_token);
        for (const std::unique_ptr<soak_backend> &server : m_around.servers)
            server->expire();
        run.record = &m_around.judge.onStart(order, now());
        if (!m_around.isGuarding)
            m_around.judge.onLoad(order, used, largestAnnounced());
        m_running[key] = run;
        if (run.step.isGang)
            joinGang(key);
        return {200, json::object()};
    }

    live_run makeRun(const soak_start &order) const
    {
        live_run run;
        run.arrivedAt = clock();
        const soak_step *step = m_around.judge.find(order.task).second;
        if (step == nullptr)
            return run;
        run.step = *step;
        if (!step->isGang)
            run.begunAt = run.arrivedAt;
        run.work = step->work.count();
        const std::size_t slash = order.saved.find('/');
        if (slash != std::string::npos) {
            run.doneBefore = std::atoll(order.saved.c_str() + slash + 1);
            run.work = std::max<std::int64_t>(0, run.work - run.doneBefore) + restoreMs;
        }
        if (!m_isSettled && m_around.random.chance(step->isGang ? 0.005 : 0.02))
            run.failsAfter = m_around.random.between(0, run.work);
        return run;
    }

    // A stop takes its time, and meanwhile the run may be in neither list.
    void stop(const run_key &stopped)
    {
        m_highestOver[stopped.first] = std::max(m_highestOver[stopped.first], stopped.second);
        for (auto &[key, run] : m_running) {
            if (key.first != stopped.first || key.second > stopped.second || run.stopsAt)
                continue;
            note("run {} of {} is to stop", key.second, key.first);
            run.stopsAt = clock() + m_around.random.between(0, stopTimeMs);
            run.isHidden = m_around.random.chance(0.5);
        }
    }

    void query(const json &body, const respond_function &respond)
    {
        extendLease(body);
        const std::int64_t seen = body.value("last_seen", std::int64_t{0});
        for (const ended_run &one : m_ended) {
            if (one.number > seen)
                continue;
            note("end {} of run {} of {} is noted", one.record->how, one.record->number,
                 one.record->task);
            m_around.judge.onNoted(*one.record, m_lapsedAt >= *one.record->endedAt);
        }
        m_ended.remove_if([seen](const ended_run &one) { return one.number <= seen; });
        m_queries.push_back(
            {{}, respond, now() + duration(body.value("wait_ms", std::int64_t{0}))});
        answerQueries();
    }

    void answerQueries()
    {
        std::vector<held_call> waiting;
        for (held_call &one : std::exchange(m_queries, {})) {
            if (m_ended.empty() && now() < one.until)
                waiting.push_back(std::move(one));
            else
                respondTo(one.respond, {200, statusBody()});
        }
        m_queries = std::move(waiting);
    }

    json statusBody() const
    {
        json running = json::array();
        for (const auto &[key, run] : m_running) {
            const std::int64_t percent = workDone(run) * 99 / std::max<std::int64_t>(1, run.work);
            if (!run.isHidden)
                running.push_back(
                    {key.first, key.second, savedBy(run, false), percent, run.step.perTask.cores});
        }
        json ended = json::array();
        for (const ended_run &one : m_ended) {
            if (ended.size() < endsPerAnswer)
                ended.push_back(
                    {one.number, one.record->task, one.record->number, one.record->how, one.saved});
        }
        return {{"running", std::move(running)}, {"ended", std::move(ended)}};
    }

    // ---- runs ----

    std::int64_t workDone(const live_run &run) const
    {
        return run.begunAt ? std::min(clock() - *run.begunAt, run.work) : 0;
    }

    // Returns UNIT/MS, the work that a start with this value doesn't repeat.
    std::string savedBy(const live_run &run, bool isStopped) const
    {
        const std::int64_t done = workDone(run) + run.doneBefore;
        const std::int64_t kept = isStopped ? done : done - done % checkpointIntervalMs;
        if (!run.step.isCheckpointing || kept == 0)
            return "";
        return fmt::format("{}/{}", soakUnitName(run.record->task, run.step.isGang), kept);
    }

    static std::string gangName(const run_key &key)
    {
        return fmt::format("{}#{}", soakUnitName(key.first, true), key.second);
    }

    // The work of a gang starts when all of its members are present.
    void joinGang(const run_key &key)
    {
        auto &members = m_around.gangs[gangName(key)];
        members.emplace_back(this, key.first);
        if (static_cast<std::int32_t>(members.size()) < m_running.at(key).step.count)
            return;
        for (const auto &[server, task] : members)
            server->beginWork(task, key.second);
    }

    // After the end of one member of a gang that works, the others end broken; those of a gang that
    // is not complete wait for their time to be over.
    void breakGang(const std::string &gang)
    {
        const auto found = m_around.gangs.find(gang);
        if (found == m_around.gangs.end())
            return;
        const auto members = found->second;
        m_around.gangs.erase(found);
        const std::int32_t run = std::atoi(gang.c_str() + gang.find('#') + 1);
        const soak_step *step = m_around.judge.find(members.front().second).second;
        if (static_cast<std::int32_t>(members.size()) < step->count)
            return;
        for (const auto &[server, task] : members)
            server->endRun(task, run, "broken");
    }

    // Returns how a run ends now, or nothing if it goes on.
    std::string dueEnd(const live_run &run) const
    {
        if (run.stopsAt)
            return clock() >= *run.stopsAt ? "stopped" : "";
        if (!run.begunAt)
            return clock() - run.arrivedAt > gangTimeoutMs ? "alone" : "";
        const std::int64_t worked = clock() - *run.begunAt;
        if (run.failsAfter && worked >= *run.failsAfter)
            return "failed";
        return worked >= run.work ? "done" : "";
    }

    void tick()
    {
        if (m_suspendedAt)
            return;
        expire();
        const auto running = m_running;
        for (const auto &[key, run] : running) {
            const std::string how = dueEnd(run);
            const auto gang = m_around.gangs.find(gangName(key));
            if (how != "done" || gang == m_around.gangs.end()) {
                if (!how.empty())
                    endRun(key.first, key.second, how);
                continue;
            }
            const auto members = gang->second;
            m_around.gangs.erase(gang);
            for (const auto &[server, task] : members)
                server->endRun(task, key.second, "done");
        }
        if (isAway())
            return;
        for (const held_call &call : std::exchange(m_held, {}))
            afterMicroseconds(m_around.loop, m_around.random.between(0, overtakeUs),
                              [this, life = m_life, call] {
                                  if (life == m_life)
                                      carryOut(call.request, call.respond, true);
                              });
        answerQueries();
    }

    soak_surroundings &m_around;
    soak_backend_options m_options;
    one_shot_timers m_timers;
    std::unique_ptr<soak_http_server> m_server;
    timer_handle m_tickTimer;
    timer_handle m_checkInTimer;
    int m_life = 0; // counts lifetimes
    int m_idNumber = 1;
    std::int64_t m_born = 0;
    time_point m_startedAt{};
    duration m_stoodStill{}; // of the clock
    time_point m_hangsUntil{};
    time_point m_refusesUntil{};
    std::optional<time_point> m_suspendedAt;
    time_point m_callsLateUntil{};
    time_point m_checkInsLateUntil{};
    bool m_isSettled = false;
    bool m_isDraining = false;
    bool m_isLeaving = false;
    bool m_hasSlowClock = false;
    resources m_capacity;
    std::vector<announced_capacity> m_announced;
    std::int64_t m_sequence = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEnds = 0; // on clock()
    time_point m_lapsedAt{};
    std::map<run_key, live_run> m_running;
    std::map<std::string, std::int32_t> m_highestOver; // run that was stopped or ended, by task
    std::list<ended_run> m_ended;
    std::int64_t m_lastEnd = 0;
    std::vector<held_call> m_queries;
    std::vector<held_call> m_held;
};

} // namespace

std::unique_ptr<soak_backend> makeSoakBackend(soak_surroundings &around,
                                              soak_backend_options options)
{
    return std::make_unique<server_model>(around, std::move(options));
}

} // namespace goldcrest
