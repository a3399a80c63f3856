#pragma once

// A minimal scheduler for tests of the planner. It places jobs first come, first served and first
// fit, and stops preemptible jobs in failure domains that are out of service.

#include "goldcrest/scheduler.h"

#include <deque>
#include <map>
#include <set>

namespace goldcrest {

class fake_scheduler final : public scheduler
{
public:
    void applyConfiguration(const configuration &config, time_point now) override;
    void workerUp(const worker_info &worker, time_point now) override;
    void workerSuspended(const worker_id &worker, time_point now) override;
    void workerDown(const worker_id &worker, time_point now) override;
    void jobQueued(const job_spec &spec, const queued_state &state, time_point now) override;
    void jobAdopted(const job_spec &spec, const std::vector<gang_part> &parts, duration ranFor,
                    time_point now) override;
    void jobCancelled(const job_key &job, time_point now) override;
    void jobStarted(const job_key &job, time_point now) override;
    void jobStopped(const job_key &job, const stopped_event &event, time_point now) override;
    void usageReported(const job_key &job, const worker_id &worker, const resources &used,
                       time_point now) override;
    void tick(time_point now) override;
    std::vector<scheduler_action> takeActions() override;
    std::optional<explanation> explain(const job_key &job, time_point now) const override;
    capacity_view capacity() const override;
    std::string checkInvariants() const override;

private:
    struct worker
    {
        worker_info info;
        bool takesWork = false;
        resources free;
        std::int32_t slots = 0;
    };
    struct placed
    {
        job_spec spec;
        std::vector<gang_part> parts;
        bool stopping = false;
    };

    void schedule();
    std::vector<gang_part> fit(const job_spec &spec) const;
    void adjustFree(const job_spec &spec, const std::vector<gang_part> &parts, int sign);
    void stop(const job_key &job, stop_reason reason);

    std::map<worker_id, worker> m_workers;
    std::map<job_key, placed> m_placed;
    std::deque<job_spec> m_queue;
    std::set<std::string> m_domainsOut;
    std::set<worker_id> m_drained;
    std::vector<scheduler_action> m_actions;
};

} // namespace goldcrest
