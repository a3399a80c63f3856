#include "testing/cell_model_support.h"

#include "goldcrest/digest.h"
#include "goldcrest/membership.h"
#include "testing/fake_scheduler_support.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <sstream>

namespace goldcrest {

namespace {

constexpr int workerCount = 6;
constexpr int domainCount = 3;
constexpr int entryCount = 2;
constexpr duration activeTime = 90s;
// Allows three attempts of a job that fails late, each after a delay.
constexpr duration settleLimit = 360s;
constexpr duration backendStep = 50ms;
constexpr duration configBound = 5s;
constexpr duration drainBound = 5s;
// Sum of gang lease, task lease and stop time (docs/design.md, 5), and the granularity of pulses
// and ticks.
constexpr duration partialGangBound = 25s + 3s;
constexpr std::size_t traceLines = 120;
constexpr std::int64_t unixStart = 1'700'000'000'000;

std::string outputOf(const job_key &job, std::int32_t task, std::size_t size)
{
    std::string output = job.requestId + "/" + std::to_string(task) + ";";
    while (output.size() < size)
        output += output;
    output.resize(size);
    return output;
}

} // namespace

class cell_model::impl
{
public:
    explicit impl(model_options options);
    model_report run();

private:
    // ---- Components of the cell ----

    struct model_task
    {
        backend_task task;
        gang_info gang;
        time_point startedAt;
        time_point endsAt;
        time_point leaseEnd;
        std::optional<time_point> stopAt;
        bool fails = false;
        bool checkpoint = false;
        bool ignoresStop = false;
        std::int32_t index = 0;
    };

    struct model_planner
    {
        std::unique_ptr<cell_planner> core;
        epoch number = 0;
        bool alive = true;
        time_point pausedUntil;
        time_point disconnectedUntil; // from the store
        time_point leaseHeldAt;
        bool storeUnresponsive = false;
        revision lastRevision = 0;
    };
    using planner_pointer = std::shared_ptr<model_planner>;

    struct model_link
    {
        link_id id = 0;
        planner_pointer planner;
        bool open = true;
        time_point lastUp;
        time_point lastDown;
    };
    using link_pointer = std::shared_ptr<model_link>;

    struct model_worker
    {
        worker_info info;
        std::unique_ptr<agent_core> agent; // empty while the agent is down
        std::uint64_t run = 0; // number of the agent process, increased at each restart
        time_point agentPausedUntil;
        time_point disconnectedUntil; // from all other processes
        bool hostUp = true;
        bool draining = false;
        time_point drainingSince;
        time_point failsAllUntil;
        std::map<std::string, model_task> tasks;
        link_pointer link;
        epoch knownEpoch = 0;
    };

    struct model_entry
    {
        std::string name;
        time_point disconnectedUntil; // from the store
        time_point lastContactAt;
        configuration config;
        link_pointer link;
    };

    struct model_job
    {
        job_spec spec;
        bool submitted = false;
        bool recorded = false;
        bool fails = false;
        bool cancelled = false;
        int entry = 0;
        duration runTime = 0ms;
        std::size_t outputBytes = 0;
        std::int64_t acceptedAt = 0;
        std::optional<job_outcome> outcome;
        bool outcomeDurable = false;
        bool everStarted = false;
        std::set<std::pair<std::int32_t, epoch>> startedAttempts;
    };

    // What the backend servers executed of one attempt.
    struct attempt_state
    {
        std::int32_t tasks = 0;
        std::map<std::int32_t, task_state> states;
        std::optional<time_point> partialSince;
    };

    struct scheduled
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const scheduled &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    // ---- Time and randomness ----

    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    bool chance(int perThousand) { return below(1000) < static_cast<std::uint64_t>(perThousand); }
    duration between(std::int64_t least, std::int64_t most)
    {
        return duration(
            least + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(most - least + 1))));
    }
    void at(time_point when, std::function<void()> run)
    {
        m_events.push({std::max(when, m_now), ++m_order, std::move(run)});
    }
    void after(duration delay, std::function<void()> run) { at(m_now + delay, std::move(run)); }
    bool active() const { return m_now < m_activeEnd; }
    std::int64_t unixNow() const { return unixStart + m_now.time_since_epoch().count(); }

    template<typename... parts>
    void trace(const parts &...text)
    {
        if (!m_options.tracing)
            return;
        std::ostringstream line;
        line << m_now.time_since_epoch().count() << "ms ";
        (line << ... << text);
        m_trace.push_back(line.str());
        if (m_trace.size() > traceLines)
            m_trace.pop_front();
    }
    void violate(const std::string &text)
    {
        if (m_report.violation.empty())
            m_report.violation = text;
        trace("VIOLATION ", text);
    }

    // ---- Steps ----

    void buildWorkload();
    void submit(model_job &job);
    void submitToPlanner(const model_job &job, model_entry &entry);
    void pollRecord(model_job &job);
    void cancelWave();
    void injectFault();
    void operatorChange();
    void changeConfiguration(const std::function<void(configuration &)> &change);

    void elect();
    void planLoop();
    void renewLease(const planner_pointer &planner);
    void connectEntry(model_entry &entry, const planner_pointer &planner);
    void connectAgent(model_worker &worker, const planner_pointer &planner);
    void closeLink(const link_pointer &link, bool notifyPlanner);
    void endPlanner(const planner_pointer &planner);
    void onPlanner(const planner_pointer &planner, const std::function<void(cell_planner &)> &call);
    void runPlanner(const planner_pointer &planner);
    void execute(const planner_pointer &planner, const planner_action &action);
    void toAgent(model_worker &worker, const link_pointer &link, const message &content);
    void toPlanner(const link_pointer &link, const message &content);
    void toEntry(model_entry &entry, const planner_pointer &planner, const message &content);
    void recordOutcome(model_job &job, job_outcome outcome, const std::vector<task_result> &results,
                       bool recorded);

    bool storeAnswers(const planner_pointer &planner) const;
    duration storeDelay() { return m_storeSlow ? between(200, 1900) : between(1, 15); }
    void read(const planner_pointer &planner, const job_key &key);
    void load(const planner_pointer &planner);
    void write(const planner_pointer &planner, const write_record &action);

    void startAgent(model_worker &worker);
    void onAgent(model_worker &worker, const std::function<void(agent_core &)> &call);
    void runAgent(model_worker &worker);
    void execute(model_worker &worker, const agent_action &action);
    void pulse(model_worker &from, const message &content, const std::string &address);
    void backendStart(model_worker &worker, const start_task &action, std::uint64_t run);
    void stepBackend(model_worker &worker);
    void endTask(model_worker &worker, model_task &task, task_state state);
    void failHost(model_worker &worker);

    void checkStart(model_worker &worker, const model_task &task, double resumeFrom);
    void checkPartialGangs();
    void checkEnd();
    bool finished() const;

    model_options m_options;
    std::mt19937_64 m_random;
    std::priority_queue<scheduled> m_events;
    std::uint64_t m_order = 0;
    time_point m_now{};
    time_point m_activeEnd = time_point{} + activeTime;
    model_report m_report;
    std::deque<std::string> m_trace;

    std::vector<std::unique_ptr<model_worker>> m_workers;
    std::vector<std::unique_ptr<model_entry>> m_entries;
    std::map<job_key, model_job> m_jobs;
    std::vector<planner_pointer> m_planners;
    planner_pointer m_current;
    link_id m_lastLink = 0;

    // The store.
    bool m_storeUp = true;
    bool m_storeSlow = false;
    bool m_storeLosesAnswers = false;
    std::size_t m_lostAnswers = 0; // of writes
    store_revision m_storeRevision = 1;
    epoch m_leader = 0;
    time_point m_leaderExpires;
    configuration m_config;
    std::map<job_key, loaded_record> m_records;
    std::set<job_key> m_index;

    // The actual state, against which the checks compare.
    std::map<std::string, attempt_state> m_attempts;
    std::map<std::string, time_point> m_outSince; // by failure domain
};

