#pragma once

// Asynchronous HTTP client interface. makeCurlClient() returns the implementation on libcurl.
//
//   std::unique_ptr<http_client> client = makeCurlClient(loop);
//   client->send({"GET", "http://127.0.0.1:8080/v1/status"}, [](result<http_response> response) {
//       if (!failureOf(response))
//           handleStatus(valueOf(response).body);
//   });

#include "goldcrest/event_loop.h"
#include "goldcrest/outcome.h"
#include "goldcrest/transfer_limits.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
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
    duration timeout = 2s; // of the whole exchange; 0 means no timeout, for streams
    // If set, `timeout` only bounds the time until the response begins to arrive. Not for streams.
    std::optional<transfer_limits> transfer = std::nullopt;
};

struct http_response
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;
    duration firstDataAfter{}; // time from the start of the exchange until the response began
};

// Handle of a streamed exchange. Destroying it ends the exchange; no callback runs afterwards.
class http_stream
{
public:
    virtual ~http_stream() = default;
};

class http_client
{
public:
    virtual ~http_client() = default;

    // Sends a request. The callback runs on the event loop. A response with any status is a
    // success.
    // Errors: StoreUnavailable if no byte of the request was sent, on any connection;
    // StoreAmbiguous otherwise, since the request may have taken effect. Callers that talk to a
    // server other than the store map these codes to their own.
    virtual void send(http_request request, std::function<void(result<http_response>)> callback)
        = 0;

    // Sends a request and passes the response body to `onData` piece by piece. `onEnd` runs once,
    // when the stream ends by itself. Both run on the event loop. While pieces that wait for the
    // loop use up their share of the limits, the stream is not read further.
    // Errors: as send(); StoreProtocol if the status is not 2xx.
    virtual std::unique_ptr<http_stream> stream(http_request request,
                                                std::function<void(std::string_view)> onData,
                                                std::function<void(result<done>)> onEnd)
        = 0;
};

// Limits on what a client holds of responses, headers included, until their callbacks have run.
struct http_client_limits
{
    std::size_t maxResponseBytes = 64 * 1024 * 1024; // of one response
    std::size_t maxHeldBytes = 256 * 1024 * 1024; // of all responses
};

// Returns a client that runs all transfers on one thread of its own and posts the results to
// `loop`, which must outlive the client. After the client and its streams are destroyed, no
// callback runs. A response above a limit ends with StoreAmbiguous.
std::unique_ptr<http_client> makeCurlClient(event_loop &loop,
                                            const http_client_limits &limits = {});

} // namespace goldcrest
