#include "testing/soak_network_support.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <utility>

namespace goldcrest {

namespace {

using asio::ip::tcp;

constexpr std::int64_t holdIntervalUs = 5000; // between two looks at whether held bytes may pass

tcp::endpoint loopback(int port)
{
    return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

void bindTo(tcp::acceptor &acceptor, int port)
{
    acceptor.open(tcp::v4());
    ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(loopback(port));
}

void closeSocket(tcp::socket &socket, bool withReset)
{
    asio::error_code ignored;
    if (withReset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void prepare(tcp::socket &socket)
{
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

// Returns the value of a header, or nothing. `name` is in lower case.
std::string headerOf(const std::string &head, const std::string &name)
{
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = lower.find(start);
    if (at == std::string::npos)
        return "";
    const std::size_t first = at + start.size();
    return head.substr(first, head.find('\r', first) - first);
}

} // namespace

void afterMicroseconds(asio_event_loop &loop, std::int64_t time, std::function<void()> task)
{
    const auto timer
        = std::make_shared<asio::steady_timer>(loop.context(), std::chrono::microseconds(time));
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error)
            task();
    });
}

soak_listener::soak_listener(asio_event_loop &loop, int port, accepted_function onAccepted)
    : m_loop(loop)
    , m_reservation(loop.context())
    , m_acceptor(loop.context())
    , m_onAccepted(std::move(onAccepted))
{
    bindTo(m_reservation, port);
    listen();
}

void soak_listener::refuse(duration time)
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_refusedUntil = std::max(m_refusedUntil, m_loop.now() + time);
    afterMicroseconds(m_loop, std::chrono::microseconds(time).count(),
                      [this, lifetime = std::weak_ptr(m_lifetime)] {
                          if (!lifetime.expired() && !m_acceptor.is_open()
                              && m_loop.now() >= m_refusedUntil)
                              listen();
                      });
}

void soak_listener::listen()
{
    bindTo(m_acceptor, port());
    m_acceptor.listen();
    accept();
}

void soak_listener::accept()
{
    m_acceptor.async_accept([this, lifetime = std::weak_ptr(m_lifetime)](
                                const asio::error_code &error, tcp::socket accepted) {
        if (error || lifetime.expired() || !m_acceptor.is_open())
            return;
        prepare(accepted);
        m_onAccepted(std::move(accepted));
        accept();
    });
}

struct soak_http_server::connection : std::enable_shared_from_this<connection>
{
    connection(tcp::socket accepted, const handler_function &requestHandler)
        : socket(std::move(accepted))
        , handler(requestHandler)
    { }

    void readHead()
    {
        asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                               [self = shared_from_this()](asio::error_code error, std::size_t n) {
                                   if (!error)
                                       self->readBody(n);
                               });
    }

    void readBody(std::size_t headSize)
    {
        const std::string head = received.substr(0, headSize);
        received.erase(0, headSize);
        const std::size_t end = head.find(' ');
        soak_request request;
        request.method = head.substr(0, end);
        request.target = head.substr(end + 1, head.find(' ', end + 1) - end - 1);
        request.instance = headerOf(head, "expected-instance");
        const std::size_t size
            = std::strtoul(headerOf(head, "content-length").c_str(), nullptr, 10);
        asio::async_read(
            socket, asio::dynamic_buffer(received),
            asio::transfer_exactly(size - std::min(size, received.size())),
            [self = shared_from_this(), request, size](asio::error_code error, std::size_t) {
                if (!error)
                    self->handle(request, size);
            });
    }

    void handle(soak_request request, std::size_t bodySize)
    {
        request.body = received.substr(0, bodySize);
        received.erase(0, bodySize);
        if (socket.is_open())
            handler(request, [self = shared_from_this()](int status, const std::string &body) {
                self->respond(status, body);
            });
    }

    void respond(int status, const std::string &body)
    {
        if (status == 0)
            return closeSocket(socket, false);
        response = "HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::async_write(socket, asio::buffer(response),
                          [self = shared_from_this()](asio::error_code error, std::size_t) {
                              if (!error)
                                  self->readHead();
                          });
    }

    tcp::socket socket;
    handler_function handler;
    std::string received;
    std::string response;
};

soak_http_server::soak_http_server(asio_event_loop &loop, int port, handler_function handler)
    : m_handler(std::move(handler))
    , m_listener(loop, port, [this](tcp::socket accepted) {
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                           [](const auto &opened) { return opened.expired(); }),
                            m_connections.end());
        const auto opened = std::make_shared<connection>(std::move(accepted), m_handler);
        m_connections.push_back(opened);
        opened->readHead();
    })
{ }

