#pragma once

// What the scripts of this review share: the real fronts and sidecars as processes of their own,
// and stand-ins for the platform's store, the backend servers and the callers on one event loop.
//
//   review_scene scene("review/11/record.txt", options);
//   scene.start();
//   scene.submit(job);
//   scene.wait(5s, [&] { return scene.runningTasks("...") == 24; });
//
// All addresses are loopback addresses. The destructor ends all processes that were started.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_client.h"
#include "standins/kv_service.h"
#include "standins/one_shot_timers.h"
#include "standins/store_model.h"
#include "testing/process_support.h"
#include "testing/soak_network_support.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

// Bounds of the deployment rirabsl-sched.
constexpr duration stopTime = 200ms;
constexpr duration gangTimeout = 3s;
constexpr duration longestLease = 10s;
constexpr duration heartbeatInterval = 1500ms;
// A server that a task has crashed is back after this time.
constexpr duration crashedTime = 3s;

// How a run goes on a sound backend server.
struct run_plan
{
    duration length = 1s;
    std::string how = "done"; // or "failed"
    bool lasts = false; // works until it is stopped
    bool crashes = false; // crashes the server that starts it, before the start is answered
};

struct review_job
{
    std::string id;
    std::string prefix = "/urgent/";
    std::string key = "key-a";
    nlohmann::json steps;
};

struct scene_options
{
    int sidecars = 3;
    int fronts = 1;
    int frontLinkMbps = 0; // rate at which fronts receive from the store; 0: not limited
    nlohmann::json configuration;
    // Returns how a run of a task goes; the task is named ID.OCCURRENCE.STEP.INDEX.
    std::function<run_plan(const std::string &task, std::int32_t run)> planOf;
};

// A start or an end that a backend server has seen.
struct seen_run
{
    time_point at{};
    std::string server;
    std::string task;
    std::int32_t run = 0;
    std::string event; // "start", "stop ordered" (while at work at 100 percent) or how it has ended
};

struct http_answer
{
    int status = 0; // 0: none
    std::string body;
};

// The gangs of all backend servers. A run of a gang works once all of its members are present.
class gang_registry;
class review_backend;

// A link of limited rate in the direction from the target to the clients, which their connections
// share. The other direction isn't limited.
class slow_link
{
public:
    slow_link(asio_event_loop &loop, int target, int mbps);
    int port() const { return m_listener.port(); }

private:
    struct connection;
    struct rate
    {
        std::int64_t mbps = 0;
        std::chrono::steady_clock::time_point freeAt{};
        // Returns how long the link takes until it has passed the bytes, in microseconds.
        std::int64_t take(std::size_t bytes);
    };

    std::shared_ptr<rate> m_rate;
    soak_listener m_listener;
};

class review_scene
{
public:
    review_scene(const std::string &recordPath, scene_options options);
    ~review_scene();
    review_scene(const review_scene &) = delete;
    review_scene &operator=(const review_scene &) = delete;

    // Starts all processes and waits until a front serves and all backend servers are known.
    // Returns whether they do within 20 s.
    bool start();

    asio_event_loop &loop() { return m_loop; }
    time_point now() const { return m_loop.now(); }
    // Runs the stand-ins until the condition holds. Returns whether it does.
    bool wait(duration limit, const std::function<bool()> &condition);
    void pass(duration time);
    void note(const std::string &text);

    // Callers. The answer arrives while the stand-ins run.
    void call(const std::string &method, const std::string &path, const std::string &key,
              const std::string &body, std::function<void(const http_answer &)> callback,
              int front = 0);
    // Waits for the answer.
    http_answer callAndWait(const std::string &method, const std::string &path,
                            const std::string &key, const std::string &body = {}, int front = 0);
    // Submits a job until it is accepted. Returns when it was acknowledged, or nothing.
    std::optional<time_point> submit(const review_job &job);
    // Returns the state that callers see; empty if there is no answer.
    std::string stateOf(const review_job &job);

    // The operator writes another configuration, and has it acknowledged at once.
    void configure(const nlohmann::json &configuration);

    // Processes: "side-1" and so on, "front-1".
    process_group &processes() { return m_processes; }
    void startProcess(const std::string &name);
    // Returns the sidecar with the planner's role; empty if there is none.
    std::string planner() const;

    // Called for each call of a process to the store; returns whether it has handled it.
    using respond_function = soak_http_server::respond_function;
    std::function<bool(const std::string &process, const soak_request &request,
                       const respond_function &respond)>
        storeHook;
    // Lets the store carry out a call.
    void carryOut(const soak_request &request, const respond_function &respond);

