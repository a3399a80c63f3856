#pragma once

// Internal to the planner_service*.cc files: what the service keeps, and the constants that several
// of the files use.

#include "goldcrest/planner_service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

constexpr call_options commitOptions{call_priority::Urgent, 1500ms};
constexpr duration commitRetryPause = 50ms;

// Leases end and occurrences fall due without an event.
constexpr duration planInterval = 100ms;
constexpr duration expiryInterval = 5s;

struct planner_service::state : std::enable_shared_from_this<planner_service::state>
{
    state(event_loop &eventLoop, platform_store &platformStore)
        : loop(eventLoop)
        , store(platformStore)
    { }

    void removeKey(const store_entry &entry, std::function<void()> then);
    void askForTakeover();
    void begin(epoch number);
    void end(std::string_view reason);
    void loadRecords();
    void loadIntake(std::map<std::string, job_progress> records);
    void onLoaded(const std::map<std::string, job_progress> &records,
                  const std::vector<store_entry> &entries);
    void watchIntake(store_revision from);
    void onIntake(const watch_batch &batch);
    void readIntakeAgain();
    void takeListing(const std::vector<store_entry> &entries,
                     const std::map<std::string, job_progress> &records);
    void takeEntry(const store_entry &entry, const std::map<std::string, job_progress> &records);
    void takeJob(std::string_view id, std::string_view value,
                 const std::map<std::string, job_progress> &records);
    void schedulePlan();
    void plan();
    void commit();
    void onCommitted(const result<commit_reply> &outcome,
                     const std::vector<stored_change> &changes);
    bool wasWritten(const commit_reply &reply, const std::vector<stored_change> &changes) const;
    void noteWritten(const std::vector<stored_change> &changes, store_revision at);
    void removeExpired();
    void onRemoved(const result<commit_reply> &outcome, const std::vector<std::string> &removed);
    void askAdvisor();
    void sendOrders();
    void sendOrdersTo(const worker_id &worker);
    void writeDecisions();
    void onMessage(const std::shared_ptr<peer_link> &link, const message &received);
    void onReport(const std::shared_ptr<peer_link> &link, const worker_report_message &report);
    void onQuery(const std::shared_ptr<peer_link> &link, const graph_query_message &query);
    void onTakeover(const takeover_message &takeover);
    void onIntakeMessage(const std::shared_ptr<peer_link> &link,
                         const graph_intake_message &intake);

    // Wraps a callback so that it runs only in the term in which it was made.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), made = term,
                callback = std::move(callback)](auto &&...arguments) {
            const std::shared_ptr<state> self = weak.lock();
            if (self && self->term == made)
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    // Runs `again` later if the role goes on.
    void retry(duration pause, void (state::*again)())
    {
        retryTimer = loop.after(pause, [this, again] { (this->*again)(); });
    }

    event_loop &loop;
    platform_store &store;
    planner_service_options options;
    std::function<unix_ms()> wall;
    std::unique_ptr<membership> role;

    std::mt19937_64 random;
    timer_handle candidacy;
    std::uint64_t term = 0;
    std::unique_ptr<run_planner> planner;
    bool isActive = false;
    bool isResigning = false;
    operator_view view;
    std::unique_ptr<store_watch> watch;
    std::map<std::string, store_revision> revisions; // of the records written or read
    std::map<std::string, std::string> writers; // of the write in progress
    std::uint64_t writeCount = 0;
    bool isCommitting = false;
    bool isAsking = false;
    bool isPlanScheduled = false;
    timer_handle planSoon;
    timer_handle planTimer;
    timer_handle retryTimer;
    timer_handle commitTimer;
    timer_handle expiryTimer;
    std::set<std::shared_ptr<peer_link>> links;
    std::map<worker_id, std::shared_ptr<peer_link>> agents;
    worker_id lastAsked; // for a takeover
    time_point takeoverAskedAt{};
};

} // namespace goldcrest
