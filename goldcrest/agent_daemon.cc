#include "goldcrest/agent_daemon.h"

#include "goldcrest/agent_core.h"
#include "goldcrest/etcd_store.h"
#include "goldcrest/history_log.h"
#include "goldcrest/http_backend.h"
#include "goldcrest/http_client.h"
#include "goldcrest/http_server.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/measured_http.h"
#include "goldcrest/membership.h"
#include "goldcrest/memory_shares.h"
#include "goldcrest/message_codec.h"
#include "goldcrest/metrics.h"
#include "goldcrest/outage_rule.h"
#include "goldcrest/planner_daemon.h"
#include "goldcrest/planner_metrics.h"
#include "goldcrest/scheduler.h"
#include "goldcrest/store_client.h"
#include "goldcrest/websocket_link.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace goldcrest {

namespace {

// Time without an open link to the current entry after which the next one is tried.
constexpr duration entryTimeout = 2s;
constexpr duration entryCheckInterval = 500ms;

// Links to the leaders' agents are closed after this time without a pulse.
constexpr duration leaderLinkIdleTimeout = 60s;

// Limit on the pulses queued while a link to another agent opens.
constexpr std::size_t maxPendingPulses = 16;

// A listing of the store.
constexpr std::size_t maxStoreResponseBytes = 64 * 1024 * 1024;

std::unique_ptr<outage_policy> makePolicy(outage_rule rule)
{
    switch (rule) {
    case outage_rule::AllEntries:
        return makeUnanimousPolicy();
    case outage_rule::Majority:
        return makeMajorityPolicy();
    case outage_rule::Stop:
        break;
    }
    return makeStoppingPolicy();
}

std::string uniqueName(const worker_id &worker)
{
    return worker + "-" + std::to_string(unixTimeMs());
}

} // namespace

class agent_daemon::impl
{
public:
    impl(asio_event_loop &loop, agent_settings settings, agent_daemon_options options);
    ~impl() { *m_alive = false; }

    result<done> start();
    void shutDown(std::function<void()> done);

private:
    // A link to the agent of a gang's leader.
    struct leader_link
    {
        std::shared_ptr<peer_link> link;
        std::vector<message> pending;
        time_point usedAt;
    };

    void executeActions();
    void execute(const send_to_planner &action);
    void execute(const send_to_agent &action);
    void execute(const answer_agent &action);
    void execute(const start_task &action);
    void execute(const stop_task &action);
    void execute(const renew_tasks &action);
    void execute(const throttle_task &action);
    void execute(const list_tasks &action);
    void execute(const forget_task &action);

    void handleHttp(const server_request &request, responder &respond);
    void handleMetrics(const server_request &request, responder &respond);
    void updateMetrics();
    void handleAnnouncement(const server_request &request, responder &respond);
    void handleDrain(const server_request &request, responder &respond);
    static void answerFailure(responder &respond, const failure &error);

    void accept(std::shared_ptr<peer_link> link);
    void handlePeerMessage(link_id id, const message &content);
    void dialEntry();
    void checkEntry();
    void requestPlanner();
    void handleEntryMessage(const message &content);
    void connectToPlanner(const planner_info_message &info);
    void becomePlanner(epoch number);
    void stopPlanning();
    void applyDrain();
    void finishWhenIdle();
    void closeIdleLinks();
    void logResult(const task_finished_message &finished);
    time_point now() const { return m_loop.now(); }

    asio_event_loop &m_loop;
    agent_settings m_settings;
    agent_daemon_options m_options;
    history_log m_history;
    metrics_registry m_metrics;
    std::shared_ptr<memory_budget> m_budget; // of all listeners
    std::unique_ptr<http_client> m_client;
    etcd_store m_etcdStore;
    store_client m_store;
    std::unique_ptr<websocket_network> m_network;
    std::unique_ptr<http_server> m_server;
    measured_client m_backendClient;
    http_backend m_backend;
    agent_core m_core;
    std::unique_ptr<membership> m_membership;
    std::unique_ptr<planner_daemon> m_planner;

    std::map<link_id, std::shared_ptr<peer_link>> m_accepted;
    std::map<std::string, leader_link> m_leaders; // by address
    std::shared_ptr<peer_link> m_entry;
    std::shared_ptr<peer_link> m_plannerLink;
    std::string m_plannerAddress;
    epoch m_plannerEpoch = 0;
    std::size_t m_entryIndex = 0;
    std::optional<time_point> m_entryClosedAt;
    link_id m_lastLink = 0;
    bool m_backendDraining = false;
    bool m_shuttingDown = false;
    bool m_resigned = false;
    std::function<void()> m_shutDownDone;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    timer_handle m_tick;
    timer_handle m_entryTimer;
    timer_handle m_idleTimer;
};

