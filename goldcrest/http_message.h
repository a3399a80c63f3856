#pragma once

// Requests and responses as handlers of an HTTP server see them.
//
//   if (!hasBearerToken(request, token))
//       return errorResponse(makeFailure(code::Unauthorized, "a valid bearer token is required"));
//   const std::optional<std::string> wait = request.parameter("waitMs");

#include "goldcrest/outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

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

} // namespace goldcrest
