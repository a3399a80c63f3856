#pragma once

// The platform around one small deployment, for the cases of the review: the store, backend
// servers, callers, and the processes under test.
//
//   stage scene(directory);                     // record.txt is written to this directory
//   scene.publishConfiguration({{"plans", 1}}, {{"team-1", {"key-1"}}});
//   backend &first = scene.addBackend("side-1", {64000, 262144, 8});
//   scene.startFront("front-1");
//   scene.startSidecar(first);
//   first.begin({});
//   if (!scene.waitUntilServing(1, 20s))
//       return scene.finish(verdict::CouldNotRun, "the deployment did not start");
//
// Everything but the processes under test runs on one event loop. The stand-ins do what
// PROTOCOL.md of the users' pages asks of a sound store, server and caller. All addresses are on
// the loopback interface.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_client.h"
#include "goldcrest/model.h"
#include "review/stage/plain_http.h"
#include "standins/kv_service.h"
#include "standins/one_shot_timers.h"
#include "standins/store_model.h"
#include "testing/process_support.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace goldcrest::review {

using nlohmann::json;

class stage;

// Exit status of a case.
enum class verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

// Returns whether the case runs with its disruption; TROUBLE=0 in the environment turns it off.
bool hasTrouble();

// One run of a task on a backend server.
struct task_run
{
    std::string worker;
    std::string task;
    std::int32_t number = 0;
    time_point startedAt{};
    std::optional<time_point> endedAt;
    std::string how; // of the end
};

// How a lifetime of a backend server begins.
struct lifetime
{
    std::string id = "i-1";
    duration registersAfter = 100ms; // from listening to the first heartbeat
};

// A backend server that starts whatever it is told to start. The payload of a job is the run time
// of its tasks in milliseconds.
class backend
{
public:
    backend(stage &scene, std::string worker, const resources &capacity,
            std::vector<std::string> labels, int firstPort);

    // Begins a lifetime. The server has no other at this time.
    void begin(const lifetime &next);
    // Ends the lifetime without a word. All runs end with it.
    void crash();
    // From now on the lifetime answers no calls and does not carry them out, but sends heartbeats.
    void hang();
    const std::string &worker() const { return m_worker; }
    std::string address() const;
    std::string controlAddress() const;
    std::string linkAddress() const;
    std::string metricsAddress() const;

private:
    struct waiting_hold
    {
        plain_http::respond_function respond;
        time_point until{};
    };
    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        std::int32_t run = 0;
        std::string how;
    };

    using answer = std::pair<int, json>; // status and body

    void handle(const http_request &request, const plain_http::respond_function &respond);
    void respondTo(const plain_http::respond_function &respond, const answer &reply) const;
    answer start(const http_request &request, const json &body);
    answer stop(const json &body);
    bool hasTicket(const json &body) const;
    bool isFenced(const json &body);
    void extendLease(const json &body);
    void endRun(const std::string &task, const std::string &how);
    void tick();
    void sendHeartbeat();
    json statusBody() const;
    std::int64_t clock() const;

    stage &m_stage;
    std::string m_worker;
    resources m_capacity;
    std::vector<std::string> m_labels;
    int m_firstPort;
    std::unique_ptr<plain_http> m_server;
    lifetime m_life;
    std::int64_t m_born = 0;
    time_point m_startedAt{};
    bool m_isHanging = false;
    std::int64_t m_sequence = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEnds = 0; // on clock()
    std::map<std::string, task_run *> m_running;
    struct work_plan
    {
        std::int64_t begunAt = 0; // on clock()
        std::int64_t length = 0; // ms
    };
    std::map<std::string, work_plan> m_work;
    std::map<std::string, std::int32_t> m_highestOver; // run that was stopped or has ended, by task
    std::list<ended_run> m_ended;
    std::int64_t m_lastEnd = 0;
    std::vector<waiting_hold> m_holds;
    timer_handle m_tickTimer;
    timer_handle m_heartbeatTimer;
    timer_handle m_registerTimer;
};

