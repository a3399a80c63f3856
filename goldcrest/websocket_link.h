#pragma once

// Links between the system's own processes over WebSocket. Only websocket_link.cc includes
// WebSocket++.
//
//   websocket_options options;
//   options.hello = hello_message{"agent", "w3-17", "cell-a", token};
//   options.ownAddress = "127.0.0.1:7203";
//   std::unique_ptr<websocket_network> network = makeWebsocketNetwork(loop, options);
//   network->listen("127.0.0.1:7203", [&](std::shared_ptr<peer_link> link) { ... });
//   std::shared_ptr<peer_link> link = network->dial("127.0.0.1:7101");
//
// A dialled link lives until close() or until its last handle goes. An accepted link is kept by the
// network until it closes. Destroying the network closes all links without callbacks.

#include "goldcrest/message_codec.h"
#include "goldcrest/peer_link.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

class asio_event_loop;

struct link_limits
{
    std::size_t maxFrameBytes = goldcrest::maxFrameBytes;
    std::size_t sendBufferBytes = 8 * 1024 * 1024; // of one link
    std::size_t maxConnections = 4096; // accepted links
    std::size_t maxConnectionsPerPeer = 256; // accepted links of one IP address
    duration helloTimeout = 2s;
    // A link on which nothing arrived for pingAfter sends a ping; one on which nothing arrived for
    // idleTimeout is closed. Both are checked every 200 ms, so a silent cut is noticed within 4 s.
    // pingAfter is above the 2 s between heartbeats, so that links with heartbeats need no pings.
    duration pingAfter = 2100ms;
    duration idleTimeout = 3600ms;
    duration reconnectMin = 100ms;
    duration reconnectMax = 3s;
};

// Direction of frames that a filter drops, as seen from this process.
enum class link_direction { Sending, Receiving, Both };

struct link_block
{
    std::string peer; // host:port of the other process's link address, or "*" for all
    link_direction direction = link_direction::Both;
};

// Fault injection for tests: drops what this process sends to, or receives from, chosen peers,
// without closing the connection, as a cut of the network does.
class link_filter
{
public:
    void set(std::vector<link_block> blocks) { m_blocks = std::move(blocks); }
    const std::vector<link_block> &blocks() const { return m_blocks; }

    bool blocksSending(std::string_view peer) const;
    bool blocksReceiving(std::string_view peer) const;

private:
    std::vector<link_block> m_blocks;
};

// Parses "host:port" or "host:port=sending" or "=receiving" or "=both", or "*" as the peer; the
// form of the settings and of the administrative call.
// Errors: InvalidValue.
result<link_block> parseLinkBlock(std::string_view text);

// Traffic of all links since the start, with WebSocket frame headers, without TCP/IP headers and
// the opening handshake.
struct link_traffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t pingsSent = 0; // counted as frames too
    std::uint64_t sendsRefused = 0; // send() returned false
    std::uint64_t linksRefused = 0; // closed for a limit, a bad hello, or a malformed frame
    std::uint64_t idleClosed = 0; // closed because nothing arrived
};

struct websocket_options
{
    hello_message hello; // of this process; its token is required from the other side
    std::string ownAddress; // link address of this process, for peerAddress() at the other side
    link_limits limits;
    std::uint64_t seed = 1; // of the jitter between connection attempts
};

class websocket_network : public peer_network
{
public:
    // Closes the acceptor; open links go on.
    virtual void stopAccepting() = 0;

    // Address that listen() bound, with the real port if 0 was asked for; empty before listen().
    virtual std::string listenAddress() const = 0;

    virtual const link_traffic &traffic() const = 0;
    virtual std::size_t openLinks() const = 0;

    // The filter of this process; changes take effect at the next frame.
    virtual link_filter &filter() = 0;
};

std::unique_ptr<websocket_network> makeWebsocketNetwork(asio_event_loop &loop,
                                                        websocket_options options);

} // namespace goldcrest