cell_model::impl::impl(model_options options)
    : m_options(options)
    , m_random(options.seed * 7919 + 17)
{
    for (int index = 0; index < workerCount; ++index) {
        auto worker = std::make_unique<model_worker>();
        worker->info.id = "w" + std::to_string(index);
        worker->info.failureDomain = "d" + std::to_string(index % domainCount);
        worker->info.rack = worker->info.failureDomain + "-r";
        worker->info.address = worker->info.id + ":1";
        worker->info.capacity = {16000, 65536, 4};
        worker->info.slots = 4;
        m_workers.push_back(std::move(worker));
    }
    for (int index = 0; index < entryCount; ++index) {
        auto entry = std::make_unique<model_entry>();
        entry->name = "e" + std::to_string(index);
        m_entries.push_back(std::move(entry));
    }
    m_config.number = 1;
    buildWorkload();
}

void cell_model::impl::buildWorkload()
{
    for (int index = 0; index < m_options.jobs; ++index) {
        model_job job;
        job_spec &spec = job.spec;
        spec.key = {"t" + std::to_string(below(2)), "r" + std::to_string(index)};
        spec.tasks = chance(400) ? 1 : static_cast<std::int32_t>(1 + below(8));
        spec.perTask = {static_cast<std::int64_t>(1000 + below(4000)), 1024,
                        static_cast<std::int64_t>(1 + below(2))};
        spec.idempotent = chance(500);
        spec.canCheckpoint = chance(300);
        spec.stopTime = between(500, 5000);
        if (chance(200))
            spec.deadline = between(2000, 30000);
        spec.payload = "payload";
        job.fails = m_options.faults.tasks && chance(80);
        job.entry = static_cast<int>(below(entryCount));
        job.runTime = chance(300) ? between(50, 1000) : between(1000, 25000);
        job.outputBytes = chance(40) ? 300 * 1024 : below(200);
        const job_key key = spec.key;
        m_jobs[key] = std::move(job);
        const bool burst = chance(300);
        at(time_point{} + (burst ? 20s : between(0, 70000)),
           [this, key] { submit(m_jobs.at(key)); });
    }
}

// ---- Main loop ----

model_report cell_model::impl::run()
{
    for (auto &worker : m_workers)
        after(between(0, 500), [this, &worker = *worker] { startAgent(worker); });
    after(10ms, [this] { planLoop(); });
    if (m_options.faults.cancellations)
        after(between(20000, 60000), [this] { cancelWave(); });
    after(between(1000, 5000), [this] { injectFault(); });
    std::function<void()> step = [this, &step] {
        for (auto &worker : m_workers)
            stepBackend(*worker);
        checkPartialGangs();
        after(backendStep, step);
    };
    after(backendStep, step);
    std::function<void()> second = [this, &second] {
        for (auto &[key, job] : m_jobs) {
            if (job.submitted && !job.outcomeDurable && chance(200))
                pollRecord(job);
        }
        if (m_now >= m_activeEnd) {
            m_storeUp = true;
            m_storeSlow = false;
            m_storeLosesAnswers = false;
        }
        after(1s, second);
    };
    after(1s, second);
    const time_point limit = m_activeEnd + settleLimit;
    while (!m_events.empty() && m_report.violation.empty()) {
        if (m_events.top().at > limit)
            break;
        const scheduled next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
        ++m_report.events;
        constexpr std::uint64_t checkEvery = 256;
        if (m_now > m_activeEnd + 30s && m_report.events % checkEvery == 0 && finished())
            break;
    }
    if (m_report.violation.empty())
        checkEnd();
    m_report.trace.assign(m_trace.begin(), m_trace.end());
    m_events = {};
    return m_report;
}

bool cell_model::impl::finished() const
{
    for (const auto &[key, job] : m_jobs) {
        if (job.submitted && !job.outcomeDurable)
            return false;
    }
    return std::all_of(m_workers.begin(), m_workers.end(),
                       [](const auto &worker) { return worker->tasks.empty(); });
}

