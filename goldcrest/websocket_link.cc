#include "goldcrest/websocket_link.h"

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/link_address.h"
#include "goldcrest/refusal_log.h"
#include "goldcrest/websocket_peer_link.h"

#include <map>
#include <utility>
#include <vector>

namespace goldcrest {

namespace {

using namespace link_impl; // NOLINT(google-build-using-namespace)

// A longer time between two checks means that this process was paused. The check is skipped then,
// so that what arrived during the pause is read before a link counts as idle.
constexpr duration maxCheckGap = 3 * checkInterval;
// A longer time than this means that the loop was held up, and what arrived may not be read yet.
constexpr duration lateCheckGap = checkInterval * 3 / 2;
// How long the endpoints outlive the network. Longer than every timeout of a connection that is
// still being opened.
constexpr duration endpointGrace = 6s;

// Counts an accepted connection against the limits, until the connection object is destroyed.
struct connection_slot
{
    std::weak_ptr<link_context> context;
    std::string ip;
    connection_slot(std::weak_ptr<link_context> owner, std::string address)
        : context(std::move(owner))
        , ip(std::move(address))
    {
        const context_ptr lockedContext = context.lock();
        ++lockedContext->acceptedCount;
        ++lockedContext->acceptedPerIp[ip];
    }
    connection_slot(const connection_slot &) = delete;
    connection_slot &operator=(const connection_slot &) = delete;
    ~connection_slot()
    {
        const context_ptr owner = context.lock();
        if (!owner)
            return;
        --owner->acceptedCount;
        const auto found = owner->acceptedPerIp.find(ip);
        if (--found->second == 0)
            owner->acceptedPerIp.erase(found);
    }
};

class websocketpp_network final : public websocket_network
{
public:
    websocketpp_network(asio_event_loop &loop, websocket_options options);
    ~websocketpp_network() override;
    websocketpp_network(const websocketpp_network &) = delete;
    websocketpp_network &operator=(const websocketpp_network &) = delete;

    result<done> listen(std::string_view address,
                        std::function<void(std::shared_ptr<peer_link>)> onAccept) override;
    std::shared_ptr<peer_link> dial(std::string_view address) override;
    void stopAccepting() override;
    std::string listenAddress() const override { return m_listenAddress; }
    const link_traffic &traffic() const override { return m_context->traffic; }
    std::size_t openLinks() const override;
    link_filter &filter() override { return m_context->filter; }

private:
    static void handleAccepted(const context_ptr &context, const connection_ptr &con);

    // Returns whether an IP address has as many links as it may have.
    static bool isPeerAtLimit(const link_context &context, const std::string &ip);

    // Returns whether the limits allow another link from an IP address.
    static bool admit(const context_ptr &context, const std::string &ip);
    void checkLinks();

    context_ptr m_context;
    std::string m_listenAddress;
    timer_handle m_check;
    time_point m_lastCheck;
};

websocketpp_network::websocketpp_network(asio_event_loop &loop, websocket_options options)
    : m_context(std::make_shared<link_context>(loop, std::move(options)))
{
    link_endpoints &endpoints = *m_context->endpoints;
    endpoints.server.init_asio(&loop.context());
    endpoints.server.set_reuse_addr(true);
    endpoints.client.init_asio(&loop.context());
    const auto disableDelay = [](const connection_hdl &handle) {
        const auto con = std::static_pointer_cast<connection>(handle.lock());
        if (!con)
            return;
        websocketpp::lib::asio::error_code error;
        con->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), error);
    };
    endpoints.client.set_tcp_post_init_handler(disableDelay);
    const std::weak_ptr<link_context> weak = m_context;
    endpoints.server.set_tcp_post_init_handler([weak, disableDelay](const connection_hdl &handle) {
        disableDelay(handle);
        const context_ptr context = weak.lock();
        const auto con = std::static_pointer_cast<connection>(handle.lock());
        if (context && con)
            handleAccepted(context, con);
    });
    m_lastCheck = loop.now();
    m_check = loop.every(checkInterval, [this] { checkLinks(); });
}

websocketpp_network::~websocketpp_network()
{
    m_check.reset();
    stopAccepting();
    const auto links = m_context->links;
    for (const auto &[raw, weak] : links) {
        if (const auto link = weak.lock())
            link->close();
    }
    // Keeps the endpoints for a while: handlers of the acceptor and of connections that are being
    // opened still refer to them.
    auto graceTimer
        = std::make_shared<asio::steady_timer>(m_context->loop.context(), endpointGrace);
    asio::steady_timer &timer = *graceTimer;
    timer.async_wait([graceTimer = std::move(graceTimer),
                      endpoints = m_context->endpoints](const asio::error_code &) {});
}

