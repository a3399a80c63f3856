#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/text_prefix.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Coalesces the events of one moment into one pass.
constexpr duration planDelay = 5ms;
// Each expired job is three keys of one transaction, of which the platform takes 32.
constexpr std::size_t expiredPerCommit = 10;

} // namespace

void planner_service::state::schedulePlan()
{
    if (isPlanScheduled || !isActive)
        return;
    isPlanScheduled = true;
    planSoon = loop.after(planDelay, [this] {
        isPlanScheduled = false;
        plan();
    });
}

void planner_service::state::plan()
{
    if (!isActive || isResigning)
        return;
    if (role->leaseHolds(loop.now()))
        planner->plan(wall(), loop.now());
    askAdvisor();
    writeDecisions();
    commit();
    sendOrders();
}

// One question at a time, as the service takes them.
void planner_service::state::askAdvisor()
{
    if (isAsking || !options.advisor)
        return;
    const std::optional<advice_question> question = planner->takeQuestion();
    if (!question)
        return;
    isAsking = true;
    options.advisor->advise(
        *question, guarded([this, asked = *question](const result<placement_advice> &advice) {
            isAsking = false;
            planner->onAdvice(asked, advice, loop.now());
            schedulePlan();
        }));
}

void planner_service::state::commit()
{
    if (isCommitting || !isActive || !planner->hasChanges())
        return;
    isCommitting = true;
    std::vector<stored_change> changes = planner->takeChanges(options.recordsPerCommit);
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
        log_line(log_level::Warning, "records not stored").error(*error).limit("commit").write();
        // The same conditions hold for the next try: if this write took effect after all, the next
        // one finds it.
        commitTimer = loop.after(commitRetryPause, [this] { commit(); });
        return;
    }
    const commit_reply &reply = valueOf(outcome);
    if (reply.applied) {
        noteWritten(changes, reply.at);
        return;
    }
    for (const store_entry &entry : reply.current) {
        if (entry.key == leaderKey(options.cell) || revisions[entry.key] == entry.modRevision)
            continue;
        const result<job_progress> stored = decodeJobProgress(entry.value);
        const std::string own = std::to_string(role->currentEpoch()) + ":";
        if (!failureOf(stored) && startsWith(valueOf(stored).writer, own)) {
            // An earlier write of this planner whose answer was lost.
            revisions[entry.key] = entry.modRevision;
            continue;
        }
        log_line(log_level::Error, "record written by another").field("key", entry.key).write();
    }
    const bool isLeader
        = std::any_of(reply.current.begin(), reply.current.end(), [this](const store_entry &entry) {
              return entry.key == leaderKey(options.cell)
                  && entry.createRevision == role->currentEpoch();
          });
    if (!isLeader) {
        log_line(log_level::Warning, "records refused: another planner leads").write();
        return role->resign([] {}), end("another planner leads");
    }
    commitTimer = loop.after(commitRetryPause, [this] { commit(); });
}

void planner_service::state::noteWritten(const std::vector<stored_change> &changes,
                                         store_revision at)
{
    for (const stored_change &change : changes)
        revisions[graphProgressKey(change.job)] = at;
    planner->onStored(changes);
    commit();
    sendOrders();
}

// A job stays known until its records are gone: a listing that still has it would run it again.
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
        log_line line(log_level::Warning, "expired records not removed");
        if (error)
            line.error(*error);
        line.limit("expiry").write();
        return;
    }
    planner->forgetJobs(removed);
    for (const std::string &id : removed)
        revisions.erase(graphProgressKey(id));
    // There may be more than one transaction takes.
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
