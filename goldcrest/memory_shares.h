#pragma once

// The shares of a machine's memory that a process uses for its clients and for responses to itself.
// All programs with the setting `memoryMb` divide their memory in this way.
//
//   const std::shared_ptr<memory_budget> budget = makeClientBudget(settings.memoryMb);
//   const http_client_limits limits = responseLimits(settings.memoryMb, 8 * 1024 * 1024);
//   links.reservedBytes = linkReserve(*budget);
//   http = sharedListener(http, budget);

#include "goldcrest/http_client.h"
#include "goldcrest/http_server.h"
#include "goldcrest/memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace goldcrest {

// Returns the budget of all listeners of a process.
// @param memoryMb memory limit of the machine in MB
std::shared_ptr<memory_budget> makeClientBudget(std::int32_t memoryMb);

// Returns the limits on responses to a process.
// @param memoryMb memory limit of the machine in MB
// @param maxResponseBytes largest valid response, of which less is admitted if the share of all
// responses is smaller
http_client_limits responseLimits(std::int32_t memoryMb, std::size_t maxResponseBytes);

// Returns the memory in bytes for the tasks that a planner holds.
// @param memoryMb memory limit of the machine in MB
std::size_t heldWorkBytes(std::int32_t memoryMb);

// Returns the reserve in bytes for messages on links, accepted and dialled ones.
std::size_t linkReserve(const memory_budget &budget);

// Returns the limits of the only HTTP listener of a process: it shares the budget with the links,
// and has a reserve for one of its largest requests.
http_limits sharedListener(http_limits limits, const std::shared_ptr<memory_budget> &budget);

} // namespace goldcrest
