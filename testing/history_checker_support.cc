#include "testing/history_checker_support.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

// One task of one attempt at a backend server.
struct task_run
{
    std::string worker;
    std::string source;
    std::int64_t start = 0;
    std::int64_t end = never;
    std::string state; // empty while it runs
};

struct attempt_runs
{
    std::string job;
    std::map<std::string, task_run> tasks; // by task id
};

struct job_history
{
    bool submitted = false;
    bool idempotent = false;
    std::int64_t tasks = 1;
    std::string digest; // expected of each result
    std::optional<run_event> notRun;
    std::vector<run_event> completed;
    std::set<std::string> startedAttempts;
    std::map<std::string, int> startsOfTask;
};

class history_check
{
public:
    history_check(std::vector<run_event> events, const promise_bounds &bounds)
        : m_events(std::move(events))
        , m_bounds(bounds)
    {
        if (!m_events.empty())
            m_last = m_events.back().unixMs;
        for (const run_event &event : m_events)
            collect(event);
    }

    std::vector<violation> run()
    {
        checkClaims();
        checkGangs();
        checkDomains();
        checkAnswers();
        checkNotRun();
        checkAtMostOnce();
        checkDrains();
        checkInterruptions();
        checkRevisions();
        std::stable_sort(
            m_violations.begin(), m_violations.end(),
            [](const violation &a, const violation &b) { return a.unixMs < b.unixMs; });
        return std::move(m_violations);
    }

private:
    void collect(const run_event &event)
    {
        if (event.name == "worker")
            m_domainOf[event.text("worker")] = event.text("domain");
        else if (event.name == "submit")
            collectSubmit(event);
        else if (event.name == "answered")
            collectAnswer(event);
        else if (event.name == "taskStart")
            collectStart(event);
        else if (event.name == "taskEnd")
            endTask(event.text("task"), event.unixMs, event.text("state"));
        else if (event.name == "killed")
            endAllOn(event.text("worker"), event.unixMs);
    }

    void collectSubmit(const run_event &event)
    {
        job_history &job = m_jobs[event.job()];
        job.submitted = true;
        job.idempotent = event.number("idempotent") != 0;
        job.tasks = std::max<std::int64_t>(1, event.number("tasks"));
        job.digest = event.text("digest");
    }

    void collectAnswer(const run_event &event)
    {
        job_history &job = m_jobs[event.job()];
        const bool notRun = event.text("outcome") == "not run" || event.number("notRun") != 0;
        if (notRun && !job.notRun)
            job.notRun = event;
        if (event.text("outcome") == "completed")
            job.completed.push_back(event);
    }

    void collectStart(const run_event &event)
    {
        const std::string task = event.text("task");
        job_history &job = m_jobs[event.job()];
        job.startedAttempts.insert(event.attempt());
        ++job.startsOfTask[task];
        attempt_runs &attempt = m_attempts[event.attempt()];
        attempt.job = event.job();
        attempt.tasks[task] = task_run{event.text("worker"), event.source, event.unixMs, never, {}};
        m_attemptOfTask[task] = event.attempt();
    }

    task_run *findTask(const std::string &id)
    {
        const auto attempt = m_attemptOfTask.find(id);
        return attempt == m_attemptOfTask.end() ? nullptr : &m_attempts[attempt->second].tasks[id];
    }

    void endTask(const std::string &id, std::int64_t at, const std::string &state)
    {
        task_run *task = findTask(id);
        if (task == nullptr || task->end != never)
            return;
        task->end = at;
        task->state = state;
    }

    void endAllOn(const std::string &worker, std::int64_t at)
    {
        for (auto &[name, attempt] : m_attempts) {
            for (auto &[id, task] : attempt.tasks) {
                if (task.worker == worker)
                    endTask(id, at, "killed");
            }
        }
    }

    void report(int promise, const std::string &what, const std::string &source, std::int64_t at)
    {
        m_violations.push_back({promise, what, source, at});
    }

    // 1: a job that claims its guarantee starts with all tasks within the bound.
    void checkClaims()
    {
        for (const run_event &event : m_events) {
            if (event.name != "claim")
                continue;
            const std::int64_t limit
                = event.unixMs + event.number("boundMs") + m_bounds.slack.count();
            std::int64_t completeAt = never;
            for (const auto &[name, attempt] : m_attempts) {
                const std::int64_t tasks = m_jobs[event.job()].tasks;
                if (attempt.job != event.job()
                    || static_cast<std::int64_t>(attempt.tasks.size()) < tasks)
                    continue;
                std::int64_t last = 0;
                for (const auto &[id, task] : attempt.tasks)
                    last = std::max(last, task.start);
                completeAt = std::min(completeAt, last);
            }
            if (completeAt > limit && m_last > limit)
                report(1, event.job() + " claimed its guarantee and did not start within the bound",
                       event.source, limit);
        }
    }

