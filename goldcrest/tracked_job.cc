#include "goldcrest/tracked_job.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Resets the state of the current run; keeps the durable progress of the task.
void clearRun(tracked_task &task)
{
    task_record record = std::move(task.record);
    record.worker.clear();
    record.workerIncarnation.clear();
    const std::int32_t restoredRun = task.restoredRun;
    const std::int32_t lapsedRun = task.lapsedRun;
    const duration lapsedRunWorked = task.lapsedRunWorked;
    task = tracked_task{};
    task.record = std::move(record);
    task.restoredRun = restoredRun;
    task.lapsedRun = lapsedRun;
    task.lapsedRunWorked = lapsedRunWorked;
}

// Returns the bytes of memory of one occurrence of a job while all of its tasks run.
std::size_t bytesOfOccurrence(const graph_job &job)
{
    // The names of a worker and its incarnation and a checkpoint, on the heap.
    constexpr std::size_t textBytes = 3 * 48;
    std::size_t bytes = sizeof(tracked_occurrence);
    for (const step_spec &step : job.steps) {
        const auto tasks = static_cast<std::size_t>(step.count);
        bytes += sizeof(tracked_step) + tasks * (sizeof(tracked_task) + textBytes)
            + std::min(tasks, tracked_step::maxTaskTimes) * sizeof(task_time);
    }
    return bytes;
}

bool isUntouched(const tracked_task &task)
{
    const task_record &record = task.record;
    return record.lastRun == 0 && record.worker.empty() && !record.isDone;
}

} // namespace

bool tracked_step::isDone() const
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const tracked_task &task) { return task.record.isDone; });
}

std::int32_t tracked_step::lastFailedRun() const
{
    std::int32_t last = 0;
    for (const tracked_task &task : tasks)
        last = std::max(last, task.record.failedRuns);
    return last;
}

bool tracked_step::hasActive() const
{
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const tracked_task &task) { return task.isActive(); });
}

bool tracked_occurrence::hasActive() const
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const tracked_step &step) { return step.hasActive(); });
}

bool tracked_occurrence::isUntouched() const
{
    return std::all_of(steps.begin(), steps.end(), [](const tracked_step &step) {
        return std::all_of(step.tasks.begin(), step.tasks.end(),
                           [](const tracked_task &task) { return goldcrest::isUntouched(task); });
    });
}

tracked_job::tracked_job(graph_job spec, const std::optional<job_progress> &progress,
                         time_point acceptedAt)
    : m_spec(std::move(spec))
    , m_bytesPerOccurrence(bytesOfOccurrence(m_spec))
    , m_acceptedAt(acceptedAt)
{
    if (!progress)
        return;
    m_state = progress->state;
    m_storedState = m_state;
    m_finishedAt = progress->finishedAt;
    m_occurrencesOpened = progress->occurrencesBegun;
    // Occurrences that have ended are not listed.
    m_hasBegun
        = static_cast<std::int32_t>(progress->occurrences.size()) < progress->occurrencesBegun;
    for (const occurrence_record &stored : progress->occurrences) {
        tracked_occurrence occurrence;
        occurrence.number = stored.number;
        occurrence.isDone = stored.isDone;
        m_hasBegun = m_hasBegun || stored.isDone;
        for (const step_record &storedStep : stored.steps) {
            tracked_step step;
            step.failedRuns = storedStep.failedRuns;
            m_hasBegun = m_hasBegun || step.failedRuns > 0;
            for (const task_record &record : storedStep.tasks) {
                step.tasks.emplace_back().record = record;
                step.tasks.back().restoredRun = record.lastRun;
                m_hasBegun
                    = m_hasBegun || record.isDone || record.failedRuns > 0 || !record.saved.empty();
                step.tasks.back().stopWanted = progress->isFinished() || record.isDone;
            }
            occurrence.steps.push_back(std::move(step));
        }
        m_occurrences.push_back(std::move(occurrence));
        dropIfOver(stored.number); // earlier versions listed all
    }
}

bool tracked_job::hasActive() const
{
    return std::any_of(m_occurrences.begin(), m_occurrences.end(),
                       [](const tracked_occurrence &occurrence) { return occurrence.hasActive(); });
}

bool tracked_job::isFinished() const
{
    return m_state != graph_job_state::Queued && m_state != graph_job_state::Running;
}

void tracked_job::noteStored(std::uint64_t version, graph_job_state state)
{
    if (version < m_storedVersion)
        return;
    m_storedVersion = version;
    m_storedState = state;
}

