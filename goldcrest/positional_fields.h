#pragma once

// Internal to the codecs: encodes a struct as an array of its fields by position, and decodes it
// with checks of types and bounds.
//
//   template<>
//   struct field_list<point>
//   {
//       template<typename Archive, typename Struct>
//       static void visit(Archive &fields, Struct &value)
//       {
//           fields("x", value.x).count("weight", value.weight);
//       }
//   };
//
// The same list is used to encode and to decode. The names appear only in the paths of errors.

#include "goldcrest/clock.h"
#include "goldcrest/outcome.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace goldcrest::positional {

// Target format. In CBOR, opaque bytes are byte strings, since text strings must be UTF-8; in JSON
// text they are strings.
enum class field_encoding { Cbor, JsonText };

// Limits on one frame. They keep the decoded data of a malicious frame below a few MiB.
constexpr std::size_t maxTextBytes = 64 * 1024;
constexpr std::size_t maxListItems = 64 * 1024;
constexpr std::size_t maxItems = 256 * 1024;
constexpr std::size_t maxDepth = 16;

// Longest duration on the wire. Senders clamp to it, so that duration::max() may mean "never".
constexpr duration maxWireDuration = longestTime;

// The fields of a struct in wire order. Each encoded struct has a specialization with visit().
template<typename Struct>
struct field_list;

// Smallest and largest number of an enumeration that is accepted from the wire.
template<typename Enum>
struct enum_range;

template<typename T>
struct is_list : std::false_type
{ };
template<typename T>
struct is_list<std::vector<T>> : std::true_type
{ };
template<typename T>
struct is_optional : std::false_type
{ };
template<typename T>
struct is_optional<std::optional<T>> : std::true_type
{ };

// Encodes the fields that are passed to it, in the order of the calls.
class field_writer
{
public:
    explicit field_writer(field_encoding kind)
        : m_kind(kind)
    { }

    template<typename T>
    field_writer &operator()(std::string_view, const T &value)
    {
        m_items.push_back(encode(value));
        return *this;
    }

    template<typename T>
    field_writer &count(std::string_view name, const T &value)
    {
        return (*this)(name, value);
    }

    // Human-readable text. It is truncated to maxTextBytes, since the receiver would refuse a
    // message with a longer text.
    field_writer &truncated(std::string_view, const std::string &value)
    {
        m_items.push_back(value.substr(0, maxTextBytes));
        return *this;
    }

    field_writer &bytes(std::string_view, const std::string &value)
    {
        if (m_kind == field_encoding::JsonText)
            m_items.push_back(value);
        else
            m_items.push_back(
                nlohmann::json::binary(std::vector<std::uint8_t>(value.begin(), value.end())));
        return *this;
    }

    // A number from 0 to 1. It is clamped, so that a rounding error of the sender does not make its
    // message malformed.
    field_writer &fraction(std::string_view, double value)
    {
        m_items.push_back(std::isnan(value) ? 0.0 : std::clamp(value, 0.0, 1.0));
        return *this;
    }

    nlohmann::json take() { return std::move(m_items); }

private:
    template<typename T>
    nlohmann::json encode(const T &value) const
    {
        if constexpr (std::is_same_v<T, duration>) {
            return std::clamp(value, duration(0), maxWireDuration).count();
        } else if constexpr (std::is_enum_v<T>) {
            return static_cast<std::int64_t>(value);
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        } else if constexpr (is_optional<T>::value) {
            return value ? encode(*value) : nlohmann::json(nullptr);
        } else if constexpr (is_list<T>::value) {
            nlohmann::json items = nlohmann::json::array();
            for (const auto &item : value)
                items.push_back(encode(item));
            return items;
        } else {
            field_writer inner(m_kind);
            field_list<T>::visit(inner, value);
            return inner.take();
        }
    }

    field_encoding m_kind;
    nlohmann::json m_items = nlohmann::json::array();
};

// Decodes fields in the order of the calls, up to the first error.
class field_reader
{
public:
    // Reads the fields of `items` from position `first` on. The first error is stored in `error`;
    // later calls then leave their values unchanged.
    field_reader(const nlohmann::json &items, std::size_t first, std::string path,
                 field_encoding kind, std::optional<failure> &error)
        : m_items(items)
        , m_next(first)
        , m_path(std::move(path))
        , m_kind(kind)
        , m_error(error)
    {
        if (!items.is_array())
            fail({}, "expected an array of fields");
    }

    template<typename T>
    field_reader &operator()(std::string_view name, T &value)
    {
        if (const nlohmann::json *item = next(name))
            decode(name, *item, value);
        return *this;
    }

    // Reads a number that must not be negative.
    template<typename T>
    field_reader &count(std::string_view name, T &value)
    {
        (*this)(name, value);
        if (!m_error && value < 0)
            fail(name, "must not be negative");
        return *this;
    }

    field_reader &truncated(std::string_view name, std::string &value)
    {
        return (*this)(name, value);
    }

