#include "testing/soak_judge_support.h"

#include "goldcrest/outcome.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration cancelBound = 3000ms; // cancel_ms
constexpr duration visibleBound = 3000ms; // visible_ms
constexpr int statusGone = 410;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::string soakUnitName(const std::string &task, bool isGang)
{
    return isGang ? task.substr(0, task.rfind('.')) : task;
}

soak_judge::soak_judge(report_function report)
    : m_report(std::move(report))
{ }

std::pair<soak_job *, const soak_step *> soak_judge::find(const std::string &task)
{
    const auto job = m_jobs.find(task.substr(0, task.find('.')));
    const std::size_t number = task.find('.', task.find('.') + 1);
    if (job == m_jobs.end() || number == std::string::npos)
        return {nullptr, nullptr};
    const std::size_t step = std::strtoul(task.c_str() + number + 1, nullptr, 10);
    if (step >= job->second.steps.size())
        return {nullptr, nullptr};
    return {&job->second, &job->second.steps[step]};
}

soak_judge::unit &soak_judge::unitOf(const std::string &task)
{
    const soak_step *step = find(task).second;
    return m_units[soakUnitName(task, step != nullptr && step->isGang)];
}

bool soak_judge::isStepDone(const soak_job &job, std::size_t step)
{
    for (std::int32_t i = 0; i < job.steps[step].count; ++i) {
        if (!unitOf(fmt::format("{}.0.{}.{}", job.id, step, i)).isDone)
            return false;
    }
    return true;
}

bool soak_judge::hasFailedUnit(const soak_job &job) const
{
    return std::any_of(
        m_units.lower_bound(job.id), m_units.lower_bound(job.id + "/"),
        [](const auto &one) { return one.second.failedRuns.size() >= soakMaxAttempts; });
}

void soak_judge::onSubmitAnswered(soak_job &job, int status, time_point now, int code)
{
    if (isSuccess(status) && !job.acceptedAt)
        job.acceptedAt = now;
    // The outcome is unknown after 502, 504 or no response.
    if (status >= 400 && status != 502 && status != 504)
        ++job.refusals;
    if (code == static_cast<int>(goldcrest::code::NoTimelyCapacity))
        job.attemptsBeforeRefusal = job.attempts;
    if (job.hasStarted && isRefused(job))
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
    // Only a front in touch must know a job, and only visible_ms after the acknowledgement.
    if (status == statusGone && job.acceptedAt && job.cancels == 0 && isInTouch
        && askedAt > *job.acceptedAt + visibleBound)
        m_report("LOST", fmt::format("accepted job {} is answered 410", job.id), job.id);
    if (status != 200)
        return;
    job.shown = state;
    if (isRefused(job))
        m_report("MIXED", fmt::format("refused job {} is shown as {}", job.id, state), job.id);
    for (std::size_t step = 0; state == "completed" && step < job.steps.size(); ++step) {
        if (!isStepDone(job, step))
            m_report("MIXED", fmt::format("{} is shown as completed before step {}", job.id, step),
                     job.id);
    }
    if ((state == "cancelled" && job.cancels == 0) || (state == "failed" && !hasFailedUnit(job)))
        m_report("LOST", fmt::format("{} is shown as {} without cause", job.id, state), job.id);
}

soak_run &soak_judge::onStart(const soak_start &order, time_point now)
{
    const auto [job, step] = find(order.task);
    if (job == nullptr) {
        m_report("UNASKED", order.task + " starts, which nobody sent", order.task);
    } else {
        checkRequest(*job, order, now);
        checkOrder(*job, *step, order);
        job->hasStarted = true;
    }
    checkTwice(order);
    m_runs.push_back({order.server, order.task, order.number, now, std::nullopt, ""});
    m_runsOf[order.task].push_back(&m_runs.back());
    return m_runs.back();
}

