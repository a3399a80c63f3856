#include "standins/store_server.h"

#include "goldcrest/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr duration leaseCheckInterval = 50ms;
constexpr std::size_t maxRequestBytes = 16 * 1024 * 1024;

// An error with its gRPC code and the HTTP status to which etcd's gateway maps it.
struct service_error
{
    int status;
    int number;
    const char *message;
};
constexpr service_error invalidArgument{400, 3, "etcdserver: invalid request"};
constexpr service_error tooLarge{400, 3, "etcdserver: request is too large"};
constexpr service_error leaseNotFound{404, 5, "etcdserver: requested lease not found"};
constexpr service_error tooManyRequests{429, 8, "etcdserver: too many requests"};

std::string errorBody(const service_error &error)
{
    return json{{"error", error.message}, {"code", error.number}, {"message", error.message}}
        .dump();
}

// Returns a 64-bit integer that is encoded as a string or a number, or 0 if it is absent.
std::int64_t integerOf(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end())
        return 0;
    if (field->is_number_integer())
        return field->get<std::int64_t>();
    std::int64_t number = 0;
    if (field->is_string()) {
        const std::string &text = field->get_ref<const std::string &>();
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

std::string bytesOf(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string())
        return {};
    return decodeBase64(field->get_ref<const std::string &>()).value_or(std::string());
}

const json &arrayOf(const json &object, const char *name)
{
    static const json empty = json::array();
    const auto field = object.find(name);
    return field != object.end() && field->is_array() ? *field : empty;
}

json header(store_revision at)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(at)},
            {"raft_term", "2"}};
}

// Omits zero values like etcd's gateway does.
json entryObject(const store_entry &entry)
{
    json object
        = {{"key", encodeBase64(entry.key)}, {"mod_revision", std::to_string(entry.modRevision)}};
    if (entry.createRevision != 0)
        object["create_revision"] = std::to_string(entry.createRevision);
    if (!entry.value.empty())
        object["value"] = encodeBase64(entry.value);
    if (entry.lease != 0)
        object["lease"] = std::to_string(entry.lease);
    return object;
}

json rangeObject(const std::vector<store_entry> &entries, store_revision at)
{
    json object = {{"header", header(at)}};
    if (entries.empty())
        return object;
    object["count"] = std::to_string(entries.size());
    for (const store_entry &entry : entries)
        object["kvs"].push_back(entryObject(entry));
    return object;
}

std::optional<store_transaction> transactionFrom(const json &body)
{
    store_transaction transaction;
    for (const json &item : arrayOf(body, "compare")) {
        if (!item.is_object())
            return std::nullopt;
        const bool onCreate = item.value("target", "") == "CREATE";
        if (item.value("result", "EQUAL") != "EQUAL")
            return std::nullopt;
        transaction.conditions.push_back(
            {bytesOf(item, "key"), onCreate,
             integerOf(item, onCreate ? "create_revision" : "mod_revision")});
    }
    for (const json &item : arrayOf(body, "success")) {
        if (!item.is_object())
            return std::nullopt;
        if (const auto put = item.find("request_put"); put != item.end())
            transaction.put(bytesOf(*put, "key"), bytesOf(*put, "value"), integerOf(*put, "lease"));
        else if (const auto removal = item.find("request_delete_range"); removal != item.end())
            transaction.remove(bytesOf(*removal, "key"));
        else
            return std::nullopt;
    }
    return transaction;
}

// Returns whether a transaction creates a job record, as an entry does for a submission.
bool createsJob(const json &body)
{
    constexpr std::string_view jobPrefix = "jobs/";
    const std::optional<store_transaction> transaction = transactionFrom(body);
    return transaction && !transaction->writes.empty()
        && std::any_of(transaction->conditions.begin(), transaction->conditions.end(),
                       [&](const store_transaction::condition &condition) {
                           return condition.onCreateRevision && condition.expected == 0
                               && condition.key.rfind(jobPrefix, 0) == 0;
                       });
}

server_response jsonResponse(std::string body, int status = 200)
{
    server_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

server_response errorResponse(const service_error &error)
{
    return jsonResponse(errorBody(error), error.status);
}

} // namespace

