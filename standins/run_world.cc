#include "standins/run_world.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// These are the times of the users' backend servers, see docs/platform.md.
constexpr duration callDelay = 2ms; // of a request, and of its response
// Most steps of the event loop that a call takes while calls overtake each other.
constexpr std::uint64_t maxHops = 4;
// One in this many answers to stops is lost, if the model loses them.
constexpr std::uint64_t lostStopAnswers = 3;
constexpr duration callTimeout = 400ms;
constexpr duration stopTime = 200ms;
constexpr duration gangTimeout = 3s;
constexpr duration minLateDelay = 2s;
constexpr duration maxLateDelay = 12s;
constexpr std::int64_t initialClockMs = 1000; // clock of a new incarnation
// Time from the first status query in an incarnation until all stops for it have arrived. Some of
// them are lost and repeated.
constexpr duration stopDeliveryTime = 3s;
constexpr std::int64_t maxLeaseMs = 10'000;
constexpr duration crashDelay = 10ms; // from the start of a crashing task
constexpr duration crashDownTime = 3s;
// After this many crashes, a task may be started fewer than this many times more.
constexpr int toleratedCrashes = 3;
constexpr int startsTooMany = 3;
// A capacity that has shrunk is checked once the planner must have learned of it: after the time in
// which a process counts as disconnected, and one announcement.
constexpr duration shrinkNoticeTime = 4500ms;
// Time from an acknowledged cancel until no task may start any more. The planner is notified within
// 4 s, even if the store's history is lost, and an order sent before that may be carried out late.
constexpr duration cancelEffectTime = 4s + maxLateDelay;

failure noAnswer()
{
    return makeFailure(code::BackendUnavailable, "no answer");
}

} // namespace

// ---- host ----------------------------------------------------------------------------------

model_host::model_host(run_world &world, std::string id, const resources &capacity)
    : m_world(world)
    , m_id(std::move(id))
    , m_capacity(capacity)
    , m_startedAtMs(world.m_loop.now().time_since_epoch().count() + 1)
{ }

std::int64_t model_host::clock() const
{
    const time_point now = m_suspendedAt.value_or(m_world.m_loop.now());
    return (now - m_stoodStill).time_since_epoch().count() - m_startedAtMs + initialClockMs;
}

void model_host::after(duration delay, std::function<void()> task)
{
    m_world.m_timers.after(delay, [this, task = std::move(task)] {
        if (m_suspendedAt)
            m_waiting.push_back(task);
        else
            task();
    });
}

void model_host::suspend()
{
    m_suspendedAt = m_world.m_loop.now();
    m_leaseTimer.reset();
    for (auto &[run, active] : m_runs)
        active.timer.reset();
}

void model_host::resume()
{
    const duration length = m_world.m_loop.now() - *m_suspendedAt;
    for (auto &[run, active] : m_runs) {
        // Its gang may have become complete meanwhile.
        const duration worked = std::max<duration>(0ms, *m_suspendedAt - active.workStartedAt);
        active.workStartedAt = m_world.m_loop.now() - worked;
    }
    m_suspendedAt.reset();
    m_stoodStill += length;
    for (auto &[run, active] : m_runs) {
        if (active.isWorking)
            scheduleEnd(run);
    }
    if (m_holdUntil > 0)
        scheduleLeaseEnd();
    for (const auto &task : std::exchange(m_waiting, {}))
        task();
    answerQueries();
}

// Delivers a call or its answer.
void model_host::deliver(std::function<void()> task)
{
    if (m_world.m_reordersCalls)
        deliverAfterHops(m_world.m_callRandom() % maxHops, std::move(task));
    else
        after(callDelay, std::move(task));
}

void model_host::deliverAfterHops(std::uint64_t hops, std::function<void()> task)
{
    after(0ms, [this, hops, task = std::move(task)] {
        if (hops == 0)
            task();
        else
            deliverAfterHops(hops - 1, task);
    });
}

void model_host::restart(const std::string &id)
{
    m_id = id;
    m_startedAtMs = m_world.m_loop.now().time_since_epoch().count() + 1;
    m_sequence = 0;
    ++m_incarnation;
    m_token = 0;
    m_firstQueryAt.reset();
    m_holdUntil = 0;
    m_endsStored = 0;
    m_lastEnd = 0;
    const auto runs = std::move(m_runs);
    m_runs.clear();
    m_highestEndedRun.clear();
    m_ended.clear();
    m_pendingQueries.clear();
    m_draining = false;
    m_isDown = false;
    m_stoodStill = 0ms;
    for (const auto &[run, active] : runs) {
        ++m_world.m_restarts[run.task];
        m_world.endGang(run.task, run.number, run_end::GangMemberEnded);
    }
}

