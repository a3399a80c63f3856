#include "review/stage/plain_http.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <string_view>
#include <utility>

#include <fcntl.h>

namespace goldcrest::review {

namespace {

void closeOnExec(int descriptor)
{
    ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
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

struct plain_http::connection : std::enable_shared_from_this<connection>
{
    connection(asio::ip::tcp::socket accepted, std::weak_ptr<handler_function> handler)
        : socket(std::move(accepted))
        , handler(std::move(handler))
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

    asio::ip::tcp::socket socket;
    std::weak_ptr<handler_function> handler;
    asio::streambuf buffer;
    http_request request;
    std::string response;
};

plain_http::plain_http(asio::io_context &context, unsigned short port, handler_function handler)
    : m_acceptor(context, {asio::ip::address_v4::loopback(), port})
    , m_handler(std::make_shared<handler_function>(std::move(handler)))
{
    closeOnExec(m_acceptor.native_handle());
    accept();
}

plain_http::~plain_http()
{
    for (const std::weak_ptr<connection> &opened : m_connections) {
        if (const std::shared_ptr<connection> open = opened.lock())
            open->close();
    }
}

void plain_http::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket accepted) {
        if (error)
            return;
        accepted.set_option(asio::ip::tcp::no_delay(true));
        closeOnExec(accepted.native_handle());
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                           [](const auto &opened) { return opened.expired(); }),
                            m_connections.end());
        const auto opened = std::make_shared<connection>(std::move(accepted), m_handler);
        m_connections.push_back(opened);
        opened->readHeader();
        accept();
    });
}

} // namespace goldcrest::review
