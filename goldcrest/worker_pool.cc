#include "goldcrest/worker_pool.h"

#include <algorithm>

namespace goldcrest {

bool pool_worker::hasLabel(const std::string &label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

pool_worker &worker_pool::at(const worker_id &id)
{
    pool_worker &worker = m_workers[id];
    worker.id = id;
    return worker;
}

pool_worker *worker_pool::find(const worker_id &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

} // namespace goldcrest
