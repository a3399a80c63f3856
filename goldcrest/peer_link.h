#pragma once

// Interface of a message link between two processes of goldcrestloft, and of the network that opens
// links.
//
//   network->listen(address, [&](std::shared_ptr<peer_link> link) { ... });
//   std::shared_ptr<peer_link> link = network->dial("127.0.0.1:7101");
//   link->onMessage([&](const message &received) { ... });
//   link->send(heartbeat_message{...});
//
// Messages arrive in order while a link is open; those in flight are lost when it closes. A dialled
// link reconnects by itself, with jittered exponential backoff, until close() is called.

#include "goldcrest/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

// A link to one peer.
class peer_link
{
public:
    virtual ~peer_link() = default;

    // Queues a message. Returns false and drops the message if the link is not open, the send
    // buffer is full, or the message is larger than a frame.
    virtual bool send(const message &value) = 0;

    // Closes the link permanently. No callback runs afterwards.
    virtual void close() = 0;

    virtual bool isOpen() const = 0;

    // Returns the address of the peer as host:port.
    virtual std::string peerAddress() const = 0;

    // Returns the peer's hello. Its fields are empty until the hello has arrived.
    virtual const hello_message &peer() const = 0;

    // Set the callbacks. onOpen runs each time the link connects, after both sides have sent their
    // hello; onClose runs each time an open link is lost.
    virtual void onMessage(std::function<void(const message &)> callback) = 0;
    virtual void onOpen(std::function<void()> callback) = 0;
    virtual void onClose(std::function<void()> callback) = 0;
};

// Opens links to other processes and accepts theirs.
class peer_network
{
public:
    virtual ~peer_network() = default;

    // Accepts links on host:port. The callback runs for each link after the peer's hello was
    // accepted.
    // Errors: SettingsInvalid if the address is not host:port or can't be bound.
    virtual result<done> listen(std::string_view address,
                                std::function<void(std::shared_ptr<peer_link>)> onAccept)
        = 0;

    // Returns a link to host:port, which connects and reconnects in the background. Callbacks that
    // are set at once see the first connection.
    virtual std::shared_ptr<peer_link> dial(std::string_view address) = 0;
};

} // namespace goldcrest
