#pragma once

// Internal to the planner_service*.cc files: the state of the service, and the constants that
// several of the files use.

#include "goldcrest/planner_service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

const call_options commitOptions{call_priority::Urgent, 1500ms};
constexpr duration commitRetryPause = 50ms;

// Planning also runs periodically, because leases expire and occurrences fall due without an event.
constexpr duration planInterval = 100ms;
constexpr duration expiryInterval = 5s;

// A link with its number in the order in which links were accepted.
struct numbered_link
{
    std::shared_ptr<peer_link> link;
    std::uint64_t number = 0;
};

// An agent that has reported in this term, or whose address a predecessor has stored.
struct known_agent
{
    std::string address; // of its links
    std::string storedAddress;
    time_point seenAt{}; // last report, or when the stored address was read
    time_point probedAt{};
};

struct planner_service::state : std::enable_shared_from_this<planner_service::state>
{
    state(event_loop &eventLoop, platform_store &platformStore)
        : loop(eventLoop)
        , store(platformStore)
    { }

    void removeLeaderKey(const store_entry &entry, std::function<void()> then);
    void requestTakeover();
    void beginTerm(epoch number);
    void endTerm(std::string_view reason);
    void resignOnceWritten(time_point limit, const std::function<void()> &then);
    void loadRecords();
    void loadIntake(std::map<std::string, job_progress> records);
    void onLoaded(const std::map<std::string, job_progress> &records,
                  const std::vector<store_entry> &entries);
    void watchIntake(store_revision from);
    void onIntake(const watch_batch &batch);
    void relistIntake();
    void applyListing(const std::vector<store_entry> &entries,
                      const std::map<std::string, job_progress> &records);
    void applyEntry(const store_entry &entry, const std::map<std::string, job_progress> &records);
    void addStoredJob(std::string_view id, std::string_view value,
                      const std::map<std::string, job_progress> &records);
    void schedulePlan();
    void onPlanTick();
    void plan();
    void commit();
    void onTooLarge(const std::vector<stored_change> &changes);
    void onCommitted(const result<commit_reply> &outcome,
                     const std::vector<stored_change> &changes);
    void forgetRemovedJobs(const std::vector<stored_change> &changes, const commit_reply &reply);
    bool wasWritten(const commit_reply &reply, const std::vector<stored_change> &changes) const;
    void onWritten(const std::vector<stored_change> &changes, store_revision at);
    void removeExpired();
    void onRemoved(const result<commit_reply> &outcome, const std::vector<std::string> &removed);
    void requestAdvice();
    void sendOrders();
    void sendOrdersTo(const worker_id &worker);
    void probeSilentWorkers();
    void probeAfterClose(const worker_id &worker);
    void probe(const worker_id &worker, known_agent &agent);
    void loadAddresses();
    void storeAddresses();
    void writeDecisions();
    void sendOutlook();
    void beginLearnedState();
    void restoreLearnedState();
    void writeLearnedState();
    void writeLastLearnedState();
    void onLinkClosed(const std::shared_ptr<peer_link> &closed);
    void onMessage(const numbered_link &from, const message &received);
    void onReport(const numbered_link &from, const worker_report_message &report);
    void onQuery(const std::shared_ptr<peer_link> &link, const graph_query_message &query);
    void onTakeover(const takeover_message &takeover);
    void beginMaintenance();
    void onIntakeMessage(const std::shared_ptr<peer_link> &link,
                         const graph_intake_message &intake);

    // Wraps a callback so that it runs only in the term in which it was created.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), termAtCreation = term,
                callback = std::move(callback)](auto &&...arguments) {
            const std::shared_ptr<state> self = weak.lock();
            if (self && self->term == termAtCreation)
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    // Calls `again` after a pause if this process is still the planner then.
    void retry(duration pause, void (state::*again)())
    {
        retryTimer = loop.after(pause, [this, again] { (this->*again)(); });
    }

    event_loop &loop;
    platform_store &store;
    planner_service_options options;
    std::function<unix_ms()> wall;
    std::unique_ptr<membership> role;
    std::unique_ptr<learned_state_keeper> learned;

    std::mt19937_64 random;
    timer_handle candidacyTimer;
    std::uint64_t term = 0;
    std::unique_ptr<run_planner> planner;
    std::unique_ptr<maintenance_service> maintenance; // while this process plans; may be nullptr
    bool isActive = false;
    bool isResigning = false;
    operator_view view;
    std::unique_ptr<store_watch> watch;
    std::map<std::string, store_revision> revisions; // of the records read or written, by key
    // Jobs that were removed since the listing of jobs that is under way was asked for.
    std::optional<std::set<std::string>> removedWhileListing;
    // Jobs whose record could not be decoded. They are held back: without the record, tasks that
    // are done would run again.
    std::set<std::string> unreadableRecords;
    std::map<std::string, std::string> writers; // writer tokens of the write in progress, by key
    std::uint64_t writeCount = 0;
    bool isCommitting = false;
    // Records that are left to be written one at a time, to find the one that is too large.
    std::size_t singleCommits = 0;
    bool isAdvicePending = false;
    bool isPlanScheduled = false;
    time_point nextPassAt{}; // a pass before this would take too large a share of the processor
    int ticksUnconfirmed = 0; // plan ticks since the last confirmed renewal
    time_point lastConfirmedAt{};
    timer_handle planDelayTimer;
    timer_handle planTimer;
    timer_handle retryTimer;
    timer_handle commitTimer;
    timer_handle expiryTimer;
    timer_handle addressTimer;
    bool isStoringAddresses = false;
    std::set<std::shared_ptr<peer_link>> links;
    std::uint64_t linkCount = 0;
    std::map<worker_id, numbered_link> agents;
    std::map<worker_id, known_agent> knownAgents; // also those whose link has closed
    // Links on which outlooks were asked for.
    std::set<std::shared_ptr<peer_link>> outlookLinks;
    std::set<std::shared_ptr<peer_link>> detailLinks;
    admission_outlook_message lastOutlook;
    admission_detail_message lastDetail;
    time_point outlookSentAt{};
    store_revision lastWrittenAt = 0; // revision of the last write of this term
    worker_id lastTakeoverAgent; // the agent that was last asked for a takeover
    time_point takeoverRequestedAt{};
};

} // namespace goldcrest
