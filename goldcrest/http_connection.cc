#include "goldcrest/http_connection.h"

#include "goldcrest/refusal_log.h"

#include <fmt/format.h>

#include <array>

namespace goldcrest::http_impl {

namespace {

// How long a connection stays open after an error response, so that the client can read it.
constexpr duration lingerTimeout = 1s;

// Connections that are refused stay open for lingerTimeout at most up to this number, and only
// while they send less than maxLingerBytes.
constexpr std::size_t maxLingering = 64;
constexpr std::size_t maxLingerBytes = 2 * 1024 * 1024;

// The objects of RESTinio and this file, with the read buffer of 4 KiB.
constexpr std::size_t connectionCost = 9 * 1024;

server_registry &registryOf(net::ip::tcp::socket &socket)
{
    auto &context = net::query(socket.get_executor(), net::execution::context);
    return net::use_service<server_registry>(context);
}

// Closes the connection of a refused client after it stopped sending, has sent maxLingerBytes, or
// lingerTimeout has passed. Closing with unread data would reset the connection, and the client
// would lose the error response.
struct lingering_close : std::enable_shared_from_this<lingering_close>
{
    explicit lingering_close(net::ip::tcp::socket &&refusedSocket)
        : socket(std::move(refusedSocket))
        , timer(socket.get_executor(), lingerTimeout)
        , registry(registryOf(socket))
    {
        ++registry.lingering;
    }
    ~lingering_close() { --registry.lingering; }
    lingering_close(const lingering_close &) = delete;
    lingering_close &operator=(const lingering_close &) = delete;

    void start()
    {
        timer.async_wait([self = shared_from_this()](const net::error_code &) {
            net::error_code ignored;
            self->socket.close(ignored);
        });
        read();
    }

    void read()
    {
        socket.async_read_some(
            net::buffer(buffer),
            [self = shared_from_this()](const net::error_code &error, std::size_t size) {
                self->bytes += size;
                if (error || self->bytes >= maxLingerBytes)
                    self->timer.cancel();
                else
                    self->read();
            });
    }

    net::ip::tcp::socket socket;
    net::steady_timer timer;
    server_registry &registry;
    std::size_t bytes = 0;
    std::array<char, 4096> buffer{};
};

// Returns the error response as the bytes of an HTTP message.
std::string formatRefusal(const failure &error)
{
    const server_response response = errorResponse(error);
    return fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Type: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       response.status, nameOf(error.number), response.contentType,
                       response.body.size(), response.body);
}

} // namespace

connection_state::connection_state(const std::shared_ptr<server_state> &owner, http_socket *stream,
                                   const net::ip::tcp::endpoint &remoteEndpoint)
    : server(owner)
    , socket(stream)
    , remote(remoteEndpoint)
    , entry(owner->budget, owner->pool, *this, owner->loop->now())
{
    ++owner->connectionsPerPeer[remote.address()];
}

connection_state::~connection_state()
{
    release();
}

void connection_state::release()
{
    if (closed)
        return;
    closed = true;
    socket = nullptr;
    entry.leave();
    received.clear();
    const auto lockedServer = server.lock();
    if (!lockedServer)
        return;
    lockedServer->connections.erase(remote);
    const auto found = lockedServer->connectionsPerPeer.find(remote.address());
    if (--found->second == 0)
        lockedServer->connectionsPerPeer.erase(found);
}

bool server_state::makeRoom(const net::ip::address &peer)
{
    const auto found = connectionsPerPeer.find(peer);
    const std::size_t ofPeer = found == connectionsPerPeer.end() ? 0 : found->second;
    const time_point now = loop->now();
    if (ofPeer >= limits.maxConnectionsPerPeer) {
        return budget->dropConnection(pool, now, [&peer](const budget_client &client) {
            return static_cast<const connection_state &>(client).remote.address() == peer;
        });
    }
    return connections.size() < limits.maxConnections
        || budget->dropConnection(pool, now, [](const budget_client &) { return true; });
}

bool server_state::closeWaiting(const connection_state &requester)
{
    return budget->dropConnection(pool, loop->now(), [&requester](const budget_client &client) {
        const auto &other = static_cast<const connection_state &>(client);
        return &other != &requester && !other.inspector.isWithinRequest();
    });
}

bool server_state::charge(connection_state &connection, std::size_t bytes)
{
    while (!connection.entry.charge(bytes)) {
        if (!closeWaiting(connection))
            return false;
    }
    return true;
}

bool server_state::chargeConnection(connection_state &connection, std::size_t bytes)
{
    while (!connection.entry.chargeConnection(bytes)) {
        if (!closeWaiting(connection))
            return false;
    }
    return true;
}

void server_state::checkBudget()
{
    const time_point now = loop->now();
    budget->dropOverdue(pool, now, limits.requestTimes);
    logRefusals(*budget, now);
}