void cell_model::impl::checkEnd()
{
    for (const auto &[key, job] : m_jobs) {
        if (job.submitted && !job.outcomeDurable)
            violate("no outcome was recorded within the settle time after the last fault: "
                    + key.requestId);
        if (!job.outcome)
            continue;
        switch (*job.outcome) {
        case job_outcome::Completed:
            ++m_report.completed;
            break;
        case job_outcome::Failed:
            ++m_report.failed;
            break;
        case job_outcome::NotRun:
            ++m_report.notRun;
            break;
        case job_outcome::Unknown:
            ++m_report.unknown;
            break;
        }
    }
    for (const auto &worker : m_workers) {
        if (!worker->tasks.empty())
            violate("a task record was never removed on " + worker->info.id + ": "
                    + worker->tasks.begin()->first);
    }
}

// ---- Entries and jobs ----

void cell_model::impl::submit(model_job &job)
{
    model_entry &entry = *m_entries[static_cast<std::size_t>(job.entry)];
    const bool reachable = m_storeUp && m_now >= entry.disconnectedUntil;
    job.acceptedAt = unixNow();
    if (!reachable && !job.spec.idempotent)
        return; // refused before acceptance
    job.submitted = true;
    trace("submit ", job.spec.key.requestId, reachable ? "" : " unrecorded", " tasks ",
          job.spec.tasks, job.spec.idempotent ? " idempotent" : "");
    if (reachable) {
        job_record record;
        record.spec = job.spec;
        record.acceptedAtUnixMs = job.acceptedAt;
        record.bodyDigest = "digest";
        m_records[job.spec.key] = {record, ++m_storeRevision};
        m_index.insert(job.spec.key);
        job.recorded = true;
    }
    submitToPlanner(job, entry);
}

void cell_model::impl::submitToPlanner(const model_job &job, model_entry &entry)
{
    if (entry.link)
        toPlanner(entry.link, submit_job_message{job.spec, job.recorded, job.acceptedAt});
}

// Retries the creation of job records that failed before, and reads the records of finished jobs.
void cell_model::impl::pollRecord(model_job &job)
{
    model_entry &entry = *m_entries[static_cast<std::size_t>(job.entry)];
    if (!m_storeUp || m_now < entry.disconnectedUntil)
        return;
    const auto found = m_records.find(job.spec.key);
    if (found == m_records.end()) {
        job_record record;
        record.spec = job.spec;
        record.acceptedAtUnixMs = job.acceptedAt;
        record.bodyDigest = "digest";
        m_records[job.spec.key] = {record, ++m_storeRevision};
        m_index.insert(job.spec.key);
        job.recorded = true;
        submitToPlanner(job, entry);
        return;
    }
    job.recorded = true;
    const job_record &record = found->second.record;
    if (!record.outcome) {
        submitToPlanner(job, entry);
        return;
    }
    std::vector<task_result> results = record.results;
    if (record.resultParts > 0)
        results.clear();
    recordOutcome(job, *record.outcome, results, true);
}

void cell_model::impl::recordOutcome(model_job &job, job_outcome outcome,
                                     const std::vector<task_result> &results, bool recorded)
{
    const std::string &name = job.spec.key.requestId;
    trace("outcome ", name, " ", static_cast<int>(outcome), recorded ? " recorded" : "");
    // An outcome that is not recorded yet can be lost with its planner and its worker; the answer
    // marks it as not recorded.
    const bool fixed = job.outcomeDurable && *job.outcome != job_outcome::Unknown;
    if (fixed && *job.outcome != outcome)
        violate("the outcome of " + name + " changed from "
                + std::to_string(static_cast<int>(*job.outcome)) + " to "
                + std::to_string(static_cast<int>(outcome)));
    const bool same = job.outcome == outcome;
    job.outcome = outcome;
    job.outcomeDurable = recorded || (same && job.outcomeDurable);
    if (outcome == job_outcome::NotRun && job.everStarted)
        violate("\"not run\" was answered for a job that started: " + name);
    if (outcome != job_outcome::Completed || results.empty())
        return;
    if (static_cast<std::int32_t>(results.size()) != job.spec.tasks)
        violate("an answer has the wrong number of results: " + name);
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto task = static_cast<std::int32_t>(index);
        if (results[index].output != outputOf(job.spec.key, task, job.outputBytes))
            violate("an answer contains results of another job: " + name);
    }
}

void cell_model::impl::cancelWave()
{
    for (auto &[key, job] : m_jobs) {
        if (!job.submitted || job.outcome || !chance(300))
            continue;
        model_entry &entry = *m_entries[static_cast<std::size_t>(job.entry)];
        job.cancelled = true;
        trace("cancel ", key.requestId);
        if (entry.link)
            toPlanner(entry.link, cancel_job_message{key});
    }
}

void cell_model::impl::changeConfiguration(const std::function<void(configuration &)> &change)
{
    // Operators change the configuration through an entry, which counts as contact with the store.
    const auto publisher
        = std::find_if(m_entries.begin(), m_entries.end(),
                       [this](const auto &entry) { return m_now >= entry->disconnectedUntil; });
    if (!m_storeUp || publisher == m_entries.end())
        return;
    change(m_config);
    ++m_config.number;
    ++m_storeRevision;
    (*publisher)->lastContactAt = m_now;
    (*publisher)->config = m_config;
}

void cell_model::impl::operatorChange()
{
    const std::string domain = "d" + std::to_string(below(domainCount));
    const worker_id worker = m_workers[below(workerCount)]->info.id;
    const bool isDomain = chance(700);
    changeConfiguration([&](configuration &config) {
        if (!isDomain) {
            if (config.drainedWorkers.erase(worker) == 0)
                config.drainedWorkers.insert(worker);
        } else if (config.domainsOut.erase(domain) != 0) {
            m_outSince.erase(domain);
            trace("domain in ", domain);
        } else {
            config.domainsOut.insert(domain);
            m_outSince[domain] = m_now;
            trace("domain out ", domain);
        }
    });
}

// ---- Faults ----

