#include "goldcrest/entry_daemon.h"

#include "goldcrest/burn_report.h"
#include "goldcrest/catalogue_codec.h"
#include "goldcrest/cell_directory.h"
#include "goldcrest/config_publisher.h"
#include "goldcrest/config_store.h"
#include "goldcrest/config_view.h"
#include "goldcrest/entry_core.h"
#include "goldcrest/entry_http.h"
#include "goldcrest/etcd_store.h"
#include "goldcrest/guarantee_check.h"
#include "goldcrest/history_log.h"
#include "goldcrest/http_client.h"
#include "goldcrest/http_server.h"
#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/measured_http.h"
#include "goldcrest/membership.h"
#include "goldcrest/memory_shares.h"
#include "goldcrest/metrics.h"
#include "goldcrest/store_client.h"
#include "goldcrest/websocket_link.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration leaderReadTimeout = 900ms; // shorter than presentLeaderReadInterval
constexpr duration presentLeaderReadInterval = 3s; // the watch reports changes sooner
constexpr duration absentLeaderReadInterval = 500ms;
constexpr duration refreshInterval = 250ms;
constexpr duration watchRetryDelay = 1s;
constexpr duration statusInterval = 60s; // the status of a cell of 445 workers has about 45 KB
constexpr duration incompleteFleetStatusInterval = 5s; // until all workers of the cell are known
constexpr duration statusTimeout = 700ms;
constexpr duration drainPollInterval = 50ms;
constexpr duration drainMargin = 2s; // time to send the last answers
constexpr std::size_t maxStoreResponseBytes = 64 * 1024 * 1024; // a listing of the store

// Returns a name that differs for each start of the entry, so that two starts never use the same
// writer tokens.
std::string uniqueProcessName(const std::string &name)
{
    return name + "-" + std::to_string(unixTimeMs());
}

std::vector<worker_info> workerInfosOf(const std::vector<worker_status> &workers)
{
    std::vector<worker_info> infos;
    for (const worker_status &worker : workers) {
        worker_info info;
        info.id = worker.worker;
        info.failureDomain = worker.failureDomain;
        info.rack = worker.rack;
        info.capacity = worker.capacity;
        infos.push_back(std::move(info));
    }
    return infos;
}

using json = nlohmann::ordered_json;

json resourcesJson(const resources &value)
{
    return {{"cores", value.cores}, {"memory", value.memory}, {"accelerators", value.accelerators}};
}

json workerJson(const worker_status &worker)
{
    return {{"worker", worker.worker},
            {"failureDomain", worker.failureDomain},
            {"rack", worker.rack},
            {"state", worker.state},
            {"tasks", worker.tasks},
            {"capacity", resourcesJson(worker.capacity)},
            {"used", resourcesJson(worker.used)}};
}

} // namespace

class entry_daemon::impl final : public planner_links, public entry_pages
{
public:
    impl(asio_event_loop &loop, entry_settings settings, const entry_daemon_options &options);

    result<done> start();
    void shutDown(std::function<void()> done);

    bool send(const std::string &cell, const message &value) override;
    void status(std::function<void(std::string json)> callback) override;
    std::string burnReport() override;
    std::string metrics() override;
    result<done> setLinkBlocks(const std::vector<std::string> &blocks) override;

private:
    struct planner_link
    {
        epoch number = 0;
        std::string address;
        std::shared_ptr<peer_link> link;
        std::optional<cell_status_message> status;
        time_point statusAt;
        time_point statusRequestedAt;
    };
    // Tracks the leader key of one cell in the store.
    struct leader_reader
    {
        std::unique_ptr<store_watch> watch;
        timer_handle watchRetry;
        bool reading = false;
        bool rereadNeeded = false;
        bool absent = false;
        time_point readAt;
    };
    // A caller of status() that waits for the planners' replies.
    struct status_query
    {
        std::function<void(std::string)> callback;
        std::set<std::string> waitingFor; // cells whose planner has not replied
        timer_handle timer;
    };

