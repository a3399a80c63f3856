#pragma once

// SHA-256 digest of job results and of request bodies.
//
//   part.digest = digestOf(wholeOutput);   // 64 lower-case hexadecimal digits

#include <string>
#include <string_view>

namespace goldcrest {

// Returns the SHA-256 of `bytes` in lower-case hexadecimal digits. Throws std::runtime_error if the
// cryptographic library does not provide SHA-256.
std::string digestOf(std::string_view bytes);

} // namespace goldcrest
