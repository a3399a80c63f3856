#pragma once

// Resource vectors: cores, memory, accelerators and task slots in one array, so that all limits are
// compared in the same way.
//
//   load need = load::ofTask(spec.perTask);
//   std::int64_t tasks = fitCount(free, need);

#include "goldcrest/model.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>

namespace goldcrest {

struct load
{
    static constexpr std::size_t dimensions = 4;
    static constexpr std::size_t coresIndex = 0;
    static constexpr std::size_t memoryIndex = 1;
    static constexpr std::size_t acceleratorsIndex = 2;
    static constexpr std::size_t slotsIndex = 3;
    // Slots of a worker that has no limit.
    static constexpr std::int64_t unlimitedSlots = 1 << 20;

    std::array<std::int64_t, dimensions> v{};

    // Returns the demand of one task: its resources and one slot.
    static load ofTask(const resources &one)
    {
        return load{{one.cores, one.memory, one.accelerators, 1}};
    }

    // Returns the total capacity of a worker.
    static load ofWorker(const worker_info &worker)
    {
        const std::int64_t slots = worker.slots > 0 ? worker.slots : unlimitedSlots;
        return load{
            {worker.capacity.cores, worker.capacity.memory, worker.capacity.accelerators, slots}};
    }

    std::int64_t accelerators() const { return v[acceleratorsIndex]; }

    load &operator+=(const load &o)
    {
        for (std::size_t i = 0; i < dimensions; ++i)
            v[i] += o.v[i];
        return *this;
    }
    load &operator-=(const load &o)
    {
        for (std::size_t i = 0; i < dimensions; ++i)
            v[i] -= o.v[i];
        return *this;
    }
    friend load operator+(load a, const load &b) { return a += b; }
    friend load operator-(load a, const load &b) { return a -= b; }
    friend load operator*(load a, std::int64_t n)
    {
        for (std::int64_t &value : a.v)
            value *= n;
        return a;
    }
    friend bool operator==(const load &a, const load &b) { return a.v == b.v; }
    friend bool operator!=(const load &a, const load &b) { return a.v != b.v; }

    // Lexicographic order. Use covers() to compare capacities.
    friend bool operator<(const load &a, const load &b) { return a.v < b.v; }

    // Returns whether `need` fits into this in every dimension.
    bool covers(const load &need) const
    {
        for (std::size_t i = 0; i < dimensions; ++i) {
            if (v[i] < need.v[i])
                return false;
        }
        return true;
    }
};

// Returns the maximum of each dimension.
inline load maxOf(load a, const load &b)
{
    for (std::size_t i = 0; i < load::dimensions; ++i)
        a.v[i] = std::max(a.v[i], b.v[i]);
    return a;
}

// Returns the minimum of each dimension.
inline load minOf(load a, const load &b)
{
    for (std::size_t i = 0; i < load::dimensions; ++i)
        a.v[i] = std::min(a.v[i], b.v[i]);
    return a;
}

// Returns how many tasks of `need` fit into `space`; 0 if `space` is negative in a dimension that a
// task needs, and the largest 32-bit integer if a task needs nothing.
inline std::int64_t fitCount(const load &space, const load &need)
{
    std::int64_t count = std::numeric_limits<std::int32_t>::max();
    for (std::size_t i = 0; i < load::dimensions; ++i) {
        if (need.v[i] > 0)
            count = std::min(count, space.v[i] < 0 ? 0 : space.v[i] / need.v[i]);
    }
    return count;
}

} // namespace goldcrest