    entry_options coreOptions();
    publisher_options publisherOptions();
    websocket_options linkOptions() const;
    store_client_options storeOptions();

    void refreshCells();
    void updateIfNewer(const configuration &received);
    void onConfiguration();
    void relayConfiguration();
    config_push_message makeConfigPush(bool withDocument) const;
    std::vector<failure> checkCapacity(const catalogue &entries) const;
    std::optional<bool> isKnownWorker(const worker_id &worker) const;
    void updateAvoidedWorkers();

    std::set<std::string> cells() const;
    void openWatch(const std::string &cell);
    void readLeader(const std::string &cell);
    void onLeader(const std::string &cell, const std::optional<store_entry> &entry,
                  time_point sent);
    void useLeader(const std::string &cell, const leader_record &leader, epoch number);
    void connectPlanner(const std::string &cell, const leader_record &leader, epoch number);
    void onPlannerConnected(const std::string &cell);
    void onPlannerMessage(const std::string &cell, const message &content);
    void requestStatus(planner_link &planner);
    void answerOutageQuery(planner_link &planner, const outage_query_message &query);
    void onStatus(const std::string &cell, const cell_status_message &status);
    void onAcknowledged(const std::string &cell, const config_ack_message &ack);
    std::string statusText() const;
    json cellJson(const std::string &cell) const;

    void accept(const std::shared_ptr<peer_link> &link);
    void onAgentMessage(link_id id, const message &content);
    void dialPeers();
    void onPeerConnected(peer_link &link);
    void onPeerMessage(const message &content);
    void sendDirectoryActions();
    void onEvent(const entry_event &event);
    void recordMetrics(const job_view &view);

    asio_event_loop &m_loop;
    entry_settings m_settings;
    history_log m_history;
    metrics_registry m_metrics;
    burn_report m_burn;
    std::string m_processName;
    std::shared_ptr<memory_budget> m_budget; // of all listeners
    std::unique_ptr<http_client> m_client;
    etcd_store m_etcdStore;
    store_client m_store;
    std::unique_ptr<websocket_network> m_network;
    config_view m_view;
    config_tracker m_tracker;
    cell_directory m_directory;
    entry_core m_core;
    config_publisher m_publisher;
    config_store m_configs;
    entry_http m_api;
    std::unique_ptr<http_server> m_server;
    std::map<std::string, planner_link> m_planners;
    std::map<std::string, leader_reader> m_leaders;
    std::map<link_id, std::shared_ptr<peer_link>> m_agents;
    std::vector<std::shared_ptr<peer_link>> m_peers;
    std::map<std::uint64_t, status_query> m_statusQueries;
    std::uint64_t m_lastStatusQuery = 0;
    link_id m_lastLink = 0;
    bool m_shuttingDown = false;
    time_point m_shutdownDeadline;
    timer_handle m_refreshTimer;
    timer_handle m_relayTimer;
    timer_handle m_drainTimer;
};

entry_daemon::impl::impl(asio_event_loop &loop, entry_settings settings,
                         const entry_daemon_options &options)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_history(options.historyPath)
    , m_processName(uniqueProcessName(m_settings.name))
    , m_budget(makeClientBudget(m_settings.memoryMb))
    , m_client(makeCurlClient(loop, responseLimits(m_settings.memoryMb, maxStoreResponseBytes)))
    , m_etcdStore(*m_client, loop, m_settings.storeUrls.empty() ? "" : m_settings.storeUrls[0])
    , m_store(m_etcdStore, loop, storeOptions())
    , m_network(makeWebsocketNetwork(loop, linkOptions()))
    , m_directory(m_settings.name)
    , m_core(m_store, loop, *this, coreOptions())
    , m_publisher(m_store, loop, publisherOptions())
    , m_configs(m_store, loop, m_view, m_processName, [this] { onConfiguration(); })
    , m_api(m_core, m_publisher, m_tracker, m_view, *this,
            entry_http_options{m_settings.token, m_settings.maxWait, 1000})
{
    m_network->filter().set(m_settings.faults.blocks);
}