job_progress tracked_job::progress() const
{
    job_progress stored;
    stored.state = m_state;
    stored.finishedAt = m_finishedAt;
    stored.occurrencesBegun = m_occurrencesOpened;
    if (m_hasAbandonedRecord)
        return stored;
    for (const tracked_occurrence &occurrence : m_occurrences) {
        occurrence_record record;
        record.number = occurrence.number;
        record.isDone = occurrence.isDone;
        for (const tracked_step &step : occurrence.steps) {
            step_record steps;
            steps.failedRuns = step.failedRuns;
            for (const tracked_task &task : step.tasks)
                steps.tasks.push_back(task.record);
            record.steps.push_back(std::move(steps));
        }
        stored.occurrences.push_back(std::move(record));
    }
    return stored;
}

std::int32_t tracked_job::occurrenceCount() const
{
    return std::max(1, m_spec.schedule.occurrences);
}

bool tracked_job::hasScheduleLeft() const
{
    return m_occurrencesOpened < occurrenceCount();
}

bool tracked_job::isNextDue(unix_ms wall) const
{
    return dueOccurrences(wall) > 0;
}

std::int64_t tracked_job::dueOccurrences(unix_ms wall) const
{
    if (isFinished() || !hasScheduleLeft())
        return 0;
    const job_schedule &schedule = m_spec.schedule;
    if (schedule.occurrences == 0)
        return 1;
    const unix_ms interval = schedule.interval.count();
    const unix_ms nextDue = schedule.firstDue + m_occurrencesOpened * interval;
    if (wall < nextDue)
        return 0;
    const std::int64_t left = occurrenceCount() - m_occurrencesOpened;
    return interval == 0 ? left : std::min(left, (wall - nextDue) / interval + 1);
}

void tracked_job::openNext()
{
    tracked_occurrence occurrence;
    occurrence.number = m_occurrencesOpened++;
    occurrence.steps.reserve(m_spec.steps.size());
    for (const step_spec &step : m_spec.steps)
        occurrence.steps.emplace_back().tasks.resize(static_cast<std::size_t>(step.count));
    m_occurrences.push_back(std::move(occurrence));
}

std::size_t tracked_job::untouchedOccurrences() const
{
    std::size_t count = 0;
    std::int32_t last = m_occurrencesOpened - 1;
    // One that is open before one that has ended can't be taken back, since that would begin again.
    for (auto it = m_occurrences.rbegin(); it != m_occurrences.rend(); ++it, --last, ++count) {
        if (it->number != last || !it->isUntouched())
            break;
    }
    return count;
}

void tracked_job::closeLast()
{
    --m_occurrencesOpened;
    m_occurrences.pop_back();
}

std::size_t tracked_job::waitingTasks() const
{
    std::size_t count = 0;
    for (const step_ref &ref : readySteps()) {
        const std::vector<tracked_task> &tasks = find(ref)->tasks;
        count += static_cast<std::size_t>(
            std::count_if(tasks.begin(), tasks.end(), [](const tracked_task &task) {
                return !task.record.isDone && !task.isActive();
            }));
    }
    return count;
}

void tracked_job::dropEnded()
{
    if (!isFinished())
        return;
    m_occurrences.erase(std::remove_if(m_occurrences.begin(), m_occurrences.end(),
                                       [](const tracked_occurrence &occurrence) {
                                           return !occurrence.hasActive();
                                       }),
                        m_occurrences.end());
}

tracked_occurrence *tracked_job::findOccurrence(std::int32_t number)
{
    for (tracked_occurrence &occurrence : m_occurrences) {
        if (occurrence.number == number)
            return &occurrence;
    }
    return nullptr;
}

std::vector<step_ref> tracked_job::readySteps() const
{
    std::vector<step_ref> ready;
    if (isFinished())
        return ready;
    for (const tracked_occurrence &occurrence : m_occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const tracked_step &step = occurrence.steps[s];
            const step_spec &spec = m_spec.steps[s];
            const bool startable = spec.gang
                ? !step.isDone() && !step.hasActive()
                : std::any_of(step.tasks.begin(), step.tasks.end(), [](const tracked_task &task) {
                      return !task.record.isDone && !task.isActive();
                  });
            const bool predecessorsDone
                = std::all_of(spec.after.begin(), spec.after.end(), [&](std::int32_t predecessor) {
                      return occurrence.steps[static_cast<std::size_t>(predecessor)].isDone();
                  });
            if (startable && predecessorsDone)
                ready.push_back({occurrence.number, static_cast<std::int32_t>(s)});
        }
    }
    return ready;
}

