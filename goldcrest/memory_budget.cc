#include "goldcrest/memory_budget.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration summaryInterval = 1s;

} // namespace

std::string_view nameOf(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::TooLarge:
        return "too_large";
    case refusal_cause::Invalid:
        return "invalid";
    case refusal_cause::NoMemory:
        return "no_memory";
    case refusal_cause::Dropped:
        return "dropped";
    case refusal_cause::Stalled:
        return "stalled";
    case refusal_cause::Connections:
        return "connections";
    }
    return "unknown";
}

memory_budget::memory_budget(std::size_t limitBytes)
    : m_limit(limitBytes)
{ }

memory_budget::pool_id memory_budget::addPool(std::size_t reservedBytes)
{
    pool added;
    added.reserved = std::min(reservedBytes, m_limit - m_reserved);
    m_reserved += added.reserved;
    m_pools.push_back(added);
    return m_pools.size() - 1;
}

bool memory_budget::fits(pool_id id, std::size_t bytes) const
{
    const pool &chosen = m_pools[id];
    const std::size_t unused = chosen.reserved - std::min(chosen.reserved, chosen.used);
    const std::size_t fromShared = bytes - std::min(bytes, unused);
    const std::size_t shared = m_limit - m_reserved;
    return fromShared <= shared - std::min(shared, m_shared);
}

bool memory_budget::take(pool_id id, std::size_t bytes, const budget_entry *requester)
{
    while (!fits(id, bytes)) {
        budget_entry *victim = findVictim(id);
        if (victim == nullptr || victim == requester)
            return false;
        drop(*victim, refusal_cause::Dropped);
    }
    pool &chosen = m_pools[id];
    const auto aboveReserve
        = [&chosen] { return chosen.used - std::min(chosen.reserved, chosen.used); };
    const std::size_t before = aboveReserve();
    chosen.used += bytes;
    m_used += bytes;
    m_shared += aboveReserve() - before;
    return true;
}

void memory_budget::give(pool_id id, std::size_t bytes)
{
    pool &chosen = m_pools[id];
    const auto aboveReserve
        = [&chosen] { return chosen.used - std::min(chosen.reserved, chosen.used); };
    const std::size_t before = aboveReserve();
    chosen.used -= bytes;
    m_used -= bytes;
    m_shared -= before - aboveReserve();
}

budget_entry *memory_budget::findVictim(pool_id id) const
{
    budget_entry *protectedVictim = nullptr;
    for (budget_entry *entry : m_entries) {
        const pool &used = m_pools[entry->m_pool];
        const bool helps = entry->m_pool == id || used.used > used.reserved;
        if (!helps || !entry->isReceiving() || entry->m_request.bytes() == 0)
            continue;
        if (!entry->m_isProtected)
            return entry;
        if (protectedVictim == nullptr)
            protectedVictim = entry;
    }
    return protectedVictim;
}

void memory_budget::drop(budget_entry &entry, refusal_cause cause)
{
    budget_client &client = entry.m_client;
    count(cause);
    entry.leave();
    client.drop(cause);
}

void memory_budget::dropOverdue(pool_id pool, time_point now, const time_limits &limits)
{
    std::vector<budget_entry *> overdue;
    for (budget_entry *entry : m_entries) {
        const bool isLate = now - entry->m_lastProgress >= limits.progress
            || now - entry->m_requestStart >= limits.request;
        if (entry->m_pool == pool && entry->isReceiving() && isLate)
            overdue.push_back(entry);
    }
    for (budget_entry *entry : overdue)
        drop(*entry, refusal_cause::Stalled);
}

