#pragma once

// HTTP server interface. makeHttpServer() returns the implementation on RESTinio, which
// http_connection.h describes.
//
//   const auto handler = [](const server_request &request, std::shared_ptr<responder> respond) {
//       respond->respond({200, "text/plain", {}, "requested " + request.path});
//   };
//   auto server = makeHttpServer(loop, "127.0.0.1:8080", http_limits{}, handler);

#include "goldcrest/clock.h"
#include "goldcrest/http_message.h"
#include "goldcrest/memory_budget.h"
#include "goldcrest/outcome.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

class asio_event_loop;

// Sends the response to one request, at once or later. Must be used on the loop's thread. A
// responder that is destroyed before it was used responds with error Internal.
class responder
{
public:
    virtual ~responder() = default;

    virtual void respond(server_response response) = 0;

    // Sends a piece of a chunked response. The first call also sends the status and headers of
    // `head`; its body is not used.
    virtual void sendChunk(const server_response &head, std::string_view piece) = 0;

    // Completes a chunked response.
    virtual void endChunks() = 0;

    // Closes the connection without a response, or before a chunked response is complete. Only
    // stand-ins use it, to inject faults.
    virtual void abort() { }

    // Returns whether a response can still be sent: none was completed, and the connection is not
    // known to be closed.
    virtual bool isOpen() const = 0;
};

// Limits of a server, which protect it from faulty and slow clients.
struct http_limits
{
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 1024;
    std::size_t maxConnectionsPerPeer = 256; // per IP address
    std::size_t maxOpenRequests = 4096;
    duration headerTimeout = 5s; // from connecting, or from the last response, to a whole request
    duration writeTimeout = 10s; // of a response, or of a piece of a chunked one

    // Of a request that has begun. Connections that wait for a request are not subject to them.
    memory_budget::time_limits requestTimes;

    // Memory for connections and requests in flight. A server without a budget has one of its own.
    std::shared_ptr<memory_budget> budget;
    std::size_t memoryBytes = 64 * 1024 * 1024; // of its own budget
    std::size_t reservedBytes = 0; // of the budget, which other listeners can't use

    // Size of the kernel's receive buffer of each connection, which Linux doubles. Bytes that the
    // process has not read yet count towards the memory limit of its machine.
    int receiveBufferBytes = 16 * 1024;

    // Drops requests from the machine of the server only if there are no others to drop.
    bool prefersLocalClients = false;
};

using http_handler
    = std::function<void(const server_request &request, std::shared_ptr<responder> respond)>;

class http_server
{
public:
    virtual ~http_server() = default;

    // Stops accepting connections. Open requests are still answered.
    virtual void stopAccepting() = 0;

    // Returns the number of requests without a complete response.
    virtual std::size_t openRequests() const = 0;

    // Returns the number of open connections.
    virtual std::size_t openConnections() const = 0;

    // Returns the bound address as host:port, with the actual port if port 0 was given.
    virtual std::string listenAddress() const = 0;
};

// Starts a server on host:port. `handler` runs on the loop's thread. Destroying the server closes
// its connections. Requests that exceed a limit get an error response: BodyTooLarge, HeaderTimeout,
// TooManyConnections, TooManyRequests, MemoryLimit, or InvalidValue for a header that is malformed
// or too large. In favour of a new connection, one is closed that is stalled or waits for its next
// request.
// Errors: SettingsInvalid if the address is not host:port or can't be bound.
result<std::unique_ptr<http_server>> makeHttpServer(asio_event_loop &loop, std::string_view address,
                                                    const http_limits &limits,
                                                    http_handler handler);

} // namespace goldcrest
