#pragma once

// One link on WebSocket++, accepted or dialled: its handshake, messages, checks and reconnects.
//
//   const auto link = std::make_shared<websocket_link>(context, "10.0.0.8:7203", true);
//   context->links.emplace(link.get(), link);
//   link->connect();
//   link->check(loop.now(), false); // every checkInterval

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/link_endpoints.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/memory_budget.h"
#include "goldcrest/websocket_link.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace goldcrest::link_impl {

constexpr std::string_view linkPath = "/link";
constexpr const char *addressHeader = "Goldcrest-Link-Address";
constexpr duration checkInterval = 200ms;

class websocket_link;

// State that the links share with their network. Links hold a weak_ptr to it.
struct link_context
{
    link_context(asio_event_loop &eventLoop, websocket_options linkOptions)
        : loop(eventLoop)
        , options(std::move(linkOptions))
        , budget(options.limits.budget
                     ? options.limits.budget
                     : std::make_shared<memory_budget>(options.limits.memoryBytes))
        , pool(budget->addPool(options.limits.reservedBytes))
        , jitter(options.seed)
    { }

    asio_event_loop &loop;
    websocket_options options;
    std::shared_ptr<link_endpoints> endpoints = std::make_shared<link_endpoints>();
    link_filter filter;
    link_traffic traffic;
    std::shared_ptr<memory_budget> budget;
    memory_budget::pool_id pool = 0;
    std::minstd_rand jitter;
    std::unordered_map<websocket_link *, std::weak_ptr<websocket_link>> links;
    std::set<std::shared_ptr<websocket_link>> accepted;
    std::map<std::string, std::size_t> acceptedPerIp;
    std::size_t acceptedCount = 0;
    std::function<void(std::shared_ptr<peer_link>)> onAccept;
};

using context_ptr = std::shared_ptr<link_context>;

// Counts a refused client of a link, and describes it for the log line of all refused clients.
// @param cause of the refusal; nothing if the budget has counted it
void countRefusal(link_context &context, std::optional<refusal_cause> cause,
                  const std::string &peer, const failure &error);

class websocket_link final : public peer_link, public std::enable_shared_from_this<websocket_link>
{
public:
    websocket_link(const context_ptr &context, std::string address, bool dialled)
        : m_context(context)
        , m_address(std::move(address))
        , m_dialled(dialled)
    { }

    ~websocket_link() override
    {
        detach(websocketpp::close::status::going_away);
        if (const context_ptr context = m_context.lock())
            context->links.erase(this);
    }

    websocket_link(const websocket_link &) = delete;
    websocket_link &operator=(const websocket_link &) = delete;

    bool send(const message &value) override;
    void close() override;
    bool isOpen() const override { return m_phase == phase::Open; }
    std::string peerAddress() const override { return m_address; }
    const hello_message &peer() const override { return m_peer; }
    void onMessage(std::function<void(const message &)> callback) override
    {
        m_onMessage = std::move(callback);
    }
    void onOpen(std::function<void()> callback) override { m_onOpen = std::move(callback); }
    void onClose(std::function<void()> callback) override { m_onClose = std::move(callback); }

    // Starts one attempt to connect a dialled link.
    void connect();

    // Uses a TCP connection that the acceptor has accepted, before its opening handshake. Returns
    // false if there is no memory left for another one.
    bool adopt(const connection_ptr &con);

    // Closes a connection for the sake of the memory budget.
    void endFor(const connection_ptr &con, refusal_cause cause);

    void setAddress(std::string address) { m_address = std::move(address); }

    // Sends a ping or closes the link if nothing arrived for too long. Called every checkInterval.
    // @param isLate the event loop was held up, so that what arrived may not have been read
    void check(time_point now, bool isLate);

    // Closes the connection without running callbacks.
    void detach(websocketpp::close::status::value status);

private:
    enum class phase { Idle, Connecting, Hello, Open, Closed };

    // Charges what arrives on `con` to the budget.
    void chargeTo(const context_ptr &context, const connection_ptr &con);

    // Uses `con` from now on and sets its handlers.
    void attach(const connection_ptr &con);
    void handleOpen();
    void handleFrame(const connection::message_ptr &frame);
    void handleHello(const context_ptr &context, const hello_message &hello);
    void handleControl(std::size_t payload, bool answered);

    // Called when WebSocket++ reports that the connection was closed or could not be opened.
    void handleConnectionEnd(failure cause);

    // Logs the end of the connection, runs onClose if the link was open, and reconnects a dialled
    // link.
    // @param level of the log line; nothing if the end was counted as a refusal
    void handleDisconnect(const failure &cause, std::optional<log_level> level);

    // Closes the connection for a fault of the peer, with a close frame.
    void closeWithError(const failure &cause, websocketpp::close::status::value status);

    // Closes the connection at once, without a close frame.
    // @param level of the log line; nothing if the end was counted as a refusal
    void terminate(const failure &cause, std::optional<log_level> level);
    void becomeOpen(const context_ptr &context);
    void scheduleConnect(const context_ptr &context);
    bool sendFrame(const context_ptr &context, const std::string &frame);
    void sendHello(const context_ptr &context);
    bool receivingBlocked(const context_ptr &context) const
    {
        return context->filter.blocksReceiving(m_address);
    }

    std::weak_ptr<link_context> m_context;
    std::string m_address;
    std::shared_ptr<link_memory> m_memory; // of m_connection
    bool m_dialled;
    phase m_phase = phase::Idle;
    connection_ptr m_connection;
    std::uint32_t m_generation = 0; // number of the connection; handlers of earlier ones do nothing
    hello_message m_peer;
    time_point m_connectedAt;
    time_point m_openedAt;
    time_point m_lastReceived;
    std::uint32_t m_attempts = 0; // to connect, since the link was last open for stableAfter
    timer_handle m_reconnect;
    std::function<void(const message &)> m_onMessage;
    std::function<void()> m_onOpen;
    std::function<void()> m_onClose;
};

} // namespace goldcrest::link_impl
