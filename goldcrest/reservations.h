#pragma once

// Workers that are kept for a large gang that is first in the queue but does not fit. Other work
// may run there if it ends in time or can be stopped without loss.
//
//   std::optional<reservation> best = planReservation(cell, {perTask, tasks, closeness},
//   forecasts); reservations.add(job, *best); if (reservations.holderOf(worker) != job) ...

#include "goldcrest/placement.h"

#include <map>
#include <optional>
#include <vector>

namespace goldcrest {

// Tasks that a worker can take from a time on, beyond those of earlier times.
struct room_forecast
{
    time_point at;
    worker_index worker = 0;
    std::int64_t tasks = 0;
};

struct reservation
{
    std::vector<worker_index> workers;
    time_point expected; // when the gang can start, as estimated
};

// Returns the group of workers with the adjacency where the gang can start first.
std::optional<reservation> planReservation(const topology &cell, const placement_request &request,
                                           std::vector<room_forecast> forecasts);

class reservation_table
{
public:
    using job_number = std::int32_t;
    static constexpr job_number none = -1;

    void add(job_number job, reservation kept);
    void remove(job_number job);
    const reservation *find(job_number job) const;
    std::size_t count() const { return m_byJob.size(); }
    std::vector<job_number> jobs() const;

    // Returns the job that the worker is kept for, or `none`.
    job_number holderOf(worker_index worker) const
    {
        return std::size_t(worker) < m_holder.size() ? m_holder[std::size_t(worker)] : none;
    }

private:
    std::map<job_number, reservation> m_byJob;
    std::vector<job_number> m_holder;
};

} // namespace goldcrest
