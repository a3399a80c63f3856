#pragma once

// The memory that a process spends on its clients: connections, headers and bodies in flight, over
// all listeners. Each listener has a pool with a reserve, so that clients of one address can't use
// up what another one needs. When the budget is used up, the requests that have made the least
// progress for the longest time are dropped. Does no I/O; used on one thread.
//
//   auto budget = std::make_shared<memory_budget>(32 * mebibyte);
//   const memory_budget::pool_id callers = budget->addPool(0);
//   budget_entry entry(budget, callers, client);     // one per connection
//   if (!entry.charge(bytes))
//       refuse(...);                                  // nothing was charged
//   entry.progress(bytes, now);

#include "goldcrest/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

// Why a client was refused or its connection closed.
enum class refusal_cause {
    TooLarge, // a body or message above the limit of its address
    Invalid, // bytes that are not valid in the protocol
    NoMemory, // the budget was used up, and no other request could be dropped
    Dropped, // made the least progress when the budget was used up
    Stalled, // did not make the required progress, or did not end in time
    Connections, // too many connections, or closed in favour of a new one
};

constexpr std::size_t refusalCauses = 6;

// Returns the name of a cause in log lines and metrics.
std::string_view nameOf(refusal_cause cause);

using refusal_counts = std::array<std::uint64_t, refusalCauses>;

// A client whose connection can be closed in favour of others.
class budget_client
{
public:
    virtual ~budget_client() = default;

    // Closes the connection. What it has charged is released before this call.
    virtual void drop(refusal_cause cause) = 0;
};

class budget_entry;
class budget_charge;

class memory_budget : public std::enable_shared_from_this<memory_budget>
{
public:
    using pool_id = std::size_t;

    // Number of body bytes that count as progress of a request. A client that sends single bytes
    // makes no progress until it has sent this many.
    static constexpr std::size_t progressBytes = 4096;

    // A connection between two requests is closed in favour of a new one only after this time, so
    // that callers that are in use keep their connections.
    static constexpr duration keptTime = 1s;

    // Times that a request may take to arrive.
    struct time_limits
    {
        duration progress = 5s; // for each progressBytes, and from the last ones to the end
        duration request = 30s; // for the whole request
    };

    // @param limitBytes of all pools together
    explicit memory_budget(std::size_t limitBytes);
    memory_budget(const memory_budget &) = delete;
    memory_budget &operator=(const memory_budget &) = delete;

    // Adds a pool.
    // @param reservedBytes which no other pool can use; at most what is left of the limit
    pool_id addPool(std::size_t reservedBytes);

    // Drops the requests of a pool that are overdue.
    void dropOverdue(pool_id pool, time_point now, const time_limits &limits);

    // Drops the connection of a pool that can be spared most: one that has completed no request or
    // is stalled within one, else one that waits for its next request.
    // @param mayDrop further condition, such as the address of the client
    // @return whether a connection was dropped
    bool dropConnection(pool_id pool, time_point now,
                        const std::function<bool(const budget_client &)> &mayDrop);

    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }

    // Counts a client that was refused or dropped.
    void count(refusal_cause cause);
    const refusal_counts &refusals() const { return m_refusals; }

    // Sets which client was refused last, and why, for the log.
    void setLastRefusal(std::string text) { m_lastRefusal = std::move(text); }

    // Returns the text of the last setLastRefusal() since the last call, or an empty string.
    std::string takeLastRefusal() { return std::exchange(m_lastRefusal, {}); }

    // Returns the refusals since the last call that returned some, at most once a second; nothing
    // if there were none.
    std::optional<refusal_counts> takeSummary(time_point now);

private:
    friend class budget_entry;
    friend class budget_charge;

    struct pool
    {
        std::size_t reserved = 0;
        std::size_t used = 0;
    };
    using entry_list = std::list<budget_entry *>;

    // Takes bytes from a pool, and drops requests until there is room.
    // @return whether the bytes were taken; false also if the requester itself is to be dropped
    bool take(pool_id id, std::size_t bytes, const budget_entry *requester);
    void give(pool_id id, std::size_t bytes);
    bool fits(pool_id id, std::size_t bytes) const;

    // Returns the request whose bytes are released next for a pool; null if there is none.
    budget_entry *findVictim(pool_id id) const;

    void drop(budget_entry &entry, refusal_cause cause);

    std::size_t m_limit;
    std::size_t m_reserved = 0; // of all pools
    std::size_t m_shared = 0; // used above the reserves, of all pools
    std::size_t m_used = 0;
    std::vector<pool> m_pools;
    entry_list m_entries; // the longest without progress first
    refusal_counts m_refusals{};
    refusal_counts m_summarised{};
    std::optional<time_point> m_summaryTime;
    std::string m_lastRefusal;
};

// Bytes that are charged to a pool until they are released or the object is destroyed.
class budget_charge
{
public:
    budget_charge() = default;
    budget_charge(std::shared_ptr<memory_budget> budget, memory_budget::pool_id pool);
    ~budget_charge() { release(); }
    budget_charge(budget_charge &&other) noexcept;
    budget_charge &operator=(budget_charge &&other) noexcept;
    budget_charge(const budget_charge &) = delete;
    budget_charge &operator=(const budget_charge &) = delete;

    std::size_t bytes() const { return m_bytes; }
    void release();

private:
    friend class budget_entry;

    std::shared_ptr<memory_budget> m_budget;
    memory_budget::pool_id m_pool = 0;
    std::size_t m_bytes = 0;
};

// One connection in the budget: what it holds, and how its request makes progress.
class budget_entry
{
public:
    budget_entry(std::shared_ptr<memory_budget> budget, memory_budget::pool_id pool,
                 budget_client &client, time_point now);
    ~budget_entry();
    budget_entry(const budget_entry &) = delete;
    budget_entry &operator=(const budget_entry &) = delete;

    // Charges what the connection itself takes, for its whole life or until releaseConnection().
    bool chargeConnection(std::size_t bytes);
    void releaseConnection() { m_connection.release(); }

    // Charges bytes of the request that is being received. Returns false if there is no room;
    // nothing was charged then.
    bool charge(std::size_t bytes);

    // Records that bytes of a request have arrived. The first ones begin a request.
    void progress(std::size_t bytes, time_point now);

    // Ends the request that is being received. Its charge passes to the caller, who holds it until
    // the request is answered.
    budget_charge completeRequest(time_point now);

    // Records that a request was answered.
    void answered(time_point now);

    // Protected requests are dropped only if there are no others.
    void protect() { m_isProtected = true; }

    // Returns the bytes that are charged for the request that is being received.
    std::size_t requestBytes() const { return m_request.bytes(); }

    // Removes the entry from the budget; it holds nothing afterwards.
    void leave();

private:
    friend class memory_budget;

    bool isReceiving() const { return m_isReceiving; }

    // Moves the entry to the end of the order of progress.
    void touch(time_point now);

    std::shared_ptr<memory_budget> m_budget; // null once the entry has left
    memory_budget::pool_id m_pool;
    budget_client &m_client;
    memory_budget::entry_list::iterator m_position;
    budget_charge m_connection;
    budget_charge m_request;
    bool m_isReceiving = false;
    bool m_isProtected = false;
    bool m_hasCompleted = false;
    std::size_t m_unanswered = 0;
    std::size_t m_sinceProgress = 0; // bytes
    time_point m_lastProgress;
    time_point m_requestStart;
};

} // namespace goldcrest
