#include "standins/store_model.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

constexpr std::size_t maxHistoryBatches = 10'000;

bool isWithin(const std::string &key, const std::string &first, const std::string &end)
{
    if (end.empty())
        return key == first;
    if (end.size() == 1 && end[0] == '\0')
        return key >= first;
    return key >= first && key < end;
}

std::optional<watch_batch> selectEvents(const watch_batch &batch, const std::string &first,
                                        const std::string &end)
{
    watch_batch selected;
    selected.at = batch.at;
    for (const watch_event &event : batch.events) {
        if (isWithin(event.entry.key, first, end))
            selected.events.push_back(event);
    }
    if (selected.events.empty())
        return std::nullopt;
    return selected;
}

} // namespace

std::vector<store_entry> store_model::range(const std::string &first, const std::string &end,
                                            std::size_t limit) const
{
    std::vector<store_entry> found;
    for (auto item = m_entries.lower_bound(first); item != m_entries.end(); ++item) {
        if (!isWithin(item->first, first, end) || (limit > 0 && found.size() >= limit))
            break;
        found.push_back(item->second);
    }
    return found;
}

bool store_model::holds(const store_transaction::condition &condition) const
{
    const auto found = m_entries.find(condition.key);
    if (found == m_entries.end())
        return condition.expected == 0;
    const store_entry &entry = found->second;
    return condition.expected
        == (condition.onCreateRevision ? entry.createRevision : entry.modRevision);
}

result<commit_reply> store_model::commit(const store_transaction &transaction)
{
    commit_reply reply;
    reply.applied = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                                [&](const auto &condition) { return holds(condition); });
    if (!reply.applied) {
        for (const store_transaction::condition &condition : transaction.conditions) {
            const auto found = m_entries.find(condition.key);
            if (found != m_entries.end())
                reply.current.push_back(found->second);
        }
        reply.at = m_revision;
        return reply;
    }
    for (const store_transaction::write &change : transaction.writes) {
        if (change.lease != 0 && !hasLease(change.lease))
            return makeFailure(code::LeaseLost, "requested lease not found");
        if (change.value && change.value->size() > maxStoreValueBytes)
            return makeFailure(code::StoreValueTooLarge, "request is too large");
    }
    if (!transaction.writes.empty()) {
        ++m_revision;
        std::vector<watch_event> events;
        for (const store_transaction::write &change : transaction.writes)
            write(change, events);
        reply.at = m_revision;
        publish(std::move(events));
    }
    reply.at = m_revision;
    return reply;
}

void store_model::write(const store_transaction::write &change, std::vector<watch_event> &events)
{
    const auto found = m_entries.find(change.key);
    if (found != m_entries.end())
        detachFromLease(found->second);
    if (!change.value) {
        if (found == m_entries.end())
            return;
        m_entries.erase(found);
        store_entry deletion;
        deletion.key = change.key;
        deletion.modRevision = m_revision;
        events.push_back({deletion, true});
        return;
    }
    store_entry &entry = m_entries[change.key];
    if (entry.key.empty()) {
        entry.key = change.key;
        entry.createRevision = m_revision;
    }
    entry.value = *change.value;
    entry.modRevision = m_revision;
    entry.lease = change.lease;
    if (change.lease != 0)
        m_leases[change.lease].keys.insert(change.key);
    events.push_back({entry, false});
}

void store_model::detachFromLease(const store_entry &entry)
{
    const auto lease = m_leases.find(entry.lease);
    if (lease != m_leases.end())
        lease->second.keys.erase(entry.key);
}

void store_model::publish(std::vector<watch_event> events)
{
    if (events.empty())
        return;
    m_history.push_back({std::move(events), m_revision, false});
    if (m_history.size() > maxHistoryBatches) {
        m_historyStart = m_history.front().at + 1;
        m_history.pop_front();
    }
    // A callback may cancel watches, including its own.
    const watch_batch batch = m_history.back();
    const std::map<watch_id, watch_state> watches = m_watches;
    for (const auto &[id, state] : watches) {
        if (m_watches.count(id) == 0)
            continue;
        if (const std::optional<watch_batch> selected = selectEvents(batch, state.first, state.end))
            state.callback(*selected);
    }
}

lease_id store_model::grantLease(duration lifetime, time_point now)
{
    expireLeases(now);
    const lease_id id = ++m_lastLease;
    m_leases[id] = {lifetime, now + lifetime, {}};
    return id;
}

