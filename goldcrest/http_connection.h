#pragma once

// The connections of an HTTP server, below RESTinio: they are charged to the memory budget, refused
// with an error response above a limit, and closed in favour of others.
//
//   server_state   one server: its limits, budget and connections
//   http_socket    the TCP socket that RESTinio reads from; inspects what it has read
//
// RESTinio reads from a http_socket as from any socket of Asio. The socket finds its server in the
// server_registry by its local port, and charges received bytes before RESTinio parses them.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_request_inspector.h"
#include "goldcrest/http_server.h"
#include "goldcrest/memory_budget.h"

#include <restinio/all.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace goldcrest::http_impl {

namespace net = restinio::asio_ns;

class http_socket;
struct server_state;

// State of one connection, by which the limits are enforced. Counted per peer and in the server
// until release().
struct connection_state final : budget_client
{
    connection_state(const std::shared_ptr<server_state> &owner, http_socket *stream,
                     const net::ip::tcp::endpoint &remoteEndpoint);
    ~connection_state() override;
    connection_state(const connection_state &) = delete;
    connection_state &operator=(const connection_state &) = delete;

    // Marks the connection as closed and removes it from the server's counts.
    void release();

    void drop(refusal_cause cause) override;

    std::weak_ptr<server_state> server;
    http_socket *socket; // null once the connection is closed
    net::ip::tcp::endpoint remote;
    bool isLocal = false; // the client is on this machine
    request_inspector inspector;
    bool parsing = false; // RESTinio is handling received bytes
    bool peerClosed = false;
    bool refused = false; // closed by the server because of an error
    bool closed = false;
    std::size_t openRequests = 0;
    budget_entry entry;
    std::size_t charged = 0; // for the request that is being received
    std::deque<budget_charge> received; // requests that RESTinio has not passed on yet
};

// State of one server, which its connections and responders share.
struct server_state
{
    http_limits limits;
    http_handler handler;
    asio_event_loop *loop = nullptr;
    std::shared_ptr<memory_budget> budget;
    memory_budget::pool_id pool = 0;
    std::map<net::ip::tcp::endpoint, std::weak_ptr<connection_state>> connections;
    std::map<net::ip::address, std::size_t> connectionsPerPeer;
    std::size_t openRequests = 0;
    bool accepting = true;

    // Records a refusal for the log, and counts its cause unless the budget has.
    void countRefusal(refusal_cause cause, const net::ip::tcp::endpoint &remote,
                      const std::optional<failure> &error)
    {
        if (error)
            budget->count(cause);
        budget->setLastRefusal(fmt::format("{}: {}", remote.address().to_string(),
                                           error ? error->reason : std::string(nameOf(cause))));
    }

    // Closes a connection that can be spared if a limit on connections is reached. Returns whether
    // another one is admitted.
    bool makeRoom(const net::ip::address &peer);

    // Charges bytes of the request that a connection receives, and closes connections that wait for
    // a request while there is no memory.
    // @return false if there is no memory left; nothing was charged then
    bool charge(connection_state &connection, std::size_t bytes);

    // As charge(), for the connection itself.
    bool chargeConnection(connection_state &connection, std::size_t bytes);

    // Drops overdue requests, and writes what was refused to the log.
    void checkBudget();

private:
    // Closes another connection that waits for a request. Returns false if there is none.
    bool closeWaiting(const connection_state &requester);
};

// Maps local ports to servers. A socket finds its server here, since RESTinio constructs sockets
// with nothing but the io_context.
class server_registry final : public net::execution_context::service
{
public:
    using key_type = server_registry;
    inline static net::execution_context::id id;

    explicit server_registry(net::execution_context &context)
        : net::execution_context::service(context)
    { }
    void shutdown() noexcept override { servers.clear(); }

    std::map<unsigned short, std::weak_ptr<server_state>> servers; // by local port
    std::size_t lingering = 0; // connections of refused clients
};

// TCP socket of RESTinio's connections. RESTinio closes a connection that exceeds a limit without
// an error response. This socket intercepts reads and closes to send the error response first.
class http_socket : public net::ip::tcp::socket
{
public:
    explicit http_socket(net::io_context &context)
        : net::ip::tcp::socket(context)
    { }
    ~http_socket()
    {
        if (m_state)
            m_state->release();
    }
    http_socket(http_socket &&) = default;
    http_socket &operator=(http_socket &&) = default;
    http_socket(const http_socket &) = delete;
    http_socket &operator=(const http_socket &) = delete;

    template<typename Buffers, typename Handler>
    auto async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT: name required by Asio
    {
        if (!m_state)
            attach();
        const auto executor = net::get_associated_executor(handler, get_executor());
        return net::ip::tcp::socket::async_read_some(
            buffers,
            net::bind_executor(
                executor,
                [state = m_state, buffers, callback = std::forward<Handler>(handler)](
                    net::error_code error, std::size_t size) mutable {
                    http_socket::handleRead(state, buffers, error, size, callback);
                }));
    }

    void shutdown(net::socket_base::shutdown_type, net::error_code &error);

    void close();

    // Sends an error response without RESTinio, and marks the connection as refused.
    void refuse(const failure &error);

    // As refuse(), and counts the cause.
    void refuse(const failure &error, refusal_cause cause);

    // Ends the pending read, so that RESTinio closes the connection.
    void endReading();

    // Shuts the connection down in both directions. RESTinio then reads its end and closes it.
    void abort();

private:
    template<typename Buffers, typename Handler>
    static void handleRead(const std::shared_ptr<connection_state> &state, const Buffers &buffers,
                           net::error_code error, std::size_t size, Handler &callback)
    {
        if (!state) {
            callback(error, size);
            return;
        }
        if (error && error != net::error::operation_aborted)
            state->peerClosed = true;
        const auto server = state->server.lock();
        if (!error && server && state->socket && !state->refused) {
            const net::mutable_buffer received(buffers);
            inspect(*server, *state, {static_cast<const char *>(received.data()), size});
        }
        if (!error && state->refused) {
            // Makes RESTinio close the connection as if the client had closed it.
            callback(net::error_code(net::error::eof), 0);
            return;
        }
        state->parsing = true;
        callback(error, size);
        state->parsing = false;
    }

    // Charges received bytes to the budget before RESTinio parses them. Refuses the connection if
    // they exceed a limit or there is no memory left.
    static void inspect(server_state &server, connection_state &state, std::string_view bytes);

    // Finds the server of the connection and counts the connection. Refuses it if there are too
    // many.
    void attach();

    // Sends the error response that RESTinio leaves out when it closes a connection by itself: the
    // request was malformed or did not arrive in time.
    void refuseBeforeClose();

    std::shared_ptr<connection_state> m_state;
};

} // namespace goldcrest::http_impl