namespace {

agent_options coreOptions(const agent_settings &settings)
{
    agent_options options;
    options.worker.id = settings.worker;
    options.worker.failureDomain = settings.failureDomain;
    options.worker.rack = settings.rack;
    options.worker.address = settings.linkListen;
    options.worker.capacity = settings.capacity;
    options.worker.slots = settings.slots;
    options.cell = settings.cell;
    return options;
}

store_client_options storeOptions(const agent_settings &settings, metrics_registry &metrics)
{
    store_client_options options;
    options.callsPerSecond = settings.storeCallsPerSecond;
    options.burst = settings.storeCallsPerSecond;
    options.seed = std::hash<std::string>()(settings.worker);
    options.onEnd = [&metrics](duration time) { metrics.observe(metric::StoreCallTime, time); };
    return options;
}

websocket_options linkOptions(const agent_settings &settings,
                              const std::shared_ptr<memory_budget> &budget)
{
    websocket_options options;
    options.hello
        = hello_message{"agent", uniqueName(settings.worker), settings.cell, settings.token};
    options.ownAddress = settings.linkListen;
    options.limits = settings.links;
    options.limits.budget = budget;
    options.limits.reservedBytes = linkReserve(*budget);
    options.seed = std::hash<std::string>()(settings.worker);
    return options;
}

} // namespace

agent_daemon::impl::impl(asio_event_loop &loop, agent_settings settings,
                         agent_daemon_options options)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_options(std::move(options))
    , m_history(m_options.historyPath)
    , m_budget(makeClientBudget(m_settings.memoryMb))
    , m_client(makeCurlClient(loop, responseLimits(m_settings.memoryMb, maxStoreResponseBytes)))
    , m_etcdStore(*m_client, loop, m_settings.storeUrls)
    , m_store(m_etcdStore, loop, storeOptions(m_settings, m_metrics))
    , m_network(makeWebsocketNetwork(loop, linkOptions(m_settings, m_budget)))
    , m_backendClient(*m_client, loop, m_metrics)
    , m_backend(m_backendClient)
    , m_core(coreOptions(m_settings))
{
    m_network->filter().set(m_settings.faults.blocks);
}

result<done> agent_daemon::impl::start()
{
    result<done> listening
        = m_network->listen(m_settings.linkListen,
                            [this](std::shared_ptr<peer_link> link) { accept(std::move(link)); });
    if (failureOf(listening))
        return listening;
    http_limits limits = sharedListener(m_settings.http, m_budget);
    limits.prefersLocalClients = true;
    result<std::unique_ptr<http_server>> server = makeHttpServer(
        m_loop, m_settings.backendListen, limits,
        [this](const server_request &request, const std::shared_ptr<responder> &respond) {
            measured_responder measured(respond, m_loop, m_metrics);
            handleHttp(request, measured);
        });
    if (const failure *error = failureOf(server))
        return *error;
    m_server = std::move(valueOf(server));
    membership_callbacks callbacks;
    callbacks.elected = [this](epoch number) { becomePlanner(number); };
    callbacks.deposed = [this] { stopPlanning(); };
    m_membership = std::make_unique<membership>(m_store, m_loop, m_settings.cell, m_settings.worker,
                                                m_settings.linkListen, std::move(callbacks));
    m_core.begin(now());
    dialEntry();
    m_tick = m_loop.every(agentTickInterval, [this] {
        m_core.tick(now());
        executeActions();
        finishWhenIdle();
    });
    m_entryTimer = m_loop.every(entryCheckInterval, [this] { checkEntry(); });
    m_idleTimer = m_loop.every(leaderLinkIdleTimeout, [this] { closeIdleLinks(); });
    executeActions();
    return done{};
}

// ---- Actions of the core ----

void agent_daemon::impl::executeActions()
{
    const std::vector<agent_action> actions = m_core.takeActions();
    for (const agent_action &action : actions)
        std::visit([this](const auto &typed) { execute(typed); }, action);
}

void agent_daemon::impl::execute(const send_to_planner &action)
{
    if (const auto *finished = std::get_if<task_finished_message>(&action.content))
        logResult(*finished);
    if (m_plannerLink)
        m_plannerLink->send(action.content);
}

void agent_daemon::impl::logResult(const task_finished_message &finished)
{
    if (finished.last)
        m_history.write(history_event("result")
                            .attempt(finished.attempt)
                            .text("worker", finished.worker)
                            .number("stopped", finished.stopped ? 1 : 0)
                            .number("epoch", finished.plannerEpoch));
}

