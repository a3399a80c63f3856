#pragma once

// The configuration of WebSocket++, its endpoints and its connections.
//
//   link_endpoints endpoints;
//   endpoints.client.init_asio(&loop.context());
//   const connection_ptr con = endpoints.client.get_connection("ws://10.0.0.8:7203/link", error);

#include "goldcrest/link_messages.h"
#include "goldcrest/outcome.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace goldcrest::link_impl {

// WebSocket++ configuration of both endpoints: no logs, no locks since all run on one thread, and
// small read buffers.
struct link_config : websocketpp::config::asio
{
    using type = link_config;
    using base = websocketpp::config::asio;
    using concurrency_type = websocketpp::concurrency::none;
    using request_type = base::request_type;
    using response_type = base::response_type;
    using message_type = charged_message;
    using con_msg_manager_type = charged_messages;
    using endpoint_msg_manager_type = base::endpoint_msg_manager_type;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    // Source of the masking keys. The dialling side masks its frames, and one configuration serves
    // both endpoints.
    using rng_type
        = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    struct transport_config : base::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        // NOLINTBEGIN(readability-identifier-naming): names required by WebSocket++
        static const long timeout_connect = 2000; // ms
        static const long timeout_dns_resolve = 2000; // ms
        static const long timeout_socket_shutdown = 1000; // ms
        // NOLINTEND(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    // NOLINTBEGIN(readability-identifier-naming): names required by WebSocket++
    // A planner has hundreds of links. The default of 16 KiB each would take half of its memory
    // budget.
    static const std::size_t connection_read_buffer_size = 2048;
    // Opening handshakes have no body.
    static const std::size_t max_http_body_size = 0;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    // NOLINTEND(readability-identifier-naming)
};

using server_endpoint = websocketpp::server<link_config>;
using client_endpoint = websocketpp::client<link_config>;
using connection = websocketpp::connection<link_config>;
using connection_ptr = std::shared_ptr<connection>;
using websocketpp::connection_hdl;

// The accepting and the dialling side of WebSocket++.
struct link_endpoints
{
    server_endpoint server;
    client_endpoint client;
};

// Returns the IP address of the other side, or "unknown".
std::string remoteIp(const connection_ptr &con);

// Returns the other side as IP address and port, or "unknown".
std::string remoteAddress(const connection_ptr &con);

// Returns why a connection ended.
failure describeEnd(const connection_ptr &con);

} // namespace goldcrest::link_impl
