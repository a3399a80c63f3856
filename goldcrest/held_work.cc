#include "goldcrest/held_work.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace goldcrest {

namespace {

// Parts of the memory, in eighths, up to which work of a rank is held. Guaranteed work may use all
// of it while its team holds less than half of an equal share.
constexpr std::size_t parts = 8;
constexpr std::size_t lowerPart = 4; // priority 1 and below
constexpr std::size_t urgentPart = 6; // priority 0
constexpr std::size_t turnsPart = 1; // of these, by turns

struct ranked_item
{
    std::size_t index = 0;
    std::size_t bytesBefore = 0; // that its team holds with all items of higher rank
};

auto classOf(const held_item &item)
{
    return std::make_tuple(!item.mayStart, !item.isGuaranteed, item.priority, !item.isFirst);
}

// Returns the items by rank. Taking the team that holds least, time and again, is the same as one
// sort by what a team holds before each of its items.
std::vector<ranked_item> rank(gsl::span<const held_item> items,
                              std::map<std::string_view, std::size_t> bytesOfTeam)
{
    std::vector<ranked_item> ranked(items.size());
    for (std::size_t i = 0; i < items.size(); ++i)
        ranked[i].index = i;
    const auto orderInTeam = [&](const ranked_item &one) {
        const held_item &item = items[one.index];
        return std::make_tuple(classOf(item), item.target, item.job, item.occurrence);
    };
    std::sort(ranked.begin(), ranked.end(), [&](const ranked_item &a, const ranked_item &b) {
        return orderInTeam(a) < orderInTeam(b);
    });
    for (ranked_item &next : ranked) {
        std::size_t &bytes = bytesOfTeam[items[next.index].team];
        next.bytesBefore = bytes;
        bytes += items[next.index].bytes;
    }
    // Within a class, the team that holds least goes first.
    std::stable_sort(ranked.begin(), ranked.end(), [&](const ranked_item &a, const ranked_item &b) {
        return std::make_tuple(classOf(items[a.index]), a.bytesBefore)
            < std::make_tuple(classOf(items[b.index]), b.bytesBefore);
    });
    return ranked;
}

} // namespace

// What is chosen, in the course of the choice.
struct held_work::selection
{
    gsl::span<const held_item> items;
    std::vector<ranked_item> ranked;
    std::size_t teams = 0;
    std::size_t fixedBytes = 0;
    std::size_t bytes = 0; // with what is fixed
    std::vector<std::size_t> chosen;
    std::vector<std::size_t> rest; // by rank

    // The first one by rank is taken in any case if nothing is fixed.
    bool take(std::size_t index, std::size_t limit)
    {
        const bool isFirst = fixedBytes == 0 && index == ranked.front().index;
        if (!isFirst && bytes + items[index].bytes > limit)
            return false;
        bytes += items[index].bytes;
        chosen.push_back(index);
        return true;
    }
};

bool held_work::hasRoomForAll(std::size_t bytes) const
{
    return bytes <= m_limit / parts * lowerPart;
}

std::size_t held_work::limitOf(const held_item &item, std::size_t bytesOfTeam,
                               std::size_t teams) const
{
    if (item.isGuaranteed && item.mayStart && bytesOfTeam + item.bytes <= m_limit / (2 * teams))
        return m_limit;
    return m_limit / parts * (item.priority == 0 ? urgentPart : lowerPart);
}

bool held_work::isInTurn(const held_item &item) const
{
    return item.isFirst && m_inTurn.count(item.job) > 0;
}

// What does not fit waits, and with it all of lower rank that may not use more of the memory.
void held_work::selectByRank(selection &selected) const
{
    std::size_t usedUp = 0;
    for (const ranked_item &next : selected.ranked) {
        const held_item &item = selected.items[next.index];
        if (isInTurn(item))
            continue;
        const std::size_t limit = limitOf(item, next.bytesBefore, selected.teams);
        if (limit > usedUp && selected.take(next.index, limit))
            continue;
        usedUp = std::max(usedUp, limit);
        selected.rest.push_back(next.index);
    }
}

// Chooses the jobs of the next turn among those that hold nothing otherwise, in order of their
// names from the last one on.
void held_work::beginTurn(const selection &withoutTurns)
{
    std::vector<std::size_t> next;
    for (const std::size_t index : withoutTurns.rest) {
        if (withoutTurns.items[index].isFirst)
            next.push_back(index);
    }
    const auto order = [&](std::size_t index) {
        const std::string_view job = withoutTurns.items[index].job;
        return std::make_tuple(job <= m_lastInTurn, job);
    };
    std::sort(next.begin(), next.end(),
              [&](std::size_t a, std::size_t b) { return order(a) < order(b); });
    std::size_t bytes = 0;
    for (const std::size_t index : next) {
        const held_item &item = withoutTurns.items[index];
        if (bytes > 0 && bytes + item.bytes > m_limit / parts * turnsPart)
            break;
        const std::size_t limit = m_limit / parts * (item.priority == 0 ? urgentPart : lowerPart);
        if (withoutTurns.fixedBytes + bytes + item.bytes > limit)
            continue;
        bytes += item.bytes;
        m_inTurn.emplace(item.job);
        m_lastInTurn = std::string(item.job);
    }
}

held_changes held_work::choose(gsl::span<const held_item> items,
                               const std::map<std::string_view, std::size_t> &fixed, time_point now)
{
    selection selected;
    selected.items = items;
    selected.ranked = rank(items, fixed);
    std::set<std::string_view> teams;
    for (const auto &[team, bytes] : fixed) {
        selected.fixedBytes += bytes;
        teams.insert(team);
    }
    for (const held_item &item : items)
        teams.insert(item.team);
    selected.teams = std::max<std::size_t>(1, teams.size());
    selected.bytes = selected.fixedBytes;
    if (now - m_turnBegan >= turnTime) {
        m_turnBegan = now;
        m_inTurn.clear();
        // The room for turns is left out here, so that each item that it displaces has its turn.
        selection withoutTurns = selected;
        withoutTurns.bytes += m_limit / parts * turnsPart;
        selectByRank(withoutTurns);
        beginTurn(withoutTurns);
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (isInTurn(items[i]) && !selected.take(i, m_limit / parts * urgentPart))
            selected.rest.push_back(i);
    }
    selectByRank(selected);
    return changesFor(selected);
}

// Sets aside what is held and was not chosen, the lowest ranks first, until the rest has room. What
// has room stays, since it may be chosen again.
held_changes held_work::changesFor(const selection &selected) const
{
    held_changes changes;
    std::size_t bytes = selected.bytes;
    for (const std::size_t index : selected.chosen) {
        if (!selected.items[index].isHeld)
            changes.toOpen.push_back(index);
    }
    for (const std::size_t index : selected.rest)
        bytes += selected.items[index].isHeld ? selected.items[index].bytes : 0;
    const std::size_t limit = std::max(selected.bytes, m_limit / parts * lowerPart);
    for (auto it = selected.rest.rbegin(); it != selected.rest.rend() && bytes > limit; ++it) {
        if (!selected.items[*it].isHeld)
            continue;
        bytes -= selected.items[*it].bytes;
        changes.toClose.push_back(*it);
    }
    return changes;
}

} // namespace goldcrest
