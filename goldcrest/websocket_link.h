#pragma once

// Implementation of peer_link on WebSocket, for the links between the processes of goldcrestloft.
// link_endpoints.h has the configuration of WebSocket++, websocket_peer_link.h the links.
//
//   websocket_options options;
//   options.hello = hello_message{"agent", "w3-17", "cell-a", token};
//   options.ownAddress = "127.0.0.1:7203";
//   std::unique_ptr<websocket_network> network = makeWebsocketNetwork(loop, options);
//   network->listen("127.0.0.1:7203", [&](std::shared_ptr<peer_link> link) { ... });
//   std::shared_ptr<peer_link> link = network->dial("127.0.0.1:7101");
//
// A dialled link is open until close() is called or the last shared_ptr to it is released. The
// network owns an accepted link until it closes. Destroying the network closes all links without
// callbacks.

#include "goldcrest/link_filter.h"
#include "goldcrest/memory_budget.h"
#include "goldcrest/message_codec.h"
#include "goldcrest/peer_link.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace goldcrest {

class asio_event_loop;

// Limits and timeouts of the links.
struct link_limits
{
    std::size_t maxFrameBytes = goldcrest::maxFrameBytes;
    std::size_t sendBufferBytes = 8 * 1024 * 1024; // per link
    std::size_t maxConnections = 4096; // accepted links
    std::size_t maxConnectionsPerPeer = 256; // accepted links per IP address
    duration helloTimeout = 2s; // for the opening handshake, and then for the peer's hello
    // A link that received nothing for pingAfter sends a ping, and is closed after idleTimeout
    // without receiving. Both are checked every 200 ms, so a network failure that does not close
    // the connection is detected within 4 s. pingAfter is longer than the 2 s between heartbeats,
    // so that links with heartbeats need no pings.
    duration pingAfter = 2100ms;
    duration idleTimeout = 3600ms;
    // First and longest delay before a dialled link reconnects, without jitter. It doubles with
    // each attempt.
    duration reconnectMin = 100ms;
    duration reconnectMax = 3s;

    // Memory for links that have not opened, and for messages that arrive, on accepted and dialled
    // links. A network without a budget has one of its own.
    std::shared_ptr<memory_budget> budget;
    std::size_t memoryBytes = 64 * 1024 * 1024; // of its own budget
    std::size_t reservedBytes = 0; // of the budget, which other listeners can't use
};

// Traffic of all links since the start of the network. Bytes include WebSocket frame headers, but
// not TCP/IP headers or the opening handshake.
struct link_traffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t pingsSent = 0; // also counted in framesSent
    std::uint64_t sendsRefused = 0; // messages for which send() returned false
    std::uint64_t linksRefused = 0; // closed for a limit, a bad hello, or a malformed frame
    std::uint64_t idleClosed = 0; // closed because nothing arrived
};

struct websocket_options
{
    hello_message hello; // of this process; the peer's hello must have the same token
    std::string ownAddress; // link address of this process, which peerAddress() returns at the peer
    link_limits limits;
    std::uint64_t seed = 1; // of the jitter in the reconnect delays
};

class websocket_network : public peer_network
{
public:
    // Stops accepting links. Open links stay open.
    virtual void stopAccepting() = 0;

    // Returns the address that listen() bound as host:port, with the actual port if port 0 was
    // given; empty before listen().
    virtual std::string listenAddress() const = 0;

    virtual const link_traffic &traffic() const = 0;
    virtual std::size_t openLinks() const = 0;

    // Returns the filter of this process. Changes apply from the next frame on.
    virtual link_filter &filter() = 0;
};

// Returns a network that runs on `loop`, which must outlive it.
std::unique_ptr<websocket_network> makeWebsocketNetwork(asio_event_loop &loop,
                                                        websocket_options options);

} // namespace goldcrest
