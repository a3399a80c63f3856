#pragma once

// Backend server of the soak. It takes the latitudes that PROTOCOL.md of the users' pages gives to
// backend servers, by random choices and on request.
//
//   soak_backend server(around, {"side-1", "north", {16000, 32768, 4}, {"a", "r1"}, 20001, 20002});
//   server.begin(false);
//   server.hang(3s);
//   server.settle();         // from now on a sound server

#include "standins/one_shot_timers.h"
#include "testing/soak_judge_support.h"
#include "testing/soak_network_support.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace goldcrest {

class soak_backend;

// What all backend servers of a run share.
struct soak_surroundings
{
    asio_event_loop &loop;
    http_client &client;
    soak_judge &judge;
    soak_random &random;
    bool isGuarding = false; // servers refuse what does not fit
    std::function<void(const std::string &text)> note;
    std::function<bool(const std::string &server)> isInTouch; // its sidecar
    std::vector<soak_backend *> servers;
    // Present members of each run of a gang that has not ended: server and task.
    std::map<std::string, std::vector<std::pair<soak_backend *, std::string>>> gangs;
};

struct soak_backend_options
{
    std::string name; // also of its sidecar
    std::string failureDomain;
    resources capacity;
    std::vector<std::string> labels;
    int port = 0;
    int controlPort = 0; // of its sidecar
};

class soak_backend
{
public:
    soak_backend(soak_surroundings &around, soak_backend_options options);
    ~soak_backend();
    soak_backend(const soak_backend &) = delete;
    soak_backend &operator=(const soak_backend &) = delete;

    const std::string &name() const { return m_options.name; }
    bool isUp() const { return m_server != nullptr; }

    // Begins a lifetime, unless there is one.
    void begin(bool withSameId);
    // Ends the lifetime without a word; all runs end with it. The next one begins after some time.
    void crash(duration away, bool withSameId);
    // Calls wait until the time has passed, and are then carried out in any order.
    void hang(duration time);
    // The server stops for this time, its clock too.
    void suspend(duration time);
    // Announces its departure, leaves seconds later and comes back under another id.
    void drain();
    void shrink(duration time);
    // Sends a check-in of another writer.
    void sendOddCheckIn();
    void delayCheckIns(duration time);
    // Calls may get no response, or be carried out seconds later without one.
    void delayCalls(duration time);
    // Ends the disturbances; no call is late from now on.
    void settle();
    // Ends the runs whose lease has ended.
    void expire();

private:
    using respond_function = soak_http_server::respond_function;
    using answer = std::pair<int, nlohmann::json>; // status and body
    using run_key = std::pair<std::string, std::int32_t>; // task and run

    struct live_run
    {
        soak_run *record = nullptr;
        resources room;
        std::string unit;
        bool isGang = false;
        bool isCheckpointing = false;
        std::int32_t gangSize = 1;
        std::int64_t arrivedAt = 0; // on clock(), as all below
        std::optional<std::int64_t> begunAt;
        std::int64_t work = 0; // ms, left at begunAt
        std::int64_t doneBefore = 0; // ms, work of earlier runs
        std::optional<std::int64_t> failsAfter; // ms of work
        std::optional<std::int64_t> stopsAt;
        bool isHidden = false;
    };
    struct ended_run
    {
        std::int64_t number = 0;
        soak_run *record = nullptr;
        std::string saved;
    };
    struct waiting_call
    {
        http_request request;
        respond_function respond;
        time_point until{}; // of a status query
    };
    struct check_in
    {
        int life = 0;
        std::string id;
        std::string body;
        bool isDraining = false;
        resources capacity;
    };
    // Capacity that was announced, until a check-in with a smaller one has been acknowledged.
    struct announced_capacity
    {
        resources amount;
        std::optional<time_point> supersededAt;
    };

    void receive(const http_request &request, const respond_function &respond);
    void carryOut(const http_request &request, const respond_function &respond, bool isLate);
    void respondTo(const respond_function &respond, const answer &reply) const;
    answer start(const nlohmann::json &body, bool isLate);
    answer stop(const nlohmann::json &body);
    void query(const nlohmann::json &body, const respond_function &respond);
    live_run makeRun(const nlohmann::json &body) const;
    bool isFenced(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    void endRun(const run_key &key, const std::string &how);
    void joinGang(const run_key &key);
    void breakGang(const std::string &gang);
    void tick();
    std::string dueEnd(const live_run &run) const;
    std::string savedBy(const live_run &run, bool isStopped) const;
    std::int64_t workDone(const live_run &run) const;
    void answerQueries();
    nlohmann::json statusBody() const;
    void endLifetime();
    void sendCheckIn();
    void postCheckIn(const check_in &sent);
    void onCheckInAcknowledged(const check_in &sent);
    void leave();
    resources largestAnnounced() const;
    bool isAway() const; // hangs or is suspended
    std::int64_t clock() const;
    std::string lifeName() const;

    soak_surroundings &m_around;
    soak_backend_options m_options;
    one_shot_timers m_timers;
    std::unique_ptr<soak_http_server> m_server;
    timer_handle m_tickTimer;
    timer_handle m_checkInTimer;
    int m_life = 0; // counts lifetimes
    int m_idNumber = 0;
    std::int64_t m_born = 0;
    time_point m_startedAt{};
    duration m_stoodStill{}; // of the clock
    time_point m_hangsUntil{};
    std::optional<time_point> m_suspendedAt;
    time_point m_callsLateUntil{};
    time_point m_checkInsLateUntil{};
    bool m_isSettled = false;
    bool m_isDraining = false;
    bool m_isLeaving = false;
    bool m_hasSlowClock = false;
    resources m_capacity;
    std::vector<announced_capacity> m_announced;
    std::int64_t m_sequence = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEnds = 0; // on clock()
    time_point m_lapsedAt{};
    std::map<run_key, live_run> m_running;
    std::map<std::string, std::int32_t> m_highestOver; // run that was stopped or ended, by task
    std::list<ended_run> m_ended;
    std::int64_t m_lastEnd = 0;
    std::vector<waiting_call> m_queries;
    std::vector<waiting_call> m_held;
};

} // namespace goldcrest
