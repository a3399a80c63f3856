#pragma once

// Judge of the soak: compares what callers and backend servers see with the users' rules. It sees
// each event when it happens and needs no clock of its own.
//
//   soak_judge judge([&](const std::string &rule, const std::string &what,
//                        const std::string &subject) { problems.push_back(rule + ": " + what); });
//   judge.addJob(job);
//   soak_run &run = judge.onStart(order, now);
//   judge.onEnd(run, "done", now);
//   judge.onNoted(run, false, now);

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
    int refusals = 0; // submissions answered with a status that says that the job was not accepted
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
    bool isNoted = false; // the end was taken note of, and the lease had not lapsed before
};

// Name of a task, ID.K.STEP.INDEX.
struct soak_task_name
{
    std::string job;
    std::size_t step = 0;
};
std::optional<soak_task_name> parseSoakTask(const std::string &task);

// A start order that a backend server carries out.
struct soak_start
{
    std::string server;
    std::string task;
    std::int32_t number = 0;
    std::string spec;
    std::string saved;
    bool isLate = false; // carried out later than the call arrived
    bool isInTouch = false; // the sidecar that sent it is
};

class soak_judge
{
public:
    // @param subject text that lines about the same thing contain
    using report_function = std::function<void(const std::string &rule, const std::string &what,
                                               const std::string &subject)>;

    explicit soak_judge(report_function report);

    soak_job &addJob(soak_job job);
    // Returns nothing for a job that no caller sent.
    soak_job *findJob(const std::string &id);
    std::map<std::string, soak_job> &jobs() { return m_jobs; }
    std::size_t starts() const { return m_starts; }

    // @param status 0 if the caller got no response
    void onSubmitAnswered(soak_job &job, int status, time_point now);
    void onCancelAnswered(soak_job &job, int status, time_point now);
    // @param isInTouch of the front, since the question was sent and for some time before
    void onShown(soak_job &job, int status, const std::string &state, bool isInTouch,
                 time_point askedAt);

    soak_run &onStart(const soak_start &order, time_point now);
    // Reports a start that brings a server over the capacity that it has announced.
    void onLoad(const std::string &server, const std::string &task, const resources &used,
                const resources &capacity);
    void onEnd(soak_run &run, const std::string &how, time_point now);
    // @param hasLapsed the server's lease lapsed between the end and this moment
    void onNoted(soak_run &run, bool hasLapsed);
    void onProcessEnded(const std::string &name, int status);
    // Reports the accepted jobs that have no final state, and the runs of cancelled jobs.
    // @return whether there are none
    bool checkAllOver(bool mayReport);

private:
    // A gang as a whole, or one task.
    struct unit
    {
        std::set<std::int32_t> failedRuns; // whose ends were taken note of
        std::set<std::int32_t> allFailedRuns;
        std::optional<time_point> doneAt; // first end `done`
        bool isDoneNoted = false;
    };

    unit &unitOf(const soak_run &run);
    std::string unitName(const soak_job &job, std::size_t step, const std::string &task) const;
    bool isStepDone(const soak_job &job, std::size_t step) const;
    bool hasFailedUnit(const soak_job &job) const;
    void checkOrder(const soak_job &job, const soak_start &order, std::size_t step);
    void checkRequest(const soak_job &job, const soak_start &order, time_point now);
    void checkTwice(const soak_start &order, const soak_run &run);

    report_function m_report;
    std::map<std::string, soak_job> m_jobs;
    std::list<soak_run> m_runs;
    std::map<std::string, std::vector<soak_run *>> m_runsOf; // by task
    std::map<std::string, unit> m_units;
    std::size_t m_starts = 0;
};

constexpr int soakMaxAttempts = 4; // max_attempts of all queues

} // namespace goldcrest
