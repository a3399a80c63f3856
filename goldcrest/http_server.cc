#include "goldcrest/http_server.h"

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_connection.h"
#include "goldcrest/http_exchange.h"

#include <restinio/all.hpp>

#include <charconv>
#include <utility>

namespace goldcrest {

namespace {

namespace net = restinio::asio_ns;

using http_impl::http_socket;
using http_impl::server_registry;
using http_impl::server_state;

constexpr duration timerCheckInterval = 250ms;
// Long enough never to apply: the handlers limit the time of a request themselves.
constexpr duration handlerTimeout = 24h;
// Reading the next request while one is open also detects that the client closed the connection.
constexpr std::size_t maxPipelinedRequests = 2;
constexpr duration budgetCheckInterval = 250ms;

struct server_traits : restinio::default_single_thread_traits_t
{
    using stream_socket_t = http_socket;
};

using restinio_server = restinio::http_server_t<server_traits>;

class restinio_http_server final : public http_server
{
public:
    restinio_http_server(asio_event_loop &loop, const std::string &host, std::uint16_t port,
                         const http_limits &limits, http_handler handler);
    ~restinio_http_server() override;
    restinio_http_server(const restinio_http_server &) = delete;
    restinio_http_server &operator=(const restinio_http_server &) = delete;

    void stopAccepting() override;
    std::size_t openRequests() const override { return m_state->openRequests; }
    std::size_t openConnections() const override { return m_state->connections.size(); }
    std::string listenAddress() const override { return m_host + ":" + std::to_string(m_port); }

private:
    net::io_context &m_context;
    std::shared_ptr<server_state> m_state = std::make_shared<server_state>();
    std::string m_host;
    std::uint16_t m_port = 0;
    timer_handle m_check;
    std::unique_ptr<restinio_server> m_server;
};

restinio_http_server::restinio_http_server(asio_event_loop &loop, const std::string &host,
                                           std::uint16_t port, const http_limits &limits,
                                           http_handler handler)
    : m_context(loop.context())
    , m_host(host)
{
    m_state->limits = limits;
    m_state->handler = std::move(handler);
    m_state->loop = &loop;
    m_state->budget
        = limits.budget ? limits.budget : std::make_shared<memory_budget>(limits.memoryBytes);
    m_state->pool = m_state->budget->addPool(limits.reservedBytes);
    m_check = loop.every(budgetCheckInterval, [state = m_state.get()] { state->checkBudget(); });
    const std::weak_ptr<server_state> weak = m_state;
    restinio::server_settings_t<server_traits> settings;
    settings.port(port)
        .address(host)
        .timer_manager(timerCheckInterval)
        .read_next_http_message_timelimit(limits.headerTimeout)
        .write_http_response_timelimit(limits.writeTimeout)
        .handle_request_timeout(handlerTimeout)
        .max_pipelined_requests(maxPipelinedRequests)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(limits.maxHeaderBytes)
                                      .max_field_name_size(limits.maxHeaderBytes)
                                      .max_field_value_size(limits.maxHeaderBytes)
                                      .max_field_count(limits.maxHeaderBytes)
                                      .max_body_size(limits.maxBodyBytes))
        // Without this, each piece of a chunked response would wait about 40 ms for the delayed
        // acknowledgement of the previous one.
        .socket_options_setter([](restinio::socket_options_t &options) {
            options.set_option(net::ip::tcp::no_delay(true));
        })
        .acceptor_options_setter([&limits](restinio::acceptor_options_t &options) {
            options.set_option(net::ip::tcp::acceptor::reuse_address(true));
            // Accepted sockets inherit it.
            options.set_option(net::socket_base::receive_buffer_size(limits.receiveBufferBytes));
        })
        .acceptor_post_bind_hook(
            [this](net::ip::tcp::acceptor &acceptor) { m_port = acceptor.local_endpoint().port(); })
        .request_handler([weak](const restinio::request_handle_t &request) {
            const auto state = weak.lock();
            if (!state)
                return restinio::request_rejected();
            handleRequest(state, request);
            return restinio::request_accepted();
        });
    m_server = std::make_unique<restinio_server>(restinio::external_io_context(m_context),
                                                 std::move(settings));
    m_server->open_sync();
    net::use_service<server_registry>(m_context).servers[m_port] = m_state;
}

restinio_http_server::~restinio_http_server()
{
    stopAccepting();
    net::use_service<server_registry>(m_context).servers.erase(m_port);
    const auto connections = m_state->connections;
    for (const auto &[endpoint, weak] : connections) {
        const auto connection = weak.lock();
        if (connection && connection->socket)
            connection->socket->close();
    }
}

void restinio_http_server::stopAccepting()
{
    m_state->accepting = false;
    m_server->close_sync();
}

} // namespace

result<std::unique_ptr<http_server>> makeHttpServer(asio_event_loop &loop, std::string_view address,
                                                    const http_limits &limits, http_handler handler)
{
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const bool hasPort = colon != std::string_view::npos && colon > 0 && colon + 1 < address.size();
    const std::from_chars_result parsed
        = std::from_chars(hasPort ? address.data() + colon + 1 : end, end, port);
    // A port above 65535 leaves 0, which would mean any free port.
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return makeFailure(code::SettingsInvalid, "not a host:port: " + std::string(address));
    std::string host(address.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    try {
        return std::unique_ptr<http_server>(
            std::make_unique<restinio_http_server>(loop, host, port, limits, std::move(handler)));
    } catch (const std::exception &error) {
        return makeFailure(code::SettingsInvalid,
                           "can't listen on " + std::string(address) + ": " + error.what());
    }
}

} // namespace goldcrest