tracked_step *tracked_job::find(const step_ref &step)
{
    tracked_occurrence *occurrence = findOccurrence(step.occurrence);
    if (!occurrence || step.step < 0
        || step.step >= static_cast<std::int32_t>(occurrence->steps.size()))
        return nullptr;
    return &occurrence->steps[static_cast<std::size_t>(step.step)];
}

const tracked_step *tracked_job::find(const step_ref &step) const
{
    return const_cast<tracked_job *>(this)->find(step);
}

const step_spec &tracked_job::specOf(const step_ref &step) const
{
    return m_spec.steps[static_cast<std::size_t>(step.step)];
}

tracked_task *tracked_job::find(const task_key &task)
{
    tracked_step *step = find(step_ref{task.occurrence, task.step});
    if (!step || task.index < 0 || task.index >= static_cast<std::int32_t>(step->tasks.size()))
        return nullptr;
    return &step->tasks[static_cast<std::size_t>(task.index)];
}

const tracked_task *tracked_job::find(const task_key &task) const
{
    return const_cast<tracked_job *>(this)->find(task);
}

task_key tracked_job::keyOf(const step_ref &step, std::int32_t index) const
{
    return {m_spec.id, step.occurrence, step.step, index};
}

void tracked_job::beginRuns(const step_ref &step, const std::vector<run_assignment> &runs,
                            time_point now)
{
    tracked_step &tracked = *find(step);
    ++m_version;
    std::int32_t gangRun = 0;
    for (const tracked_task &task : tracked.tasks)
        gangRun = std::max(gangRun, task.record.lastRun + 1);
    for (const run_assignment &run : runs) {
        tracked_task &task = tracked.tasks[static_cast<std::size_t>(run.index)];
        task.record.lastRun = specOf(step).gang ? gangRun : task.record.lastRun + 1;
        task.record.worker = run.worker;
        task.record.workerIncarnation = run.incarnation;
        task.recordedIn = m_version;
        task.begunAt = now;
        task.percentChangedAt = now;
        task.runEstimate = run.estimate;
        task.isTypical = run.isNear && task.record.saved.empty();
        task.runSpeed = run.speed;
        task.isSpeedObserved = false;
    }
    m_state = graph_job_state::Running;
}

void tracked_job::finish(graph_job_state state, unix_ms wall)
{
    m_state = state;
    m_finishedAt = wall;
    forEachActive(
        [](const task_key &, const step_spec &, tracked_task &task) { task.stopWanted = true; });
}

void tracked_job::completeTask(tracked_task &task, std::int32_t run)
{
    task.record.isDone = true;
    task.record.saved.clear();
    // A later run may still be active; it keeps its capacity until it has ended.
    if (task.isActive() && run != task.record.lastRun)
        task.stopWanted = true;
    else
        clearRun(task);
}

void tracked_job::noteFailedRun(tracked_step &step, tracked_task &task, std::int32_t run,
                                bool isGang)
{
    if (!isGang) {
        ++task.record.failedRuns;
        return;
    }
    // Several members may fail in one run, and their ends may reach different planners.
    if (run <= step.lastFailedRun())
        return;
    task.record.failedRuns = run;
    ++step.failedRuns;
}

void tracked_job::finishOccurrenceIfDone(std::int32_t number, unix_ms wall)
{
    tracked_occurrence *occurrence = findOccurrence(number);
    const bool isDone = std::all_of(occurrence->steps.begin(), occurrence->steps.end(),
                                    [](const tracked_step &step) { return step.isDone(); });
    if (!isDone)
        return;
    occurrence->isDone = true;
    dropIfOver(number);
    const bool all = std::all_of(m_occurrences.begin(), m_occurrences.end(),
                                 [](const tracked_occurrence &other) { return other.isDone; });
    if (all && !hasScheduleLeft() && !isFinished())
        finish(graph_job_state::Completed, wall);
}

// Drops an occurrence that is done once none of its runs may exist.
void tracked_job::dropIfOver(std::int32_t number)
{
    const auto found = std::find_if(
        m_occurrences.begin(), m_occurrences.end(),
        [&](const tracked_occurrence &occurrence) { return occurrence.number == number; });
    if (found != m_occurrences.end() && found->isDone && !found->hasActive())
        m_occurrences.erase(found);
}

// Ends a run of a task that an earlier run has already completed.
bool tracked_job::endRedundantRun(const task_key &key, tracked_task &task, std::int32_t run)
{
    if (!task.isActive() || run != task.record.lastRun)
        return false;
    ++m_version;
    clearRun(task);
    dropIfOver(key.occurrence);
    return true;
}

