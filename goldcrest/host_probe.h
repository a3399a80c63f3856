#pragma once

// Interface of a probe that shows whether a machine runs although a process on it is silent.
//
//   probe->probe("10.0.0.8:7203", 400ms, [&](probe_outcome outcome) {
//       if (outcome == probe_outcome::Refused)
//           planner->noteProcessDown("side-1", loop.now());
//   });

#include "goldcrest/clock.h"

#include <functional>
#include <string>

namespace goldcrest {

enum class probe_outcome {
    // Nothing answered within the limit, or the address is not valid. Proves nothing.
    NoAnswer,
    // A connection was accepted. A paused process also accepts connections, so that this proves
    // nothing.
    Accepted,
    // The machine refused the connection: it runs, and no process listens at the address.
    Refused,
};

class host_probe
{
public:
    virtual ~host_probe() = default;

    // Tries to connect to an address and closes the connection at once.
    // @param address host:port, with a numeric host
    // @param limit after which the outcome is NoAnswer
    // @param callback runs once, unless the probe is destroyed before
    virtual void probe(const std::string &address, duration limit,
                       std::function<void(probe_outcome)> callback)
        = 0;
};

} // namespace goldcrest