result<done> websocketpp_network::listen(std::string_view address,
                                         std::function<void(std::shared_ptr<peer_link>)> onAccept)
{
    std::string host;
    std::string port;
    if (!splitAddress(address, host, port))
        return makeFailure(code::SettingsInvalid, "not a host:port: " + std::string(address));
    server_endpoint &server = m_context->endpoints->server;
    websocketpp::lib::error_code error;
    try {
        server.listen(host, port, error);
        if (!error)
            server.start_accept(error);
    } catch (const std::exception &thrown) {
        return makeFailure(code::SettingsInvalid,
                           "can't listen on " + std::string(address) + ": " + thrown.what());
    }
    if (error)
        return makeFailure(code::SettingsInvalid,
                           "can't listen on " + std::string(address) + ": " + error.message());
    websocketpp::lib::asio::error_code ignored;
    const std::size_t colon = address.rfind(':');
    m_listenAddress = std::string(address.substr(0, colon + 1))
        + std::to_string(server.get_local_endpoint(ignored).port());
    if (m_context->options.ownAddress.empty())
        m_context->options.ownAddress = m_listenAddress;
    m_context->onAccept = std::move(onAccept);
    return done{};
}

bool websocketpp_network::isPeerAtLimit(const link_context &context, const std::string &ip)
{
    const auto found = context.acceptedPerIp.find(ip);
    return found != context.acceptedPerIp.end()
        && found->second >= context.options.limits.maxConnectionsPerPeer;
}

bool websocketpp_network::admit(const context_ptr &context, const std::string &ip)
{
    return context->acceptedCount < context->options.limits.maxConnections
        && !isPeerAtLimit(*context, ip);
}

void websocketpp_network::handleAccepted(const context_ptr &context, const connection_ptr &con)
{
    const std::string ip = remoteIp(con);
    const auto closeUnopened = [&context](const std::string &onlyOf) {
        const auto mayDrop = [&onlyOf](const budget_client &client) {
            const auto &memory = static_cast<const link_memory &>(client);
            return memory.mayGiveWay && (onlyOf.empty() || memory.ip() == onlyOf);
        };
        return context->budget->dropConnection(context->pool, context->loop.now(), mayDrop);
    };
    const bool isAdmitted = admit(context, ip) || closeUnopened(ip)
        || (!isPeerAtLimit(*context, ip) && closeUnopened({}));
    const auto link = std::make_shared<websocket_link>(context, remoteAddress(con), false);
    bool isAdopted = isAdmitted && link->adopt(con);
    // The memory may be used up by other addresses.
    while (isAdmitted && !isAdopted && closeUnopened({}))
        isAdopted = link->adopt(con);
    if (!isAdopted) {
        countRefusal(*context, refusal_cause::Connections, ip,
                     makeFailure(code::TooManyConnections, "too many accepted links"));
        websocketpp::lib::asio::error_code ignored;
        con->get_raw_socket().close(ignored);
        return;
    }
    const std::weak_ptr<link_context> weakContext = context;
    const auto slot = std::make_shared<connection_slot>(context, ip);
    context->links.emplace(link.get(), link);
    context->accepted.insert(link);
    const std::weak_ptr<websocket_link> weakLink = link;
    const std::weak_ptr<connection> weakCon = con;
    con->set_validate_handler([weakContext, weakLink, weakCon, slot](const connection_hdl &) {
        const context_ptr owner = weakContext.lock();
        const auto accepted = weakLink.lock();
        const connection_ptr opening = weakCon.lock();
        if (!owner || !accepted || !opening)
            return false;
        // The dialling process sends its own link address, which identifies it in the filter, the
        // logs and the daemons.
        const std::string &claimedAddress = opening->get_request_header(addressHeader);
        if (isAddress(claimedAddress))
            accepted->setAddress(claimedAddress);
        const std::string address = accepted->peerAddress();
        return opening->get_resource() == linkPath && !owner->filter.blocksReceiving(address)
            && !owner->filter.blocksSending(address);
    });
}

std::shared_ptr<peer_link> websocketpp_network::dial(std::string_view address)
{
    const auto link = std::make_shared<websocket_link>(m_context, std::string(address), true);
    m_context->links.emplace(link.get(), link);
    // Connects later, so that the caller can set its callbacks first.
    const std::weak_ptr<websocket_link> weak = link;
    m_context->loop.post([weak] {
        if (const auto started = weak.lock())
            started->connect();
    });
    return link;
}

void websocketpp_network::stopAccepting()
{
    websocketpp::lib::error_code ignored;
    if (m_context->endpoints->server.is_listening())
        m_context->endpoints->server.stop_listening(ignored);
}

std::size_t websocketpp_network::openLinks() const
{
    std::size_t open = 0;
    for (const auto &[raw, weak] : m_context->links) {
        const auto link = weak.lock();
        if (link && link->isOpen())
            ++open;
    }
    return open;
}

void websocketpp_network::checkLinks()
{
    const time_point now = m_context->loop.now();
    const duration sinceLast = now - std::exchange(m_lastCheck, now);
    if (sinceLast >= maxCheckGap)
        return;
    const bool isLate = sinceLast >= lateCheckGap;
    m_context->budget->dropOverdue(m_context->pool, now, {});
    logRefusals(*m_context->budget, now);
    std::vector<std::shared_ptr<websocket_link>> liveLinks;
    liveLinks.reserve(m_context->links.size());
    for (const auto &[raw, weak] : m_context->links) {
        if (auto link = weak.lock())
            liveLinks.push_back(std::move(link));
    }
    for (const auto &link : liveLinks)
        link->check(now, isLate);
}

} // namespace

std::unique_ptr<websocket_network> makeWebsocketNetwork(asio_event_loop &loop,
                                                        websocket_options options)
{
    return std::make_unique<websocketpp_network>(loop, std::move(options));
}

} // namespace goldcrest
