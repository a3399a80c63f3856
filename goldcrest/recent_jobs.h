#pragma once

// The jobs that were added last, at most a fixed number of them.
//
//   recent_jobs finished(20000);
//   finished.add(job.key);
//   if (finished.contains(key)) ...

#include "goldcrest/model.h"

#include <cstddef>
#include <deque>
#include <set>

namespace goldcrest {

class recent_jobs
{
public:
    // @param limit jobs that are kept; more than 0
    explicit recent_jobs(std::size_t limit)
        : m_limit(limit)
    { }

    // Adds a job and forgets the one that was added first if there are too many. A job that is
    // known keeps its place.
    void add(const job_key &job);
    bool contains(const job_key &job) const { return m_known.count(job) != 0; }

private:
    std::size_t m_limit;
    std::set<job_key> m_known;
    std::deque<job_key> m_order; // in which they were added
};

} // namespace goldcrest
