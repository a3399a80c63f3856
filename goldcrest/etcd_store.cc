#include "goldcrest/etcd_store.h"

#include "goldcrest/base64.h"
#include "goldcrest/json_text.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>
#include <utility>

namespace goldcrest {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusServerErrors = 500;

// Maximum length of a line of a watch stream. Each line holds the changes of at least one revision.
constexpr std::size_t maxWatchLineBytes = 16 * 1024 * 1024;

// gRPC status codes that the service returns in its error messages.
enum service_code {
    InvalidArgument = 3,
    NotFound = 5,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    OutOfRange = 11,
    Unimplemented = 12,
    Unauthenticated = 16,
};

// Whether a request can change stored data.
enum class effect { Read, Write };

// Returns an integer field, 0 if it is absent, or nothing if it is malformed. The JSON encoding of
// protocol buffers writes 64-bit integers as strings and omits zeros.
std::optional<std::int64_t> integerOf(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end())
        return 0;
    if (field->is_number_unsigned()
        && field->get<std::uint64_t>()
            > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        return std::nullopt;
    if (field->is_number_integer())
        return field->get<std::int64_t>();
    if (!field->is_string())
        return std::nullopt;
    const std::string &text = field->get_ref<const std::string &>();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<std::string> bytesOf(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end())
        return std::string();
    if (!field->is_string())
        return std::nullopt;
    return decodeBase64(field->get_ref<const std::string &>());
}

bool flagOf(const json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_boolean() && field->get<bool>();
}

const json &objectOf(const json &object, const char *name)
{
    static const json empty = json::object();
    const auto field = object.find(name);
    return field != object.end() && field->is_object() ? *field : empty;
}

std::optional<store_entry> entryFrom(const json &object)
{
    if (!object.is_object())
        return std::nullopt;
    const auto key = bytesOf(object, "key");
    const auto value = bytesOf(object, "value");
    const auto created = integerOf(object, "create_revision");
    const auto modified = integerOf(object, "mod_revision");
    const auto lease = integerOf(object, "lease");
    if (!key || !value || !created || !modified || !lease)
        return std::nullopt;
    return store_entry{*key, *value, *created, *modified, *lease};
}

// Appends the entries of a range response. Returns false if one is malformed.
bool appendEntries(const json &answer, std::vector<store_entry> &entries)
{
    const auto items = answer.find("kvs");
    if (items == answer.end())
        return true;
    if (!items->is_array())
        return false;
    for (const json &item : *items) {
        std::optional<store_entry> entry = entryFrom(item);
        if (!entry)
            return false;
        entries.push_back(*std::move(entry));
    }
    return true;
}

std::optional<store_revision> revisionOf(const json &answer)
{
    const std::optional<std::int64_t> at = integerOf(objectOf(answer, "header"), "revision");
    return at && *at > 0 ? at : std::nullopt;
}

std::string textOf(const json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

// Returns whether an error response means that the request was refused and had no effect. Other
// gRPC codes, such as Canceled, DeadlineExceeded, Unknown and Aborted, and other statuses may
// follow a write that was carried out.
bool isRefusal(int status, std::int64_t number)
{
    constexpr int badRequest = 400;
    constexpr int unauthorized = 401;
    constexpr int forbidden = 403;
    constexpr int notFound = 404;
    constexpr int notAllowed = 405;
    constexpr int tooLarge = 413;
    switch (number) {
    case 0: // not from the service itself
        return status == badRequest || status == unauthorized || status == forbidden
            || status == notFound || status == notAllowed || status == tooLarge;
    case InvalidArgument:
    case PermissionDenied:
    case FailedPrecondition:
    case OutOfRange:
    case Unimplemented:
    case Unauthenticated:
        return true;
    default:
        return false;
    }
}

// Returns the failure for a response with a status other than 200.
failure responseFailure(const http_response &response, effect kind)
{
    const json parsed = parseJson(response.body);
    const json &body = parsed.is_object() ? parsed : objectOf(parsed, "");
    const std::string text = textOf(body, "message");
    const std::string reason = "the store answered with status " + std::to_string(response.status)
        + (text.empty() ? "" : ": " + text);
    constexpr std::int64_t unreadable = -1;
    const std::int64_t number = integerOf(body, "code").value_or(unreadable);
    // The service rejects a request with its own message before it applies it. Messages of the gRPC
    // libraries have the same code if a response is too large, which is after the request was
    // applied.
    const bool isFromService = text.rfind("etcdserver: ", 0) == 0;
    if (number == NotFound)
        return makeFailure(code::LeaseLost, reason);
    if (number == ResourceExhausted && (isFromService || kind == effect::Read))
        return makeFailure(code::StoreOverBudget, reason);
    if (number == InvalidArgument && text.find("too large") != std::string::npos)
        return makeFailure(code::StoreValueTooLarge, reason);
    if (kind == effect::Write)
        return makeFailure(isRefusal(response.status, number) ? code::StoreProtocol
                                                              : code::StoreAmbiguous,
                           reason);
    return makeFailure(response.status < statusServerErrors ? code::StoreProtocol
                                                            : code::StoreUnavailable,
                       reason);
}

failure malformedAnswer(effect kind)
{
    return makeFailure(kind == effect::Write ? code::StoreAmbiguous : code::StoreProtocol,
                       "the store's answer is not in the expected form");
}

// Returns the JSON object of a response, or the failure if there is none.
result<json> answerFrom(result<http_response> outcome, effect kind)
{
    if (const failure *error = failureOf(outcome)) {
        // A failed read has no effect, so its outcome is not ambiguous.
        if (kind == effect::Read && error->number == code::StoreAmbiguous)
            return makeFailure(code::StoreUnavailable, error->reason);
        return *error;
    }
    const http_response &response = valueOf(outcome);
    if (response.status != statusOk)
        return responseFailure(response, kind);
    json answer = parseJson(response.body);
    if (!answer.is_object())
        return malformedAnswer(kind);
    return answer;
}

std::string baseUrlOf(std::string_view url)
{
    std::string base = url.find("://") == std::string_view::npos ? "http://" : "";
    base += url;
    while (!base.empty() && base.back() == '/')
        base.pop_back();
    return base;
}

// Returns the exclusive end of the range of keys with this prefix.
std::string rangeEndOf(std::string_view prefix)
{
    constexpr char highest = '\xff';
    std::string end(prefix);
    while (!end.empty() && end.back() == highest)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0'); // all keys
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

json conditionOf(const store_transaction::condition &condition)
{
    const char *target = condition.onCreateRevision ? "CREATE" : "MOD";
    const char *field = condition.onCreateRevision ? "create_revision" : "mod_revision";
    return {{"key", encodeBase64(condition.key)},
            {"target", target},
            {"result", "EQUAL"},
            {field, std::to_string(condition.expected)}};
}

json operationOf(const store_transaction::write &change)
{
    if (!change.value)
        return {{"request_delete_range", {{"key", encodeBase64(change.key)}}}};
    json put = {{"key", encodeBase64(change.key)}, {"value", encodeBase64(*change.value)}};
    if (change.lease != 0)
        put["lease"] = std::to_string(change.lease);
    return {{"request_put", std::move(put)}};
}

std::string transactionBody(const store_transaction &transaction)
{
    json compare = json::array();
    json success = json::array();
    json failure = json::array();
    for (const store_transaction::condition &condition : transaction.conditions) {
        compare.push_back(conditionOf(condition));
        failure.push_back({{"request_range", {{"key", encodeBase64(condition.key)}}}});
    }
    for (const store_transaction::write &change : transaction.writes)
        success.push_back(operationOf(change));
    return json{{"compare", std::move(compare)},
                {"success", std::move(success)},
                {"failure", std::move(failure)}}
        .dump();
}

std::optional<result<commit_reply>> readCommit(const json &answer)
{
    const std::optional<store_revision> at = revisionOf(answer);
    if (!at)
        return std::nullopt;
    commit_reply reply;
    reply.at = *at;
    reply.applied = flagOf(answer, "succeeded");
    const auto responses = answer.find("responses");
    if (reply.applied || responses == answer.end())
        return reply;
    if (!responses->is_array())
        return std::nullopt;
    for (const json &response : *responses) {
        if (!response.is_object()
            || !appendEntries(objectOf(response, "response_range"), reply.current))
            return std::nullopt;
    }
    return reply;
}

// State of a watch; the stream's callbacks share it with the handle.
struct watch_state
{
    std::function<void(watch_batch)> callback;
    std::string buffer; // received part of an incomplete line
    bool ended = false;

    void endAsBroken()
    {
        if (ended)
            return;
        ended = true;
        callback({{}, 0, true});
    }

    void onData(std::string_view piece)
    {
        buffer.append(piece);
        std::size_t start = 0;
        for (std::size_t end = buffer.find('\n'); end != std::string::npos && !ended;
             end = buffer.find('\n', start)) {
            processLine(std::string_view(buffer).substr(start, end - start));
            start = end + 1;
        }
        buffer.erase(0, start);
        if (buffer.size() > maxWatchLineBytes)
            endAsBroken();
    }

    void processLine(std::string_view line)
    {
        if (line.find_first_not_of(" \t\r") == std::string_view::npos)
            return;
        const json parsed = parseJson(line);
        const auto found = parsed.is_object() ? parsed.find("result") : parsed.end();
        if (!parsed.is_object() || found == parsed.end() || !found->is_object()
            || flagOf(*found, "canceled"))
            return endAsBroken();
        watch_batch batch;
        const std::optional<store_revision> at = revisionOf(*found);
        if (!at || !appendEvents(*found, batch.events))
            return endAsBroken();
        batch.at = *at;
        if (!batch.events.empty())
            callback(std::move(batch));
    }

    static bool appendEvents(const json &found, std::vector<watch_event> &events)
    {
        const auto items = found.find("events");
        if (items == found.end())
            return true;
        if (!items->is_array())
            return false;
        for (const json &item : *items) {
            if (!item.is_object())
                return false;
            std::optional<store_entry> entry = entryFrom(objectOf(item, "kv"));
            if (!entry || entry->key.empty())
                return false;
            events.push_back({*std::move(entry), textOf(item, "type") == "DELETE"});
        }
        return true;
    }
};

class etcd_watch final : public store_watch
{
public:
    etcd_watch(std::shared_ptr<watch_state> state, std::unique_ptr<http_stream> stream)
        : m_state(std::move(state))
        , m_stream(std::move(stream))
    { }

    ~etcd_watch() override { m_state->ended = true; }
    etcd_watch(const etcd_watch &) = delete;
    etcd_watch &operator=(const etcd_watch &) = delete;

private:
    std::shared_ptr<watch_state> m_state;
    std::unique_ptr<http_stream> m_stream;
};

} // namespace

struct etcd_store::members
{
    std::vector<std::string> urls;
    std::size_t current = 0;

    const std::string &url() const { return urls[current]; }

    // Concurrent calls to one member fail together; only the first failure switches to the next
    // member.
    void failOver(std::size_t failed)
    {
        if (failed == current)
            current = (current + 1) % urls.size();
    }
};

etcd_store::etcd_store(http_client &client, event_loop &loop, const std::vector<std::string> &urls)
    : m_client(client)
    , m_loop(loop)
    , m_members(std::make_shared<members>())
{
    for (const std::string &url : urls)
        m_members->urls.push_back(baseUrlOf(url));
    if (urls.empty())
        m_members->urls.push_back(baseUrlOf("")); // calls fail as unavailable
}

etcd_store::etcd_store(http_client &client, event_loop &loop, std::string_view url)
    : etcd_store(client, loop, std::vector<std::string>{std::string(url)})
{ }

// Sends a request and decodes the JSON object of the response. `read` returns nothing if the object
// is not in the expected form.
template<typename T, typename Read>
void etcd_store::exchange(const http_request &request, bool isWrite, store_callback<T> callback,
                          Read read)
{
    const effect kind = isWrite ? effect::Write : effect::Read;
    m_client.send(request,
                  [kind, usedMember = m_members->current, members = m_members,
                   callback = std::move(callback),
                   read = std::move(read)](result<http_response> outcome) {
                      if (failureOf(outcome))
                          members->failOver(usedMember);
                      const result<json> answer = answerFrom(std::move(outcome), kind);
                      if (const failure *error = failureOf(answer))
                          return callback(*error);
                      std::optional<result<T>> value = read(valueOf(answer));
                      callback(value ? *std::move(value) : result<T>(malformedAnswer(kind)));
                  });
}

http_request etcd_store::makeRequest(std::string_view path, std::string body,
                                     duration timeout) const
{
    http_request request;
    request.method = "POST";
    request.url = m_members->url();
    request.url += path;
    request.headers.emplace_back("content-type", "application/json");
    request.body = std::move(body);
    request.timeout = timeout;
    return request;
}

void etcd_store::get(std::string_view key, const call_options &options,
                     store_callback<std::optional<store_entry>> callback)
{
    using entry_option = std::optional<store_entry>;
    const json body = {{"key", encodeBase64(key)}};
    exchange<entry_option>(
        makeRequest("/v3/kv/range", body.dump(), options.deadline), false, std::move(callback),
        [](const json &answer) -> std::optional<result<entry_option>> {
            std::vector<store_entry> entries;
            if (!revisionOf(answer) || !appendEntries(answer, entries))
                return std::nullopt;
            return entries.empty() ? entry_option() : entry_option(std::move(entries.front()));
        });
}

void etcd_store::list(std::string_view prefix, std::size_t limit, const call_options &options,
                      store_callback<std::vector<store_entry>> callback)
{
    using entries = std::vector<store_entry>;
    json body
        = {{"key", prefix.empty() ? encodeBase64(std::string_view("\0", 1)) : encodeBase64(prefix)},
           {"range_end", encodeBase64(rangeEndOf(prefix))}};
    if (limit > 0)
        body["limit"] = std::to_string(limit);
    exchange<entries>(makeRequest("/v3/kv/range", body.dump(), options.deadline), false,
                      std::move(callback),
                      [](const json &answer) -> std::optional<result<entries>> {
                          entries found;
                          if (!revisionOf(answer) || !appendEntries(answer, found))
                              return std::nullopt;
                          return found;
                      });
}

void etcd_store::commit(store_transaction transaction, const call_options &options,
                        store_callback<commit_reply> callback)
{
    for (const store_transaction::write &change : transaction.writes) {
        if (!change.value || change.value->size() <= maxStoreValueBytes)
            continue;
        // Posted, because callbacks must not run inside the call.
        return m_loop.post([callback = std::move(callback), key = change.key] {
            callback(
                makeFailure(code::StoreValueTooLarge, "the value is larger than the limit", key));
        });
    }
    exchange<commit_reply>(
        makeRequest("/v3/kv/txn", transactionBody(transaction), options.deadline),
        !transaction.writes.empty(), std::move(callback), readCommit);
}

void etcd_store::grantLease(duration lifetime, const call_options &options,
                            store_callback<lease_id> callback)
{
    const std::int64_t seconds = (lifetime + 999ms) / 1s;
    const json body = {{"TTL", std::to_string(seconds)}};
    exchange<lease_id>(makeRequest("/v3/lease/grant", body.dump(), options.deadline), true,
                       std::move(callback),
                       [](const json &answer) -> std::optional<result<lease_id>> {
                           const std::optional<std::int64_t> id = integerOf(answer, "ID");
                           if (!id || *id == 0)
                               return std::nullopt;
                           return *id;
                       });
}

void etcd_store::renewLease(lease_id lease, const call_options &options,
                            store_callback<duration> callback)
{
    const json body = {{"ID", std::to_string(lease)}};
    exchange<duration>(
        makeRequest("/v3/lease/keepalive", body.dump(), options.deadline), true,
        std::move(callback), [](const json &answer) -> std::optional<result<duration>> {
            const json &found = objectOf(answer, "result");
            const std::optional<std::int64_t> seconds = integerOf(found, "TTL");
            constexpr auto longest = std::chrono::duration_cast<std::chrono::seconds>(longestTime);
            if (found.empty() || !seconds || *seconds > longest.count())
                return std::nullopt;
            if (*seconds <= 0)
                return makeFailure(code::LeaseLost, "the lease has ended");
            return duration(std::chrono::seconds(*seconds));
        });
}

void etcd_store::revokeLease(lease_id lease, const call_options &options,
                             store_callback<done> callback)
{
    const json body = {{"ID", std::to_string(lease)}};
    exchange<done>(makeRequest("/v3/lease/revoke", body.dump(), options.deadline), true,
                   std::move(callback),
                   [](const json &) -> std::optional<result<done>> { return done{}; });
}

std::unique_ptr<store_watch> etcd_store::watch(std::string_view prefix, store_revision from,
                                               std::function<void(watch_batch)> callback)
{
    json create = {{"key", encodeBase64(prefix)}, {"range_end", encodeBase64(rangeEndOf(prefix))}};
    if (from > 0)
        create["start_revision"] = std::to_string(from);
    auto state = std::make_shared<watch_state>();
    state->callback = std::move(callback);
    http_request request
        = makeRequest("/v3/watch", json{{"create_request", std::move(create)}}.dump(), 0ms);
    std::unique_ptr<http_stream> stream = m_client.stream(
        std::move(request), [state](std::string_view piece) { state->onData(piece); },
        [state](const result<done> &) { state->endAsBroken(); });
    return std::make_unique<etcd_watch>(std::move(state), std::move(stream));
}

} // namespace goldcrest
