#pragma once

// Asynchronous HTTP client. makeCurlClient() gives the one on libcurl.

#include "goldcrest/event_loop.h"
#include "goldcrest/outcome.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

struct http_request
{
    std::string method = "GET";
    std::string url; // http://host:port/path
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    duration timeout = 2s; // of the whole exchange; 0 means none, for streams
};

struct http_response
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;
};

// A streamed exchange; destroying it ends the exchange.
class http_stream
{
public:
    virtual ~http_stream() = default;
};

class http_client
{
public:
    virtual ~http_client() = default;

    // Sends a request. Callbacks run on the event loop.
    // Errors: StoreUnavailable if the connection was never made (the request was not sent),
    // StoreAmbiguous if it broke or timed out after that. Callers with another peer than the store
    // map these codes to theirs.
    virtual void send(http_request request, std::function<void(result<http_response>)> callback)
        = 0;

    // Sends a request and delivers the answer's body in pieces. `onEnd` runs once, if the stream
    // ends by itself; with StoreProtocol if the status is not 2xx.
    virtual std::unique_ptr<http_stream> stream(http_request request,
                                                std::function<void(std::string_view)> onData,
                                                std::function<void(result<done>)> onEnd)
        = 0;
};

// Returns a client that runs its transfers on one thread of its own and posts results to `loop`.
// The loop must outlive the client. Destroying the client drops all callbacks.
std::unique_ptr<http_client> makeCurlClient(event_loop &loop);

} // namespace goldcrest
