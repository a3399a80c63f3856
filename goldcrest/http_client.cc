#include "goldcrest/http_client.h"

#include "goldcrest/text_prefix.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace goldcrest {

namespace {

constexpr duration connectTimeout = 1s;

// A stream has no timeout for the whole exchange, but its response headers must arrive within this
// time.
constexpr duration streamHeaderTimeout = 5s;

// An idle stream is not closed, since a watch may have no events for hours. TCP keep-alive detects
// dead peers instead.
constexpr long keepAliveIdleSeconds = 5;
constexpr long keepAliveIntervalSeconds = 2;

constexpr long maxConnectionsPerHost = 32;
constexpr long maxIdleConnections = 64;
// What libcurl allocates for a header field, besides its bytes.
constexpr std::size_t headerFieldCost = 100;

// Part of the limit on all responses that pieces of streams may use. The rest is left for
// responses, which fail above the limit, while a stream is paused.
constexpr std::size_t streamShare = 4;

// How long a paused stream waits at most before it checks for room.
constexpr int pausedPollMs = 20;

void initialiseCurlOnce()
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Shows whether the callbacks of an exchange may still run. Used on the loop's thread only.
struct liveness
{
    bool alive = true;
};

// Bytes of all responses that a client holds. Used by the transfer thread and the loop's thread.
struct held_bytes
{
    http_client_limits limits;
    std::atomic<std::size_t> total{0};
    std::atomic<std::size_t> streamed{0}; // of `total`, pieces of streams

    // Returns whether there is room for a piece of a stream. A single piece always has room.
    bool fitsPiece(std::size_t bytes) const
    {
        const std::size_t used = streamed;
        return used == 0 || used + bytes <= limits.maxHeldBytes / streamShare;
    }
};

// A piece of a stream, counted until its callback has run.
struct held_piece
{
    held_piece(std::shared_ptr<held_bytes> counted, std::string_view received)
        : held(std::move(counted))
        , bytes(received)
    {
        held->total += bytes.size();
        held->streamed += bytes.size();
    }
    ~held_piece()
    {
        held->streamed -= bytes.size();
        held->total -= bytes.size();
    }
    held_piece(const held_piece &) = delete;
    held_piece &operator=(const held_piece &) = delete;

    std::shared_ptr<held_bytes> held;
    std::string bytes;
};

// One request and its response. Used on the transfer thread only, from transfer_thread::start()
// until the result is posted to the loop.
struct exchange
{
    std::uint64_t id = 0;
    http_request request;
    http_response response;
    curl_slist *headers = nullptr;
    CURL *handle = nullptr;
    event_loop *loop = nullptr;
    std::shared_ptr<liveness> live = std::make_shared<liveness>();
    std::function<void(result<http_response>)> onResponse; // set by send()
    std::function<void(std::string_view)> onData; // set by stream()
    std::function<void(result<done>)> onEnd; // set by stream()
    std::shared_ptr<held_bytes> held; // of the client
    std::size_t heldBytes = 0; // of this response
    std::size_t bodySent = 0;
    time_point startedAt{};
    std::optional<time_point> firstDataAt; // of the response
    time_point lastDataAt{};
    bool isTooLarge = false;
    bool isPaused = false; // a stream without room for its next piece
    bool isHeadComplete = false; // the blank line after the headers has arrived

    exchange() = default;
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;
    ~exchange()
    {
        release();
        held->total -= heldBytes;
    }

    // Counts received bytes. Returns false if they exceed a limit.
    bool hold(std::size_t bytes)
    {
        heldBytes += bytes;
        const std::size_t total = held->total += bytes;
        isTooLarge = heldBytes > held->limits.maxResponseBytes || total > held->limits.maxHeldBytes;
        return !isTooLarge;
    }

