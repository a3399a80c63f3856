#pragma once

// The queue of a cell. Jobs of similar size share a bucket, and each team has its own ordered list
// in a bucket. A decision examines only the first jobs of each bucket, so its cost does not grow
// with the length of the queue.
//
//   job_queue queue;
//   queue.add(job, team, bucket, order.key(facts));
//   queue.setPenalty(team, penalty);          // delays the jobs of a team that uses much
//   for (const auto &[key, bucket] : queue.buckets())
//       queue.firstOf(bucket, 4, candidates);

#include "goldcrest/load.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrest {

// Inputs to the order of a job.
struct queue_facts
{
    time_point queuedAt;
    duration remaining{}; // estimated
    std::int64_t accelerators = 0; // of all tasks
    std::int64_t weight = 1; // of the class
};

// Computes a key for each job that does not change while it waits; the smallest key goes first.
class queue_order
{
public:
    virtual ~queue_order() = default;
    virtual double key(const queue_facts &facts) const = 0;
};

// Orders by least remaining work per class weight, with ageing: a job that arrived earlier by a
// time t goes ahead of one with up to `ageing * t` less work. The key contains the arrival time
// instead of the age, so that it stays constant while the job waits.
class aged_work_order final : public queue_order
{
public:
    double key(const queue_facts &facts) const override;
};

struct bucket_key
{
    bool urgent = false;
    bool preemptible = false;
    adjacency closeness = adjacency::None;
    std::int32_t accelerators = 0; // per task
    std::int32_t tasks = 0; // class of the number of tasks
    std::int32_t share = 0; // class of cores and memory per task

    friend bool operator<(const bucket_key &a, const bucket_key &b)
    {
        return std::tie(a.urgent, a.preemptible, a.closeness, a.accelerators, a.tasks, a.share)
            < std::tie(b.urgent, b.preemptible, b.closeness, b.accelerators, b.tasks, b.share);
    }
};

// Returns the class of a number of tasks: exact up to 8, then two classes per doubling.
std::int32_t taskClass(std::int32_t tasks);

// Returns the smallest number of tasks of a class.
std::int32_t minTasksOfClass(std::int32_t ofClass);

class job_queue
{
public:
    using entry_index = std::int32_t;
    using owner_index = std::int32_t;
    using ordered = std::set<std::pair<double, entry_index>>;

    struct bucket
    {
        bucket_key key;
        std::map<owner_index, ordered> byOwner;
        std::set<std::pair<double, owner_index>> heads; // first key of the owner plus its penalty
    };

    void add(entry_index job, owner_index owner, const bucket_key &key, double order);
    void remove(entry_index job);
    bool contains(entry_index job) const;
    bool isEmpty() const { return m_size == 0; }

    // Adds `penalty`, in the unit of the keys, to the keys of all jobs of an owner; replaces the
    // owner's earlier penalty.
    void setPenalty(owner_index owner, double penalty);
    double penaltyOf(owner_index owner) const;

    // Returns the buckets that hold jobs.
    const std::map<bucket_key, bucket> &buckets() const { return m_buckets; }

    // Appends the first job of each of the first `count` owners in the bucket, with its key
    // including the owner's penalty.
    void firstOf(const bucket &from, std::size_t count,
                 std::vector<std::pair<double, entry_index>> &jobs) const;

    // Appends the first `count` jobs of one owner in each bucket, with their keys without the
    // owner's penalty.
    void firstOfOwner(owner_index owner, std::size_t count,
                      std::vector<std::pair<double, entry_index>> &jobs) const;

    // Returns the job's key including the owner's penalty.
    double orderOf(entry_index job) const;

    // Returns the position of a job from 1, or 0 if it is not queued. Scans the queue; not for the
    // decision path.
    std::int32_t positionOf(entry_index job) const;

private:
    struct entry
    {
        bucket *in = nullptr;
        owner_index owner = 0;
        double order = 0;
    };

    void updateHead(bucket &in, owner_index owner, const ordered &jobs, bool add);

    std::map<bucket_key, bucket> m_buckets;
    std::vector<entry> m_entries;
    std::vector<double> m_penalty;
    std::unordered_map<owner_index, std::set<bucket *>> m_bucketsOf;
    std::size_t m_size = 0;
};

} // namespace goldcrest
