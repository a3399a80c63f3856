#include "goldcrest/planner_metrics.h"

#include <ctime>
#include <utility>

namespace goldcrest {

namespace {

constexpr std::pair<stop_reason, std::string_view> stopReasons[] = {
    {stop_reason::Reclaim, "reclaim"},
    {stop_reason::Urgent, "urgent"},
    {stop_reason::Move, "move"},
    {stop_reason::DomainOut, "domain out"},
    {stop_reason::Exceeded, "exceeded"},
    {stop_reason::Cancelled, "cancelled"},
    {stop_reason::GangBroken, "gang broken"},
    {stop_reason::WorkerLost, "worker lost"},
};

// Error codes with which agents refuse holds.
constexpr code holdRefusals[]
    = {code::StaleEpoch,     code::WorkerDraining, code::BackendUnavailable,
       code::AttemptAborted, code::HoldRefused,    code::HoldExpired};

std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Adds the processor time of its scope to the metric of decision times.
class event_timer
{
public:
    explicit event_timer(metrics_registry &metrics)
        : m_metrics(metrics)
        , m_start(processorTime())
    { }
    ~event_timer() { m_metrics.observe(metric::DecisionTime, processorTime() - m_start); }
    event_timer(const event_timer &) = delete;
    event_timer &operator=(const event_timer &) = delete;

private:
    metrics_registry &m_metrics;
    std::chrono::nanoseconds m_start;
};

class measured_scheduler final : public scheduler
{
public:
    measured_scheduler(std::unique_ptr<scheduler> inner, metrics_registry &metrics)
        : m_inner(std::move(inner))
        , m_metrics(metrics)
    { }

    void applyConfiguration(const configuration &config, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->applyConfiguration(config, now);
    }

    void workerUp(const worker_info &worker, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->workerUp(worker, now);
    }

    void workerSuspended(const worker_id &worker, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->workerSuspended(worker, now);
    }

    void workerDown(const worker_id &worker, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->workerDown(worker, now);
    }

    void jobQueued(const job_spec &spec, const queued_state &state, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->jobQueued(spec, state, now);
    }

    void jobAdopted(const job_spec &spec, const std::vector<gang_part> &parts, duration ranFor,
                    time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->jobAdopted(spec, parts, ranFor, now);
    }

    void jobCancelled(const job_key &job, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->jobCancelled(job, now);
    }

    void jobStarted(const job_key &job, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->jobStarted(job, now);
    }

    void jobStopped(const job_key &job, const stopped_event &event, time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->jobStopped(job, event, now);
    }

    void usageReported(const job_key &job, const worker_id &worker, const resources &used,
                       time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->usageReported(job, worker, used, now);
    }

    void tick(time_point now) override
    {
        const event_timer timer(m_metrics);
        m_inner->tick(now);
    }

    std::vector<scheduler_action> takeActions() override { return m_inner->takeActions(); }

    std::optional<explanation> explain(const job_key &job, time_point now) const override
    {
        return m_inner->explain(job, now);
    }

    capacity_view capacity() const override { return m_inner->capacity(); }

    std::string checkInvariants() const override { return m_inner->checkInvariants(); }

private:
    std::unique_ptr<scheduler> m_inner;
    metrics_registry &m_metrics;
};

} // namespace

std::unique_ptr<scheduler> measureScheduler(std::unique_ptr<scheduler> inner,
                                            metrics_registry &metrics)
{
    return std::make_unique<measured_scheduler>(std::move(inner), metrics);
}

void setPlannerMetrics(metrics_registry &metrics, const cell_planner &planner, time_point now)
{
    const auto set = [&](metric which, auto value, std::string_view label = {}) {
        metrics.set(which, static_cast<double>(value), label);
    };
    set(metric::PlannerEpoch, planner.number());
    set(metric::ConfigRevision, planner.configRevision());
    if (const std::optional<duration> age = planner.configAge(now))
        set(metric::ConfigConfirmedAge, std::chrono::duration<double>(*age).count());
    const capacity_view capacity = planner.engine().capacity();
    set(metric::QueuedJobs, capacity.queuedJobs + planner.parkedJobs());
    set(metric::RunningJobs, capacity.runningJobs);
    set(metric::FreeAccelerators, capacity.freeAccelerators);
    set(metric::BorrowedAccelerators, capacity.borrowedAccelerators);
    set(metric::LargestPlaceableGang, capacity.largestPlaceableGang);
    set(metric::UnmetGuarantees, capacity.unmetGuarantees.size());
    for (const auto &[state, count] : planner.workersByState())
        set(metric::Workers, count, state);
    const planner_counters &counters = planner.counters();
    for (const auto &[name, count] : counters.gangsStarted)
        set(metric::GangsStarted, count, name);
    // Reasons that have not occurred are reported as 0, so that a rate sees the first occurrence.
    const auto countOf = [](const auto &counts, auto key) {
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    };
    for (const auto &[reason, name] : stopReasons)
        set(metric::GangsStopped, countOf(counters.gangsStopped, reason), name);
    for (const code number : holdRefusals)
        set(metric::HoldsRefused, 0, nameOf(number));
    for (const auto &[number, count] : counters.holdsRefused)
        set(metric::HoldsRefused, count, nameOf(number));
}

} // namespace goldcrest
