#include "goldcrest/admission_policy.h"

#include "goldcrest/admission_forecast.h"
#include "goldcrest/run_placement.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Returns a number that differs between job ids, and is the same in each process (FNV-1a).
std::uint64_t hashOf(std::string_view id)
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char c : id)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    return hash ^ (hash >> 32);
}

// Returns a time in milliseconds within what is accepted from outside.
duration boundedTime(double time)
{
    const auto longest = static_cast<double>(duration(longestTime).count());
    return time < longest ? duration(static_cast<duration::rep>(std::max(0.0, time)))
                          : duration(longestTime);
}

bool hasNoTimeOfUse(const graph_job &job)
{
    return job.schedule.occurrences > 0
        || std::any_of(job.steps.begin(), job.steps.end(),
                       [](const step_spec &step) { return step.longRunning; });
}

// Returns the most accelerators that a job uses at a time, as the planner counts them.
std::int64_t acceleratorsOf(const graph_job &job)
{
    std::int64_t need = 0;
    for (const step_spec &step : job.steps)
        need = std::max(need, step.perTask.accelerators * step.count);
    return need;
}

// Returns the work of a job that may hold up others, by its declared run times. Left out is what
// the forecast leaves out of waiting work: steps that wait for others, or that only some workers
// may run.
resource_work workOf(const graph_job &job)
{
    resource_work work;
    for (const step_spec &step : job.steps) {
        if (step.after.empty() && step.requiredLabel.empty() && step.maxPerWorker == 0)
            work.add(demandOf(step), step.count, step.estimated);
    }
    return work;
}

// Times to targets are divided into classes: up to 1 s, up to 2 s, up to 4 s and so on.
constexpr std::size_t targetClasses = 8;

// Returns the first class whose upper bound is not below a time; targetClasses: none.
std::size_t targetClassOf(duration time)
{
    std::size_t number = 0;
    while (number < targetClasses && time > duration(1s) * (1 << number))
        ++number;
    return number;
}

// Returns whether a target is not before any of a class.
bool isAfterClass(duration time, std::size_t number)
{
    return number < targetClasses && time >= duration(1s) * (1 << number);
}

// Returns the wait of a team.
duration delayOf(const std::vector<team_outlook> &teams, std::string_view team)
{
    const auto found = std::find_if(teams.begin(), teams.end(),
                                    [&](const team_outlook &one) { return one.team == team; });
    return found == teams.end() ? 0ms : found->delay;
}

// Returns the time from the submission of a job to its target.
// @param factor of expected to declared run times
duration timeToTarget(const graph_job &job, double factor)
{
    const double path = static_cast<double>(criticalPathTime(job).count()) * factor;
    return boundedTime(path * job.policy.slackFactor
                       + static_cast<double>(job.policy.completionTarget.count()));
}

} // namespace

admission_policy::admission_policy(const admission_policy_options &options)
    : m_options(options)
{ }

void admission_policy::setPlanner(epoch number)
{
    m_epoch = number;
    m_outlook.reset();
    m_detail.reset();
    m_nextDetail.reset();
    m_accepted.clear();
}

bool admission_policy::onOutlook(const admission_outlook_message &outlook, time_point now)
{
    const bool isCurrent = m_epoch != 0 && outlook.plannerEpoch == m_epoch
        && (!m_outlook || outlook.sequence > m_outlook->sequence);
    if (!isCurrent)
        return false;
    const bool isDetailed = m_nextDetail && m_nextDetail->plannerEpoch == outlook.plannerEpoch
        && m_nextDetail->sequence == outlook.sequence;
    m_detail = isDetailed ? std::exchange(m_nextDetail, std::nullopt) : std::nullopt;
    m_outlook = outlook;
    m_receivedAt = now;
    m_accepted.clear();
    return true;
}

void admission_policy::onDetail(const admission_detail_message &detail)
{
    if (m_epoch != 0 && detail.plannerEpoch == m_epoch)
        m_nextDetail = detail;
}

std::optional<duration> admission_policy::outlookAge(time_point now) const
{
    return m_outlook ? std::optional<duration>(now - m_receivedAt) : std::nullopt;
}

const queue_outlook *admission_policy::findQueue(std::string_view name) const
{
    const auto found
        = std::find_if(m_outlook->queues.begin(), m_outlook->queues.end(),
                       [&](const queue_outlook &queue) { return queue.queue == name; });
    return found == m_outlook->queues.end() ? nullptr : &*found;
}

const service_outlook *admission_policy::findService(std::string_view name) const
{
    const auto found
        = std::find_if(m_outlook->services.begin(), m_outlook->services.end(),
                       [&](const service_outlook &service) { return service.service == name; });
    return found == m_outlook->services.end() ? nullptr : &*found;
}

// Returns whether a job is within its team's guarantee, or may be: the planner admits jobs to a
// guarantee in the order of their acceptance, and others may end before this one is placed.
bool admission_policy::isWithinGuarantee(const graph_job &job, const queue_team *team) const
{
    if (job.policy.priority != 0)
        return false;
    std::int64_t left = team ? team->guaranteedAccelerators : 0;
    for (const guarantee_outlook &one : m_outlook->guarantees) {
        if (team && one.team == team->name)
            left -= one.used;
    }
    return left > 0 || acceleratorsOf(job) == 0;
}

// Returns whether a first step of the job, or a task of it, fits into capacity that is free. The
// planner may start it there before work that waits for more.
bool admission_policy::mayStartNow(const graph_job &job, const service_outlook &service) const
{
    return std::any_of(job.steps.begin(), job.steps.end(), [&](const step_spec &step) {
        const resources demand = demandOf(step);
        if (!step.after.empty() || !service.freeOnWorker.covers(demand))
            return false;
        if (!step.gang)
            return true;
        // A gang that prefers one rack may be spread over several.
        return service.freeInAll.covers(demand * step.count);
    });
}

