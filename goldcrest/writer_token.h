#pragma once

// Unique tokens that are stored with each written value, so that a write with unknown outcome is
// recognised when the value is read back.
//
//   writer_tokens tokens("entry-1");
//   record.writer = tokens.next();     // "entry-1.5f0c...e1.1"

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrest {

class writer_tokens
{
public:
    // Adds a random part to `name`, since a restarted process has the same name.
    explicit writer_tokens(std::string_view name);

    // Returns a new token.
    std::string next();

private:
    std::string m_prefix;
    std::uint64_t m_last = 0;
};

} // namespace goldcrest
