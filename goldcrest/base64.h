#pragma once

// Base64 with padding (RFC 4648), which the JSON encoding of protocol buffers uses for bytes. It is
// implemented here because none of the libraries in use has it in a public header.
//
//   std::string text = encodeBase64(bytes);
//   std::optional<std::string> decoded = decodeBase64(text);

#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

// Returns `bytes` as base64 text.
std::string encodeBase64(std::string_view bytes);

// Returns the bytes, or nothing if `text` is not valid base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace goldcrest
