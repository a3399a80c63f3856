// Random event sequences for both engines, checked after every event by the engine's own invariants
// and by the test's own accounting of the placements.
//
// GOLDCREST_SEEDS sets the number of seeds (300 without it), GOLDCREST_SEED runs a single one.

#include "goldcrest/guarantee_check.h"
#include "goldcrest/scheduler.h"

#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr int defaultSeeds = 300;
constexpr int eventsPerSeed = 220;
constexpr int firstSeed = 1;

using engine_maker = std::unique_ptr<scheduler> (*)(std::string_view);

struct model_job
{
    job_spec spec;
    std::vector<gang_part> parts; // empty while it waits
    bool stopping = false;
    bool cancelled = false;
    int attempts = 0;
};

struct model_worker
{
    worker_info info;
    bool up = false;
    bool suspended = false;
};

class random_run
{
public:
    // @param lends whether the cell is lent to one team before the others claim their guarantees
    random_run(engine_maker make, unsigned seed, bool lends)
        : m_random(seed)
        , m_lendsCell(lends)
        , m_engine(make("cell"))
    { }

    // Returns an empty string, or a description of the first violation.
    std::string run()
    {
        setUp();
        for (int i = 0; i < eventsPerSeed && m_violation.empty(); ++i)
            step();
        if (m_violation.empty())
            claimAllGuarantees();
        if (m_violation.empty())
            finishAllJobs();
        return m_violation;
    }

    std::string trace() const
    {
        std::string text;
        for (const std::string &line : m_trace)
            text += "  " + line + "\n";
        return text;
    }

private:
    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    bool chance(int percent) { return pick(1, 100) <= percent; }

    void note(std::string line)
    {
        constexpr std::size_t traceLines = 14;
        m_trace.push_back(std::move(line));
        if (m_trace.size() > traceLines)
            m_trace.pop_front();
    }

    void reportViolation(const std::string &what)
    {
        if (m_violation.empty())
            m_violation = what;
    }

    template<typename T>
    typename T::iterator any(T &from)
    {
        return std::next(from.begin(), pick(0, int(from.size()) - 1));
    }

    // --- set-up ---

    resources randomTask()
    {
        static const int accelerators[] = {0, 1, 1, 2, 4, 8};
        resources need;
        need.accelerators = accelerators[pick(0, 5)];
        need.cores = 1000 * pick(1, 6) * std::max<std::int64_t>(1, need.accelerators);
        need.memory = 4096 * pick(1, 7) * std::max<std::int64_t>(1, need.accelerators);
        return need;
    }

    void setUp()
    {
        const int domains = pick(2, 4);
        for (int d = 0; d < domains; ++d) {
            const int workers = pick(2, 4);
            for (int w = 0; w < workers; ++w) {
                worker_info info;
                info.failureDomain = "d" + std::to_string(d);
                info.rack = "r" + std::to_string(w / 3);
                info.id = info.failureDomain + "w" + std::to_string(w);
                info.capacity = {64000, 262144, 8};
                info.slots = chance(50) ? 8 : 0;
                m_workers[info.id] = {info, false, false};
                m_domains.insert(info.failureDomain);
            }
        }
        addClass("routes", 4, false);
        addClass("forecasts", 1, false);
        addClass("urgent", 1, true);
        for (int s = 0; s < 5; ++s) {
            shape_entry shape;
            shape.name = "s" + std::to_string(s);
            shape.className = chance(50) ? "routes" : "forecasts";
            shape.tasks = pick(1, 4);
            shape.perTask = randomTask();
            shape.closeness = adjacency(pick(0, 3));
            m_config.entries.shapes[shape.name] = shape;
        }
        for (int t = 0; t < 4; ++t) {
            team_entry team;
            team.name = "t" + std::to_string(t);
            team.maxQueued = 60;
            if (chance(20))
                team.quota.accelerators = 24;
            m_config.entries.teams[team.name] = team;
        }
        changeGuarantees();
        apply();
        for (auto &[id, worker] : m_workers)
            up(worker);
    }

    void addClass(const std::string &name, int weight, bool urgent)
    {
        class_entry entry;
        entry.name = name;
        entry.weight = weight;
        entry.urgent = urgent;
        m_config.entries.classes[name] = entry;
    }

