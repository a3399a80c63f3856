#pragma once

// The planner of graph jobs as a service: election, recovery from the store, records, and links to
// agents and entries, around the decisions of run_planner.h.
//
//   planner_service service(loop, store, options, wallClock);
//   callbacks.onVacant = [&] { service.onVacant(); };           // of planner_finder
//   service.takeOver(epoch, [&] { ... });        // when the planner asks an agent for it
//   callbacks.mayDial = [&](const leader_record &leader, const store_entry &entry) {
//       return service.mayDial(leader, entry);
//   };
//   service.setView(view);                       // while isElected()
//   service.accept(link);                        // a link of an agent or an entry
//   service.resign(then);                        // at shutdown

#include "goldcrest/event_loop.h"
#include "goldcrest/membership.h"
#include "goldcrest/peer_link.h"
#include "goldcrest/placement_advisor.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/run_planner.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrest {

struct planner_service_options
{
    std::string cell = "main";
    worker_id worker; // name of this process
    std::string address; // host:port of its links
    run_planner_options planner;
    // A planner that is cut off steps down within `lifetime`, and its successor starts work then. A
    // renewal may take 600 ms, since the platform's store may answer 100 times as slowly as usual.
    // The margin covers a late timer; the platform's shortest lease is 1 s.
    membership_times election{1600ms, 300ms, 300ms, 600ms};
    duration longestCandidacyDelay = 300ms;
    // A planner whose last renewal that held is older asks its agents to replace it. Renewals are
    // 300 ms apart, and the slowest store answers in 400 ms.
    duration takeoverAfter = 800ms;
    std::uint64_t seed = 1; // of that delay; processes use different ones
    // Records in one transaction. The platform takes 32 entries, and each record is one condition
    // and one write beside the condition on the leader key.
    std::size_t recordsPerCommit = 15;
    placement_advisor *advisor = nullptr; // for queues with a placement policy; may be absent
    // Called with the kind of each decision, for metrics; may be empty.
    std::function<void(std::string_view event)> onDecision;
    // Called when the role begins and ends.
    std::function<void(bool isElected)> onRole;
};

class planner_service
{
public:
    // @param wall the time of day, for due times only
    planner_service(event_loop &loop, platform_store &store, const planner_service_options &options,
                    std::function<unix_ms()> wall);
    ~planner_service();
    planner_service(const planner_service &) = delete;
    planner_service &operator=(const planner_service &) = delete;

    // The leader key is absent: tries to be elected after a random time, so that one candidate is
    // elected before the others try.
    void onVacant();

    // Returns whether the leader that was read is to be dialled. The key of an earlier process on
    // this address is removed instead, so that its lease need not run out: this process has the
    // address, so the earlier one is gone.
    bool mayDial(const leader_record &leader, const store_entry &entry);

    // The planner of this epoch can't reach the store: removes its leader key if this process can,
    // and calls `then` if that succeeded.
    void takeOver(epoch cutOff, std::function<void()> then);

    // Hands the role over: stores what is not stored, gives the leader key up, and calls `then`.
    void resign(std::function<void()> then);

    bool isElected() const;

    // Returns whether jobs were recovered, so that decisions are made.
    bool isActive() const;

    epoch currentEpoch() const;

    void setView(const operator_view &view);

    // Serves a link of an agent or an entry; it is closed when the role ends.
    void accept(std::shared_ptr<peer_link> link);

    // Returns the decisions' state, or nullptr unless isActive().
    const run_planner *planner() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
