#include "standins/kv_service.h"

#include "goldcrest/base64.h"
#include "goldcrest/http_server.h"
#include "goldcrest/text_prefix.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr duration responseDelay = 4ms; // response time of the users' store

json itemOf(const store_entry &entry)
{
    return {{"key", entry.key},
            {"value", encodeBase64(entry.value)},
            {"revision", entry.modRevision},
            {"created", entry.createRevision},
            {"lease", entry.lease}};
}

http_response respond(int status, const json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

// Decodes a query value. It may contain unescaped slashes, which decodePercent() refuses.
std::string decodeQuery(const std::string &text)
{
    std::string decoded;
    std::size_t from = 0;
    while (true) {
        const std::size_t end = std::min(text.find('/', from), text.size());
        decoded += valueOf(decodePercent(text.substr(from, end - from)));
        if (end == text.size())
            return decoded;
        decoded += '/';
        from = end + 1;
    }
}

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    std::size_t from = 0;
    while (from < text.size()) {
        const std::size_t end = std::min(text.find('&', from), text.size());
        const std::string pair = text.substr(from, end - from);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = decodeQuery(pair.substr(equals + 1));
        from = end + 1;
    }
    return query;
}

std::int64_t parseIdAfter(const std::string &path, const std::string &prefix)
{
    return std::stoll(path.substr(prefix.size()));
}

} // namespace

kv_service::kv_service(event_loop &loop, store_model &model)
    : m_loop(loop)
    , m_model(model)
    , m_timers(loop)
{ }

void kv_service::send(http_request request, callback_type callback)
{
    const std::size_t pathStart = request.url.find('/', std::string("http://").size());
    const std::string target = request.url.substr(pathStart);
    m_calls.push_back(request.method + ' ' + target);
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, queryStart);
    const auto query = parseQuery(queryStart < target.size() ? target.substr(queryStart + 1) : "");
    if (m_faults.refuse > 0) {
        --m_faults.refuse;
        return m_timers.after(responseDelay, [callback, status = m_faults.refusalStatus] {
            callback(respond(status, json::object()));
        });
    }
    if (path == "/v1/kv-watch" && m_faults.refuseWatches)
        return deliver(request, respond(400, json::object()), std::move(callback));
    if (path == "/v1/kv-watch")
        return watch(query, request, std::move(callback));
    http_response response = answer(request.method, path, query, request.body);
    if (m_faults.misreport > 0) {
        --m_faults.misreport;
        response = respond(m_faults.misreportedStatus, json::object());
    }
    const bool losesPage = m_faults.losePages > 0 && query.count("after") > 0;
    if (m_faults.loseAnswers > 0 || losesPage) {
        --(losesPage ? m_faults.losePages : m_faults.loseAnswers);
        return m_timers.after(request.timeout, [callback] {
            callback(makeFailure(code::StoreAmbiguous, "no answer"));
        });
    }
    deliver(request, std::move(response), std::move(callback));
}

// Sends a response over the caller's link, one after the other. A response that is cut off stops at
// once, but for what the link has taken already.
void kv_service::deliver(const http_request &request, http_response response,
                         callback_type callback)
{
    constexpr std::size_t linkBuffer = 65'536; // bytes
    const std::size_t bytes = response.body.size();
    if (m_faults.bytesPerMs == 0) {
        m_sentBytes += bytes;
        return m_timers.after(responseDelay,
                              [callback = std::move(callback), response = std::move(response)] {
                                  callback(response);
                              });
    }
    const time_point now = m_loop.now();
    const time_point begin = std::max(now + responseDelay, m_linkFreeAt);
    const auto transferTime
        = [this](std::size_t size) { return duration(size / m_faults.bytesPerMs); };
    const time_point end = begin + transferTime(bytes);
    const time_point cutAt = now + (request.transfer ? request.transfer->total : request.timeout);
    if (begin > now + request.timeout || end > cutAt) {
        const time_point givenUpAt = std::min(now + request.timeout, cutAt);
        const time_point linkFreeAt
            = std::min(end, std::max(begin, givenUpAt) + transferTime(linkBuffer));
        m_sentBytes += static_cast<std::size_t>((linkFreeAt - begin).count()) * m_faults.bytesPerMs;
        m_linkFreeAt = linkFreeAt;
        return m_timers.after(givenUpAt - now, [callback = std::move(callback)] {
            callback(makeFailure(code::StoreAmbiguous, "the response did not arrive in time"));
        });
    }
    m_sentBytes += bytes;
    m_linkFreeAt = end;
    response.firstDataAfter = begin - now;
    m_timers.after(end - now, [callback = std::move(callback), response = std::move(response)] {
        callback(response);
    });
}

std::unique_ptr<http_stream> kv_service::stream(http_request, std::function<void(std::string_view)>,
                                                std::function<void(result<done>)>)
{
    return nullptr; // the store has no streams
}

