#pragma once

// Encodes the messages between processes as CBOR frames and decodes them. A frame is an array of
// the protocol version, the message kind and the message's fields by position.
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
// Errors: MalformedMessage with the path of the field, UnsupportedVersion.
result<message> decodeMessage(std::string_view frame);

// Encodes gang data for the metadata of a task at its backend server, and decodes it. The encoding
// is JSON text, since the backend server's interface carries metadata as a JSON string.
// Errors: MalformedMessage with the path of the field, UnsupportedVersion.
std::string encodeGangInfo(const gang_info &gang);
result<gang_info> decodeGangInfo(std::string_view bytes);

} // namespace goldcrest
