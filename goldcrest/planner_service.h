#pragma once

// Runs the planner of graph jobs: election, recovery from the store, writing of records, and links
// to agents and entries. run_planner.h makes the decisions.
//
//   planner_service service(loop, store, options, wallClock);
//   callbacks.onNoLeader = [&] { service.onNoLeader(); };           // of planner_finder
//   service.takeOver(epoch, [&] { ... });        // when an agent receives a takeover request
//   callbacks.mayDial = [&](const leader_record &leader, const store_entry &entry) {
//       return service.mayDial(leader, entry);
//   };
//   service.setView(view);                       // while isElected()
//   service.accept(link);                        // a link of an agent or an entry
//   service.resign(then);                        // at shutdown

#include "goldcrest/event_loop.h"
#include "goldcrest/host_probe.h"
#include "goldcrest/learned_state_keeper.h"
#include "goldcrest/maintenance_service.h"
#include "goldcrest/membership.h"
#include "goldcrest/peer_link.h"
#include "goldcrest/placement_advisor.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/run_planner.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrest {

struct planner_service_options
{
    std::string cell = "main";
    worker_id worker; // name of this process
    std::string address; // host:port of its links
    run_planner_options planner;
    // A planner that can't reach the store steps down within `lifetime`, and its successor starts
    // work then. A renewal may take 600 ms, since the platform's store may answer 100 times as
    // slowly as usual. The margin covers a late timer; the platform's shortest lease is 1 s.
    membership_times election{1600ms, 300ms, 300ms, 600ms};
    duration maxCandidacyDelay = 300ms; // of the random delay before a candidacy
    // A planner whose last confirmed renewal is older than this asks its agents for a takeover.
    // Renewals are 300 ms apart, and the slowest store answers in 400 ms.
    duration takeoverAfter = 800ms;
    std::uint64_t seed = 1; // of the candidacy delay; processes use different seeds
    // Maximum number of records in one transaction. The platform accepts 32 entries, and each
    // record needs one condition and one write, besides the condition on the leader key.
    std::size_t recordsPerCommit = 15;
    placement_advisor *advisor = nullptr; // for queues with a placement policy; may be nullptr
    // Shows whether the machines of silent workers run. Without it, tasks on a machine that was
    // suspended may start elsewhere before their lease there has ended.
    host_probe *probe = nullptr;
    // For maintenance waves. nullptr: none are carried out.
    machine_service *machines = nullptr;
    maintenance_service_options maintenance; // cell and holder are set by the service
    std::function<void(machine_answer)> onMachineAnswer; // for metrics; may be empty
    bool admission = false; // send admission outlooks to the entries that ask for them
    bool learnedState = false; // keep what was learned for the next planner
    // Called with the kind of each decision, for metrics; may be empty.
    std::function<void(std::string_view event)> onDecision;
    // Called when this process becomes the planner and when it steps down.
    std::function<void(bool isElected)> onRole;
};

class planner_service
{
public:
    // @param wall returns the wall-clock time, which is used for due times only
    planner_service(event_loop &loop, platform_store &store, const planner_service_options &options,
                    std::function<unix_ms()> wall);
    ~planner_service();
    planner_service(const planner_service &) = delete;
    planner_service &operator=(const planner_service &) = delete;

    // To be called when the leader key is absent. Tries to be elected after a random delay, so that
    // one candidate is elected before the others try.
    void onNoLeader();

    // Returns whether to dial the leader that was read. If the leader has the address of this
    // process but is an earlier process, that process has ended: returns false and removes its
    // leader key, so that nobody has to wait until its lease expires.
    bool mayDial(const leader_record &leader, const store_entry &entry);

    // Handles a request of the planner of this epoch, which can't reach the store: removes its
    // leader key if this process can reach the store, and calls `then` if that succeeded.
    void takeOver(epoch replacedEpoch, std::function<void()> then);

    // Hands the role over: writes pending records for at most 1 s, gives up the leader key, and
    // calls `then`.
    void resign(std::function<void()> then);

    bool isElected() const;

    // Returns whether the jobs were recovered from the store; decisions are made only then.
    bool isActive() const;

    epoch currentEpoch() const;

    // Sets what operators ask for, which all later decisions use.
    void setView(const operator_view &view);

    // Sets planner_service_options::planner, for changed settings. It applies to the current term
    // too.
    void setPlannerOptions(const run_planner_options &options);

    // Sets planner_service_options::admission, for changed settings.
    void setAdmission(bool isOn);

    // Sets planner_service_options::learnedState, for changed settings. The record is read once
    // in a term: at its beginning, or when this is first turned on.
    void setLearnedState(bool isOn);

    // Returns what was read and written of the record of learned state, since the process began.
    const learned_state_counts &learnedStateCounts() const;

    // Returns how far the maintenance waves of this term have got.
    std::vector<wave_progress> maintenanceProgress() const;

    // Serves a link of an agent or an entry. The link is closed when this process steps down, or at
    // once if it is not the planner.
    void accept(std::shared_ptr<peer_link> link);

    // Returns the decision state, or nullptr unless isActive().
    const run_planner *planner() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
