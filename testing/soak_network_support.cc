#include "testing/soak_network_support.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <utility>

namespace goldcrest {

namespace {

using asio::ip::tcp;

constexpr duration holdInterval = 5ms; // between two looks at whether held bytes may pass

void closeOnExec(int descriptor)
{
    ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

void prepare(tcp::socket &socket)
{
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    closeOnExec(socket.native_handle());
}

// Returns the headers of a request, with names in lower case.
std::vector<std::pair<std::string, std::string>> headersOf(const std::string &header)
{
    std::vector<std::pair<std::string, std::string>> headers;
    std::istringstream lines(header);
    std::string line;
    std::getline(lines, line); // the request line
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t first = line.find_first_not_of(' ', colon + 1);
        const std::size_t last = line.find_last_not_of(" \r");
        headers.emplace_back(std::move(name),
                             first > last ? std::string() : line.substr(first, last - first + 1));
    }
    return headers;
}

} // namespace

void afterMicroseconds(asio_event_loop &loop, std::int64_t microseconds, std::function<void()> task)
{
    const auto timer = std::make_shared<asio::steady_timer>(
        loop.context(), std::chrono::microseconds(microseconds));
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error)
            task();
    });
}

// ---- soak_http_server ----------------------------------------------------------------------

struct soak_http_server::connection : std::enable_shared_from_this<connection>
{
    connection(tcp::socket accepted, std::weak_ptr<handler_function> requestHandler)
        : socket(std::move(accepted))
        , handler(std::move(requestHandler))
    { }

    void readHeader()
    {
        asio::async_read_until(
            socket, buffer, "\r\n\r\n",
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                if (!error)
                    self->onHeader(size);
            });
    }

    void onHeader(std::size_t size)
    {
        std::string header(size, '\0');
        buffer.sgetn(header.data(), static_cast<std::streamsize>(size));
        const std::size_t methodEnd = header.find(' ');
        const std::size_t targetEnd = header.find(' ', methodEnd + 1);
        if (targetEnd == std::string::npos)
            return;
        request = http_request{};
        request.method = header.substr(0, methodEnd);
        request.url = header.substr(methodEnd + 1, targetEnd - methodEnd - 1);
        request.headers = headersOf(header);
        std::size_t length = 0;
        for (const auto &[name, value] : request.headers) {
            if (name == "content-length")
                length = std::strtoul(value.c_str(), nullptr, 10);
        }
        const std::size_t missing = length > buffer.size() ? length - buffer.size() : 0;
        asio::async_read(
            socket, buffer, asio::transfer_exactly(missing),
            [self = shared_from_this(), length](const asio::error_code &error, std::size_t) {
                if (!error)
                    self->onBody(length);
            });
    }

    void onBody(std::size_t length)
    {
        request.body.assign(length, '\0');
        buffer.sgetn(request.body.data(), static_cast<std::streamsize>(length));
        const std::shared_ptr<handler_function> handle = handler.lock();
        if (!handle)
            return;
        (*handle)(request, [self = shared_from_this()](int status, const std::string &body) {
            self->respond(status, body);
        });
    }

    void respond(int status, const std::string &body)
    {
        if (status == 0)
            return close();
        response = "HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::async_write(socket, asio::buffer(response),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              if (!error)
                                  self->readHeader();
                          });
    }

    void close()
    {
        asio::error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    std::weak_ptr<handler_function> handler;
    asio::streambuf buffer;
    http_request request;
    std::string response;
};

soak_http_server::soak_http_server(asio_event_loop &loop, int port, handler_function handler)
    : m_acceptor(loop.context(),
                 {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)})
    , m_handler(std::make_shared<handler_function>(std::move(handler)))
{
    closeOnExec(m_acceptor.native_handle());
    accept();
}

soak_http_server::~soak_http_server()
{
    for (const std::weak_ptr<connection> &opened : m_connections) {
        if (const std::shared_ptr<connection> open = opened.lock())
            open->close();
    }
}

int soak_http_server::port() const
{
    return m_acceptor.local_endpoint().port();
}

void soak_http_server::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, tcp::socket accepted) {
        if (error)
            return;
        prepare(accepted);
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                           [](const auto &opened) { return opened.expired(); }),
                            m_connections.end());
        const auto opened = std::make_shared<connection>(std::move(accepted), m_handler);
        m_connections.push_back(opened);
        opened->readHeader();
        accept();
    });
}

// ---- soak_proxy ----------------------------------------------------------------------------

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
        , sides{std::move(accepted), tcp::socket(eventLoop.context())}
        , faults(std::move(injected))
    { }

    void connect(int port)
    {
        sides[1].open(tcp::v4());
        prepare(sides[1]);
        sides[1].async_connect(
            {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)},
            [self = shared_from_this()](const asio::error_code &error) {
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
            [self = shared_from_this(), from](const asio::error_code &error, std::size_t size) {
                const bool isDelayed = self->loop.now() < self->faults->delayUntil;
                self->pass(from, error ? 0 : size,
                           self->loop.now() + (isDelayed ? self->faults->delayBy : 0ms));
            });
    }

    // Forwards the bytes that were read, or the end of the connection if there are none.
    void pass(std::size_t from, std::size_t size, time_point due)
    {
        if (isSilent || isClosed)
            return;
        if (loop.now() < std::max(due, faults->cutUntil[from])) {
            return afterMicroseconds(
                loop, std::chrono::microseconds(holdInterval).count(),
                [self = shared_from_this(), from, size, due] { self->pass(from, size, due); });
        }
        if (size == 0)
            return close(false);
        asio::async_write(
            sides[1 - from], asio::buffer(buffers[from], size),
            [self = shared_from_this(), from](const asio::error_code &error, std::size_t) {
                if (error)
                    return self->close(true);
                self->read(from);
            });
    }

    void close(bool withReset)
    {
        isClosed = true;
        asio::error_code ignored;
        for (tcp::socket &side : sides) {
            if (withReset)
                side.set_option(asio::socket_base::linger(true, 0), ignored);
            side.close(ignored);
        }
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
    , m_target(std::move(target))
    , m_acceptor(loop.context(), {asio::ip::address_v4::loopback(), 0})
    , m_faults(std::make_shared<fault_state>())
{
    closeOnExec(m_acceptor.native_handle());
    accept();
}

soak_proxy::~soak_proxy()
{
    reset();
}

int soak_proxy::port() const
{
    return m_acceptor.local_endpoint().port();
}

void soak_proxy::delay(duration by, duration time)
{
    m_faults->delayBy = by;
    m_faults->delayUntil = m_loop.now() + time;
}

void soak_proxy::cut(direction way, duration time)
{
    time_point &until = m_faults->cutUntil[way == direction::ToTarget ? 0 : 1];
    until = std::max(until, m_loop.now() + time);
}

void soak_proxy::reset()
{
    for (const std::shared_ptr<link> &open : std::exchange(m_links, {}))
        open->close(true);
}

void soak_proxy::silence()
{
    for (const std::shared_ptr<link> &open : m_links)
        open->isSilent = true;
}

void soak_proxy::heal()
{
    *m_faults = fault_state{};
}

void soak_proxy::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, tcp::socket accepted) {
        if (error)
            return;
        prepare(accepted);
        m_links.erase(std::remove_if(m_links.begin(), m_links.end(),
                                     [](const auto &open) { return open->isClosed; }),
                      m_links.end());
        const auto opened = std::make_shared<link>(m_loop, std::move(accepted), m_faults);
        m_links.push_back(opened);
        opened->connect(m_target());
        accept();
    });
}

} // namespace goldcrest
