#pragma once

// Decides whether running work is stopped for other work: what a stop costs, whether it pays, and
// which jobs are spared because they were stopped recently.
//
//   preemption_policy policy;
//   policy.beginPass(usableWorkers, now);
//   run.lossOnStop = policy.costOf(victim, now);
//   run.isSpared = policy.isSpared(job, now);
//   double worth = policy.worthOf(claim, now);      // 0: nothing is stopped
//   policy.noteStop(job, stop, now);                // for each job that is stopped
//   policy.noteRestart(job, now);
//
// Claims within a guarantee are exempt: they neither ask for the worth nor for the limits. Those of
// the highest priority that can still be on time are not delayed by the limits either, since a
// refusal makes them late; but they only stop work if that pays. The observed pauses are kept for
// the next planner (learned_state.h); the rest is learned again.

#include "goldcrest/clock.h"

#include <gsl/span>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrest {

// Running work that may be stopped: a gang or a single task.
struct stop_victim
{
    std::int32_t priority = 0;
    double workLost = 0; // core-seconds
    double value = 0; // core-seconds that reaching the target is worth
    time_point endsAt{}; // of its job, if it is not stopped
    duration rest = 0ms; // run time that is left after a restart
    time_point target{}; // of its job
    time_point valuableUntil{}; // its job is of no use later
};

// Waiting work that others may be stopped for, outside a guarantee.
struct stop_claim
{
    double value = 0; // core-seconds that reaching the target is worth
    duration estimate = 0ms; // run time
    time_point target{};
    bool startsByItself = false; // false: it is not known when it could start
    time_point start{}; // expected without a stop
    time_point end{}; // expected without a stop
};

// A stop, as recorded.
struct stop_record
{
    std::int32_t priority = 0; // of the stopped job
    std::size_t runs = 1; // that are stopped
    duration undisturbed = 0ms; // for which the job should run before it is stopped again
    bool isForGuarantee = false;
};

// Pauses of the stopped jobs of one priority, as kept for the next planner (learned_state.h).
struct learned_pause
{
    std::int32_t priority = 0;
    double ended = 0; // number, decayed
    double time = 0; // sum over these, in milliseconds
};

// Why a claim that could reach its target by a stop stopped nothing.
enum class stop_refusal { Rate, Spared, FreeSoon };
constexpr std::size_t stopRefusals = 3;

// Returns the name of a refusal for metrics.
const char *nameOf(stop_refusal why);

class preemption_policy
{
public:
    // Pause of a stopped job that is assumed until pauses were observed.
    static constexpr duration usualPause = 3s;

    // @param stopTime longest time from a stop to the end of a run
    void setStopTime(duration stopTime);

    // Refills the limit of stops a second and forgets old stops.
    void beginPass(std::size_t usableWorkers, time_point now);

    // Returns the cost of a stop in core-seconds.
    double costOf(const stop_victim &victim, time_point now) const;

    // Returns what a claim may cost in core-seconds; 0 if no stop pays. Counts a refusal if the
    // capacity becomes free soon by itself.
    double worthOf(const stop_claim &claim, time_point now);

    // Returns whether a job was stopped so recently that only claims within a guarantee and urgent
    // ones may stop it again.
    bool isSpared(const std::string &job, time_point now) const;

    // Returns whether the limit of stops a second admits a claim. A refusal is counted. Urgent
    // claims are admitted, but their stops count.
    bool admitsClaim(bool isUrgent = false);

    // Records that no work could be found that may be stopped for a claim. It counts as refused by
    // the limit of stops per job if a job is spared.
    void noteNoVictim(time_point now);

    // Records that runs of a job are being stopped for other work.
    void noteStop(const std::string &job, const stop_record &stop, time_point now);

    // Records that a job that may have been stopped runs again.
    void noteRestart(const std::string &job, time_point now);

    // Forgets the stops of a job that has ended.
    void forgetJob(const std::string &job);

    // Returns for how long a stopped job is expected to wait until it runs again.
    duration expectedPause(std::int32_t priority, time_point now) const;

    // Returns the pauses that have ended, for each priority that has some.
    std::vector<learned_pause> save() const;

    // Adds pauses that an earlier planner has observed.
    void restore(gsl::span<const learned_pause> pauses);

    // Returns the number of refused claims.
    std::uint64_t refused(stop_refusal why) const;

    // Returns the number of stops a second that claims outside guarantees may cause together, but
    // for urgent ones.
    double stopsPerSecond() const { return m_stopsPerSecond; }

    // Returns the number of jobs whose stops are remembered.
    std::size_t entryCount() const { return m_stopped.size(); }

private:
    static constexpr std::size_t priorities = 4; // further ones count as the last

    struct stop_history
    {
        std::int32_t priority = 0;
        std::int32_t stops = 0;
        time_point stoppedAt{};
        bool isPaused = true; // has not run since
        time_point sparedUntil{};
        time_point forgetAt{};
    };

    // Pauses of one priority. Those that have not ended count as well: only jobs that get capacity
    // soon end their pause soon.
    struct pause_sums
    {
        double ended = 0; // number, decayed
        double time = 0; // of the ended ones, in milliseconds, decayed
        std::size_t open = 0;
        double openSince = 0; // sum of their starts, in milliseconds
    };

    static std::size_t indexOf(std::int32_t priority);
    static double millisecondsOf(time_point at);
    void endPause(stop_history &history);
    void refuse(stop_refusal why);
    void dropOldest();

    duration m_stopTime = 500ms;
    std::map<std::string, stop_history> m_stopped; // by job
    std::array<pause_sums, priorities> m_pauses;
    std::array<std::uint64_t, stopRefusals> m_refused{};
    double m_stopsPerSecond = 1;
    double m_budget = 0; // runs that may be stopped now; negative after a wide gang was stopped
    bool m_hasBudget = false; // beginPass() was called
    time_point m_refilledAt{};
    time_point m_anySparedUntil{}; // no job is spared later
};

} // namespace goldcrest