// Returns how long a refused caller should wait: until the work that is in the way is done, and up
// to half as long again, depending on the id.
std::chrono::seconds admission_policy::pauseFor(std::string_view id, duration excess) const
{
    const auto whole = std::chrono::ceil<std::chrono::seconds>(excess);
    const std::chrono::seconds base
        = std::clamp(whole, m_options.shortestPause, m_options.longestPause * 2 / 3);
    const auto choices = static_cast<std::uint64_t>(base.count() / 2 + 1);
    return std::min(m_options.longestPause,
                    base + std::chrono::seconds(hashOf(id) % (choices + 1)));
}

// Returns the least time to the target that the planner may expect.
duration admission_policy::leastTarget(const graph_job &job, const queue_outlook &queue) const
{
    return timeToTarget(job, std::min(1.0, static_cast<double>(queue.runTimePercent) / 100));
}

// Returns the wait because of work of the same priority. The planner starts jobs of a priority in
// the order of their targets.
duration admission_policy::delayOfTeam(const graph_job &job, const queue_outlook &queue) const
{
    if (!m_detail)
        return delayOf(queue.teams, job.team);
    const duration own = leastTarget(job, queue);
    duration longest = 0ms;
    for (const target_outlook &target : m_detail->targets) {
        if (target.queue == job.queue && target.within <= own)
            longest = std::max(longest, delayOf(target.teams, job.team));
    }
    return longest;
}

// Returns the wait of a job until the gang that it begins with can start.
duration admission_policy::delayOfGang(const graph_job &job) const
{
    const auto isFirst = [](const step_spec &step) { return step.after.empty(); };
    if (!m_detail || std::count_if(job.steps.begin(), job.steps.end(), isFirst) != 1)
        return 0ms;
    const step_spec &first = *std::find_if(job.steps.begin(), job.steps.end(), isFirst);
    const std::int64_t accelerators = first.perTask.accelerators * first.count;
    duration longest = 0ms;
    for (const size_outlook &size : m_detail->sizes) {
        if (first.gang && size.service == job.policy.service && size.priority == job.policy.priority
            && size.accelerators <= accelerators)
            longest = std::max(longest, size.delay);
    }
    return longest;
}

// Returns the time for the work that this front has accepted since the outlook and that goes first:
// that of higher priority, and that of the same team whose target is not later.
duration admission_policy::acceptedAhead(const graph_job &job, const queue_outlook &queue) const
{
    const duration own = leastTarget(job, queue);
    duration ahead = 0ms;
    for (const auto &[kind, work] : m_accepted) {
        const auto &[service, priority, team, targetClass] = kind;
        const bool goesFirst = priority < job.policy.priority
            || (priority == job.policy.priority && team == job.team
                && isAfterClass(own, targetClass));
        if (service == job.policy.service && goesFirst)
            ahead = std::min<duration>(longestTime, ahead + work);
    }
    return ahead;
}

admission_decision admission_policy::decide(const graph_job &job, const queue_team *team,
                                            time_point now) const
{
    admission_decision decision;
    const auto accepted = [&decision](std::string_view reason) {
        decision.reason = reason;
        return decision;
    };
    if (!m_outlook)
        return accepted("no outlook");
    decision.outlookAge = now - m_receivedAt;
    decision.sequence = m_outlook->sequence;
    if (decision.outlookAge > m_options.longestAge)
        return accepted("outlook too old");
    if (hasNoTimeOfUse(job))
        return accepted("no time of use");
    if (isWithinGuarantee(job, team))
        return accepted("within the guarantee");
    const queue_outlook *queue = findQueue(job.queue);
    const service_outlook *service = queue ? findService(queue->service) : nullptr;
    if (!service || queue->service != job.policy.service)
        return accepted("no wait in this queue");
    if (mayStartNow(job, *service))
        return accepted("free capacity");
    decision.ownWork = acceptedAhead(job, *queue);
    const duration ofWork = queue->delay + delayOfTeam(job, *queue) + decision.ownWork;
    const duration ofGang = delayOfGang(job);
    decision.expectedWait = std::max(ofWork, ofGang);
    decision.gangWait = ofGang > ofWork ? ofGang : 0ms;
    // The longer of the two estimates leaves more time.
    const double factor = std::max(1.0, static_cast<double>(queue->runTimePercent) / 100);
    const double path = static_cast<double>(criticalPathTime(job).count()) * factor;
    const auto target = static_cast<double>(timeToTarget(job, factor).count());
    decision.usefulWait = boundedTime(target * m_options.lateFactor - path);
    const duration certainWait = scaled(decision.expectedWait, 1 / m_options.margin);
    if (certainWait <= decision.usefulWait)
        return accepted("may start in time");
    decision.isRefused = true;
    decision.reason = "can't start in time";
    decision.retryAfter = pauseFor(job.id, certainWait - decision.usefulWait);
    return decision;
}

void admission_policy::noteAccepted(const graph_job &job)
{
    const service_outlook *service = m_outlook ? findService(job.policy.service) : nullptr;
    // A schedule starts later, and a run without an end holds capacity but is not waited for.
    if (!service || hasNoTimeOfUse(job))
        return;
    const queue_outlook *queue = findQueue(job.queue);
    const double factor
        = queue ? std::max(1.0, static_cast<double>(queue->runTimePercent) / 100) : 1;
    const std::size_t targetClass = targetClassOf(timeToTarget(job, factor));
    duration &time = m_accepted[{job.policy.service, job.policy.priority, job.team, targetClass}];
    time = std::min<duration>(longestTime, time + timeForWork(workOf(job), service->capacity));
}

} // namespace goldcrest