void cell_model::impl::injectFault()
{
    if (!active()) {
        m_storeUp = true;
        for (auto &entry : m_entries)
            entry->disconnectedUntil = std::min(entry->disconnectedUntil, m_now);
        changeConfiguration([this](configuration &config) {
            config.domainsOut.clear();
            config.drainedWorkers.clear();
            m_outSince.clear();
        });
        for (auto &worker : m_workers) {
            worker->draining = false;
            onAgent(*worker, [this](agent_core &core) { core.drainChanged(false, m_now); });
        }
        return;
    }
    const model_faults &faults = m_options.faults;
    model_worker &worker = *m_workers[below(workerCount)];
    model_entry &entry = *m_entries[below(entryCount)];
    switch (below(14)) {
    case 0:
        if (faults.planners && m_current && m_current->alive) {
            trace("kill planner ", m_current->number);
            endPlanner(m_current);
        }
        break;
    case 1:
        // Extending a pause would change the order of deferred events.
        if (faults.planners && m_current && m_now >= m_current->pausedUntil) {
            m_current->pausedUntil = m_now + between(500, 15000);
            trace("pause planner ", m_current->number);
        }
        break;
    case 2:
        if (faults.planners && m_current) {
            m_current->disconnectedUntil = m_now + between(500, 12000);
            trace("disconnect planner from the store");
        }
        break;
    case 3:
        if (faults.agents && worker.agent) {
            trace("agent restarts ", worker.info.id);
            worker.agent.reset();
            ++worker.run;
            if (worker.link)
                closeLink(worker.link, true);
            worker.link.reset();
            after(between(50, 14000), [this, &worker] { startAgent(worker); });
        }
        break;
    case 4:
        if (faults.agents && m_now >= worker.agentPausedUntil) {
            worker.agentPausedUntil = m_now + between(500, 16000);
            trace("pause agent ", worker.info.id);
        }
        break;
    case 5:
        if (faults.agents) {
            worker.disconnectedUntil = m_now + between(500, 20000);
            trace("disconnect worker ", worker.info.id);
            const link_pointer link = worker.link;
            after(3500ms, [this, &worker, link] {
                if (link && worker.link == link && m_now < worker.disconnectedUntil)
                    closeLink(link, true);
            });
        }
        break;
    case 6:
        if (faults.hosts && chance(500))
            failHost(worker);
        break;
    case 7:
        if (faults.store && m_storeUp) {
            trace("store down");
            m_storeUp = false;
            const bool isLong = chance(150);
            after(isLong ? between(20000, 60000) : between(500, 15000), [this] {
                m_storeUp = true;
                // After an outage, leases may have been extended or may expire at once.
                if (chance(500))
                    m_leaderExpires = std::max(m_leaderExpires, m_now + between(0, 5000));
                trace("store up");
            });
        }
        break;
    case 8:
        if (faults.store) {
            m_storeSlow = true;
            after(between(500, 8000), [this] { m_storeSlow = false; });
        }
        break;
    case 9:
        if (faults.store) {
            m_storeLosesAnswers = true;
            after(between(500, 8000), [this] { m_storeLosesAnswers = false; });
        }
        break;
    case 10:
        if (faults.store)
            entry.disconnectedUntil = m_now + between(500, 12000);
        break;
    case 11:
        if (faults.operators) {
            worker.draining = !worker.draining;
            worker.drainingSince = m_now;
            trace(worker.draining ? "drain " : "end of drain ", worker.info.id);
            onAgent(worker, [this, &worker](agent_core &core) {
                core.drainChanged(worker.draining, m_now);
            });
        }
        break;
    case 12:
        if (faults.operators)
            operatorChange();
        break;
    default:
        if (faults.tasks)
            worker.failsAllUntil = m_now + between(500, 4000);
        break;
    }
    after(between(300, 5000), [this] { injectFault(); });
}

void cell_model::impl::failHost(model_worker &worker)
{
    if (!worker.hostUp)
        return;
    trace("host fails ", worker.info.id);
    worker.hostUp = false;
    worker.agent.reset();
    ++worker.run;
    for (auto &[id, task] : worker.tasks) {
        if (task.task.state == task_state::Running)
            endTask(worker, task, task_state::Stopped);
    }
    worker.tasks.clear();
    worker.draining = false;
    const link_pointer link = worker.link;
    worker.link.reset();
    after(3500ms, [this, link] {
        if (link)
            closeLink(link, true);
    });
    after(between(1000, 20000), [this, &worker] {
        worker.hostUp = true;
        startAgent(worker);
    });
}

// ---- Planners ----

void cell_model::impl::planLoop()
{
    if (m_storeUp && m_now >= m_leaderExpires && chance(700))
        elect();
    for (auto &entry : m_entries) {
        const bool reachable = m_storeUp && m_now >= entry->disconnectedUntil;
        if (reachable) {
            entry->lastContactAt = m_now;
            entry->config = m_config;
        }
        if (reachable && m_current && m_current->number == m_leader && m_now < m_leaderExpires
            && (!entry->link || entry->link->planner != m_current || !entry->link->open))
            connectEntry(*entry, m_current);
        if (entry->link && entry->link->open) {
            const planner_pointer planner = entry->link->planner;
            const configuration config = entry->config;
            const duration age = m_now - entry->lastContactAt;
            const time_point sent = m_now;
            after(between(1, 10), [this, planner, config, age, sent] {
                onPlanner(planner, [=](cell_planner &core) {
                    const duration whole = age + (m_now - sent);
                    core.configurationOffered(config, whole, m_now);
                    core.configurationConfirmed(config.number, whole, m_now);
                });
            });
        }
    }
    // Agents learn of a new planner from their entries.
    for (auto &worker : m_workers) {
        const bool outdated = worker->agent && m_now >= worker->disconnectedUntil && m_current
            && m_current->alive
            && (!worker->link || !worker->link->open || worker->link->planner != m_current);
        if (outdated && chance(500))
            after(between(5, 300), [this, &worker = *worker, planner = m_current] {
                if (planner == m_current)
                    connectAgent(worker, planner);
            });
    }
    after(400ms, [this] { planLoop(); });
}

