#pragma once

// Runs a cell_planner for one epoch: connects it to links, the store, the configuration and the
// clock.
//
//   planner_daemon planner(environment, options);
//   planner.addLink(id, link);                // accepted links, after the exchange of hellos
//   planner.received(id, message);
//   planner.linkClosed(id);
//   planner.handOver([] { ... });             // at shutdown

#include "goldcrest/cell_planner.h"
#include "goldcrest/config_store.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/history_log.h"
#include "goldcrest/membership.h"
#include "goldcrest/peer_link.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/writer_token.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace goldcrest {

// Objects that a planner uses. They must outlive it.
struct planner_environment
{
    event_loop &loop;
    platform_store &store;
    const membership &leadership;
    history_log &history;
};

struct planner_daemon_options
{
    std::string cell;
    worker_id worker;
    epoch number = 0;
    std::unique_ptr<scheduler> engine;
    std::unique_ptr<outage_policy> policy;
    std::function<void()> onStepDown; // called from the event loop, never inside a call
};

class planner_daemon
{
public:
    planner_daemon(const planner_environment &environment, planner_daemon_options options);
    ~planner_daemon();
    planner_daemon(const planner_daemon &) = delete;
    planner_daemon &operator=(const planner_daemon &) = delete;

    void addLink(link_id id, std::shared_ptr<peer_link> link);
    void linkClosed(link_id id);
    void received(link_id id, const message &content);

    // Prepares a handover: starts no more jobs and calls `then` once no start and no result is in
    // progress, or after 5 seconds.
    void handOver(std::function<void()> then);

    const cell_planner &core() const { return m_core; }

private:
    struct record_load;

    void tick();
    void updateLease();
    void detectPause(time_point now);
    duration maxDeliveryDelay(time_point now) const;
    void onConfiguration();
    void executeActions();
    void execute(const send_message &action);
    void execute(const load_records &action);
    void execute(const read_record &action);
    void execute(write_record &action);
    void execute(const step_down &action);
    void writeHistory(const message &content);
    void logRevision();
    void loadNext(const std::shared_ptr<record_load> &load);
    void writePart(const std::shared_ptr<write_record> &write, std::size_t index);
    void writeRecord(const std::shared_ptr<write_record> &write);
    void onWritten(const job_key &job, const result<commit_reply> &reply);
    void renewRetention();

    planner_environment m_environment;
    std::string m_cell;
    epoch m_epoch;
    std::function<void()> m_onStepDown;
    cell_planner m_core;
    config_view m_configView; // configuration as read from the store
    config_store m_configs;
    writer_tokens m_tokens;
    std::map<link_id, std::shared_ptr<peer_link>> m_links;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    timer_handle m_tickTimer;
    time_point m_tickedAt;
    time_point m_resumedAt; // end of the last pause of this process
    duration m_pauseLength = 0ms;
    timer_handle m_retentionTimer;
    timer_handle m_handoverTimer;
    time_point m_handoverDeadline;
    lease_id m_retentionLease = 0; // of the records of finished jobs
    revision m_loggedRevision = 0;
};

// Converts the outcome of a planner's transaction. `leader` is the leader key, and `number` the
// epoch of the planner.
write_answer writeAnswerOf(const result<commit_reply> &reply, std::string_view leader,
                           epoch number);

} // namespace goldcrest
