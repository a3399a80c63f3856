#pragma once

// CBOR form of messages: an array of protocol version, message kind and the fields by position.
//
//   std::string frame = encodeMessage(heartbeat_message{...});
//   result<message> decoded = decodeMessage(frame);

#include "goldcrest/messages.h"

#include <string>
#include <string_view>

namespace goldcrest {

// Largest frame that a process accepts from another one, in bytes.
constexpr std::size_t maxFrameBytes = 2 * 1024 * 1024;

// Returns the frame of a message.
std::string encodeMessage(const message &value);

// Returns the message in a frame.
// Errors: MalformedMessage with the field, UnsupportedVersion.
result<message> decodeMessage(std::string_view frame);

// Gang data as stored in the metadata of a task at its backend server. It is JSON text, since the
// backend server's interface carries metadata as a JSON string.
std::string encodeGangInfo(const gang_info &gang);
result<gang_info> decodeGangInfo(std::string_view bytes);

} // namespace goldcrest
