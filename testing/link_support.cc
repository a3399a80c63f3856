#include "testing/link_support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace goldcrest {

test_node::test_node(asio_event_loop &loop, std::string_view name, websocket_options options)
{
    if (options.hello.role.empty())
        options.hello.role = "agent";
    options.hello.name = std::string(name);
    network = makeWebsocketNetwork(loop, options);
    const result<done> listening
        = network->listen("127.0.0.1:0", [this](std::shared_ptr<peer_link> link) {
              link->onMessage([this](const message &value) { received.push_back(value); });
              link->onClose([this] { ++closed; });
              accepted.push_back(std::move(link));
          });
    if (failureOf(listening))
        std::abort();
}

std::string mutate(std::string bytes, std::minstd_rand &random)
{
    constexpr std::size_t maxChanges = 4;
    const std::size_t changes = 1 + random() % maxChanges;
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.erase(at, random() % 8);
            break;
        default:
            bytes.insert(at, bytes.substr(at, random() % 64));
            break;
        }
    }
    return bytes;
}

raw_connection::raw_connection(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port
        = htons(static_cast<std::uint16_t>(std::stoi(std::string(address.substr(colon + 1)))));
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

raw_connection::~raw_connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

void raw_connection::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

bool raw_connection::poll()
{
    std::array<char, 4096> buffer{};
    while (true) {
        const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0)
            m_received.append(buffer.data(), static_cast<std::size_t>(count));
        else
            return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
}

} // namespace goldcrest
