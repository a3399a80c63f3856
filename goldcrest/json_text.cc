#include "goldcrest/json_text.h"

namespace goldcrest {

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

bool opensTooDeepLevel(int depth, nlohmann::json::parse_event_t event)
{
    const bool isStart = event == nlohmann::json::parse_event_t::array_start
        || event == nlohmann::json::parse_event_t::object_start;
    return isStart && depth >= static_cast<int>(maxJsonDepth);
}

} // namespace goldcrest