bool memory_budget::dropConnection(pool_id pool, time_point now,
                                   const std::function<bool(const budget_client &)> &mayDrop)
{
    budget_entry *kept = nullptr;
    for (budget_entry *entry : m_entries) {
        if (entry->m_pool != pool || entry->m_unanswered > 0 || !mayDrop(entry->m_client))
            continue;
        if (!entry->m_hasCompleted || entry->isReceiving()) {
            drop(*entry, refusal_cause::Connections);
            return true;
        }
        if (kept == nullptr && now - entry->m_lastProgress >= keptTime)
            kept = entry;
    }
    if (kept == nullptr)
        return false;
    drop(*kept, refusal_cause::Connections);
    return true;
}

void memory_budget::count(refusal_cause cause)
{
    ++m_refusals[static_cast<std::size_t>(cause)];
}

std::optional<refusal_counts> memory_budget::takeSummary(time_point now)
{
    if (m_refusals == m_summarised)
        return std::nullopt;
    if (m_summaryTime && now - *m_summaryTime < summaryInterval)
        return std::nullopt;
    m_summaryTime = now;
    refusal_counts counts{};
    for (std::size_t i = 0; i < refusalCauses; ++i)
        counts[i] = m_refusals[i] - m_summarised[i];
    m_summarised = m_refusals;
    return counts;
}

budget_charge::budget_charge(std::shared_ptr<memory_budget> budget, memory_budget::pool_id pool)
    : m_budget(std::move(budget))
    , m_pool(pool)
{ }

budget_charge::budget_charge(budget_charge &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_pool(other.m_pool)
    , m_bytes(std::exchange(other.m_bytes, 0))
{ }

budget_charge &budget_charge::operator=(budget_charge &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_budget = std::move(other.m_budget);
    m_pool = other.m_pool;
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

void budget_charge::release()
{
    if (m_budget && m_bytes > 0)
        m_budget->give(m_pool, m_bytes);
    m_bytes = 0;
}

budget_entry::budget_entry(std::shared_ptr<memory_budget> budget, memory_budget::pool_id pool,
                           budget_client &client, time_point now)
    : m_budget(std::move(budget))
    , m_pool(pool)
    , m_client(client)
    , m_connection(m_budget, pool)
    , m_request(m_budget, pool)
    , m_lastProgress(now)
    , m_requestStart(now)
{
    m_position = m_budget->m_entries.insert(m_budget->m_entries.end(), this);
}

budget_entry::~budget_entry()
{
    leave();
}

void budget_entry::leave()
{
    if (!m_budget)
        return;
    m_budget->m_entries.erase(m_position);
    m_connection.release();
    m_request.release();
    m_isReceiving = false;
    m_budget.reset();
}

bool budget_entry::chargeConnection(std::size_t bytes)
{
    if (!m_budget || !m_budget->take(m_pool, bytes, this))
        return false;
    m_connection.m_bytes += bytes;
    return true;
}

bool budget_entry::charge(std::size_t bytes)
{
    if (!m_budget || !m_budget->take(m_pool, bytes, this))
        return false;
    m_request.m_bytes += bytes;
    return true;
}

void budget_entry::touch(time_point now)
{
    m_lastProgress = now;
    m_sinceProgress = 0;
    m_budget->m_entries.splice(m_budget->m_entries.end(), m_budget->m_entries, m_position);
}

void budget_entry::progress(std::size_t bytes, time_point now)
{
    if (!m_budget)
        return;
    if (!m_isReceiving) {
        m_isReceiving = true;
        m_requestStart = now;
        touch(now);
    }
    m_sinceProgress += bytes;
    if (m_sinceProgress >= memory_budget::progressBytes)
        touch(now);
}

budget_charge budget_entry::completeRequest(time_point now)
{
    if (!m_budget)
        return {};
    budget_charge completed(m_budget, m_pool);
    std::swap(completed.m_bytes, m_request.m_bytes);
    m_isReceiving = false;
    m_hasCompleted = true;
    ++m_unanswered;
    touch(now);
    return completed;
}

void budget_entry::answered(time_point now)
{
    if (!m_budget || m_unanswered == 0)
        return;
    --m_unanswered;
    if (!m_isReceiving)
        touch(now);
}

} // namespace goldcrest