void model_host::crash()
{
    restart(m_id);
    m_isDown = true;
    after(crashDownTime, [this, incarnation = m_incarnation] {
        if (incarnation == m_incarnation)
            restart(m_id);
    });
}

void model_host::setCapacity(const resources &capacity)
{
    m_earlierCapacities.emplace_back(m_world.m_loop.now(), m_capacity);
    m_capacity = capacity;
}

// Returns the largest capacity that the planner may have assumed when it sent an order, which may
// be carried out late.
resources model_host::toleratedCapacity(time_point sentAt) const
{
    resources tolerated = m_capacity;
    for (const auto &[until, earlier] : m_earlierCapacities) {
        if (sentAt - until > shrinkNoticeTime)
            continue;
        tolerated.cores = std::max(tolerated.cores, earlier.cores);
        tolerated.memory = std::max(tolerated.memory, earlier.memory);
        tolerated.accelerators = std::max(tolerated.accelerators, earlier.accelerators);
    }
    return tolerated;
}

host_announcement model_host::announcement()
{
    host_announcement announced;
    announced.id = m_id;
    announced.startedAtMs = m_startedAtMs;
    announced.sequence = ++m_sequence;
    announced.service = "svc";
    announced.failureDomain = "north";
    announced.rack = "r1";
    announced.labels = {"a", "r1"};
    announced.capacity = m_capacity;
    announced.draining = m_draining;
    return announced;
}

void model_host::start(const start_order &order, epoch token, std::int64_t holdUntil,
                       const std::string &id, std::function<void(result<start_reply>)> callback)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (m_isDown)
        return after(callDelay, [callback] { callback(noAnswer()); });
    if (m_faults.isUnreachable)
        return after(callTimeout, [callback] { callback(noAnswer()); });
    if (share(m_world.m_random) < m_faults.lateOrderRate) {
        std::uniform_int_distribution<std::int64_t> delay(minLateDelay.count(),
                                                          maxLateDelay.count());
        // A late order reaches the incarnation that has the id by then. It is dropped if it arrives
        // in a new incarnation before the planner can have stopped the run there, because the
        // planner could not prevent that start.
        after(duration(delay(m_world.m_random)),
              [this, order, token, holdUntil, id, incarnation = m_incarnation,
               sentAt = m_world.m_loop.now()] {
                  const bool mayApply = incarnation == m_incarnation
                      || (m_firstQueryAt
                          && m_world.m_loop.now() > *m_firstQueryAt + stopDeliveryTime);
                  if (id == m_id && mayApply)
                      applyStart(order, token, holdUntil, sentAt);
              });
        return after(callTimeout, [callback] { callback(noAnswer()); });
    }
    deliver([this, order, token, holdUntil, id, callback, incarnation = m_incarnation] {
        if (incarnation != m_incarnation)
            return callback(noAnswer()); // the connection ended with the earlier incarnation
        start_reply reply;
        if (id == m_id) {
            reply = applyStart(order, token, holdUntil, m_world.m_loop.now());
        } else {
            reply.refused = start_refusal::Invalid;
            reply.isOtherIncarnation = true;
        }
        reply.clock = clock();
        std::uniform_real_distribution<double> fraction(0, 1);
        if (fraction(m_world.m_random) < m_faults.lostReplyRate)
            return after(callTimeout, [callback] { callback(noAnswer()); });
        deliver([callback, reply] { callback(reply); });
    });
}

