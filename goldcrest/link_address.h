#pragma once

// Addresses of links as host:port.
//
//   std::string host;
//   std::string port;
//   if (!splitAddress("[::1]:7203", host, port))
//       return makeFailure(code::SettingsInvalid, "not a host:port");

#include <string>
#include <string_view>

namespace goldcrest {

// Splits host:port, without the brackets of an IPv6 address.
// @param host receives the host
// @param port receives the port, of at most five digits
// Returns false if the text is not host:port.
bool splitAddress(std::string_view address, std::string &host, std::string &port);

// Returns whether a text is a host:port of limited length.
bool isAddress(std::string_view address);

} // namespace goldcrest
