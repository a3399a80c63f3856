#include "goldcrest/link_messages.h"

#include <algorithm>

namespace goldcrest::link_impl {

namespace {

// A message is decoded into strings of its own while its buffer exists.
constexpr std::size_t payloadCost = 2;

} // namespace

void link_memory::drop(refusal_cause cause)
{
    m_entry.leave();
    if (const auto onDrop = std::exchange(m_onDrop, nullptr))
        onDrop(cause);
}

void link_memory::update(const std::string &payload)
{
    m_entry.progress(payload.size() - std::min(payload.size(), m_received), m_loop.now());
    m_received = payload.size();
    const std::size_t cost = payload.capacity() * payloadCost;
    const std::size_t charged = m_entry.requestBytes();
    if (cost > charged && !m_entry.charge(cost - charged))
        drop(refusal_cause::NoMemory);
}

void link_memory::end()
{
    m_received = 0;
    m_entry.completeRequest(m_loop.now()).release();
    m_entry.answered(m_loop.now());
}

} // namespace goldcrest::link_impl