    // Frees the objects of libcurl, which the transfer thread may do. The callbacks may own objects
    // of the loop's thread and are not destroyed here.
    void release()
    {
        curl_slist_free_all(headers);
        headers = nullptr;
        if (handle)
            curl_easy_cleanup(handle);
        handle = nullptr;
    }

    void noteData()
    {
        lastDataAt = boot_clock().now();
        if (!firstDataAt)
            firstDataAt = lastDataAt;
    }

    // Returns when the exchange is given up unless data arrives; only for requests with limits of
    // the transfer.
    time_point dueTime() const
    {
        return firstDataAt ? lastDataAt + request.transfer->gap : startedAt + request.timeout;
    }

    bool isStream() const { return static_cast<bool>(onData); }

    // Returns the status of the response; 0 if none has arrived.
    int status() const
    {
        long number = 0;
        if (handle)
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &number);
        return static_cast<int>(number);
    }
};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &running = *static_cast<exchange *>(context);
    const std::size_t bytes = size * count;
    running.noteData();
    if (running.isStream() && isSuccess(running.status())) {
        // libcurl passes the same bytes again when the transfer is resumed.
        if (!running.held->fitsPiece(bytes)) {
            running.isPaused = true;
            return CURL_WRITEFUNC_PAUSE;
        }
        auto piece
            = std::make_shared<const held_piece>(running.held, std::string_view(data, bytes));
        running.loop->post(
            [live = running.live, callback = running.onData, piece = std::move(piece)] {
                if (live->alive)
                    callback(piece->bytes);
            });
        return bytes;
    }
    if (!running.hold(bytes))
        return 0; // makes libcurl abort the transfer
    running.response.body.append(data, bytes);
    return bytes;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &running = *static_cast<exchange *>(context);
    const std::string_view line(data, size * count);
    running.noteData();
    // A final response may follow an interim one, with a head of its own.
    if (startsWith(line, "HTTP/"))
        running.isHeadComplete = false;
    else if (line == "\r\n" || line == "\n")
        running.isHeadComplete = true;
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        if (!running.hold(line.size() + headerFieldCost))
            return 0;
        running.response.headers.emplace_back(lowerCase(line.substr(0, colon)),
                                              std::string(trim(line.substr(colon + 1))));
    }
    return line.size();
}

std::size_t onSend(char *buffer, std::size_t size, std::size_t count, void *context)
{
    auto &running = *static_cast<exchange *>(context);
    const std::string &body = running.request.body;
    const std::size_t bytes = std::min(size * count, body.size() - running.bodySent);
    std::copy_n(body.data() + running.bodySent, bytes, buffer);
    running.bodySent += bytes;
    return bytes;
}

// libcurl retries a request by itself when a reused connection closes without a response. A write
// may have taken effect then. Once a part of the body was sent, it can't send it again without
// rewinding it.
int refuseRewind(void *, curl_off_t, int)
{
    return CURL_SEEKFUNC_FAIL;
}

int onProgress(void *context, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    const auto &running = *static_cast<const exchange *>(context);
    const bool isLate
        = running.status() == 0 && boot_clock().now() - running.startedAt > streamHeaderTimeout;
    return isLate ? 1 : 0; // 1 makes libcurl abort the transfer
}

