#pragma once

// Keeps the record of learned state in the store: the planner reads it once when its term begins,
// and writes it while the term lasts.
//
//   learned_state_keeper keeper(store, leaderKey(cell), wall);
//   keeper.beginTerm(epoch, now, [&] { merge(keeper.takeRead()); });
//   if (keeper.isDue(now)) keeper.write(planner.learnedState(now), now);
//   keeper.writeLast(planner.learnedState(now), now);       // when the planner resigns
//   keeper.endTerm();
//
// A write takes effect only while the leader key is the one of the epoch in which it was asked for,
// so that a planner that was paused can't overwrite the record of its successor. At most one write
// is in flight; a failed one is not repeated before the next is due.

#include "goldcrest/clock.h"
#include "goldcrest/learned_state.h"
#include "goldcrest/platform_store.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

constexpr std::string_view learnedStateKey = "gc/learned";

// Least time between two writes of a term, and between its begin and the first one.
constexpr duration learnedWriteInterval = 10s;

// A state that has changed by less than its uncertainty is written again after this, so that the
// record of a steady deployment does not become stale.
constexpr duration learnedRefreshInterval = 5min;

struct learned_state_counts
{
    // By outcome. All outcomes are listed, so that metrics show them from the beginning.
    std::map<std::string, std::uint64_t, std::less<>> reads{
        {"used", 0}, {"absent", 0}, {"refused", 0}, {"failed", 0}};
    std::map<std::string, std::uint64_t, std::less<>> writes{
        {"done", 0}, {"replaced", 0}, {"failed", 0}};
    std::size_t bytes = 0; // of the record that was last read or written
    std::optional<unix_ms> writtenAt; // of that record
};

class learned_state_keeper
{
public:
    // @param leaderKey of the planner's cell
    // @param wall returns the wall-clock time
    learned_state_keeper(platform_store &store, std::string leaderKey,
                         std::function<unix_ms()> wall);
    ~learned_state_keeper();
    learned_state_keeper(const learned_state_keeper &) = delete;
    learned_state_keeper &operator=(const learned_state_keeper &) = delete;

    // Begins a term and reads the record. Calls `onRead` if there is one that can be used.
    void beginTerm(epoch number, time_point now, std::function<void()> onRead);

    // Ends the term. Replies to its calls are ignored from now on.
    void endTerm();

    // Returns whether a usable record was read and not taken yet.
    bool hasRead() const { return m_read.has_value(); }

    // Returns the record that was read, weakened by its age, once.
    std::optional<learned_state> takeRead();

    // Returns whether write() may write now.
    bool isDue(time_point now) const;

    // Writes a state if it differs enough from the last one written. Does nothing unless isDue().
    void write(learned_state state, time_point now);

    // The same without the interval, unless a call is in flight: a state that lacks what the
    // predecessor has learned must not replace its record.
    void writeLast(learned_state state, time_point now);

    bool isWriting() const { return m_isWriting; }
    bool hasTerm() const { return m_term != nullptr; }

    const learned_state_counts &counts() const { return m_counts; }

private:
    bool mayWrite() const;

    struct term
    {
        epoch number = 0;
    };

    void onReply(const result<std::optional<store_entry>> &reply);
    void store(learned_state state, time_point now);
    void onStored(const result<commit_reply> &reply, learned_state state, std::size_t bytes);
    void logRead(std::string_view outcome, std::size_t bytes, const learned_state *state,
                 const failure *error);

    platform_store &m_store;
    std::string m_leaderKey;
    std::function<unix_ms()> m_wall;
    std::shared_ptr<term> m_term; // empty: no term
    std::function<void()> m_onRead;
    std::optional<learned_state> m_read;
    std::optional<learned_state> m_written; // of this term
    time_point m_writtenAt{}; // last successful write of this term
    time_point m_triedAt{};
    bool m_isReading = false;
    bool m_isWriting = false;
    learned_state_counts m_counts;
};

} // namespace goldcrest
