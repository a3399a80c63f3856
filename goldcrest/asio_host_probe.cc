#include "goldcrest/asio_host_probe.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace goldcrest {

namespace {

// Returns the endpoint of a numeric host:port, or nothing if it is not one.
std::optional<asio::ip::tcp::endpoint> endpointOf(const std::string &address)
{
    constexpr std::size_t maxPortDigits = 5;
    constexpr unsigned long maxPort = 65'535;
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const std::string port = address.substr(colon + 1);
    const bool isNumber = !port.empty() && port.size() <= maxPortDigits
        && port.find_first_not_of("0123456789") == std::string::npos;
    asio::error_code error;
    const asio::ip::address host = asio::ip::make_address(address.substr(0, colon), error);
    if (error || !isNumber || std::stoul(port) > maxPort)
        return std::nullopt;
    return asio::ip::tcp::endpoint(host, static_cast<std::uint16_t>(std::stoul(port)));
}

// A server of links answers it with an error.
constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: probe\r\n\r\n";

} // namespace

struct asio_host_probe::attempt
{
    explicit attempt(asio::io_context &context)
        : socket(context)
    { }

    // Sends the request and waits for the first bytes of an answer.
    void ask()
    {
        isConnected = true;
        // The request fits into the send buffer of a new connection.
        asio::error_code error;
        socket.write_some(asio::buffer(request.data(), request.size()), error);
        if (error)
            return finish(probe_outcome::NoAnswer);
        socket.async_read_some(asio::buffer(received),
                               [finish = finish](const asio::error_code &readError, std::size_t) {
                                   finish(readError ? probe_outcome::NoAnswer
                                                    : probe_outcome::Served);
                               });
    }

    asio::ip::tcp::socket socket;
    std::array<char, 64> received{};
    bool isConnected = false;
    timer_handle limit;
    std::function<void(probe_outcome)> finish;
};

asio_host_probe::asio_host_probe(asio_event_loop &loop)
    : m_loop(loop)
    , m_attempts(std::make_shared<std::set<std::shared_ptr<attempt>>>())
{ }

asio_host_probe::~asio_host_probe()
{
    m_attempts->clear();
}

void asio_host_probe::probe(const std::string &address, duration limit,
                            std::function<void(probe_outcome)> callback)
{
    const std::optional<asio::ip::tcp::endpoint> endpoint = endpointOf(address);
    auto made = std::make_shared<attempt>(m_loop.context());
    m_attempts->insert(made);
    // Whichever comes first removes the attempt, which closes its connection.
    made->finish = [attempts = std::weak_ptr(m_attempts), weak = std::weak_ptr(made),
                    callback = std::move(callback)](probe_outcome outcome) {
        const auto pending = attempts.lock();
        const std::shared_ptr<attempt> ended = weak.lock();
        if (pending && ended && pending->erase(ended) > 0)
            callback(outcome);
    };
    if (!endpoint)
        return m_loop.post([finish = made->finish] { finish(probe_outcome::NoAnswer); });
    made->limit = m_loop.after(limit, [made = made.get()] {
        made->finish(made->isConnected ? probe_outcome::Unserved : probe_outcome::NoAnswer);
    });
    made->socket.async_connect(*endpoint,
                               [weak = std::weak_ptr(made)](const asio::error_code &error) {
                                   const std::shared_ptr<attempt> connecting = weak.lock();
                                   if (!connecting)
                                       return;
                                   if (!error)
                                       connecting->ask();
                                   else
                                       connecting->finish(error == asio::error::connection_refused
                                                              ? probe_outcome::Refused
                                                              : probe_outcome::NoAnswer);
                               });
}

} // namespace goldcrest