    std::vector<worker_info> allWorkers() const
    {
        std::vector<worker_info> infos;
        for (const auto &[id, worker] : m_workers)
            infos.push_back(worker.info);
        return infos;
    }

    // New guarantees that fit on the whole cell, as the entry accepts them.
    void changeGuarantees()
    {
        for (auto &[name, team] : m_config.entries.teams)
            team.guarantees.clear();
        for (int i = 0; i < 6; ++i) {
            team_entry &team = any(m_config.entries.teams)->second;
            const std::string shape = any(m_config.entries.shapes)->first;
            team.guarantees.push_back({shape, pick(1, 2), "cell"});
            if (!checkGuarantees(m_config.entries, "cell", allWorkers()).fits())
                team.guarantees.pop_back();
        }
    }

    // --- events ---

    void apply()
    {
        ++m_config.number;
        m_engine->applyConfiguration(m_config, m_now);
        settle();
    }

    void up(model_worker &worker)
    {
        worker.up = true;
        worker.suspended = false;
        m_engine->workerUp(worker.info, m_now);
        settle();
    }

    void step()
    {
        m_now += duration(pick(1, 20000));
        const int kind = pick(1, 100);
        if (kind <= 34)
            submit();
        else if (kind <= 58)
            end();
        else if (kind <= 76)
            acknowledgeStop();
        else if (kind <= 80)
            changeWorker();
        else if (kind <= 84)
            changeDomain();
        else if (kind <= 88)
            cancel();
        else if (kind <= 91)
            reportUsage();
        else if (kind <= 92)
            reconfigure();
        else
            tick();
    }

    job_spec randomSpec()
    {
        job_spec spec;
        spec.key = {any(m_config.entries.teams)->first, "j" + std::to_string(++m_lastJob)};
        static const char *const classes[] = {"routes", "forecasts", "forecasts", "urgent"};
        spec.className = classes[pick(0, 3)];
        spec.tasks = chance(50) ? 1 : pick(2, 6);
        spec.perTask = randomTask();
        if (chance(50)) {
            const shape_entry &shape = any(m_config.entries.shapes)->second;
            spec.shape = shape.name;
            spec.tasks = shape.tasks;
            spec.perTask = shape.perTask;
            spec.closeness = shape.closeness;
        } else {
            spec.closeness = adjacency(pick(0, 3));
        }
        spec.idempotent = chance(50);
        spec.canCheckpoint = chance(50);
        spec.declaredRunTime = duration(pick(1, 3600) * 1000);
        spec.stopTime = duration(pick(1, 5) * 1000);
        return spec;
    }

    void submit() { submitSpec(randomSpec()); }

    void submitSpec(const job_spec &spec)
    {
        note("queue " + spec.key.requestId + " of " + spec.key.team + ": "
             + std::to_string(spec.tasks) + " x " + std::to_string(spec.perTask.accelerators)
             + " accelerators" + (spec.preemptible() ? "" : ", pinned"));
        m_jobs[spec.key.requestId].spec = spec;
        m_engine->jobQueued(spec, {}, m_now);
        settle();
    }

    std::vector<std::string> where(const std::function<bool(const model_job &)> &accept) const
    {
        std::vector<std::string> found;
        for (const auto &[id, job] : m_jobs) {
            if (accept(job))
                found.push_back(id);
        }
        return found;
    }

    void end()
    {
        std::vector<std::string> running
            = where([](const model_job &j) { return !j.parts.empty() && !j.stopping; });
        if (running.empty())
            return;
        const std::string id = *any(running);
        const int kind = pick(1, 100);
        if (kind <= 80)
            reportStopped(id, stop_result::Finished, false);
        else if (kind <= 92)
            reportStopped(id, stop_result::Failed, m_jobs[id].spec.idempotent);
        else
            reportStopped(id, stop_result::NeverStarted, true);
    }

    void reportStopped(const std::string &id, stop_result how, bool requeue)
    {
        model_job &job = m_jobs[id];
        stopped_event event;
        event.how = how;
        event.requeue = requeue;
        event.failedOn = job.parts.front().worker;
        event.progress = job.spec.canCheckpoint ? 0.5 : 0;
        note("stopped " + id + " how=" + std::to_string(int(how)) + (requeue ? ", again" : ""));
        const job_key key = job.spec.key;
        job.parts.clear();
        job.stopping = false;
        if (!requeue || job.cancelled)
            m_jobs.erase(id);
        m_engine->jobStopped(key, event, m_now);
        settle();
    }

