#pragma once

// Connects a cell_planner to links, the store and the clock for one epoch.
//
//   planner_daemon planner(environment, options);
//   planner.addLink(link);                    // accepted links, with the hello exchanged
//   planner.received(link, message);
//   planner.linkClosed(link);
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

// What a planner needs; everything outlives it.
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
    std::function<void()> onStepDown; // called from the loop, not from inside a call
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

    // Starts nothing more and calls `then` when no start and no result is under way, or after a
    // few seconds.
    void handOver(std::function<void()> then);

    const cell_planner &core() const { return m_core; }

private:
    struct open_load;

    void tick();
    void updateLease();
    void notePause(time_point now);
    duration deliveryDelayBound(time_point now) const;
    void onConfiguration();
    void run();
    void carryOut(const send_message &action);
    void carryOut(const load_records &action);
    void carryOut(const read_record &action);
    void carryOut(write_record &action);
    void carryOut(const step_down &action);
    void noteInHistory(const message &content);
    void noteRevision();
    void loadNext(const std::shared_ptr<open_load> &load);
    void writePart(const std::shared_ptr<write_record> &write, std::size_t index);
    void writeRecord(const std::shared_ptr<write_record> &write);
    void written(const job_key &job, const result<commit_reply> &reply);
    void renewRetention();

    planner_environment m_environment;
    std::string m_cell;
    epoch m_number;
    std::function<void()> m_onStepDown;
    cell_planner m_core;
    config_view m_view; // what the store says
    config_store m_configs;
    writer_tokens m_tokens;
    std::map<link_id, std::shared_ptr<peer_link>> m_links;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    timer_handle m_tick;
    time_point m_tickedAt;
    time_point m_resumedAt; // end of the last pause of this process
    duration m_pauseLength = 0ms;
    timer_handle m_retentionTimer;
    timer_handle m_handover;
    time_point m_handoverLimit;
    lease_id m_retention = 0; // lease of finished records
    revision m_loggedRevision = 0;
};

// Returns the answer that a commit of a planner's transaction stands for.
write_answer writeAnswerOf(const result<commit_reply> &reply, std::string_view leader,
                           epoch number);

} // namespace goldcrest
