#pragma once

// A small deployment on loopback addresses: the project's own sidecars and fronts as processes, and
// sound stand-ins for the platform, its store, the backend servers and the callers.
//
//   stage scene(options);
//   if (!scene.start())
//       return 2;
//   scene.submit("q0", id, body);
//   scene.waitUntil([&] { return scene.startsOf(id) > 0; }, 2700ms);
//
// Everything that was sent, answered and run is written to record.txt. All processes end with the
// stage.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_client.h"
#include "goldcrest/model.h"
#include "standins/kv_service.h"
#include "standins/store_model.h"
#include "testing/process_support.h"
#include "testing/soak_network_support.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest::review {

struct stage_options
{
    int sidecars = 4;
    int fronts = 2;
    resources capacity{64'000, 262'144, 8}; // of a backend server
    std::int64_t frontMemoryMb = 260;
    std::int64_t sidecarMemoryMb = 128;
    duration restartDelay = 1s; // of a process that ended or was killed for its memory
};

struct seen_start
{
    std::string server;
    std::string task;
    std::int32_t run = 0;
    time_point at{};
};

struct seen_answer
{
    int status = 0; // 0: none in time
    nlohmann::json body;
};

class backend; // a backend server

class stage
{
public:
    stage(const stage_options &options, const std::string &recordPath);
    ~stage();
    stage(const stage &) = delete;
    stage &operator=(const stage &) = delete;

    // Starts everything. Returns whether all fronts are ready and all servers were announced.
    bool start();

    time_point now() const { return m_loop.now(); }
    void write(const std::string &text);

    // Runs the stand-ins until the condition holds. Returns whether it does.
    bool waitUntil(const std::function<bool()> &condition, duration limit);
    void wait(duration time);

    // Calls of a caller, at the front with this number. They return once there is an answer, or the
    // caller's patience of 3 s is over.
    seen_answer submit(int front, const std::string &queue, const std::string &id,
                       const nlohmann::json &body);
    seen_answer ask(int front, const std::string &queue, const std::string &id);
    seen_answer cancel(int front, const std::string &queue, const std::string &id);

    // What the backend servers have seen.
    const std::vector<seen_start> &starts() const { return m_starts; }
    std::size_t startsOf(const std::string &job) const;
    std::size_t runningOf(const std::string &job) const;
    std::size_t endsOf(const std::string &job, const std::string &how) const;
    std::size_t runningTasks() const;

    // The sidecar that holds the leader key, or nothing.
    std::string planner() const;
    // Kills a process, which starts again after some time.
    void kill(const std::string &process, duration downFor);
    // Crashes the backend server that runs a task of a job. Returns its name, or nothing.
    std::string crashServerOf(const std::string &job, duration away);
    // Sends a submission without waiting for its answer.
    void submitLater(int front, const std::string &queue, const std::string &id,
                     const nlohmann::json &body);
    // Number of times that processes were killed by the platform for their memory.
    int killsForMemory() const { return m_killsForMemory; }
    // Number of processes that ended by themselves.
    int endsByThemselves() const { return m_endsByThemselves; }

    // ---- for the stand-ins ----

    asio_event_loop &loop() { return m_loop; }
    http_client &client() { return *m_client; }
    void noteStart(const seen_start &seen);
    void noteEnd(const std::string &task, const std::string &how);

private:
    struct node
    {
        std::string name;
        bool isFront = false;
        int port = 0;
        bool isRunning = false;
        time_point startAt{};
    };

    void publishConfiguration();
    void addNode(const std::string &name, bool isFront, int port);
    void serveStore(const soak_request &request, const soak_http_server::respond_function &respond);
    void watchProcesses();
    bool areReady();
    const node &frontAt(int number) const;
    http_request requestFor(const std::string &method, int front, const std::string &queue,
                            const std::string &id, const std::string &body) const;
    seen_answer call(const std::string &method, int front, const std::string &queue,
                     const std::string &id, const std::string &body);

    stage_options m_options;
    std::string m_directory;
    std::ofstream m_record;
    asio_event_loop m_loop;
    time_point m_startedAt;
    std::unique_ptr<http_client> m_client;
    store_model m_model;
    kv_service m_service;
    std::unique_ptr<soak_http_server> m_store;
    std::vector<node> m_nodes;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::vector<seen_start> m_starts;
    std::vector<std::pair<std::string, std::string>> m_ends; // task, how
    process_group m_processes;
    timer_handle m_watchTimer;
    int m_killsForMemory = 0;
    int m_endsByThemselves = 0;
};

} // namespace goldcrest::review
