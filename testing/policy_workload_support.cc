#include "testing/policy_workload_support.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <set>

namespace goldcrest {

namespace {

constexpr double urgentBound = 3;
constexpr double tickSeconds = 5;
constexpr double sampleSeconds = 60;
constexpr double hour = 3600;
constexpr double failureAfter = 5; // seconds until a task fails on a faulty worker

struct sim_job
{
    job_spec spec;
    double arrival = 0;
    double length = 0; // true run time
    double done = 0; // seconds of work kept
    double placedAt = -1; // -1 while the job waits
    double stopSentAt = -1;
    double firstStart = -1;
    double finishedAt = -1;
    double waitedSince = 0;
    double waited = 0;
    bool rejected = false;
    bool borrowed = false;
    bool mayNotRun = false; // the workload is built so that it may never run
    bool claim = false;
    bool couldStartInTime = false; // on arrival, stopping borrowers could free its capacity
    int attempt = 0;
    std::vector<gang_part> parts;

    double accelerators() const { return double(spec.tasks * spec.perTask.accelerators); }
};

struct sim_event
{
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct runs_later
{
    bool operator()(const sim_event &a, const sim_event &b) const
    {
        return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
};

time_point at(double seconds)
{
    return time_point(1h) + duration(std::int64_t(seconds * 1000));
}

duration millis(double seconds)
{
    return duration(std::int64_t(seconds * 1000));
}

// Sum of the completion times of jobs on one machine that does `capacity(t)` units of work per
// second, shortest remaining work first. No schedule of gangs on the cell can have a smaller sum.
class fluid_bound
{
public:
    struct task
    {
        double arrival = 0;
        double work = 0;
    };
    // `steps` holds the capacity from each time on, sorted by time. Tasks that are not finished at
    // `end` count up to then.
    static double sum(std::vector<task> tasks, const std::vector<std::pair<double, double>> &steps,
                      double end)
    {
        std::sort(tasks.begin(), tasks.end(),
                  [](const task &a, const task &b) { return a.arrival < b.arrival; });
        std::priority_queue<std::pair<double, double>, std::vector<std::pair<double, double>>,
                            std::greater<>>
            open; // remaining work, arrival
        double now = 0;
        double total = 0;
        std::size_t next = 0;
        std::size_t step = 0;
        while (next < tasks.size() || !open.empty()) {
            while (next < tasks.size() && tasks[next].arrival <= now) {
                open.push({tasks[next].work, tasks[next].arrival});
                ++next;
            }
            while (step + 1 < steps.size() && steps[step + 1].first <= now)
                ++step;
            double until = next < tasks.size() ? tasks[next].arrival : end;
            if (step + 1 < steps.size())
                until = std::min(until, steps[step + 1].first);
            until = std::max(until, now);
            if (now >= end)
                break;
            if (open.empty()) {
                now = until;
                continue;
            }
            const auto [work, arrival] = open.top();
            open.pop();
            const double finish = now + work / steps[step].second;
            if (finish <= until) {
                total += finish - arrival;
                now = finish;
            } else {
                open.push({work - (until - now) * steps[step].second, arrival});
                now = until;
            }
        }
        while (!open.empty()) {
            total += end - open.top().second;
            open.pop();
        }
        return total;
    }
};

// Returns the smallest possible sum of the jobs' mean busy times on the same machine, which is
// reached when the job with the least total work runs first. The mean busy time is the mean time at
// which a job's work is done; the job completes at least half its run time after it.
double leastMeanBusyTimes(std::vector<fluid_bound::task> tasks,
                          const std::vector<std::pair<double, double>> &steps)
{
    struct open_task
    {
        double whole = 0;
        double left = 0;
        bool operator<(const open_task &o) const
        {
            return std::tie(whole, left) > std::tie(o.whole, o.left);
        }
    };
    std::sort(tasks.begin(), tasks.end(),
              [](const fluid_bound::task &a, const fluid_bound::task &b) {
                  return a.arrival < b.arrival;
              });
    std::priority_queue<open_task> open;
    constexpr double never = 1e18;
    double now = 0;
    double sum = 0;
    std::size_t next = 0;
    std::size_t step = 0;
    while (next < tasks.size() || !open.empty()) {
        for (; next < tasks.size() && tasks[next].arrival <= now; ++next)
            open.push({tasks[next].work, tasks[next].work});
        while (step + 1 < steps.size() && steps[step + 1].first <= now)
            ++step;
        double until = next < tasks.size() ? tasks[next].arrival : never;
        until = step + 1 < steps.size() ? std::min(until, steps[step + 1].first) : until;
        if (open.empty()) {
            now = until;
            continue;
        }
        open_task task = open.top();
        open.pop();
        const double to = std::min(until, now + task.left / steps[step].second);
        sum += (now + to) / 2 * (to - now) * steps[step].second / task.whole;
        task.left -= (to - now) * steps[step].second;
        constexpr double negligible = 1e-6;
        if (task.left > negligible)
            open.push(task);
        now = to;
    }
    return sum;
}

class simulation
{
public:
    simulation(engine_maker make, const deployment &where, workload kind, unsigned seed)
        : m_where(where)
        , m_kind(kind)
        , m_random(seed)
        , m_engine(make("cell"))
    { }

    run_report run();

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    bool chance(double share) { return uniform(0, 1) < share; }

    void post(double when, std::function<void()> run)
    {
        m_events.push({when, m_nextOrder++, std::move(run)});
    }

    double total() const
    {
        double sum = 0;
        for (const worker_info &w : m_where.workers)
            sum += double(w.capacity.accelerators);
        return sum;
    }

    void setUp();
    void makeBurst(double from, int count, double overSeconds);
    void makeBorrowing();
    void makeFragmented();
    void makeDomainChanges();
    void makeFaults();
    sim_job randomJob(int size, double length);
    sim_job randomJob();
    void addJob(sim_job job);

    void queue(std::size_t index);
    void applyActions();
    void take(const place_action &action);
    void take(const stop_action &action);
    void take(const reject_action &action);
    void take(const throttle_action &) { }
    void endAttempt(std::size_t index, stop_result how, bool requeue, const worker_id &failedOn);
    void setDomain(int domain, bool out);
    void setWorker(const std::string &id, bool up);
    void cancel(std::size_t index);
    bool couldFreeCapacity(const sim_job &job) const;
    void sample();
    void recordCapacity();
    double inService() const;
    void finish();
    double lowerBound() const;
    double fluidBound(double acceleratorWeight) const;

    const deployment &m_where;
    workload m_kind;
    std::mt19937 m_random;
    std::unique_ptr<scheduler> m_engine;
    configuration m_config;
    std::priority_queue<sim_event, std::vector<sim_event>, runs_later> m_events;
    std::uint64_t m_nextOrder = 0;
    double m_now = 0;
    double m_end = 0;
    std::vector<sim_job> m_jobs;
    std::unordered_map<std::string, std::size_t> m_byId;
    std::map<worker_id, worker_info> m_workers;
    std::map<worker_id, resources> m_used;
    std::map<worker_id, std::set<std::size_t>> m_jobsOn;
    std::set<worker_id> m_down;
    std::set<worker_id> m_faultyWorkers;
    std::vector<std::pair<double, double>> m_capacitySteps; // accelerators in service
    std::map<std::pair<std::string, int>, double> m_shapeError;
    double m_ranWork = 0;
    double m_lostWork = 0;
    double m_windowFrom = -1;
    double m_windowTo = -1;
    double m_windowWork = 0;
    double m_windowCrashed = 0; // done in the window, but lost with a failed worker
    double m_samples = 0;
    double m_unusable = 0;
    double m_largest = 0;
    double m_largestSamples = 0;
    std::set<std::size_t> m_waiting;
    run_report m_report;
};

// --- workloads ---

void simulation::setUp()
{
    const auto addClass = [this](const char *name, int weight, bool urgent) {
        class_entry entry;
        entry.name = name;
        entry.weight = weight;
        entry.urgent = urgent;
        m_config.entries.classes[name] = entry;
    };
    addClass("urgent", 1, true);
    addClass("routes", 4, false);
    addClass("forecasts", 1, false);

    // Guarantees cover about 60% of the workers; their shape takes all accelerators of a worker.
    const std::int64_t perWorker = m_where.workers.front().capacity.accelerators;
    shape_entry whole;
    whole.name = "whole";
    whole.tasks = 1;
    whole.perTask = {m_where.workers.front().capacity.cores / 2,
                     m_where.workers.front().capacity.memory / 2, perWorker};
    whole.closeness = adjacency::Worker;
    m_config.entries.shapes[whole.name] = whole;
    const double guaranteed = 0.6 * double(m_where.workers.size());
    for (int t = 0; t < m_where.teams; ++t) {
        team_entry team;
        team.name = "team" + std::to_string(t);
        team.maxQueued = 1000000;
        const int count
            = int(guaranteed * (t + 1) / m_where.teams) - int(guaranteed * t / m_where.teams);
        if (count > 0)
            team.guarantees.push_back({whole.name, count, "cell"});
        m_config.entries.teams[team.name] = team;
    }
    m_config.number = 1;
    m_engine->applyConfiguration(m_config, at(0));
    for (const worker_info &worker : m_where.workers) {
        m_workers[worker.id] = worker;
        m_engine->workerUp(worker, at(0));
    }
    recordCapacity();
    m_now = 60; // all workers are up
}

// Declared sizes and run times are wrong by up to 10x. Most of the error is common to all jobs of a
// team and size; the rest varies by job.
sim_job simulation::randomJob(int size, double length)
{
    sim_job job;
    const int team = pick(0, m_where.teams - 1);
    job.spec.key = {"team" + std::to_string(team), "j" + std::to_string(m_jobs.size())};
    job.spec.className = team % 2 == 0 ? "routes" : "forecasts";
    job.spec.shape = "s" + std::to_string(size) + (length < 600 ? "short" : "long");
    const std::int64_t perWorker = m_where.workers.front().capacity.accelerators;
    const std::int64_t perTask = std::min<std::int64_t>(size, perWorker > 2 ? perWorker : 1);
    job.spec.tasks = std::int32_t(size / perTask);
    if (job.spec.tasks > 1 && size <= 3 * perWorker)
        job.spec.closeness = chance(0.5) ? adjacency::Rack : adjacency::FailureDomain;
    const auto error = m_shapeError.emplace(
        std::make_pair(job.spec.key.team + job.spec.shape, size), uniform(-0.7, 0.7));
    const double runTimeError = std::pow(10, error.first->second + uniform(-0.3, 0.3));
    const resources &capacity = m_where.workers.front().capacity;
    const double share = 0.4 * double(perTask) / double(perWorker);
    const double sizeError = std::pow(10, uniform(-1, 1));
    // Declares at most twice the share of a worker that corresponds to the task's accelerators.
    const double declared
        = std::min(share * sizeError, std::min(1.0, 2.0 * double(perTask) / double(perWorker)));
    job.spec.perTask = {std::int64_t(double(capacity.cores) * declared),
                        std::int64_t(double(capacity.memory) * declared), perTask};
    job.length = length;
    job.spec.declaredRunTime = millis(std::max(1.0, length * runTimeError));
    const double kind = uniform(0, 1);
    job.spec.canCheckpoint = kind < 0.5;
    job.spec.idempotent = kind < 0.8;
    job.spec.stopTime = millis(pick(1, 5));
    return job;
}

sim_job simulation::randomJob()
{
    std::discrete_distribution<int> sizes(m_where.gangWeights.begin(), m_where.gangWeights.end());
    const int size = m_where.gangSizes[std::size_t(sizes(m_random))];
    // Heavy tail: minutes for half of the jobs, hours for some.
    static const double medians[] = {180, 180, 180, 1200, 1200, 5400};
    std::lognormal_distribution<double> spread(0, 0.8);
    const double length = std::clamp(medians[pick(0, 5)] * spread(m_random), 10.0, 8 * hour);
    return randomJob(size, length);
}

void simulation::addJob(sim_job job)
{
    const std::size_t index = m_jobs.size();
    job.spec.key.requestId = "j" + std::to_string(index);
    m_byId[job.spec.key.requestId] = index;
    m_jobs.push_back(std::move(job));
    post(m_jobs.back().arrival, [this, index] { queue(index); });
}

void simulation::makeBurst(double from, int count, double overSeconds)
{
    for (int i = 0; i < count; ++i) {
        sim_job job = randomJob();
        job.arrival = from + uniform(0, overSeconds);
        if (chance(0.04)) {
            const double length = uniform(20, 300);
            job = randomJob(1, length);
            job.arrival = from + uniform(0, overSeconds);
            job.spec.className = "urgent";
            job.spec.canCheckpoint = true;
        }
        addJob(std::move(job));
    }
}

// One team borrows the whole cell; later each other team claims all of its guarantee.
void simulation::makeBorrowing()
{
    for (double t = 0; t < total() * 3; t += 1) {
        sim_job job = randomJob(1, uniform(1, 6) * hour);
        job.spec.key.team = "team0";
        job.spec.canCheckpoint = t > total() || job.spec.idempotent;
        job.spec.idempotent = true;
        job.arrival = 100;
        addJob(std::move(job));
    }
    double when = 2 * hour;
    for (const auto &[name, team] : m_config.entries.teams) {
        if (name == "team0" || team.guarantees.empty())
            continue;
        for (int i = 0; i < team.guarantees.front().count; ++i) {
            sim_job job = randomJob(1, uniform(600, 3000));
            const shape_entry &shape = m_config.entries.shapes.at("whole");
            job.spec.key.team = name;
            job.spec.shape = shape.name;
            job.spec.tasks = shape.tasks;
            job.spec.perTask = shape.perTask;
            job.spec.closeness = shape.closeness;
            job.spec.canCheckpoint = false;
            job.spec.idempotent = false;
            job.arrival = when;
            job.claim = true;
            addJob(std::move(job));
        }
        when += 60;
    }
}

// Adds small long jobs across the cell, then large adjacent gangs among a stream of small ones.
void simulation::makeFragmented()
{
    const int small = int(total());
    for (int i = 0; i < small; ++i) {
        sim_job job = randomJob(1, uniform(0.3, 4) * hour);
        job.arrival = 100;
        addJob(std::move(job));
    }
    const int gangs = std::max(6, int(total()) / 24);
    for (int i = 0; i < gangs; ++i) {
        const int size = m_where.gangSizes[m_where.gangSizes.size() - 1 - std::size_t(pick(0, 2))];
        sim_job job = randomJob(size, uniform(600, 3600));
        job.arrival = 600 + uniform(0, 3600);
        addJob(std::move(job));
    }
    for (int i = 0; i < small * 3; ++i) {
        sim_job job = randomJob(1, uniform(120, 3600));
        job.arrival = 600 + uniform(0, 3 * hour);
        addJob(std::move(job));
    }
}

// A failure domain goes out of service and returns twice: with a minute's warning, then without one
// while a worker of another domain fails.
void simulation::makeDomainChanges()
{
    makeBurst(100, m_where.jobs * 2, hour);
    const double first = 1.5 * hour;
    const double second = 3.5 * hour;
    m_windowFrom = first;
    m_windowTo = second + 1.5 * hour;
    const auto allOf = [this](int domain) {
        std::vector<std::string> ids;
        for (const worker_info &w : m_where.workers) {
            if (w.failureDomain == "d" + std::to_string(domain))
                ids.push_back(w.id);
        }
        return ids;
    };
    post(first, [this] { setDomain(0, true); });
    for (const std::string &id : allOf(0)) {
        post(first + 60, [this, id] { setWorker(id, false); });
        post(first + hour, [this, id] { setWorker(id, true); });
        post(second, [this, id] { setWorker(id, false); });
        post(second + hour, [this, id] { setWorker(id, true); });
    }
    post(first + hour, [this] { setDomain(0, false); });
    post(second + 5, [this] { setDomain(0, true); });
    post(second + hour, [this] { setDomain(0, false); });
    const std::string dead = allOf(1).front();
    post(second, [this, dead] { setWorker(dead, false); });
    post(second + 0.5 * hour, [this, dead] { setWorker(dead, true); });
}

// Adds faulty workers, jobs that can never run, and waves of cancellations.
void simulation::makeFaults()
{
    makeBurst(100, m_where.jobs, hour);
    const std::size_t bad = std::max<std::size_t>(1, m_where.workers.size() / 20);
    for (std::size_t i = 0; i < bad; ++i)
        m_faultyWorkers.insert(m_where.workers[i * 3 % m_where.workers.size()].id);
    for (sim_job &job : m_jobs)
        job.spec.idempotent = true; // so that a failed attempt may be repeated
    for (int i = 0; i < m_where.jobs / 20; ++i) {
        sim_job job = randomJob(1, 600);
        job.spec.perTask.memory *= 1000;
        job.mayNotRun = true;
        job.arrival = 100 + uniform(0, hour);
        addJob(std::move(job));
    }
    for (int wave = 0; wave < 4; ++wave) {
        for (int i = 0; i < m_where.jobs / 20; ++i) {
            const std::size_t victim = std::size_t(pick(0, m_where.jobs - 1));
            post(0.5 * hour + wave * 0.25 * hour, [this, victim] { cancel(victim); });
        }
    }
}

// --- events ---

void simulation::queue(std::size_t index)
{
    sim_job &job = m_jobs[index];
    job.waitedSince = m_now;
    job.couldStartInTime = job.spec.className == "urgent" && couldFreeCapacity(job);
    m_waiting.insert(index);
    m_engine->jobQueued(job.spec, {}, at(m_now));
}

// Returns whether free capacity and borrowers that stop within 3 s suffice for a job of one task.
bool simulation::couldFreeCapacity(const sim_job &job) const
{
    for (const auto &[id, worker] : m_workers) {
        const bool out = m_config.domainsOut.count(worker.failureDomain) > 0;
        if (out || m_down.count(id) > 0 || m_faultyWorkers.count(id) > 0)
            continue;
        resources freeCapacity = worker.capacity;
        const auto here = m_jobsOn.find(id);
        if (here != m_jobsOn.end()) {
            for (const std::size_t other : here->second) {
                const sim_job &o = m_jobs[other];
                const bool stops = o.borrowed && o.spec.className != "urgent"
                    && o.spec.stopTime <= millis(urgentBound);
                for (const gang_part &part : o.parts) {
                    if (part.worker == id && !stops)
                        freeCapacity -= o.spec.perTask * part.tasks;
                }
            }
        }
        if (freeCapacity.covers(job.spec.perTask))
            return true;
    }
    return false;
}

void simulation::applyActions()
{
    ++m_report.events;
    for (const scheduler_action &action : m_engine->takeActions())
        std::visit([this](const auto &a) { take(a); }, action);
}

void simulation::take(const place_action &action)
{
    const std::size_t index = m_byId.at(action.job.requestId);
    sim_job &job = m_jobs[index];
    job.parts = action.parts;
    job.borrowed = action.borrowed;
    job.placedAt = m_now;
    job.waited += m_now - job.waitedSince;
    m_waiting.erase(index);
    if (job.firstStart < 0)
        job.firstStart = m_now;
    worker_id failsOn;
    for (const gang_part &part : job.parts) {
        m_used[part.worker] += job.spec.perTask * part.tasks;
        m_jobsOn[part.worker].insert(index);
        if (m_faultyWorkers.count(part.worker) > 0)
            failsOn = part.worker;
    }
    const int attempt = ++job.attempt;
    const double left = job.length - job.done;
    if (!failsOn.empty() && left > failureAfter) {
        post(m_now + failureAfter, [this, index, attempt, failsOn] {
            if (m_jobs[index].attempt == attempt && m_jobs[index].placedAt >= 0)
                endAttempt(index, stop_result::Failed, true, failsOn);
        });
        return;
    }
    post(m_now + left, [this, index, attempt] {
        if (m_jobs[index].attempt == attempt && m_jobs[index].placedAt >= 0)
            endAttempt(index, stop_result::Finished, false, {});
    });
}

void simulation::take(const stop_action &action)
{
    const std::size_t index = m_byId.at(action.job.requestId);
    sim_job &job = m_jobs[index];
    job.stopSentAt = m_now;
    ++m_report.stops;
    const bool lost = action.reason == stop_reason::WorkerLost;
    const double bound = double(job.spec.stopTime.count()) / 1000;
    const double takes = lost ? 0.5 : bound * uniform(0.3, 1);
    const int attempt = job.attempt;
    const bool final = action.reason == stop_reason::Cancelled;
    post(m_now + takes, [this, index, attempt, final, lost] {
        sim_job &stopped = m_jobs[index];
        if (stopped.attempt != attempt || stopped.placedAt < 0)
            return;
        // The work since the last checkpoint is lost with the worker; no checkpoint was requested.
        if (lost)
            stopped.stopSentAt = stopped.placedAt;
        endAttempt(index, stop_result::Stopped, !final, {});
    });
}

void simulation::take(const reject_action &action)
{
    const std::size_t index = m_byId.at(action.job.requestId);
    m_jobs[index].rejected = true;
    m_waiting.erase(index);
    ++m_report.rejected;
}

void simulation::endAttempt(std::size_t index, stop_result how, bool requeue,
                            const worker_id &failedOn)
{
    sim_job &job = m_jobs[index];
    const double ran = m_now - job.placedAt;
    double kept = 0;
    if (how == stop_result::Finished)
        kept = ran;
    else if (how == stop_result::Stopped && job.spec.canCheckpoint)
        kept = std::max(0.0, job.stopSentAt - job.placedAt);
    const double width = job.accelerators();
    m_ranWork += ran * width;
    const bool crashed = job.stopSentAt == job.placedAt;
    if (how == stop_result::Stopped && requeue && !crashed)
        m_lostWork += (ran - kept) * width;
    if (how == stop_result::Stopped && crashed && job.placedAt < m_windowTo)
        m_windowCrashed
            += std::max(0.0, std::min(m_now, m_windowTo) - std::max(job.placedAt, m_windowFrom))
            * width;
    const double from = std::max(job.placedAt, m_windowFrom);
    const double to = std::min(job.placedAt + kept, m_windowTo);
    if (to > from)
        m_windowWork += (to - from) * width;
    for (const gang_part &part : job.parts) {
        m_used[part.worker] -= job.spec.perTask * part.tasks;
        m_jobsOn[part.worker].erase(index);
    }
    job.parts.clear();
    job.placedAt = -1;
    job.done += kept;
    if (how == stop_result::Finished)
        job.finishedAt = m_now;
    stopped_event event;
    event.how = how;
    event.requeue = requeue;
    event.failedOn = failedOn;
    event.progress = job.done / job.length;
    job.waitedSince = m_now;
    if (requeue)
        m_waiting.insert(index);
    m_engine->jobStopped(job.spec.key, event, at(m_now));
}

void simulation::setDomain(int domain, bool out)
{
    const std::string name = "d" + std::to_string(domain);
    if (out)
        m_config.domainsOut.insert(name);
    else
        m_config.domainsOut.erase(name);
    ++m_config.number;
    m_engine->applyConfiguration(m_config, at(m_now));
    recordCapacity();
}

void simulation::setWorker(const std::string &id, bool up)
{
    if (up) {
        m_down.erase(id);
        m_engine->workerUp(m_workers.at(id), at(m_now));
    } else {
        m_down.insert(id);
        m_engine->workerDown(id, at(m_now));
    }
    recordCapacity();
}

void simulation::cancel(std::size_t index)
{
    sim_job &job = m_jobs[index];
    if (job.finishedAt >= 0 || job.rejected)
        return;
    job.rejected = true;
    m_waiting.erase(index);
    m_engine->jobCancelled(job.spec.key, at(m_now));
}

// --- results ---

double simulation::inService() const
{
    double sum = 0;
    for (const worker_info &w : m_where.workers) {
        if (m_down.count(w.id) == 0 && m_config.domainsOut.count(w.failureDomain) == 0)
            sum += double(w.capacity.accelerators);
    }
    return sum;
}

void simulation::recordCapacity()
{
    m_capacitySteps.emplace_back(m_now, inService());
}

void simulation::sample()
{
    const sim_job *largest = nullptr;
    for (const std::size_t index : m_waiting) {
        const sim_job &job = m_jobs[index];
        if (!job.mayNotRun && (!largest || job.accelerators() > largest->accelerators()))
            largest = &job;
    }
    double free = 0;
    std::map<std::string, double> racks;
    std::map<std::string, std::int64_t> fits;
    for (const auto &[id, worker] : m_workers) {
        if (m_down.count(id) > 0 || m_config.domainsOut.count(worker.failureDomain) > 0)
            continue;
        resources freeCapacity = worker.capacity;
        freeCapacity -= m_used[id];
        free += double(freeCapacity.accelerators);
        racks[worker.failureDomain + worker.rack] += double(freeCapacity.accelerators);
        if (!largest)
            continue;
        std::string group;
        if (largest->spec.closeness == adjacency::FailureDomain)
            group = worker.failureDomain;
        else if (largest->spec.closeness == adjacency::Rack)
            group = worker.failureDomain + worker.rack;
        else if (largest->spec.closeness == adjacency::Worker)
            group = id;
        fits[group] += freeCapacity.accelerators
            / std::max<std::int64_t>(1, largest->spec.perTask.accelerators);
    }
    double best = 0;
    for (const auto &[name, rack] : racks)
        best = std::max(best, rack);
    if (free > 0) {
        m_largest += best / free;
        ++m_largestSamples;
    }
    if (!largest)
        return;
    bool usable = false;
    for (const auto &[group, count] : fits)
        usable = usable || count >= largest->spec.tasks;
    m_unusable += usable ? 0 : free / std::max(1.0, inService());
    ++m_samples;
}

double simulation::lowerBound() const
{
    // Each weighted sum of the resources defines a fluid machine that gives a lower bound, because
    // running jobs never use more than the cell has of any resource. The largest of these bounds is
    // a lower bound as well.
    double bound = 0;
    for (const double acceleratorWeight : {0.0, 0.25, 0.5, 0.75, 1.0})
        bound = std::max(bound, fluidBound(acceleratorWeight));
    double critical = 0;
    std::size_t count = 0;
    for (const sim_job &job : m_jobs) {
        if (job.rejected || job.mayNotRun)
            continue;
        critical += std::min(job.length, m_end - job.arrival);
        ++count;
    }
    return std::max(critical, bound) / double(std::max<std::size_t>(1, count));
}

// @param acceleratorWeight weight of accelerators, 0 to 1; the rest is the weight of cores
double simulation::fluidBound(double acceleratorWeight) const
{
    double cores = 0;
    for (const worker_info &w : m_where.workers)
        cores += double(w.capacity.cores);
    const double coreUnit = total() / cores; // the cell has as many core units as accelerators
    std::vector<fluid_bound::task> tasks;
    for (const sim_job &job : m_jobs) {
        if (job.rejected || job.mayNotRun)
            continue;
        const double ofCores = double(job.spec.tasks * job.spec.perTask.cores) * coreUnit;
        tasks.push_back(
            {job.arrival,
             job.length
                 * (acceleratorWeight * job.accelerators() + (1 - acceleratorWeight) * ofCores)});
    }
    // The completion time of a job that does not finish within the run is truncated; then only the
    // bound of fluid_bound::sum() holds.
    double halves = 0;
    for (const sim_job &job : m_jobs) {
        if (!job.rejected && !job.mayNotRun)
            halves += job.length / 2 - job.arrival;
    }
    const double busy
        = m_report.unfinished > 0 ? 0 : leastMeanBusyTimes(tasks, m_capacitySteps) + halves;
    return std::max(busy, fluid_bound::sum(std::move(tasks), m_capacitySteps, m_end));
}

void simulation::finish()
{
    std::vector<double> all;
    std::map<std::string, std::vector<double>> byClass;
    std::map<int, std::vector<double>> bySize;
    std::vector<double> reclaim;
    std::vector<double> urgent;
    for (sim_job &job : m_jobs) {
        if (job.rejected || job.mayNotRun)
            continue;
        const bool done = job.finishedAt >= 0;
        m_report.unfinished += done ? 0 : 1;
        if (!done && job.placedAt < 0)
            job.waited += m_end - job.waitedSince;
        const double taken = (done ? job.finishedAt : m_end) - job.arrival;
        all.push_back(taken);
        byClass[job.spec.className].push_back(taken);
        int edge = 1;
        while (edge < job.accelerators())
            edge *= 2;
        bySize[edge].push_back(taken);
        m_report.starvation = std::max(m_report.starvation, job.waited / job.length);
        const double delay = (job.firstStart < 0 ? m_end : job.firstStart) - job.arrival;
        if (job.claim) {
            reclaim.push_back(delay);
            constexpr double slowestStop = 5;
            m_report.lateReclaims += delay > slowestStop ? 1 : 0;
        }
        if (job.spec.className == "urgent") {
            urgent.push_back(delay);
            m_report.lateUrgent += job.couldStartInTime && delay > urgentBound ? 1 : 0;
        }
    }
    m_report.completion = distributionOf(all);
    for (const auto &[name, values] : byClass)
        m_report.completionByClass[name] = distributionOf(values);
    for (const auto &[size, values] : bySize)
        m_report.completionBySize[size] = distributionOf(values);
    m_report.reclaim = distributionOf(reclaim);
    m_report.urgentDelay = distributionOf(urgent);
    m_report.lowerBound = lowerBound();
    m_report.unusableShare = m_samples > 0 ? m_unusable / m_samples : 0;
    m_report.largestGangShare = m_largestSamples > 0 ? m_largest / m_largestSamples : 0;
    m_report.lostShare = m_ranWork > 0 ? m_lostWork / m_ranWork : 0;
    m_report.examined = m_engine->capacity().examined;
    if (m_windowTo > 0) {
        double allowed = 0;
        for (std::size_t i = 0; i < m_capacitySteps.size(); ++i) {
            const double from = std::max(m_capacitySteps[i].first, m_windowFrom);
            const double to = i + 1 < m_capacitySteps.size()
                ? std::min(m_capacitySteps[i + 1].first, m_windowTo)
                : m_windowTo;
            allowed += to > from ? (to - from) * m_capacitySteps[i].second : 0;
        }
        m_report.domainChangeShare = m_windowWork / (allowed - m_windowCrashed);
    }
}

run_report simulation::run()
{
    setUp();
    m_end = 24 * hour;
    switch (m_kind) {
    case workload::Burst:
        makeBurst(100, m_where.jobs / 4, 4 * hour); // low load at night before the morning burst
        makeBurst(4 * hour, m_where.jobs, 0.5 * hour);
        break;
    case workload::Borrowing:
        makeBorrowing();
        break;
    case workload::Fragmented:
        makeFragmented();
        break;
    case workload::DomainOut:
        makeDomainChanges();
        break;
    case workload::Faulty:
        makeFaults();
        break;
    }
    double nextTick = m_now;
    double nextSample = m_now;
    while (m_now < m_end) {
        const double nextEvent = m_events.empty() ? m_end : m_events.top().at;
        m_now = std::min({nextEvent, nextTick, nextSample, m_end});
        if (m_now >= m_end)
            break;
        if (nextSample <= m_now) {
            sample();
            nextSample += sampleSeconds;
        } else if (nextTick <= m_now) {
            m_engine->tick(at(m_now));
            nextTick += tickSeconds;
        } else {
            const std::function<void()> run = m_events.top().run;
            m_events.pop();
            run();
        }
        applyActions();
    }
    // Jobs that still run count up to the end of the window.
    for (const sim_job &job : m_jobs) {
        if (job.placedAt >= 0 && job.placedAt < m_windowTo)
            m_windowWork
                += (m_windowTo - std::max(job.placedAt, m_windowFrom)) * job.accelerators();
    }
    finish();
    return m_report;
}

worker_info workerOf(int index, int domain, int inDomain, const resources &capacity)
{
    constexpr int perRack = 3;
    worker_info info;
    info.id = "w" + std::to_string(index);
    info.failureDomain = "d" + std::to_string(domain);
    info.rack = "r" + std::to_string(inDomain / perRack);
    info.capacity = capacity;
    return info;
}

void addWorkers(deployment &to, int count, const std::function<resources(int)> &capacityOf)
{
    std::vector<int> inDomain(std::size_t(to.domains));
    for (int i = 0; i < count; ++i) {
        const int domain = int(std::int64_t(i) * to.domains / count);
        to.workers.push_back(workerOf(i, domain, inDomain[std::size_t(domain)]++, capacityOf(i)));
    }
}

} // namespace

const char *nameOf(workload kind)
{
    static const char *const names[] = {"burst", "borrowing", "fragmented", "domain out", "faulty"};
    return names[int(kind)];
}

distribution distributionOf(std::vector<double> values)
{
    distribution result;
    result.count = values.size();
    if (values.empty())
        return result;
    std::sort(values.begin(), values.end());
    const auto quantile = [&](double q) {
        return values[std::min(values.size() - 1, std::size_t(q * double(values.size())))];
    };
    double sum = 0;
    for (const double value : values)
        sum += value;
    result.mean = sum / double(values.size());
    result.p50 = quantile(0.5);
    result.p95 = quantile(0.95);
    result.p99 = quantile(0.99);
    result.max = values.back();
    return result;
}

deployment scaledCell(int workers)
{
    deployment cell;
    cell.name = std::to_string(workers);
    cell.domains = 1;
    cell.teams = std::max(4, workers / 3);
    cell.gangSizes = {1, 2, 4, 8, 16, 32, 64, 128};
    cell.gangWeights = {550, 150, 100, 80, 60, 30, 20, 10};
    cell.jobs = workers * 7;
    // 655 accelerators on 445 workers: 210 of them have two.
    addWorkers(cell, workers, [](int i) {
        return resources{64000, 262144, (i * 210) / 445 != ((i + 1) * 210) / 445 ? 2 : 1};
    });
    std::int64_t total = 0;
    for (const worker_info &w : cell.workers)
        total += w.capacity.accelerators;
    while (cell.gangSizes.back() > total / 4) {
        cell.gangSizes.pop_back();
        cell.gangWeights.pop_back();
    }
    return cell;
}

deployment deploymentOf(const std::string &name, int domains)
{
    deployment result;
    if (name == "target") {
        result = scaledCell(445);
        result.teams = 150;
        if (domains > 0) {
            result.domains = domains;
            const std::vector<worker_info> old = std::exchange(result.workers, {});
            addWorkers(result, int(old.size()),
                       [&](int i) { return old[std::size_t(i)].capacity; });
        }
    } else {
        const bool water = name == "water";
        result.domains = water ? 3 : 4;
        result.teams = 4;
        result.gangSizes = {1, 2, 4, 8, 16, 24};
        result.gangWeights = {50, 18, 12, 10, 6, 4};
        result.jobs = 500;
        const resources capacity
            = water ? resources{128000, 524288, 8} : resources{64000, 262144, 8};
        addWorkers(result, 11, [&](int) { return capacity; });
        for (worker_info &w : result.workers)
            w.slots = 8;
    }
    result.name = name;
    return result;
}

namespace {

// Drives an engine through a steady state of queued, stopped and cancelled jobs and ticks.
class cost_run
{
public:
    cost_run(engine_maker make, int workers, unsigned seed, heap_use (*heap)())
        : m_cell(scaledCell(workers))
        , m_random(seed)
        , m_heap(heap)
        , m_engine(make("cell"))
    { }

