#include "testing/memory_store_support.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

struct memory_store::memory_watch final : store_watch
{
    std::shared_ptr<std::function<void(watch_batch)>> callback;
};

void memory_store::answer(std::function<void()> task)
{
    if (delay <= 0ms)
        return m_loop.post(std::move(task));
    m_timers.push_back(m_loop.after(delay, std::move(task)));
}

void memory_store::get(std::string_view key, const call_options &,
                       store_callback<std::optional<store_entry>> callback)
{
    ++reads;
    answer([this, key = std::string(key), callback = std::move(callback)] {
        if (fault != store_fault::None)
            return callback(makeFailure(code::StoreUnavailable, "the store is down"));
        const store_entry *found = entry(key);
        callback(found == nullptr ? std::optional<store_entry>() : *found);
    });
}

void memory_store::list(std::string_view prefix, std::size_t limit, const call_options &,
                        store_callback<std::vector<store_entry>> callback)
{
    ++reads;
    answer([this, prefix = std::string(prefix), limit, callback = std::move(callback)] {
        if (fault != store_fault::None)
            return callback(makeFailure(code::StoreUnavailable, "the store is down"));
        std::vector<store_entry> found;
        for (auto next = entries.lower_bound(prefix); next != entries.end(); ++next) {
            const bool full = limit > 0 && found.size() == limit;
            if (full || next->first.compare(0, prefix.size(), prefix) != 0)
                break;
            found.push_back(next->second);
        }
        callback(std::move(found));
    });
}

void memory_store::commit(store_transaction transaction, const call_options &,
                          store_callback<commit_reply> callback)
{
    ++writes;
    answer([this, transaction = std::move(transaction), callback = std::move(callback)] {
        if (fault == store_fault::Down)
            return callback(makeFailure(code::StoreUnavailable, "the store is down"));
        if (fault == store_fault::RequestLost)
            return callback(makeFailure(code::StoreAmbiguous, "the request was lost"));
        commit_reply reply = apply(transaction);
        if (fault == store_fault::AnswerLost)
            return callback(makeFailure(code::StoreAmbiguous, "the answer was lost"));
        callback(std::move(reply));
    });
}

commit_reply memory_store::apply(const store_transaction &transaction)
{
    commit_reply reply;
    reply.applied = true;
    for (const store_transaction::condition &condition : transaction.conditions) {
        const store_entry *found = entry(condition.key);
        store_revision present = 0;
        if (found != nullptr) {
            present = condition.onCreateRevision ? found->createRevision : found->modRevision;
            reply.current.push_back(*found);
        }
        reply.applied = reply.applied && present == condition.expected;
    }
    if (reply.applied) {
        reply.current.clear();
        ++m_revision;
        for (const store_transaction::write &next : transaction.writes)
            write(next.key, next.value, next.lease);
    }
    reply.at = m_revision;
    return reply;
}

void memory_store::write(const std::string &key, const std::optional<std::string> &value,
                         lease_id lease)
{
    if (!value) {
        const auto found = entries.find(key);
        if (found == entries.end())
            return;
        const store_entry removed = found->second;
        entries.erase(found);
        return notify(removed, true);
    }
    store_entry &target = entries[key];
    target.key = key;
    target.value = *value;
    target.lease = lease;
    if (target.createRevision == 0)
        target.createRevision = m_revision;
    target.modRevision = m_revision;
    notify(target, false);
}

void memory_store::notify(const store_entry &changed, bool deleted)
{
    for (const auto &[prefix, weak] : m_watches) {
        if (changed.key.compare(0, prefix.size(), prefix) != 0)
            continue;
        watch_batch batch;
        batch.at = m_revision;
        batch.events.push_back({changed, deleted});
        m_loop.post([weak = weak, batch] {
            if (const auto callback = weak.lock())
                (*callback)(batch);
        });
    }
}

void memory_store::grantLease(duration, const call_options &, store_callback<lease_id> callback)
{
    answer([this, callback = std::move(callback)] {
        if (fault != store_fault::None)
            return callback(makeFailure(code::StoreUnavailable, "the store is down"));
        callback(++m_lastLease);
    });
}

void memory_store::renewLease(lease_id, const call_options &, store_callback<duration> callback)
{
    answer([callback = std::move(callback)] { callback(duration(5s)); });
}

void memory_store::revokeLease(lease_id lease, const call_options &, store_callback<done> callback)
{
    answer([this, lease, callback = std::move(callback)] {
        ++m_revision;
        for (const auto &[key, value] : std::map(entries)) {
            if (value.lease == lease)
                write(key, std::nullopt, 0);
        }
        callback(done{});
    });
}

std::unique_ptr<store_watch> memory_store::watch(std::string_view prefix, store_revision,
                                                 std::function<void(watch_batch)> callback)
{
    auto handle = std::make_unique<memory_watch>();
    handle->callback = std::make_shared<std::function<void(watch_batch)>>(std::move(callback));
    m_watches.emplace_back(std::string(prefix), handle->callback);
    return handle;
}

void memory_store::put(std::string_view key, std::string_view value)
{
    ++m_revision;
    write(std::string(key), std::string(value), 0);
}

const store_entry *memory_store::entry(std::string_view key) const
{
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
}

} // namespace goldcrest
