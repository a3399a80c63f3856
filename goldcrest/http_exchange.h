#pragma once

// One request and its response, between RESTinio and the handler of an HTTP server.
//
//   settings.request_handler([state](const restinio::request_handle_t &request) {
//       handleRequest(state, request);
//       return restinio::request_accepted();
//   });

#include "goldcrest/http_connection.h"

#include <memory>

namespace goldcrest::http_impl {

// Passes a request to the handler of its server. A request that is malformed or exceeds the limit
// on open requests is answered with an error.
void handleRequest(const std::shared_ptr<server_state> &server,
                   const restinio::request_handle_t &request);

} // namespace goldcrest::http_impl
