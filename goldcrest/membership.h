#pragma once

// Elects a cell's planner: the planner is the process whose lease holds the cell's leader key in
// the store.
//
//   membership leader(store, loop, "cell-a", "w3", "127.0.0.1:7203", callbacks);
//   leader.campaign();           // when nominated; tries once
//   if (leader.isLeaseValid(now)) ...
//   leader.resign([] { ... });   // at shutdown
//
// The epoch is the creation revision of the leader key, so it increases with each election.

#include "goldcrest/event_loop.h"
#include "goldcrest/model.h"
#include "goldcrest/platform_store.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

constexpr duration plannerLeaseLifetime = 5s;
constexpr duration plannerLeaseRenewal = 1s;

// A planner stops starting tasks this long before its lease could expire.
constexpr duration plannerLeaseMargin = 1s;

// Lease times of an election. A platform with a different lease service sets its own.
struct membership_times
{
    duration lifetime = plannerLeaseLifetime;
    duration renewal = plannerLeaseRenewal;
    duration margin = plannerLeaseMargin;
    duration renewalTimeout = plannerLeaseRenewal - 100ms; // renewals must not overlap
};

// Value of the leader key.
struct leader_record
{
    worker_id worker;
    std::string address; // host:port at which the planner accepts links
};

std::string encodeLeader(const leader_record &leader);

// Fails with code::MalformedMessage.
result<leader_record> decodeLeader(std::string_view value);

struct membership_callbacks
{
    std::function<void(epoch)> elected; // gets the new epoch
    std::function<void()> deposed; // the leader key is gone or another owner's; must step down
};

class membership
{
public:
    membership(platform_store &store, event_loop &loop, std::string_view cell,
               std::string_view worker, std::string_view address, membership_callbacks callbacks,
               const membership_times &times = {});
    ~membership();
    membership(const membership &) = delete;
    membership &operator=(const membership &) = delete;

    // Tries once to create the leader key. Does nothing if already a candidate or elected.
    void campaign();

    // Resigns: revokes the lease, then calls `then` even if the store does not answer.
    void resign(std::function<void()> then);

    bool isLeader() const;
    bool isCandidate() const;
    epoch currentEpoch() const;

    // Returns whether the lease is certainly still valid: the time since the last confirmed renewal
    // was sent is less than the lifetime minus the margin. After an outage the lease is valid again
    // once the store has confirmed both the lease and the leader key.
    bool isLeaseValid(time_point now) const;

    // Returns the time since the last confirmed renewal was sent.
    duration timeSinceRenewal(time_point now) const;

    // Returns whether the store has failed to answer since the last confirmed renewal, so that it
    // may be down.
    bool storeUnresponsive() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