void applyMethod(exchange &next)
{
    if (next.request.method == "GET")
        return;
    curl_easy_setopt(next.handle, CURLOPT_CUSTOMREQUEST, next.request.method.c_str());
    if (next.request.method == "HEAD") {
        curl_easy_setopt(next.handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (next.request.body.empty()) {
        // A request without a body needs no rewind, so refuseRewind() does not prevent the retry. A
        // new connection does.
        curl_easy_setopt(next.handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(next.handle, CURLOPT_POST, 1L);
    curl_easy_setopt(next.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(next.request.body.size()));
    curl_easy_setopt(next.handle, CURLOPT_READFUNCTION, onSend);
    curl_easy_setopt(next.handle, CURLOPT_READDATA, &next);
    curl_easy_setopt(next.handle, CURLOPT_SEEKFUNCTION, refuseRewind);
}

void applyHeaders(exchange &next)
{
    for (const auto &[name, value] : next.request.headers) {
        // libcurl removes a header given as "name:"; "name;" sends it with an empty value.
        std::string line = name;
        line += value.empty() ? ";" : ": " + value;
        next.headers = curl_slist_append(next.headers, line.c_str());
    }
    // Without this, libcurl waits up to 1 s for "100 Continue" before it sends a large body.
    next.headers = curl_slist_append(next.headers, "Expect:");
    curl_easy_setopt(next.handle, CURLOPT_HTTPHEADER, next.headers);
}

// Creates the libcurl handle of an exchange. Returns false if libcurl fails.
bool prepare(exchange &next)
{
    next.handle = curl_easy_init();
    if (!next.handle)
        return false;
    CURL *handle = next.handle;
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &next);
    curl_easy_setopt(handle, CURLOPT_URL, next.request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    // The proxy variables of the environment must not redirect requests.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, keepAliveIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, keepAliveIntervalSeconds);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &next);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &next);
    const duration total
        = next.request.transfer ? next.request.transfer->total : next.request.timeout;
    next.startedAt = boot_clock().now();
    const duration connecting = total > 0ms ? std::min(total, connectTimeout) : connectTimeout;
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connecting.count()));
    if (total > 0ms) {
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(total.count()));
    } else {
        curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, onProgress);
        curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &next);
        curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    }
    applyMethod(next);
    applyHeaders(next);
    return true;
}

// Returns how many bytes of a request were sent, over all its connections.
long sentBytesOf(CURL *handle)
{
    long bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes;
}

// Returns what was done before an exchange failed. The error alone is that of the last connection.
std::string effortOf(CURL *handle)
{
    if (!handle)
        return {};
    long connections = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connections);
    return " (bytes sent: " + std::to_string(sentBytesOf(handle))
        + ", new connections: " + std::to_string(connections) + ")";
}

failure failureFrom(const exchange &ended, CURLcode error)
{
    const std::string text
        = (ended.isTooLarge ? "the response is larger than the limit" : curl_easy_strerror(error))
        + effortOf(ended.handle);
    // The error does not tell whether the request was sent: if a kept connection is lost, libcurl
    // connects again by itself, and reports why that failed.
    if (ended.handle && sentBytesOf(ended.handle) > 0)
        return makeFailure(code::StoreAmbiguous, "the request failed: " + text);
    return makeFailure(code::StoreUnavailable, "could not connect: " + text);
}

// Runs all transfers of a client on one thread. start() and cancel() may be called from any thread.
class transfer_thread
{
public:
    transfer_thread()
    {
        initialiseCurlOnce();
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, maxConnectionsPerHost);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~transfer_thread()
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (auto &[id, running] : m_running)
            curl_multi_remove_handle(m_multi, running->handle);
        m_running.clear();
        m_added.clear();
        curl_multi_cleanup(m_multi);
    }

    transfer_thread(const transfer_thread &) = delete;
    transfer_thread &operator=(const transfer_thread &) = delete;

    void start(std::unique_ptr<exchange> next)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_added.push_back(std::move(next));
        }
        curl_multi_wakeup(m_multi);
    }

    void cancel(std::uint64_t id)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_cancelled.push_back(id);
        }
        curl_multi_wakeup(m_multi);
    }

