#include "goldcrest/link_filter.h"

#include "goldcrest/link_address.h"

#include <algorithm>

namespace goldcrest {

namespace {

bool matches(const link_block &block, std::string_view peer)
{
    return block.peer == "*" || block.peer == peer;
}

} // namespace

bool link_filter::blocksSending(std::string_view peer) const
{
    return std::any_of(m_blocks.begin(), m_blocks.end(), [&](const link_block &block) {
        return block.direction != link_direction::Receiving && matches(block, peer);
    });
}

bool link_filter::blocksReceiving(std::string_view peer) const
{
    return std::any_of(m_blocks.begin(), m_blocks.end(), [&](const link_block &block) {
        return block.direction != link_direction::Sending && matches(block, peer);
    });
}

result<link_block> parseLinkBlock(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::string_view direction
        = equals == std::string_view::npos ? "both" : text.substr(equals + 1);
    link_block block;
    block.peer = std::string(text.substr(0, equals));
    if (block.peer != "*" && !isAddress(block.peer))
        return makeFailure(code::InvalidValue, "the peer must be host:port or *", "peer");
    if (direction == "sending")
        block.direction = link_direction::Sending;
    else if (direction == "receiving")
        block.direction = link_direction::Receiving;
    else if (direction != "both")
        return makeFailure(code::InvalidValue, "the direction must be sending, receiving or both",
                           "direction");
    return block;
}

} // namespace goldcrest
