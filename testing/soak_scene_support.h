#pragma once

// One run of the soak: the real sidecars and fronts as processes of their own, and around them the
// platform's store, backend servers, callers and proxies on one event loop, with random faults. The
// seed decides the choices; the processes run freely, so that a seed doesn't repeat a run exactly.
//
//   soak_options options;
//   options.seed = 7;
//   const soak_result result = runSoak(options);
//   CHECK(result.problems.empty());
//
// Each problem is printed with its seed, the events around it and the directory of the logs, which
// is kept after a problem, and always if KEEP_LOGS is set.

#include "goldcrest/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrest {

struct soak_options
{
    std::uint64_t seed = 1;
    int sidecars = 8;
    int fronts = 2;
    duration length = 20s; // of the traffic and the faults
    bool hasOutsideFaults = true; // of processes, links and the store
    bool hasSuspensions = false; // of machines
};

struct soak_result
{
    std::vector<std::string> problems;
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t completed = 0;
    std::size_t starts = 0;
    std::size_t faults = 0;
};

// Returns what the run showed. A deployment that doesn't start is a problem, too.
soak_result runSoak(const soak_options &options);

} // namespace goldcrest