void agent_daemon::impl::execute(const send_to_agent &action)
{
    leader_link &leader = m_leaders[action.address];
    leader.usedAt = now();
    if (!leader.link) {
        leader.link = m_network->dial(action.address);
        const std::string address = action.address;
        leader.link->onMessage([this](const message &content) {
            m_core.agentMessage(0, content, now());
            executeActions();
        });
        leader.link->onOpen([this, address] {
            const auto found = m_leaders.find(address);
            if (found == m_leaders.end())
                return;
            for (const message &content : std::exchange(found->second.pending, {}))
                found->second.link->send(content);
        });
    }
    const bool sent = leader.link->isOpen() && leader.link->send(action.content);
    if (!sent && leader.pending.size() < maxPendingPulses)
        leader.pending.push_back(action.content);
}

void agent_daemon::impl::execute(const answer_agent &action)
{
    const auto found = m_accepted.find(action.link);
    if (found != m_accepted.end())
        found->second->send(action.content);
}

void agent_daemon::impl::execute(const start_task &action)
{
    m_history.write(history_event("start")
                        .attempt(action.gang.attempt)
                        .text("worker", m_settings.worker)
                        .text("task", action.id)
                        .number("epoch", action.gang.plannerEpoch));
    task_start task;
    task.id = action.id;
    task.metadata = encodeGangInfo(action.gang);
    task.payload = action.payload;
    task.reserved = action.reserved;
    task.lease = action.lease;
    task.resumeFrom = action.resumeFrom;
    m_backend.start(task, [this, id = action.id](const result<done> &answer) {
        m_core.taskStartAnswered(id, answer, now());
        executeActions();
    });
}

void agent_daemon::impl::execute(const stop_task &action)
{
    m_history.write(history_event("stop")
                        .text("worker", m_settings.worker)
                        .text("task", action.id)
                        .number("withinMs", action.within.count()));
    // The core repeats the call until the task has ended, so a failure is ignored here.
    m_backend.stop(action.id, action.checkpoint, action.within, [](const result<done> &) {});
}

void agent_daemon::impl::execute(const renew_tasks &action)
{
    m_backend.renew(action.ids, action.lease, [](const result<done> &) {});
}

void agent_daemon::impl::execute(const throttle_task &action)
{
    m_backend.throttle(action.id, action.limit, [](const result<done> &) {});
}

void agent_daemon::impl::execute(const forget_task &action)
{
    // If the call fails, the next list still has the task and the core repeats the call.
    m_backend.forget(action.id, [](const result<done> &) {});
}

void agent_daemon::impl::execute(const list_tasks &action)
{
    m_backend.list([this, call = action.call](const result<std::vector<backend_task>> &answer) {
        if (const failure *error = failureOf(answer)) {
            m_core.taskListAnswered(call, *error, now());
            executeActions();
            return;
        }
        std::vector<listed_task> tasks;
        for (const backend_task &task : valueOf(answer)) {
            const result<gang_info> gang = decodeGangInfo(task.metadata);
            if (const failure *error = failureOf(gang))
                log_line(log_level::Warning, "ignored a task with unreadable metadata")
                    .error(*error)
                    .field("task", task.id)
                    .limit(task.id)
                    .write();
            else
                tasks.push_back({task, valueOf(gang)});
        }
        m_core.taskListAnswered(call, std::move(tasks), now());
        executeActions();
    });
}

// ---- HTTP server for the backend server and for metrics ----

void agent_daemon::impl::answerFailure(responder &respond, const failure &error)
{
    server_response response;
    response.status = httpStatusOf(error.number);
    response.body = nlohmann::json{
        {"code", static_cast<int>(error.number)},
        {"error", nameOf(error.number)},
        {"field", error.field},
        {"reason",
         error.reason}}.dump();
    respond.respond(std::move(response));
}

void agent_daemon::impl::handleHttp(const server_request &request, responder &respond)
{
    if (request.path == "/metrics") {
        handleMetrics(request, respond);
        return;
    }
    if (const std::optional<failure> refused = checkBackendCall(request)) {
        log_line(log_level::Warning, "call to the agent refused")
            .error(*refused)
            .field("path", request.path)
            .field("sender", request.peer)
            .limit("agent call")
            .write();
        answerFailure(respond, *refused);
    } else if (request.path == "/v1/announce")
        handleAnnouncement(request, respond);
    else
        handleDrain(request, respond);
}

