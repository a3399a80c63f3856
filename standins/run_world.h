#pragma once

// Backend servers that run tasks of graph jobs in virtual time, and a judge of what they are told.
//
//   run_world world(loop, seed);
//   model_host &host = world.add("w1", capacity);
//   host.faults().late = 0.1;            // share of orders carried out late, without an answer
//   world.violations()
//
// The hosts start whatever they are told, as the users' do. The judge sees all of them, and notes
// tasks that run twice, starts after an end `done` that was acknowledged, starts long after an
// acknowledged cancel, and workers over capacity.

#include "goldcrest/event_loop.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/run_host.h"
#include "standins/one_shot_timers.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

class run_world;

struct host_faults
{
    double late = 0; // share of orders that get no answer and are carried out seconds later
    double lost = 0; // share of calls that take effect without an answer
    double fails = 0; // share of runs that end failed
    bool hangs = false; // runs make no progress
    bool isCut = false; // calls get no answer and take no effect
};

class model_host final : public run_host
{
public:
    model_host(run_world &world, std::string id, const resources &capacity);

    host_faults &faults() { return m_faults; }
    const std::string &id() const { return m_id; }

    // Ends all that runs and starts a new life, under the same id or another.
    void restart(const std::string &id);

    host_announcement announcement();
    void setDraining(bool draining) { m_draining = draining; }

    void start(const start_order &order, epoch token, std::int64_t holdUntil, const std::string &id,
               std::function<void(result<start_reply>)> callback) override;
    void stop(const run_id &run, epoch token, std::function<void(result<done>)> callback) override;
    void pace(const pace_order &order, epoch token,
              std::function<void(result<done>)> callback) override;
    void look(epoch token, std::int64_t endsStored, std::int64_t holdUntil, duration wait,
              std::function<void(result<host_view>)> callback) override;

private:
    friend class run_world;

    struct present_run
    {
        time_point startedAt{};
        time_point worksFrom{}; // when the members of its gang were complete
        duration work = 0ms;
        bool isWorking = false;
        bool isStopping = false;
        bool willFail = false;
        std::string saved;
        timer_handle timer;
    };

    struct pending_look
    {
        std::function<void(result<host_view>)> callback;
        timer_handle timeout;
    };

    start_reply startNow(const start_order &order, epoch token, std::int64_t holdUntil);
    void stopNow(const run_id &run, epoch token);
    void beginWork(const run_id &run);
    void endRun(const run_id &run, run_end how);
    void extendLease(std::int64_t holdUntil);
    void lapse();
    host_view view() const;
    void answerLooks();
    void after(duration delay, std::function<void()> task);
    std::int64_t clock() const;

    run_world &m_world;
    std::string m_id;
    resources m_capacity;
    host_faults m_faults;
    bool m_draining = false;
    std::int64_t m_bornAt = 0;
    std::int64_t m_sequence = 0;
    std::uint64_t m_life = 0;
    epoch m_token = 0;
    std::optional<time_point> m_knownFrom; // first look at the present life
    std::int64_t m_holdUntil = 0;
    std::int64_t m_endsStored = 0;
    std::int64_t m_lastEnd = 0;
    std::map<run_id, present_run> m_runs;
    std::map<std::string, std::int32_t> m_closed; // highest run stopped or ended, by task
    std::vector<ended_task> m_ended;
    std::vector<std::shared_ptr<pending_look>> m_looks;
    timer_handle m_leaseTimer;
};

class run_world
{
public:
    run_world(event_loop &loop, std::uint64_t seed);

    model_host &add(const std::string &id, const resources &capacity);

    // Makes a job's steps known, so that demands and gangs can be judged.
    void expect(const graph_job &job);

    // A job's cancel was acknowledged: its tasks must not start for much longer.
    void noteCancelled(const std::string &job);

    const std::vector<std::string> &violations() const { return m_violations; }
    std::uint64_t starts() const { return m_starts; }
    std::uint64_t ends(run_end how) const { return m_ends[static_cast<std::size_t>(how)]; }

private:
    friend class model_host;

    const step_spec *specOf(const std::string &task) const;
    void onStart(model_host &host, const run_id &run);
    void onAcknowledged(const ended_task &end);
    void completeGang(const std::string &task, std::int32_t run);
    void endGang(const std::string &task, std::int32_t run, run_end how);
    void violate(std::string what);

    event_loop &m_loop;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<model_host>> m_hosts;
    std::map<std::string, graph_job> m_jobs;
    std::set<std::string> m_done; // tasks whose end `done` was acknowledged
    std::map<std::string, time_point> m_cancelledAt; // by job
    std::vector<std::string> m_violations;
    std::uint64_t m_starts = 0;
    std::array<std::uint64_t, 6> m_ends{};
    one_shot_timers m_timers;
};

} // namespace goldcrest