    review_backend &backend(int index) { return *m_backends[static_cast<std::size_t>(index)]; }
    int backendCount() const { return static_cast<int>(m_backends.size()); }
    const std::vector<seen_run> &seen() const { return m_seen; }
    void noteRun(seen_run run);
    // Returns the number of tasks of a job that run now.
    int runningTasks(const std::string &job) const;
    gang_registry &gangs() { return *m_gangs; }
    const scene_options &options() const { return m_options; }
    http_client &client() { return *m_client; }
    // Returns whether a task belongs to a step with `gang` of a submitted job, and its members.
    int gangSizeOf(const std::string &task) const;

private:
    std::vector<std::string> arguments(const std::string &name) const;
    void writeSettings();
    int portOf(const std::string &name, int offset) const;

    asio_event_loop m_loop;
    scene_options m_options;
    time_point m_startedAt;
    std::ofstream m_record;
    std::string m_directory;
    std::unique_ptr<http_client> m_client;
    store_model m_model;
    kv_service m_service;
    one_shot_timers m_timers;
    std::map<std::string, int> m_ports; // first of four, by process
    std::map<std::string, std::unique_ptr<soak_http_server>> m_stores; // by process
    std::map<std::string, std::unique_ptr<slow_link>> m_links; // to the store, by process
    std::unique_ptr<gang_registry> m_gangs;
    std::vector<std::unique_ptr<review_backend>> m_backends;
    process_group m_processes;
    std::vector<seen_run> m_seen;
    std::map<std::string, review_job> m_jobs;
};

// A sound backend server, with its machine's capacity and one lifetime at a time.
class review_backend
{
public:
    review_backend(review_scene &scene, int index, int port, int controlPort);

    void begin(); // a lifetime
    // Ends the lifetime without a word; the next one begins after `time`.
    void crash(duration time);

    const std::string &name() const { return m_name; }
    int runningOf(const std::string &job) const;
    time_point heartbeatAt() const { return m_heartbeatAt; } // the last one

    // For the gangs.
    void beginWork(const std::string &task, std::int32_t run);
    void endRun(const std::string &task, std::int32_t run, const std::string &how);
    // Returns how a member ends once another one has ended. One that is being stopped ends as
    // stopped, and one that fails by the same fault at the same moment as failed.
    std::string endBeside(const std::string &task, const std::string &how) const;

private:
    struct run
    {
        std::int32_t number = 0;
        run_plan plan;
        time_point workSince{}; // zero: a member of a gang that waits
        bool isStopping = false;
    };
    struct waiting_hold
    {
        soak_http_server::respond_function respond;
        std::int64_t lastSeen = 0;
    };

    void handle(const soak_request &request, const soak_http_server::respond_function &respond);
    void handleStart(const nlohmann::json &body, const soak_http_server::respond_function &respond);
    void handleStop(const nlohmann::json &body, const soak_http_server::respond_function &respond);
    void handleHold(const nlohmann::json &body, const soak_http_server::respond_function &respond);
    bool isFenced(const nlohmann::json &body);
    void extend(const nlohmann::json &body);
    void refuse(const char *reason, const soak_http_server::respond_function &respond) const;
    void sendHeartbeat();
    void tick();
    std::int64_t clock() const;
    std::int64_t percentOf(const run &one) const;
    std::string lists() const;
    void answerHolds();

    review_scene &m_scene;
    std::string m_name;
    int m_index;
    int m_port;
    int m_controlPort;
    std::unique_ptr<soak_http_server> m_server;
    int m_lifetimes = 0;
    std::string m_id;
    std::int64_t m_born = 0;
    time_point m_bornAt{};
    std::int64_t m_sequence = 0;
    time_point m_heartbeatAt{};
    std::int64_t m_token = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_lastEnd = 0;
    bool m_isCrashing = false;
    std::map<std::string, run> m_runs;
    std::map<std::string, std::int32_t> m_highestOver; // run that was stopped or has ended, by task
    std::vector<nlohmann::json> m_ends;
    std::map<std::uint64_t, waiting_hold> m_holds;
    std::uint64_t m_holdCount = 0;
    one_shot_timers m_timers;
    timer_handle m_crashTimer;
    timer_handle m_tickTimer;
    timer_handle m_heartbeatTimer;
};

class gang_registry
{
public:
    void join(review_backend &server, const std::string &task, std::int32_t run, int size);
    // A member has ended; the others end with it.
    void leave(const std::string &task, std::int32_t run, const std::string &how);
    bool isMember(const std::string &task, std::int32_t run) const;

private:
    using member = std::pair<review_backend *, std::string>;
    std::map<std::string, std::vector<member>> m_members; // by step and run
};

// Returns the configuration of a small deployment: two tenants, and queues of the priorities 0 and
// 2 with the prefixes /urgent/ and /batch/.
// @param guaranteed accelerators of tenant a
nlohmann::json smallConfiguration(int guaranteed);

// Returns whether the script is to bring about its disruption.
bool hasTrouble();

// Result codes of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

} // namespace goldcrest
