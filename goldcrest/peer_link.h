#pragma once

// Abstract link between two of the system's own processes.
//
//   network->listen(address, [&](std::shared_ptr<peer_link> link) { ... });
//   std::shared_ptr<peer_link> link = network->dial("127.0.0.1:7101");
//   link->onMessage([&](const message &received) { ... });
//   link->send(heartbeat_message{...});
//
// A link keeps the order of messages while it is open and loses those in flight when it closes. A
// dialled link connects again by itself, with jittered exponential delay, until it is closed.

#include "goldcrest/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

class peer_link
{
public:
    virtual ~peer_link() = default;

    // Queues a message. Returns false, and drops it, if the link is not open or its send buffer is
    // full.
    virtual bool send(const message &value) = 0;

    // Closes the link for good. No callback runs after this.
    virtual void close() = 0;

    virtual bool isOpen() const = 0;

    // Address of the other side as host:port.
    virtual std::string peerAddress() const = 0;

    // The other side's hello; empty fields until it has arrived.
    virtual const hello_message &peer() const = 0;

    // Sets the callbacks. onOpen runs after both hellos were exchanged, each time the link
    // connects.
    virtual void onMessage(std::function<void(const message &)> callback) = 0;
    virtual void onOpen(std::function<void()> callback) = 0;
    virtual void onClose(std::function<void()> callback) = 0;
};

class peer_network
{
public:
    virtual ~peer_network() = default;

    // Accepts links on host:port. The callback runs for each link once its hello was accepted.
    virtual result<done> listen(std::string_view address,
                                std::function<void(std::shared_ptr<peer_link>)> onAccept)
        = 0;

    // Opens a link to host:port and keeps it open.
    virtual std::shared_ptr<peer_link> dial(std::string_view address) = 0;
};

} // namespace goldcrest
