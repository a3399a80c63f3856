#pragma once

// Simulated backend servers that run tasks of graph jobs in virtual time, and a checker of the
// orders that they receive.
//
//   run_world world(loop, seed);
//   model_host &host = world.add("w1", capacity);
//   host.faults().hangs = true;          // runs make no progress
//   world.registerJob(job);
//   world.addCrashingTask(task);         // crashes each host that starts it
//   host.setCapacity(less);
//   CHECK(world.violations().empty());
//
// Like the users' backend servers, the hosts start every task that they are ordered to start. The
// checker sees all hosts. It reports tasks that run twice at the same time, starts after an end
// `Done` was acknowledged, starts long after a cancel was acknowledged, workers over capacity, and
// tasks that are started again and again though they crash the hosts that start them.

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
#include <utility>
#include <vector>

namespace goldcrest {

class run_world;

// Injected faults of one host.
struct host_faults
{
    double lateOrderRate = 0; // share of orders that get no response and take effect late
    double lostReplyRate = 0; // share of starts that take effect but get no response
    double failureRate = 0; // share of runs that fail
    bool hangs = false; // runs make no progress
    bool isUnreachable = false; // calls get no response and take no effect
};

// One simulated backend server.
class model_host final : public run_host
{
public:
    model_host(run_world &world, std::string id, const resources &capacity);

    host_faults &faults() { return m_faults; }
    const std::string &id() const { return m_id; }

    // Ends all runs and begins a new incarnation, with the same id or another.
    void restart(const std::string &id);

    // Ends all runs. The host does not respond for some seconds, then begins a new incarnation.
    void crash();
    bool isDown() const { return m_isDown; }

    // Suspends the machine: its clock, its runs and its calls stand still until resume().
    void suspend();
    void resume();
    bool isSuspended() const { return m_suspendedAt.has_value(); }

    // Changes what the host announces. Runs that no longer fit go on.
    void setCapacity(const resources &capacity);

    // Returns the next announcement, with a higher sequence number.
    host_announcement announcement();
    void setDraining(bool draining) { m_draining = draining; }

    void start(const start_order &order, epoch token, std::int64_t holdUntil, const std::string &id,
               std::function<void(result<start_reply>)> callback) override;
    void stop(const run_id &run, epoch token, std::function<void(result<done>)> callback) override;
    void pace(const pace_order &order, epoch token,
              std::function<void(result<done>)> callback) override;
    void queryStatus(epoch token, std::int64_t endsStored, std::int64_t holdUntil, duration wait,
                     const std::string &id,
                     std::function<void(result<host_status>)> callback) override;

private:
    friend class run_world;

    struct active_run
    {
        time_point startedAt{};
        time_point workStartedAt{}; // when all members of its gang had started
        duration work = 0ms; // run time
        bool isWorking = false;
        bool isStopping = false;
        bool willFail = false;
        std::string saved;
        timer_handle timer;
    };

    struct pending_query
    {
        std::function<void(result<host_status>)> callback;
        timer_handle timeout;
    };

    start_reply applyStart(const start_order &order, epoch token, std::int64_t holdUntil,
                           time_point sentAt);
    void applyStop(const run_id &run, epoch token);
    void startWork(const run_id &run);
    void scheduleEnd(const run_id &run);
    void scheduleLeaseEnd();
    void endRun(const run_id &run, run_end how);
    void extendLease(std::int64_t holdUntil);
    void expireRuns();
    host_status currentStatus() const;
    void answerQueries();
    void after(duration delay, std::function<void()> task);
    void deliver(std::function<void()> task);
    void endSlowly(const run_id &run, run_end how);
    void deliverAfterHops(std::uint64_t hops, std::function<void()> task);
    std::int64_t clock() const;
    resources toleratedCapacity(time_point sentAt) const;

