#include "goldcrest/planner_daemon.h"

#include "goldcrest/catalogue_codec.h"
#include "goldcrest/log_fields.h"

#include <utility>

namespace goldcrest {

namespace {

constexpr duration tickInterval = 200ms;

// A gap between two ticks of at least minPause counts as a pause of this process. During
// backlogWindow after a pause, messages from before it may still be read.
constexpr duration minPause = 1s;
constexpr duration backlogWindow = 500ms;

constexpr duration retentionRenewal = 1h;
constexpr duration handoverPoll = 50ms;
constexpr duration handoverLimit = 5s;
constexpr duration recordDeadline = 2s;

// Maximum number of concurrent record reads during recovery, well below the store's read rate.
constexpr std::size_t maxParallelReads = 32;

call_options urgentOptions(duration deadline)
{
    return {call_priority::Urgent, deadline};
}

call_options normalOptions()
{
    return {call_priority::Normal, recordDeadline};
}

} // namespace

write_answer writeAnswerOf(const result<commit_reply> &reply, std::string_view leader, epoch number)
{
    if (const failure *error = failureOf(reply)) {
        switch (error->number) {
        case code::StoreAmbiguous:
            return {write_status::Ambiguous, 0};
        case code::StoreValueTooLarge:
        case code::StoreProtocol:
            return {write_status::Rejected, 0};
        default:
            return {write_status::Unavailable, 0};
        }
    }
    const commit_reply &commit = valueOf(reply);
    if (commit.applied)
        return {write_status::Applied, commit.at};
    for (const store_entry &entry : commit.current) {
        if (entry.key == leader && entry.createRevision == number)
            return {write_status::Conflict, 0};
    }
    return {write_status::NotLeader, 0};
}

planner_daemon::planner_daemon(const planner_environment &environment,
                               planner_daemon_options options)
    : m_environment(environment)
    , m_cell(options.cell)
    , m_epoch(options.number)
    , m_onStepDown(std::move(options.onStepDown))
    , m_core(planner_options{options.cell, options.worker, options.number, unixTimeMs(), {}},
             std::move(options.engine), std::move(options.policy), environment.loop.now())
    , m_configs(environment.store, environment.loop, m_configView, "planner-" + options.cell,
                [this] { onConfiguration(); })
    , m_tokens("planner-" + options.cell)
{
    event_loop &loop = m_environment.loop;
    m_environment.history.write(history_event("epoch").number("epoch", m_epoch));
    m_tickedAt = loop.now();
    m_tickTimer = loop.every(tickInterval, [this] { tick(); });
    m_retentionTimer = loop.every(retentionRenewal, [this] { renewRetention(); });
    loop.post([this, alive = m_alive] {
        if (!*alive)
            return;
        m_configs.start();
        renewRetention();
        tick();
    });
}

planner_daemon::~planner_daemon()
{
    *m_alive = false;
}

void planner_daemon::addLink(link_id id, std::shared_ptr<peer_link> link)
{
    const hello_message &peer = link->peer();
    const bool isEntry = peer.role == "entry";
    const std::string name = peer.name;
    m_links[id] = std::move(link);
    if (isEntry)
        m_core.entryOpened(id, name, m_environment.loop.now());
    executeActions();
}

void planner_daemon::linkClosed(link_id id)
{
    if (m_links.erase(id) == 0)
        return;
    m_core.linkClosed(id, m_environment.loop.now());
    executeActions();
}

void planner_daemon::received(link_id id, const message &content)
{
    const time_point now = m_environment.loop.now();
    updateLease();
    const auto *push = std::get_if<config_push_message>(&content);
    if (!push) {
        m_core.received(id, content, now);
        executeActions();
        return;
    }
    if (!push->document.empty() && push->number > m_core.configRevision()) {
        const result<configuration> parsed = parseConfiguration(push->document);
        if (const failure *error = failureOf(parsed))
            log_line(log_level::Warning, "pushed configuration is invalid").error(*error).write();
        else if (valueOf(parsed).number == push->number)
            m_core.configurationOffered(valueOf(parsed), push->confirmedAge + maxDeliveryDelay(now),
                                        now);
    } else {
        m_core.configurationConfirmed(push->number, push->confirmedAge + maxDeliveryDelay(now),
                                      now);
    }
    m_core.acknowledgeConfiguration(id);
    executeActions();
}

// Detects a pause of this process. After one, the sockets hold messages that may be as old as the
// pause.
void planner_daemon::detectPause(time_point now)
{
    const duration since = now - m_tickedAt;
    m_tickedAt = now;
    if (since < minPause)
        return;
    m_pauseLength = since;
    m_resumedAt = now;
}

// Returns an upper bound of the time that a message read now has waited in a socket of this
// process.
duration planner_daemon::maxDeliveryDelay(time_point now) const
{
    const duration sinceTick = now - m_tickedAt;
    if (sinceTick >= minPause)
        return sinceTick;
    return now - m_resumedAt < backlogWindow ? m_pauseLength : 0ms;
}

void planner_daemon::tick()
{
    const time_point now = m_environment.loop.now();
    detectPause(now);
    updateLease();
    const std::optional<duration> age = m_configView.confirmedAge(now);
    if (age)
        m_core.configurationConfirmed(m_configView.current().number, *age, now);
    m_core.tick(now);
    executeActions();
}

// The lease may have expired during a pause of this process, so it is checked before each event.
void planner_daemon::updateLease()
{
    const time_point now = m_environment.loop.now();
    const membership &leadership = m_environment.leadership;
    m_core.leaseChanged(leadership.isLeaseValid(now), leadership.storeUnresponsive(), now);
}

void planner_daemon::onConfiguration()
{
    const time_point now = m_environment.loop.now();
    m_core.configurationOffered(m_configView.current(), m_configView.confirmedAge(now), now);
    executeActions();
}

void planner_daemon::renewRetention()
{
    m_environment.store.grantLease(recordRetention + retentionRenewal,
                                   {call_priority::Background, recordDeadline},
                                   [this, alive = m_alive](const result<lease_id> &answer) {
                                       if (*alive && !failureOf(answer))
                                           m_retentionLease = valueOf(answer);
                                   });
}

void planner_daemon::executeActions()
{
    logRevision();
    std::vector<planner_action> actions = m_core.takeActions();
    for (planner_action &action : actions)
        std::visit([this](auto &typed) { execute(typed); }, action);
}

void planner_daemon::logRevision()
{
    if (m_core.configRevision() == m_loggedRevision)
        return;
    m_loggedRevision = m_core.configRevision();
    m_environment.history.write(history_event("configuration")
                                    .number("epoch", m_epoch)
                                    .number("revision", m_loggedRevision));
}

void planner_daemon::writeHistory(const message &content)
{
    history_log &history = m_environment.history;
    if (!history.isOpen())
        return;
    const auto writeEvent = [&](std::string_view event, const attempt_id &attempt) {
        history.write(history_event(event).attempt(attempt).number("epoch", m_epoch));
    };
    if (const auto *hold = std::get_if<hold_message>(&content)) {
        history.write(history_event("hold")
                          .attempt(hold->gang.attempt)
                          .text("worker", hold->gang.own.worker)
                          .number("tasks", hold->gang.own.tasks)
                          .number("epoch", m_epoch)
                          .number("revision", hold->configRevision));
    } else if (const auto *start = std::get_if<start_message>(&content)) {
        writeEvent("sendStart", start->attempt);
    } else if (const auto *abort = std::get_if<abort_message>(&content)) {
        writeEvent("abort", abort->attempt);
    } else if (const auto *stop = std::get_if<stop_message>(&content)) {
        writeEvent("stop", stop->attempt);
    } else if (const auto *update = std::get_if<job_update_message>(&content)) {
        if (update->outcome)
            history.write(history_event("result")
                              .attempt({update->job, update->attempt})
                              .number("outcome", static_cast<std::int64_t>(*update->outcome))
                              .number("recorded", update->recorded ? 1 : 0)
                              .number("epoch", m_epoch));
    }
}

void planner_daemon::execute(const send_message &action)
{
    const auto found = m_links.find(action.link);
    if (found == m_links.end())
        return;
    writeHistory(action.content);
    found->second->send(action.content);
}

void planner_daemon::execute(const step_down &action)
{
    log_line(log_level::Warning, "planner steps down")
        .atEpoch(m_epoch)
        .field("why", action.reason)
        .write();
    m_environment.loop.post([alive = m_alive, callback = m_onStepDown] {
        if (*alive && callback)
            callback();
    });
}

// Recovery of job records: the keys that the index lists, and the progress of reading them.
struct planner_daemon::record_load
{
    std::vector<std::string> keys;
    std::size_t next = 0;
    std::size_t inFlight = 0;
    std::vector<loaded_record> records;
    std::optional<failure> error;
};

void planner_daemon::execute(const load_records &)
{
    const std::string prefix = cellJobPrefix(m_cell);
    m_environment.store.list(
        prefix, 0, urgentOptions(recordDeadline),
        [this, alive = m_alive, prefix](const result<std::vector<store_entry>> &answer) {
            if (!*alive)
                return;
            auto load = std::make_shared<record_load>();
            if (const failure *error = failureOf(answer)) {
                load->error = *error;
            } else {
                for (const store_entry &entry : valueOf(answer))
                    load->keys.push_back("jobs/" + entry.key.substr(prefix.size()));
            }
            loadNext(load);
        });
}

void planner_daemon::loadNext(const std::shared_ptr<record_load> &load)
{
    while (!load->error && load->next < load->keys.size() && load->inFlight < maxParallelReads) {
        ++load->inFlight;
        m_environment.store.get(
            load->keys[load->next++], urgentOptions(recordDeadline),
            [this, alive = m_alive, load](const result<std::optional<store_entry>> &answer) {
                if (!*alive)
                    return;
                --load->inFlight;
                if (const failure *error = failureOf(answer)) {
                    load->error = *error;
                } else if (const std::optional<store_entry> &entry = valueOf(answer)) {
                    const result<job_record> record = decodeJobRecord(entry->value);
                    if (const failure *decodeError = failureOf(record))
                        log_line(log_level::Error, "job record is malformed")
                            .error(*decodeError)
                            .field("key", entry->key)
                            .write();
                    else
                        load->records.push_back({valueOf(record), entry->modRevision});
                }
                loadNext(load);
            });
    }
    if (load->inFlight != 0)
        return;
    const time_point now = m_environment.loop.now();
    if (load->error)
        m_core.recordsLoaded(*load->error, now);
    else
        m_core.recordsLoaded(std::move(load->records), now);
    executeActions();
}

void planner_daemon::execute(const read_record &action)
{
    m_environment.store.get(
        jobRecordKey(action.job), normalOptions(),
        [this, alive = m_alive,
         job = action.job](const result<std::optional<store_entry>> &answer) {
            if (!*alive)
                return;
            result<std::optional<loaded_record>> read = std::optional<loaded_record>();
            if (const failure *error = failureOf(answer)) {
                read = *error;
            } else if (const std::optional<store_entry> &entry = valueOf(answer)) {
                const result<job_record> record = decodeJobRecord(entry->value);
                if (const failure *decodeError = failureOf(record))
                    read = *decodeError;
                else
                    read = std::optional(loaded_record{valueOf(record), entry->modRevision});
            }
            m_core.recordRead(job, read, m_environment.loop.now());
            executeActions();
        });
}

void planner_daemon::execute(write_record &action)
{
    writePart(std::make_shared<write_record>(std::move(action)), 0);
}

void planner_daemon::writePart(const std::shared_ptr<write_record> &write, std::size_t index)
{
    if (index == write->resultParts.size()) {
        writeRecord(write);
        return;
    }
    const std::string key
        = resultPartKey(write->job, write->record.attempt, static_cast<std::int32_t>(index));
    store_transaction transaction;
    transaction.requireCreateRevision(leaderKey(m_cell), m_epoch)
        .put(key, write->resultParts[index], m_retentionLease);
    m_environment.store.commit(
        std::move(transaction), normalOptions(),
        [this, alive = m_alive, write, index](const result<commit_reply> &reply) {
            if (!*alive)
                return;
            if (failureOf(reply) || !valueOf(reply).applied)
                onWritten(write->job, reply);
            else
                writePart(write, index + 1);
        });
}

void planner_daemon::writeRecord(const std::shared_ptr<write_record> &write)
{
    const std::string key = jobRecordKey(write->job);
    job_record &record = write->record;
    record.writer = m_tokens.next();
    store_transaction transaction;
    transaction.requireCreateRevision(leaderKey(m_cell), m_epoch)
        .requireModRevision(key, write->expected)
        .put(key, encodeJobRecord(record), write->retire ? m_retentionLease : 0);
    if (write->retire)
        transaction.remove(cellJobKey(m_cell, write->job));
    else if (write->expected == 0)
        transaction.put(cellJobKey(m_cell, write->job), record.writer);
    m_environment.store.commit(
        std::move(transaction), urgentOptions(recordDeadline),
        [this, alive = m_alive, job = write->job](const result<commit_reply> &reply) {
            if (*alive)
                onWritten(job, reply);
        });
}

void planner_daemon::onWritten(const job_key &job, const result<commit_reply> &reply)
{
    updateLease();
    m_core.recordWritten(job, writeAnswerOf(reply, leaderKey(m_cell), m_epoch),
                         m_environment.loop.now());
    executeActions();
}

void planner_daemon::handOver(std::function<void()> then)
{
    m_core.beginHandover(m_environment.loop.now());
    executeActions();
    m_handoverDeadline = m_environment.loop.now() + handoverLimit;
    m_handoverTimer = m_environment.loop.every(handoverPoll, [this, then = std::move(then)] {
        if (!m_core.isHandoverReady() && m_environment.loop.now() < m_handoverDeadline)
            return;
        // The callback may destroy this object and the timer that runs it.
        const std::function<void()> next = then;
        m_environment.loop.post(next);
        m_handoverTimer.reset();
    });
}

} // namespace goldcrest