private:
    void run()
    {
        constexpr int maxPollMs = 1000;
        while (!m_stopping) {
            applyPendingChanges();
            resumeStreams();
            int active = 0;
            curl_multi_perform(m_multi, &active);
            finishTransfers();
            abortOverdue();
            const duration wait(hasPausedStream() ? pausedPollMs : maxPollMs);
            curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(waitUpTo(wait).count()), nullptr);
        }
    }

    bool hasPausedStream() const
    {
        return std::any_of(m_running.begin(), m_running.end(),
                           [](const auto &entry) { return entry.second->isPaused; });
    }

    // Returns the time until the next exchange is due, at most `longest`.
    duration waitUpTo(duration longest) const
    {
        const time_point now = boot_clock().now();
        for (const auto &[id, running] : m_running) {
            if (running->request.transfer)
                longest = std::min(longest, running->dueTime() - now);
        }
        return std::max<duration>(longest, 1ms);
    }

    // Ends the exchanges whose response does not begin in time or has stopped to arrive. What has
    // arrived by now has been read before.
    void abortOverdue()
    {
        const time_point now = boot_clock().now();
        for (auto next = m_running.begin(); next != m_running.end();) {
            const auto current = next++;
            const exchange &running = *current->second;
            if (!running.request.transfer || now < running.dueTime())
                continue;
            std::unique_ptr<exchange> ended = std::move(current->second);
            m_running.erase(current);
            curl_multi_remove_handle(m_multi, ended->handle);
            finish(std::move(ended), CURLE_OPERATION_TIMEDOUT);
        }
    }

    void resumeStreams()
    {
        for (const auto &[id, running] : m_running) {
            if (!running->isPaused || !running->held->fitsPiece(CURL_MAX_WRITE_SIZE))
                continue;
            running->isPaused = false;
            curl_easy_pause(running->handle, CURLPAUSE_CONT);
        }
    }

    void applyPendingChanges()
    {
        std::vector<std::unique_ptr<exchange>> added;
        std::vector<std::uint64_t> cancelled;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            added.swap(m_added);
            cancelled.swap(m_cancelled);
        }
        for (std::unique_ptr<exchange> &next : added)
            startTransfer(std::move(next));
        for (const std::uint64_t id : cancelled)
            cancelTransfer(id);
    }

    void startTransfer(std::unique_ptr<exchange> next)
    {
        if (!prepare(*next) || curl_multi_add_handle(m_multi, next->handle) != CURLM_OK)
            return finish(std::move(next), CURLE_FAILED_INIT);
        const std::uint64_t id = next->id;
        m_running.emplace(id, std::move(next));
    }

    void cancelTransfer(std::uint64_t id)
    {
        const auto found = m_running.find(id);
        if (found == m_running.end())
            return;
        curl_multi_remove_handle(m_multi, found->second->handle);
        found->second->release();
        // The callbacks may own objects of the loop's thread, so they are destroyed on it.
        event_loop &loop = *found->second->loop;
        std::shared_ptr<exchange> dropped = std::move(found->second);
        m_running.erase(found);
        loop.post([dropped = std::move(dropped)] {});
    }

    void finishTransfers()
    {
        int left = 0;
        while (const CURLMsg *event = curl_multi_info_read(m_multi, &left)) {
            if (event->msg != CURLMSG_DONE)
                continue;
            const CURLcode outcome = event->data.result;
            exchange *ended = nullptr;
            curl_easy_getinfo(event->easy_handle, CURLINFO_PRIVATE, &ended);
            curl_multi_remove_handle(m_multi, event->easy_handle);
            const auto found = m_running.find(ended->id);
            std::unique_ptr<exchange> owned = std::move(found->second);
            m_running.erase(found);
            finish(std::move(owned), outcome);
        }
    }

    static void finish(std::unique_ptr<exchange> ended, CURLcode outcome)
    {
        ended->response.status = ended->status();
        if (ended->firstDataAt)
            ended->response.firstDataAfter = *ended->firstDataAt - ended->startedAt;
        // libcurl reports success if the connection ends within the headers.
        const bool isCut = outcome == CURLE_OK && !ended->isHeadComplete;
        std::optional<failure> error;
        if (outcome != CURLE_OK)
            error = failureFrom(*ended, outcome);
        else if (isCut)
            error = makeFailure(code::StoreAmbiguous, "the response ended within its headers");
        else if (ended->isStream() && !isSuccess(ended->response.status))
            error = makeFailure(code::StoreProtocol,
                                "the stream request returned status "
                                    + std::to_string(ended->response.status));
        ended->release();
        event_loop &loop = *ended->loop;
        // A shared_ptr, since std::function needs copyable captures. It is moved, so that the last
        // reference is released on the loop's thread, where the callbacks must be destroyed.
        std::shared_ptr<exchange> shared = std::move(ended);
        loop.post([shared = std::move(shared), error = std::move(error)] {
            if (!shared->live->alive)
                return;
            if (shared->isStream())
                shared->onEnd(error ? result<done>(*error) : result<done>(done{}));
            else if (error)
                shared->onResponse(*error);
            else
                shared->onResponse(std::move(shared->response));
        });
    }

    CURLM *m_multi = nullptr;
    std::map<std::uint64_t, std::unique_ptr<exchange>> m_running; // transfer thread only
    std::mutex m_mutex; // guards m_added and m_cancelled
    std::vector<std::unique_ptr<exchange>> m_added;
    std::vector<std::uint64_t> m_cancelled;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

