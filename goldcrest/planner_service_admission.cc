#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/admission_forecast.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/message_codec.h"

#include <utility>

namespace goldcrest {

namespace {

// Least time between two outlooks.
constexpr duration outlookInterval = 500ms;
// An outlook that does not change is repeated after this, since fronts use none that is older than
// 2 s.
constexpr duration outlookRepeat = 1s;

// Returns whether two outlooks say the same of all queues.
bool haveSameForecast(admission_outlook_message a, const admission_outlook_message &b)
{
    a.sequence = b.sequence;
    a.storeRevision = b.storeRevision;
    return encodeMessage(a) == encodeMessage(b);
}

bool haveSameDetail(admission_detail_message a, const admission_detail_message &b)
{
    a.sequence = b.sequence;
    a.plannerEpoch = b.plannerEpoch;
    return encodeMessage(a) == encodeMessage(b);
}

} // namespace

// Tells the entries that asked for it how long new jobs wait.
void planner_service::state::sendOutlook()
{
    const time_point now = loop.now();
    const duration age = now - outlookSentAt;
    const bool isDue = options.admission && isActive && !outlookLinks.empty()
        && (lastOutlook.sequence == 0 || age >= outlookInterval) && role->isLeaseValid(now);
    if (!isDue)
        return;
    const admission_state input = planner->admissionState(now);
    admission_outlook_message outlook = forecastAdmission(input);
    outlook.plannerEpoch = role->currentEpoch();
    admission_detail_message detail
        = detailLinks.empty() ? admission_detail_message{} : forecastDetail(input);
    if (lastOutlook.sequence > 0 && age < outlookRepeat && haveSameForecast(outlook, lastOutlook)
        && haveSameDetail(detail, lastDetail))
        return;
    outlook.sequence = lastOutlook.sequence + 1;
    outlook.storeRevision = lastWrittenAt;
    detail.plannerEpoch = outlook.plannerEpoch;
    detail.sequence = outlook.sequence;
    for (const std::shared_ptr<peer_link> &link : outlookLinks) {
        if (detailLinks.count(link) > 0)
            link->send(detail);
        link->send(outlook);
    }
    log_line(log_level::Info, "admission outlook")
        .atEpoch(outlook.plannerEpoch)
        .field("sequence", outlook.sequence)
        .field("waiting_queues", static_cast<std::int64_t>(outlook.queues.size()))
        .field("fronts", static_cast<std::int64_t>(outlookLinks.size()))
        .limit("outlook")
        .write();
    lastOutlook = std::move(outlook);
    lastDetail = std::move(detail);
    outlookSentAt = now;
}

} // namespace goldcrest
