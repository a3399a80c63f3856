#pragma once

// HTTP server interface. makeHttpServer() returns the implementation on RESTinio; only
// http_server.cc includes RESTinio.
//
//   const auto handler = [](const server_request &request, std::shared_ptr<responder> respond) {
//       respond->respond({200, "text/plain", {}, "requested " + request.path});
//   };
//   auto server = makeHttpServer(loop, "127.0.0.1:8080", http_limits{}, handler);

#include "goldcrest/clock.h"
#include "goldcrest/memory_budget.h"
#include "goldcrest/outcome.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

class asio_event_loop;

// Decodes the percent escapes of one path segment or query value. A '+' is not decoded to a space.
// Errors: InvalidValue if an escape is malformed.
result<std::string> decodePercent(std::string_view text);

struct server_request
{
    std::string method;
    std::string path; // without the query; percent escapes are not decoded
    std::vector<std::pair<std::string, std::string>> query; // decoded
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;
    std::string peer; // host:port of the client, for the log
    bool isLocal = false; // the client is on the machine of the server

    // Returns the first header or query parameter of this name, or std::nullopt if there is none.
    std::optional<std::string> header(std::string_view lowerCaseName) const;
    std::optional<std::string> parameter(std::string_view name) const;
};

// Returns whether a connection comes from the machine of the server.
// @param remote IP address of the client
// @param local  IP address at which the server has taken the connection
bool isFromSameMachine(std::string_view remote, std::string_view local);

// Returns whether a request carries the bearer token. Always true if `token` is empty, which turns
// authentication off.
bool hasBearerToken(const server_request &request, std::string_view token);

struct server_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// Returns the response to a request that failed. Its status is that of the error code, its body
// {"error":{"code":n,"name":"...","field":"...","reason":"..."}}.
server_response errorResponse(const failure &error);

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
