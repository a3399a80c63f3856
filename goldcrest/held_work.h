#pragma once

// Decides which occurrences of accepted jobs a planner holds in memory, with all of their tasks.
// The others stay in the store and are known by their jobs only. It does no I/O.
//
//   held_work held(limitBytes);
//   const held_changes changes = held.choose(items, fixed, now);
//   for (const std::size_t index : changes.toClose) ...    // first, since this frees the room
//   for (const std::size_t index : changes.toOpen) ...
//
// What is held is what would start first if everything were: guaranteed jobs, then by priority,
// each job's first occurrence before its further ones, the teams in equal shares, and then by
// target. Work that no worker can run comes last.
//
// An occurrence of which a run was recorded can't be given up, so that it is fixed until it ends.
// Lower ranks may therefore use a part of the memory only. A small part goes to the remaining jobs
// by turns, so that none of them waits for ever behind work that can't start. The parts and their
// reasons are in docs/design/held-work.md.

#include "goldcrest/clock.h"

#include <gsl/span>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// An occurrence that is due and not fixed: the next ones of a job, or untouched ones that are held.
struct held_item
{
    std::string_view job;
    std::int32_t occurrence = 0; // a later one of the same job is never held without an earlier one
    std::string_view team;
    bool isHeld = false;
    bool isFirst = false; // the job holds no earlier occurrence
    bool mayStart = true; // some worker has the capacity and the label for its first tasks
    bool isGuaranteed = false;
    std::int32_t priority = 0; // 0 is the highest
    time_point target{}; // when the job should be done
    std::size_t bytes = 0; // of memory while it is held
};

// Indexes of items. Items are to be closed, and opened, in the order of the lists.
struct held_changes
{
    std::vector<std::size_t> toClose;
    std::vector<std::size_t> toOpen;
};

class held_work
{
public:
    // What is held by turns stays at least this long, so that it has time to start.
    static constexpr duration turnTime = 2s;

    // @param limitBytes memory for all occurrences that are held. While none is fixed, the first
    // one by rank is held in any case.
    explicit held_work(std::size_t limitBytes)
        : m_limit(limitBytes)
    { }

    void setLimit(std::size_t limitBytes) { m_limit = limitBytes; }
    std::size_t limit() const { return m_limit; }

    // Returns whether this much fits into the part of the lowest rank, so that nothing is chosen.
    // @param bytes of all that is held or should be
    bool hasRoomForAll(std::size_t bytes) const;

    // Returns what to close and what to open.
    // @param items in any order; a job has all untouched occurrences that it holds among them
    // @param fixed bytes of the occurrences that are held and are not in `items`, by team
    held_changes choose(gsl::span<const held_item> items,
                        const std::map<std::string_view, std::size_t> &fixed, time_point now);

private:
    struct selection;

    std::size_t limitOf(const held_item &item, std::size_t bytesOfTeam, std::size_t teams) const;
    void selectByRank(selection &selected) const;
    void beginTurn(const selection &withoutTurns);
    bool isInTurn(const held_item &item) const;
    held_changes changesFor(const selection &selected) const;

    std::size_t m_limit;
    time_point m_turnBegan{};
    std::set<std::string, std::less<>> m_inTurn; // jobs that are held by turns
    std::string m_lastInTurn; // by name
};

} // namespace goldcrest
