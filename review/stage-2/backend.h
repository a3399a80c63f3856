#pragma once

// A sound backend server for the stage. The text of a job says how long its tasks work:
// "work_ms=2000", "lasts" for tasks that work until they are stopped, or "crashes" for tasks that
// crash the server when they begin.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/model.h"
#include "testing/soak_network_support.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace goldcrest::review {

class stage;

struct backend_options
{
    std::string id;
    std::string failureDomain;
    resources capacity;
    std::vector<std::string> labels;
    int port = 0; // the control address of its sidecar follows
};

class backend
{
public:
    backend(stage &scene, const backend_options &options);
    ~backend();
    backend(const backend &) = delete;
    backend &operator=(const backend &) = delete;

    void begin();
    // Ends without a word, with all that runs there. The next lifetime begins after a time.
    void crash(duration away);
    const std::string &id() const { return m_options.id; }
    // Returns whether its sidecar has asked for its lists.
    bool isQueried() const { return m_isQueried; }
    std::vector<std::string> runningTasks() const;

private:
    using run_key = std::pair<std::string, std::int32_t>; // task and run

    struct live_run
    {
        std::int64_t startedAt = 0; // on clock()
        std::int64_t work = 0; // ms; 0: until it is stopped
        bool lasts = false;
    };
    struct ended_run
    {
        std::int64_t number = 0;
        run_key key;
        std::string how;
    };
    struct waiting_query
    {
        soak_http_server::respond_function respond;
        std::int64_t until = 0;
    };

    std::int64_t clock() const;
    void sendCheckIn();
    void receive(const soak_request &request, const soak_http_server::respond_function &respond);
    void respondTo(const soak_http_server::respond_function &respond, int status,
                   nlohmann::json body) const;
    int start(const nlohmann::json &body, nlohmann::json &answer);
    void crashUnder(const nlohmann::json &body);
    void stop(const run_key &stopped);
    void extendLease(const nlohmann::json &body);
    void query(const nlohmann::json &body, const soak_http_server::respond_function &respond);
    void answerQueries();
    void endRun(const run_key &key, const std::string &how);
    void tick();

    stage &m_scene;
    backend_options m_options;
    std::unique_ptr<soak_http_server> m_server;
    timer_handle m_tickTimer;
    timer_handle m_checkInTimer;
    timer_handle m_returnTimer;
    time_point m_startedAt{};
    std::int64_t m_born = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEnds = 0;
    std::int64_t m_lastEnd = 0;
    bool m_isQueried = false;
    std::map<run_key, live_run> m_running;
    std::map<std::string, std::int32_t> m_highestOver;
    std::list<ended_run> m_ended;
    std::vector<waiting_query> m_queries;
};

} // namespace goldcrest::review