store_client_options entry_daemon::impl::storeOptions()
{
    store_client_options options;
    options.callsPerSecond = m_settings.storeCallsPerSecond;
    options.burst = m_settings.storeCallsPerSecond;
    options.seed = std::hash<std::string>{}(m_processName);
    options.onEnd = [this](duration time) { m_metrics.observe(metric::StoreCallTime, time); };
    return options;
}

websocket_options entry_daemon::impl::linkOptions() const
{
    websocket_options options;
    options.hello = hello_message{"entry", m_settings.name, "", m_settings.token};
    options.ownAddress = m_settings.linkListen;
    options.limits = m_settings.links;
    options.limits.budget = m_budget;
    options.limits.reservedBytes = linkReserve(*m_budget);
    options.seed = std::hash<std::string>{}(m_processName);
    return options;
}

entry_options entry_daemon::impl::coreOptions()
{
    entry_options options;
    options.name = m_processName;
    options.maxOpenJobs = static_cast<std::size_t>(m_settings.maxWaitingJobs);
    options.unixTimeMs = [] { return unixTimeMs(); };
    options.onEvent = [this](const entry_event &event) { onEvent(event); };
    return options;
}

publisher_options entry_daemon::impl::publisherOptions()
{
    publisher_options options;
    options.name = m_processName + "/config";
    options.checkCapacity = [this](const catalogue &entries) { return checkCapacity(entries); };
    options.isKnownWorker = [this](const worker_id &worker) { return isKnownWorker(worker); };
    options.onConfigurationSeen = [this](const configuration &seen) { updateIfNewer(seen); };
    return options;
}

result<done> entry_daemon::impl::start()
{
    result<done> listening = m_network->listen(
        m_settings.linkListen, [this](const std::shared_ptr<peer_link> &link) { accept(link); });
    if (failureOf(listening) != nullptr)
        return listening;
    auto server = makeHttpServer(
        m_loop, m_settings.httpListen, sharedListener(m_settings.http, m_budget),
        [this](const server_request &request, const std::shared_ptr<responder> &respond) {
            m_api.handle(request, std::make_shared<measured_responder>(respond, m_loop, m_metrics));
        });
    if (const failure *error = failureOf(server))
        return *error;
    m_server = std::move(valueOf(server));
    dialPeers();
    m_refreshTimer = m_loop.every(refreshInterval, [this] { refreshCells(); });
    m_relayTimer = m_loop.every(configConfirmInterval, [this] { relayConfiguration(); });
    m_configs.start();
    return done{};
}

void entry_daemon::impl::shutDown(std::function<void()> done)
{
    if (m_shuttingDown)
        return done();
    m_shuttingDown = true;
    m_core.drain(m_settings.drainTimeout);
    m_server->stopAccepting();
    m_network->stopAccepting();
    m_shutdownDeadline = m_loop.now() + m_settings.drainTimeout + drainMargin;
    m_drainTimer = m_loop.every(drainPollInterval, [this, done = std::move(done)] {
        const bool answered
            = m_server->openRequests() == 0 && m_core.isIdle() && m_publisher.openChanges() == 0;
        if (answered || m_loop.now() >= m_shutdownDeadline)
            done();
    });
}

void entry_daemon::impl::refreshCells()
{
    const time_point now = m_loop.now();
    for (const std::string &cell : cells()) {
        leader_reader &reader = m_leaders[cell];
        if (!reader.watch && !reader.watchRetry)
            openWatch(cell);
        const duration interval
            = reader.absent ? absentLeaderReadInterval : presentLeaderReadInterval;
        if (now - reader.readAt >= interval)
            readLeader(cell);
    }
    for (auto &[cell, planner] : m_planners) {
        const bool known = m_core.knownWorkers().count(cell) > 0;
        if (now - planner.statusRequestedAt
            >= (known ? statusInterval : incompleteFleetStatusInterval))
            requestStatus(planner);
    }
}

// Configuration

