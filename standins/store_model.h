#pragma once

// An in-memory model of a key-value service with revisions, leases and watches, and fake_store, a
// platform_store that uses the model and injects faults.
//
//   virtual_event_loop loop;
//   store_model model;
//   fake_store store(model, loop);
//   store.faults().loseAnswers = 1;     // the next write takes effect but gets no response
//
// Several fake_stores that share a model represent several processes, each with its own faults.

#include "goldcrest/event_loop.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// The model has no clock: the time is an argument, and leases expire only in calls that take it.
class store_model
{
public:
    using watch_id = std::uint64_t;

    store_revision current() const { return m_revision; }

    // Returns the entries with keys in [first, end), in key order. An empty `end` selects the key
    // `first` only, and "\0" selects all keys from `first` on. A limit of 0 means no limit.
    std::vector<store_entry> range(const std::string &first, const std::string &end,
                                   std::size_t limit = 0) const;

    // Applies a transaction if its conditions hold. Errors: LeaseLost if a write uses an unknown
    // lease, StoreValueTooLarge. After an error nothing has changed.
    result<commit_reply> commit(const store_transaction &transaction);

    // Leases. Renewing returns the lifetime; renewing and revoking fail with LeaseLost if the lease
    // has ended.
    lease_id grantLease(duration lifetime, time_point now);
    result<duration> renewLease(lease_id lease, time_point now);
    result<done> revokeLease(lease_id lease);
    void expireLeases(time_point now);
    bool hasLease(lease_id lease) const { return m_leases.count(lease) > 0; }

    // Reports changes in [first, end) from revision `from` on; 0 means from the next change. The
    // callback runs inside the call that makes the change, and inside watch() for past changes. It
    // gets a broken batch if the history no longer contains `from`.
    watch_id watch(const std::string &first, const std::string &end, store_revision from,
                   const std::function<void(const watch_batch &)> &callback);
    void cancelWatch(watch_id id);
    std::size_t watchCount() const { return m_watches.size(); }

    // Drops the history before revision `keepFrom`.
    void compact(store_revision keepFrom);

private:
    struct lease_state
    {
        duration lifetime;
        time_point endsAt;
        std::set<std::string> keys;
    };
    struct watch_state
    {
        std::string first;
        std::string end;
        std::function<void(const watch_batch &)> callback;
    };

    bool holds(const store_transaction::condition &condition) const;
    void write(const store_transaction::write &change, std::vector<watch_event> &events);
    void detachFromLease(const store_entry &entry);
    void publish(std::vector<watch_event> events);

    std::map<std::string, store_entry> m_entries;
    std::map<lease_id, lease_state> m_leases;
    std::map<watch_id, watch_state> m_watches;
    std::deque<watch_batch> m_history;
    store_revision m_revision = 1;
    store_revision m_historyStart = 2; // oldest revision from which a watch can start
    lease_id m_lastLease = 1000;
    watch_id m_lastWatch = 0;
};

// Faults of the service as seen by one process.
struct store_faults
{
    bool down = false; // calls fail without effect, watches break
    bool unresponsive = false; // calls take no effect and time out, and new watches break
    duration delay = 0ms; // of each response
    int loseAnswers = 0; // this many of the next writes take effect but get no response
    code lostAnswer = code::StoreAmbiguous; // what the fake_store reports for these writes
    int loseRequests = 0; // this many of the next writes take no effect and get no response
    bool refuseWrites = false; // writes fail with StoreOverBudget
    bool dropWatchEvents = false; // watches receive no events
    std::size_t maxValueBytes = 0; // larger values are refused; 0: none is
};

// Numbers of calls by kind. A watch counts as one call.
struct store_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leases = 0;
    std::uint64_t watches = 0;

    std::uint64_t total() const { return reads + writes + leases + watches; }
};

// Returns the end of the key range that contains all keys with a prefix.
std::string prefixEnd(std::string_view prefix);

class fake_store final : public platform_store
{
public:
    fake_store(store_model &model, event_loop &loop);
    ~fake_store() override;
    fake_store(const fake_store &) = delete;
    fake_store &operator=(const fake_store &) = delete;

    store_faults &faults() { return m_faults; }
    const store_counts &counts() const { return m_counts; }
    void resetCounts() { m_counts = {}; }

    // Returns the keys and prefixes of the calls in their order, for tests of priorities. A
    // transaction is listed by the key of its first write.
    const std::vector<std::string> &callOrder() const { return m_callOrder; }

    // Breaks all watches like a lost connection does.
    void breakWatches();

    void get(std::string_view key, const call_options &options,
             store_callback<std::optional<store_entry>> callback) override;
    void list(std::string_view prefix, std::size_t limit, const call_options &options,
              store_callback<std::vector<store_entry>> callback) override;
    void commit(store_transaction transaction, const call_options &options,
                store_callback<commit_reply> callback) override;
    void grantLease(duration lifetime, const call_options &options,
                    store_callback<lease_id> callback) override;
    void renewLease(lease_id lease, const call_options &options,
                    store_callback<duration> callback) override;
    void revokeLease(lease_id lease, const call_options &options,
                     store_callback<done> callback) override;
    std::unique_ptr<store_watch> watch(std::string_view prefix, store_revision from,
                                       std::function<void(watch_batch)> callback) override;

private:
    struct open_watch;
    class watch_handle;

    // Returns the failure that the injected faults cause, or nothing if the call takes effect.
    std::optional<failure> faultOf(bool isWrite);

    static failure timeoutFailure(bool isWrite);

    template<typename T>
    void answer(bool isWrite, result<T> outcome, const call_options &options,
                store_callback<T> callback);
    template<typename T, typename Effect>
    void call(bool isWrite, const call_options &options, store_callback<T> callback, Effect effect);
    void run(duration delay, std::function<void()> task);

    store_model &m_model;
    event_loop &m_loop;
    store_faults m_faults;
    store_counts m_counts;
    std::vector<std::string> m_callOrder;
    std::shared_ptr<std::map<std::uint64_t, std::shared_ptr<open_watch>>> m_watches;
    std::map<std::uint64_t, timer_handle> m_pending;
    std::uint64_t m_lastId = 0;
};

} // namespace goldcrest