    cost_report run()
    {
        const int teams = m_cell.teams;
        for (int t = 0; t < teams; ++t)
            m_config.entries.teams["team" + std::to_string(t)].maxQueued = 1000000;
        m_engine->applyConfiguration(m_config, at(0));
        const std::size_t workers = m_cell.workers.size();
        m_report.bytesPerWorker = heapGrowth(workers, [&] {
            for (const worker_info &worker : m_cell.workers)
                m_engine->workerUp(worker, at(0));
        });
        m_now = 60;
        std::int64_t accelerators = 0;
        for (const worker_info &w : m_cell.workers)
            accelerators += w.capacity.accelerators;
        m_running.reserve(std::size_t(accelerators) * 2);
        m_report.bytesPerTask = heapGrowth(std::size_t(accelerators), [&] {
            for (std::int64_t i = 0; i < accelerators; ++i)
                submit(1);
        });
        const std::size_t queued = workers * 5;
        m_report.bytesPerQueuedJob = heapGrowth(queued, [&] {
            for (std::size_t i = 0; i < queued; ++i)
                submit(randomSize());
        });
        steadyState();
        return m_report;
    }

private:
    template<typename F>
    double heapGrowth(std::size_t count, F act)
    {
        const std::int64_t before = m_heap().liveBytes;
        act();
        const std::int64_t grown = m_heap().liveBytes - before;
        return double(grown) / double(count);
    }

