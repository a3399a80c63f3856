#include "goldcrest/json_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace goldcrest {

namespace {

// Returns whether the text is a number of JSON. strtod() accepts more, such as leading zeros.
bool isJsonNumber(std::string_view text)
{
    std::size_t at = 0;
    const auto takeDigits = [&] {
        const std::size_t start = at;
        while (at < text.size() && text[at] >= '0' && text[at] <= '9')
            ++at;
        return at - start;
    };
    const auto take = [&](std::string_view oneOf) {
        const bool isNext = at < text.size() && oneOf.find(text[at]) != std::string_view::npos;
        at += isNext ? 1 : 0;
        return isNext;
    };
    take("-");
    if (!take("0") && takeDigits() == 0)
        return false;
    if (take(".") && takeDigits() == 0)
        return false;
    if (take("eE")) {
        take("+-");
        if (takeDigits() == 0)
            return false;
    }
    return at == text.size();
}

} // namespace

bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\')
                ++i; // the escaped character does not end the string
            else if (c == '"')
                isInString = false;
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxJsonDepth)
                return true;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

std::optional<std::string> withNumbersInRange(std::string_view text)
{
    constexpr std::string_view largest = "1.7976931348623157e308";
    constexpr std::string_view numberCharacters = "+-.0123456789Ee";
    std::string changed;
    std::size_t copied = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\')
                ++i; // the escaped character does not end the string
            else if (c == '"')
                isInString = false;
        } else if (c == '"') {
            isInString = true;
        } else if (c == '-' || (c >= '0' && c <= '9')) {
            const std::size_t end
                = std::min(text.find_first_not_of(numberCharacters, i), text.size());
            const std::string number(text.substr(i, end - i));
            const double value = isJsonNumber(number) ? std::strtod(number.c_str(), nullptr) : 0;
            if (std::isinf(value)) {
                changed += text.substr(copied, i - copied);
                changed += value < 0 ? "-" : "";
                changed += largest;
                copied = end;
            }
            i = end - 1;
        }
    }
    if (copied == 0)
        return std::nullopt;
    return changed.append(text.substr(copied));
}

bool opensTooDeepLevel(int depth, nlohmann::json::parse_event_t event)
{
    const bool isStart = event == nlohmann::json::parse_event_t::array_start
        || event == nlohmann::json::parse_event_t::object_start;
    return isStart && depth >= static_cast<int>(maxJsonDepth);
}

} // namespace goldcrest