    bool acknowledgeStop()
    {
        std::vector<std::string> stopping = where([](const model_job &j) { return j.stopping; });
        if (stopping.empty())
            return false;
        const std::string id = *any(stopping);
        reportStopped(id, stop_result::Stopped, m_jobs[id].spec.preemptible());
        return true;
    }

    void changeWorker()
    {
        model_worker &worker = any(m_workers)->second;
        if (!worker.up || worker.suspended) {
            note("up " + worker.info.id);
            up(worker);
            return;
        }
        if (chance(50)) {
            note("suspend " + worker.info.id);
            worker.suspended = true;
            m_engine->workerSuspended(worker.info.id, m_now);
        } else {
            note("down " + worker.info.id);
            worker.up = false;
            m_engine->workerDown(worker.info.id, m_now);
        }
        settle();
    }

    void changeDomain()
    {
        const std::string domain = *any(m_domains);
        note("change domain " + domain);
        if (m_config.domainsOut.erase(domain) == 0)
            m_config.domainsOut.insert(domain);
        apply();
    }

    void reconfigure()
    {
        note("new guarantees");
        changeGuarantees();
        apply();
    }

    void cancel()
    {
        if (m_jobs.empty())
            return;
        cancelJob(any(m_jobs));
    }

    void cancelJob(std::map<std::string, model_job>::iterator chosen)
    {
        note("cancel " + chosen->first);
        const job_key key = chosen->second.spec.key;
        chosen->second.cancelled = true;
        if (chosen->second.parts.empty())
            m_jobs.erase(chosen);
        m_engine->jobCancelled(key, m_now);
        settle();
    }

    void reportUsage()
    {
        std::vector<std::string> running
            = where([](const model_job &j) { return !j.parts.empty(); });
        if (running.empty())
            return;
        const model_job &job = m_jobs[*any(running)];
        resources used = job.spec.perTask;
        used.memory *= pick(1, 3);
        m_engine->usageReported(job.spec.key, job.parts.front().worker, used, m_now);
        settle();
    }

    void tick()
    {
        m_engine->tick(m_now);
        settle();
    }

    // --- checks ---

    void settle()
    {
        for (const scheduler_action &action : m_engine->takeActions())
            std::visit([this](const auto &a) { take(a); }, action);
        const std::string invariant = m_engine->checkInvariants();
        if (!invariant.empty())
            reportViolation(invariant);
        checkUse();
        checkQueued();
    }

    void take(const place_action &action)
    {
        const auto found = m_jobs.find(action.job.requestId);
        if (found == m_jobs.end() || !found->second.parts.empty())
            return reportViolation("placed " + action.job.requestId + ", which is not waiting");
        model_job &job = found->second;
        std::int32_t tasks = 0;
        std::set<std::string> domains;
        std::set<std::string> racks;
        for (const gang_part &part : action.parts) {
            const model_worker &worker = m_workers.at(part.worker);
            if (part.firstTask != tasks)
                reportViolation("tasks of " + action.job.requestId + " are not numbered in order");
            tasks += part.tasks;
            domains.insert(worker.info.failureDomain);
            racks.insert(worker.info.failureDomain + worker.info.rack);
            const bool out = m_config.domainsOut.count(worker.info.failureDomain) > 0;
            if (!worker.up || worker.suspended || out)
                reportViolation("placed " + action.job.requestId + " on " + part.worker
                                + ", which takes no tasks");
        }
        if (tasks != job.spec.tasks)
            reportViolation("placed a wrong number of tasks of " + action.job.requestId);
        const adjacency closeness = job.spec.closeness;
        if ((closeness == adjacency::FailureDomain && domains.size() > 1)
            || (closeness == adjacency::Rack && racks.size() > 1)
            || (closeness == adjacency::Worker && action.parts.size() > 1))
            reportViolation("placed " + action.job.requestId + " in violation of its adjacency");
        if (action.borrowed && !job.spec.preemptible())
            reportViolation(action.job.requestId + " borrows but cannot be stopped");
        job.parts = action.parts;
        ++job.attempts;
    }