void agent_daemon::impl::handleMetrics(const server_request &request, responder &respond)
{
    if (!hasBearerToken(request, m_settings.token)) {
        answerFailure(respond, makeFailure(code::Unauthorized, "a valid bearer token is required"));
        return;
    }
    if (request.method != "GET") {
        answerFailure(respond, makeFailure(code::MethodNotAllowed, "only GET is allowed"));
        return;
    }
    updateMetrics();
    respond.respond(server_response{200, "text/plain; version=0.0.4", {}, m_metrics.text()});
}

void agent_daemon::impl::updateMetrics()
{
    const auto setCount = [this](metric which, std::size_t count, std::string_view label = {}) {
        m_metrics.set(which, static_cast<double>(count), label);
    };
    std::size_t held = 0;
    std::size_t ended = 0;
    for (const auto &[attempt, member] : m_core.members()) {
        held += member.state() == member_state::Held ? 1 : 0;
        ended += member.state() == member_state::Ended ? 1 : 0;
    }
    setCount(metric::AgentParts, held, "held");
    setCount(metric::AgentParts, m_core.members().size() - held - ended, "running");
    setCount(metric::AgentParts, ended, "finished");
    setCount(metric::AgentMessagesFenced, m_core.counters().fencedMessages);
    setCount(metric::BackendReachable, m_core.isBackendReachable() ? 1 : 0);
    setCount(metric::HttpOpenRequests, m_server->openRequests());
    setCount(metric::HttpOpenConnections, m_server->openConnections());
    m_metrics.setStoreCalls(m_store.counts());
    m_metrics.setClientMemory(*m_budget);
    m_metrics.setLinkTraffic(m_network->traffic(), m_network->openLinks());
    if (m_planner)
        setPlannerMetrics(m_metrics, m_planner->core(), m_loop.now());
    else
        m_metrics.set(metric::PlannerEpoch, 0);
}

void agent_daemon::impl::handleAnnouncement(const server_request &request, responder &respond)
{
    const result<backend_announcement> parsed = parseAnnouncement(request.body);
    if (const failure *error = failureOf(parsed)) {
        answerFailure(respond, *error);
        return;
    }
    const backend_announcement &announcement = valueOf(parsed);
    m_backend.setAddress(announcement.address);
    m_core.backendAnnounced(announcement.capacity, announcement.slots, now());
    respond.respond(server_response{200, "application/json", {}, "{}"});
    executeActions();
}

void agent_daemon::impl::handleDrain(const server_request &request, responder &respond)
{
    const result<bool> parsed = parseDrain(request.body);
    if (const failure *error = failureOf(parsed)) {
        answerFailure(respond, *error);
        return;
    }
    m_backendDraining = valueOf(parsed);
    applyDrain();
    respond.respond(server_response{200, "application/json", {}, "{}"});
    executeActions();
}

void agent_daemon::impl::applyDrain()
{
    m_core.drainChanged(m_backendDraining || m_shuttingDown, now());
}

// ---- Links ----

void agent_daemon::impl::accept(std::shared_ptr<peer_link> link)
{
    const link_id id = ++m_lastLink;
    m_accepted[id] = link;
    link->onMessage([this, id](const message &content) { handlePeerMessage(id, content); });
    link->onClose([this, id] {
        if (m_planner)
            m_planner->linkClosed(id);
        m_accepted.erase(id);
    });
    if (m_planner)
        m_planner->addLink(id, std::move(link));
}

void agent_daemon::impl::handlePeerMessage(link_id id, const message &content)
{
    if (std::holds_alternative<gang_pulse_message>(content)) {
        m_core.agentMessage(id, content, now());
        executeActions();
    } else if (m_planner) {
        m_planner->received(id, content);
    }
}

void agent_daemon::impl::closeIdleLinks()
{
    for (auto entry = m_leaders.begin(); entry != m_leaders.end();) {
        const bool idle = now() - entry->second.usedAt >= leaderLinkIdleTimeout;
        if (idle)
            entry->second.link->close();
        entry = idle ? m_leaders.erase(entry) : std::next(entry);
    }
}

void agent_daemon::impl::dialEntry()
{
    if (m_settings.entries.empty())
        return;
    if (m_entry)
        m_entry->close();
    m_entry = m_network->dial(m_settings.entries[m_entryIndex % m_settings.entries.size()]);
    m_entryClosedAt = now();
    m_entry->onOpen([this] {
        m_entryClosedAt.reset();
        requestPlanner();
    });
    m_entry->onClose([this] { m_entryClosedAt = now(); });
    m_entry->onMessage([this](const message &content) { handleEntryMessage(content); });
}