void soak_judge::checkRequest(const soak_job &job, const soak_start &order, time_point now)
{
    if (isRefused(job))
        m_report("REFUSED", order.task + " starts, its job was refused", order.task);
    const std::string unit = soakUnitName(order.task, find(order.task).second->isGang);
    if (order.spec != job.payload
        || (!order.saved.empty() && order.saved.substr(0, order.saved.find('/')) != unit))
        m_report("UNASKED",
                 fmt::format("{} starts with another spec or saved work, {} {}", order.task,
                             order.spec, order.saved),
                 order.task);
    // The bound of cancels is not for orders that are carried out late, nor for a machine that was
    // disturbed or cut off from the store within the time that makes it in touch.
    if (job.cancelledAt && now > *job.cancelledAt + cancelBound && !order.isLate && order.isInTouch)
        m_report("UNASKED",
                 fmt::format("{} starts {} ms after its cancel was acknowledged", order.task,
                             (now - *job.cancelledAt).count()),
                 order.task);
}

void soak_judge::checkOrder(const soak_job &job, const soak_step &step, const soak_start &order)
{
    for (const std::size_t before : step.after) {
        if (!isStepDone(job, before))
            m_report("ORDER", fmt::format("{} starts before step {} is done", order.task, before),
                     order.task);
    }
}

void soak_judge::checkTwice(const soak_start &order)
{
    for (const soak_run *other : m_runsOf[order.task]) {
        if (!other->endedAt)
            m_report("TWICE",
                     fmt::format("run {} of {} starts on {} while run {} works on {}", order.number,
                                 order.task, order.server, other->number, other->server),
                     order.task);
    }
    const unit &earlier = unitOf(order.task);
    if (earlier.isDoneNoted)
        m_report("TWICE",
                 fmt::format("run {} of {} starts on {} after an end done was noted", order.number,
                             order.task, order.server),
                 order.task);
    if (earlier.notedFailedRuns.size() >= soakMaxAttempts
        && earlier.notedFailedRuns.count(order.number) == 0)
        m_report("BUDGET",
                 fmt::format("run {} of {} starts after {} failed runs", order.number, order.task,
                             earlier.notedFailedRuns.size()),
                 order.task);
}

void soak_judge::onLoad(const soak_start &order, const resources &used, const resources &capacity)
{
    if (used.cores > capacity.cores || used.memory > capacity.memory
        || used.accelerators > capacity.accelerators)
        m_report("LIMIT",
                 fmt::format("{} brings {} to {}/{}/{} of {}/{}/{}", order.task, order.server,
                             used.cores, used.memory, used.accelerators, capacity.cores,
                             capacity.memory, capacity.accelerators),
                 order.server);
}

void soak_judge::onEnd(soak_run &run, const std::string &how, time_point now)
{
    run.endedAt = now;
    run.how = how;
    if (how == "failed")
        unitOf(run.task).failedRuns.insert(run.number);
    if (how == "done")
        unitOf(run.task).isDone = true;
}

void soak_judge::onNoted(soak_run &run, bool hasLapsed)
{
    // An end isn't taken note of if the lease of its server lapsed in between.
    if (hasLapsed)
        return;
    if (run.how == "failed")
        unitOf(run.task).notedFailedRuns.insert(run.number);
    if (run.how != "done")
        return;
    unitOf(run.task).isDoneNoted = true;
    for (const soak_run *other : m_runsOf[run.task]) {
        if (other->startedAt > *run.endedAt)
            m_report("TWICE",
                     fmt::format("run {} of {} on {} started after run {} ended done",
                                 other->number, run.task, other->server, run.number),
                     run.task);
    }
}

bool soak_judge::checkAllOver(bool mayReport)
{
    bool isAllOver = true;
    const auto complain = [&](const char *rule, const std::string &subject, const char *what) {
        isAllOver = false;
        if (mayReport)
            m_report(rule, subject + what, subject);
    };
    for (const auto &[id, job] : m_jobs) {
        if (job.acceptedAt && !job.isOver())
            complain("LOST", id, " was accepted and doesn't end");
    }
    for (const soak_run &run : m_runs) {
        const soak_job *job = find(run.task).first;
        if (!run.endedAt && job != nullptr && job->cancelledAt)
            complain("UNASKED", run.task, " works on though its job was cancelled");
    }
    return isAllOver;
}

} // namespace goldcrest
