#pragma once

// The bytes with which a client opens a link and sends messages on it, for tests that write to a
// socket themselves.

#include "goldcrest/message_codec.h"

#include <cstddef>
#include <string>

namespace goldcrest {

inline const std::string upgradeRequest
    = "GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";

// Returns a binary WebSocket frame of a client, with a mask of zeros.
inline std::string frameOf(const message &sent)
{
    const std::string payload = encodeMessage(sent);
    constexpr std::size_t mostShort = 125; // longer frames have an extended length
    std::string frame = "\x82";
    if (payload.size() <= mostShort) {
        frame += static_cast<char>(0x80 | payload.size());
    } else {
        frame += "\xfe";
        frame += static_cast<char>(payload.size() >> 8);
        frame += static_cast<char>(payload.size() & 0xff);
    }
    return frame + std::string(4, '\0') + payload;
}

} // namespace goldcrest
