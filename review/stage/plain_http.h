#pragma once

// A small HTTP/1.1 server for the stand-ins. It takes the store's queries, which have slashes that
// are not escaped, and destroying it closes all of its connections at once, as a crash does. The
// processes that the stage starts do not inherit its sockets.
//
//   plain_http server(loop.context(), 8080, [](const http_request &request, auto respond) {
//       respond(200, "{}");
//   });

#include "goldcrest/http_client.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrest::review {

class plain_http
{
public:
    // Sends the response, now or later. Status 0 closes the connection instead.
    using respond_function = std::function<void(int status, const std::string &body)>;
    // `url` of the request is its target, as sent; the names of its headers are in lower case.
    using handler_function
        = std::function<void(const http_request &request, const respond_function &respond)>;

    // Listens on a port of the loopback interface. Throws asio::system_error if that fails.
    plain_http(asio::io_context &context, unsigned short port, handler_function handler);
    ~plain_http();
    plain_http(const plain_http &) = delete;
    plain_http &operator=(const plain_http &) = delete;

private:
    struct connection;

    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<handler_function> m_handler;
    std::vector<std::weak_ptr<connection>> m_connections;
};

} // namespace goldcrest::review
