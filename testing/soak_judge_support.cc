#include "testing/soak_judge_support.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration cancelBound = 3000ms; // cancel_ms
constexpr duration visibleBound = 3000ms; // visible_ms
constexpr int statusGone = 410;

bool isRefusal(int status)
{
    return status >= 400 && status != 502 && status != 504;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::optional<soak_task_name> parseSoakTask(const std::string &task)
{
    const std::size_t first = task.find('.');
    const std::size_t second = task.find('.', first + 1);
    const std::size_t third = task.find('.', second + 1);
    if (first == std::string::npos || second == std::string::npos || third == std::string::npos)
        return std::nullopt;
    soak_task_name name;
    name.job = task.substr(0, first);
    const char *end = task.data() + third;
    if (std::from_chars(task.data() + second + 1, end, name.step).ptr != end)
        return std::nullopt;
    return name;
}

soak_judge::soak_judge(report_function report)
    : m_report(std::move(report))
{ }

soak_job &soak_judge::addJob(soak_job job)
{
    std::string id = job.id;
    return m_jobs[std::move(id)] = std::move(job);
}

soak_job *soak_judge::findJob(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::string soak_judge::unitName(const soak_job &job, std::size_t step,
                                 const std::string &task) const
{
    const bool isGang = step < job.steps.size() && job.steps[step].isGang;
    return isGang ? task.substr(0, task.rfind('.')) : task;
}

soak_judge::unit &soak_judge::unitOf(const soak_run &run)
{
    const std::optional<soak_task_name> name = parseSoakTask(run.task);
    const soak_job *job = name ? findJob(name->job) : nullptr;
    return m_units[job == nullptr ? run.task : unitName(*job, name->step, run.task)];
}

bool soak_judge::isStepDone(const soak_job &job, std::size_t step) const
{
    for (std::int32_t i = 0; i < job.steps[step].count; ++i) {
        const auto found
            = m_units.find(unitName(job, step, fmt::format("{}.0.{}.{}", job.id, step, i)));
        if (found == m_units.end() || !found->second.doneAt)
            return false;
    }
    return true;
}

bool soak_judge::hasFailedUnit(const soak_job &job) const
{
    const std::string first = job.id + ".";
    for (auto it = m_units.lower_bound(first);
         it != m_units.end() && it->first.compare(0, first.size(), first) == 0; ++it) {
        if (it->second.allFailedRuns.size() >= soakMaxAttempts)
            return true;
    }
    return false;
}

void soak_judge::onSubmitAnswered(soak_job &job, int status, time_point now)
{
    if (isSuccess(status) && !job.acceptedAt)
        job.acceptedAt = now;
    if (isRefusal(status))
        ++job.refusals;
    if (job.hasStarted && job.refusals == job.attempts)
        m_report("REFUSED", fmt::format("{} was refused and has started", job.id), job.id);
}

void soak_judge::onCancelAnswered(soak_job &job, int status, time_point now)
{
    if (!job.cancelledAt && (isSuccess(status) || status == statusGone))
        job.cancelledAt = now;
}

void soak_judge::onShown(soak_job &job, int status, const std::string &state, bool isInTouch,
                         time_point askedAt)
{
    // Only a front in touch must know a job, and only visible_ms after the acknowledgement; a
    // cancelled job may be forgotten.
    if (status == statusGone && job.acceptedAt && job.cancels == 0 && isInTouch
        && askedAt > *job.acceptedAt + visibleBound)
        m_report("LOST", fmt::format("accepted job {} is answered 410", job.id), job.id);
    if (status != 200)
        return;
    job.shown = state;
    if (job.attempts == job.refusals)
        m_report("MIXED", fmt::format("refused job {} is shown as {}", job.id, state), job.id);
    if (state == "completed") {
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            if (!isStepDone(job, step))
                m_report("MIXED",
                         fmt::format("{} is shown as completed, step {} isn't done", job.id, step),
                         job.id);
        }
    }
    if (state == "cancelled" && job.cancels == 0)
        m_report("LOST", fmt::format("{} is shown as cancelled without cause", job.id), job.id);
    if (state == "failed" && !hasFailedUnit(job))
        m_report("LOST", fmt::format("{} is shown as failed without cause", job.id), job.id);
}

soak_run &soak_judge::onStart(const soak_start &order, time_point now)
{
    ++m_starts;
    soak_run &run = m_runs.emplace_back();
    run.server = order.server;
    run.task = order.task;
    run.number = order.number;
    run.startedAt = now;
    const std::optional<soak_task_name> name = parseSoakTask(order.task);
    soak_job *job = name ? findJob(name->job) : nullptr;
    if (job == nullptr || name->step >= job->steps.size()) {
        m_report("UNASKED", order.task + " starts, which nobody sent", order.task);
    } else {
        checkRequest(*job, order, now);
        checkOrder(*job, order, name->step);
        job->hasStarted = true;
    }
    checkTwice(order, run);
    m_runsOf[order.task].push_back(&run);
    return run;
}

void soak_judge::checkRequest(const soak_job &job, const soak_start &order, time_point now)
{
    if (job.refusals == job.attempts)
        m_report("REFUSED", fmt::format("{} starts, its job was refused", order.task), order.task);
    if (order.spec != job.payload)
        m_report("UNASKED", fmt::format("{} starts with another spec", order.task), order.task);
    const std::string unit = unitName(job, parseSoakTask(order.task)->step, order.task);
    if (!order.saved.empty() && order.saved.substr(0, order.saved.find('/')) != unit)
        m_report("UNASKED",
                 fmt::format("{} starts from {} of another task", order.task, order.saved),
                 order.task);
    // The bound of cancels is not for orders that are carried out late, nor for a machine that was
    // disturbed or cut off from the store within the time that makes it in touch.
    if (job.cancelledAt && now > *job.cancelledAt + cancelBound && !order.isLate && order.isInTouch)
        m_report("UNASKED",
                 fmt::format("run {} of {} starts {} ms after its cancel was acknowledged",
                             order.number, order.task, (now - *job.cancelledAt).count()),
                 order.task);
}

void soak_judge::checkOrder(const soak_job &job, const soak_start &order, std::size_t step)
{
    for (const std::size_t before : job.steps[step].after) {
        if (!isStepDone(job, before))
            m_report("ORDER", fmt::format("{} starts before step {} is done", order.task, before),
                     order.task);
    }
}

void soak_judge::checkTwice(const soak_start &order, const soak_run &run)
{
    for (const soak_run *other : m_runsOf[order.task]) {
        if (!other->endedAt)
            m_report("TWICE",
                     fmt::format("run {} of {} starts on {} while run {} works on {}", order.number,
                                 order.task, order.server, other->number, other->server),
                     order.task);
    }
    unit &done = unitOf(run);
    if (done.isDoneNoted)
        m_report("TWICE",
                 fmt::format("run {} of {} starts on {} after an end done was taken note of",
                             order.number, order.task, order.server),
                 order.task);
    if (done.failedRuns.size() >= soakMaxAttempts && done.failedRuns.count(order.number) == 0)
        m_report("BUDGET",
                 fmt::format("run {} of {} starts after {} failed runs", order.number, order.task,
                             done.failedRuns.size()),
                 order.task);
}

void soak_judge::onLoad(const std::string &server, const std::string &task, const resources &used,
                        const resources &capacity)
{
    if (used.cores <= capacity.cores && used.memory <= capacity.memory
        && used.accelerators <= capacity.accelerators)
        return;
    m_report("LIMIT",
             fmt::format("{} brings {} to {}/{}/{} of {}/{}/{}", task, server, used.cores,
                         used.memory, used.accelerators, capacity.cores, capacity.memory,
                         capacity.accelerators),
             server);
}

void soak_judge::onEnd(soak_run &run, const std::string &how, time_point now)
{
    run.endedAt = now;
    run.how = how;
    unit &ended = unitOf(run);
    if (how == "failed")
        ended.allFailedRuns.insert(run.number);
    if (how == "done" && !ended.doneAt)
        ended.doneAt = now;
}

void soak_judge::onNoted(soak_run &run, bool hasLapsed)
{
    // An end isn't taken note of if the lease of its server lapsed in between.
    if (run.isNoted || hasLapsed)
        return;
    run.isNoted = true;
    unit &ended = unitOf(run);
    if (run.how == "failed")
        ended.failedRuns.insert(run.number);
    if (run.how != "done")
        return;
    ended.isDoneNoted = true;
    for (const soak_run *other : m_runsOf[run.task]) {
        if (other->startedAt > *run.endedAt)
            m_report("TWICE",
                     fmt::format("run {} of {} on {} started after run {} ended done on {}",
                                 other->number, run.task, other->server, run.number, run.server),
                     run.task);
    }
}

void soak_judge::onProcessEnded(const std::string &name, int status)
{
    m_report("FAULT", fmt::format("process {} ended by itself, status {}", name, status), name);
}

bool soak_judge::checkAllOver(bool mayReport)
{
    bool isAllOver = true;
    for (const auto &[id, job] : m_jobs) {
        if (!job.acceptedAt || job.isOver())
            continue;
        isAllOver = false;
        if (mayReport)
            m_report("LOST",
                     fmt::format("accepted job {} doesn't end, shown as '{}'", id, job.shown), id);
    }
    for (const soak_run &run : m_runs) {
        const std::optional<soak_task_name> name = parseSoakTask(run.task);
        const soak_job *job = name ? findJob(name->job) : nullptr;
        if (run.endedAt || job == nullptr || !job->cancelledAt)
            continue;
        isAllOver = false;
        if (mayReport)
            m_report("UNASKED",
                     fmt::format("run {} of {} works on {} though its job was cancelled",
                                 run.number, run.task, run.server),
                     run.task);
    }
    return isAllOver;
}

} // namespace goldcrest
