#include "goldcrest/asio_host_probe.h"

#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
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

probe_outcome outcomeOf(const asio::error_code &error)
{
    if (!error)
        return probe_outcome::Accepted;
    return error == asio::error::connection_refused ? probe_outcome::Refused
                                                    : probe_outcome::NoAnswer;
}

} // namespace

struct asio_host_probe::attempt
{
    explicit attempt(asio::io_context &context)
        : socket(context)
    { }

    asio::ip::tcp::socket socket;
    timer_handle limit;
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
    const auto finish = [attempts = std::weak_ptr(m_attempts), weak = std::weak_ptr(made),
                         callback = std::move(callback)](probe_outcome outcome) {
        const auto pending = attempts.lock();
        const std::shared_ptr<attempt> ended = weak.lock();
        if (pending && ended && pending->erase(ended) > 0)
            callback(outcome);
    };
    if (!endpoint)
        return m_loop.post([finish] { finish(probe_outcome::NoAnswer); });
    made->limit = m_loop.after(limit, [finish] { finish(probe_outcome::NoAnswer); });
    made->socket.async_connect(
        *endpoint, [finish](const asio::error_code &error) { finish(outcomeOf(error)); });
}

} // namespace goldcrest
