#pragma once

// Base64 of RFC 4648 with padding, as the JSON form of protocol buffers has it. None of the
// libraries in use offers it in a public header.

#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

std::string encodeBase64(std::string_view bytes);

// Returns the bytes, or nothing if `text` is not valid base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace goldcrest
