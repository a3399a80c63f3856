#include "goldcrest/memory_shares.h"

#include "goldcrest/http_request_inspector.h"
#include "goldcrest/message_codec.h"

#include <algorithm>

namespace goldcrest {

namespace {

constexpr std::size_t megabyte = 1'000'000;

// Parts of the machine's memory. The rest is for the other state of the process, of up to a sixth
// of the limit, for responses being sent, for memory that the allocator keeps, and for the buffers
// of the kernel.
constexpr std::size_t clientShare = 4;
constexpr std::size_t responseShare = 8;
constexpr std::size_t heldWorkShare = 6;

// For two of the largest messages on links, each of which is charged twice.
constexpr std::size_t largestLinkReserve = 4 * maxFrameBytes;
constexpr std::size_t linkShare = 8; // of the budget

// Of a listener, for connections and headers beside its largest body.
constexpr std::size_t listenerConnections = 1024 * 1024;

std::size_t bytesOf(std::int32_t memoryMb)
{
    return static_cast<std::size_t>(memoryMb) * megabyte;
}

} // namespace

std::shared_ptr<memory_budget> makeClientBudget(std::int32_t memoryMb)
{
    return std::make_shared<memory_budget>(bytesOf(memoryMb) / clientShare);
}

http_client_limits responseLimits(std::int32_t memoryMb, std::size_t maxResponseBytes)
{
    http_client_limits limits;
    limits.maxHeldBytes = bytesOf(memoryMb) / responseShare;
    limits.maxResponseBytes = std::min(maxResponseBytes, limits.maxHeldBytes);
    return limits;
}

std::size_t heldWorkBytes(std::int32_t memoryMb)
{
    return bytesOf(memoryMb) / heldWorkShare;
}

std::size_t linkReserve(const memory_budget &budget)
{
    return std::min(largestLinkReserve, budget.limit() / linkShare);
}

http_limits sharedListener(http_limits limits, const std::shared_ptr<memory_budget> &budget)
{
    limits.budget = budget;
    limits.reservedBytes = std::min(
        http_impl::bodyByteCost * limits.maxBodyBytes + listenerConnections, budget->limit() / 2);
    return limits;
}

} // namespace goldcrest