class curl_stream final : public http_stream
{
public:
    curl_stream(std::weak_ptr<transfer_thread> transfers, std::uint64_t id,
                std::shared_ptr<liveness> live)
        : m_transfers(std::move(transfers))
        , m_id(id)
        , m_live(std::move(live))
    { }

    ~curl_stream() override
    {
        m_live->alive = false;
        if (const std::shared_ptr<transfer_thread> transfers = m_transfers.lock())
            transfers->cancel(m_id);
    }

    curl_stream(const curl_stream &) = delete;
    curl_stream &operator=(const curl_stream &) = delete;

private:
    std::weak_ptr<transfer_thread> m_transfers;
    std::uint64_t m_id;
    std::shared_ptr<liveness> m_live;
};

class curl_client final : public http_client
{
public:
    curl_client(event_loop &loop, const http_client_limits &limits)
        : m_loop(loop)
        , m_transfers(std::make_shared<transfer_thread>())
        , m_live(std::make_shared<liveness>())
    {
        m_held->limits = limits;
    }

    // Results that are already posted to the loop see that `alive` is false and are ignored.
    ~curl_client() override { m_live->alive = false; }
    curl_client(const curl_client &) = delete;
    curl_client &operator=(const curl_client &) = delete;

    void send(http_request request, std::function<void(result<http_response>)> callback) override
    {
        std::unique_ptr<exchange> next = makeExchange(std::move(request));
        next->live = m_live;
        next->onResponse = std::move(callback);
        m_transfers->start(std::move(next));
    }

    std::unique_ptr<http_stream> stream(http_request request,
                                        std::function<void(std::string_view)> onData,
                                        std::function<void(result<done>)> onEnd) override
    {
        std::unique_ptr<exchange> next = makeExchange(std::move(request));
        next->onData = std::move(onData);
        next->onEnd = std::move(onEnd);
        auto handle = std::make_unique<curl_stream>(m_transfers, next->id, next->live);
        m_transfers->start(std::move(next));
        return handle;
    }

private:
    std::unique_ptr<exchange> makeExchange(http_request request)
    {
        auto next = std::make_unique<exchange>();
        next->id = ++m_lastId;
        next->request = std::move(request);
        next->loop = &m_loop;
        next->held = m_held;
        return next;
    }

    event_loop &m_loop;
    std::shared_ptr<transfer_thread> m_transfers;
    std::shared_ptr<liveness> m_live;
    std::shared_ptr<held_bytes> m_held = std::make_shared<held_bytes>();
    std::uint64_t m_lastId = 0;
};

} // namespace

std::unique_ptr<http_client> makeCurlClient(event_loop &loop, const http_client_limits &limits)
{
    return std::make_unique<curl_client>(loop, limits);
}

} // namespace goldcrest
