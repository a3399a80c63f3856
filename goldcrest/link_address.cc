#include "goldcrest/link_address.h"

#include <cstddef>

namespace goldcrest {

bool splitAddress(std::string_view address, std::string &host, std::string &port)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon + 1 == address.size())
        return false;
    host = std::string(address.substr(0, colon));
    port = std::string(address.substr(colon + 1));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    constexpr std::size_t maxPortDigits = 5;
    return port.size() <= maxPortDigits
        && port.find_first_not_of("0123456789") == std::string::npos;
}

bool isAddress(std::string_view address)
{
    constexpr std::size_t maxAddressBytes = 260;
    std::string host;
    std::string port;
    return address.size() <= maxAddressBytes && splitAddress(address, host, port);
}

} // namespace goldcrest
