#pragma once

// Finds out which limit of an HTTP server a request exceeds, and what memory it takes, while its
// bytes arrive.
//
//   request_inspector inspector;
//   while (!bytes.empty()) {
//       if (const auto refusal = inspector.read(bytes, limits))
//           return refuse(*refusal);
//       charge(inspector.memoryCost());
//       if (inspector.takeComplete())
//           completeRequest();
//   }

#include "goldcrest/http_server.h"
#include "goldcrest/outcome.h"

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace goldcrest::http_impl {

// Memory that the parts of a request take. The body is in a buffer that doubles as it grows, and is
// copied for the handler. RESTinio keeps a record of 16 bytes for each chunk, in a vector that
// doubles too, and two strings for each header field, which are copied as well.
constexpr std::size_t bodyByteCost = 3;
constexpr std::size_t chunkCost = 32;
constexpr std::size_t headerByteCost = 2;
constexpr std::size_t fieldCost = 160;

// Parses the received bytes of a connection before RESTinio does, to find out which limit a request
// exceeds. RESTinio closes such a connection without an error response.
class request_inspector
{
public:
    request_inspector();
    request_inspector(const request_inspector &) = delete;
    request_inspector &operator=(const request_inspector &) = delete;

    // Parses received bytes up to the end of a request, and removes what it has parsed. Returns an
    // error if they exceed a limit or are malformed.
    std::optional<failure> read(std::string_view &bytes, const http_limits &limits);

    // Returns whether a request has ended since the last call.
    bool takeComplete()
    {
        if (!std::exchange(m_complete, false))
            return false;
        m_headerEnded = false;
        m_headerBytes = 0;
        return true;
    }

    // Returns the memory that the request takes once RESTinio has parsed it.
    std::size_t memoryCost() const
    {
        return m_bodyBytes * bodyByteCost + m_chunks * chunkCost
            + (m_headerBytes + m_trailerBytes) * headerByteCost + m_fields * fieldCost;
    }

    // Returns whether a part of a request was received, but not all of it.
    bool isWithinRequest() const { return m_headerBytes > 0; }

private:
    static const http_parser_settings &callbacks();
    std::optional<failure> checkLimits(const http_limits &limits) const;

    http_parser m_parser{};
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_trailerBytes = 0; // fields after the last chunk
    std::size_t m_chunks = 0;
    std::size_t m_fields = 0;
    bool m_headerEnded = false;
    bool m_complete = false;
};

} // namespace goldcrest::http_impl