void cell_model::impl::elect()
{
    ++m_report.epochs;
    auto planner = std::make_shared<model_planner>();
    planner->number = ++m_storeRevision;
    planner->leaseHeldAt = m_now;
    m_leader = planner->number;
    m_leaderExpires = m_now + plannerLeaseLifetime;
    planner_options options;
    options.cell = "c";
    options.worker = "p";
    options.number = planner->number;
    options.startUnixMs = unixNow() + static_cast<std::int64_t>(below(1000)) - 500;
    options.mechanisms = m_options.planner;
    planner->core = std::make_unique<cell_planner>(options, std::make_unique<fake_scheduler>(),
                                                   makeUnanimousPolicy(), m_now);
    m_current = planner;
    m_planners.push_back(planner);
    trace("elected ", planner->number);
    const auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, planner, weak = std::weak_ptr<std::function<void()>>(tick)] {
        if (!planner->alive)
            return;
        const time_point paused = planner->pausedUntil;
        const std::shared_ptr<std::function<void()>> again = weak.lock();
        if (m_now < paused) {
            at(paused, [again] { (*again)(); });
            return;
        }
        onPlanner(planner, [=](cell_planner &core) { core.tick(m_now); });
        after(200ms, [again] { (*again)(); });
    };
    after(0ms, [tick] { (*tick)(); });
    renewLease(planner);
}

// Renews the lease and confirms the configuration once per second.
void cell_model::impl::renewLease(const planner_pointer &planner)
{
    if (!planner->alive)
        return;
    if (m_now < planner->pausedUntil) {
        at(planner->pausedUntil, [this, planner] { renewLease(planner); });
        return;
    }
    const time_point sent = m_now;
    if (!storeAnswers(planner)) {
        planner->storeUnresponsive = true;
    } else {
        const bool held = m_leader == planner->number && m_now < m_leaderExpires;
        if (held)
            m_leaderExpires = m_now + plannerLeaseLifetime;
        after(storeDelay(), [this, planner, sent, held, config = m_config] {
            onPlanner(planner, [=](cell_planner &core) {
                planner->storeUnresponsive = false;
                if (!held) {
                    trace("deposed ", planner->number);
                    endPlanner(planner);
                    return;
                }
                planner->leaseHeldAt = std::max(planner->leaseHeldAt, sent);
                core.configurationOffered(config, m_now - sent, m_now);
                core.configurationConfirmed(config.number, m_now - sent, m_now);
            });
        });
    }
    after(plannerLeaseRenewal, [this, planner] { renewLease(planner); });
}

void cell_model::impl::endPlanner(const planner_pointer &planner)
{
    planner->alive = false;
    for (auto &worker : m_workers) {
        if (worker->link && worker->link->planner == planner)
            closeLink(worker->link, false);
    }
    for (auto &entry : m_entries) {
        if (entry->link && entry->link->planner == planner)
            entry->link->open = false;
    }
    if (m_current == planner)
        m_current.reset();
}

// Calls the planner immediately, or after its pause ends.
void cell_model::impl::onPlanner(const planner_pointer &planner,
                                 const std::function<void(cell_planner &)> &call)
{
    if (!planner->alive)
        return;
    if (m_now < planner->pausedUntil) {
        at(planner->pausedUntil, [this, planner, call] { onPlanner(planner, call); });
        return;
    }
    const bool holds = m_now < planner->leaseHeldAt + plannerLeaseLifetime - plannerLeaseMargin;
    planner->core->leaseChanged(holds, planner->storeUnresponsive, m_now);
    call(*planner->core);
    if (!planner->alive)
        return;
    const revision now = planner->core->configRevision();
    if (now < planner->lastRevision)
        violate("a configuration was reverted");
    planner->lastRevision = now;
    runPlanner(planner);
}

void cell_model::impl::runPlanner(const planner_pointer &planner)
{
    for (const planner_action &action : planner->core->takeActions())
        execute(planner, action);
}

void cell_model::impl::connectEntry(model_entry &entry, const planner_pointer &planner)
{
    if (entry.link)
        closeLink(entry.link, true);
    entry.link = std::make_shared<model_link>();
    entry.link->id = ++m_lastLink;
    entry.link->planner = planner;
    const link_pointer link = entry.link;
    after(between(1, 10), [this, planner, link, name = entry.name] {
        if (link->open)
            onPlanner(planner,
                      [=](cell_planner &core) { core.entryOpened(link->id, name, m_now); });
    });
    link->lastUp = m_now + 10ms;
    for (const auto &[key, job] : m_jobs) {
        const bool isOwn = m_entries[static_cast<std::size_t>(job.entry)].get() == &entry;
        if (isOwn && job.submitted && !job.outcomeDurable)
            submitToPlanner(job, entry);
    }
}

void cell_model::impl::connectAgent(model_worker &worker, const planner_pointer &planner)
{
    if (!worker.agent || m_now < worker.disconnectedUntil || !planner->alive)
        return;
    if (worker.link && worker.link->open)
        closeLink(worker.link, true);
    worker.link = std::make_shared<model_link>();
    worker.link->id = ++m_lastLink;
    worker.link->planner = planner;
    onAgent(worker,
            [this, planner](agent_core &core) { core.plannerLinkOpened(planner->number, m_now); });
}

void cell_model::impl::closeLink(const link_pointer &link, bool notifyPlanner)
{
    if (!link->open)
        return;
    link->open = false;
    for (auto &worker : m_workers) {
        if (worker->link == link)
            onAgent(*worker, [](agent_core &core) { core.plannerLinkClosed(); });
    }
    if (notifyPlanner)
        after(between(1, 50), [this, link] {
            onPlanner(link->planner, [=](cell_planner &core) { core.linkClosed(link->id, m_now); });
        });
}

void cell_model::impl::toPlanner(const link_pointer &link, const message &content)
{
    const bool faulty = m_options.faults.messages && active();
    if (!link->open || (faulty && chance(10)))
        return;
    const auto deliver = [this, link, content] {
        if (link->open)
            onPlanner(link->planner,
                      [=](cell_planner &core) { core.received(link->id, content, m_now); });
    };
    const bool late = faulty && chance(10);
    link->lastUp = std::max(link->lastUp, m_now + between(1, 8));
    at(late ? m_now + between(50, 4000) : link->lastUp, deliver);
    if (faulty && chance(10))
        after(between(10, 3000), deliver);
}

