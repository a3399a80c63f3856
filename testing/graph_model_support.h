#pragma once

// Simulates a whole cell of graph jobs in virtual time: sidecars with their backend servers,
// fronts, a store, and links with faults. Used by graph_model_test.
//
//   graph_model model({seed});
//   graph_model_report report = model.run();
//   report.violations    // empty if no promise was violated

#include "goldcrest/graph_front.h"
#include "goldcrest/planner_finder.h"
#include "goldcrest/planner_service.h"
#include "goldcrest/run_agent.h"
#include "goldcrest/store_client.h"
#include "standins/one_shot_timers.h"
#include "standins/pausable_event_loop.h"
#include "standins/run_world.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

// Links between the model's processes. A disconnected process sends and receives nothing, and its
// links close after an idle timeout, as when a network drops all packets.
class model_network
{
public:
    model_network(event_loop &loop, std::uint64_t seed);

    // Returns the network interface of the process at this address.
    std::unique_ptr<peer_network> of(const std::string &address);

    // Returns the probe of the process at this address.
    std::unique_ptr<host_probe> probeOf(const std::string &address);

    // Disconnects the process at this address from all others, or reconnects it.
    void setCut(const std::string &address, bool isUnreachable);

    // Removes a process that ended and resets its links.
    void remove(const std::string &address);

private:
    friend class model_link;
    friend class process_network;
    friend class model_probe;
    struct state;
    std::shared_ptr<state> m_state;
};

struct graph_model_options
{
    std::uint64_t seed = 1;
    bool hasFaults = true;
    // The store's watches sometimes stall, and the events of that time are lost.
    bool losesHistory = false;
    double crashingShare = 0; // of the jobs have a task that crashes each host that starts it
    bool changesCapacity = false; // the hosts' capacities shrink and grow
    bool hidesStoppingRuns = false; // the hosts don't list runs that are being stopped
    // Calls to the hosts and their answers overtake each other within a millisecond.
    bool reordersCalls = false;
    bool losesStopAnswers = false; // stops are carried out, and some answers to them are lost
    // The hosts take as long as a stop to end the members of a gang after another member.
    bool endsGangsSlowly = false;
    // The planner orders work by team shares and limits stops.
    bool hasPolicies = false;
    // Another writer sends announcements of servers that do not exist to the sidecars.
    bool hasForeignAnnouncements = false;
    // Departure notices of an earlier incarnation of a backend server reach its sidecar late. They
    // name an id that the server still has.
    bool hasLateDepartures = false;
    // Another writer copies check-ins, with the id and the start, and names an unknown service.
    bool hasForeignFields = false;
    // Backend servers are replaced by a next incarnation under the same id. No call fails, since
    // the connections of the earlier one go silent and the next one answers from the start.
    bool hasSilentRestarts = false;
    // Machines without the planner are suspended for seconds, with their backend server and their
    // sidecar, which is killed afterwards in half of the cases.
    bool hasSuspensions = false;
    // The same machines, but their sidecar is killed a second before the suspension, and they
    // refuse connections meanwhile as a machine without the process does.
    bool hasSuspensionsAfterKills = false;
    // Admission control is on, jobs come in bursts that the hosts can't serve in time, and callers
    // submit refused jobs, and those without an answer, again.
    bool hasAdmission = false;
    // Memory of the planner for the tasks that it holds; nothing: the usual amount.
    std::optional<std::size_t> heldBytes;
    duration length = 60s; // of the phase with faults
    duration settleLimit = 90s; // of the phase without faults, in which all jobs must end
};

struct graph_model_report
{
    std::vector<std::string> violations;
    std::uint64_t jobs = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t starts = 0;
    std::uint64_t elections = 0;
    duration longestTakeover = 0ms; // from a planner's failure to its successor's recovery
    std::uint64_t storeWrites = 0;
    std::uint64_t refused = 0; // submissions, by admission control
};

class graph_model
{
public:
    explicit graph_model(const graph_model_options &options);
    ~graph_model();

    // Runs the phase with faults, then the phase without, and checks the results. Call it once.
    graph_model_report run();

private:
    struct sidecar;
    struct front;

    void startSidecar(std::size_t index);
    void stopSidecar(std::size_t index);
    void submitJob();
    void submit(const std::string &id);
    void onSubmitted(const std::string &id, const submit_outcome &outcome);
    void checkRefusals();
    void cancelJob();
    void injectFault();
    void loseHistory();
    void dropHistory();
    void addCrashingTask(const graph_job &job);
    void changeCapacity();
    void sendForeignAnnouncement();
    void sendLateDeparture();
    void sendForeignFields();
    void restartSilently();
    void suspendMachine();
    void resumeMachine(std::size_t index, bool kills);
    void suspendAfterKill();
    void healAll();
    void pollStates();
    void recordElections();
    bool hasActivePlanner() const;
    double randomFraction();
    std::int64_t between(std::int64_t low, std::int64_t high);
    operator_view view() const;
    bool allEnded() const;

    graph_model_options m_options;
    virtual_event_loop m_loop;
    std::mt19937_64 m_random;
    // Separate, so that the other faults of a seed stay the same.
    std::mt19937_64 m_historyRandom;
    std::mt19937_64 m_hostRandom;
    store_model m_store;
    run_world m_world;
    model_network m_network;
    std::shared_ptr<queue_catalogue> m_catalogue;
    std::vector<model_host *> m_hosts;
    std::vector<std::unique_ptr<sidecar>> m_sidecars;
    std::vector<std::unique_ptr<front>> m_fronts;
    std::map<std::string, graph_job> m_jobs;
    std::set<std::string> m_accepted;
    std::set<std::string> m_cancelled;
    std::set<std::string> m_refused; // jobs whose last submission was refused by admission control
    std::map<std::string, int> m_attempts; // submissions, by job
    std::set<std::size_t> m_suspended; // machines that are or were suspended lately, by index
    std::set<std::string> m_crashing; // jobs with a crashing task
    std::map<std::string, graph_job_state> m_seen;
    one_shot_timers m_timers;
    graph_model_report m_report;
    time_point m_plannerFailedAt{};
    bool m_hasPlanner = false;
};

} // namespace goldcrest