start_reply model_host::applyStart(const start_order &order, epoch token, std::int64_t holdUntil,
                                   time_point sentAt)
{
    start_reply reply;
    if (token < m_token) {
        reply.refused = start_refusal::Invalid;
        reply.isFenced = true;
        return reply;
    }
    m_token = token;
    extendLease(holdUntil);
    if (m_runs.count(order.run) > 0)
        return reply;
    const auto endedRun = m_highestEndedRun.find(order.run.task);
    if (endedRun != m_highestEndedRun.end() && order.run.number <= endedRun->second) {
        reply.refused = start_refusal::Superseded;
        return reply;
    }
    if (m_holdUntil <= clock()) {
        reply.refused = start_refusal::Late;
        return reply;
    }
    const step_spec *spec = m_world.specOf(order.run.task);
    active_run run;
    run.startedAt = m_world.m_loop.now();
    run.work = spec ? spec->estimated : 1s;
    std::uniform_real_distribution<double> share(0, 1);
    run.willFail = share(m_world.m_random) < m_faults.failureRate;
    m_runs.emplace(order.run, std::move(run));
    m_world.onStart(*this, order.run, sentAt);
    const auto crashes = m_world.m_crashes.find(order.run.task);
    if (crashes != m_world.m_crashes.end())
        after(crashDelay, [this, crashes, incarnation = m_incarnation] {
            if (incarnation != m_incarnation)
                return;
            ++crashes->second;
            crash();
        });
    if (spec && spec->gang) {
        m_world.startGangIfComplete(order.run.task, order.run.number);
        after(gangTimeout, [this, run = order.run, incarnation = m_incarnation] {
            const auto found = m_runs.find(run);
            if (incarnation == m_incarnation && found != m_runs.end() && !found->second.isWorking)
                endRun(run, run_end::GangIncomplete);
        });
    } else {
        startWork(order.run);
    }
    return reply;
}

void model_host::startWork(const run_id &run)
{
    active_run &active = m_runs.at(run);
    if (active.isWorking)
        return;
    active.isWorking = true;
    active.workStartedAt = m_world.m_loop.now();
    scheduleEnd(run);
}

void model_host::scheduleEnd(const run_id &run)
{
    active_run &active = m_runs.at(run);
    if (m_faults.hangs || m_suspendedAt)
        return;
    const duration worked = m_world.m_loop.now() - active.workStartedAt;
    active.timer = m_world.m_loop.after(active.work - worked, [this, run] {
        const auto found = m_runs.find(run);
        if (found != m_runs.end() && !found->second.isStopping)
            endRun(run, found->second.willFail ? run_end::Failed : run_end::Done);
    });
}

void model_host::endRun(const run_id &run, run_end how)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    // The task of this timer may be running now, so the handle is destroyed later.
    m_world.m_timers.destroyLater(std::move(found->second.timer));
    m_runs.erase(found);
    m_highestEndedRun[run.task] = std::max(m_highestEndedRun[run.task], run.number);
    m_ended.push_back({++m_lastEnd, run, how, {}});
    ++m_world.m_ends[static_cast<std::size_t>(how)];
    answerQueries();
    m_world.endGang(run.task, run.number,
                    how == run_end::Done ? run_end::Done : run_end::GangMemberEnded);
}

// Ends a run for a reason of the host's own, in the time that a stop takes.
void model_host::endSlowly(const run_id &run, run_end how)
{
    active_run &ending = m_runs.at(run);
    if (ending.isStopping)
        return;
    ending.isStopping = true;
    after(stopTime, [this, run, how, incarnation = m_incarnation] {
        if (incarnation == m_incarnation)
            endRun(run, how);
    });
}

void model_host::stop(const run_id &run, epoch token, std::function<void(result<done>)> callback)
{
    if (m_isDown)
        return after(callDelay, [callback] { callback(noAnswer()); });
    if (m_faults.isUnreachable)
        return after(callTimeout, [callback] { callback(noAnswer()); });
    std::uniform_real_distribution<double> share(0, 1);
    if (share(m_world.m_random) < m_faults.lateOrderRate) {
        after(minLateDelay, [this, run, token] { applyStop(run, token); });
        return after(callTimeout, [callback] { callback(noAnswer()); });
    }
    deliver([this, run, token, callback, incarnation = m_incarnation] {
        if (incarnation != m_incarnation)
            return callback(noAnswer());
        applyStop(run, token);
        if (m_world.m_losesStopAnswers && m_world.m_callRandom() % lostStopAnswers == 0)
            return deliver([callback] { callback(noAnswer()); });
        deliver([callback] { callback(done{}); });
    });
}

void model_host::applyStop(const run_id &run, epoch token)
{
    if (token < m_token)
        return;
    m_token = token;
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        m_highestEndedRun[run.task] = std::max(m_highestEndedRun[run.task], run.number);
        return;
    }
    found->second.isStopping = true;
    after(stopTime, [this, run, incarnation = m_incarnation] {
        if (incarnation == m_incarnation)
            endRun(run, run_end::Stopped);
    });
}