    // 2: once a task is lost or was never started, all others of its gang end within the bound. A
    // completed job has an attempt in which all tasks succeeded.
    void checkGangs()
    {
        const std::int64_t bound
            = (m_bounds.partialGang + m_bounds.stopTime + m_bounds.slack).count();
        for (const auto &[name, attempt] : m_attempts) {
            const std::int64_t lostAt = timeOfLoss(attempt);
            if (lostAt == never)
                continue;
            for (const auto &[id, task] : attempt.tasks) {
                if (std::min(task.end, m_last) > lostAt + bound)
                    report(2, "task " + id + " ran on after a part of its gang was lost",
                           task.source, lostAt + bound);
            }
        }
        for (const auto &[name, job] : m_jobs) {
            if (!job.completed.empty() && !hasCompleteAttempt(name, job.tasks))
                report(2, name + " completed without an attempt in which all tasks ended",
                       job.completed[0].source, job.completed[0].unixMs);
        }
    }

    std::int64_t timeOfLoss(const attempt_runs &attempt)
    {
        std::int64_t lostAt = never;
        std::int64_t firstStart = never;
        for (const auto &[id, task] : attempt.tasks) {
            firstStart = std::min(firstStart, task.start);
            if (task.end != never && task.state != "succeeded")
                lostAt = std::min(lostAt, task.end);
        }
        const std::int64_t wanted = m_jobs[attempt.job].tasks;
        if (m_jobs[attempt.job].submitted
            && static_cast<std::int64_t>(attempt.tasks.size()) < wanted)
            lostAt = std::min(lostAt, firstStart);
        return lostAt;
    }

    bool hasCompleteAttempt(const std::string &job, std::int64_t tasks) const
    {
        for (const auto &[name, attempt] : m_attempts) {
            if (attempt.job != job)
                continue;
            const auto succeeded
                = std::count_if(attempt.tasks.begin(), attempt.tasks.end(), [](const auto &entry) {
                      return entry.second.state == "succeeded";
                  });
            if (succeeded >= tasks)
                return true;
        }
        return false;
    }

    // 3: no task starts in a failure domain that has been out of service for longer than the bound.
    void checkDomains()
    {
        std::map<std::string, std::int64_t> outSince;
        for (const run_event &event : m_events) {
            if (event.name == "domainOut")
                outSince.emplace(event.text("domain"), event.unixMs);
            else if (event.name == "domainIn")
                outSince.erase(event.text("domain"));
            if (event.name != "taskStart")
                continue;
            const auto out = outSince.find(m_domainOf[event.text("worker")]);
            if (out != outSince.end() && event.unixMs > out->second + m_bounds.outOfService.count())
                report(3,
                       "task " + event.text("task") + " started in " + out->first
                           + ", which is out of service",
                       event.source, event.unixMs);
        }
    }

    static bool allEqual(const json &values, const std::string &wanted)
    {
        return std::all_of(values.begin(), values.end(),
                           [&wanted](const json &value) { return value == wanted; });
    }

    // 4: a completed answer has every result, unchanged, and repeated answers agree.
    void checkAnswers()
    {
        for (const auto &[name, job] : m_jobs) {
            for (const run_event &answer : job.completed) {
                const json digests = answer.fields.value("digests", json::array());
                const bool count = static_cast<std::int64_t>(digests.size()) == job.tasks;
                const bool same = job.digest.empty() || allEqual(digests, job.digest);
                if (!count || !same)
                    report(4, name + " got an answer with missing or changed results",
                           answer.source, answer.unixMs);
            }
            if (job.notRun && !job.completed.empty())
                report(4, name + " was answered both as completed and as not run",
                       job.notRun->source, job.notRun->unixMs);
        }
    }

    // 5: a job that was answered as not run never started.
    void checkNotRun()
    {
        for (const auto &[name, job] : m_jobs) {
            if (job.notRun && !job.startedAttempts.empty())
                report(5,
                       name + " was answered as not run, and attempt "
                           + *job.startedAttempts.begin() + " started",
                       job.notRun->source, job.notRun->unixMs);
        }
    }

    // 6: a job that is not idempotent starts at most once.
    void checkAtMostOnce()
    {
        for (const auto &[name, job] : m_jobs) {
            if (!job.submitted || job.idempotent)
                continue;
            const bool taskTwice = std::any_of(job.startsOfTask.begin(), job.startsOfTask.end(),
                                               [](const auto &task) { return task.second > 1; });
            if (job.startedAttempts.size() > 1 || taskTwice)
                report(6, name + " is not idempotent and started more than once", name, m_last);
        }
    }

