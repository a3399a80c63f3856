#include "testing/fake_scheduler_support.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

void fake_scheduler::applyConfiguration(const configuration &config, time_point)
{
    m_domainsOut = config.domainsOut;
    m_drained = config.drainedWorkers;
    std::vector<job_key> leaving;
    for (const auto &[key, entry] : m_placed) {
        const bool affected
            = std::any_of(entry.parts.begin(), entry.parts.end(), [this](const gang_part &part) {
                  const auto found = m_workers.find(part.worker);
                  return found != m_workers.end()
                      && m_domainsOut.count(found->second.info.failureDomain) != 0;
              });
        if (affected && entry.spec.preemptible())
            leaving.push_back(key);
    }
    for (const job_key &key : leaving)
        stop(key, stop_reason::DomainOut);
    schedule();
}

void fake_scheduler::workerUp(const worker_info &info, time_point)
{
    worker &entry = m_workers[info.id];
    if (entry.info.id.empty()) {
        // A job may have been adopted on the worker before it is up.
        entry.free += info.capacity;
        entry.slots += info.slots;
    }
    entry.info = info;
    entry.takesWork = true;
    schedule();
}

void fake_scheduler::workerSuspended(const worker_id &id, time_point)
{
    m_workers[id].takesWork = false;
}

void fake_scheduler::workerDown(const worker_id &id, time_point)
{
    m_workers[id].takesWork = false;
    std::vector<job_key> broken;
    for (const auto &[key, entry] : m_placed) {
        if (std::any_of(entry.parts.begin(), entry.parts.end(),
                        [&](const gang_part &part) { return part.worker == id; }))
            broken.push_back(key);
    }
    for (const job_key &key : broken)
        stop(key, stop_reason::WorkerLost);
}

void fake_scheduler::jobQueued(const job_spec &spec, const queued_state &, time_point)
{
    m_queue.push_back(spec);
    schedule();
}

void fake_scheduler::jobAdopted(const job_spec &spec, const std::vector<gang_part> &parts, duration,
                                time_point)
{
    m_placed[spec.key] = {spec, parts, false};
    adjustFree(spec, parts, -1);
}

void fake_scheduler::jobCancelled(const job_key &job, time_point)
{
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(),
                                     [&](const job_spec &spec) { return spec.key == job; });
    if (queued != m_queue.end())
        m_queue.erase(queued);
    else
        stop(job, stop_reason::Cancelled);
}

void fake_scheduler::jobStarted(const job_key &, time_point) { }

void fake_scheduler::jobStopped(const job_key &job, const stopped_event &event, time_point)
{
    const auto found = m_placed.find(job);
    if (found == m_placed.end())
        return;
    const placed entry = std::move(found->second);
    m_placed.erase(found);
    adjustFree(entry.spec, entry.parts, 1);
    if (event.requeue)
        m_queue.push_back(entry.spec);
    schedule();
}

void fake_scheduler::usageReported(const job_key &, const worker_id &, const resources &,
                                   time_point)
{ }

void fake_scheduler::tick(time_point)
{
    schedule();
}

std::vector<scheduler_action> fake_scheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

std::optional<explanation> fake_scheduler::explain(const job_key &, time_point) const
{
    return std::nullopt;
}

capacity_view fake_scheduler::capacity() const
{
    capacity_view view;
    view.queuedJobs = m_queue.size();
    view.runningJobs = m_placed.size();
    return view;
}

std::string fake_scheduler::checkInvariants() const
{
    return {};
}

void fake_scheduler::stop(const job_key &job, stop_reason reason)
{
    const auto found = m_placed.find(job);
    if (found == m_placed.end() || found->second.stopping)
        return;
    found->second.stopping = true;
    m_actions.emplace_back(stop_action{job, reason});
}

void fake_scheduler::adjustFree(const job_spec &spec, const std::vector<gang_part> &parts, int sign)
{
    for (const gang_part &part : parts) {
        worker &entry = m_workers[part.worker];
        const resources amount = spec.perTask * part.tasks;
        if (sign < 0)
            entry.free -= amount;
        else
            entry.free += amount;
        entry.slots += sign * part.tasks;
    }
}

std::vector<gang_part> fake_scheduler::fit(const job_spec &spec) const
{
    std::vector<gang_part> parts;
    std::int32_t left = spec.tasks;
    for (const auto &[id, entry] : m_workers) {
        const bool usable = entry.takesWork && m_drained.count(id) == 0
            && m_domainsOut.count(entry.info.failureDomain) == 0;
        std::int32_t count = 0;
        while (usable && count < left && count < entry.slots
               && entry.free.covers(spec.perTask * (count + 1)))
            ++count;
        if (count > 0)
            parts.push_back({id, spec.tasks - left, count});
        left -= count;
        if (left == 0)
            return parts;
    }
    return {};
}

void fake_scheduler::schedule()
{
    for (auto spec = m_queue.begin(); spec != m_queue.end();) {
        const std::vector<gang_part> parts = fit(*spec);
        if (parts.empty()) {
            ++spec;
            continue;
        }
        adjustFree(*spec, parts, -1);
        m_placed[spec->key] = {*spec, parts, false};
        m_actions.emplace_back(place_action{spec->key, parts, false});
        spec = m_queue.erase(spec);
    }
}

} // namespace goldcrest
