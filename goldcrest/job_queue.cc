#include "goldcrest/job_queue.h"

namespace goldcrest {

namespace {

// Work, in accelerator-milliseconds per class weight, that a job gains on later arrivals per
// millisecond of waiting. See docs/measurements.md for the values tried.
constexpr double ageing = 1.0;

constexpr std::int32_t maxExactTasks = 8; // each number of tasks up to this is a class of its own

double millis(time_point t)
{
    return double(t.time_since_epoch().count());
}

} // namespace

double aged_work_order::key(const queue_facts &facts) const
{
    const double width = double(std::max<std::int64_t>(1, facts.accelerators));
    const double work = double(facts.remaining.count()) * width;
    return ageing * millis(facts.queuedAt) + work / double(std::max<std::int64_t>(1, facts.weight));
}

std::int32_t minTasksOfClass(std::int32_t ofClass)
{
    if (ofClass <= maxExactTasks)
        return ofClass;
    const std::int32_t edge = maxExactTasks << ((ofClass - maxExactTasks - 1) / 2);
    return (ofClass - maxExactTasks) % 2 == 1 ? edge + 1 : edge + edge / 2 + 1;
}

std::int32_t taskClass(std::int32_t tasks)
{
    if (tasks <= maxExactTasks)
        return tasks;
    std::int32_t result = maxExactTasks;
    for (std::int32_t edge = maxExactTasks; edge < tasks; edge *= 2)
        result += tasks <= edge + edge / 2 ? 1 : 2;
    return result;
}

void job_queue::updateHead(bucket &in, owner_index owner, const ordered &jobs, bool add)
{
    if (jobs.empty())
        return;
    const std::pair<double, owner_index> head(jobs.begin()->first + penaltyOf(owner), owner);
    if (add)
        in.heads.insert(head);
    else
        in.heads.erase(head);
}

void job_queue::add(entry_index job, owner_index owner, const bucket_key &key, double order)
{
    bucket &in = m_buckets[key];
    in.key = key;
    ordered &jobs = in.byOwner[owner];
    if (jobs.empty())
        m_bucketsOf[owner].insert(&in);
    updateHead(in, owner, jobs, false);
    jobs.insert({order, job});
    updateHead(in, owner, jobs, true);
    if (m_entries.size() <= std::size_t(job))
        m_entries.resize(std::size_t(job) + 1);
    m_entries[std::size_t(job)] = {&in, owner, order};
    ++m_size;
}

void job_queue::remove(entry_index job)
{
    const entry found = std::exchange(m_entries[std::size_t(job)], {});
    bucket &in = *found.in;
    const auto owned = in.byOwner.find(found.owner);
    ordered &jobs = owned->second;
    const bool wasFirst = jobs.begin()->second == job;
    if (wasFirst)
        updateHead(in, found.owner, jobs, false);
    jobs.erase({found.order, job});
    if (wasFirst)
        updateHead(in, found.owner, jobs, true);
    --m_size;
    if (!jobs.empty())
        return;
    m_bucketsOf[found.owner].erase(&in);
    in.byOwner.erase(owned);
    if (in.byOwner.empty())
        m_buckets.erase(bucket_key(in.key));
}

bool job_queue::contains(entry_index job) const
{
    return std::size_t(job) < m_entries.size() && m_entries[std::size_t(job)].in != nullptr;
}

double job_queue::penaltyOf(owner_index owner) const
{
    return std::size_t(owner) < m_penalty.size() ? m_penalty[std::size_t(owner)] : 0;
}

void job_queue::setPenalty(owner_index owner, double penalty)
{
    if (penaltyOf(owner) == penalty)
        return;
    const auto found = m_bucketsOf.find(owner);
    if (found != m_bucketsOf.end()) {
        for (bucket *in : found->second)
            updateHead(*in, owner, in->byOwner[owner], false);
    }
    if (m_penalty.size() <= std::size_t(owner))
        m_penalty.resize(std::size_t(owner) + 1);
    m_penalty[std::size_t(owner)] = penalty;
    if (found != m_bucketsOf.end()) {
        for (bucket *in : found->second)
            updateHead(*in, owner, in->byOwner[owner], true);
    }
}

void job_queue::firstOf(const bucket &from, std::size_t count,
                        std::vector<std::pair<double, entry_index>> &jobs) const
{
    for (const auto &[order, owner] : from.heads) {
        if (count-- == 0)
            return;
        jobs.emplace_back(order, from.byOwner.find(owner)->second.begin()->second);
    }
}

void job_queue::firstOfOwner(owner_index owner, std::size_t count,
                             std::vector<std::pair<double, entry_index>> &jobs) const
{
    const auto found = m_bucketsOf.find(owner);
    if (found == m_bucketsOf.end())
        return;
    for (const bucket *in : found->second) {
        std::size_t left = count;
        for (const auto &job : in->byOwner.find(owner)->second) {
            if (left-- == 0)
                break;
            jobs.push_back(job);
        }
    }
}

double job_queue::orderOf(entry_index job) const
{
    const entry &found = m_entries[std::size_t(job)];
    return found.order + penaltyOf(found.owner);
}

std::int32_t job_queue::positionOf(entry_index job) const
{
    if (!contains(job))
        return 0;
    const bool urgent = m_entries[std::size_t(job)].in->key.urgent;
    const double order = orderOf(job);
    std::int32_t position = 1;
    for (const entry &other : m_entries) {
        if (!other.in)
            continue;
        const bool ahead = other.in->key.urgent == urgent
            ? other.order + penaltyOf(other.owner) < order
            : other.in->key.urgent;
        position += ahead ? 1 : 0;
    }
    return position;
}

} // namespace goldcrest