void model_host::pace(const pace_order &, epoch, std::function<void(result<done>)> callback)
{
    after(callDelay, [callback] { callback(done{}); });
}

void model_host::queryStatus(epoch token, std::int64_t endsStored, std::int64_t holdUntil,
                             duration wait, const std::string &id,
                             std::function<void(result<host_status>)> callback)
{
    if (m_isDown)
        return after(callDelay, [callback] { callback(noAnswer()); });
    if (m_faults.isUnreachable)
        return after(wait + callTimeout, [callback] { callback(noAnswer()); });
    deliver([this, token, endsStored, holdUntil, wait, id, callback, incarnation = m_incarnation] {
        if (incarnation != m_incarnation)
            return callback(noAnswer());
        if (id != m_id) {
            host_status refused;
            refused.isOtherIncarnation = true;
            return callback(refused);
        }
        if (token < m_token)
            return callback(makeFailure(code::StaleEpoch, "fenced"));
        m_token = token;
        if (!m_firstQueryAt)
            m_firstQueryAt = m_world.m_loop.now();
        extendLease(holdUntil);
        for (const ended_task &ended : m_ended) {
            if (ended.number > m_endsStored && ended.number <= endsStored)
                m_world.onEndAcknowledged(ended);
        }
        m_endsStored = std::max(m_endsStored, endsStored);
        m_ended.erase(std::remove_if(
                          m_ended.begin(), m_ended.end(),
                          [this](const ended_task &ended) { return ended.number <= m_endsStored; }),
                      m_ended.end());
        const auto pending = std::make_shared<pending_query>();
        pending->callback = callback;
        m_pendingQueries.push_back(pending);
        if (wait == 0ms || !m_ended.empty())
            return answerQueries();
        pending->timeout = m_world.m_loop.after(wait, [this] { answerQueries(); });
    });
}

host_status model_host::currentStatus() const
{
    host_status status;
    status.startedAtMs = m_startedAtMs;
    status.clock = clock();
    status.ended = m_ended;
    for (const auto &[run, active] : m_runs) {
        if (active.isStopping && (m_world.m_hidesStoppingRuns || m_world.m_endsGangsSlowly))
            continue;
        running_task running;
        running.run = run;
        if (active.isWorking && !m_faults.hangs) {
            const duration worked = m_world.m_loop.now() - active.workStartedAt;
            running.percent = static_cast<std::int32_t>(std::min<std::int64_t>(
                100, worked.count() * 100 / std::max<std::int64_t>(1, active.work.count())));
        }
        status.running.push_back(std::move(running));
    }
    return status;
}

void model_host::answerQueries()
{
    if (m_suspendedAt)
        return;
    const host_status status = currentStatus();
    for (const auto &pending : std::exchange(m_pendingQueries, {})) {
        // The task of this timer may be running now.
        m_world.m_timers.destroyLater(std::move(pending->timeout));
        deliver([callback = pending->callback, status] { callback(status); });
    }
}

void model_host::extendLease(std::int64_t holdUntil)
{
    const std::int64_t bounded = std::min(holdUntil, clock() + maxLeaseMs);
    if (bounded <= m_holdUntil)
        return;
    m_holdUntil = bounded;
    scheduleLeaseEnd();
}

void model_host::scheduleLeaseEnd()
{
    m_leaseTimer = m_world.m_loop.after(duration(std::max<std::int64_t>(1, m_holdUntil - clock())),
                                        [this] { expireRuns(); });
}

void model_host::expireRuns()
{
    std::vector<run_id> all;
    for (const auto &[run, active] : m_runs)
        all.push_back(run);
    for (const run_id &run : all)
        endRun(run, run_end::Lapsed);
}

// ---- world ---------------------------------------------------------------------------------

run_world::run_world(event_loop &loop, std::uint64_t seed)
    : m_loop(loop)
    , m_random(seed)
    , m_callRandom(seed)
    , m_timers(loop)
{ }

model_host &run_world::add(const std::string &id, const resources &capacity)
{
    m_hosts.push_back(std::make_unique<model_host>(*this, id, capacity));
    return *m_hosts.back();
}

void run_world::registerJob(const graph_job &job)
{
    m_jobs.emplace(job.id, job);
}

const step_spec *run_world::specOf(const std::string &task) const
{
    const result<task_key> key = parseTask(task);
    if (failureOf(key))
        return nullptr;
    const auto job = m_jobs.find(valueOf(key).job);
    if (job == m_jobs.end())
        return nullptr;
    return &job->second.steps[static_cast<std::size_t>(valueOf(key).step)];
}

