#include "goldcrest/recent_jobs.h"

namespace goldcrest {

void recent_jobs::add(const job_key &job)
{
    if (!m_known.insert(job).second)
        return;
    m_order.push_back(job);
    if (m_order.size() <= m_limit)
        return;
    m_known.erase(m_order.front());
    m_order.pop_front();
}

} // namespace goldcrest