result<duration> store_model::renewLease(lease_id lease, time_point now)
{
    expireLeases(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return makeFailure(code::LeaseLost, "requested lease not found");
    found->second.endsAt = now + found->second.lifetime;
    return found->second.lifetime;
}

result<done> store_model::revokeLease(lease_id lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return makeFailure(code::LeaseLost, "requested lease not found");
    const std::set<std::string> keys = std::move(found->second.keys);
    m_leases.erase(found);
    store_transaction removal;
    for (const std::string &key : keys)
        removal.remove(key);
    commit(removal);
    return done{};
}

void store_model::expireLeases(time_point now)
{
    std::vector<lease_id> ended;
    for (const auto &[id, state] : m_leases) {
        if (state.endsAt <= now)
            ended.push_back(id);
    }
    for (const lease_id id : ended)
        revokeLease(id);
}

store_model::watch_id store_model::watch(const std::string &first, const std::string &end,
                                         store_revision from,
                                         const std::function<void(const watch_batch &)> &callback)
{
    const watch_id id = ++m_lastWatch;
    if (from != 0 && from < m_historyStart) {
        watch_batch broken;
        broken.at = m_revision;
        broken.broken = true;
        callback(broken);
        return id;
    }
    m_watches[id] = {first, end, callback};
    if (from == 0)
        return id;
    const std::deque<watch_batch> history = m_history;
    for (const watch_batch &batch : history) {
        if (batch.at < from || m_watches.count(id) == 0)
            continue;
        if (const std::optional<watch_batch> selected = selectEvents(batch, first, end))
            callback(*selected);
    }
    return id;
}

void store_model::cancelWatch(watch_id id)
{
    m_watches.erase(id);
}

void store_model::compact(store_revision keepFrom)
{
    m_historyStart = std::max(m_historyStart, keepFrom);
    while (!m_history.empty() && m_history.front().at < keepFrom)
        m_history.pop_front();
}

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty()) {
        const auto last = static_cast<unsigned char>(end.back());
        if (last < 0xff) {
            end.back() = static_cast<char>(last + 1);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

struct fake_store::open_watch
{
    store_model::watch_id id = 0;
    std::function<void(watch_batch)> callback;
    bool ended = false;
};

class fake_store::watch_handle final : public store_watch
{
public:
    using watch_table = std::map<std::uint64_t, std::shared_ptr<open_watch>>;

    watch_handle(store_model &model, std::weak_ptr<watch_table> table, std::uint64_t id,
                 std::shared_ptr<open_watch> watch)
        : m_model(model)
        , m_table(std::move(table))
        , m_id(id)
        , m_watch(std::move(watch))
    { }

    ~watch_handle() override
    {
        m_watch->ended = true;
        const std::shared_ptr<watch_table> table = m_table.lock();
        if (!table)
            return;
        m_model.cancelWatch(m_watch->id);
        table->erase(m_id);
    }

    watch_handle(const watch_handle &) = delete;
    watch_handle &operator=(const watch_handle &) = delete;

private:
    store_model &m_model;
    std::weak_ptr<watch_table> m_table;
    std::uint64_t m_id;
    std::shared_ptr<open_watch> m_watch;
};

fake_store::fake_store(store_model &model, event_loop &loop)
    : m_model(model)
    , m_loop(loop)
    , m_watches(std::make_shared<std::map<std::uint64_t, std::shared_ptr<open_watch>>>())
{ }

fake_store::~fake_store()
{
    for (const auto &[id, watch] : *m_watches)
        m_model.cancelWatch(watch->id);
}

void fake_store::run(duration delay, std::function<void()> task)
{
    const std::uint64_t id = ++m_lastId;
    m_pending[id] = m_loop.after(delay, [this, id, task = std::move(task)] {
        // Erasing the timer destroys this closure, so the task is copied first.
        const std::function<void()> running = task;
        const timer_handle own = std::move(m_pending[id]);
        m_pending.erase(id);
        running();
    });
}

failure fake_store::timeoutFailure(bool isWrite)
{
    return makeFailure(isWrite ? code::StoreAmbiguous : code::StoreUnavailable,
                       "no answer before the deadline");
}

std::optional<failure> fake_store::faultOf(bool isWrite)
{
    if (m_faults.down)
        return makeFailure(code::StoreUnavailable, "the store is down");
    if (m_faults.unresponsive)
        return timeoutFailure(isWrite);
    if (isWrite && m_faults.refuseWrites)
        return makeFailure(code::StoreOverBudget, "the store refuses writes");
    if (isWrite && m_faults.loseRequests > 0) {
        --m_faults.loseRequests;
        return makeFailure(code::StoreAmbiguous, "the connection closed without an answer");
    }
    return std::nullopt;
}

template<typename T>
void fake_store::answer(bool isWrite, result<T> outcome, const call_options &options,
                        store_callback<T> callback)
{
    duration delay = m_faults.delay;
    if (m_faults.unresponsive || delay > options.deadline) {
        delay = options.deadline;
        outcome = timeoutFailure(isWrite);
    }
    run(delay,
        [outcome = std::move(outcome), callback = std::move(callback)] { callback(outcome); });
}

template<typename T, typename Effect>
void fake_store::call(bool isWrite, const call_options &options, store_callback<T> callback,
                      Effect effect)
{
    m_model.expireLeases(m_loop.now());
    if (const std::optional<failure> fault = faultOf(isWrite))
        return answer<T>(isWrite, *fault, options, std::move(callback));
    result<T> outcome = effect();
    if (isWrite && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        outcome = makeFailure(m_faults.lostAnswer, "the connection closed without an answer");
    }
    answer<T>(isWrite, std::move(outcome), options, std::move(callback));
}

void fake_store::get(std::string_view key, const call_options &options,
                     store_callback<std::optional<store_entry>> callback)
{
    ++m_counts.reads;
    m_callOrder.emplace_back(key);
    using entry_option = std::optional<store_entry>;
    call<entry_option>(false, options, std::move(callback), [&]() -> result<entry_option> {
        const std::vector<store_entry> found = m_model.range(std::string(key), {});
        return found.empty() ? entry_option() : entry_option(found.front());
    });
}

void fake_store::list(std::string_view prefix, std::size_t limit, const call_options &options,
                      store_callback<std::vector<store_entry>> callback)
{
    ++m_counts.reads;
    m_callOrder.emplace_back(prefix);
    using entries = std::vector<store_entry>;
    call<entries>(false, options, std::move(callback), [&]() -> result<entries> {
        return m_model.range(std::string(prefix), prefixEnd(prefix), limit);
    });
}

void fake_store::commit(store_transaction transaction, const call_options &options,
                        store_callback<commit_reply> callback)
{
    const bool isTooLarge = std::any_of(transaction.writes.begin(), transaction.writes.end(),
                                        [this](const auto &write) {
                                            return m_faults.maxValueBytes > 0 && write.value
                                                && write.value->size() > m_faults.maxValueBytes;
                                        });
    if (isTooLarge)
        return callback(makeFailure(code::StoreValueTooLarge, "the value is too large"));
    const bool isWrite = !transaction.writes.empty();
    ++(isWrite ? m_counts.writes : m_counts.reads);
    m_callOrder.push_back(transaction.writes.empty() ? std::string()
                                                     : transaction.writes.front().key);
    call<commit_reply>(isWrite, options, std::move(callback),
                       [&] { return m_model.commit(transaction); });
}

void fake_store::grantLease(duration lifetime, const call_options &options,
                            store_callback<lease_id> callback)
{
    ++m_counts.leases;
    call<lease_id>(true, options, std::move(callback), [&]() -> result<lease_id> {
        return m_model.grantLease(lifetime, m_loop.now());
    });
}

void fake_store::renewLease(lease_id lease, const call_options &options,
                            store_callback<duration> callback)
{
    ++m_counts.leases;
    call<duration>(true, options, std::move(callback),
                   [&] { return m_model.renewLease(lease, m_loop.now()); });
}

void fake_store::revokeLease(lease_id lease, const call_options &options,
                             store_callback<done> callback)
{
    ++m_counts.leases;
    call<done>(true, options, std::move(callback), [&] { return m_model.revokeLease(lease); });
}

std::unique_ptr<store_watch> fake_store::watch(std::string_view prefix, store_revision from,
                                               std::function<void(watch_batch)> callback)
{
    ++m_counts.watches;
    auto opened = std::make_shared<open_watch>();
    opened->callback = std::move(callback);
    const std::uint64_t id = ++m_lastId;
    (*m_watches)[id] = opened;
    const auto deliver = [this, opened](const watch_batch &batch) {
        if (m_faults.dropWatchEvents && !batch.broken)
            return;
        run(m_faults.delay, [opened, batch] {
            if (!opened->ended)
                opened->callback(batch);
        });
    };
    if (m_faults.down || m_faults.unresponsive)
        deliver({{}, 0, true});
    else
        opened->id = m_model.watch(std::string(prefix), prefixEnd(prefix), from, deliver);
    return std::make_unique<watch_handle>(m_model, m_watches, id, opened);
}

void fake_store::breakWatches()
{
    for (const auto &[id, watch] : *m_watches) {
        m_model.cancelWatch(watch->id);
        run(m_faults.delay, [opened = watch] {
            if (!opened->ended)
                opened->callback({{}, 0, true});
        });
    }
}

} // namespace goldcrest