void run_world::addViolation(std::string what)
{
    m_violations.push_back(std::to_string(m_loop.now().time_since_epoch().count())
                           + " ms: " + std::move(what));
}

void run_world::onStart(model_host &host, const run_id &run, time_point sentAt)
{
    ++m_starts;
    const step_spec *spec = specOf(run.task);
    if (!spec)
        return addViolation("a task of an unregistered job started: " + run.task);
    if (m_acknowledgedDone.count(run.task) > 0)
        addViolation("started after its end was acknowledged: " + run.task);
    const result<task_key> key = parseTask(run.task);
    const auto cancelled = m_cancelledAt.find(valueOf(key).job);
    if (cancelled != m_cancelledAt.end() && m_loop.now() > cancelled->second + cancelEffectTime)
        addViolation("started long after its job was cancelled: " + run.task);
    resources used;
    for (const auto &[active, state] : host.m_runs)
        used += specOf(active.task)->perTask;
    checkCrashingTask(run);
    if (!host.toleratedCapacity(sentAt).covers(used)) {
        std::string activeRuns;
        for (const auto &[other, state] : host.m_runs)
            activeRuns += ' ' + other.task + '/' + std::to_string(other.number);
        addViolation("over capacity: " + host.id() + " by " + run.task + ", running" + activeRuns);
    }
    for (const auto &other : m_hosts) {
        for (const auto &[active, state] : other->m_runs) {
            const bool isSame = other.get() == &host && active == run;
            if (active.task == run.task && !isSame)
                addViolation("runs twice at the same time: " + run.task + " on " + other->id()
                             + " and " + host.id());
        }
    }
}

void run_world::checkCrashingTask(const run_id &run)
{
    const auto crashes = m_crashes.find(run.task);
    if (crashes == m_crashes.end() || crashes->second < toleratedCrashes)
        return;
    if (++m_startsAfterCrashes[run.task] == startsTooMany)
        addViolation("started again and again though it crashes hosts: " + run.task);
}

void run_world::noteCancelled(const std::string &job)
{
    m_cancelledAt.emplace(job, m_loop.now());
}

int run_world::restartsUnder(const std::string &job) const
{
    int most = 0;
    for (const auto &[task, count] : m_restarts) {
        const result<task_key> key = parseTask(task);
        if (!failureOf(key) && valueOf(key).job == job)
            most = std::max(most, count);
    }
    return most;
}

void run_world::onEndAcknowledged(const ended_task &end)
{
    if (end.how == run_end::Done)
        m_acknowledgedDone.insert(end.run.task);
}

// Lets the members of a gang work if all of them have started.
void run_world::startGangIfComplete(const std::string &task, std::int32_t run)
{
    const result<task_key> key = parseTask(task);
    std::vector<std::pair<model_host *, run_id>> members;
    for (const auto &host : m_hosts) {
        for (const auto &[active, state] : host->m_runs) {
            const result<task_key> other = parseTask(active.task);
            const bool isMember = valueOf(other).job == valueOf(key).job
                && valueOf(other).step == valueOf(key).step
                && valueOf(other).occurrence == valueOf(key).occurrence && active.number == run;
            if (isMember)
                members.emplace_back(host.get(), active);
        }
    }
    if (static_cast<std::int32_t>(members.size()) < specOf(task)->count)
        return;
    for (const auto &[host, member] : members)
        host->startWork(member);
}

// Ends the other members of a gang after one of them has ended.
void run_world::endGang(const std::string &task, std::int32_t run, run_end how)
{
    const step_spec *spec = specOf(task);
    if (!spec || !spec->gang)
        return;
    const result<task_key> key = parseTask(task);
    for (const auto &host : m_hosts) {
        std::vector<run_id> members;
        for (const auto &[active, state] : host->m_runs) {
            const result<task_key> other = parseTask(active.task);
            const bool isMember = valueOf(other).job == valueOf(key).job
                && valueOf(other).step == valueOf(key).step
                && valueOf(other).occurrence == valueOf(key).occurrence && active.number == run;
            if (isMember && state.isWorking)
                members.push_back(active);
        }
        for (const run_id &member : members) {
            if (m_endsGangsSlowly && how == run_end::GangMemberEnded)
                host->endSlowly(member, how);
            else
                host->endRun(member, how);
        }
    }
}

} // namespace goldcrest