struct store_server::state : std::enable_shared_from_this<store_server::state>
{
    struct open_watch
    {
        std::shared_ptr<responder> respond;
        store_model::watch_id id = 0;
    };

    explicit state(asio_event_loop &eventLoop)
        : loop(eventLoop)
    { }

    void handle(const server_request &request, const std::shared_ptr<responder> &respond);
    void handleFaults(const json &body, const std::shared_ptr<responder> &respond);
    void handleWatch(const json &body, const std::shared_ptr<responder> &respond);
    server_response answerRange(const json &body);
    server_response answerCommit(const json &body);
    server_response answerGrant(const json &body);
    server_response answerRenewal(const json &body);
    server_response answerRevocation(const json &body);
    server_response answerCounts() const;
    void sendBatch(std::uint64_t watchNumber, const watch_batch &batch);
    void sendLine(std::uint64_t watchNumber, const json &line);
    void breakWatches();
    void dropClosedWatches();

    result<done> listen(std::string_view where);

    // Closes the listener and all connections and listens again after `time`.
    void closeFor(duration time);

    // Runs `task` after the injected delay; at once if there is none.
    void runDelayed(std::function<void()> task);

    using call = server_response (state::*)(const json &);
    void answer(call handler, bool isWrite, const json &body,
                const std::shared_ptr<responder> &respond);

    asio_event_loop &loop;
    store_model model;
    store_faults faults;
    store_counts counts;
    std::map<std::uint64_t, open_watch> watches;
    std::map<std::uint64_t, timer_handle> delayed;
    std::uint64_t lastId = 0;
    timer_handle leaseTimer;
    duration closeAtJob = 0ms; // see closeAtJobMs; 0: off
    timer_handle reopenTimer;
    std::unique_ptr<http_server> server;
};

void store_server::state::runDelayed(std::function<void()> task)
{
    if (faults.delay == 0ms)
        return task();
    const std::uint64_t id = ++lastId;
    delayed[id] = loop.after(faults.delay, [this, id, task = std::move(task)] {
        const std::function<void()> running = task;
        const timer_handle own = std::move(delayed[id]);
        delayed.erase(id);
        running();
    });
}

void store_server::state::answer(call handler, bool isWrite, const json &body,
                                 const std::shared_ptr<responder> &respond)
{
    if (faults.down)
        return respond->abort();
    if (isWrite && faults.refuseWrites)
        return respond->respond(errorResponse(tooManyRequests));
    server_response response = (this->*handler)(body);
    if (closeAtJob > 0ms && isWrite && createsJob(body)) {
        closeFor(std::exchange(closeAtJob, 0ms));
        return respond->abort();
    }
    if (isWrite && faults.loseAnswers > 0) {
        --faults.loseAnswers;
        return respond->abort();
    }
    runDelayed([respond, response = std::move(response)] { respond->respond(response); });
}

void store_server::state::handle(const server_request &request,
                                 const std::shared_ptr<responder> &respond)
{
    if (request.path == "/standin/counts")
        return respond->respond(answerCounts());
    const json body = json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object())
        return respond->respond(errorResponse(invalidArgument));
    model.expireLeases(loop.now());
    if (request.path == "/standin/faults")
        return handleFaults(body, respond);
    if (request.path == "/v3/kv/range") {
        ++counts.reads;
        answer(&state::answerRange, false, body, respond);
    } else if (request.path == "/v3/kv/txn") {
        const bool isWrite = !arrayOf(body, "success").empty();
        ++(isWrite ? counts.writes : counts.reads);
        answer(&state::answerCommit, isWrite, body, respond);
    } else if (request.path == "/v3/lease/grant") {
        ++counts.leases;
        answer(&state::answerGrant, true, body, respond);
    } else if (request.path == "/v3/lease/keepalive") {
        ++counts.leases;
        answer(&state::answerRenewal, true, body, respond);
    } else if (request.path == "/v3/lease/revoke") {
        ++counts.leases;
        answer(&state::answerRevocation, true, body, respond);
    } else if (request.path == "/v3/watch") {
        ++counts.watches;
        handleWatch(body, respond);
    } else {
        respond->respond(jsonResponse(R"({"code":5,"message":"Not Found"})", 404));
    }
}

