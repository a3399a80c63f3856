#include "goldcrest/entry_core.h"

#include "goldcrest/result_assembly.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration firstRetryDelay = 100ms;
constexpr duration maxRetryDelay = 2s;
constexpr duration sendRetryInterval = 500ms; // after a full or closed link refused a message
// How long a state query without a wait waits for the planner's update on a job not tracked here.
constexpr duration nextUpdateTimeout = 250ms;
constexpr duration explainTimeout = 3s;
constexpr duration minStoreCallTimeout = 200ms;

enum class job_stage {
    Accepting, // no record of the job is known to exist
    Settling, // the callers got OutcomeUnknown; a write may have taken effect
    Accepted,
    Finished, // callers were answered, but the outcome is not known to be in the store
};

enum class waiter_kind {
    Submit, // the wait starts at acceptance
    Final, // answered when the job has finished
    NextUpdate, // answered at the planner's next update
};

// A caller that waits for an answer about a job.
struct waiter
{
    std::uint64_t id = 0;
    waiter_kind kind = waiter_kind::Final;
    duration wait = 0ms;
    bool created = false;
    answer_callback callback;
    timer_handle timer;
};

// A job that this entry tracks, from its submission or the first query until it has finished and
// its outcome is recorded.
struct open_job
{
    job_spec spec;
    std::string bodyDigest;
    std::string token; // writer token of this entry's writes for the job
    job_stage stage = job_stage::Accepting;
    bool submittedHere = false;
    bool commitInFlight = false;
    bool writeMayHaveTakenEffect = false;
    bool submittedUnrecorded = false; // a planner may have the job without a record
    bool acceptTimedOut = false; // acceptDeadline has passed
    bool recordKnown = false;
    bool submittedToPlanner = false;
    bool cancelRequested = false;
    bool cancelSent = false;
    bool reading = false; // its record or result parts are being read
    std::int32_t retries = 0;
    time_point submittedAt;
    time_point acceptDeadline;
    time_point settleDeadline;
    time_point lastUpdateAt;
    timer_handle acceptTimer;
    timer_handle retryTimer;
    epoch plannerEpoch = 0;
    job_view view;
    std::optional<failure> notRunReason; // the record to create says "not run" for this reason
    std::optional<job_update_message> deferredOutcome; // "not run", kept until no record can exist
    std::vector<waiter> waiters;
};

using job_pointer = std::shared_ptr<open_job>;

// Returns the position of a phase within one attempt. A job that is queued again ranks behind
// Stopping, because its attempt was stopped before.
int phaseOrder(job_phase phase, std::int32_t attempt)
{
    switch (phase) {
    case job_phase::Accepted:
        return 0;
    case job_phase::Queued:
        return attempt == 0 ? 1 : 5;
    case job_phase::Starting:
        return 2;
    case job_phase::Running:
        return 3;
    case job_phase::Stopping:
        return 4;
    case job_phase::Finished:
        return 6;
    }
    return 0;
}

job_view viewOf(const job_record &record)
{
    job_view view;
    view.key = record.spec.key;
    view.cell = record.cell;
    view.className = record.spec.className;
    view.shape = record.spec.shape;
    view.phase = record.phase;
    view.attempt = record.attempt;
    view.outcome = record.outcome;
    view.why = record.why;
    view.recorded = true;
    view.acceptedAtUnixMs = record.acceptedAtUnixMs;
    return view;
}

job_answer errorAnswer(const job_key &key, failure error, bool notRun)
{
    job_answer answer;
    answer.view.key = key;
    // A reused request id belongs to another job, which may run, so notRun must not be set.
    answer.notRun = notRun && error.number != code::RequestIdReused;
    answer.error = std::move(error);
    return answer;
}

// Returns the delay before a retry: exponential backoff with jitter from the job's key, so that
// jobs do not retry at the same time.
duration retryDelay(const job_key &key, std::int32_t retries)
{
    const duration step = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(retries, 5)));
    const std::size_t spread = job_key_hash{}(key) + static_cast<std::size_t>(retries) * 7919;
    return step / 2 + duration(static_cast<std::int64_t>(spread % 1000) * step.count() / 2000);
}

} // namespace

class entry_core::impl
{
public:
    impl(platform_store &store, event_loop &loop, planner_links &planners, entry_options options)
        : m_store(store)
        , m_loop(loop)
        , m_planners(planners)
        , m_options(std::move(options))
        , m_sendRetryTimer(loop.every(sendRetryInterval, [this] { sendPending(); }))
        , m_pollTimer(loop.every(1s, [this] { pollJobsWithoutUpdates(); }))
    { }

    void submit(std::string_view body, duration wait, answer_callback callback);
    void find(const job_key &key, duration wait, answer_callback callback);
    void cancel(const job_key &key, duration wait, answer_callback callback);
    void list(const team_id &team, std::size_t limit,
              std::function<void(result<std::vector<job_view>>)> callback);
    void explain(const job_key &key, std::function<void(const explain_answer &)> callback);
    void plannerConnected(const std::string &cell, epoch plannerEpoch);
    void received(const std::string &cell, const job_update_message &update);
    void received(const explain_reply_message &reply);
    void received(const cell_status_message &status);
    void drain(duration limit);
    bool isIdle() const;

private:
    struct explain_query
    {
        job_view view;
        std::function<void(const explain_answer &)> callback;
        timer_handle timer;
    };

    // Workers of a cell as its planners reported them.
    struct reported_fleet
    {
        time_point firstReport;
        std::map<worker_id, std::pair<worker_status, time_point>> workers; // and last report time
    };

