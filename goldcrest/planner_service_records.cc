#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/text_prefix.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Events within this time are handled in one planning pass.
constexpr duration planDelay = 5ms;
// The pause after a pass, as a multiple of the time that the pass took, so that reports, renewals
// and queries are handled in between however long passes become.
constexpr double pausePerPass = 3;
// Each expired job removes three keys, and the platform accepts 32 entries in one transaction.
constexpr std::size_t expiredPerCommit = 10;

} // namespace

void planner_service::state::schedulePlan()
{
    if (isPlanScheduled || !isActive)
        return;
    isPlanScheduled = true;
    planDelayTimer = loop.after(std::max(planDelay, nextPassAt - loop.now()), [this] {
        isPlanScheduled = false;
        plan();
    });
}

void planner_service::state::onPlanTick()
{
    if (loop.now() >= nextPassAt)
        plan();
    probeSilentWorkers();
    requestTakeover();
    writeLearnedState();
}

void planner_service::state::plan()
{
    if (!isActive || isResigning)
        return;
    const time_point begunAt = loop.now();
    if (role->isLeaseValid(begunAt))
        planner->plan(wall(), begunAt);
    requestAdvice();
    writeDecisions();
    commit();
    sendOrders();
    sendOutlook();
    const time_point endedAt = loop.now();
    nextPassAt = endedAt + scaled(endedAt - begunAt, pausePerPass);
}

// Sends one request at a time, because the advice service accepts one at a time.
void planner_service::state::requestAdvice()
{
    if (isAdvicePending || !options.advisor)
        return;
    const std::optional<advice_request> request = planner->takeAdviceRequest();
    if (!request)
        return;
    isAdvicePending = true;
    options.advisor->advise(
        *request, guarded([this, sent = *request](const result<placement_advice> &advice) {
            isAdvicePending = false;
            planner->onAdvice(sent, advice, loop.now());
            schedulePlan();
        }));
}

void planner_service::state::commit()
{
    if (isCommitting || !isActive || !planner->hasChanges())
        return;
    isCommitting = true;
    std::vector<stored_change> changes
        = planner->takeChanges(singleCommits > 0 ? 1 : options.recordsPerCommit);
    store_transaction transaction;
    transaction.requireCreateRevision(leaderKey(options.cell), role->currentEpoch());
    writers.clear();
    for (stored_change &change : changes) {
        const std::string key = graphProgressKey(change.job);
        change.progress.writer
            = std::to_string(role->currentEpoch()) + ":" + std::to_string(++writeCount);
        writers[key] = change.progress.writer;
        const auto known = revisions.find(key);
        if (known == revisions.end())
            transaction.requireAbsent(key);
        else
            transaction.requireModRevision(key, known->second);
        transaction.put(key, encodeJobProgress(change.progress));
    }
    store.commit(std::move(transaction), commitOptions,
                 guarded([this, changes = std::move(changes)](const result<commit_reply> &outcome) {
                     isCommitting = false;
                     onCommitted(outcome, changes);
                 }));
}

void planner_service::state::onCommitted(const result<commit_reply> &outcome,
                                         const std::vector<stored_change> &changes)
{
    if (const failure *error = failureOf(outcome)) {
        log_line(log_level::Warning, "cannot store job records")
            .error(*error)
            .limit("commit")
            .write();
        if (error->number == code::StoreValueTooLarge)
            return onTooLarge(changes);
        // The next attempt has the same conditions: if this write took effect after all, the reply
        // to the next one shows it.
        commitTimer = loop.after(commitRetryPause, [this] { commit(); });
        return;
    }
    const commit_reply &reply = valueOf(outcome);
    if (reply.applied) {
        onWritten(changes, reply.at);
        return;
    }
    for (const store_entry &entry : reply.current) {
        if (entry.key == leaderKey(options.cell) || revisions[entry.key] == entry.modRevision)
            continue;
        const result<job_progress> stored = decodeJobProgress(entry.value);
        const std::string own = std::to_string(role->currentEpoch()) + ":";
        if (!failureOf(stored) && startsWith(valueOf(stored).writer, own)) {
            // An earlier write of this planner, with unknown outcome, took effect.
            revisions[entry.key] = entry.modRevision;
            continue;
        }
        log_line(log_level::Error, "job record was changed by another process")
            .field("key", entry.key)
            .write();
    }
    const bool isLeader
        = std::any_of(reply.current.begin(), reply.current.end(), [this](const store_entry &entry) {
              return entry.key == leaderKey(options.cell)
                  && entry.createRevision == role->currentEpoch();
          });
    if (!isLeader) {
        log_line(log_level::Warning, "job records rejected: another planner is the leader").write();
        return role->resign([] {}), endTerm("another planner is the leader");
    }
    forgetRemovedJobs(changes, reply);
    commitTimer = loop.after(commitRetryPause, [this] { commit(); });
}

