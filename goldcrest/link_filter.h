#pragma once

// Fault injection for tests of links: simulates network partitions.
//
//   const result<link_block> block = parseLinkBlock("10.0.0.8:7203=sending");
//   network->filter().set({valueOf(block)});

#include "goldcrest/outcome.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

// Direction of the frames that are dropped, from the view of this process.
enum class link_direction { Sending, Receiving, Both };

// A rule of a link_filter.
struct link_block
{
    std::string peer; // link address of the other process as host:port, or "*" for all
    link_direction direction = link_direction::Both;
};

// Fault injection for tests. Drops the frames that this process sends to or receives from chosen
// peers without closing the connection, to simulate a network partition.
class link_filter
{
public:
    // Replaces all rules.
    void set(std::vector<link_block> blocks) { m_blocks = std::move(blocks); }
    const std::vector<link_block> &blocks() const { return m_blocks; }

    bool blocksSending(std::string_view peer) const;
    bool blocksReceiving(std::string_view peer) const;

private:
    std::vector<link_block> m_blocks;
};

// Parses a rule as it is written in the settings and in the administrative call: PEER or
// PEER=DIRECTION. PEER is host:port or "*"; DIRECTION is "sending", "receiving" or "both", the
// default.
// Errors: InvalidValue.
result<link_block> parseLinkBlock(std::string_view text);

} // namespace goldcrest