void entry_daemon::impl::updateIfNewer(const configuration &received)
{
    if (m_view.updateIfNewer(received))
        onConfiguration();
}

void entry_daemon::impl::onConfiguration()
{
    m_tracker.revisionSeen(m_view.current().number, m_loop.now());
    m_core.setConfiguration(m_view.share());
    m_burn.setObjectives(m_view.current().entries, m_view.current().number);
    updateAvoidedWorkers();
    m_history.write(history_event("configuration").number("revision", m_view.current().number));
    for (auto &[cell, planner] : m_planners) {
        if (planner.link)
            planner.link->send(makeConfigPush(true));
    }
    for (const std::shared_ptr<peer_link> &peer : m_peers)
        peer->send(makeConfigPush(true));
}

config_push_message entry_daemon::impl::makeConfigPush(bool withDocument) const
{
    config_push_message push;
    push.number = m_view.current().number;
    if (withDocument)
        push.document = formatConfiguration(m_view.current());
    // Without a confirmation the age is unknown. 24 h exceeds configFreshnessLimit, so that
    // the receiver does not treat the configuration as confirmed.
    push.confirmedAge = m_view.confirmedAge(m_loop.now()).value_or(24h);
    return push;
}

// Sends each planner the revision, the age of its confirmation, and the document if the planner has
// not acknowledged it. Only confirmations by this process's own store reads are relayed, so that
// the delay of at most one transfer adds to their age.
void entry_daemon::impl::relayConfiguration()
{
    if (m_view.current().number == 0)
        return;
    for (auto &[cell, planner] : m_planners) {
        if (!planner.link || !planner.link->isOpen())
            continue;
        const cell_config_state state = m_tracker.stateOf(cell, m_view.current().number);
        planner.link->send(makeConfigPush(state.acknowledged < m_view.current().number));
    }
}

std::vector<failure> entry_daemon::impl::checkCapacity(const catalogue &entries) const
{
    std::vector<failure> failures;
    for (const auto &[cell, workers] : m_core.knownWorkers()) {
        const guarantee_report report = checkGuarantees(entries, cell, workerInfosOf(workers));
        if (!report.fits())
            failures.push_back(makeFailure(code::GuaranteesDoNotFit,
                                           "cell " + cell + ": " + report.text(), "cells." + cell));
    }
    return failures;
}

std::optional<bool> entry_daemon::impl::isKnownWorker(const worker_id &worker) const
{
    if (m_core.knownWorkers().empty())
        return std::nullopt;
    for (const auto &[cell, workers] : m_core.knownWorkers()) {
        for (const worker_status &known : workers) {
            if (known.worker == worker)
                return true;
        }
    }
    return false;
}

// Agents on drained workers and in failure domains that are out are nominated as planner last.
void entry_daemon::impl::updateAvoidedWorkers()
{
    const configuration &current = m_view.current();
    std::set<worker_id> avoided = current.drainedWorkers;
    for (const auto &[cell, workers] : m_core.knownWorkers()) {
        for (const worker_status &worker : workers) {
            if (current.domainsOut.count(worker.failureDomain) > 0)
                avoided.insert(worker.worker);
        }
    }
    m_directory.setAvoidedWorkers(std::move(avoided));
}

// Leaders of cells

std::set<std::string> entry_daemon::impl::cells() const
{
    std::set<std::string> names = m_directory.cellsOfAgents();
    for (const auto &[name, entry] : m_view.current().entries.cells)
        names.insert(name);
    return names;
}

void entry_daemon::impl::openWatch(const std::string &cell)
{
    m_leaders[cell].watch
        = m_store.watch(leaderKey(cell), 0, [this, cell](const watch_batch &batch) {
              if (batch.broken) {
                  leader_reader &reader = m_leaders[cell];
                  reader.watchRetry = m_loop.after(watchRetryDelay, [this, cell] {
                      m_leaders[cell].watchRetry.reset();
                      m_leaders[cell].watch.reset();
                  });
              }
              readLeader(cell);
          });
}

