#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/text_prefix.h"

#include <utility>

namespace goldcrest {

namespace {

const call_options loadOptions{call_priority::Urgent, 2s, largeAnswer};
constexpr duration loadRetryPause = 100ms;

} // namespace

void planner_service::state::loadRecords()
{
    store.list(
        graphProgressPrefix, 0, loadOptions,
        guarded([this](const result<std::vector<store_entry>> &listed) {
            if (const failure *error = failureOf(listed)) {
                log_line(log_level::Warning, "cannot read job records").error(*error).write();
                return retry(loadRetryPause, &state::loadRecords);
            }
            std::map<std::string, job_progress> records;
            unreadableRecords.clear();
            for (const store_entry &entry : valueOf(listed)) {
                revisions[entry.key] = entry.modRevision;
                const std::string id = entry.key.substr(graphProgressPrefix.size());
                result<job_progress> decoded = decodeJobProgress(entry.value);
                if (const failure *error = failureOf(decoded)) {
                    log_line(log_level::Error, "job record is malformed, the job is held back")
                        .error(*error)
                        .field("request", id)
                        .write();
                    unreadableRecords.insert(id);
                } else {
                    records.emplace(id, std::move(valueOf(decoded)));
                }
            }
            loadIntake(std::move(records));
        }));
}

void planner_service::state::loadIntake(std::map<std::string, job_progress> records)
{
    store.list(graphIntakePrefix, 0, loadOptions,
               guarded([this, records = std::move(records)](
                           const result<std::vector<store_entry>> &listed) {
                   if (const failure *error = failureOf(listed)) {
                       log_line(log_level::Warning, "cannot read jobs").error(*error).write();
                       return retry(loadRetryPause, &state::loadRecords);
                   }
                   onLoaded(records, valueOf(listed));
               }));
}

void planner_service::state::onLoaded(const std::map<std::string, job_progress> &records,
                                      const std::vector<store_entry> &entries)
{
    applyListing(entries, records);
    planner->setView(view);
    isActive = true;
    restoreLearnedState();
    beginMaintenance();
    // Jobs that were stored between the election and the listing appear in both the listing and the
    // watch; addJob() ignores known jobs.
    watchIntake(role->currentEpoch() + 1);
    planTimer = loop.every(planInterval, [this] { onPlanTick(); });
    expiryTimer = loop.every(expiryInterval, [this] { removeExpired(); });
    log_line(log_level::Info, "planner recovered")
        .atEpoch(role->currentEpoch())
        .field("jobs", static_cast<std::int64_t>(planner->jobCount()))
        .field("unfinished", static_cast<std::int64_t>(planner->unfinishedJobs()))
        .write();
    loadAddresses();
    schedulePlan();
}

// ---- intake --------------------------------------------------------------------------------

void planner_service::state::watchIntake(store_revision from)
{
    watch = store.watch(graphIntakePrefix, from,
                        guarded([this](const watch_batch &batch) { onIntake(batch); }));
}

void planner_service::state::onIntake(const watch_batch &batch)
{
    if (batch.broken) {
        log_line(log_level::Warning, "job watch ended; reading the jobs again")
            .limit("job watch")
            .write();
        return retry(loadRetryPause, &state::relistIntake);
    }
    // Events arrive in the order of their writes, and a job is stored before its cancellation.
    for (const watch_event &event : batch.events) {
        if (!event.deleted)
            applyEntry(event.entry, {});
    }
    schedulePlan();
}

// Lists the keys again, because the watch has ended and its history may be gone. A marker is
// written before the listing, and the new watch starts right after it, since the pages of a listing
// are not a snapshot.
void planner_service::state::relistIntake()
{
    watch.reset();
    removedWhileListing.emplace();
    store_transaction mark;
    mark.requireCreateRevision(leaderKey(options.cell), role->currentEpoch())
        .put("gc/mark", std::to_string(role->currentEpoch()) + ":" + std::to_string(++writeCount));
    store.commit(
        std::move(mark), commitOptions, guarded([this](const result<commit_reply> &marked) {
            if (failureOf(marked) || !valueOf(marked).applied)
                return retry(loadRetryPause, &state::relistIntake);
            const store_revision from = valueOf(marked).at + 1;
            store.list(graphIntakePrefix, 0, loadOptions,
                       guarded([this, from](const result<std::vector<store_entry>> &listed) {
                           if (failureOf(listed))
                               return retry(loadRetryPause, &state::relistIntake);
                           applyListing(valueOf(listed), {});
                           removedWhileListing.reset();
                           watchIntake(from);
                           schedulePlan();
                       }));
        }));
}

// A listing is in key order, in which a cancellation precedes its job, so jobs are added first.
void planner_service::state::applyListing(const std::vector<store_entry> &entries,
                                          const std::map<std::string, job_progress> &records)
{
    const auto isJob
        = [](const store_entry &entry) { return startsWith(entry.key, graphJobKey({})); };
    for (const store_entry &entry : entries) {
        if (isJob(entry))
            applyEntry(entry, records);
    }
    for (const store_entry &entry : entries) {
        if (!isJob(entry))
            applyEntry(entry, records);
    }
}

void planner_service::state::applyEntry(const store_entry &entry,
                                        const std::map<std::string, job_progress> &records)
{
    const std::string jobPrefix = graphJobKey({});
    const std::string cancelPrefix = graphCancelKey({});
    if (startsWith(entry.key, jobPrefix))
        addStoredJob(entry.key.substr(jobPrefix.size()), entry.value, records);
    else if (startsWith(entry.key, cancelPrefix))
        planner->cancelJob(entry.key.substr(cancelPrefix.size()), wall());
}

void planner_service::state::addStoredJob(std::string_view id, std::string_view value,
                                          const std::map<std::string, job_progress> &records)
{
    const result<graph_job> job = decodeGraphJob(value);
    if (const failure *error = failureOf(job)) {
        log_line(log_level::Error, "job is malformed").error(*error).field("request", id).write();
        return;
    }
    // A listing may have read a job before its removal; without its record it would run again.
    if (removedWhileListing && removedWhileListing->count(valueOf(job).id) > 0)
        return;
    if (unreadableRecords.count(valueOf(job).id) > 0)
        return;
    const auto record = records.find(valueOf(job).id);
    planner->addJob(valueOf(job),
                    record == records.end() ? std::nullopt : std::optional(record->second), wall(),
                    loop.now());
}

} // namespace goldcrest