    // Wraps a callback of the store or a timer so that it does nothing once this object is
    // destroyed. The timers of an open job need it too: their tasks own the job, which has their
    // handles.
    template<typename F>
    auto guarded(F callback)
    {
        return [alive = std::weak_ptr<bool>(m_alive),
                callback = std::move(callback)](auto &&...arguments) mutable {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    job_pointer jobOf(const job_key &key) const;
    bool isOpen(const job_pointer &job) const;
    job_pointer open(const job_spec &spec);
    void drop(const job_pointer &job);

    std::optional<failure> limitReached(const job_request &request, const std::string &cell) const;
    void refuseUnlessRecorded(const job_request &request, duration wait, failure why,
                              answer_callback callback);
    void startAccepting(const job_request &request, const std::string &cell, duration wait,
                        answer_callback callback);
    void commitRecord(const job_pointer &job);
    void sendRecord(const job_pointer &job);
    void onCommit(const job_pointer &job, const result<commit_reply> &reply, bool finishedRecord);
    void onNotRunRecordCreated(const job_pointer &job);
    void onCommitFailed(const job_pointer &job, const failure &error);
    void onExistingRecord(const job_pointer &job, const job_record &record);
    void onRecordCreated(const job_pointer &job);
    void onAcceptTimeout(const job_pointer &job);
    void refuse(const job_pointer &job, const failure &why, bool notRun);
    void refuseRequest(const job_key &key, const failure &why, const answer_callback &callback);
    void onAccepted(const job_pointer &job, bool created);
    void retryLater(const job_pointer &job);
    void submitUnrecorded(const job_pointer &job);
    call_options callOptions(const open_job &job) const;
    std::string encodeRecord(const open_job &job) const;

    void addWaiter(const job_pointer &job, waiter_kind kind, duration wait, bool created,
                   answer_callback callback);
    void startWait(const job_pointer &job, waiter &pending, duration wait);
    void endWait(const job_pointer &job, std::uint64_t id);
    void answerAll(const job_pointer &job, const job_answer &answer);
    void answerNextUpdate(const job_pointer &job);
    void emit(entry_event::kind kind, const open_job &job, std::optional<failure> error);

    bool submitToPlanner(const job_pointer &job);
    void sendCancel(const job_pointer &job);
    void sendPending();
    void pollJobsWithoutUpdates();

    void readRecord(const job_key &key,
                    std::function<void(result<std::optional<job_record>>)> then);
    void track(const job_record &record, waiter_kind kind, duration wait, bool requestCancel,
               answer_callback callback);
    void trackFromRecord(const job_key &key, waiter_kind kind, duration wait, bool cancel,
                         answer_callback callback);
    void refresh(const job_pointer &job);
    void onRecordRead(const job_pointer &job, const job_record &record);
    void readResults(const job_record &record,
                     std::function<void(result<std::vector<task_result>>)> then);
    void readPart(const job_record &record, std::int32_t part, std::vector<std::string> parts,
                  std::function<void(result<std::vector<task_result>>)> then);
    void answerFinishedRecord(const job_record &record, answer_callback callback);
    bool isStale(const open_job &job, const job_update_message &update) const;
    void onFinalUpdate(const job_pointer &job, const job_update_message &update);
    void finish(const job_pointer &job, job_view view);

    platform_store &m_store;
    event_loop &m_loop;
    planner_links &m_planners;
    entry_options m_options;
    std::shared_ptr<const configuration> m_config = std::make_shared<configuration>();
    std::map<std::string, std::int64_t> m_queuedByCell;
    std::map<std::string, reported_fleet> m_fleets;
    cell_workers m_workers; // of the cells whose fleet is complete
    entry_counters m_counters;
    std::unordered_map<job_key, job_pointer, job_key_hash> m_jobs;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<std::string, epoch> m_plannerEpochs;
    std::map<team_id, std::size_t> m_openJobsByTeam;
    std::size_t m_openPayloadBytes = 0;
    std::size_t m_waitingCallers = 0; // callers without an answer
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastQuery = 0;
    std::map<std::uint64_t, explain_query> m_explainQueries;
    bool m_lastStoreCallFailed = false;
    bool m_draining = false;
    std::optional<time_point> m_drainDeadline;
    timer_handle m_drainTimer;
    timer_handle m_sendRetryTimer;
    timer_handle m_pollTimer;

    friend class entry_core;
};

// Open jobs

job_pointer entry_core::impl::jobOf(const job_key &key) const
{
    const auto found = m_jobs.find(key);
    return found == m_jobs.end() ? nullptr : found->second;
}

bool entry_core::impl::isOpen(const job_pointer &job) const
{
    return jobOf(job->spec.key) == job;
}

job_pointer entry_core::impl::open(const job_spec &spec)
{
    auto job = std::make_shared<open_job>();
    job->spec = spec;
    job->token = m_options.name + "/" + std::to_string(++m_lastToken);
    job->submittedAt = m_loop.now();
    job->lastUpdateAt = m_loop.now();
    job->view.key = spec.key;
    job->view.className = spec.className;
    job->view.shape = spec.shape;
    m_jobs[spec.key] = job;
    ++m_openJobsByTeam[spec.key.team];
    m_openPayloadBytes += spec.payload.size();
    return job;
}

void entry_core::impl::drop(const job_pointer &job)
{
    if (!isOpen(job))
        return;
    m_jobs.erase(job->spec.key);
    m_openPayloadBytes -= job->spec.payload.size();
    if (--m_openJobsByTeam[job->spec.key.team] == 0)
        m_openJobsByTeam.erase(job->spec.key.team);
    job->acceptTimer.reset();
    job->retryTimer.reset();
}

// Acceptance

void entry_core::impl::submit(std::string_view body, duration wait, answer_callback callback)
{
    const result<job_request> parsed = parseJobRequest(body, m_config->entries, m_options.limits);
    if (const failure *error = failureOf(parsed))
        return refuseRequest({}, *error, callback);
    const job_request &request = valueOf(parsed);
    const job_key &key = request.spec.key;
    if (const job_pointer job = jobOf(key)) {
        if (job->bodyDigest != request.bodyDigest)
            return refuseRequest(key,
                                 makeFailure(code::RequestIdReused,
                                             "the request id was used with a different body",
                                             "requestId"),
                                 callback);
        ++m_counters.attached;
        return addWaiter(job, waiter_kind::Submit, wait, false, std::move(callback));
    }
    const result<std::string> cell = chooseCell(request.spec, m_config->entries, m_workers);
    if (const failure *error = failureOf(cell))
        return refuseUnlessRecorded(request, wait, *error, std::move(callback));
    if (const std::optional<failure> limit = limitReached(request, valueOf(cell)))
        return refuseUnlessRecorded(request, wait, *limit, std::move(callback));
    startAccepting(request, valueOf(cell), wait, std::move(callback));
}

std::optional<failure> entry_core::impl::limitReached(const job_request &request,
                                                      const std::string &cell) const
{
    if (m_draining)
        return makeFailure(code::Draining, "this entry is shutting down; use another entry");
    if (m_jobs.size() >= m_options.maxOpenJobs)
        return makeFailure(code::QueueFull,
                           std::to_string(m_jobs.size())
                               + " jobs are open at this entry, so its limit is reached");
    if (m_openPayloadBytes + request.spec.payload.size() > m_options.maxOpenBytes)
        return makeFailure(code::QueueFull,
                           "the payloads of open jobs would exceed this entry's memory limit");
    const auto queued = m_queuedByCell.find(cell);
    if (queued != m_queuedByCell.end() && queued->second >= m_options.maxQueuedPerCell)
        return makeFailure(code::QueueFull,
                           std::to_string(queued->second) + " jobs are already queued in cell "
                               + cell);
    const auto open = m_openJobsByTeam.find(request.spec.key.team);
    const auto team = m_config->entries.teams.find(request.spec.key.team);
    if (open != m_openJobsByTeam.end() && team != m_config->entries.teams.end()
        && open->second >= static_cast<std::size_t>(std::max(team->second.maxQueued, 0)))
        return makeFailure(code::TeamLimit,
                           "the team has " + std::to_string(open->second)
                               + " open jobs at this entry, so its limit is reached",
                           "team");
    return std::nullopt;
}

// Another entry may have accepted the job before, and refusing it would then be wrong. Therefore
// the record is looked up first.
void entry_core::impl::refuseUnlessRecorded(const job_request &request, duration wait, failure why,
                                            answer_callback callback)
{
    ++m_waitingCallers;
    readRecord(request.spec.key,
               [this, request, wait, why = std::move(why),
                callback = std::move(callback)](const result<std::optional<job_record>> &read) {
                   --m_waitingCallers;
                   const bool found = failureOf(read) == nullptr && valueOf(read).has_value();
                   if (found && valueOf(read)->bodyDigest == request.bodyDigest) {
                       ++m_counters.attached;
                       return track(*valueOf(read), waiter_kind::Final, wait, false, callback);
                   }
                   ++m_counters.refused;
                   if (found)
                       return callback(
                           errorAnswer(request.spec.key,
                                       makeFailure(code::RequestIdReused,
                                                   "the request id was used with a different body",
                                                   "requestId"),
                                       true));
                   job_answer answer = errorAnswer(request.spec.key, why, true);
                   if (m_options.onEvent)
                       m_options.onEvent({entry_event::kind::Refused, answer.view, true, why});
                   callback(answer);
               });
}

void entry_core::impl::startAccepting(const job_request &request, const std::string &cell,
                                      duration wait, answer_callback callback)
{
    const job_pointer job = open(request.spec);
    job->bodyDigest = request.bodyDigest;
    job->submittedHere = true;
    job->view.cell = cell;
    job->view.acceptedAtUnixMs = m_options.unixTimeMs ? m_options.unixTimeMs() : 0;
    duration limit = m_options.acceptTimeout;
    if (request.spec.deadline > 0ms)
        limit = std::min(limit, request.spec.deadline);
    job->acceptDeadline = m_loop.now() + limit;
    job->acceptTimer = m_loop.after(limit, guarded([this, job] { onAcceptTimeout(job); }));
    addWaiter(job, waiter_kind::Submit, wait, true, std::move(callback));
    commitRecord(job);
}

call_options entry_core::impl::callOptions(const open_job &job) const
{
    call_options options;
    const auto found = m_config->entries.classes.find(job.spec.className);
    if (found != m_config->entries.classes.end() && found->second.urgent)
        options.priority = call_priority::Urgent;
    options.deadline = m_options.storeCallDeadline;
    if (job.stage == job_stage::Accepting) {
        const duration left = job.acceptDeadline - m_loop.now();
        options.deadline = std::max(minStoreCallTimeout, std::min(options.deadline, left));
    }
    return options;
}

std::string entry_core::impl::encodeRecord(const open_job &job) const
{
    job_record record;
    record.spec = job.spec;
    record.bodyDigest = job.bodyDigest;
    record.writer = job.token;
    record.cell = job.view.cell;
    record.acceptedAtUnixMs = job.view.acceptedAtUnixMs;
    if (job.notRunReason) {
        record.phase = job_phase::Finished;
        record.outcome = job_outcome::NotRun;
        record.why = job.notRunReason;
    }
    return encodeJobRecord(record);
}

void entry_core::impl::commitRecord(const job_pointer &job)
{
    if (job->commitInFlight)
        return;
    job->commitInFlight = true;
    if (!m_lastStoreCallFailed || job->writeMayHaveTakenEffect)
        return sendRecord(job);
    // A write sent during a store outage may end with an unknown outcome, and then the caller can't
    // be answered "not run". Therefore a read checks first that the store answers.
    readRecord(job->spec.key, [this, job](const result<std::optional<job_record>> &read) {
        if (!isOpen(job))
            return;
        if (failureOf(read) == nullptr && !valueOf(read))
            return sendRecord(job);
        job->commitInFlight = false;
        if (failureOf(read) != nullptr)
            return onCommitFailed(job,
                                  makeFailure(code::StoreUnavailable,
                                              "the store did not answer a read of the job record"));
        onExistingRecord(job, *valueOf(read));
    });
}

void entry_core::impl::sendRecord(const job_pointer &job)
{
    const bool finishedRecord = job->notRunReason.has_value();
    store_transaction transaction;
    transaction.requireAbsent(jobRecordKey(job->spec.key));
    transaction.put(jobRecordKey(job->spec.key), encodeRecord(*job));
    // A finished record needs no planner, so it has no index key.
    if (!finishedRecord)
        transaction.put(cellJobKey(job->view.cell, job->spec.key), job->token);
    m_store.commit(std::move(transaction), callOptions(*job),
                   guarded([this, job, finishedRecord](const result<commit_reply> &reply) {
                       job->commitInFlight = false;
                       m_lastStoreCallFailed = failureOf(reply) != nullptr;
                       if (isOpen(job))
                           onCommit(job, reply, finishedRecord);
                   }));
}

void entry_core::impl::onCommit(const job_pointer &job, const result<commit_reply> &reply,
                                bool finishedRecord)
{
    if (const failure *error = failureOf(reply))
        return onCommitFailed(job, *error);
    const commit_reply &committed = valueOf(reply);
    if (committed.applied)
        return finishedRecord ? onNotRunRecordCreated(job) : onRecordCreated(job);
    const std::string key = jobRecordKey(job->spec.key);
    for (const store_entry &existing : committed.current) {
        if (existing.key != key)
            continue;
        const result<job_record> record = decodeJobRecord(existing.value);
        if (const failure *error = failureOf(record))
            return refuse(job, *error, false);
        return onExistingRecord(job, valueOf(record));
    }
    onCommitFailed(
        job, makeFailure(code::StoreProtocol, "a conflict was reported without the current value"));
}

void entry_core::impl::onCommitFailed(const job_pointer &job, const failure &error)
{
    if (!wroteNothing(error.number))
        job->writeMayHaveTakenEffect = true;
    if (error.number == code::StoreValueTooLarge && !job->writeMayHaveTakenEffect
        && job->stage == job_stage::Accepting && !job->submittedUnrecorded)
        return refuse(job, error, true);
    if (job->stage == job_stage::Accepting && job->cancelRequested && !job->writeMayHaveTakenEffect
        && !job->submittedUnrecorded)
        return refuse(job, makeFailure(code::Cancelled, "cancelled before it was accepted"), true);
    if (job->deferredOutcome && !job->writeMayHaveTakenEffect)
        return onFinalUpdate(job, job_update_message(*job->deferredOutcome));
    if (job->stage == job_stage::Accepting && job->acceptTimedOut)
        return onAcceptTimeout(job);
    if (job->stage == job_stage::Settling && m_loop.now() >= job->settleDeadline)
        return drop(job);
    submitUnrecorded(job);
    retryLater(job);
}

void entry_core::impl::retryLater(const job_pointer &job)
{
    const duration delay = retryDelay(job->spec.key, job->retries++);
    job->retryTimer = m_loop.after(delay, guarded([this, job] {
                                       if (isOpen(job) && !job->recordKnown
                                           && job->stage != job_stage::Finished)
                                           commitRecord(job);
                                   }));
}

// Sends an idempotent job to the planner without a record: while the store is down, the planner can
// accept such a job in memory.
void entry_core::impl::submitUnrecorded(const job_pointer &job)
{
    if (job->stage != job_stage::Accepting || !job->spec.idempotent || job->submittedUnrecorded
        || job->cancelRequested)
        return;
    submit_job_message message;
    message.spec = job->spec;
    message.recorded = false;
    message.acceptedAtUnixMs = job->view.acceptedAtUnixMs;
    job->submittedUnrecorded = m_planners.send(job->view.cell, message);
}

void entry_core::impl::onExistingRecord(const job_pointer &job, const job_record &record)
{
    if (record.bodyDigest != job->bodyDigest) {
        if (job->stage == job_stage::Accepting)
            refuse(job,
                   makeFailure(code::RequestIdReused,
                               "the request id was used with a different body", "requestId"),
                   true);
        else if (job->stage == job_stage::Settling)
            drop(job);
        else
            job->recordKnown = true; // ends the attempts to create the record
        return;
    }
    const bool ours = record.writer == job->token;
    job->recordKnown = true;
    job->view.recorded = true;
    if (job->stage == job_stage::Settling && ours && record.phase == job_phase::Finished)
        return drop(job);
    if (job->stage == job_stage::Accepting || job->stage == job_stage::Settling) {
        job->view.cell = record.cell;
        job->view.acceptedAtUnixMs = record.acceptedAtUnixMs;
        job->submittedHere = ours;
        onAccepted(job, ours);
    }
    if (record.phase == job_phase::Finished)
        onRecordRead(job, record);
}

void entry_core::impl::onRecordCreated(const job_pointer &job)
{
    job->recordKnown = true;
    job->view.recorded = true;
    if (job->stage == job_stage::Accepting)
        return onAccepted(job, true);
    // The planner accepted the job before. Submitting it again reports that the record exists now.
    job->submittedToPlanner = false;
    submitToPlanner(job);
}

// The job now permanently has the recorded outcome "not run".
void entry_core::impl::onNotRunRecordCreated(const job_pointer &job)
{
    job_view view = job->view;
    view.phase = job_phase::Finished;
    view.outcome = job_outcome::NotRun;
    view.why = job->notRunReason;
    view.recorded = true;
    finish(job, std::move(view));
}

void entry_core::impl::onAccepted(const job_pointer &job, bool created)
{
    job->stage = job_stage::Accepted;
    job->acceptTimer.reset();
    job->lastUpdateAt = m_loop.now();
    if (created) {
        ++m_counters.accepted;
        if (!job->recordKnown)
            ++m_counters.acceptedUnrecorded;
        emit(entry_event::kind::Accepted, *job, std::nullopt);
    } else {
        ++m_counters.attached;
    }
    submitToPlanner(job);
    std::vector<std::uint64_t> ended;
    for (waiter &pending : job->waiters) {
        if (pending.kind != waiter_kind::Submit)
            continue;
        pending.created = pending.created && created;
        if (pending.wait > 0ms)
            startWait(job, pending, pending.wait);
        else
            ended.push_back(pending.id);
    }
    for (const std::uint64_t id : ended)
        endWait(job, id);
}

void entry_core::impl::onAcceptTimeout(const job_pointer &job)
{
    if (!isOpen(job) || job->stage != job_stage::Accepting)
        return;
    job->acceptTimedOut = true;
    if (job->commitInFlight)
        return; // the result of the commit decides, and its call has its own deadline
    if (!job->writeMayHaveTakenEffect && !job->submittedUnrecorded) {
        const bool deadline
            = job->spec.deadline > 0ms && m_loop.now() - job->submittedAt >= job->spec.deadline;
        return refuse(job,
                      deadline
                          ? makeFailure(code::DeadlinePassed,
                                        "the deadline passed while the store did not answer")
                          : makeFailure(code::StoreUnavailable,
                                        "the store did not answer, so the job was not accepted"),
                      true);
    }
    ++m_counters.unknown;
    const failure unknown = makeFailure(
        code::OutcomeUnknown, "the store did not answer in time; the job may have been accepted");
    answerAll(job, errorAnswer(job->spec.key, unknown, false));
    if (job->submittedUnrecorded)
        return drop(job); // the planner may run the job, so "not run" must not be recorded
    job->stage = job_stage::Settling;
    job->notRunReason = makeFailure(
        code::StoreUnavailable, "the store did not answer in time and the job was not accepted");
    job->settleDeadline = m_loop.now() + m_options.settleTimeout;
    commitRecord(job);
}

// Refuses a request for which no job was opened.
void entry_core::impl::refuseRequest(const job_key &key, const failure &why,
                                     const answer_callback &callback)
{
    ++m_counters.refused;
    const job_answer answer = errorAnswer(key, why, true);
    if (m_options.onEvent)
        m_options.onEvent({entry_event::kind::Refused, answer.view, true, why});
    callback(answer);
}

void entry_core::impl::refuse(const job_pointer &job, const failure &why, bool notRun)
{
    ++m_counters.refused;
    emit(entry_event::kind::Refused, *job, why);
    drop(job);
    answerAll(job, errorAnswer(job->spec.key, why, notRun));
}

// Waiting callers

void entry_core::impl::addWaiter(const job_pointer &job, waiter_kind kind, duration wait,
                                 bool created, answer_callback callback)
{
    if (m_drainDeadline)
        wait = std::max(0ms, std::min(wait, *m_drainDeadline - m_loop.now()));
    const bool alreadyFinished = job->stage == job_stage::Finished;
    const bool answerNow
        = kind == waiter_kind::Submit && job->stage == job_stage::Accepted && wait <= 0ms;
    if (alreadyFinished || answerNow) {
        job_answer answer;
        answer.created = false;
        answer.view = job->view;
        return callback(answer);
    }
    if (job->stage == job_stage::Settling)
        return callback(
            errorAnswer(job->spec.key,
                        makeFailure(code::OutcomeUnknown,
                                    "the outcome of an earlier write for the job is not known yet"),
                        false));
    ++m_waitingCallers;
    waiter pending;
    pending.id = ++m_lastWaiter;
    pending.kind = kind;
    pending.wait = wait;
    pending.created = created;
    pending.callback = std::move(callback);
    job->waiters.push_back(std::move(pending));
    if (kind != waiter_kind::Submit || job->stage == job_stage::Accepted)
        startWait(job, job->waiters.back(), wait);
}

void entry_core::impl::startWait(const job_pointer &job, waiter &pending, duration wait)
{
    if (m_drainDeadline)
        wait = std::max(0ms, std::min(wait, *m_drainDeadline - m_loop.now()));
    pending.timer = m_loop.after(wait, guarded([this, job, id = pending.id] { endWait(job, id); }));
}

void entry_core::impl::endWait(const job_pointer &job, std::uint64_t id)
{
    const auto found = std::find_if(job->waiters.begin(), job->waiters.end(),
                                    [id](const waiter &pending) { return pending.id == id; });
    if (found == job->waiters.end())
        return;
    const waiter pending = std::move(*found);
    job->waiters.erase(found);
    --m_waitingCallers;
    job_answer answer;
    answer.created = pending.created;
    answer.view = job->view;
    if (job->stage == job_stage::Accepting)
        answer.error = makeFailure(code::AnswerPending, "the job is being accepted");
    pending.callback(answer);
}

void entry_core::impl::answerAll(const job_pointer &job, const job_answer &answer)
{
    const std::vector<waiter> waiters = std::move(job->waiters);
    job->waiters.clear();
    m_waitingCallers -= waiters.size();
    for (const waiter &pending : waiters) {
        job_answer own = answer;
        own.created = !answer.error && pending.created;
        pending.callback(own);
    }
}

void entry_core::impl::answerNextUpdate(const job_pointer &job)
{
    std::vector<std::uint64_t> ended;
    for (const waiter &pending : job->waiters) {
        if (pending.kind == waiter_kind::NextUpdate)
            ended.push_back(pending.id);
    }
    for (const std::uint64_t id : ended)
        endWait(job, id);
}

void entry_core::impl::emit(entry_event::kind kind, const open_job &job,
                            std::optional<failure> error)
{
    if (!m_options.onEvent)
        return;
    m_options.onEvent({kind, job.view, job.submittedHere, std::move(error)});
}

// Planners

bool entry_core::impl::submitToPlanner(const job_pointer &job)
{
    submit_job_message message;
    message.spec = job->spec;
    message.recorded = job->recordKnown;
    message.acceptedAtUnixMs = job->view.acceptedAtUnixMs;
    job->submittedToPlanner = m_planners.send(job->view.cell, message);
    if (job->submittedToPlanner && job->cancelRequested)
        sendCancel(job);
    return job->submittedToPlanner;
}

void entry_core::impl::sendCancel(const job_pointer &job)
{
    job->cancelSent = m_planners.send(job->view.cell, cancel_job_message{job->spec.key});
}

void entry_core::impl::plannerConnected(const std::string &cell, epoch plannerEpoch)
{
    epoch &known = m_plannerEpochs[cell];
    known = std::max(known, plannerEpoch);
    for (const auto &[key, job] : m_jobs) {
        if (job->view.cell != cell)
            continue;
        if (job->stage == job_stage::Accepting) {
            // The new planner gets the job too if the store has failed for it.
            if (job->submittedUnrecorded) {
                job->submittedUnrecorded = false; // makes submitUnrecorded() send it again
                submitUnrecorded(job);
                job->submittedUnrecorded = true; // the previous planner may still have the job
            } else if (job->retries > 0) {
                submitUnrecorded(job);
            }
        }
        if (job->stage != job_stage::Accepted)
            continue;
        ++m_counters.resubmitted;
        job->cancelSent = false;
        submitToPlanner(job);
    }
}

void entry_core::impl::sendPending()
{
    for (const auto &[key, job] : m_jobs) {
        if (job->stage != job_stage::Accepted)
            continue;
        if (!job->submittedToPlanner)
            submitToPlanner(job);
        else if (job->cancelRequested && !job->cancelSent)
            sendCancel(job);
    }
}

bool entry_core::impl::isStale(const open_job &job, const job_update_message &update) const
{
    if (update.plannerEpoch < job.plannerEpoch || update.attempt < job.view.attempt)
        return true;
    const auto known = m_plannerEpochs.find(job.view.cell);
    if (known != m_plannerEpochs.end() && update.plannerEpoch < known->second)
        return true;
    return update.attempt == job.view.attempt && update.plannerEpoch == job.plannerEpoch
        && phaseOrder(update.phase, update.attempt) < phaseOrder(job.view.phase, job.view.attempt);
}

void entry_core::impl::received(const std::string &cell, const job_update_message &update)
{
    const job_pointer job = jobOf(update.job);
    if (!job || job->view.cell != cell || job->stage == job_stage::Settling
        || isStale(*job, update)) {
        ++m_counters.droppedUpdates;
        return;
    }
    if (job->stage == job_stage::Finished) {
        if (update.phase == job_phase::Finished && update.recorded)
            drop(job);
        return;
    }
    job->lastUpdateAt = m_loop.now();
    job->plannerEpoch = update.plannerEpoch;
    if (job->stage == job_stage::Accepting) {
        if (!job->submittedUnrecorded) {
            ++m_counters.droppedUpdates;
            return;
        }
        onAccepted(job, true);
    }
    if (update.phase == job_phase::Finished)
        return onFinalUpdate(job, update);
    job->view.phase = update.phase;
    job->view.attempt = update.attempt;
    job->view.startDelay = update.startDelay;
    answerNextUpdate(job);
}

void entry_core::impl::onFinalUpdate(const job_pointer &job, const job_update_message &update)
{
    const job_outcome outcome = update.outcome.value_or(job_outcome::Unknown);
    // A new planner would start a recorded job again if the outcome "not run" is not in the store.
    // Such an outcome is not reported to callers before it is recorded.
    const bool recordPossible
        = job->recordKnown || job->writeMayHaveTakenEffect || job->commitInFlight;
    if (outcome == job_outcome::NotRun && !update.recorded && recordPossible) {
        if (!job->recordKnown) {
            job->deferredOutcome = update;
            job->notRunReason = update.why.value_or(
                makeFailure(code::Cancelled, "the planner did not run the job"));
        }
        return;
    }
    job_view view = job->view;
    view.phase = job_phase::Finished;
    view.attempt = update.attempt;
    view.outcome = outcome;
    view.why = update.why;
    view.recorded = update.recorded;
    view.startDelay = update.startDelay;
    const bool completed = outcome == job_outcome::Completed;
    result<std::vector<task_result>> results
        = assembleResults(update.results, completed ? job->spec.tasks : 0);
    if (failureOf(results) == nullptr) {
        view.results = std::move(valueOf(results));
        return finish(job, std::move(view));
    }
    // The message lacks some or all results. Once they are recorded, they are read from the store.
    if (update.recorded)
        refresh(job);
}

void entry_core::impl::finish(const job_pointer &job, job_view view)
{
    ++m_counters.finished;
    view.startDelay = std::max(view.startDelay, job->view.startDelay);
    job->view = std::move(view);
    emit(entry_event::kind::Finished, *job, std::nullopt);
    job_answer answer;
    answer.view = job->view;
    job->stage = job_stage::Finished;
    // While its outcome is not in the store, only this entry can answer queries about the job.
    if (job->view.recorded)
        drop(job);
    else
        job->retryTimer
            = m_loop.after(m_options.settleTimeout, guarded([this, job] { drop(job); }));
    answerAll(job, answer);
}

// Records

void entry_core::impl::readRecord(const job_key &key,
                                  std::function<void(result<std::optional<job_record>>)> then)
{
    call_options options;
    options.deadline = m_options.storeCallDeadline;
    m_store.get(
        jobRecordKey(key), options,
        guarded([this, then = std::move(then)](const result<std::optional<store_entry>> &read) {
            m_lastStoreCallFailed = failureOf(read) != nullptr;
            if (const failure *error = failureOf(read))
                return then(*error);
            if (!valueOf(read))
                return then(std::optional<job_record>());
            result<job_record> record = decodeJobRecord(valueOf(read)->value);
            if (const failure *error = failureOf(record))
                return then(*error);
            then(std::optional<job_record>(std::move(valueOf(record))));
        }));
}

void entry_core::impl::track(const job_record &record, waiter_kind kind, duration wait,
                             bool requestCancel, answer_callback callback)
{
    if (record.phase == job_phase::Finished)
        return answerFinishedRecord(record, std::move(callback));
    job_pointer job = jobOf(record.spec.key);
    if (!job && m_jobs.size() >= m_options.maxOpenJobs) {
        job_answer answer;
        answer.view = viewOf(record);
        return callback(answer);
    }
    if (!job) {
        job = open(record.spec);
        job->bodyDigest = record.bodyDigest;
        job->view = viewOf(record);
        job->recordKnown = true;
        job->stage = job_stage::Accepted;
        job->cancelRequested = requestCancel;
        submitToPlanner(job);
    } else if (requestCancel) {
        job->cancelRequested = true;
        sendCancel(job);
    }
    addWaiter(job, kind, wait, false, std::move(callback));
}

void entry_core::impl::answerFinishedRecord(const job_record &record, answer_callback callback)
{
    ++m_waitingCallers;
    readResults(
        record,
        [this, record, callback = std::move(callback)](result<std::vector<task_result>> results) {
            --m_waitingCallers;
            if (const failure *error = failureOf(results))
                return callback(errorAnswer(record.spec.key, *error, false));
            job_answer answer;
            answer.view = viewOf(record);
            answer.view.results = std::move(valueOf(results));
            callback(answer);
        });
}

void entry_core::impl::readResults(const job_record &record,
                                   std::function<void(result<std::vector<task_result>>)> then)
{
    const bool completed = record.outcome == job_outcome::Completed;
    const std::int32_t tasks = completed ? record.spec.tasks : 0;
    if (record.resultParts == 0)
        return then(assembleResults(record.results, tasks));
    readPart(record, 0, {},
             [tasks, then = std::move(then)](result<std::vector<task_result>> pieces) {
                 if (const failure *error = failureOf(pieces))
                     return then(*error);
                 then(assembleResults(std::move(valueOf(pieces)), tasks));
             });
}

void entry_core::impl::readPart(const job_record &record, std::int32_t part,
                                std::vector<std::string> parts,
                                std::function<void(result<std::vector<task_result>>)> then)
{
    if (part == record.resultParts)
        return then(decodeResultParts(parts));
    call_options options;
    options.deadline = m_options.storeCallDeadline;
    m_store.get(resultPartKey(record.spec.key, record.attempt, part), options,
                guarded([this, record, part, parts = std::move(parts), then = std::move(then)](
                            const result<std::optional<store_entry>> &read) mutable {
                    if (const failure *error = failureOf(read))
                        return then(*error);
                    if (!valueOf(read))
                        return then(makeFailure(code::StoreProtocol,
                                                "result part " + std::to_string(part)
                                                    + " is not in the store"));
                    parts.push_back(valueOf(read)->value);
                    readPart(record, part + 1, std::move(parts), std::move(then));
                }));
}

// Reads the record of an open job and finishes the job if the record has an outcome.
void entry_core::impl::refresh(const job_pointer &job)
{
    if (job->reading)
        return;
    job->reading = true;
    readRecord(job->spec.key, [this, job](const result<std::optional<job_record>> &read) {
        job->reading = false;
        if (!isOpen(job) || job->stage != job_stage::Accepted || failureOf(read) != nullptr
            || !valueOf(read))
            return;
        onRecordRead(job, *valueOf(read));
    });
}

void entry_core::impl::onRecordRead(const job_pointer &job, const job_record &record)
{
    if (record.bodyDigest != job->bodyDigest)
        return;
    job->recordKnown = true;
    job->view.recorded = true;
    job->lastUpdateAt = m_loop.now();
    if (record.phase != job_phase::Finished || job->reading)
        return;
    job->reading = true;
    readResults(record, [this, job, record](result<std::vector<task_result>> results) {
        job->reading = false;
        if (!isOpen(job) || job->stage != job_stage::Accepted || failureOf(results) != nullptr)
            return; // pollJobsWithoutUpdates() retries after a store failure
        job_view view = viewOf(record);
        view.results = std::move(valueOf(results));
        finish(job, std::move(view));
    });
}

// Reads the records of jobs whose planner has sent no update for updateTimeout. Covers a lost
// update and a cell without a planner.
void entry_core::impl::pollJobsWithoutUpdates()
{
    std::vector<job_pointer> overdue;
    for (const auto &[key, job] : m_jobs) {
        const bool wanted = !job->waiters.empty() || m_draining;
        if (wanted && job->stage == job_stage::Accepted && !job->reading
            && m_loop.now() - job->lastUpdateAt >= m_options.updateTimeout)
            overdue.push_back(job);
    }
    std::sort(overdue.begin(), overdue.end(), [](const job_pointer &a, const job_pointer &b) {
        return a->lastUpdateAt < b->lastUpdateAt;
    });
    if (overdue.size() > m_options.maxPollsPerSecond)
        overdue.resize(m_options.maxPollsPerSecond);
    for (const job_pointer &job : overdue) {
        job->lastUpdateAt = m_loop.now(); // so that the reads rotate through all overdue jobs
        refresh(job);
    }
}

// Queries

void entry_core::impl::find(const job_key &key, duration wait, answer_callback callback)
{
    const waiter_kind kind = wait > 0ms ? waiter_kind::Final : waiter_kind::NextUpdate;
    if (const job_pointer job = jobOf(key)) {
        if (kind == waiter_kind::NextUpdate && job->stage == job_stage::Accepted) {
            job_answer answer;
            answer.view = job->view;
            return callback(answer);
        }
        return addWaiter(job, kind, wait, false, std::move(callback));
    }
    trackFromRecord(key, kind, kind == waiter_kind::Final ? wait : nextUpdateTimeout, false,
                    std::move(callback));
}

// Reads the record of a job that this entry does not track, and continues with track().
void entry_core::impl::trackFromRecord(const job_key &key, waiter_kind kind, duration wait,
                                       bool cancel, answer_callback callback)
{
    ++m_waitingCallers;
    readRecord(
        key,
        [this, key, kind, wait, cancel,
         callback = std::move(callback)](const result<std::optional<job_record>> &read) {
            --m_waitingCallers;
            if (const failure *error = failureOf(read))
                return callback(errorAnswer(key, *error, false));
            if (!valueOf(read))
                return callback(errorAnswer(
                    key,
                    makeFailure(code::UnknownRequest, "no job is recorded for this request id"),
                    false));
            track(*valueOf(read), kind, wait, cancel, callback);
        });
}

void entry_core::impl::cancel(const job_key &key, duration wait, answer_callback callback)
{
    if (const job_pointer job = jobOf(key)) {
        job->cancelRequested = true;
        addWaiter(job, waiter_kind::Final, wait, false, std::move(callback));
        const bool notStarted = job->stage == job_stage::Accepting && !job->commitInFlight
            && !job->writeMayHaveTakenEffect && !job->submittedUnrecorded;
        if (notStarted)
            refuse(job, makeFailure(code::Cancelled, "cancelled before it was accepted"), true);
        else if (job->stage == job_stage::Accepted)
            sendCancel(job);
        return;
    }
    trackFromRecord(key, waiter_kind::Final, wait, true, std::move(callback));
}

void entry_core::impl::list(const team_id &team, std::size_t limit,
                            std::function<void(result<std::vector<job_view>>)> callback)
{
    call_options options;
    options.deadline = m_options.storeCallDeadline;
    options.priority = call_priority::Background;
    m_store.list(jobRecordKey({team, ""}), limit, options,
                 guarded([this, callback = std::move(callback)](
                             const result<std::vector<store_entry>> &read) {
                     if (const failure *error = failureOf(read))
                         return callback(*error);
                     std::vector<job_view> views;
                     for (const store_entry &entry : valueOf(read)) {
                         const result<job_record> record = decodeJobRecord(entry.value);
                         if (failureOf(record) != nullptr)
                             continue;
                         const job_pointer job = jobOf(valueOf(record).spec.key);
                         const bool newer = job && job->stage == job_stage::Accepted
                             && valueOf(record).phase != job_phase::Finished;
                         views.push_back(newer ? job->view : viewOf(valueOf(record)));
                     }
                     callback(std::move(views));
                 }));
}

void entry_core::impl::explain(const job_key &key,
                               std::function<void(const explain_answer &)> callback)
{
    find(key, 0ms, [this, key, callback = std::move(callback)](const job_answer &found) {
        explain_answer answer;
        answer.error = found.error;
        answer.view = found.view;
        if (found.error || found.view.phase == job_phase::Finished)
            return callback(answer);
        const std::uint64_t query = ++m_lastQuery;
        if (!m_planners.send(found.view.cell, explain_job_message{query, key})) {
            answer.error = makeFailure(code::PlannerUnreachable,
                                       "no link to the planner of cell " + found.view.cell);
            return callback(answer);
        }
        explain_query &open = m_explainQueries[query];
        open.view = found.view;
        open.callback = callback;
        open.timer = m_loop.after(explainTimeout, [this, query] {
            const auto ended = m_explainQueries.find(query);
            if (ended == m_explainQueries.end())
                return;
            explain_answer late;
            late.view = ended->second.view;
            late.error = makeFailure(code::PlannerUnreachable,
                                     "the planner did not answer the explain query in time");
            const auto answerTo = std::move(ended->second.callback);
            m_explainQueries.erase(ended);
            answerTo(late);
        });
    });
}

void entry_core::impl::received(const explain_reply_message &reply)
{
    const auto found = m_explainQueries.find(reply.query);
    if (found == m_explainQueries.end())
        return;
    explain_answer answer;
    answer.view = found->second.view;
    answer.reply = reply;
    const auto callback = std::move(found->second.callback);
    m_explainQueries.erase(found);
    callback(answer);
}

void entry_core::impl::received(const cell_status_message &status)
{
    m_queuedByCell[status.cell] = status.queuedJobs;
    if (status.workers.empty())
        return;
    const time_point now = m_loop.now();
    reported_fleet &fleet = m_fleets[status.cell];
    if (fleet.workers.empty())
        fleet.firstReport = now;
    for (const worker_status &worker : status.workers)
        fleet.workers[worker.worker] = {worker, now};
    for (auto worker = fleet.workers.begin(); worker != fleet.workers.end();) {
        const bool forgotten = now - worker->second.second > unreportedWorkerRetention;
        worker = forgotten ? fleet.workers.erase(worker) : std::next(worker);
    }
    if (now - fleet.firstReport < fleetSettleTime)
        return;
    std::vector<worker_status> &known = m_workers[status.cell];
    known.clear();
    for (const auto &[id, worker] : fleet.workers)
        known.push_back(worker.first);
}

void entry_core::impl::drain(duration limit)
{
    m_draining = true;
    m_drainDeadline = m_loop.now() + limit;
    m_drainTimer = m_loop.after(limit, [this] {
        for (const auto &[key, job] : std::unordered_map(m_jobs)) {
            std::vector<std::uint64_t> ids;
            for (const waiter &pending : job->waiters)
                ids.push_back(pending.id);
            for (const std::uint64_t id : ids)
                endWait(job, id);
        }
    });
}

bool entry_core::impl::isIdle() const
{
    if (m_waitingCallers > 0 || !m_explainQueries.empty())
        return false;
    // Jobs without a record, writes with unknown outcome and pending cancellations are known to
    // this process only.
    return std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto &entry) {
        const open_job &job = *entry.second;
        return job.stage == job_stage::Accepted && job.recordKnown && !job.cancelRequested;
    });
}

