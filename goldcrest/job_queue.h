#pragma once

// The queue of a cell. Jobs of like size share a bucket; within a bucket each team has its own
// order. A decision looks at the first jobs of each bucket, so its cost does not grow with the
// length of the queue.
//
//   job_queue queue;
//   queue.add(job, team, bucket, order.key(facts));
//   queue.setPenalty(team, penalty);          // later jobs of teams that use much
//   for (const job_queue::bucket &b : queue.buckets())
//       queue.firstOf(b, 4, candidates);

#include "goldcrest/load.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrest {

// What the order of a job depends on.
struct queue_facts
{
    time_point queuedAt;
    duration remaining{}; // estimated
    std::int64_t accelerators = 0; // of all tasks
    std::int64_t weight = 1; // of the class
};

// Gives each job a key that does not change while it waits; the smallest goes first.
class queue_order
{
public:
    virtual ~queue_order() = default;
    virtual double key(const queue_facts &facts) const = 0;
};

// Shortest remaining work per class weight first, with ageing: a job that arrived earlier by a time
// t goes ahead of one with up to `ageing * t` less work. Ageing by arrival keeps the keys constant.
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
std::int32_t leastTasks(std::int32_t ofClass);

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

    // Moves all jobs of an owner back by `penalty`, in the unit of the keys.
    void setPenalty(owner_index owner, double penalty);
    double penaltyOf(owner_index owner) const;

    // Buckets that hold jobs.
    const std::map<bucket_key, bucket> &buckets() const { return m_buckets; }

    // Appends the first jobs of up to `count` owners, with their order.
    void firstOf(const bucket &from, std::size_t count,
                 std::vector<std::pair<double, entry_index>> &jobs) const;

    // Appends the first `count` jobs of one owner in each bucket.
    void firstOfOwner(owner_index owner, std::size_t count,
                      std::vector<std::pair<double, entry_index>> &jobs) const;

    // Returns the key with the owner's penalty.
    double orderOf(entry_index job) const;

    // Returns the place of a job from 1. Scans the queue; not for the decision path.
    std::int32_t positionOf(entry_index job) const;

private:
    struct entry
    {
        bucket *in = nullptr;
        owner_index owner = 0;
        double order = 0;
    };

    void rekey(bucket &in, owner_index owner, const ordered &jobs, bool add);

    std::map<bucket_key, bucket> m_buckets;
    std::vector<entry> m_entries;
    std::vector<double> m_penalty;
    std::unordered_map<owner_index, std::set<bucket *>> m_bucketsOf;
    std::size_t m_size = 0;
};

} // namespace goldcrest