void cell_model::impl::toAgent(model_worker &worker, const link_pointer &link,
                               const message &content)
{
    const bool faulty = m_options.faults.messages && active();
    if (!link->open || m_now < worker.disconnectedUntil || (faulty && chance(10)))
        return;
    const std::uint64_t run = worker.run;
    const bool isStart = std::holds_alternative<start_message>(content);
    const bool late = faulty && chance(isStart ? 60 : 15);
    const auto deliver = [this, &worker, link, content, run, late] {
        // A delayed message may arrive after its link has closed.
        if ((link->open || late) && worker.run == run && m_now >= worker.disconnectedUntil)
            onAgent(worker, [=](agent_core &core) { core.plannerMessage(content, m_now); });
    };
    link->lastDown = std::max(link->lastDown, m_now + between(1, 8));
    at(late ? m_now + between(50, 12000) : link->lastDown, deliver);
    if (faulty && chance(10))
        after(between(10, 3000), deliver);
    if (m_options.faults.stale && active() && chance(150))
        after(between(5000, 25000), [this, &worker, content, run] {
            if (worker.run == run && m_now >= worker.disconnectedUntil)
                onAgent(worker, [=](agent_core &core) { core.plannerMessage(content, m_now); });
        });
}

void cell_model::impl::toEntry(model_entry &entry, const planner_pointer &planner,
                               const message &content)
{
    if (const auto *query = std::get_if<outage_query_message>(&content)) {
        outage_reply_message reply;
        reply.query = query->query;
        reply.reachedStore = entry.lastContactAt > m_now - query->within;
        reply.highestRevision = entry.config.number;
        if (entry.link)
            toPlanner(entry.link, reply);
        return;
    }
    const auto *update = std::get_if<job_update_message>(&content);
    if (!update)
        return;
    const auto job = m_jobs.find(update->job);
    if (job == m_jobs.end() || !update->outcome || planner->number != update->plannerEpoch)
        return;
    recordOutcome(job->second, *update->outcome, update->results, update->recorded);
}

void cell_model::impl::execute(const planner_pointer &planner, const planner_action &action)
{
    if (const auto *sent = std::get_if<send_message>(&action)) {
        if (const auto *hold = std::get_if<hold_message>(&sent->content))
            trace("hold ", hold->gang.attempt.job.requestId, " ", hold->gang.attempt.number, " by ",
                  planner->number, " on ", hold->gang.own.worker);
        if (const auto *stored = std::get_if<result_stored_message>(&sent->content))
            trace("stored ", stored->attempt.job.requestId, " ", stored->attempt.number, " by ",
                  planner->number);
        if (const auto *abort = std::get_if<abort_message>(&sent->content))
            trace("abort ", abort->attempt.job.requestId, " ", abort->attempt.number, " by ",
                  planner->number);
        if (const auto *stop = std::get_if<stop_message>(&sent->content))
            trace("stop ", stop->attempt.job.requestId, " ", stop->attempt.number, " by ",
                  planner->number);
        for (auto &worker : m_workers) {
            if (worker->link && worker->link->id == sent->link)
                toAgent(*worker, worker->link, sent->content);
        }
        for (auto &entry : m_entries) {
            if (!entry->link || entry->link->id != sent->link)
                continue;
            const link_pointer link = entry->link;
            link->lastDown = std::max(link->lastDown, m_now + between(1, 8));
            const auto deliver = [this, &entry = *entry, link, planner, content = sent->content] {
                if (link->open)
                    toEntry(entry, planner, content);
            };
            at(link->lastDown, deliver);
        }
    } else if (std::holds_alternative<load_records>(action)) {
        load(planner);
    } else if (const auto *wanted = std::get_if<read_record>(&action)) {
        read(planner, wanted->job);
    } else if (const auto *change = std::get_if<write_record>(&action)) {
        write(planner, *change);
    } else {
        trace("steps down ", planner->number);
        after(0ms, [this, planner] { endPlanner(planner); });
    }
}

// ---- The store ----

bool cell_model::impl::storeAnswers(const planner_pointer &planner) const
{
    return m_storeUp && m_now >= planner->disconnectedUntil;
}

void cell_model::impl::load(const planner_pointer &planner)
{
    const bool up = storeAnswers(planner);
    after(up ? storeDelay() : 2s, [this, planner, up] {
        result<std::vector<loaded_record>> answer
            = makeFailure(code::StoreUnavailable, "the store is down");
        if (up) {
            std::vector<loaded_record> records;
            for (const job_key &key : m_index)
                records.push_back(m_records.at(key));
            answer = std::move(records);
        }
        onPlanner(planner, [=](cell_planner &core) { core.recordsLoaded(answer, m_now); });
    });
}

void cell_model::impl::read(const planner_pointer &planner, const job_key &key)
{
    const bool up = storeAnswers(planner);
    after(up ? storeDelay() : 2s, [this, planner, key, up] {
        result<std::optional<loaded_record>> answer
            = makeFailure(code::StoreUnavailable, "the store is down");
        if (up) {
            const auto found = m_records.find(key);
            answer = found == m_records.end() ? std::optional<loaded_record>()
                                              : std::optional(found->second);
        }
        onPlanner(planner, [=](cell_planner &core) { core.recordRead(key, answer, m_now); });
    });
}

void cell_model::impl::write(const planner_pointer &planner, const write_record &action)
{
    const bool up = storeAnswers(planner);
    const duration delay = up ? storeDelay() : 2s;
    const bool lost = up && m_storeLosesAnswers && chance(400);
    const bool effect = up && (!lost || chance(500));
    const auto apply = [this, planner, action, up, effect] {
        write_answer answer;
        const auto found = m_records.find(action.job);
        const store_revision present = found == m_records.end() ? 0 : found->second.modRevision;
        if (!up) {
            answer.status = write_status::Unavailable;
        } else if (m_leader != planner->number || m_now >= m_leaderExpires) {
            answer.status = write_status::NotLeader;
        } else if (present != action.expected) {
            answer.status = write_status::Conflict;
        } else if (effect) {
            answer.modRevision = ++m_storeRevision;
            m_records[action.job] = {action.record, answer.modRevision};
            if (action.retire)
                m_index.erase(action.job);
            else
                m_index.insert(action.job);
        }
        return answer;
    };
    const auto answerOf = std::make_shared<write_answer>();
    after(delay / 2, [answerOf, apply] { *answerOf = apply(); });
    after(delay + (lost ? duration(2s) : duration(0)), [this, planner, action, answerOf, lost] {
        write_answer answer = *answerOf;
        // No status of a failed write may be taken for a proof that it was not carried out.
        constexpr std::array<write_status, 3> failures{
            write_status::Ambiguous, write_status::Unavailable, write_status::Rejected};
        if (lost)
            answer = {failures.at(m_lostAnswers++ % failures.size()), 0};
        onPlanner(planner,
                  [=](cell_planner &core) { core.recordWritten(action.job, answer, m_now); });
    });
}