void entry_daemon::impl::readLeader(const std::string &cell)
{
    leader_reader &reader = m_leaders[cell];
    if (reader.reading) {
        reader.rereadNeeded = true;
        return;
    }
    reader.reading = true;
    reader.rereadNeeded = false;
    reader.readAt = m_loop.now();
    m_store.get(leaderKey(cell), {call_priority::Urgent, leaderReadTimeout},
                [this, cell, sent = reader.readAt](const result<std::optional<store_entry>> &read) {
                    leader_reader &answered = m_leaders[cell];
                    answered.reading = false;
                    if (failureOf(read) == nullptr)
                        onLeader(cell, valueOf(read), sent);
                    if (answered.rereadNeeded)
                        readLeader(cell);
                });
}

void entry_daemon::impl::onLeader(const std::string &cell, const std::optional<store_entry> &entry,
                                  time_point sent)
{
    m_leaders[cell].absent = !entry;
    if (!entry) {
        m_tracker.leaderAbsent(cell, sent, m_loop.now());
        m_directory.leaderAbsent(cell, m_loop.now());
        return sendDirectoryActions();
    }
    const result<leader_record> leader = decodeLeader(entry->value);
    if (const failure *error = failureOf(leader)) {
        log_line(log_level::Error, "leader key is malformed").error(*error).limit(cell).write();
        return;
    }
    useLeader(cell, valueOf(leader), entry->createRevision);
}

void entry_daemon::impl::useLeader(const std::string &cell, const leader_record &leader,
                                   epoch number)
{
    m_tracker.leaderReported(cell, number);
    if (!m_directory.leaderReported(cell, leader, number))
        return;
    log_line(log_level::Info, "planner of a cell changed")
        .atEpoch(number)
        .field("cell", cell)
        .peer(leader.address)
        .write();
    sendDirectoryActions();
    connectPlanner(cell, leader, number);
}

void entry_daemon::impl::connectPlanner(const std::string &cell, const leader_record &leader,
                                        epoch number)
{
    planner_link &planner = m_planners[cell];
    if (planner.link)
        planner.link->close();
    planner.number = number;
    planner.address = leader.address;
    planner.status.reset();
    planner.link = m_network->dial(leader.address);
    planner.link->onMessage(
        [this, cell](const message &content) { onPlannerMessage(cell, content); });
    planner.link->onOpen([this, cell] { onPlannerConnected(cell); });
}

void entry_daemon::impl::onPlannerConnected(const std::string &cell)
{
    planner_link &planner = m_planners[cell];
    if (m_view.current().number > 0)
        planner.link->send(makeConfigPush(true));
    requestStatus(planner);
    m_core.plannerConnected(cell, planner.number);
}

void entry_daemon::impl::requestStatus(planner_link &planner)
{
    planner.statusRequestedAt = m_loop.now();
    if (planner.link)
        planner.link->send(cell_status_request_message{});
}

bool entry_daemon::impl::send(const std::string &cell, const message &value)
{
    const auto found = m_planners.find(cell);
    return found != m_planners.end() && found->second.link && found->second.link->send(value);
}

void entry_daemon::impl::onPlannerMessage(const std::string &cell, const message &content)
{
    if (const auto *update = std::get_if<job_update_message>(&content))
        m_core.received(cell, *update);
    else if (const auto *reply = std::get_if<explain_reply_message>(&content))
        m_core.received(cell, *reply);
    else if (const auto *ack = std::get_if<config_ack_message>(&content))
        onAcknowledged(cell, *ack);
    else if (const auto *status = std::get_if<cell_status_message>(&content))
        onStatus(cell, *status);
    else if (const auto *query = std::get_if<outage_query_message>(&content))
        answerOutageQuery(m_planners[cell], *query);
}

void entry_daemon::impl::answerOutageQuery(planner_link &planner, const outage_query_message &query)
{
    outage_reply_message reply;
    reply.query = query.query;
    const std::optional<time_point> storeContact = m_store.lastContact();
    reply.reachedStore = storeContact && m_loop.now() - *storeContact <= query.within;
    reply.highestRevision = m_view.current().number;
    planner.link->send(reply);
}

