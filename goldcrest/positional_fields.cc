#include "goldcrest/positional_fields.h"

namespace goldcrest::positional {

namespace {

enum major_type { Unsigned = 0, Negative = 1, Bytes = 2, Text = 3, Array = 4, Simple = 7 };

// Checks a CBOR document without building its items. The JSON library's CBOR parser recurses once
// per nesting level without a limit, so depth and number of items are checked before it runs.
class cbor_validator
{
public:
    explicit cbor_validator(std::string_view bytes)
        : m_bytes(bytes)
    { }

    bool isAcceptable()
    {
        std::vector<std::uint64_t> openArrays; // items left in each open array
        std::size_t items = 0;
        do {
            std::uint64_t children = 0;
            if (++items > maxItems || !readItem(children))
                return false;
            if (!openArrays.empty())
                --openArrays.back();
            if (children > 0) {
                if (openArrays.size() >= maxDepth)
                    return false;
                openArrays.push_back(children);
            }
            while (!openArrays.empty() && openArrays.back() == 0)
                openArrays.pop_back();
        } while (!openArrays.empty());
        return m_bytes.empty();
    }

private:
    bool readItem(std::uint64_t &children)
    {
        if (m_bytes.empty())
            return false;
        const auto head = static_cast<std::uint8_t>(m_bytes.front());
        m_bytes.remove_prefix(1);
        const int type = head >> 5;
        const int info = head & 0x1f;
        if (type == Simple)
            return readSimple(info);
        std::uint64_t argument = 0;
        if (!readArgument(info, argument))
            return false;
        switch (type) {
        case Unsigned:
            return true;
        case Negative:
            return argument <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        case Bytes:
        case Text:
            return skip(argument);
        case Array:
            children = argument;
            return argument <= m_bytes.size(); // each item takes at least one byte
        default:
            return false;
        }
    }

    bool readSimple(int info)
    {
        constexpr int falseValue = 20;
        constexpr int nullValue = 22;
        constexpr int float32 = 26;
        constexpr int float64 = 27;
        if (info >= falseValue && info <= nullValue)
            return true;
        if (info == float32)
            return skip(4);
        return info == float64 && skip(8);
    }

    bool readArgument(int info, std::uint64_t &argument)
    {
        constexpr int largestInline = 23;
        constexpr int oneByte = 24;
        constexpr int eightBytes = 27;
        if (info <= largestInline) {
            argument = static_cast<std::uint64_t>(info);
            return true;
        }
        if (info < oneByte || info > eightBytes)
            return false;
        const std::size_t width = std::size_t(1) << (info - oneByte);
        if (m_bytes.size() < width)
            return false;
        for (std::size_t i = 0; i < width; ++i)
            argument = (argument << 8) | static_cast<std::uint8_t>(m_bytes[i]);
        m_bytes.remove_prefix(width);
        return true;
    }

    bool skip(std::uint64_t count)
    {
        if (count > m_bytes.size())
            return false;
        m_bytes.remove_prefix(count);
        return true;
    }

    std::string_view m_bytes;
};

} // namespace

std::optional<nlohmann::json> parseCbor(std::string_view bytes)
{
    if (!cbor_validator(bytes).isAcceptable())
        return std::nullopt;
    nlohmann::json parsed = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

std::string formatCbor(const nlohmann::json &items)
{
    std::string bytes;
    nlohmann::json::to_cbor(items, bytes);
    return bytes;
}

} // namespace goldcrest::positional
