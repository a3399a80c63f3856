#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>

namespace goldcrest {

std::vector<worker_id> run_planner::silentWorkers(time_point now) const
{
    std::vector<worker_id> silent;
    for (const auto &[id, worker] : m_pool.workers()) {
        if (worker.active.empty() || now > worker.leaseEnds)
            continue;
        const time_point listedAt = lastListed(worker);
        if (worker.provenAt > listedAt || now - listedAt > m_options.silenceLimit)
            silent.push_back(id);
    }
    return silent;
}

bool run_planner::hasRunsOn(const worker_id &id) const
{
    const auto found = m_pool.workers().find(id);
    return found != m_pool.workers().end() && !found->second.active.empty();
}

// Returns the time of the last report from which the lease of a worker is counted. For a worker
// that has not reported in this term, that is the last time at which the predecessor may have
// granted it.
time_point run_planner::lastListed(const pool_worker &worker) const
{
    return worker.isReported ? worker.listedAt : m_electedAt + m_options.predecessorLease;
}

// The lease of a backend server runs on a clock that stands still while its machine is suspended.
// Between a report and a refusal, or two refusals, it may have been suspended all the time. While
// it is suspended, it may refuse connections like a machine that runs without the agent.
void run_planner::noteProcessDown(const worker_id &id, time_point now)
{
    pool_worker *worker = m_pool.find(id);
    if (!worker || worker->active.empty())
        return;
    const time_point listedAt = lastListed(*worker);
    const bool isFirst = worker->provenAt <= listedAt;
    const duration gap = std::max<duration>(0ms, now - std::max(worker->provenAt, listedAt));
    worker->provenAt = now;
    const bool isClose = !isFirst && gap <= m_options.longestProofGap;
    (isClose ? worker->refusedTime : worker->provenExtension) += gap;
    // After a takeover, the wait is longer by the lease of the predecessor.
    const duration longest = worker->isReported
        ? m_options.longestRefusalExtension
        : m_options.longestRefusalExtension - m_options.predecessorLease;
    extendLease(*worker,
                std::max(worker->provenExtension,
                         std::min(worker->provenExtension + worker->refusedTime, longest)));
    if (isClose)
        return;
    recordDecision("worker lease may last longer", {}, 0, id,
                   "its agent is down, and its machine may have been suspended before",
                   fmt::format("silence_ms={} extension_ms={} lease_left_ms={}",
                               (now - listedAt).count(), worker->leaseExtension.count(),
                               (worker->leaseEnds - now).count()));
}

// The suspension may go on, so that the next answer extends the lease further.
void run_planner::noteProcessPaused(const worker_id &id, time_point now)
{
    pool_worker *worker = m_pool.find(id);
    if (!worker || worker->active.empty())
        return;
    const time_point listedAt = lastListed(*worker);
    const duration gap = std::max<duration>(0ms, now - std::max(worker->provenAt, listedAt));
    if (worker->leaseExtension == 0ms)
        recordDecision("worker lease may last longer", {}, 0, id, "its agent is paused",
                       fmt::format("silence_ms={}", (now - listedAt).count()));
    extendLease(*worker, worker->provenExtension + gap);
}

// Lets the lease of a worker end later than without suspensions by this time, or by more if that
// was found before.
void run_planner::extendLease(pool_worker &worker, duration extension) const
{
    extension = std::min(extension, m_options.longestLeaseExtension);
    if (extension <= worker.leaseExtension)
        return;
    worker.leaseEnds += extension - worker.leaseExtension;
    worker.leaseExtension = extension;
}

// A report shows how much of the lease is left on the clock of the backend server.
void run_planner::endLeaseExtension(pool_worker &worker)
{
    worker.leaseEnds -= worker.leaseExtension;
    worker.leaseExtension = 0ms;
    worker.provenExtension = 0ms;
    worker.refusedTime = 0ms;
}

} // namespace goldcrest
