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
    // A process answered a request. It works, though it may have lost its peers.
    Served,
    // A connection was accepted, but no request was answered within the limit: the process is
    // paused or hangs, and its machine may be suspended as far as its processes can tell.
    Unserved,
    // The machine refused the connection: it runs, and no process listens at the address.
    Refused,
};

class host_probe
{
public:
    virtual ~host_probe() = default;

    // Connects to an address, sends an HTTP request, and closes the connection after the first
    // bytes of an answer.
    // @param address host:port, with a numeric host
    // @param limit after which the outcome is NoAnswer or Unserved
    // @param callback runs once, unless the probe is destroyed before
    virtual void probe(const std::string &address, duration limit,
                       std::function<void(probe_outcome)> callback)
        = 0;
};

} // namespace goldcrest
