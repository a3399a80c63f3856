#pragma once

// Digest of job results and of request bodies.
//
//   part.digest = digestOf(wholeOutput);   // 64 lower-case hexadecimal digits

#include <string>
#include <string_view>

namespace goldcrest {

// Returns the SHA-256 of `bytes` in lower-case hexadecimal digits.
std::string digestOf(std::string_view bytes);

} // namespace goldcrest
