#pragma once

// Parser of JSON text from outside the process.
//
//   const nlohmann::json body = parseJson(text);
//   if (body.is_discarded())
//       return makeFailure(code::MalformedJson, "the body is not JSON");

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
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

// Returns the text with each number beyond the range of a double, such as 1e400, replaced by the
// largest double of its sign; nothing if there is no such number.
std::optional<std::string> withNumbersInRange(std::string_view text);

// Returns a discarded value if the text is not JSON or is nested deeper than maxJsonDepth. The
// depth is checked first, so that text which is too deep allocates nothing.
//
// Numbers beyond the range of a double become the largest double. They are valid JSON, but the
// library refuses the whole text because of one, so that a single field would hide all the others.
template<typename Json = nlohmann::json>
Json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return Json::value_t::discarded;
    Json parsed = Json::parse(text, nullptr, false);
    if (!parsed.is_discarded())
        return parsed;
    const std::optional<std::string> inRange = withNumbersInRange(text);
    return inRange ? Json::parse(*inRange, nullptr, false) : parsed;
}

} // namespace goldcrest
