#pragma once

// Parser of JSON text from outside the process.
//
//   const nlohmann::json body = parseJson(text);
//   if (body.is_discarded())
//       return makeFailure(code::MalformedJson, "the body is not JSON");

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace goldcrest {

// Limit on nested arrays and objects. The JSON library copies, compares and formats values by
// recursion, so that a value of 100,000 levels would overflow the stack. Documents of the known
// protocols have fewer than 10 levels.
constexpr std::size_t maxJsonDepth = 64;

// Returns whether arrays and objects are nested deeper than maxJsonDepth. The result is exact for
// valid JSON without comments.
bool isNestedTooDeeply(std::string_view text);

// As isNestedTooDeeply(), for the callback of the library's parser.
// @param depth number of arrays and objects that enclose the value of the event
bool opensTooDeepLevel(int depth, nlohmann::json::parse_event_t event);

// Returns a discarded value if the text is not JSON or is nested deeper than maxJsonDepth. The
// depth is checked first, so that refused text allocates nothing.
template<typename Json = nlohmann::json>
Json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return Json::value_t::discarded;
    return Json::parse(text, nullptr, false);
}

} // namespace goldcrest
