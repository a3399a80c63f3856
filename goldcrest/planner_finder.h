#pragma once

// Keeps a link open to the elected planner, which it finds through the leader key of the store.
//
//   planner_finder finder(loop, store, network, "main", {onOpen, onMessage, onClose, onNoLeader});
//   finder.send(report);
//
// While the connected planner answers, the store is not read: a planner closes its links when it
// steps down, and a link that receives nothing closes itself. Otherwise the leader key is read
// until a planner answers.

#include "goldcrest/event_loop.h"
#include "goldcrest/membership.h"
#include "goldcrest/peer_link.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

struct planner_finder_options
{
    // Time between reads of the leader key while no planner is connected.
    duration searchInterval = 250ms;
    std::uint64_t seed = 1; // of the jitter that keeps processes from reading at the same time
};

struct planner_finder_callbacks
{
    std::function<void(epoch)> onOpen;
    std::function<void(const message &)> onMessage;
    std::function<void()> onClose;
    std::function<void()> onNoLeader; // the store has no leader; called at each such read
    // Called with each leader that was read before it is dialled. Returns whether to dial it; an
    // empty function allows all.
    std::function<bool(const leader_record &, const store_entry &)> mayDial;
};

class planner_finder
{
public:
    planner_finder(event_loop &loop, platform_store &store, peer_network &network,
                   std::string_view cell, planner_finder_callbacks callbacks,
                   const planner_finder_options &options = {});
    ~planner_finder();
    planner_finder(const planner_finder &) = delete;
    planner_finder &operator=(const planner_finder &) = delete;

    // Sends a message to the planner. Returns false if none is connected.
    bool send(const message &value);

    bool isConnected() const;

    // Reads the leader key now if no planner is connected.
    void search();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
