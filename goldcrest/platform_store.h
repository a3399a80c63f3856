#pragma once

// Interface of the platform's key-value store, with transactions, leases and watches.
//
//   store->commit(store_transaction{}.requireAbsent(key).put(key, value), options,
//                 [](result<commit_reply> reply) { ... });
//
// All calls are asynchronous; callbacks run on the process's event loop, never inside the call. A
// write that fails may have taken effect unless wroteNothing() returns true for its code.

#include "goldcrest/clock.h"
#include "goldcrest/outcome.h"
#include "goldcrest/transfer_limits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

using lease_id = std::int64_t; // 0 means no lease
using store_revision = std::int64_t;

// Maximum size of a value, in bytes.
constexpr std::size_t maxStoreValueBytes = 1024 * 1024;

struct store_entry
{
    std::string key;
    std::string value;
    store_revision createRevision = 0;
    store_revision modRevision = 0;
    lease_id lease = 0;
};

enum class call_priority { Urgent, Normal, Background };

// What a store tells of a call beside its outcome. A store may leave all of it empty.
struct call_progress
{
    // Time until the answer of the last attempt began to arrive.
    std::optional<duration> firstDataAfter;
    // Of list(): the complete pages so far, and the key after which the next one begins. Another
    // attempt of the same call goes on from there.
    std::vector<store_entry> listed;
    std::string listedUpTo;
    // Of list(): a revision of the store from which on changes may be missing; 0: not known.
    store_revision listedAt = 0;
};

struct call_options
{
    call_priority priority = call_priority::Normal;
    duration deadline = 2s; // for the whole call with its retries
    // If set, an answer that keeps arriving is read within these limits, also beyond the deadline.
    std::optional<transfer_limits> transfer = std::nullopt;
    std::shared_ptr<call_progress> progress = nullptr; // may be empty
};

// A write that takes effect if all its conditions hold, else not at all.
struct store_transaction
{
    struct condition
    {
        std::string key;
        bool onCreateRevision = false; // compare createRevision, else modRevision
        store_revision expected = 0; // 0 means that the key is absent
    };
    struct write
    {
        std::string key;
        std::optional<std::string> value; // no value deletes the key
        lease_id lease = 0;
    };

    std::vector<condition> conditions;
    std::vector<write> writes;

    store_transaction &requireAbsent(std::string_view key);
    store_transaction &requireModRevision(std::string_view key, store_revision expected);
    store_transaction &requireCreateRevision(std::string_view key, store_revision expected);
    store_transaction &put(std::string_view key, std::string_view value, lease_id lease = 0);
    store_transaction &remove(std::string_view key);
};

// Returns whether a write that failed with this code certainly took no effect and can't take effect
// later. Any other code leaves the outcome open: a caller must not conclude from it, or by default,
// that nothing was written.
bool wroteNothing(code number);

// Returns whether a request that was answered with this code certainly changed nothing and started
// nothing: errors of the request itself and refusals (100-299, see docs/errors.md), conflicts, and
// the codes of wroteNothing(). Any other code is no promise to a caller.
bool changedNothing(code number);

/// @param why the failure of a write
/// @return the failure that callers get: OutcomeUnknown if the write may have taken effect
failure writeFailure(const failure &why);

struct commit_reply
{
    bool applied = false; // false: a condition did not hold and nothing was written
    store_revision at = 0; // revision of the store after the call
    std::vector<store_entry> current; // if not applied: the keys of the conditions that exist
};

struct watch_event
{
    store_entry entry;
    bool deleted = false;
};

// A batch of changes in revision order. `broken` means that the watch has ended: the caller must
// read the keys again and start a new watch.
struct watch_batch
{
    std::vector<watch_event> events;
    store_revision at = 0;
    bool broken = false;
};

template<typename T>
using store_callback = std::function<void(result<T>)>;

// Ends its watch when it is destroyed.
class store_watch
{
public:
    virtual ~store_watch() = default;
};

class platform_store
{
public:
    virtual ~platform_store() = default;

    // Reads one key; returns an empty optional if the key is absent.
    virtual void get(std::string_view key, const call_options &options,
                     store_callback<std::optional<store_entry>> callback)
        = 0;

    // Reads all keys with a prefix, in key order, at most `limit` of them (0: all).
    virtual void list(std::string_view prefix, std::size_t limit, const call_options &options,
                      store_callback<std::vector<store_entry>> callback)
        = 0;

    // Applies a transaction. A condition that does not hold is not a failure, see commit_reply.
    virtual void commit(store_transaction transaction, const call_options &options,
                        store_callback<commit_reply> callback)
        = 0;

    // Creates a lease. Keys that are written with it are removed when it ends.
    virtual void grantLease(duration lifetime, const call_options &options,
                            store_callback<lease_id> callback)
        = 0;

    // Renews a lease; returns the remaining lifetime, or code::LeaseLost if the lease has ended.
    virtual void renewLease(lease_id lease, const call_options &options,
                            store_callback<duration> callback)
        = 0;

    // Ends a lease and removes its keys.
    virtual void revokeLease(lease_id lease, const call_options &options,
                             store_callback<done> callback)
        = 0;

    // Reports changes of keys with a prefix from revision `from` on (0: from now on), until the
    // returned object is destroyed.
    virtual std::unique_ptr<store_watch> watch(std::string_view prefix, store_revision from,
                                               std::function<void(watch_batch)> callback)
        = 0;

    /// Reads what has changed under a prefix since a revision, without waiting for a change. May
    /// lack the last changes while the store drops its history.
    /// @param callback gets a broken batch if the history no longer contains the revision, or if
    /// the
    ///        store does not offer this, as by default
    virtual void changes(std::string_view prefix, store_revision after, const call_options &options,
                         store_callback<watch_batch> callback);
};

} // namespace goldcrest
