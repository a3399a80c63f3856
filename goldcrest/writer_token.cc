#include "goldcrest/writer_token.h"

#include <fmt/format.h>

#include <random>

namespace goldcrest {

writer_tokens::writer_tokens(std::string_view name)
{
    std::random_device source;
    m_prefix = fmt::format("{}.{:08x}{:08x}", name, source(), source());
}

std::string writer_tokens::next()
{
    return fmt::format("{}.{}", m_prefix, ++m_last);
}

} // namespace goldcrest