http_response kv_service::answer(const std::string &method, const std::string &path,
                                 const std::map<std::string, std::string> &query,
                                 const std::string &body)
{
    const std::string keepPath = "/v1/kv-keep/";
    const std::string endPath = "/v1/kv-lease-end/";
    m_model.expireLeases(m_loop.now());
    if (path == "/v1/kv-key") {
        const auto found = m_model.range(query.at("key"), {});
        if (found.empty())
            return respond(404, json::object());
        json item = itemOf(found[0]);
        item["as_of"] = m_model.current();
        return respond(200, item);
    }
    if (path == "/v1/kv-range")
        return range(query);
    if (path == "/v1/kv-txn")
        return transact(json::parse(body));
    if (path == "/v1/kv-lease") {
        const std::int64_t lifetime = json::parse(body)["ttl_ms"];
        return respond(200,
                       {{"lease", m_model.grantLease(duration(lifetime), m_loop.now())},
                        {"ttl_ms", lifetime}});
    }
    if (method == "POST" && startsWith(path, keepPath)) {
        const auto remaining = m_model.renewLease(parseIdAfter(path, keepPath), m_loop.now());
        if (failureOf(remaining))
            return respond(404, json::object());
        return respond(200, {{"ttl_ms", valueOf(remaining).count()}});
    }
    if (method == "DELETE" && startsWith(path, endPath)) {
        const auto ended = m_model.revokeLease(parseIdAfter(path, endPath));
        return respond(failureOf(ended) ? 404 : 200, json::object());
    }
    return respond(400, json::object());
}

http_response kv_service::range(const std::map<std::string, std::string> &query) const
{
    const std::string &prefix = query.at("prefix");
    const auto after = query.find("after");
    json items = json::array();
    bool hasMore = false;
    for (const store_entry &entry : m_model.range(prefix, prefixEnd(prefix))) {
        if (after != query.end() && entry.key <= after->second)
            continue;
        if (items.size() == m_faults.pageItems) {
            hasMore = true;
            break;
        }
        items.push_back(itemOf(entry));
    }
    return respond(200, {{"items", items}, {"has_more", hasMore}, {"as_of", m_model.current()}});
}

http_response kv_service::transact(const json &body)
{
    store_transaction transaction;
    for (const json &row : body["expected_rev"])
        transaction.requireModRevision(row["key"].get<std::string>(), row["revision"]);
    for (const json &row : body["set_keys"])
        transaction.put(row["key"].get<std::string>(),
                        *decodeBase64(row["value"].get<std::string>()),
                        row.value("lease", std::int64_t{0}));
    for (const json &key : body["remove"])
        transaction.remove(key.get<std::string>());
    const result<commit_reply> outcome = m_model.commit(transaction);
    if (failureOf(outcome))
        return respond(404, json::object());
    const commit_reply &reply = valueOf(outcome);
    if (reply.applied)
        return respond(200, {{"revision", reply.at}});
    json items = json::array();
    for (const store_entry &entry : reply.current)
        items.push_back(itemOf(entry));
    return respond(412, {{"items", items}});
}

// Responds with the first batch of events, or with an empty list after wait_ms.
void kv_service::watch(const std::map<std::string, std::string> &query, const http_request &request,
                       callback_type callback)
{
    struct pending
    {
        callback_type callback;
        store_model::watch_id id = 0;
        bool isAnswered = false;
    };
    const auto waiting = std::make_shared<pending>();
    waiting->callback = std::move(callback);
    const auto respondOnce = [this, waiting, request](const result<http_response> &outcome) {
        if (std::exchange(waiting->isAnswered, true))
            return;
        const auto end = [this, waiting](const result<http_response> &answered) {
            m_model.cancelWatch(waiting->id);
            waiting->callback(answered);
        };
        if (!failureOf(outcome))
            return deliver(request, valueOf(outcome), end);
        m_timers.after(responseDelay, [end, outcome] { end(outcome); });
    };
    const std::string prefix = query.at("prefix");
    const std::int64_t after = std::stoll(query.at("after"));
    waiting->id = m_model.watch(
        prefix, prefixEnd(prefix), after + 1, [this, respondOnce](const watch_batch &batch) {
            if (m_faults.hideEvents)
                return;
            if (batch.broken)
                return respondOnce(respond(410, json::object()));
            json events = json::array();
            for (const watch_event &event : batch.events) {
                if (event.deleted)
                    events.push_back({{"key", event.entry.key},
                                      {"revision", event.entry.modRevision},
                                      {"deleted", true}});
                else
                    events.push_back(itemOf(event.entry));
            }
            respondOnce(respond(200, {{"events", events}, {"as_of", batch.at}}));
        });
    m_timers.after(duration(std::stoll(query.at("wait_ms"))), [this, respondOnce] {
        if (m_faults.failWatches)
            return respondOnce(makeFailure(code::StoreUnavailable, "the connection was closed"));
        respondOnce(respond(200, {{"events", json::array()}, {"as_of", m_model.current()}}));
    });
}

} // namespace goldcrest
