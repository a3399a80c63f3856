#pragma once

// HTTP server interface. makeHttpServer() gives the one on RESTinio; only http_server.cc includes
// RESTinio.

#include "goldcrest/clock.h"
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

// Decodes percent escapes of one path segment or query value; '+' stays as it is.
// Errors: InvalidValue.
result<std::string> decodePercent(std::string_view text);

struct server_request
{
    std::string method;
    std::string path; // without the query, with its percent escapes
    std::vector<std::pair<std::string, std::string>> query; // decoded
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;

    // Returns the value of a header or of a query parameter, or nothing.
    std::optional<std::string> header(std::string_view lowerCaseName) const;
    std::optional<std::string> parameter(std::string_view name) const;
};

// Returns whether a request carries the bearer token; any request does if `token` is empty.
bool hasBearerToken(const server_request &request, std::string_view token);

struct server_response
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// Returns the answer to a request that ended with a failure:
// {"error":{"code":n,"name":"...","field":"...","reason":"..."}} with the code's HTTP status.
server_response errorResponse(const failure &why);

// Answers one request, now or later, from the loop's thread. A responder that is dropped unused
// answers 500.
class responder
{
public:
    virtual ~responder() = default;

    virtual void respond(server_response response) = 0;

    // Sends a piece of a chunked answer; the first call sends the status and headers of `head`.
    virtual void sendChunk(const server_response &head, std::string_view piece) = 0;
    virtual void endChunks() = 0;

    // Closes the connection without an answer, or without the rest of it. Stand-ins inject such
    // faults; a real service always answers.
    virtual void abort() { }

    // Returns whether the caller is still connected, as far as is known.
    virtual bool isOpen() const = 0;
};

struct http_limits
{
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 1024;
    std::size_t maxConnectionsPerPeer = 256;
    std::size_t maxOpenRequests = 4096;
    duration headerTimeout = 5s; // from connecting, or from the last answer, to a whole request
    duration writeTimeout = 10s; // of an answer, or of a piece of it
};

using http_handler
    = std::function<void(const server_request &request, std::shared_ptr<responder> respond)>;

class http_server
{
public:
    virtual ~http_server() = default;

    // Stops accepting connections; open requests go on.
    virtual void stopAccepting() = 0;

    // Number of requests without a complete answer.
    virtual std::size_t openRequests() const = 0;

    // Number of open connections.
    virtual std::size_t openConnections() const = 0;

    // Address that was bound, with the real port if 0 was asked for.
    virtual std::string listenAddress() const = 0;
};

// Starts a server on host:port. `handler` runs on the loop's thread. Destroying the server closes
// its connections. Requests beyond the limits are answered with BodyTooLarge, HeaderTimeout,
// TooManyConnections, TooManyRequests, or InvalidValue for a header that is malformed or too large.
// Errors: SettingsInvalid if the address can't be bound.
result<std::unique_ptr<http_server>> makeHttpServer(asio_event_loop &loop, std::string_view address,
                                                    const http_limits &limits,
                                                    http_handler handler);

} // namespace goldcrest