    void take(const stop_action &action)
    {
        const auto found = m_jobs.find(action.job.requestId);
        if (found == m_jobs.end() || found->second.parts.empty())
            return reportViolation("stopped " + action.job.requestId + ", which is not running");
        const bool mayInterrupt = found->second.spec.preemptible()
            || action.reason == stop_reason::WorkerLost || action.reason == stop_reason::Cancelled
            || action.reason == stop_reason::Exceeded;
        if (!mayInterrupt)
            reportViolation("interrupted " + action.job.requestId);
        found->second.stopping = true;
    }

    void take(const reject_action &action) { m_jobs.erase(action.job.requestId); }
    void take(const throttle_action &) { }

    void checkUse()
    {
        std::map<worker_id, resources> used;
        std::map<worker_id, std::int32_t> slots;
        for (const auto &[id, job] : m_jobs) {
            for (const gang_part &part : job.parts) {
                used[part.worker] += job.spec.perTask * part.tasks;
                slots[part.worker] += part.tasks;
            }
        }
        for (const auto &[id, use] : used) {
            const worker_info &info = m_workers.at(id).info;
            if (!info.capacity.covers(use) || (info.slots > 0 && slots[id] > info.slots))
                reportViolation(id + " is overbooked according to the test's accounting");
        }
    }

    void checkQueued()
    {
        for (const auto &[id, job] : m_jobs) {
            if (job.parts.empty() && !m_engine->explain(job.spec.key, m_now))
                return reportViolation("job " + id + " is lost");
        }
    }

    // --- final phases ---

    // The first team gives up its work, and the last one fills the cell with small jobs that
    // borrow.
    void lendWholeCell()
    {
        const team_id owner = m_config.entries.teams.begin()->first;
        for (const std::string &id :
             where([&](const model_job &j) { return j.spec.key.team == owner; }))
            cancelJob(m_jobs.find(id));
        while (m_violation.empty() && acknowledgeStop()) { }
        constexpr int borrowers = 40;
        for (int i = 0; i < borrowers && m_violation.empty(); ++i) {
            job_spec spec;
            spec.key
                = {m_config.entries.teams.rbegin()->first, "lent" + std::to_string(++m_lastJob)};
            spec.className = "forecasts";
            spec.perTask = {4000, 8192, 1};
            spec.canCheckpoint = true;
            submitSpec(spec);
        }
    }

    // Every team without work of its own claims all its guarantees that have a place, by jobs that
    // cannot be stopped. Nothing ends but the jobs that the engine stops.
    void claimAllGuarantees()
    {
        if (m_lendsCell)
            lendWholeCell();
        const std::vector<std::string> unmet = m_engine->capacity().unmetGuarantees;
        for (const auto &[name, team] : m_config.entries.teams) {
            const team_id owner = name;
            const bool idle
                = where([&](const model_job &j) { return j.spec.key.team == owner; }).empty();
            if (!idle || team.quota.accelerators > 0)
                continue;
            std::set<std::string> claims;
            for (const guarantee_entry &guarantee : team.guarantees) {
                const std::string label = name + "/" + guarantee.shape;
                if (std::find(unmet.begin(), unmet.end(), label) != unmet.end())
                    continue;
                for (int i = 0; i < guarantee.count; ++i) {
                    const shape_entry &shape = m_config.entries.shapes.at(guarantee.shape);
                    job_spec spec;
                    spec.key = {name, "claim" + std::to_string(++m_lastJob)};
                    spec.className = "routes";
                    spec.shape = shape.name;
                    spec.tasks = shape.tasks;
                    spec.perTask = shape.perTask;
                    spec.closeness = shape.closeness;
                    claims.insert(spec.key.requestId);
                    submitSpec(spec);
                }
            }
            while (m_violation.empty() && acknowledgeStop()) { }
            for (const std::string &id : claims) {
                const auto found = m_jobs.find(id);
                if (m_violation.empty() && (found == m_jobs.end() || found->second.parts.empty()))
                    reportViolation(id + " did not get its team's guarantee"
                                    + whyWaiting({name, id}));
            }
        }
    }