void store_server::state::handleFaults(const json &body, const std::shared_ptr<responder> &respond)
{
    const json &fields = body;
    faults.down = fields.value("down", faults.down);
    faults.refuseWrites = fields.value("refuseWrites", faults.refuseWrites);
    if (fields.contains("delayMs"))
        faults.delay = duration(integerOf(fields, "delayMs"));
    if (fields.contains("loseAnswers"))
        faults.loseAnswers = static_cast<int>(integerOf(fields, "loseAnswers"));
    if (fields.contains("closeAtJobMs"))
        closeAtJob = duration(integerOf(fields, "closeAtJobMs"));
    if (faults.down)
        breakWatches();
    respond->respond(jsonResponse("{}"));
}

server_response store_server::state::answerRange(const json &body)
{
    const auto limit = static_cast<std::size_t>(integerOf(body, "limit"));
    return jsonResponse(
        rangeObject(model.range(bytesOf(body, "key"), bytesOf(body, "range_end"), limit),
                    model.current())
            .dump());
}

server_response store_server::state::answerCommit(const json &body)
{
    const std::optional<store_transaction> transaction = transactionFrom(body);
    if (!transaction)
        return errorResponse(invalidArgument);
    const result<commit_reply> outcome = model.commit(*transaction);
    if (const failure *error = failureOf(outcome))
        return errorResponse(error->number == code::LeaseLost ? leaseNotFound : tooLarge);
    const commit_reply &reply = valueOf(outcome);
    json answer = {{"header", header(reply.at)}};
    json &responses = answer["responses"] = json::array();
    if (reply.applied) {
        answer["succeeded"] = true;
        for (const store_transaction::write &change : transaction->writes) {
            const char *kind = change.value ? "response_put" : "response_delete_range";
            responses.push_back({{kind, {{"header", header(reply.at)}}}});
        }
    } else {
        for (const json &item : arrayOf(body, "failure")) {
            const json &range = item.value("request_range", json::object());
            const std::vector<store_entry> found
                = model.range(bytesOf(range, "key"), bytesOf(range, "range_end"));
            responses.push_back({{"response_range", rangeObject(found, reply.at)}});
        }
    }
    return jsonResponse(answer.dump());
}

server_response store_server::state::answerGrant(const json &body)
{
    const std::int64_t seconds = integerOf(body, "TTL");
    if (seconds <= 0)
        return errorResponse(invalidArgument);
    const lease_id id = model.grantLease(std::chrono::seconds(seconds), loop.now());
    return jsonResponse(json{{"header", header(model.current())},
                             {"ID", std::to_string(id)},
                             {"TTL", std::to_string(seconds)}}
                            .dump());
}

server_response store_server::state::answerRenewal(const json &body)
{
    const lease_id id = integerOf(body, "ID");
    const result<duration> outcome = model.renewLease(id, loop.now());
    json reply = {{"header", header(model.current())}, {"ID", std::to_string(id)}};
    // etcd reports an ended lease by omitting TTL.
    if (!failureOf(outcome))
        reply["TTL"] = std::to_string(valueOf(outcome) / 1s);
    return jsonResponse(json{{"result", std::move(reply)}}.dump() + '\n');
}

server_response store_server::state::answerRevocation(const json &body)
{
    const result<done> outcome = model.revokeLease(integerOf(body, "ID"));
    if (failureOf(outcome))
        return errorResponse(leaseNotFound);
    return jsonResponse(json{{"header", header(model.current())}}.dump());
}

server_response store_server::state::answerCounts() const
{
    return jsonResponse(json{
        {"reads", counts.reads},
        {"writes", counts.writes},
        {"leases", counts.leases},
        {"watches", counts.watches},
        {"waitingWatches", watches.size()},
        {"total",
         counts.total()}}.dump());
}

