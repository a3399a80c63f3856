#pragma once

// Common base of the decision engines of a cell (scheduler.h). It tracks jobs, capacity, guarantees
// and limits, and emits the actions. A derived engine keeps the queue of waiting jobs and decides
// in schedule(), which runs at the end of most events and on each tick:
//
//   void schedule() override
//   {
//       const job_index index = m_queue.front();
//       std::vector<placed_part> parts = findParts(job(index));
//       if (!parts.empty() && quotaAllows(job(index)))
//           place(index, std::move(parts), use_kind::Protected);
//   }

#include "goldcrest/guarantee_ledger.h"
#include "goldcrest/scheduler.h"

#include <map>
#include <set>
#include <unordered_map>

namespace goldcrest {

using job_index = std::int32_t;

enum class run_state {
    Free, // the slot holds no job
    Waiting, // in the queue of the derived engine
    Claiming, // has reserved workers and waits for the jobs there to stop
    Running,
    Stopping
};

// Protected use is within the team's own guarantee or on capacity that no guarantee needs. Borrowed
// use is on capacity guaranteed to another team, which may reclaim it at any time.
enum class use_kind { Protected, Borrowed };

struct job_entry
{
    job_spec spec;
    team_index team = 0;
    load perTask;
    std::int64_t classWeight = 1;
    bool urgent = false;
    run_state state = run_state::Free;
    use_kind use = use_kind::Protected;
    bool cancelled = false;
    std::vector<placed_part> parts;
    time_point queuedAt; // time of arrival minus the time that the job had already waited
    time_point placedAt;
    time_point stopSentAt;
    double progress = 0;
    duration estimated{}; // run time as estimated when it was queued
    duration conservativeEstimate{}; // a higher quantile of the same estimate
    duration savedRunTime{}; // run time behind `progress`
    std::int32_t attempts = 0;
    std::int32_t yields = 0; // number of times it was stopped for a job with less work
    std::int32_t victimsLeft = 0; // while claiming: jobs that still have to stop
    std::vector<job_index> claimants; // while stopping: jobs whose claims wait for this one
    job_index backfilledFor = -1; // gang with a reservation on a worker of this job; -1: none
    std::uint64_t serial = 0; // order of arrival; stays the same across attempts

    load total() const { return perTask * spec.tasks; }
};

struct team_state
{
    team_id name;
    bool known = false; // in the current catalogue
    load quota; // 0 means no limit
    load inUse; // of claiming, running and stopping jobs
    load guaranteed;
    std::int32_t maxQueued = 0;
    std::int32_t queued = 0;
};

class cell_engine : public scheduler
{
public:
    explicit cell_engine(std::string_view cell);

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

protected:
    // Queue of the derived engine. It holds exactly the jobs in state Waiting.
    virtual void enqueue(job_index job) = 0;
    virtual void dequeue(job_index job) = 0;
    virtual bool isQueued(job_index job) const = 0;
    virtual std::int32_t positionOf(job_index job) const = 0;
    // Places, claims or stops jobs. Called when an event may have changed what can start.
    virtual void schedule() = 0;

    // Hooks for the derived engine. The defaults do nothing.
    virtual void onConfiguration(const configuration &) { }
    virtual void onServiceChanged(worker_index) { } // the worker went into or out of service
    virtual void onPlaced(job_index) { }
    // Called when a job has left its workers. Returns whether the job may be queued again; if not,
    // the hook has emitted the rejection.
    virtual bool onEnded(job_index, const stopped_event &) { return true; }
    virtual void onJobRemoved(job_index) { }

    const job_entry &job(job_index index) const { return m_jobs[std::size_t(index)]; }
    job_entry &job(job_index index) { return m_jobs[std::size_t(index)]; }
    std::optional<job_index> findJob(const job_key &key) const;
    job_index jobLimit() const { return job_index(m_jobs.size()); }
    const std::vector<job_index> &jobsOn(worker_index worker) const;
    const topology &cell() const { return m_cell; }
    topology &cell() { return m_cell; }
    const guarantee_ledger &ledger() const { return m_ledger; }
    const team_state &team(team_index index) const { return m_teams[std::size_t(index)]; }
    std::size_t teamCount() const { return m_teams.size(); }
    time_point now() const { return m_now; }

    // Returns the workers whose capacity, use or guarantees changed since the last call, each once.
    std::vector<worker_index> takeChangedWorkers();

    bool quotaAllows(const job_entry &entry) const;

    // Starts the queued job on these workers. The parts must fit into free capacity and, for
    // protected use, into the ledger's headroom.
    void place(job_index index, std::vector<placed_part> parts, use_kind use);

    // Reserves these workers for the job, stops the victims, and places the job once the victims
    // have left their workers.
    void claim(job_index index, std::vector<placed_part> parts, use_kind use,
               const std::vector<job_index> &victims, stop_reason reason);

    void stop(job_index index, stop_reason reason);

    // Emits a rejection, and removes the job if it waits.
    void reject(job_index index, code number, std::string reason);

    void throttle(job_index index, worker_index worker, const resources &limit);

    // Sets or clears a reason why the worker takes no new tasks. Assigns guarantees again if that
    // takes the worker into or out of service.
    void block(worker_index worker, block_reason reason, bool on);

private:
    void markChanged(worker_index worker);
    team_index teamOf(const team_id &name);
    std::vector<guarantee_unit> unitsOf(const catalogue &entries);
    void changeService(const std::vector<worker_index> &workers);
    void planGuarantees();
    void resolveOvercommit(worker_index worker);
    job_index newJob(const job_spec &spec);
    void removeJob(job_index index);
    void addToQueue(job_index index);
    void occupy(job_index index, std::vector<placed_part> parts, use_kind use);
    void vacate(job_index index);
    void abortClaim(job_index index);
    void emitPlace(job_index index);
    void releaseClaimants(job_index victim);
    std::string whyImpossible(const job_entry &entry);
    bool isSettled() const;
    void verifyWaiting();
    void rejectOverdue();

    std::string checkWorkers() const;
    std::string checkJobs() const;
    std::string checkGuarantees() const;

    std::string m_cellName;
    topology m_cell;
    guarantee_ledger m_ledger;
    catalogue m_catalogue;
    std::set<std::string> m_domainsOut;
    std::set<worker_id> m_drained;
    std::vector<job_entry> m_jobs;
    std::vector<job_index> m_freeJobs;
    std::unordered_map<job_key, job_index, job_key_hash> m_byKey;
    std::vector<std::vector<job_index>> m_jobsOn;
    std::vector<team_state> m_teams;
    std::unordered_map<team_id, team_index> m_teamByName;
    std::set<std::pair<time_point, job_index>> m_deadlines;
    std::size_t m_verifyNext = 0;
    worker_index m_lastFittingWorker = 0; // where whyImpossible() starts its scan
    std::map<std::tuple<load, std::int32_t, adjacency, team_index, bool>, std::string>
        m_impossibleReasons;
    std::vector<scheduler_action> m_actions;
    time_point m_now;
    time_point m_lastNewWorker;
    std::vector<worker_index> m_changedWorkers;
    std::vector<bool> m_isChanged;
    std::uint64_t m_nextSerial = 1;
    std::size_t m_running = 0;
    std::size_t m_waiting = 0;
    std::string m_violation; // first invalid placement, reported by checkInvariants()
};

} // namespace goldcrest