void entry_daemon::impl::onAcknowledged(const std::string &cell, const config_ack_message &ack)
{
    if (!m_tracker.acknowledged(cell, ack.plannerEpoch, ack.number))
        return;
    if (const std::optional<time_point> seen = m_tracker.seenAt(ack.number))
        m_metrics.observe(metric::ConfigInForceTime, m_loop.now() - *seen);
    m_history.write(history_event("inForce")
                        .text("cell", cell)
                        .number("epoch", ack.plannerEpoch)
                        .number("revision", ack.number));
}

void entry_daemon::impl::onStatus(const std::string &cell, const cell_status_message &status)
{
    planner_link &planner = m_planners[cell];
    if (status.plannerEpoch < planner.number)
        return;
    planner.status = status;
    planner.statusAt = m_loop.now();
    cell_status_message own = status;
    own.cell = cell;
    m_core.received(own);
    updateAvoidedWorkers();
    std::vector<std::function<void(std::string)>> ready;
    for (auto pendingQuery = m_statusQueries.begin(); pendingQuery != m_statusQueries.end();) {
        pendingQuery->second.waitingFor.erase(cell);
        if (!pendingQuery->second.waitingFor.empty()) {
            ++pendingQuery;
            continue;
        }
        ready.push_back(std::move(pendingQuery->second.callback));
        pendingQuery = m_statusQueries.erase(pendingQuery);
    }
    for (const auto &callback : ready)
        callback(statusText());
}

// Agents and other entries

void entry_daemon::impl::accept(const std::shared_ptr<peer_link> &link)
{
    if (link->peer().role == "entry") {
        link->onMessage([this](const message &content) { onPeerMessage(content); });
        return;
    }
    const link_id id = ++m_lastLink;
    m_agents[id] = link;
    link->onMessage([this, id](const message &content) { onAgentMessage(id, content); });
    link->onClose([this, id] {
        m_directory.linkClosed(id);
        // The callback may run inside a function of the link, so the link is destroyed later.
        m_loop.post([this, id] { m_agents.erase(id); });
    });
}

void entry_daemon::impl::onAgentMessage(link_id id, const message &content)
{
    const auto *request = std::get_if<find_planner_message>(&content);
    if (request == nullptr)
        return;
    m_directory.plannerRequested(id, *request, m_loop.now());
    sendDirectoryActions();
}

void entry_daemon::impl::sendDirectoryActions()
{
    for (const directory_action &action : m_directory.takeActions()) {
        const auto found = m_agents.find(action.link);
        if (found != m_agents.end())
            found->second->send(action.content);
    }
}

void entry_daemon::impl::dialPeers()
{
    for (const std::string &address : m_settings.entryPeers) {
        if (address == m_settings.linkListen)
            continue;
        const std::shared_ptr<peer_link> link = m_network->dial(address);
        link->onMessage([this](const message &content) { onPeerMessage(content); });
        link->onOpen([this, raw = link.get()] { onPeerConnected(*raw); });
        m_peers.push_back(link);
    }
}

// Sends the configuration and the known planners to a peer entry, which can't read them from the
// store if it started during a store outage.
void entry_daemon::impl::onPeerConnected(peer_link &link)
{
    if (m_view.current().number > 0)
        link.send(makeConfigPush(true));
    for (const std::string &cell : cells()) {
        const known_planner planner = m_directory.plannerOf(cell);
        if (planner.number > 0)
            link.send(planner_info_message{cell, planner.leader.address, planner.number});
    }
}

void entry_daemon::impl::onPeerMessage(const message &content)
{
    if (const auto *push = std::get_if<config_push_message>(&content)) {
        if (push->document.empty() || push->number <= m_view.current().number)
            return;
        const result<configuration> parsed = parseConfiguration(push->document);
        if (failureOf(parsed) == nullptr && valueOf(parsed).number == push->number)
            updateIfNewer(valueOf(parsed));
        return;
    }
    const auto *info = std::get_if<planner_info_message>(&content);
    if (info != nullptr && info->plannerEpoch > 0)
        useLeader(info->cell, leader_record{"", info->address}, info->plannerEpoch);
}