void store_server::state::sendLine(std::uint64_t watchNumber, const json &line)
{
    const auto found = watches.find(watchNumber);
    if (found != watches.end())
        found->second.respond->sendChunk(jsonResponse({}), line.dump() + '\n');
}

void store_server::state::sendBatch(std::uint64_t watchNumber, const watch_batch &batch)
{
    json reply = {{"header", header(batch.at)}};
    if (batch.broken) {
        reply["canceled"] = true;
        reply["compact_revision"] = std::to_string(batch.at);
    }
    for (const watch_event &event : batch.events) {
        json object = {{"kv", entryObject(event.entry)}};
        if (event.deleted)
            object["type"] = "DELETE";
        reply["events"].push_back(std::move(object));
    }
    runDelayed([this, watchNumber, line = json{{"result", std::move(reply)}}] {
        sendLine(watchNumber, line);
    });
}

void store_server::state::handleWatch(const json &body, const std::shared_ptr<responder> &respond)
{
    const auto create = body.find("create_request");
    if (create == body.end() || !create->is_object())
        return respond->respond(errorResponse(invalidArgument));
    if (faults.down)
        return respond->abort();
    const std::uint64_t number = ++lastId;
    watches[number] = {respond, 0};
    sendLine(number, {{"result", {{"header", header(model.current())}, {"created", true}}}});
    const store_model::watch_id id
        = model.watch(bytesOf(*create, "key"), bytesOf(*create, "range_end"),
                      integerOf(*create, "start_revision"),
                      [this, number](const watch_batch &batch) { sendBatch(number, batch); });
    watches[number].id = id;
}

result<done> store_server::state::listen(std::string_view where)
{
    http_limits limits;
    limits.maxBodyBytes = maxRequestBytes;
    result<std::unique_ptr<http_server>> started
        = makeHttpServer(loop, where, limits,
                         [weak = weak_from_this()](const server_request &request,
                                                   const std::shared_ptr<responder> &respond) {
                             if (const std::shared_ptr<state> running = weak.lock())
                                 running->handle(request, respond);
                         });
    if (const failure *error = failureOf(started))
        return *error;
    server = std::move(valueOf(started));
    return done{};
}

void store_server::state::closeFor(duration time)
{
    // Posted, because the server must not be destroyed while it handles a request.
    loop.post([this, weak = weak_from_this(), time] {
        const std::shared_ptr<state> running = weak.lock();
        if (!running || !server)
            return;
        const std::string where = server->listenAddress();
        breakWatches();
        server.reset();
        reopenTimer = loop.after(time, [this, where] {
            if (const result<done> opened = listen(where); failureOf(opened))
                std::cerr << "can't listen again: " << failureOf(opened)->reason << '\n';
        });
    });
}

void store_server::state::breakWatches()
{
    for (const auto &[number, watch] : watches) {
        model.cancelWatch(watch.id);
        watch.respond->abort();
    }
    watches.clear();
}

void store_server::state::dropClosedWatches()
{
    for (auto item = watches.begin(); item != watches.end();) {
        if (item->second.respond->isOpen()) {
            ++item;
            continue;
        }
        model.cancelWatch(item->second.id);
        item = watches.erase(item);
    }
}

store_server::store_server(asio_event_loop &loop)
    : m_state(std::make_shared<state>(loop))
{
    m_state->leaseTimer = loop.every(leaseCheckInterval, [running = m_state.get()] {
        running->model.expireLeases(running->loop.now());
        running->dropClosedWatches();
    });
}

store_server::~store_server()
{
    m_state->server.reset();
    m_state->breakWatches();
}

result<done> store_server::listen(std::string_view address)
{
    return m_state->listen(address);
}

std::string store_server::address() const
{
    return m_state->server ? m_state->server->listenAddress() : std::string();
}

store_model &store_server::model()
{
    return m_state->model;
}

store_faults &store_server::faults()
{
    return m_state->faults;
}

const store_counts &store_server::counts() const
{
    return m_state->counts;
}

void store_server::breakWatches()
{
    m_state->breakWatches();
}

} // namespace goldcrest