void soak_http_server::closeConnections(bool withReset)
{
    for (const std::weak_ptr<connection> &opened : m_connections) {
        if (const std::shared_ptr<connection> open = opened.lock())
            closeSocket(open->socket, withReset);
    }
}

void soak_http_server::refuse(duration time, bool withReset)
{
    m_listener.refuse(time);
    closeConnections(withReset);
}

struct soak_proxy::fault_state
{
    duration delayBy{};
    time_point delayUntil{};
    std::array<time_point, 2> cutUntil{}; // by direction
};

// A connection and its continuation to the target. Side 0 is the client, side 1 the target.
struct soak_proxy::link : std::enable_shared_from_this<link>
{
    link(asio_event_loop &eventLoop, tcp::socket accepted, std::shared_ptr<fault_state> injected)
        : loop(eventLoop)
        , sides{std::move(accepted), tcp::socket(eventLoop.context(), tcp::v4())}
        , faults(std::move(injected))
    {
        prepare(sides[1]);
    }

    void connect(int port)
    {
        sides[1].async_connect(loopback(port), [self = shared_from_this()](asio::error_code error) {
            if (error)
                return self->close(true);
            self->read(0);
            self->read(1);
        });
    }

    void read(std::size_t from)
    {
        sides[from].async_read_some(
            asio::buffer(buffers[from]),
            [self = shared_from_this(), from](asio::error_code error, std::size_t size) {
                const time_point now = self->loop.now();
                const bool isDelayed = now < self->faults->delayUntil;
                self->pass(from, error ? 0 : size, now + (isDelayed ? self->faults->delayBy : 0ms));
            });
    }

    // Forwards the bytes that were read, or the end of the connection if there are none.
    void pass(std::size_t from, std::size_t size, time_point due)
    {
        if (isSilent || isClosed)
            return;
        if (loop.now() < std::max(due, faults->cutUntil[from]))
            return afterMicroseconds(
                loop, holdIntervalUs,
                [self = shared_from_this(), from, size, due] { self->pass(from, size, due); });
        if (size == 0)
            return close(false);
        asio::async_write(sides[1 - from], asio::buffer(buffers[from], size),
                          [self = shared_from_this(), from](asio::error_code error, std::size_t) {
                              if (error)
                                  return self->close(true);
                              self->read(from);
                          });
    }

    void close(bool withReset)
    {
        isClosed = true;
        for (tcp::socket &side : sides)
            closeSocket(side, withReset);
    }

    asio_event_loop &loop;
    std::array<tcp::socket, 2> sides;
    std::array<std::array<char, 16384>, 2> buffers{};
    std::shared_ptr<fault_state> faults;
    bool isSilent = false;
    bool isClosed = false;
};

soak_proxy::soak_proxy(asio_event_loop &loop, std::function<int()> target)
    : m_loop(loop)
    , m_faults(std::make_shared<fault_state>())
    , m_listener(loop, 0, [this, target = std::move(target)](tcp::socket accepted) {
        m_links.erase(std::remove_if(m_links.begin(), m_links.end(),
                                     [](const auto &open) { return open->isClosed; }),
                      m_links.end());
        m_links.push_back(std::make_shared<link>(m_loop, std::move(accepted), m_faults));
        m_links.back()->connect(target());
    })
{ }

void soak_proxy::inject(link_fault kind, duration time, duration delay)
{
    const time_point until = m_loop.now() + time;
    if (kind == link_fault::Delay) {
        m_faults->delayBy = delay;
        m_faults->delayUntil = until;
    }
    if (kind == link_fault::CutToTarget || kind == link_fault::Cut)
        m_faults->cutUntil[0] = std::max(m_faults->cutUntil[0], until);
    if (kind == link_fault::CutToClient || kind == link_fault::Cut)
        m_faults->cutUntil[1] = std::max(m_faults->cutUntil[1], until);
    for (const std::shared_ptr<link> &open : m_links) {
        open->isSilent = open->isSilent || kind == link_fault::Silence;
        if (kind == link_fault::Reset)
            open->close(true);
    }
}

void soak_proxy::refuse(duration time, bool withReset)
{
    m_listener.refuse(time);
    for (const std::shared_ptr<link> &open : m_links)
        open->close(withReset);
}

void soak_proxy::heal()
{
    *m_faults = fault_state{};
}

} // namespace goldcrest