struct queue_description
{
    std::string name; // its path is /NAME/
    std::int32_t priority = 1;
    bool isAdvised = false; // its steps may run only where the advice service allows it
};

// A step of a job, in the words of the wire.
json stepOf(std::int32_t count, std::int64_t millicores, std::int64_t memory);

class stage
{
public:
    explicit stage(const std::string &directory);
    ~stage();
    stage(const stage &) = delete;
    stage &operator=(const stage &) = delete;

    asio_event_loop &loop() { return m_loop; }
    http_client &client() { return *m_client; }
    one_shot_timers &timers() { return m_timers; }

    // Writes a line to record.txt, with the milliseconds since the start.
    void note(const std::string &text);

    void publishConfiguration(const std::vector<queue_description> &queues);
    backend &addBackend(const std::string &worker, const resources &capacity,
                        std::vector<std::string> labels = {"a", "r1-1"});
    // Starts the advice service. It allows the servers with these ids to run any step.
    void startAdvice(std::vector<std::string> allowed);
    // Returns the ticket that a server needs for a step, or nothing if the queue has no advice.
    std::optional<std::string> ticketOf(const std::string &step, const std::string &server) const;
    void startFront();
    void startSidecar(const backend &server);

    // Runs the stage until the condition holds. Returns whether it does.
    bool runUntil(const std::function<bool()> &condition, duration limit);
    void runFor(duration time);

    // Waits until the front is ready and one short job on each worker has completed.
    bool waitUntilServing(duration limit);

    // Calls of a caller. submit() repeats a request without a definite answer, and returns the
    // status of the last answer.
    int submit(const std::string &queue, const std::string &id, duration work,
               const std::vector<json> &steps);
    // Submits without waiting; the callback gets the status, or 0 without an answer.
    void submitLater(const std::string &queue, const std::string &id, duration work,
                     const std::vector<json> &steps, std::function<void(int)> callback);
    // Returns the state of a job, or the status if it is not 200.
    std::string stateOf(const std::string &queue, const std::string &id);
    // Returns a new id of a job.
    std::string newId();

    // Runs of all servers, in the order of their starts.
    std::list<task_run> &runs() { return m_runs; }
    bool hasStarted(const std::string &job) const;
    // Returns the first pair of runs of one task that overlapped, as text; empty: none.
    const std::string &overlap() const { return m_overlap; }
    // Returns the first start of a task whose end `done` was acknowledged before; empty: none.
    const std::string &startAfterDone() const { return m_startAfterDone; }
    // Notes that the end of a run was acknowledged.
    void noteAcknowledged(const std::string &worker, std::int64_t number, const std::string &task,
                          const std::string &how);
    task_run &addRun(const std::string &worker, const std::string &task, std::int32_t number);

    // Notes the verdict and returns the exit status.
    int finish(verdict outcome, const std::string &why);

private:
    void serveAdvice(const http_request &request, const plain_http::respond_function &respond);
    void serveStore(const http_request &request, const plain_http::respond_function &respond);
    http_request callTo(const std::string &method, const std::string &path) const;
    http_response exchange(http_request request);
    std::string portOf(int offset) const;

    std::string m_directory;
    std::string m_temporary;
    std::ofstream m_record;
    asio_event_loop m_loop;
    one_shot_timers m_timers;
    std::unique_ptr<http_client> m_client;
    store_model m_model;
    kv_service m_service;
    std::unique_ptr<plain_http> m_store;
    std::unique_ptr<plain_http> m_advice;
    std::vector<std::string> m_allowed; // by the advice service
    std::set<std::string> m_advisedJobs;
    std::set<std::string> m_advisedQueues;
    process_group m_processes;
    std::list<std::unique_ptr<backend>> m_backends;
    std::list<task_run> m_runs;
    std::string m_overlap;
    std::set<std::string> m_acknowledgedDone; // tasks
    std::string m_startAfterDone;
    time_point m_startedAt{};
    int m_firstPort = 0;
    int m_nextPort = 0;
    std::uint64_t m_lastId = 0;
    std::int64_t m_version = 0;
};

} // namespace goldcrest::review
