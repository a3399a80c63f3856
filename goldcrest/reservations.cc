#include "goldcrest/reservations.h"

#include <tuple>

namespace goldcrest {

std::optional<reservation> planReservation(const topology &cell, const placement_request &request,
                                           std::vector<capacity_forecast> forecasts)
{
    std::sort(forecasts.begin(), forecasts.end(),
              [](const capacity_forecast &a, const capacity_forecast &b) {
                  return std::tie(a.at, a.worker) < std::tie(b.at, b.worker);
              });
    // Chooses the group that reaches the number of tasks at the earliest time.
    std::unordered_map<std::int32_t, std::int64_t> tasksOf;
    std::int32_t chosen = -1;
    time_point expected;
    for (const capacity_forecast &forecast : forecasts) {
        const std::int32_t group = groupOf(cell, forecast.worker, request.closeness);
        if ((tasksOf[group] += forecast.tasks) < request.tasks)
            continue;
        chosen = group;
        expected = forecast.at;
        break;
    }
    if (chosen < 0)
        return std::nullopt;
    reservation result;
    result.expected = expected;
    std::int64_t left = request.tasks;
    for (const capacity_forecast &forecast : forecasts) {
        if (left <= 0)
            break;
        if (groupOf(cell, forecast.worker, request.closeness) != chosen)
            continue;
        left -= forecast.tasks;
        result.workers.push_back(forecast.worker);
    }
    std::sort(result.workers.begin(), result.workers.end());
    result.workers.erase(std::unique(result.workers.begin(), result.workers.end()),
                         result.workers.end());
    return result;
}

void reservation_table::add(job_number job, reservation planned)
{
    remove(job);
    for (const worker_index w : planned.workers) {
        if (m_holder.size() <= std::size_t(w))
            m_holder.resize(std::size_t(w) + 1, none);
        m_holder[std::size_t(w)] = job;
    }
    m_byJob[job] = std::move(planned);
}

void reservation_table::remove(job_number job)
{
    const auto found = m_byJob.find(job);
    if (found == m_byJob.end())
        return;
    for (const worker_index w : found->second.workers)
        m_holder[std::size_t(w)] = none;
    m_byJob.erase(found);
}

const reservation *reservation_table::find(job_number job) const
{
    const auto found = m_byJob.find(job);
    return found == m_byJob.end() ? nullptr : &found->second;
}

std::vector<reservation_table::job_number> reservation_table::jobs() const
{
    std::vector<job_number> result;
    for (const auto &[job, planned] : m_byJob)
        result.push_back(job);
    return result;
}

} // namespace goldcrest
