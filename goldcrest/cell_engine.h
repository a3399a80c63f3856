#pragma once

// State that every decision engine of a cell needs: jobs, capacity, guarantees and limits. A
// derived engine keeps the queue and decides in schedule(), which runs at the end of each event:
//
//   void schedule() override
//   {
//       if (canPlaceWith(job, parts))
//           place(id, parts, use_kind::Protected);
//   }

#include "goldcrest/guarantee_ledger.h"
#include "goldcrest/scheduler.h"

#include <map>
#include <set>
#include <unordered_map>

namespace goldcrest {

using job_index = std::int32_t;

enum class run_state { Free, Waiting, Claiming, Running, Stopping };

// Protected use is within the own guarantee or on capacity that no guarantee needs. Borrowed use
// may be stopped at any time by the owner of the guarantee.
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
    time_point queuedAt; // arrival, shifted by the time it waited before
    time_point placedAt;
    time_point stopSentAt;
    double progress = 0;
    duration estimated{}; // run time as estimated when it was queued
    duration estimatedLong{}; // the same, cautious
    duration ranKept{}; // run time that `progress` took
    std::int32_t attempts = 0;
    std::int32_t yields = 0; // times it was stopped for a job with less work
    std::int32_t victimsLeft = 0; // of a claim: jobs that have to stop first
    std::vector<job_index> claimants; // of a stopping job: claims that wait for it
    job_index backfilledFor = -1; // the gang that a worker of this job is kept for
    std::uint64_t serial = 0; // order of arrival; identifies the job across attempts

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
    // Queue of the derived engine. It holds the jobs in state Waiting.
    virtual void enqueue(job_index job) = 0;
    virtual void dequeue(job_index job) = 0;
    virtual bool isQueued(job_index job) const = 0;
    virtual std::int32_t positionOf(job_index job) const = 0;
    // Decides after each event.
    virtual void schedule() = 0;

    // Hooks; the base does nothing in them.
    virtual void onConfiguration(const configuration &) { }
    virtual void onService(worker_index) { } // went in or out of service
    virtual void onPlaced(job_index) { }
    // The job left its workers. Returns false if it must not be queued again; then the hook has
    // emitted the rejection.
    virtual bool onEnded(job_index, const stopped_event &) { return true; }
    virtual void onForgotten(job_index) { }

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

    // Returns the workers whose room or guarantees changed since the last call, each once.
    std::vector<worker_index> takeTouched();

    bool quotaAllows(const job_entry &entry) const;

    // Starts the job on these workers. Parts must fit into free capacity and, for protected use,
    // into the ledger's headroom.
    void place(job_index index, std::vector<placed_part> parts, use_kind use);

    // Reserves these workers for the job, stops the victims and places it once they are gone.
    void claim(job_index index, std::vector<placed_part> parts, use_kind use,
               const std::vector<job_index> &victims, stop_reason reason);

    void stop(job_index index, stop_reason reason);

    // Ends a waiting job.
    void reject(job_index index, code number, std::string reason);

    void throttle(job_index index, worker_index worker, const resources &limit);

    // Sets or clears a reason and assigns guarantees again if that changed the worker's service.
    void block(worker_index worker, block_reason reason, bool on);

private:
    void touch(worker_index worker);
    team_index teamOf(const team_id &name);
    std::vector<guarantee_unit> unitsOf(const catalogue &entries);
    void changeService(const std::vector<worker_index> &workers);
    void planGuarantees();
    void resolveOvercommit(worker_index worker);
    job_index newJob(const job_spec &spec);
    void forget(job_index index);
    void putBack(job_index index);
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
    worker_index m_lastRoomy = 0; // where whyImpossible() found room last
    std::map<std::tuple<load, std::int32_t, adjacency, team_index, bool>, std::string> m_possible;
    std::vector<scheduler_action> m_actions;
    time_point m_now;
    time_point m_lastNewWorker;
    std::vector<worker_index> m_touched;
    std::vector<bool> m_isTouched;
    std::uint64_t m_nextSerial = 1;
    std::size_t m_running = 0;
    std::size_t m_waiting = 0;
    std::string m_violation; // first misuse seen by place(), for checkInvariants()
};

} // namespace goldcrest
