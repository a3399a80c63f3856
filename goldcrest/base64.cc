#include "goldcrest/base64.h"

#include <array>
#include <cstdint>

namespace goldcrest {

namespace {

constexpr std::string_view alphabet
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int bitsPerDigit = 6;
constexpr int bitsPerByte = 8;
constexpr std::uint32_t digitMask = 0x3f;
constexpr std::uint32_t byteMask = 0xff;
constexpr int invalidDigit = -1;

std::array<int, 256> makeDigitValues()
{
    std::array<int, 256> digitValues{};
    digitValues.fill(invalidDigit);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        digitValues[static_cast<unsigned char>(alphabet[i])] = static_cast<int>(i);
    return digitValues;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    std::uint32_t bits = 0;
    int bitCount = 0;
    for (const char c : bytes) {
        bits = (bits << bitsPerByte) | static_cast<unsigned char>(c);
        bitCount += bitsPerByte;
        while (bitCount >= bitsPerDigit) {
            bitCount -= bitsPerDigit;
            text += alphabet[(bits >> bitCount) & digitMask];
        }
    }
    if (bitCount > 0)
        text += alphabet[(bits << (bitsPerDigit - bitCount)) & digitMask];
    while (text.size() % 4 != 0)
        text += '=';
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    static const std::array<int, 256> digitValues = makeDigitValues();
    if (text.size() % 4 != 0)
        return std::nullopt;
    for (int i = 0; i < 2 && !text.empty() && text.back() == '='; ++i)
        text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t bits = 0;
    int bitCount = 0;
    for (const char c : text) {
        const int digit = digitValues[static_cast<unsigned char>(c)];
        if (digit == invalidDigit)
            return std::nullopt;
        bits = (bits << bitsPerDigit) | static_cast<std::uint32_t>(digit);
        bitCount += bitsPerDigit;
        if (bitCount >= bitsPerByte) {
            bitCount -= bitsPerByte;
            bytes += static_cast<char>((bits >> bitCount) & byteMask);
        }
    }
    return bytes;
}

} // namespace goldcrest