bool tracked_job::endRun(const task_key &key, std::int32_t run, run_end how,
                         const std::string &saved, unix_ms wall)
{
    tracked_task *task = find(key);
    if (!task || run > task->record.lastRun)
        return false;
    if (task->record.isDone)
        return endRedundantRun(key, *task, run);
    const bool isPresent = task->isActive() && run == task->record.lastRun;
    const step_ref ref{key.occurrence, key.step};
    const step_spec &spec = specOf(ref);
    tracked_step &step = *find(ref);
    if (how == run_end::Done && !spec.longRunning) {
        // This applies to superseded runs too: the work is done, so a later run is not needed.
        ++m_version;
        if (spec.gang) {
            for (tracked_task &member : step.tasks)
                completeTask(member, run);
        } else {
            completeTask(*task, run);
        }
        if (!isFinished())
            finishOccurrenceIfDone(key.occurrence, wall);
        return true;
    }
    if (!isPresent)
        return false;
    ++m_version;
    clearRun(*task);
    if (!saved.empty())
        noteCheckpoint(key, saved);
    if (how == run_end::Failed && !spec.longRunning) {
        noteFailedRun(step, *task, run, spec.gang);
        const std::int32_t failed = spec.gang ? step.failedRuns : task->record.failedRuns;
        if (failed >= m_spec.policy.maxAttempts && !isFinished())
            finish(graph_job_state::Failed, wall);
    }
    if (spec.gang) {
        for (tracked_task &member : step.tasks)
            member.stopWanted = member.isActive();
    }
    return true;
}

bool tracked_job::noteCrash(const task_key &key, std::optional<duration> worked, unix_ms wall)
{
    tracked_task *task = find(key);
    if (!task || !task->isActive() || task->record.countedCrash == task->record.lastRun)
        return false;
    countCrash(task->record, task->record.lastRun, worked, wall);
    return true;
}

bool tracked_job::noteCrashOfLapsedRun(const task_key &key, std::int32_t run, unix_ms wall)
{
    tracked_task *task = find(key);
    if (!task || task->record.countedCrash >= run)
        return false;
    const bool isPresent = task->isActive() && run == task->record.lastRun;
    if (task->lapsedRun != run) {
        if (isPresent || run > task->restoredRun)
            return false;
        task->lapsedRun = run;
        task->lapsedRunWorked = startupTime;
    }
    countCrash(task->record, run, task->lapsedRunWorked, wall);
    return true;
}

void tracked_job::noteLapse(const task_key &key, duration worked)
{
    tracked_task *task = find(key);
    if (!task)
        return;
    task->lapsedRun = task->record.lastRun;
    task->lapsedRunWorked = worked;
}

void tracked_job::countCrash(task_record &record, std::int32_t run, std::optional<duration> worked,
                             unix_ms wall)
{
    ++m_version;
    record.countedCrash = run;
    if (!worked)
        ++record.possibleCrashes;
    else if (*worked >= harmlessAfter)
        record.crashes = record.startCrashes = record.possibleCrashes = 0;
    else
        ++record.crashes;
    if (worked && *worked < startupTime)
        ++record.startCrashes;
    const bool crashesAtStart = record.startCrashes >= certainCrashesToGiveUp
        && record.startCrashes + record.possibleCrashes >= startCrashesToGiveUp;
    if ((crashesAtStart || record.crashes >= crashesToGiveUp) && !record.isDone && !isFinished())
        finish(graph_job_state::Failed, wall);
}

std::vector<task_key> tracked_job::suspects() const
{
    std::vector<task_key> found;
    for (const tracked_occurrence &occurrence : m_occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            const std::vector<tracked_task> &tasks = occurrence.steps[s].tasks;
            const step_ref step{occurrence.number, static_cast<std::int32_t>(s)};
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].isSuspect())
                    found.push_back(keyOf(step, static_cast<std::int32_t>(i)));
            }
        }
    }
    return found;
}

void tracked_job::noteCheckpoint(const task_key &key, const std::string &saved)
{
    const step_ref ref{key.occurrence, key.step};
    tracked_step *step = find(ref);
    if (!step)
        return;
    // All members of a gang must resume from the same checkpoint.
    if (specOf(ref).gang) {
        for (tracked_task &member : step->tasks)
            member.record.saved = saved;
    } else if (tracked_task *task = find(key)) {
        task->record.saved = saved;
    }
}

void tracked_job::cancel(unix_ms wall)
{
    if (isFinished())
        return;
    ++m_version;
    finish(graph_job_state::Cancelled, wall);
}

void tracked_job::abandonRecord(unix_ms wall)
{
    ++m_version;
    m_hasAbandonedRecord = true;
    if (!isFinished())
        finish(graph_job_state::Failed, wall);
}

} // namespace goldcrest