void http_socket::shutdown(net::socket_base::shutdown_type, net::error_code &error)
{
    refuseBeforeClose();
    net::ip::tcp::socket::shutdown(net::socket_base::shutdown_send, error);
}

void http_socket::close()
{
    const auto state = std::exchange(m_state, nullptr);
    if (!state) {
        net::ip::tcp::socket::close();
        return;
    }
    const bool lingers
        = state->refused && !state->peerClosed && registryOf(*this).lingering < maxLingering;
    state->release();
    net::error_code ignored;
    if (!lingers) {
        net::ip::tcp::socket::close(ignored);
        return;
    }
    cancel(ignored);
    std::make_shared<lingering_close>(std::move(*this))->start();
}

void http_socket::refuse(const failure &error)
{
    if (!m_state || m_state->refused)
        return;
    m_state->refused = true;
    // The client would take the error for the response to its open request.
    if (m_state->openRequests > 0)
        return;
    net::error_code ignored;
    non_blocking(true, ignored);
    // Non-blocking: if the client does not read and the buffer is full, the response is lost.
    write_some(net::buffer(formatRefusal(error)), ignored);
}

void http_socket::refuse(const failure &error, refusal_cause cause)
{
    if (!m_state || m_state->refused)
        return;
    if (const auto server = m_state->server.lock())
        server->countRefusal(cause, m_state->remote, error);
    refuse(error);
}

void http_socket::endReading()
{
    net::error_code ignored;
    net::ip::tcp::socket::shutdown(net::socket_base::shutdown_receive, ignored);
}

void http_socket::abort()
{
    net::error_code ignored;
    net::ip::tcp::socket::shutdown(net::socket_base::shutdown_both, ignored);
}

void http_socket::inspect(server_state &server, connection_state &state, std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t before = bytes.size();
        if (const auto refusal = state.inspector.read(bytes, server.limits)) {
            const bool isTooLarge = refusal->number == code::BodyTooLarge;
            state.socket->refuse(*refusal,
                                 isTooLarge ? refusal_cause::TooLarge : refusal_cause::Invalid);
            return;
        }
        state.entry.progress(before - bytes.size(), server.loop->now());
        const std::size_t cost = state.inspector.memoryCost();
        if (cost > state.charged && !server.charge(state, cost - state.charged)) {
            state.socket->refuse(
                makeFailure(code::MemoryLimit, "no memory left for another request"),
                refusal_cause::NoMemory);
            return;
        }
        state.charged = cost;
        if (state.inspector.takeComplete()) {
            state.received.push_back(state.entry.completeRequest(server.loop->now()));
            state.charged = 0;
        }
    }
}

void http_socket::attach()
{
    net::error_code error;
    const auto remote = remote_endpoint(error);
    const auto local = local_endpoint(error);
    if (error)
        return;
    const auto &servers = registryOf(*this).servers;
    const auto found = servers.find(local.port());
    const auto server = found == servers.end() ? nullptr : found->second.lock();
    if (!server)
        return;
    const bool isAdmitted = server->makeRoom(remote.address());
    m_state = std::make_shared<connection_state>(server, this, remote);
    m_state->isLocal = isFromSameMachine(remote.address().to_string(), local.address().to_string());
    if (m_state->isLocal && server->limits.prefersLocalClients)
        m_state->entry.protect();
    server->connections[remote] = m_state;
    if (isAdmitted && server->chargeConnection(*m_state, connectionCost))
        return;
    refuse(makeFailure(code::TooManyConnections, "too many open connections"),
           refusal_cause::Connections);
    endReading();
}

void http_socket::refuseBeforeClose()
{
    if (!m_state || m_state->refused || m_state->peerClosed)
        return;
    // RESTinio rejects some requests that the inspector accepts, such as by the number of
    // fields.
    if (m_state->parsing) {
        refuse(makeFailure(code::InvalidValue, "the request is not valid HTTP/1.1"),
               refusal_cause::Invalid);
        return;
    }
    if (!m_state->inspector.isWithinRequest())
        return;
    const auto server = m_state->server.lock();
    if (!server)
        return;
    refuse(makeFailure(code::HeaderTimeout,
                       fmt::format("no complete request within {} ms",
                                   server->limits.headerTimeout.count())),
           refusal_cause::Stalled);
}

void connection_state::drop(refusal_cause cause)
{
    http_socket *const stream = socket;
    const auto lockedServer = server.lock();
    if (stream == nullptr || !lockedServer || refused)
        return;
    if (!inspector.isWithinRequest()) {
        refused = true; // an idle client would take an error for the response to its next request
        lockedServer->countRefusal(cause, remote, std::nullopt);
    } else if (cause == refusal_cause::Stalled) {
        stream->refuse(makeFailure(code::HeaderTimeout, "the request made too little progress"));
    } else {
        stream->refuse(makeFailure(code::MemoryLimit, "dropped in favour of other requests"));
    }
    stream->endReading();
    release();
}

} // namespace goldcrest::http_impl