// Forgets the ended jobs whose records are gone: their removal took effect although it got no
// answer, and a late report has changed them since. Such a change can never be stored.
void planner_service::state::forgetRemovedJobs(const std::vector<stored_change> &changes,
                                               const commit_reply &reply)
{
    std::set<std::string> present;
    for (const store_entry &entry : reply.current)
        present.insert(entry.key);
    for (const stored_change &change : changes) {
        const std::string key = graphProgressKey(change.job);
        const bool wasRemoved = revisions.count(key) > 0 && present.count(key) == 0;
        const graph_job_state stored
            = planner->stateOf(change.job).value_or(graph_job_state::Queued);
        if (!wasRemoved || stored == graph_job_state::Queued || stored == graph_job_state::Running)
            continue;
        planner->forgetJobs({change.job});
        revisions.erase(key);
        if (removedWhileListing)
            removedWhileListing->insert(change.job);
    }
}

// A record is larger than the store accepts. Nothing was written, and repeating the write would
// hold up all other jobs.
void planner_service::state::onTooLarge(const std::vector<stored_change> &changes)
{
    if (changes.size() == 1) {
        planner->abandonRecord(changes.front().job, wall());
        writeDecisions();
    } else {
        singleCommits = changes.size();
    }
    commit();
}

void planner_service::state::onWritten(const std::vector<stored_change> &changes, store_revision at)
{
    for (const stored_change &change : changes)
        revisions[graphProgressKey(change.job)] = at;
    lastWrittenAt = std::max(lastWrittenAt, at);
    planner->onStored(changes);
    singleCommits -= std::min(singleCommits, changes.size());
    commit();
    sendOrders();
}

// Removes the records of expired jobs. A job is forgotten only after its records are removed,
// because a listing that still has it would run it again.
void planner_service::state::removeExpired()
{
    if (!isActive)
        return;
    std::vector<std::string> expired = planner->expiredJobs(wall(), expiredPerCommit);
    if (expired.empty())
        return;
    store_transaction removal;
    removal.requireCreateRevision(leaderKey(options.cell), role->currentEpoch());
    for (const std::string &id : expired) {
        removal.remove(graphJobKey(id));
        removal.remove(graphCancelKey(id));
        removal.remove(graphProgressKey(id));
    }
    store.commit(std::move(removal), {call_priority::Background, 2s},
                 guarded([this, expired = std::move(expired)](const result<commit_reply> &outcome) {
                     onRemoved(outcome, expired);
                 }));
}

void planner_service::state::onRemoved(const result<commit_reply> &outcome,
                                       const std::vector<std::string> &removed)
{
    const failure *error = failureOf(outcome);
    if (error || !valueOf(outcome).applied) {
        log_line line(log_level::Warning, "cannot remove expired job records");
        if (error)
            line.error(*error);
        line.limit("expiry").write();
        return;
    }
    planner->forgetJobs(removed);
    if (removedWhileListing)
        removedWhileListing->insert(removed.begin(), removed.end());
    for (const std::string &id : removed)
        revisions.erase(graphProgressKey(id));
    // There may be more expired jobs than fit into one transaction.
    if (removed.size() == expiredPerCommit)
        removeExpired();
}

void planner_service::state::writeDecisions()
{
    for (const run_decision &decision : planner->takeDecisions()) {
        if (options.onDecision)
            options.onDecision(decision.event);
        log_line line(log_level::Info, decision.event);
        line.atEpoch(role->currentEpoch());
        if (!decision.task.job.empty())
            line.field("request", decision.task.job);
        if (decision.run > 0)
            line.field("task", formatTask(decision.task)).field("run", decision.run);
        if (!decision.worker.empty())
            line.field("worker", decision.worker);
        if (!decision.reason.empty())
            line.field("why", decision.reason);
        if (!decision.inputs.empty())
            line.field("inputs", decision.inputs);
        line.write();
    }
}

} // namespace goldcrest
