#pragma once

// A whole system of real processes on the loopback interface: store stand-in, entries, agents and
// backend server stand-ins, with the event histories of all of them.
//
//   test_system system(system_options{});
//   CHECK(system.start());
//   test_job job;
//   job.id = "r1";
//   system.submit(1, job);                              // through entry 1
//   system.processes().kill("agent-w1");
//   CHECK(system.waitForOutcome(2, job).outcome() == "completed");
//   for (const violation &found : system.check()) ...
//
// Processes are named store, entry-1, agent-w1, backend-w1 and so on.

#include "testing/history_checker_support.h"
#include "testing/process_support.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

struct worker_place
{
    std::string name;
    std::string failureDomain;
    std::string rack;
};

struct system_options
{
    std::string name = "system";
    int entries = 2;
    std::vector<worker_place> workers; // default: four workers in two domains
    std::int64_t cores = 64000;
    std::int64_t memory = 262144;
    std::int64_t accelerators = 8;
    std::string catalogue; // default: one team "routes" with a guarantee, one borrower "vision"
    duration drainTimeout = 20s;
};

// A job request of a test. All tasks of a job produce the same output.
struct test_job
{
    std::string id;
    bool idempotent = true;
    int tasks = 2;
    int accelerators = 1; // of each task
    duration runTime = 200ms;
    std::string team = "routes";
    std::string output = "done";
    std::size_t outputBytes = 0; // 0: `output` unchanged, else that many bytes
    std::string shape; // replaces the task count and sizes
    duration deadline = 0ms;
    bool canCheckpoint = false;
};

struct test_answer
{
    int status = 0; // HTTP status; 0: no response
    nlohmann::json body;

    std::string text(const char *field) const;
    std::string outcome() const { return text("outcome"); }
    int errorCode() const; // 0: none
    bool notRun() const;
    bool isFinal() const { return !outcome().empty(); }
};

class test_system
{
public:
    explicit test_system(system_options options);
    ~test_system();
    test_system(const test_system &) = delete;
    test_system &operator=(const test_system &) = delete;

    // Starts all processes, stores the catalogue and waits until every worker is in service.
    // Returns false if that takes too long.
    bool start();

    // Restarts a process that has exited, with the same settings.
    void restart(const std::string &process);

    // Kills a backend server with its tasks and records this in the history.
    void killBackend(const std::string &worker);

    // Records the shutdown of a process in the history and sends SIGTERM to the process.
    void shutDown(const std::string &process);

    test_answer call(int entry, std::string_view method, const std::string &path,
                     const std::string &body = {}, const std::string &ifMatch = {},
                     duration timeout = 20s);

    // Starts a call; later waits pass its response to the callback.
    void startCall(int entry, std::string_view method, const std::string &path,
                   const std::string &body, std::function<void(test_answer)> callback);

    // Submits a job and returns the response, which need not be final.
    test_answer submit(int entry, const test_job &job, duration wait = 0ms);

    // Submits a job in the background. A final response is recorded in the history.
    void startSubmit(int entry, const test_job &job);

    // Queries a job until it has an outcome. Queries other entries when one does not respond.
    test_answer waitForOutcome(int entry, const test_job &job, duration limit = conditionLimit);

    // Queries a job once; the entry may wait up to `wait` for an outcome before it responds.
    test_answer queryJob(int entry, const test_job &job, duration wait = 0ms);

    // Takes a failure domain out of service or returns it to service.
    test_answer setDomain(int entry, const std::string &failureDomain, bool out);

    bool waitForState(int entry, const test_job &job, const std::string &state);
    bool waitForRevision(int entry, std::int64_t number); // in force everywhere
    bool waitForWorkers(int entry, int count); // in service
    std::string planner(int entry = 1); // worker of the planner, as an entry reports it
    bool waitForPlanner(int entry, const std::string &excludedWorker = {});
    nlohmann::json status(int entry);

    // Sets the injected faults of the store, a worker's backend server or the links of an entry.
    bool storeFaults(const nlohmann::json &faults);
    nlohmann::json storeCounts(); // calls to the store by kind
    bool backendFaults(const std::string &worker, const nlohmann::json &faults);
    bool drainBackend(const std::string &worker, bool draining); // graceful shutdown
    bool cutLinks(int entry, const std::vector<std::string> &blocks);

    // Adds an event to the history, with source "test" and the current time.
    void note(nlohmann::json fields);

    // Kills all processes and checks all histories. Returns the violations found.
    std::vector<violation> check();

    // Number of events in the histories of processes whose names begin with `prefix`.
    std::size_t countEvents(const std::string &prefix, const std::string &event,
                            const std::string &request = {});

    process_group &processes() { return m_processes; }
    test_client &client() { return m_client; }
    std::string entryUrl(int entry, const std::string &path = {}) const;
    std::string linkAddress(const std::string &process) const;
    std::string backendListenAddress(const std::string &agent) const;
    std::string storeAddress() const;
    std::string httpAddress(const std::string &process) const; // of an entry or an agent
    const std::vector<worker_place> &workers() const { return m_options.workers; }

    static std::string bodyOf(const test_job &job);

private:
    bool postTo(const std::string &address, const std::string &path, const nlohmann::json &body);
    void writeSettings();
    void startProcess(const std::string &process);
    void recordSubmit(const test_job &job);
    void recordAnswer(const std::string &team, const std::string &request,
                      const test_answer &answer);
    run_history readHistory() const;
    std::string pathOf(const std::string &process, const char *suffix) const;
    std::string address(int port) const;
    int entryHttpPort(int entry) const;

    system_options m_options;
    std::string m_directory;
    int m_firstPort;
    process_group m_processes;
    test_client m_client;
    run_history m_testEvents;
    bool m_checked = false; // whether check() found no violation
    std::vector<std::string> m_started; // in the order of the first start
    std::map<std::string, std::vector<std::string>> m_commands;
};

// Returns a catalogue for a cell `main` with these failure domains. Team "routes" has a guarantee
// of one gang of two tasks of two accelerators and the others borrow.
std::string testCatalogue(const std::vector<worker_place> &workers);

} // namespace goldcrest
