#include "goldcrest/worker_health.h"

#include <algorithm>

namespace goldcrest {

health_change worker_health::failed(worker_index worker, std::uint64_t job, time_point now)
{
    std::vector<job_failure> &failures = m_failedOn[job];
    const auto found = std::find_if(failures.begin(), failures.end(),
                                    [&](const job_failure &f) { return f.worker == worker; });
    if (found == failures.end())
        failures.push_back({worker, now});
    else
        found->at = now;
    record &known = m_records[worker];
    known.failedJobs.insert(job);
    if (!known.probing && known.failedJobs.size() < workerFailureLimit)
        return health_change::None;
    m_probes.insert({now + known.probeAfter, worker});
    known.probeAfter = std::min(known.probeAfter * 2, longestProbe);
    known.probing = false;
    known.failedJobs.clear();
    // The failures on this worker no longer count against the jobs.
    const auto isHere = [&](const job_failure &f) { return f.worker == worker; };
    for (auto &[other, all] : m_failedOn)
        all.erase(std::remove_if(all.begin(), all.end(), isHere), all.end());
    return health_change::Quarantine;
}

void worker_health::succeeded(worker_index worker)
{
    m_records.erase(worker);
}

std::vector<worker_index> worker_health::dueProbes(time_point now)
{
    std::vector<worker_index> due;
    while (!m_probes.empty() && m_probes.begin()->first <= now) {
        due.push_back(m_probes.begin()->second);
        m_records[due.back()].probing = true;
        m_probes.erase(m_probes.begin());
    }
    return due;
}

bool worker_health::isProbing(worker_index worker) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.probing;
}

std::size_t worker_health::healthyFailures(std::uint64_t job) const
{
    const auto found = m_failedOn.find(job);
    if (found == m_failedOn.end())
        return 0;
    return std::size_t(
        std::count_if(found->second.begin(), found->second.end(), [&](const job_failure &f) {
            const auto known = m_records.find(f.worker);
            return known == m_records.end() || known->second.failedJobs.size() <= 1;
        }));
}

bool worker_health::failedOn(std::uint64_t job, worker_index worker, time_point now) const
{
    const auto found = m_failedOn.find(job);
    if (found == m_failedOn.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const job_failure &f) {
        return f.worker == worker && now - f.at < avoidTime;
    });
}

} // namespace goldcrest