// Status and metrics

void entry_daemon::impl::status(std::function<void(std::string)> callback)
{
    std::set<std::string> queried;
    for (auto &[cell, planner] : m_planners) {
        if (!planner.link || !planner.link->isOpen())
            continue;
        requestStatus(planner);
        queried.insert(cell);
    }
    if (queried.empty())
        return callback(statusText());
    const std::uint64_t id = ++m_lastStatusQuery;
    status_query &pendingQuery = m_statusQueries[id];
    pendingQuery.callback = std::move(callback);
    pendingQuery.waitingFor = std::move(queried);
    pendingQuery.timer = m_loop.after(statusTimeout, [this, id] {
        const auto found = m_statusQueries.find(id);
        if (found == m_statusQueries.end())
            return;
        const auto timedOutCallback = std::move(found->second.callback);
        m_statusQueries.erase(found);
        timedOutCallback(statusText());
    });
}

json entry_daemon::impl::cellJson(const std::string &cell) const
{
    const known_planner known = m_directory.plannerOf(cell);
    const revision current = m_view.current().number;
    const cell_config_state state = m_tracker.stateOf(cell, current);
    json value = {{"cell", cell},
                  {"planner", known.leader.worker},
                  {"address", known.leader.address},
                  {"epoch", known.number},
                  {"acknowledged", state.acknowledged},
                  {"configuration", state.inForce ? "in force" : "pending"},
                  {"reason", state.reason}};
    const auto found = m_planners.find(cell);
    const bool open = found != m_planners.end() && found->second.link->isOpen();
    value["linkOpen"] = open;
    if (found == m_planners.end() || !found->second.status)
        return value;
    const cell_status_message &status = *found->second.status;
    value["statusAgeMs"] = (m_loop.now() - found->second.statusAt).count();
    value["queuedJobs"] = status.queuedJobs;
    value["runningJobs"] = status.runningJobs;
    value["freeAccelerators"] = status.freeAccelerators;
    value["borrowedAccelerators"] = status.borrowedAccelerators;
    value["unmetGuarantees"] = status.unmetGuarantees;
    value["workers"] = json::array();
    for (const worker_status &worker : status.workers)
        value["workers"].push_back(workerJson(worker));
    return value;
}