    // 7: no task starts on a backend server that has been draining for longer than the bound.
    void checkDrains()
    {
        std::map<std::string, std::int64_t> drainedSince;
        for (const run_event &event : m_events) {
            if (event.name == "drain")
                drainedSince.emplace(event.text("worker"), event.unixMs);
            else if (event.name == "drainEnd" || event.name == "killed")
                drainedSince.erase(event.text("worker"));
            if (event.name != "taskStart")
                continue;
            const auto drained = drainedSince.find(event.text("worker"));
            if (drained != drainedSince.end()
                && event.unixMs > drained->second + m_bounds.outOfService.count())
                report(7, "task " + event.text("task") + " started on a draining backend server",
                       event.source, event.unixMs);
        }
    }

    // 8: tasks that run when a drain begins end by themselves, and open calls are answered.
    void checkInterruptions()
    {
        std::set<std::string> draining;
        for (const run_event &event : m_events) {
            if (event.name == "drain")
                draining.insert(event.text("worker"));
            else if (event.name == "drainEnd")
                draining.erase(event.text("worker"));
            else if (event.name == "broken")
                report(8,
                       "a call to " + event.text("process") + " was open at its shutdown and "
                           + "got no answer",
                       event.source, event.unixMs);
            const bool stopped = event.name == "taskEnd" && event.text("state") == "stopped";
            if (!stopped)
                continue;
            const task_run *task = findTask(event.text("task"));
            if (task != nullptr && draining.count(task->worker) > 0)
                report(8, "task " + event.text("task") + " was stopped during a graceful shutdown",
                       event.source, event.unixMs);
        }
    }

    // 9: no process applies an older configuration revision after a newer one, and no current
    // planner sends a hold of a revision older than the one in force.
    void checkRevisions()
    {
        std::map<std::string, std::int64_t> highestOf; // by process
        std::int64_t inForce = 0; // these histories have one cell
        std::int64_t inForceEpoch = 0;
        for (const run_event &event : m_events) {
            const std::int64_t number = event.number("revision");
            if (event.name == "configuration") {
                std::int64_t &highest = highestOf[event.source];
                if (number < highest)
                    report(9,
                           "revision " + std::to_string(number) + " was applied after "
                               + std::to_string(highest),
                           event.source, event.unixMs);
                highest = std::max(highest, number);
            } else if (event.name == "inForce") {
                inForce = std::max(inForce, number);
                inForceEpoch = std::max(inForceEpoch, event.number("epoch"));
            } else if (event.name == "hold" && number < inForce
                       && event.number("epoch") >= inForceEpoch) {
                // Holds of replaced planners are skipped above, since the agents refuse them.
                report(9,
                       "a hold of revision " + std::to_string(number) + " was sent after "
                           + std::to_string(inForce) + " was in force",
                       event.source, event.unixMs);
            }
        }
    }

    std::vector<run_event> m_events;
    promise_bounds m_bounds;
    std::int64_t m_last = 0;
    std::map<std::string, job_history> m_jobs;
    std::map<std::string, attempt_runs> m_attempts;
    std::map<std::string, std::string> m_attemptOfTask;
    std::map<std::string, std::string> m_domainOf;
    std::vector<violation> m_violations;
};

} // namespace

std::string run_event::text(const char *field) const
{
    const auto found = fields.find(field);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t run_event::number(const char *field) const
{
    const auto found = fields.find(field);
    if (found == fields.end())
        return 0;
    if (found->is_boolean())
        return found->get<bool>() ? 1 : 0;
    return found->is_number() ? found->get<std::int64_t>() : 0;
}

std::string run_event::job() const
{
    const std::string team = text("team");
    return team.empty() ? std::string() : team + "/" + text("request");
}

std::string run_event::attempt() const
{
    return job() + "#" + std::to_string(number("attempt"));
}

void run_history::addFile(const std::string &source, const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        json fields = json::parse(line, nullptr, false);
        if (fields.is_object())
            add(source, std::move(fields));
    }
}

void run_history::add(const std::string &source, json fields)
{
    run_event event;
    event.source = source;
    event.fields = std::move(fields);
    event.name = event.text("event");
    event.unixMs = event.number("unixMs");
    m_events.push_back(std::move(event));
}

std::vector<run_event> run_history::sorted() const
{
    std::vector<run_event> events = m_events;
    std::stable_sort(events.begin(), events.end(),
                     [](const run_event &a, const run_event &b) { return a.unixMs < b.unixMs; });
    return events;
}

std::string violation::text() const
{
    return "promise " + std::to_string(promise) + ": " + what + " (" + source + " at "
        + std::to_string(unixMs) + " ms)";
}

std::vector<violation> checkHistory(const run_history &history, const promise_bounds &bounds)
{
    return history_check(history.sorted(), bounds).run();
}

} // namespace goldcrest
