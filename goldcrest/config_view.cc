#include "goldcrest/config_view.h"

#include <algorithm>

namespace goldcrest {

bool config_view::updateIfNewer(configuration received)
{
    if (received.number <= m_current->number)
        return false;
    m_current = std::make_shared<const configuration>(std::move(received));
    m_confirmedAt.reset();
    return true;
}

void config_view::confirm(revision number, duration age, time_point now)
{
    if (number != m_current->number || number == 0)
        return;
    const time_point confirmedAt = now - std::max(age, duration(0));
    // A confirmation relayed by another process may be older than the recorded one.
    if (!m_confirmedAt || confirmedAt > *m_confirmedAt)
        m_confirmedAt = confirmedAt;
}

std::optional<duration> config_view::confirmedAge(time_point now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

bool config_view::isFresh(time_point now) const
{
    return m_confirmedAt && now - *m_confirmedAt <= configFreshnessLimit;
}

} // namespace goldcrest
