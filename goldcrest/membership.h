#pragma once

// Election of a cell's planner through the store's leader key.
//
//   membership leader(store, loop, "cell-a", "w3", "127.0.0.1:7203", callbacks);
//   leader.campaign();           // after a nomination; tries once
//   if (leader.leaseHolds(now)) ...
//   leader.resign([] { ... });   // at shutdown
//
// The epoch is the creation revision of the leader key, so it grows with each election.

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

// The right to start tasks ends this long before the lease could.
constexpr duration plannerLeaseMargin = 1s;

// Times of an election. A platform with another lease service has its own.
struct membership_times
{
    duration lifetime = plannerLeaseLifetime;
    duration renewal = plannerLeaseRenewal;
    duration margin = plannerLeaseMargin;
    duration answerLimit = plannerLeaseRenewal - 100ms; // of one renewal; the next waits for it
};

// Value of the leader key.
struct leader_record
{
    worker_id worker;
    std::string address; // host:port of the planner's link
};

std::string encodeLeader(const leader_record &leader);
result<leader_record> decodeLeader(std::string_view value);

struct membership_callbacks
{
    std::function<void(epoch)> elected;
    std::function<void()> deposed; // the key is gone or another's; the planner steps down
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

    // Gives the role up: revokes the lease and calls `then`, also if the store does not answer.
    void resign(std::function<void()> then);

    bool isLeader() const;
    bool isCandidate() const;
    epoch currentEpoch() const;

    // Returns whether the lease certainly still holds: counted from the send time of the last
    // successful renewal, less plannerLeaseMargin. After an outage it holds again once the store
    // has confirmed both the lease and the key.
    bool leaseHolds(time_point now) const;

    // Returns the time since the last renewal that held was sent.
    duration unconfirmedFor(time_point now) const;

    // Returns whether no renewal got an answer since the last one that held, that is, the store may
    // be down.
    bool storeSilent() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