void agent_daemon::impl::checkEntry()
{
    if (m_entryClosedAt && now() - *m_entryClosedAt >= entryTimeout) {
        ++m_entryIndex;
        dialEntry();
    }
}

void agent_daemon::impl::requestPlanner()
{
    const bool eligible = m_settings.eligible && !m_shuttingDown;
    m_entry->send(
        find_planner_message{m_settings.cell, m_settings.worker, m_settings.linkListen, eligible});
}

void agent_daemon::impl::handleEntryMessage(const message &content)
{
    if (const auto *info = std::get_if<planner_info_message>(&content))
        connectToPlanner(*info);
    else if (std::holds_alternative<nominate_message>(content) && m_settings.eligible
             && !m_shuttingDown)
        m_membership->campaign();
}

void agent_daemon::impl::connectToPlanner(const planner_info_message &info)
{
    const bool outdated = info.plannerEpoch < m_plannerEpoch || info.plannerEpoch == 0;
    const bool same = info.plannerEpoch == m_plannerEpoch && info.address == m_plannerAddress;
    if (info.cell != m_settings.cell || outdated || same)
        return;
    m_plannerEpoch = info.plannerEpoch;
    m_plannerAddress = info.address;
    if (m_plannerLink)
        m_plannerLink->close();
    m_core.plannerLinkClosed();
    m_plannerLink = m_network->dial(info.address);
    m_plannerLink->onOpen([this] {
        m_core.plannerLinkOpened(m_plannerEpoch, now());
        executeActions();
    });
    m_plannerLink->onClose([this] { m_core.plannerLinkClosed(); });
    m_plannerLink->onMessage([this](const message &content) {
        m_core.plannerMessage(content, now());
        executeActions();
    });
}

// ---- Planner role ----

void agent_daemon::impl::becomePlanner(epoch number)
{
    log_line(log_level::Info, "elected planner").atEpoch(number).write();
    planner_daemon_options options;
    options.cell = m_settings.cell;
    options.worker = m_settings.worker;
    options.number = number;
    options.engine
        = measureScheduler(m_options.baselineScheduler ? makeFifoScheduler(m_settings.cell)
                                                       : makeGangScheduler(m_settings.cell),
                           m_metrics);
    options.policy = makePolicy(m_settings.outageRule);
    options.onStepDown = [this] { stopPlanning(); };
    m_planner = std::make_unique<planner_daemon>(
        planner_environment{m_loop, m_store, *m_membership, m_history}, std::move(options));
    for (const auto &[id, link] : m_accepted)
        m_planner->addLink(id, link);
    connectToPlanner({m_settings.cell, m_settings.linkListen, number});
}

void agent_daemon::impl::stopPlanning()
{
    if (!m_planner)
        return;
    log_line(log_level::Info, "planner role ended").atEpoch(m_planner->core().number()).write();
    m_history.write(history_event("epochEnded").number("epoch", m_planner->core().number()));
    m_metrics.clear("planner");
    m_metrics.clear(metric::ConfigRevision);
    m_metrics.clear(metric::ConfigConfirmedAge);
    // The planner may be on the call stack, so it is destroyed in a later callback.
    std::shared_ptr<planner_daemon> ended = std::move(m_planner);
    m_loop.post([ended] {});
}

// ---- Shutdown ----

void agent_daemon::impl::shutDown(std::function<void()> done)
{
    if (m_shuttingDown) {
        done();
        return;
    }
    m_shuttingDown = true;
    m_shutDownDone = std::move(done);
    applyDrain();
    executeActions();
    if (m_entry && m_entry->isOpen())
        requestPlanner();
    const auto resign = [this, alive = m_alive] {
        if (!*alive)
            return;
        stopPlanning();
        m_membership->resign([this, alive] {
            if (*alive)
                m_resigned = true;
        });
    };
    if (m_planner)
        m_planner->handOver(resign);
    else
        resign();
}

void agent_daemon::impl::finishWhenIdle()
{
    if (!m_shuttingDown || !m_resigned || !m_core.isIdle() || !m_shutDownDone)
        return;
    const std::function<void()> next = std::exchange(m_shutDownDone, nullptr);
    next();
}

// ---- Public class ----

agent_daemon::agent_daemon(asio_event_loop &loop, agent_settings settings,
                           agent_daemon_options options)
    : m_impl(std::make_unique<impl>(loop, std::move(settings), std::move(options)))
{ }

agent_daemon::~agent_daemon() = default;

result<done> agent_daemon::start()
{
    return m_impl->start();
}

void agent_daemon::shutDown(std::function<void()> done)
{
    m_impl->shutDown(std::move(done));
}

} // namespace goldcrest
