#include "goldcrest/learned_state_keeper.h"

#include "goldcrest/log_fields.h"

#include <utility>

namespace goldcrest {

namespace {

const call_options readOptions{call_priority::Normal, 2s, largeAnswer};
const call_options writeOptions{call_priority::Background, 2s};

} // namespace

learned_state_keeper::learned_state_keeper(platform_store &store, std::string leaderKey,
                                           std::function<unix_ms()> wall)
    : m_store(store)
    , m_leaderKey(std::move(leaderKey))
    , m_wall(std::move(wall))
{ }

learned_state_keeper::~learned_state_keeper() = default;

void learned_state_keeper::beginTerm(epoch number, time_point now, std::function<void()> onRead)
{
    endTerm();
    m_term = std::make_shared<term>(term{number});
    m_onRead = std::move(onRead);
    m_triedAt = now;
    m_isReading = true;
    m_store.get(
        learnedStateKey, readOptions,
        [this, of = std::weak_ptr<term>(m_term)](const result<std::optional<store_entry>> &reply) {
            if (of.expired())
                return;
            m_isReading = false;
            onReply(reply);
        });
}

void learned_state_keeper::endTerm()
{
    m_term.reset();
    m_onRead = nullptr;
    m_read.reset();
    m_written.reset();
    m_writtenAt = {};
    m_isWriting = false;
    m_isReading = false;
}

void learned_state_keeper::onReply(const result<std::optional<store_entry>> &reply)
{
    if (const failure *error = failureOf(reply))
        return logRead("failed", 0, nullptr, error);
    const std::optional<store_entry> &entry = valueOf(reply);
    if (!entry)
        return logRead("absent", 0, nullptr, nullptr);
    const std::size_t bytes = entry->value.size();
    result<learned_state> decoded = decodeLearnedState(entry->value);
    if (const failure *error = failureOf(decoded))
        return logRead("refused", bytes, nullptr, error);
    learned_state &state = valueOf(decoded);
    m_counts.bytes = bytes;
    m_counts.writtenAt = state.writtenAt;
    if (!weakened(state, m_wall()))
        return logRead("refused", bytes, &state, nullptr);
    logRead("used", bytes, &state, nullptr);
    m_read = std::move(state);
    m_onRead();
}

std::optional<learned_state> learned_state_keeper::takeRead()
{
    std::optional<learned_state> read = std::exchange(m_read, std::nullopt);
    return read ? weakened(*std::move(read), m_wall()) : std::nullopt;
}

bool learned_state_keeper::mayWrite() const
{
    return m_term && !m_isReading && !m_isWriting;
}

bool learned_state_keeper::isDue(time_point now) const
{
    return mayWrite() && now - m_triedAt >= learnedWriteInterval;
}

void learned_state_keeper::write(learned_state state, time_point now)
{
    if (isDue(now))
        store(std::move(state), now);
}

void learned_state_keeper::writeLast(learned_state state, time_point now)
{
    if (mayWrite())
        store(std::move(state), now);
}

void learned_state_keeper::store(learned_state state, time_point now)
{
    m_triedAt = now;
    const bool isOld = m_written && now - m_writtenAt >= learnedRefreshInterval;
    if (!hasChanged(m_written.value_or(learned_state{}), state) && !isOld)
        return;
    state.writtenAt = m_wall();
    state.writtenIn = m_term->number;
    const std::string record = encodeLearnedState(state);
    store_transaction transaction;
    transaction.requireCreateRevision(m_leaderKey, m_term->number).put(learnedStateKey, record);
    m_isWriting = true;
    m_store.commit(std::move(transaction), writeOptions,
                   [this, of = std::weak_ptr<term>(m_term), bytes = record.size(),
                    state = std::move(state)](const result<commit_reply> &reply) mutable {
                       if (of.expired())
                           return;
                       m_isWriting = false;
                       onStored(reply, std::move(state), bytes);
                   });
}

void learned_state_keeper::onStored(const result<commit_reply> &reply, learned_state state,
                                    std::size_t bytes)
{
    const failure *error = failureOf(reply);
    const bool isDone = !error && valueOf(reply).applied;
    const std::string_view outcome = isDone ? "done" : error ? "failed" : "replaced";
    ++m_counts.writes.find(outcome)->second;
    log_line line(error ? log_level::Warning : log_level::Info, "learned state written");
    line.atEpoch(m_term->number)
        .field("outcome", outcome)
        .field("bytes", static_cast<std::int64_t>(bytes))
        .field("version", learnedStateVersion)
        .field("age_ms", m_wall() - state.writtenAt);
    if (error)
        line.error(*error);
    line.write();
    if (!isDone)
        return;
    m_counts.bytes = bytes;
    m_counts.writtenAt = state.writtenAt;
    m_written = std::move(state);
    m_writtenAt = m_triedAt;
}

void learned_state_keeper::logRead(std::string_view outcome, std::size_t bytes,
                                   const learned_state *state, const failure *error)
{
    ++m_counts.reads.find(outcome)->second;
    const bool isFault = outcome == "refused" || outcome == "failed";
    log_line line(isFault ? log_level::Warning : log_level::Info, "learned state read");
    line.atEpoch(m_term->number)
        .field("outcome", outcome)
        .field("bytes", static_cast<std::int64_t>(bytes));
    if (state)
        line.field("version", learnedStateVersion)
            .field("age_ms", m_wall() - state->writtenAt)
            .field("written_in", state->writtenIn);
    if (error)
        line.error(*error);
    line.write();
}

} // namespace goldcrest
