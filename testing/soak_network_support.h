#pragma once

// Network parts of the soak: a small HTTP/1.1 server for its stand-ins and a TCP proxy with faults.
//
//   soak_http_server store(loop, 0, handleRequest);
//   soak_proxy proxy(loop, [&] { return store.port(); });
//   proxy.inject(link_fault::CutToTarget, 2s);
//
// All listen on the loopback interface. Processes that are started later don't inherit the sockets.

#include "goldcrest/asio_event_loop.h"

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace goldcrest {

// Random choices of one part of the soak.
class soak_random
{
public:
    explicit soak_random(std::uint64_t seed)
        : m_engine(seed)
    { }

    // Returns a number from `least` to `most`, both included.
    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_engine);
    }
    std::size_t below(std::size_t count)
    {
        return static_cast<std::size_t>(between(0, static_cast<std::int64_t>(count) - 1));
    }
    duration time(duration least, duration most)
    {
        return duration(between(least.count(), most.count()));
    }
    bool chance(double share) { return std::bernoulli_distribution(share)(m_engine); }

private:
    std::mt19937_64 m_engine;
};

// Runs `task` once after a time in microseconds. It can't be cancelled.
void afterMicroseconds(asio_event_loop &loop, std::int64_t time, std::function<void()> task);

// Accepts connections at a port of the loopback interface; 0 takes a free one.
class soak_listener
{
public:
    using accepted_function = std::function<void(asio::ip::tcp::socket accepted)>;

    // Throws asio::system_error if the port is in use.
    soak_listener(asio_event_loop &loop, int port, accepted_function onAccepted);
    int port() const { return m_reservation.local_endpoint().port(); }
    // Refuses new connections for a time, and then listens at the same port again.
    void refuse(duration time);

private:
    void listen();
    void accept();

    asio_event_loop &m_loop;
    // Bound to the port but never listening, so that nobody else gets the port meanwhile.
    asio::ip::tcp::acceptor m_reservation;
    asio::ip::tcp::acceptor m_acceptor;
    time_point m_refusedUntil{};
    accepted_function m_onAccepted;
    // Expires with the listener, of which an accepted connection may still be queued.
    std::shared_ptr<char> m_lifetime = std::make_shared<char>();
};

struct soak_request
{
    std::string method;
    std::string target; // path and query, as sent
    std::string instance; // Expected-Instance
    std::string body;
};

class soak_http_server
{
public:
    // Sends the response, now or later. Status 0 closes the connection instead. A request without
    // a response leaves its connection open and silent.
    using respond_function = std::function<void(int status, const std::string &body)>;
    using handler_function
        = std::function<void(const soak_request &request, const respond_function &respond)>;

    soak_http_server(asio_event_loop &loop, int port, handler_function handler);
    // Closes all connections at once, as a crash does.
    ~soak_http_server() { closeConnections(false); }
    int port() const { return m_listener.port(); }
    // Closes all connections, and refuses new ones for a time.
    void refuse(duration time, bool withReset);

private:
    struct connection;

    void closeConnections(bool withReset);

    handler_function m_handler;
    std::vector<std::weak_ptr<connection>> m_connections;
    soak_listener m_listener;
};

// Faults of the open connections of a proxy; all but Reset and Silence also hit new ones. Bytes and
// the end of a connection that are held up by a cut arrive when it ends.
enum class link_fault { Delay, Reset, Silence, CutToTarget, CutToClient, Cut };

class soak_proxy
{
public:
    // @param target returns the port to which a new connection is forwarded
    soak_proxy(asio_event_loop &loop, std::function<int()> target);
    ~soak_proxy() { inject(link_fault::Reset, 0ms); }
    int port() const { return m_listener.port(); }

    // @param time until a delay or a cut ends by itself
    void inject(link_fault kind, duration time, duration delay = 0ms);
    // Closes all connections, and refuses new ones for a time.
    void refuse(duration time, bool withReset);
    // Ends delays and cuts.
    void heal();

private:
    struct link;
    struct fault_state;

    asio_event_loop &m_loop;
    std::shared_ptr<fault_state> m_faults;
    std::vector<std::shared_ptr<link>> m_links;
    soak_listener m_listener;
};

} // namespace goldcrest
