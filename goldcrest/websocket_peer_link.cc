#include "goldcrest/websocket_peer_link.h"

#include <algorithm>

namespace goldcrest::link_impl {

namespace {

// What a link takes before its hello: the objects of WebSocket++ and its read buffer.
constexpr std::size_t linkCost = 12 * 1024;

// The reconnect delay starts over only after a link was open for this long.
constexpr duration stableAfter = 1s;
constexpr long closeHandshakeMs = 500;

// Constant-time comparison: the time depends on the lengths only.
bool equalTokens(const std::string &a, const std::string &b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

// Returns the size of a WebSocket frame with this payload size.
std::uint64_t frameBytes(std::size_t payload, bool masked)
{
    constexpr std::size_t shortPayload = 125;
    constexpr std::size_t mediumPayload = 0xffff;
    std::uint64_t header = 10;
    if (payload <= shortPayload)
        header = 2;
    else if (payload <= mediumPayload)
        header = 4;
    constexpr std::uint64_t maskBytes = 4;
    return payload + header + (masked ? maskBytes : 0);
}

// The lines are rate-limited per host, since the port of a client changes with each attempt.
void logLinkFault(log_level level, std::string_view event, const std::string &peer,
                  const failure &cause)
{
    const std::string_view host = std::string_view(peer).substr(0, peer.rfind(':'));
    log_line(level, event).error(cause).peer(peer).limit(host).write();
}

} // namespace

void countRefusal(link_context &context, std::optional<refusal_cause> cause,
                  const std::string &peer, const failure &error)
{
    ++context.traffic.linksRefused;
    if (cause)
        context.budget->count(*cause);
    std::string text = peer;
    text.append(": ").append(nameOf(error.number)).append(": ").append(error.reason);
    context.budget->setLastRefusal(std::move(text));
}

bool websocket_link::send(const message &value)
{
    const context_ptr context = m_context.lock();
    if (!context)
        return false;
    if (m_phase != phase::Open) {
        ++context->traffic.sendsRefused;
        return false;
    }
    const std::string frame = encodeMessage(value);
    const link_limits &limits = context->options.limits;
    if (frame.size() > limits.maxFrameBytes) {
        ++context->traffic.sendsRefused;
        logLinkFault(log_level::Error, "message too large for a frame", m_address,
                     makeFailure(code::MalformedMessage,
                                 "message of " + std::to_string(frame.size())
                                     + " bytes is larger than the limit of "
                                     + std::to_string(limits.maxFrameBytes)));
        return false;
    }
    if (m_connection->get_buffered_amount() + frame.size() > limits.sendBufferBytes) {
        ++context->traffic.sendsRefused;
        logLinkFault(log_level::Warning, "send buffer full", m_address,
                     makeFailure(code::LinkClosed,
                                 "more than " + std::to_string(limits.sendBufferBytes)
                                     + " bytes are waiting to be sent"));
        return false;
    }
    return sendFrame(context, frame);
}

bool websocket_link::sendFrame(const context_ptr &context, const std::string &frame)
{
    // Reports a dropped frame as sent, since a sender can't notice that the network loses a frame.
    if (context->filter.blocksSending(m_address))
        return true;
    if (m_memory)
        m_memory->isSending = true;
    const auto error
        = m_connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    if (m_memory)
        m_memory->isSending = false;
    if (error) {
        ++context->traffic.sendsRefused;
        return false;
    }
    ++context->traffic.framesSent;
    context->traffic.bytesSent += frameBytes(frame.size(), m_dialled);
    return true;
}

void websocket_link::sendHello(const context_ptr &context)
{
    sendFrame(context, encodeMessage(context->options.hello));
}

void websocket_link::close()
{
    detach(websocketpp::close::status::normal);
    m_phase = phase::Closed;
    m_reconnect.reset();
    // The callbacks often own objects that own this link; clearing them breaks the cycle.
    m_onMessage = nullptr;
    m_onOpen = nullptr;
    m_onClose = nullptr;
    if (const context_ptr context = m_context.lock())
        context->accepted.erase(shared_from_this());
}

void websocket_link::detach(websocketpp::close::status::value status)
{
    ++m_generation;
    const connection_ptr con = std::exchange(m_connection, nullptr);
    if (m_phase == phase::Hello || m_phase == phase::Open) {
        websocketpp::lib::error_code error;
        if (con)
            con->close(status, "", error);
    }
    if (m_phase != phase::Closed)
        m_phase = phase::Idle;
}

void websocket_link::connect()
{
    const context_ptr context = m_context.lock();
    if (!context || m_phase != phase::Idle)
        return;
    m_phase = phase::Connecting;
    // A connection needs both directions, so a block of either one prevents it.
    if (context->filter.blocksSending(m_address) || context->filter.blocksReceiving(m_address)) {
        handleDisconnect(makeFailure(code::LinkClosed, "blocked by the link filter"),
                         log_level::Info);
        return;
    }
    websocketpp::lib::error_code error;
    const connection_ptr con = context->endpoints->client.get_connection(
        "ws://" + m_address + std::string(linkPath), error);
    if (error) {
        handleDisconnect(makeFailure(code::LinkClosed, error.message()), log_level::Warning);
        return;
    }
    if (!context->options.ownAddress.empty())
        con->append_header(addressHeader, context->options.ownAddress);
    chargeTo(context, con);
    // The process needs its own links more than those of its clients, so that a link is opened even
    // if the budget has no room for it.
    m_memory->entry().chargeConnection(linkCost);
    m_memory->entry().protect();
    attach(con);
    context->endpoints->client.connect(con);
}

void websocket_link::chargeTo(const context_ptr &context, const connection_ptr &con)
{
    const auto onDrop = [weakContext = m_context, weakLink = weak_from_this(),
                         weakCon = std::weak_ptr<connection>(con)](refusal_cause cause) {
        const context_ptr owner = weakContext.lock();
        if (!owner)
            return;
        if (cause == refusal_cause::NoMemory)
            owner->budget->count(cause);
        // Later, since the library may be reading from the connection now.
        owner->loop.post([weakLink, weakCon, cause] {
            const connection_ptr dropped = weakCon.lock();
            if (!dropped)
                return;
            if (const auto link = weakLink.lock())
                link->endFor(dropped, cause);
            else
                dropped->terminate(
                    websocketpp::error::make_error_code(websocketpp::error::general));
        });
    };
    m_memory = std::make_shared<link_memory>(context->budget, context->pool, context->loop,
                                             m_dialled ? m_address : remoteIp(con), onDrop);
    con->get_message(websocketpp::frame::opcode::binary, 0)->maker().setMemory(m_memory);
}

bool websocket_link::adopt(const connection_ptr &con)
{
    const context_ptr context = m_context.lock();
    chargeTo(context, con);
    if (!m_memory->entry().chargeConnection(linkCost))
        return false;
    m_memory->mayGiveWay = true;
    m_phase = phase::Connecting;
    attach(con);
    return true;
}

void websocket_link::endFor(const connection_ptr &con, refusal_cause cause)
{
    if (m_connection == con) {
        const failure error = makeFailure(code::MemoryLimit, std::string(nameOf(cause)));
        if (const context_ptr context = m_context.lock())
            countRefusal(*context, std::nullopt, m_address, error);
        terminate(error, std::nullopt);
        return;
    }
    con->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
}

void websocket_link::attach(const connection_ptr &con)
{
    const context_ptr context = m_context.lock();
    m_connection = con;
    const std::uint32_t generation = ++m_generation;
    const std::weak_ptr<websocket_link> weak = weak_from_this();
    // Returns the link if it still uses this connection, else null.
    const auto currentLink = [weak, generation] {
        std::shared_ptr<websocket_link> link = weak.lock();
        if (link && link->m_generation != generation)
            link = nullptr;
        return link;
    };
    const std::weak_ptr<connection> weakCon = con;
    con->set_max_message_size(context->options.limits.maxFrameBytes);
    con->set_open_handshake_timeout(
        static_cast<long>(context->options.limits.helloTimeout.count()));
    con->set_close_handshake_timeout(closeHandshakeMs);
    con->set_pong_timeout(0);
    con->set_open_handler([currentLink, weakCon](const connection_hdl &) {
        if (const auto link = currentLink()) {
            link->handleOpen();
        } else if (const connection_ptr orphan = weakCon.lock()) {
            websocketpp::lib::error_code error;
            orphan->close(websocketpp::close::status::going_away, "", error);
        }
    });
    con->set_message_handler(
        [currentLink](const connection_hdl &, const connection::message_ptr &frame) {
            if (const auto link = currentLink())
                link->handleFrame(frame);
        });
    con->set_ping_handler([currentLink](const connection_hdl &, const std::string &payload) {
        const auto link = currentLink();
        if (!link)
            return false;
        const context_ptr owner = link->m_context.lock();
        if (!owner || link->receivingBlocked(owner))
            return false;
        const bool answered = !owner->filter.blocksSending(link->m_address);
        link->handleControl(payload.size(), answered);
        return answered;
    });
    con->set_pong_handler([currentLink](const connection_hdl &, const std::string &payload) {
        const auto link = currentLink();
        if (!link)
            return;
        const context_ptr owner = link->m_context.lock();
        if (owner && !link->receivingBlocked(owner))
            link->handleControl(payload.size(), false);
    });
    const auto handleEnd = [currentLink, weakCon](const connection_hdl &) {
        const auto link = currentLink();
        const connection_ptr ended = weakCon.lock();
        if (!link || !ended)
            return;
        link->handleConnectionEnd(describeEnd(ended));
    };
    con->set_close_handler(handleEnd);
    con->set_fail_handler(handleEnd);
}

void websocket_link::handleOpen()
{
    const context_ptr context = m_context.lock();
    if (!context)
        return;
    m_phase = phase::Hello;
    m_connectedAt = context->loop.now();
    m_lastReceived = m_connectedAt;
    // The accepting side sends its hello only after it has checked the peer's token, so that it
    // does not disclose its own token to any client that connects.
    if (m_dialled)
        sendHello(context);
}

void websocket_link::handleControl(std::size_t payload, bool answered)
{
    const context_ptr context = m_context.lock();
    m_lastReceived = context->loop.now();
    ++context->traffic.framesReceived;
    context->traffic.bytesReceived += frameBytes(payload, !m_dialled);
    if (!answered)
        return;
    ++context->traffic.framesSent;
    context->traffic.bytesSent += frameBytes(payload, m_dialled);
}

void websocket_link::handleFrame(const connection::message_ptr &frame)
{
    const context_ptr context = m_context.lock();
    if (!context || receivingBlocked(context))
        return;
    const std::string &payload = frame->get_payload();
    m_lastReceived = context->loop.now();
    ++context->traffic.framesReceived;
    context->traffic.bytesReceived += frameBytes(payload.size(), !m_dialled);
    if (frame->get_opcode() != websocketpp::frame::opcode::binary) {
        closeWithError(makeFailure(code::MalformedMessage, "the frame is not binary"),
                       websocketpp::close::status::unsupported_data);
        return;
    }
    const result<message> decoded = decodeMessage(payload);
    if (const failure *error = failureOf(decoded)) {
        closeWithError(*error, websocketpp::close::status::policy_violation);
        return;
    }
    const message &received = valueOf(decoded);
    const auto *hello = std::get_if<hello_message>(&received);
    if (m_phase == phase::Hello && hello) {
        handleHello(context, *hello);
        return;
    }
    if (m_phase != phase::Open || hello) {
        closeWithError(
            makeFailure(code::MalformedMessage,
                        hello ? "second hello on the same link" : "message before the hello"),
            websocketpp::close::status::policy_violation);
        return;
    }
    if (m_onMessage) {
        // Copies, since the callback may close the link, which destroys the callback.
        const auto callback = m_onMessage;
        const auto self = shared_from_this();
        callback(received);
    }
}

void websocket_link::handleHello(const context_ptr &context, const hello_message &hello)
{
    const bool knownRole
        = hello.role == "entry" || hello.role == "agent" || hello.role == "planner";
    if (!knownRole) {
        closeWithError(makeFailure(code::MalformedMessage, "unknown role", "hello.role"),
                       websocketpp::close::status::policy_violation);
        return;
    }
    if (!equalTokens(hello.token, context->options.hello.token)) {
        closeWithError(makeFailure(code::Unauthorized, "the token does not match", "hello.token"),
                       websocketpp::close::status::policy_violation);
        return;
    }
    m_peer = hello;
    m_peer.token.clear();
    if (!m_dialled)
        sendHello(context);
    becomeOpen(context);
}

void websocket_link::becomeOpen(const context_ptr &context)
{
    m_phase = phase::Open;
    m_openedAt = context->loop.now();
    const auto self = shared_from_this();
    if (m_memory) {
        // Open links are a part of what the process needs itself.
        m_memory->entry().releaseConnection();
        m_memory->entry().protect();
        m_memory->mayGiveWay = false;
    }
    if (!m_dialled && context->onAccept) {
        const auto callback = context->onAccept;
        callback(self);
    }
    if (m_phase == phase::Open && m_onOpen) {
        const auto callback = m_onOpen;
        callback();
    }
}

void websocket_link::closeWithError(const failure &cause, websocketpp::close::status::value status)
{
    if (const context_ptr context = m_context.lock())
        countRefusal(*context, refusal_cause::Invalid, m_address, cause);
    const connection_ptr con = m_connection;
    handleDisconnect(cause, std::nullopt);
    websocketpp::lib::error_code error;
    con->close(status, std::string(nameOf(cause.number)), error);
}

void websocket_link::terminate(const failure &cause, std::optional<log_level> level)
{
    const connection_ptr con = m_connection;
    handleDisconnect(cause, level);
    con->terminate(websocketpp::error::make_error_code(websocketpp::error::general));
}

void websocket_link::handleConnectionEnd(failure cause)
{
    // An accepted connection that ends before its hello comes from a client that is not a link of
    // goldcrestloft, or that requested another path. The address that it claims is not proved, so
    // it gets no log line of its own.
    if (!m_dialled && m_phase != phase::Open)
        cause.number = code::MalformedMessage;
    const bool refused = cause.number == code::MalformedMessage;
    const context_ptr context = m_context.lock();
    if (!refused || !context) {
        handleDisconnect(cause, log_level::Info);
        return;
    }
    const bool isTooLarge
        = m_connection->get_local_close_code() == websocketpp::close::status::message_too_big;
    countRefusal(*context, isTooLarge ? refusal_cause::TooLarge : refusal_cause::Invalid, m_address,
                 cause);
    handleDisconnect(cause, std::nullopt);
}

void websocket_link::handleDisconnect(const failure &cause, std::optional<log_level> level)
{
    const auto self = shared_from_this();
    const context_ptr context = m_context.lock();
    const bool wasOpen = m_phase == phase::Open;
    m_connection = nullptr;
    ++m_generation;
    m_phase = phase::Idle;
    if (level)
        logLinkFault(*level, wasOpen ? "link closed" : "link not opened", m_address, cause);
    if (!context)
        return;
    if (wasOpen && context->loop.now() - m_openedAt >= stableAfter)
        m_attempts = 0;
    if (m_dialled)
        scheduleConnect(context);
    else
        context->accepted.erase(self);
    m_peer = {};
    if (wasOpen && m_onClose) {
        const auto callback = m_onClose;
        callback();
    }
}

void websocket_link::scheduleConnect(const context_ptr &context)
{
    const link_limits &limits = context->options.limits;
    constexpr std::uint32_t maxDoublings = 16;
    const duration doubledDelay = limits.reconnectMin * (1L << std::min(m_attempts, maxDoublings));
    const duration maxDelay = std::min(limits.reconnectMax, doubledDelay);
    ++m_attempts;
    // Random between half and all of the delay, so that the links to a failed process do not all
    // reconnect at the same time.
    std::uniform_int_distribution<duration::rep> delayDistribution(maxDelay.count() / 2,
                                                                   maxDelay.count());
    const std::weak_ptr<websocket_link> weak = weak_from_this();
    m_reconnect = context->loop.after(duration(delayDistribution(context->jitter)), [weak] {
        if (const auto link = weak.lock())
            link->connect();
    });
}

void websocket_link::check(time_point now, bool isLate)
{
    const context_ptr context = m_context.lock();
    if (!context || (m_phase != phase::Hello && m_phase != phase::Open))
        return;
    const link_limits &limits = context->options.limits;
    if (m_phase == phase::Hello && now - m_connectedAt >= limits.helloTimeout) {
        const failure error
            = makeFailure(code::LinkClosed,
                          "no hello within " + std::to_string(limits.helloTimeout.count()) + " ms");
        countRefusal(*context, refusal_cause::Stalled, m_address, error);
        terminate(error, std::nullopt);
        return;
    }
    const duration idleTime = now - m_lastReceived;
    if (idleTime >= limits.idleTimeout) {
        ++context->traffic.idleClosed;
        terminate(makeFailure(code::LinkClosed,
                              "nothing received for " + std::to_string(idleTime.count()) + " ms"),
                  log_level::Warning);
        return;
    }
    // The accepting side pings one check later, so that usually only the dialling side pings. After
    // a late check, the ping of the dialling side may have arrived without having been read.
    if (isLate && !m_dialled)
        return;
    const duration pingAfter = limits.pingAfter + (m_dialled ? 0ms : checkInterval);
    if (m_phase == phase::Open && idleTime >= pingAfter
        && !context->filter.blocksSending(m_address)) {
        websocketpp::lib::error_code error;
        m_connection->ping("", error);
        if (error)
            return;
        ++context->traffic.pingsSent;
        ++context->traffic.framesSent;
        context->traffic.bytesSent += frameBytes(0, m_dialled);
    }
}

} // namespace goldcrest::link_impl