// ---- Agents and backend servers ----

void cell_model::impl::startAgent(model_worker &worker)
{
    if (worker.agent || !worker.hostUp)
        return;
    trace("agent up ", worker.info.id);
    agent_options options;
    options.worker = worker.info;
    options.cell = "c";
    options.mechanisms = m_options.agent;
    worker.agent = std::make_unique<agent_core>(options);
    const std::uint64_t run = ++worker.run;
    onAgent(worker, [this, &worker](agent_core &core) {
        core.begin(m_now);
        core.drainChanged(worker.draining, m_now);
    });
    const auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, &worker, run, weak = std::weak_ptr<std::function<void()>>(tick)] {
        if (worker.run != run)
            return;
        const std::shared_ptr<std::function<void()>> again = weak.lock();
        if (m_now < worker.agentPausedUntil) {
            at(worker.agentPausedUntil, [again] { (*again)(); });
            return;
        }
        onAgent(worker, [this](agent_core &core) { core.tick(m_now); });
        after(agentTickInterval, [again] { (*again)(); });
    };
    after(between(1, 250), [tick] { (*tick)(); });
}

void cell_model::impl::onAgent(model_worker &worker, const std::function<void(agent_core &)> &call)
{
    if (!worker.agent)
        return;
    if (m_now < worker.agentPausedUntil) {
        const std::uint64_t run = worker.run;
        at(worker.agentPausedUntil, [this, &worker, call, run] {
            if (worker.run == run)
                onAgent(worker, call);
        });
        return;
    }
    call(*worker.agent);
    runAgent(worker);
}

void cell_model::impl::runAgent(model_worker &worker)
{
    for (const agent_action &action : worker.agent->takeActions())
        execute(worker, action);
}

void cell_model::impl::pulse(model_worker &from, const message &content, const std::string &address)
{
    const bool faulty = m_options.faults.messages && active();
    if (m_now < from.disconnectedUntil || (faulty && chance(10)))
        return;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        model_worker &to = *m_workers[index];
        if (to.info.address != address)
            continue;
        // The link id identifies the sender; messages reach only its current process.
        const auto sender = std::find_if(m_workers.begin(), m_workers.end(),
                                         [&](const auto &each) { return each.get() == &from; });
        const auto link = static_cast<std::uint64_t>(sender - m_workers.begin()) + 1;
        after(between(1, 8), [this, &to, link, content] {
            if (m_now >= to.disconnectedUntil)
                onAgent(to, [=](agent_core &core) { core.agentMessage(link, content, m_now); });
        });
    }
}

void cell_model::impl::execute(model_worker &worker, const agent_action &action)
{
    const std::uint64_t run = worker.run;
    if (const auto *sent = std::get_if<send_to_planner>(&action)) {
        const auto *reply = std::get_if<hold_reply_message>(&sent->content);
        if (reply && reply->refused)
            trace("hold refused ", reply->attempt.job.requestId, " ", reply->attempt.number, " on ",
                  worker.info.id, ": ", reply->refused->reason);
        if (worker.link && m_now >= worker.disconnectedUntil)
            toPlanner(worker.link, sent->content);
    } else if (const auto *peer = std::get_if<send_to_agent>(&action)) {
        pulse(worker, peer->content, peer->address);
    } else if (const auto *answer = std::get_if<answer_agent>(&action)) {
        model_worker &to = *m_workers[answer->link - 1];
        if (m_now >= worker.disconnectedUntil)
            after(between(1, 8), [this, &to, content = answer->content] {
                if (m_now >= to.disconnectedUntil)
                    onAgent(to, [=](agent_core &core) { core.agentMessage(0, content, m_now); });
            });
    } else if (const auto *start = std::get_if<start_task>(&action)) {
        backendStart(worker, *start, run);
    } else if (const auto *stop = std::get_if<stop_task>(&action)) {
        after(between(1, 5), [this, &worker, stop = *stop] {
            const auto found = worker.tasks.find(stop.id);
            if (found == worker.tasks.end() || found->second.ignoresStop)
                return;
            const duration takes = stop.within == 0ms ? 0ms : between(0, stop.within.count());
            model_task &task = found->second;
            task.checkpoint = stop.checkpoint;
            task.stopAt = std::min(task.stopAt.value_or(m_now + takes), m_now + takes);
        });
    } else if (const auto *renew = std::get_if<renew_tasks>(&action)) {
        after(between(1, 5), [this, &worker, renew = *renew] {
            for (const std::string &id : renew.ids) {
                const auto found = worker.tasks.find(id);
                if (found != worker.tasks.end())
                    found->second.leaseEnd = m_now + renew.lease;
            }
        });
    } else if (const auto *list = std::get_if<list_tasks>(&action)) {
        after(between(1, 5), [this, &worker, run, call = list->call] {
            std::vector<listed_task> tasks;
            for (const auto &[id, task] : worker.tasks)
                tasks.push_back({task.task, task.gang});
            after(between(1, 5), [this, &worker, run, call, tasks = std::move(tasks)] {
                if (worker.run == run)
                    onAgent(worker,
                            [=](agent_core &core) { core.taskListAnswered(call, tasks, m_now); });
            });
        });
    } else if (const auto *forget = std::get_if<forget_task>(&action)) {
        const bool lost = m_options.faults.tasks && chance(20);
        after(between(1, 5), [&worker, id = forget->id, lost] {
            if (!lost)
                worker.tasks.erase(id);
        });
    }
}