entry_core::entry_core(platform_store &store, event_loop &loop, planner_links &planners,
                       entry_options options)
    : m_impl(std::make_unique<impl>(store, loop, planners, std::move(options)))
{ }

entry_core::~entry_core() = default;

void entry_core::setConfiguration(std::shared_ptr<const configuration> config)
{
    m_impl->m_config = std::move(config);
}

void entry_core::submit(std::string_view body, duration wait, answer_callback callback)
{
    m_impl->submit(body, wait, std::move(callback));
}

void entry_core::find(const job_key &job, duration wait, answer_callback callback)
{
    m_impl->find(job, wait, std::move(callback));
}

void entry_core::cancel(const job_key &job, duration wait, answer_callback callback)
{
    m_impl->cancel(job, wait, std::move(callback));
}

void entry_core::list(const team_id &team, std::size_t limit,
                      std::function<void(result<std::vector<job_view>>)> callback)
{
    m_impl->list(team, limit, std::move(callback));
}

void entry_core::explain(const job_key &job, std::function<void(const explain_answer &)> callback)
{
    m_impl->explain(job, std::move(callback));
}

void entry_core::plannerConnected(const std::string &cell, epoch plannerEpoch)
{
    m_impl->plannerConnected(cell, plannerEpoch);
}

void entry_core::received(const std::string &cell, const job_update_message &update)
{
    m_impl->received(cell, update);
}

void entry_core::received(const std::string &, const explain_reply_message &reply)
{
    m_impl->received(reply);
}

void entry_core::received(const cell_status_message &status)
{
    m_impl->received(status);
}

void entry_core::drain(duration limit)
{
    m_impl->drain(limit);
}

bool entry_core::isIdle() const
{
    return m_impl->isIdle();
}

std::size_t entry_core::openJobs() const
{
    return m_impl->m_jobs.size();
}

const entry_counters &entry_core::counters() const
{
    return m_impl->m_counters;
}

const cell_workers &entry_core::knownWorkers() const
{
    return m_impl->m_workers;
}

} // namespace goldcrest