    // With all workers back and everything that runs ending, no job waits forever.
    void finishAllJobs()
    {
        m_config.domainsOut.clear();
        apply();
        for (auto &[id, worker] : m_workers)
            up(worker);
        constexpr int rounds = 400;
        for (int i = 0; i < rounds && !m_jobs.empty() && m_violation.empty(); ++i) {
            m_now += 10min;
            tick();
            for (const std::string &id :
                 where([](const model_job &j) { return !j.parts.empty(); })) {
                const auto found = m_jobs.find(id);
                if (found == m_jobs.end() || found->second.parts.empty())
                    continue;
                reportStopped(id,
                              found->second.stopping ? stop_result::Stopped : stop_result::Finished,
                              found->second.stopping && found->second.spec.preemptible());
            }
        }
        if (m_jobs.empty() || !m_violation.empty())
            return;
        const model_job &job = m_jobs.begin()->second;
        const std::optional<explanation> why = m_engine->explain(job.spec.key, m_now);
        reportViolation("job " + m_jobs.begin()->first + " never started: "
                        + (why ? why->constraint + ", " + why->detail : "not queued"));
    }

    std::string whyWaiting(const job_key &key) const
    {
        const std::optional<explanation> why = m_engine->explain(key, m_now);
        return ": " + (why ? why->constraint + ", " + why->detail : "not queued");
    }

    std::mt19937 m_random;
    bool m_lendsCell;
    std::unique_ptr<scheduler> m_engine;
    configuration m_config;
    std::map<worker_id, model_worker> m_workers;
    std::set<std::string> m_domains;
    std::map<std::string, model_job> m_jobs;
    std::deque<std::string> m_trace;
    std::string m_violation;
    time_point m_now{1h};
    int m_lastJob = 0;
};

int environmentNumber(const char *name, int otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

void runSeeds(engine_maker make, const char *test, bool lends = false)
{
    const int single = environmentNumber("GOLDCREST_SEED", 0);
    const int first = single > 0 ? single : firstSeed;
    const int count = single > 0 ? 1 : environmentNumber("GOLDCREST_SEEDS", defaultSeeds);
    int failing = 0;
    std::string report;
    for (int seed = first; seed < first + count; ++seed) {
        random_run run(make, unsigned(seed), lends);
        const std::string broken = run.run();
        if (broken.empty())
            continue;
        if (failing++ == 0)
            report = "seed " + std::to_string(seed) + ": " + broken + "\n" + run.trace()
                + "  repeat: GOLDCREST_SEED=" + std::to_string(seed)
                + " build/scheduler_invariant_test -n " + test + "\n";
    }
    if (failing > 0) {
        report += std::to_string(failing) + " of " + std::to_string(count) + " seeds fail\n";
        FAIL(report.c_str());
    }
}

} // namespace

TEST_GROUP(scheduler_invariant){};

// Guards the baseline against overbooking, partial gangs, placement on workers out of service,
// guarantees that cannot be reclaimed, pinned borrowers and lost jobs.
TEST(scheduler_invariant, fifoKeepsInvariantsAfterEveryEvent)
{
    runSeeds(makeFifoScheduler, "fifoKeepsInvariantsAfterEveryEvent");
}

// Guards the skipping baseline against the same faults.
TEST(scheduler_invariant, firstFitKeepsInvariantsAfterEveryEvent)
{
    runSeeds(makeFirstFitScheduler, "firstFitKeepsInvariantsAfterEveryEvent");
}

// Guards the policy against the same faults.
TEST(scheduler_invariant, gangKeepsInvariantsAfterEveryEvent)
{
    runSeeds(makeGangScheduler, "gangKeepsInvariantsAfterEveryEvent");
}

// Guards the rule that a guarantee can be reclaimed while another team has borrowed the whole
// cell.
TEST(scheduler_invariant, gangReclaimsWhatIsLent)
{
    runSeeds(makeGangScheduler, "gangReclaimsWhatIsLent", true);
}

// Guards the same in the baseline, whose first fit takes guaranteed capacity without regard to the
// shape.
TEST(scheduler_invariant, fifoReclaimsWhatIsLent)
{
    runSeeds(makeFifoScheduler, "fifoReclaimsWhatIsLent", true);
}
