#include "goldcrest/digest.h"

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace goldcrest {

std::string digestOf(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
    unsigned int length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), raw.data(), &length, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available in the cryptographic library");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(length * 2);
    for (unsigned int i = 0; i < length; ++i) {
        text += digits[raw[i] >> 4U];
        text += digits[raw[i] & 0x0fU];
    }
    return text;
}

} // namespace goldcrest
