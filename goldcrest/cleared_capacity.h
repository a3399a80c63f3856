#pragma once

// Keeps the capacity on which running work is stopped for a claim until the claim uses it. It does
// no I/O.
//
//   cleared_capacity cleared;
//   for (const task_key &claim : cleared.beginPass(capacities, now)) ...   // can't be used
//   cleared.holdFrom(priority, capacities, now);     // before work of that rank is placed
//   cleared.release(claim, capacities);              // it is the claim's turn
//   if (const cleared_claim *made = cleared.usable(claim, capacities, now)) ...
//   cleared.reserve(claim, made, hasStops);          // runs were stopped for it
//   cleared.end(claim);                              // it has started, or no longer needs it
//
// What was cleared for a claim within a guarantee is held from all other work. What was cleared for
// another claim is held from work of its priority and below, also from claims of earlier targets:
// these would take the first of several workers that becomes free, and what was stopped on the
// others would have been stopped in vain. Claims within a guarantee and those of higher priority
// may take it.

#include "goldcrest/clock.h"
#include "goldcrest/model.h"
#include "goldcrest/run_placement.h"
#include "goldcrest/tracked_job.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

// Workers on which other runs are being stopped for a claim.
struct cleared_claim
{
    std::vector<worker_id> workers; // for each task
    resources perTask;
    duration estimate = 0ms; // run time of one task there
    std::int32_t priority = 0;
    bool isGuaranteed = false; // when it was made
    time_point retryAt{}; // what has not ended by then is to be stopped as well
    time_point until{}; // end of a claim outside a guarantee
};

class cleared_capacity
{
public:
    // A claim outside a guarantee keeps its capacity for this many times the time in which stops
    // are carried out. Delays of an order by a slow link or store are shorter; a stop that takes
    // longer is one of a worker that has failed.
    static constexpr int longestStops = 4;

    // Records that capacity is being cleared for a claim.
    // @param claim its first task
    // @param hasStops whether runs are stopped for it now. Without, a claim whose time has passed
    //        is not recorded again, as it would wait for the same stops without end.
    // @return whether it was recorded
    bool reserve(const task_key &claim, const cleared_claim &made, bool hasStops);

    // Returns the capacity of a claim, or nullptr if it has none.
    const cleared_claim *find(const task_key &claim) const;

    // Returns why a claim outside a guarantee can't use its capacity any more, or nullptr if it
    // can. Its capacity must not be held.
    const char *obstacleOf(const task_key &claim, const std::vector<worker_capacity> &capacities,
                           time_point now) const;

    // Ends a claim.
    // @param isOver its time has passed; see reserve()
    // @return what was reserved, or nothing if it has no capacity
    std::optional<cleared_claim> end(const task_key &claim, bool isOver = false);

    // Removes the claims of those tasks of a job for which `isOver` holds.
    void forget(const std::string &job, const std::function<bool(const task_key &)> &isOver);

    // Begins a pass over the workers of a service, and holds what was cleared within guarantees.
    // @return claims of the service with a worker that is not among them
    std::vector<task_key> beginPass(std::vector<worker_capacity> &capacities, time_point now);

    // Holds what was cleared for claims outside guarantees up to a priority number, unless it was
    // taken in the meantime or it was the claim's turn in this pass.
    void holdFrom(std::int32_t priority, std::vector<worker_capacity> &capacities, time_point now);

    // Undoes the hold for a claim, whose turn it is.
    void release(const task_key &claim, std::vector<worker_capacity> &capacities);

    // Returns the number of entries.
    std::size_t entryCount() const { return m_claims.size(); }

private:
    enum class hold_state { Waiting, Held, Passed };

    struct entry
    {
        cleared_claim made;
        hold_state held = hold_state::Passed; // in the current pass
        bool isOver = false;
    };

    bool isOfPass(const cleared_claim &made) const;
    bool canBeCleared(const cleared_claim &made,
                      const std::vector<worker_capacity> &capacities) const;
    void hold(entry &held, std::vector<worker_capacity> &capacities, time_point now) const;

    std::map<task_key, entry> m_claims; // by the first task
    std::map<worker_id, std::size_t> m_indexes; // of the capacities, in the current pass
    std::int32_t m_heldPriority = -1; // in the current pass
};

} // namespace goldcrest