    field_reader &bytes(std::string_view name, std::string &value)
    {
        const nlohmann::json *item = next(name);
        if (!item)
            return *this;
        if (m_kind == field_encoding::Cbor && item->is_binary())
            value.assign(item->get_binary().begin(), item->get_binary().end());
        else if (m_kind == field_encoding::JsonText && item->is_string())
            value = item->get_ref<const std::string &>();
        else
            fail(name, "expected bytes");
        return *this;
    }

    field_reader &fraction(std::string_view name, double &value)
    {
        const nlohmann::json *item = next(name);
        if (!item)
            return *this;
        if (!item->is_number_float())
            fail(name, "expected a floating-point number");
        else if (const double number = item->get<double>(); number >= 0 && number <= 1)
            value = number;
        else
            fail(name, "must be between 0 and 1");
        return *this;
    }

    // Stores an error if fields are left that were not read.
    void finish()
    {
        if (!m_error && m_next != m_items.size())
            fail({}, "has more fields than this version knows");
    }

private:
    const nlohmann::json *next(std::string_view name)
    {
        if (m_error)
            return nullptr;
        if (m_next >= m_items.size()) {
            fail(name, "is missing");
            return nullptr;
        }
        return &m_items[m_next++];
    }

    template<typename T>
    void decode(std::string_view name, const nlohmann::json &item, T &value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            if (!item.is_boolean())
                return fail(name, "expected a boolean");
            value = item.get<bool>();
        } else if constexpr (std::is_integral_v<T>) {
            decodeInteger(name, item, value);
        } else if constexpr (std::is_enum_v<T>) {
            std::int64_t number = 0;
            decodeInteger(name, item, number);
            if (m_error)
                return;
            if (number < enum_range<T>::first || number > enum_range<T>::last)
                return fail(name, "is not a known value");
            value = static_cast<T>(number);
        } else if constexpr (std::is_same_v<T, duration>) {
            std::int64_t number = 0;
            decodeInteger(name, item, number);
            if (m_error)
                return;
            if (number < 0 || number > maxWireDuration.count())
                return fail(name, "is out of range");
            value = duration(number);
        } else if constexpr (std::is_same_v<T, std::string>) {
            if (!item.is_string())
                return fail(name, "expected text");
            const std::string &text = item.get_ref<const std::string &>();
            if (text.size() > maxTextBytes)
                return fail(name, "is too long");
            value = text;
        } else if constexpr (is_optional<T>::value) {
            value.reset();
            if (!item.is_null())
                decode(name, item, value.emplace());
        } else if constexpr (is_list<T>::value) {
            decodeList(name, item, value);
        } else {
            field_reader inner(item, 0, pathOf(name), m_kind, m_error);
            if (m_error)
                return;
            field_list<T>::visit(inner, value);
            inner.finish();
        }
    }

    template<typename T>
    void decodeInteger(std::string_view name, const nlohmann::json &item, T &value)
    {
        if (!item.is_number_integer())
            return fail(name, "expected an integer");
        if (item.is_number_unsigned()) {
            const auto number = item.get<std::uint64_t>();
            if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
                return fail(name, "is out of range");
            value = static_cast<T>(number);
        } else {
            const auto number = item.get<std::int64_t>();
            if (number < 0 && std::is_unsigned_v<T>)
                return fail(name, "must not be negative");
            if constexpr (std::is_signed_v<T>) {
                if (number < std::numeric_limits<T>::min()
                    || number > std::numeric_limits<T>::max())
                    return fail(name, "is out of range");
            }
            value = static_cast<T>(number);
        }
    }

    template<typename T>
    void decodeList(std::string_view name, const nlohmann::json &item, std::vector<T> &value)
    {
        if (!item.is_array())
            return fail(name, "expected an array");
        if (item.size() > maxListItems)
            return fail(name, "has too many items");
        value.clear();
        value.reserve(item.size());
        for (std::size_t i = 0; i < item.size() && !m_error; ++i) {
            const std::string itemName = std::string(name) + '[' + std::to_string(i) + ']';
            decode(itemName, item[i], value.emplace_back());
        }
    }

    std::string pathOf(std::string_view name) const
    {
        if (m_path.empty() || name.empty())
            return m_path + std::string(name);
        return m_path + '.' + std::string(name);
    }

    void fail(std::string_view name, std::string_view reason)
    {
        if (!m_error)
            m_error = makeFailure(code::MalformedMessage, std::string(reason), pathOf(name));
    }

    const nlohmann::json &m_items;
    std::size_t m_next;
    std::string m_path;
    field_encoding m_kind;
    std::optional<failure> &m_error;
};

// Parses CBOR that consists of definite-length arrays, integers, strings, floats, booleans and null
// only; returns nothing for other input. Never throws, and its recursion is bounded by maxDepth.
std::optional<nlohmann::json> parseCbor(std::string_view bytes);

std::string formatCbor(const nlohmann::json &items);

} // namespace goldcrest::positional