    int randomSize()
    {
        std::discrete_distribution<int> sizes(m_cell.gangWeights.begin(), m_cell.gangWeights.end());
        return m_cell.gangSizes[std::size_t(sizes(m_random))];
    }

    job_spec specOf(int tasks)
    {
        std::uniform_int_distribution<int> team(0, m_cell.teams - 1);
        std::uniform_int_distribution<int> kind(0, 3);
        job_spec spec;
        spec.key = {"team" + std::to_string(team(m_random)), "j" + std::to_string(m_next++)};
        spec.shape = "s" + std::to_string(tasks);
        spec.tasks = tasks;
        spec.perTask = {8000, 16384, 1};
        spec.closeness
            = tasks > 1 && tasks <= 4 && kind(m_random) < 2 ? adjacency::Rack : adjacency::None;
        spec.canCheckpoint = kind(m_random) < 2;
        spec.idempotent = true;
        spec.declaredRunTime = 1h * (kind(m_random) + 1);
        return spec;
    }

    template<typename F>
    void measured(cost_kind kind, F act)
    {
        const std::uint64_t examined = m_examined ? m_engine->capacity().examined : 0;
        const heap_use before = m_heap();
        const auto from = std::chrono::steady_clock::now();
        act();
        const auto to = std::chrono::steady_clock::now();
        const heap_use after = m_heap();
        event_cost &cost = m_report.events[kind];
        cost.nanoseconds += double(std::chrono::nanoseconds(to - from).count());
        cost.allocations += double(after.allocations - before.allocations);
        cost.bytes += double(after.allocatedBytes - before.allocatedBytes);
        if (m_examined)
            cost.examined += double(m_engine->capacity().examined - examined);
        ++cost.events;
        trackActions();
    }