    run_world &m_world;
    std::string m_id;
    resources m_capacity;
    std::vector<std::pair<time_point, resources>>
        m_earlierCapacities; // with the ends of their times
    host_faults m_faults;
    bool m_draining = false;
    bool m_isDown = false;
    std::int64_t m_startedAtMs = 0;
    std::optional<time_point> m_suspendedAt;
    duration m_stoodStill = 0ms; // in all suspensions of this incarnation
    std::vector<std::function<void()>> m_waiting; // for the end of the suspension
    std::int64_t m_sequence = 0;
    std::uint64_t m_incarnation = 0; // number of restarts
    epoch m_token = 0; // newest fencing token
    std::optional<time_point> m_firstQueryAt; // first status query in this incarnation
    std::int64_t m_holdUntil = 0; // end of the lease, on clock()
    std::int64_t m_endsStored = 0; // number of the last acknowledged end
    std::int64_t m_lastEnd = 0; // number of the last end
    std::map<run_id, active_run> m_runs;
    // Highest number of a run that was stopped or has ended, by task.
    std::map<std::string, std::int32_t> m_highestEndedRun;
    std::vector<ended_task> m_ended; // not acknowledged yet
    std::vector<std::shared_ptr<pending_query>> m_pendingQueries;
    timer_handle m_leaseTimer;
};

// All simulated backend servers, and the checker.
class run_world
{
public:
    run_world(event_loop &loop, std::uint64_t seed);

    // Adds a host, which lives as long as the world.
    model_host &add(const std::string &id, const resources &capacity);

    // Registers a job. Its steps are needed to check resource demands and to complete gangs.
    void registerJob(const graph_job &job);

    // Makes a task crash each host that starts it.
    void addCrashingTask(const task_key &task) { m_crashes.emplace(formatTask(task), 0); }

    // From now on, hosts list a run that is being stopped neither as running nor as ended until it
    // has ended.
    void hideStoppingRuns() { m_hidesStoppingRuns = true; }

    // From now on, calls and their answers take less than a millisecond, and overtake each other.
    void reorderCalls() { m_reordersCalls = true; }

    // From now on, some stops are carried out while their answer is lost with the connection.
    void loseStopAnswers() { m_losesStopAnswers = true; }

    // From now on, the members of a gang that a host ends after another member take as long as a
    // stop, and the lists are without them meanwhile.
    void endGangsSlowly() { m_endsGangsSlowly = true; }

    // Records that the cancel of a job was acknowledged. Starts of its tasks long after that are
    // violations.
    void noteCancelled(const std::string &job);

    // Returns the highest number of hosts that have restarted while they ran one task of the job.
    int restartsUnder(const std::string &job) const;

    // Returns a description of each violation, with its time.
    const std::vector<std::string> &violations() const { return m_violations; }

    // Return the numbers of runs that started, and that ended in this way, on all hosts.
    std::uint64_t starts() const { return m_starts; }
    std::uint64_t ends(run_end how) const { return m_ends[static_cast<std::size_t>(how)]; }

private:
    friend class model_host;

    const step_spec *specOf(const std::string &task) const;
    void onStart(model_host &host, const run_id &run, time_point sentAt);
    void checkCrashingTask(const run_id &run);
    void onEndAcknowledged(const ended_task &end);
    void startGangIfComplete(const std::string &task, std::int32_t run);
    void endGang(const std::string &task, std::int32_t run, run_end how);
    void addViolation(std::string what);

    event_loop &m_loop;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<model_host>> m_hosts;
    std::map<std::string, graph_job> m_jobs;
    std::set<std::string> m_acknowledgedDone; // tasks whose end `Done` was acknowledged
    std::map<std::string, int> m_restarts; // hosts that restarted while they ran a task, by task
    std::map<std::string, int> m_crashes; // hosts that crashed, by crashing task
    std::map<std::string, int> m_startsAfterCrashes; // starts after the tolerated crashes, by task
    std::map<std::string, time_point> m_cancelledAt; // time of the acknowledged cancel, by job
    std::vector<std::string> m_violations;
    bool m_hidesStoppingRuns = false;
    bool m_reordersCalls = false;
    bool m_losesStopAnswers = false;
    bool m_endsGangsSlowly = false;
    std::mt19937_64 m_callRandom; // for the order of calls
    std::uint64_t m_starts = 0;
    std::array<std::uint64_t, 6> m_ends{};
    one_shot_timers m_timers;
};

} // namespace goldcrest