std::string entry_daemon::impl::statusText() const
{
    const time_point now = m_loop.now();
    const std::optional<duration> confirmed = m_view.confirmedAge(now);
    const std::optional<time_point> storeContact = m_store.lastContact();
    const entry_counters &counters = m_core.counters();
    json value = {{"entry", m_settings.name},
                  {"draining", m_shuttingDown},
                  {"revision", m_view.current().number},
                  {"confirmedAgeMs", confirmed ? json(confirmed->count()) : json()},
                  {"storeHeardAgeMs", storeContact ? json((now - *storeContact).count()) : json()},
                  {"domainsOut", m_view.current().domainsOut},
                  {"drainedWorkers", m_view.current().drainedWorkers},
                  {"agents", m_directory.agentCount()},
                  {"openJobs", m_core.openJobs()},
                  {"jobs",
                   {{"accepted", counters.accepted},
                    {"acceptedUnrecorded", counters.acceptedUnrecorded},
                    {"attached", counters.attached},
                    {"refused", counters.refused},
                    {"unknown", counters.unknown},
                    {"finished", counters.finished}}}};
    value["cells"] = json::array();
    for (const std::string &cell : cells())
        value["cells"].push_back(cellJson(cell));
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string entry_daemon::impl::burnReport()
{
    return m_burn.json(unixTimeMs());
}

std::string entry_daemon::impl::metrics()
{
    const auto setCount = [this](metric which, std::uint64_t count) {
        m_metrics.set(which, static_cast<double>(count));
    };
    setCount(metric::JobsAttached, m_core.counters().attached);
    setCount(metric::OpenJobs, m_core.openJobs());
    setCount(metric::HttpOpenRequests, m_server->openRequests());
    setCount(metric::HttpOpenConnections, m_server->openConnections());
    setCount(metric::ConnectedAgents, m_directory.agentCount());
    m_metrics.set(metric::ConfigRevision, static_cast<double>(m_view.current().number));
    if (const std::optional<duration> age = m_view.confirmedAge(m_loop.now()))
        m_metrics.set(metric::ConfigConfirmedAge, std::chrono::duration<double>(*age).count());
    m_metrics.setStoreCalls(m_store.counts());
    m_metrics.setClientMemory(*m_budget);
    m_metrics.setLinkTraffic(m_network->traffic(), m_network->openLinks());
    return m_metrics.text();
}

// Records the metrics of a finished job. Only the entry that accepted the job calls this.
void entry_daemon::impl::recordMetrics(const job_view &view)
{
    finished_job job;
    job.className = view.className;
    if (view.startDelay > 0ms) {
        job.startDelay = view.startDelay;
        m_metrics.observe(metric::StartDelay, view.startDelay, view.className);
    }
    job.completion = duration(std::max<std::int64_t>(0, unixTimeMs() - view.acceptedAtUnixMs));
    job.outcome = view.outcome.value_or(job_outcome::Unknown);
    job.cancelled = view.why
        && (view.why->number == code::Cancelled || view.why->number == code::StoppedByCaller);
    job.answeredWhole = job.outcome != job_outcome::Unknown;
    m_metrics.observe(metric::CompletionTime, job.completion, view.className);
    m_burn.recordFinished(job, unixTimeMs());
}

result<done> entry_daemon::impl::setLinkBlocks(const std::vector<std::string> &blocks)
{
    if (!m_settings.faults.allowed)
        return makeFailure(code::NotFound, "no such path");
    std::vector<link_block> parsed;
    for (const std::string &text : blocks) {
        const result<link_block> block = parseLinkBlock(text);
        if (const failure *error = failureOf(block))
            return *error;
        parsed.push_back(valueOf(block));
    }
    m_network->filter().set(std::move(parsed));
    return done{};
}

void entry_daemon::impl::onEvent(const entry_event &event)
{
    const job_view &view = event.view;
    switch (event.what) {
    case entry_event::kind::Accepted:
        m_history.write(
            history_event("accept").job(view.key).number("recorded", view.recorded ? 1 : 0));
        m_metrics.add(metric::JobsAccepted, view.className);
        return;
    case entry_event::kind::Refused:
        if (!view.key.requestId.empty()) // empty if the request could not be parsed
            m_history.write(history_event("refuse").job(view.key).number(
                "code", event.error ? static_cast<std::int64_t>(event.error->number) : 0));
        m_metrics.add(metric::JobsRefused, event.error ? nameOf(event.error->number) : "");
        return;
    case entry_event::kind::Finished:
        m_metrics.add(metric::JobsFinished, nameOf(view.outcome.value_or(job_outcome::Unknown)));
        if (event.submittedHere)
            recordMetrics(view);
        m_history.write(
            history_event("answer")
                .attempt({view.key, view.attempt})
                .number("outcome",
                        static_cast<std::int64_t>(view.outcome.value_or(job_outcome::Unknown)))
                .number("recorded", view.recorded ? 1 : 0));
        return;
    }
}

entry_daemon::entry_daemon(asio_event_loop &loop, entry_settings settings,
                           const entry_daemon_options &options)
    : m_impl(std::make_unique<impl>(loop, std::move(settings), options))
{ }

entry_daemon::~entry_daemon() = default;

result<done> entry_daemon::start()
{
    return m_impl->start();
}

void entry_daemon::shutDown(std::function<void()> done)
{
    m_impl->shutDown(std::move(done));
}

} // namespace goldcrest
