#pragma once

// Reservations of workers for large gangs at the head of the queue that do not fit yet. Other work
// may run there (backfill) if it ends in time or can be stopped without loss.
//
//   const placement_request request{perTask, tasks, closeness};
//   if (std::optional<reservation> best = planReservation(cell, request, forecasts))
//       reservations.add(job, std::move(*best));
//   if (reservations.holderOf(worker) != job) ...

#include "goldcrest/placement.h"

#include <map>
#include <optional>
#include <vector>

namespace goldcrest {

// Number of additional tasks that a worker can take from a time on, beyond those that earlier
// forecasts count.
struct capacity_forecast
{
    time_point at;
    worker_index worker = 0;
    std::int64_t tasks = 0;
};

struct reservation
{
    std::vector<worker_index> workers;
    time_point expected; // estimated time when the gang can start
};

// Returns the workers of the group, within the requested adjacency, where the gang can start first,
// or nothing if the forecasts suffice in no group.
std::optional<reservation> planReservation(const topology &cell, const placement_request &request,
                                           std::vector<capacity_forecast> forecasts);

class reservation_table
{
public:
    using job_number = std::int32_t;
    static constexpr job_number none = -1;

    // Adds a reservation; replaces an earlier one of the job.
    void add(job_number job, reservation planned);
    void remove(job_number job);

    // Returns the reservation of the job, or nullptr.
    const reservation *find(job_number job) const;
    std::size_t count() const { return m_byJob.size(); }
    std::vector<job_number> jobs() const;

    // Returns the job that the worker is reserved for, or `none`.
    job_number holderOf(worker_index worker) const
    {
        return std::size_t(worker) < m_holder.size() ? m_holder[std::size_t(worker)] : none;
    }

private:
    std::map<job_number, reservation> m_byJob;
    std::vector<job_number> m_holder;
};

} // namespace goldcrest