    void trackActions()
    {
        for (const scheduler_action &action : m_engine->takeActions()) {
            if (const auto *place = std::get_if<place_action>(&action)) {
                m_running.push_back(place->job);
            } else if (const auto *stop = std::get_if<stop_action>(&action)) {
                const auto found = std::find(m_running.begin(), m_running.end(), stop->job);
                if (found == m_running.end())
                    continue;
                std::swap(*found, m_running.back());
                m_running.pop_back();
                m_stopping.push_back(stop->job);
            }
        }
    }

    void submit(int tasks)
    {
        const job_spec spec = specOf(tasks);
        m_engine->jobQueued(spec, {}, at(m_now));
        trackActions();
    }

    void stopped(const job_key &key, stop_result how)
    {
        stopped_event event;
        event.how = how;
        event.requeue = how == stop_result::Stopped;
        event.progress = 0.5;
        measured(cost_kind::Stopped, [&] { m_engine->jobStopped(key, event, at(m_now)); });
    }

    void steadyState()
    {
        m_examined = true;
        constexpr int steps = 400;
        constexpr int maxTicks = 20;
        // The target cell of 445 workers receives one job per minute; larger cells receive more.
        const double interval = 60.0 * 445 / double(m_cell.workers.size());
        for (int i = 0; i < steps; ++i) {
            for (int t = 0; t < maxTicks && t < interval; ++t) {
                m_now += std::min(1.0, interval);
                measured(cost_kind::Tick, [&] { m_engine->tick(at(m_now)); });
            }
            const job_spec spec = specOf(randomSize());
            measured(cost_kind::Queued, [&] { m_engine->jobQueued(spec, {}, at(m_now)); });
            while (!m_stopping.empty()) {
                const job_key key = m_stopping.back();
                m_stopping.pop_back();
                stopped(key, stop_result::Stopped);
            }
            if (!m_running.empty()) {
                std::uniform_int_distribution<std::size_t> any(0, m_running.size() - 1);
                std::swap(m_running[any(m_random)], m_running.back());
                const job_key key = m_running.back();
                m_running.pop_back();
                stopped(key, stop_result::Finished);
            }
            const job_spec second = specOf(randomSize());
            m_engine->jobQueued(second, {}, at(m_now));
            trackActions();
            if (std::find(m_running.begin(), m_running.end(), second.key) == m_running.end())
                measured(cost_kind::Cancelled,
                         [&] { m_engine->jobCancelled(second.key, at(m_now)); });
        }
        for (auto &[kind, cost] : m_report.events) {
            const double count = double(cost.events);
            cost.examined /= count;
            cost.allocations /= count;
            cost.bytes /= count;
            cost.nanoseconds /= count;
        }
    }

    deployment m_cell;
    std::mt19937 m_random;
    heap_use (*m_heap)();
    std::unique_ptr<scheduler> m_engine;
    configuration m_config;
    cost_report m_report;
    std::vector<job_key> m_running;
    std::vector<job_key> m_stopping;
    bool m_examined = false;
    double m_now = 0;
    int m_next = 0;
};

} // namespace

cost_report measureCost(engine_maker make, int workers, unsigned seed, heap_use (*heap)())
{
    return cost_run(make, workers, seed, heap).run();
}

double growthExponent(const std::vector<std::pair<double, double>> &costBySize)
{
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    const double n = double(costBySize.size());
    for (const auto &[size, cost] : costBySize) {
        const double a = std::log(size);
        const double b = std::log(std::max(cost, 1e-9));
        x += a;
        y += b;
        xx += a * a;
        xy += a * b;
    }
    return (n * xy - x * y) / (n * xx - x * x);
}

run_report runWorkload(engine_maker make, const deployment &where, workload kind, unsigned seed)
{
    return simulation(make, where, kind, seed).run();
}

} // namespace goldcrest