void cell_model::impl::backendStart(model_worker &worker, const start_task &action,
                                    std::uint64_t run)
{
    const bool faulty = m_options.faults.tasks && active();
    const bool lost = faulty && chance(8);
    const bool answerLost = faulty && chance(8);
    after(between(1, 5), [this, &worker, action, lost, hostRun = worker.hostUp] {
        if (lost || !hostRun || !worker.hostUp || worker.tasks.count(action.id) != 0)
            return;
        const auto job = m_jobs.find(action.gang.attempt.job);
        if (job == m_jobs.end()) {
            violate("a task of an unknown job was started");
            return;
        }
        model_task task;
        task.task.id = action.id;
        task.gang = action.gang;
        const std::size_t dot = action.id.rfind('.');
        task.index = std::stoi(action.id.substr(dot + 1));
        task.startedAt = m_now;
        const double left = 1 - action.resumeFrom;
        task.endsAt = m_now
            + duration(static_cast<std::int64_t>(static_cast<double>(job->second.runTime.count())
                                                 * left));
        task.leaseEnd = m_now + action.lease;
        task.fails = (job->second.fails && task.index == 0) || m_now < worker.failsAllUntil;
        task.ignoresStop = m_options.faults.tasks && chance(30);
        checkStart(worker, task, action.resumeFrom);
        worker.tasks[action.id] = std::move(task);
    });
    const bool failed = lost || answerLost;
    after(failed ? between(1000, 2000) : between(6, 10), [this, &worker, run, action, failed] {
        if (worker.run != run)
            return;
        result<done> answer = done{};
        if (failed)
            answer = makeFailure(code::BackendUnavailable, "no answer");
        onAgent(worker,
                [=](agent_core &core) { core.taskStartAnswered(action.id, answer, m_now); });
    });
}

void cell_model::impl::stepBackend(model_worker &worker)
{
    for (auto &[id, task] : worker.tasks) {
        if (task.task.state != task_state::Running)
            continue;
        const double ran = static_cast<double>((m_now - task.startedAt).count());
        const double whole = static_cast<double>((task.endsAt - task.startedAt).count());
        task.task.progress = std::min(1.0, whole > 0 ? ran / whole : 1);
        if (m_now - task.startedAt >= 1s)
            task.task.used = task.gang.spec.perTask;
        if (m_now >= task.leaseEnd || (task.stopAt && m_now >= *task.stopAt))
            endTask(worker, task, task_state::Stopped);
        else if (m_now >= task.endsAt)
            endTask(worker, task, task.fails ? task_state::Failed : task_state::Succeeded);
    }
}

void cell_model::impl::endTask(model_worker &worker, model_task &task, task_state state)
{
    trace("end ", task.task.id, " ", static_cast<int>(state), " on ", worker.info.id);
    task.task.state = state;
    const model_job &job = m_jobs.at(task.gang.attempt.job);
    if (state == task_state::Succeeded)
        task.task.output = outputOf(job.spec.key, task.index, job.outputBytes);
    if (state == task_state::Stopped && task.checkpoint)
        task.task.checkpointed = task.task.progress;
    attempt_state &attemptState = m_attempts[task.task.id.substr(0, task.task.id.rfind('.'))];
    attemptState.states[task.index] = state;
    const bool onlyPlannersFail = !m_options.faults.agents && !m_options.faults.hosts
        && !m_options.faults.messages && !m_options.faults.operators
        && !m_options.faults.cancellations && !m_options.faults.tasks;
    // Two stops are correct: of a repeated attempt of an idempotent job whose result is already
    // stored, and of a gang whose planner failed before it had started all tasks.
    const bool wasWhole
        = attemptState.states.size() == static_cast<std::size_t>(attemptState.tasks);
    if (onlyPlannersFail && wasWhole && state != task_state::Succeeded && !job.outcomeDurable)
        violate("a running task was stopped although only planners changed: " + task.task.id);
}

// ---- Checks ----

void cell_model::impl::checkStart(model_worker &worker, const model_task &task, double resumeFrom)
{
    const std::string name = task.task.id + " on " + worker.info.id;
    trace("start ", name);
    ++m_report.starts;
    model_job &job = m_jobs.at(task.gang.attempt.job);
    const auto out = m_outSince.find(worker.info.failureDomain);
    if (out != m_outSince.end() && m_now - out->second > configBound)
        violate("a task started in a failure domain that was out: " + name);
    if (worker.draining && m_now - worker.drainingSince > drainBound)
        violate("a task started on a draining worker: " + name);
    if (job.outcome && *job.outcome == job_outcome::NotRun)
        violate("a job started after \"not run\" was answered: " + name);
    const std::pair<std::int32_t, epoch> attempt{task.gang.attempt.number, task.gang.plannerEpoch};
    const bool isNew = job.startedAttempts.insert(attempt).second;
    const bool continued = job.spec.canCheckpoint && resumeFrom > 0;
    if (isNew && job.startedAttempts.size() > 1 && !job.spec.idempotent && !continued)
        violate("a non-idempotent job started twice: " + name);
    job.everStarted = true;
    attempt_state &attemptState = m_attempts[task.task.id.substr(0, task.task.id.rfind('.'))];
    attemptState.tasks = task.gang.tasks;
    if (attemptState.states.count(task.index) != 0)
        violate("a task started twice: " + name);
    attemptState.states[task.index] = task_state::Running;
}

void cell_model::impl::checkPartialGangs()
{
    for (auto entry = m_attempts.begin(); entry != m_attempts.end();) {
        attempt_state &attemptState = entry->second;
        std::int32_t running = 0;
        std::int32_t succeeded = 0;
        for (const auto &[task, state] : attemptState.states) {
            running += state == task_state::Running ? 1 : 0;
            succeeded += state == task_state::Succeeded ? 1 : 0;
        }
        if (running == 0 || running + succeeded == attemptState.tasks) {
            attemptState.partialSince.reset();
        } else if (!attemptState.partialSince) {
            attemptState.partialSince = m_now;
        } else if (m_now - *attemptState.partialSince > partialGangBound) {
            violate("a partial gang ran for more than the bound: " + entry->first);
        }
        ++entry;
    }
}

// ---- Public class ----

cell_model::cell_model(model_options options)
    : m_impl(std::make_unique<impl>(options))
{ }

cell_model::~cell_model() = default;

model_report cell_model::run()
{
    return m_impl->run();
}

} // namespace goldcrest
