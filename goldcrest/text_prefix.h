#pragma once

// Prefix test for keys and paths.
//
//   if (startsWith(entry.key, graphIntakePrefix)) ...

#include <string_view>

namespace goldcrest {

// Returns whether `text` begins with `prefix`.
inline bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace goldcrest
