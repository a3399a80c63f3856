#pragma once

// Judge of the soak: compares what callers and backend servers see with the users' rules. It gets
// each event when it happens and has no clock of its own.
//
//   soak_judge judge([](const std::string &rule, const std::string &what,
//                       const std::string &subject) { print(rule, what); });
//   soak_job &job = judge.addJob(sent);
//   judge.onSubmitAnswered(job, 200, now);
//   soak_run &run = judge.onStart({"side-1", job.id + ".0.0.0", 1, job.payload}, now);
//   judge.onEnd(run, "done", now);
//   judge.onNoted(run, false);

#include "goldcrest/clock.h"
#include "goldcrest/model.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

constexpr std::size_t soakMaxAttempts = 4; // max_attempts of all queues

struct soak_step
{
    std::int32_t count = 1;
    resources perTask;
    duration work = 100ms; // of one task
    std::vector<std::size_t> after; // steps, counting from 0
    bool isGang = false;
    bool isCheckpointing = false;
};

struct soak_job
{
    std::string id;
    std::string queue;
    std::string payload;
    std::vector<soak_step> steps;
    int attempts = 0; // submissions sent
    int refusals = 0; // submissions whose answer says that the job was not accepted
    // Submissions that were sent before the last refusal of the admission control. It also promises
    // that none of them runs, whatever became of their answers.
    int attemptsBeforeRefusal = 0;
    int cancels = 0; // sent
    std::optional<time_point> acceptedAt;
    std::optional<time_point> cancelledAt; // acknowledgement
    std::string shown; // last state that a caller saw
    bool hasStarted = false;

    bool isOver() const
    {
        return shown == "completed" || shown == "failed" || shown == "cancelled";
    }
};

// One run of a task on a backend server.
struct soak_run
{
    std::string server;
    std::string task;
    std::int32_t number = 0;
    time_point startedAt{};
    std::optional<time_point> endedAt;
    std::string how; // of the end; "lost" if the server ended
};

// A start order that a backend server carries out.
struct soak_start
{
    std::string server;
    std::string task; // ID.K.STEP.INDEX
    std::int32_t number = 0;
    std::string spec;
    std::string saved;
    bool isLate = false; // carried out later than the call arrived
    bool isInTouch = false; // the sidecar that sent it is
};

class soak_judge
{
public:
    // @param subject text that the events around have in common
    using report_function = std::function<void(const std::string &rule, const std::string &what,
                                               const std::string &subject)>;

    explicit soak_judge(report_function report);

    soak_job &addJob(const soak_job &job) { return m_jobs[job.id] = job; }
    std::map<std::string, soak_job> &jobs() { return m_jobs; }
    // Returns whether all submissions of a job were refused, or precede such a refusal.
    static bool isRefused(const soak_job &job)
    {
        return job.refusals == job.attempts || job.attemptsBeforeRefusal == job.attempts;
    }
    std::size_t starts() const { return m_runs.size(); }
    // Returns the job and the step of a task, or nulls if no caller sent it.
    std::pair<soak_job *, const soak_step *> find(const std::string &task);

    // @param status 0 if the caller got no response
    // @param code of the error in the answer; 0: none
    void onSubmitAnswered(soak_job &job, int status, time_point now, int code = 0);
    void onCancelAnswered(soak_job &job, int status, time_point now);
    // @param isInTouch of the front, from the question to the answer
    void onShown(soak_job &job, int status, const std::string &state, bool isInTouch,
                 time_point askedAt);
    soak_run &onStart(const soak_start &order, time_point now);
    // Reports a start that brings a server over the capacity that it has announced.
    void onLoad(const soak_start &order, const resources &used, const resources &capacity);
    void onEnd(soak_run &run, const std::string &how, time_point now);
    // @param hasLapsed the server's lease lapsed between the end and this moment
    void onNoted(soak_run &run, bool hasLapsed);
    // Returns whether all accepted jobs have a final state and no run of a cancelled job works.
    // Reports the others if `mayReport`.
    bool checkAllOver(bool mayReport);

private:
    // A gang as a whole, or one task.
    struct unit
    {
        std::set<std::int32_t> failedRuns;
        std::set<std::int32_t> notedFailedRuns;
        bool isDone = false;
        bool isDoneNoted = false;
    };

    unit &unitOf(const std::string &task);
    bool isStepDone(const soak_job &job, std::size_t step);
    bool hasFailedUnit(const soak_job &job) const;
    void checkRequest(const soak_job &job, const soak_start &order, time_point now);
    void checkOrder(const soak_job &job, const soak_step &step, const soak_start &order);
    void checkTwice(const soak_start &order);

    report_function m_report;
    std::map<std::string, soak_job> m_jobs;
    std::list<soak_run> m_runs;
    std::map<std::string, std::vector<soak_run *>> m_runsOf; // by task
    std::map<std::string, unit> m_units;
};

// Returns the name of what ends as one: the step of a gang's member, or the task.
std::string soakUnitName(const std::string &task, bool isGang);

} // namespace goldcrest
