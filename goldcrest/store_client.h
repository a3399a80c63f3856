#pragma once

// A platform_store that adds limits and recovery to another one: call budget, deadlines, retries,
// circuit breaker, and the resolution of writes with unknown outcome.
//
//   etcd_store plain(*http, loop, "127.0.0.1:2379");
//   store_client store(plain, loop, store_client_options{});
//   store.get(key, {call_priority::Urgent, 2s}, [](auto outcome) { ... });
//
// Failures of calls:
// - StoreOverBudget: rejected by the budget, here or at the service. Nothing took effect.
// - StoreUnavailable: no attempt took effect.
// - StoreAmbiguous: a write may have taken effect, or may still do so.
//
// Large answers: the timeout of an attempt bounds the time until its answer begins. With
// call_options::transfer an answer that keeps arriving is then read to its end, and a listing goes
// on after its last complete page, with a new deadline for the rest.
//
// Ambiguous transactions: the longest value of a transaction must contain a unique writer token.
// After a write with unknown outcome the client reads that key: an equal value proves that the
// transaction took effect. Without this proof the client sends the transaction again only if it is
// guarded, that is, if it writes a key which it also requires to be absent or to have a given
// modification revision; such a transaction can't take effect twice, or late over a newer value. If
// the conditions do not hold on the second attempt, the first one may have taken effect and been
// overwritten, so the call stays ambiguous.

#include "goldcrest/call_limits.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace goldcrest {

struct store_client_options
{
    double callsPerSecond = 100;
    double burst = 100;
    std::size_t maxQueued = 1000; // limit of calls that wait for the budget
    duration attemptTimeout = 800ms; // leaves time for a retry within the usual deadline of 2 s
    // Timeout of the first attempt of a call while the store responds quickly, so that a lost
    // answer is resolved sooner. It doubles with each failure up to attemptTimeout, and grows with
    // the store's recent response times. 0: attemptTimeout from the start.
    duration initialTimeout = 0ms;
    duration initialBackoff = 50ms;
    duration maxBackoff = 1s;
    double retryShare = 0.2; // average number of retries per first attempt
    double maxSavedRetries = 20; // maximum number of unused retries that are kept
    int failuresToOpen = 5; // consecutive failures that open the circuit breaker
    duration initialOpenTime = 250ms; // from the opening of the breaker to its first probe
    duration maxOpenTime = 1s; // below the freshness limit, to notice a recovery in time
    std::uint64_t seed = 1; // of the jitter; processes use different seeds
    std::function<void(duration)> onEnd; // gets the duration of each whole call; may be empty
};

struct store_client_counts
{
    std::uint64_t attempts = 0; // calls to the store, with retries and read-backs
    std::uint64_t retries = 0;
    std::uint64_t overBudget = 0; // calls rejected by this client's budget
    std::uint64_t failedFast = 0; // calls rejected by the open breaker
    std::uint64_t resolved = 0; // ambiguous writes with a proven outcome
    std::uint64_t unresolved = 0; // ambiguous writes reported as such
    std::uint64_t breakerOpened = 0;
};

class store_client final : public platform_store
{
public:
    // `inner` and `loop` must outlive the client. Destroying the client drops the callbacks of open
    // calls.
    store_client(platform_store &inner, event_loop &loop, const store_client_options &options);
    ~store_client() override;
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    // Returns when a response or a change was last received from the store, or nothing if none was.
    // This is the time of receipt, not of the request, so that a process does not understate its
    // contact with the store.
    std::optional<time_point> lastContact() const;

    // Returns whether the circuit breaker is open.
    bool isSuspended() const;

    const store_client_counts &counts() const;

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

    // Watches are passed to the inner store. Opening one uses the budget but never waits for it.
    // Callers must back off between reconnections.
    std::unique_ptr<store_watch> watch(std::string_view prefix, store_revision from,
                                       std::function<void(watch_batch)> callback) override;
    void changes(std::string_view prefix, store_revision after, const call_options &options,
                 store_callback<watch_batch> callback) override;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
