#include "goldcrest/refusal_log.h"

#include "goldcrest/log_fields.h"

#include <cstdint>
#include <string>

namespace goldcrest {

void logRefusals(memory_budget &budget, time_point now)
{
    const auto counts = budget.takeSummary(now);
    if (!counts)
        return;
    log_line line(log_level::Warning, "clients refused");
    for (std::size_t i = 0; i < refusalCauses; ++i) {
        if ((*counts)[i] > 0)
            line.field(nameOf(static_cast<refusal_cause>(i)),
                       static_cast<std::int64_t>((*counts)[i]));
    }
    if (const std::string last = budget.takeLastRefusal(); !last.empty())
        line.field("last", last);
    line.field("used_bytes", static_cast<std::int64_t>(budget.used()))
        .field("limit_bytes", static_cast<std::int64_t>(budget.limit()))
        .write();
}

} // namespace goldcrest
