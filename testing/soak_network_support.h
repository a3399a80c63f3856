#pragma once

// Network parts of the soak: a small HTTP/1.1 server for its stand-ins and a TCP proxy with faults.
//
//   soak_http_server store(loop, 0, [](const http_request &request, auto respond) {
//       respond(200, "{}");
//   });
//   soak_proxy proxy(loop, [&] { return store.port(); });
//   proxy.cut(soak_proxy::direction::ToTarget, 2s);
//
// All listen on the loopback interface. Processes that are started later don't inherit the sockets.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_client.h"

#include <array>
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
void afterMicroseconds(asio_event_loop &loop, std::int64_t microseconds,
                       std::function<void()> task);

class soak_http_server
{
public:
    // Sends the response, now or later. Status 0 closes the connection instead. A request without
    // a response leaves its connection open and silent.
    using respond_function = std::function<void(int status, const std::string &body)>;
    // `url` of the request is its target, as sent; the names of its headers are in lower case.
    using handler_function
        = std::function<void(const http_request &request, const respond_function &respond)>;

    // @param port 0 for a free one
    // Throws asio::system_error if the port is in use.
    soak_http_server(asio_event_loop &loop, int port, handler_function handler);
    // Closes all connections at once, as a crash does.
    ~soak_http_server();
    soak_http_server(const soak_http_server &) = delete;
    soak_http_server &operator=(const soak_http_server &) = delete;

    int port() const;

private:
    struct connection;

    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<handler_function> m_handler;
    std::vector<std::weak_ptr<connection>> m_connections;
};

class soak_proxy
{
public:
    enum class direction { ToTarget, ToClient };

    // @param target returns the port to which a new connection is forwarded
    soak_proxy(asio_event_loop &loop, std::function<int()> target);
    ~soak_proxy();
    soak_proxy(const soak_proxy &) = delete;
    soak_proxy &operator=(const soak_proxy &) = delete;

    int port() const;

    // Delays all bytes, in both directions.
    void delay(duration by, duration time);
    // Holds all bytes of one direction, and the end of a connection, until the time has passed.
    void cut(direction way, duration time);
    // Resets the open connections.
    void reset();
    // Open connections stay open and pass nothing more. New ones work.
    void silence();
    // Ends the effects of delay() and cut().
    void heal();

private:
    struct link;
    struct fault_state;

    void accept();

    asio_event_loop &m_loop;
    std::function<int()> m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<fault_state> m_faults;
    std::vector<std::shared_ptr<link>> m_links;
};

} // namespace goldcrest
