#pragma once

// Helpers for tests of links: networks of several processes on one event loop, and a raw TCP client
// that sends bytes a network must reject.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/websocket_link.h"

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Long enough for a loaded machine; tests wait for conditions and return as soon as they hold.
constexpr duration testWaitLimit = 30s;

// A network that accepts on a free loopback port and records what it receives.
struct test_node
{
    test_node(asio_event_loop &loop, std::string_view name, websocket_options options = {});

    std::string address() const { return network->listenAddress(); }

    std::unique_ptr<websocket_network> network;
    std::vector<std::shared_ptr<peer_link>> accepted;
    std::vector<message> received;
    int closed = 0;
};

// Applies a few random mutations: changes a byte, truncates, removes bytes or repeats bytes.
std::string mutate(std::string bytes, std::minstd_rand &random);

// A blocking TCP client that can send malformed data.
class raw_connection
{
public:
    explicit raw_connection(std::string_view address);
    ~raw_connection();
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    bool isConnected() const { return m_socket >= 0; }
    void write(std::string_view bytes) const;

    // Appends what has arrived to received(); returns false once the other side has closed.
    bool poll();
    const std::string &received() const { return m_received; }

private:
    int m_socket = -1;
    std::string m_received;
};

} // namespace goldcrest
