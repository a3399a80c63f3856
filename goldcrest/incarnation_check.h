#pragma once

// Asks a backend server whether it is the incarnation that an announcement names. Other processes
// may announce servers that do not exist, and announcements may be delayed, so an announced
// incarnation counts only once the server itself confirms its id and its start.
//
//   incarnation_check check(loop, host, options, callbacks);
//   check.start(announcement, token);   // calls onConfirmed or onRefused, unless it gets no answer
//   check.askAgain(token);              // after the fencing token has changed

#include "goldcrest/event_loop.h"
#include "goldcrest/run_host.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

struct incarnation_check_options
{
    duration retryPause = 150ms; // after a query that got no answer
    // For how long a backend server is asked about an announcement. They come every 1.5 s.
    duration limit = 3s;
};

struct incarnation_check_callbacks
{
    std::function<void(const host_announcement &)> onConfirmed;
    std::function<void(const host_announcement &, std::string_view why)> onRefused;
};

class incarnation_check
{
public:
    incarnation_check(event_loop &loop, run_host &host, const incarnation_check_options &options,
                      incarnation_check_callbacks callbacks);
    ~incarnation_check();
    incarnation_check(const incarnation_check &) = delete;
    incarnation_check &operator=(const incarnation_check &) = delete;

    // Checks an announcement. A later one of the same incarnation takes its place, those of others
    // are checked beside it. All others are dropped once one is confirmed.
    // @param token fencing token of the queries
    void start(const host_announcement &announcement, epoch token);

    // Repeats all open queries. A backend server refuses a token that is older than one it has
    // seen.
    void askAgain(epoch token);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
