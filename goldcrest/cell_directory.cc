#include "goldcrest/cell_directory.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace goldcrest {

cell_directory::cell_directory(std::string_view name)
    : m_offset(std::hash<std::string_view>{}(name))
{ }

void cell_directory::plannerRequested(link_id link, const find_planner_message &request,
                                      time_point now)
{
    m_agents[link].request = request;
    cell_state &state = m_cells[request.cell];
    planner_info_message info;
    info.cell = request.cell;
    if (!state.absent) {
        info.address = state.planner.leader.address;
        info.plannerEpoch = state.planner.number;
    }
    m_actions.push_back({link, info});
    if (state.absent)
        nominate(request.cell, state, now);
}

void cell_directory::linkClosed(link_id link)
{
    m_agents.erase(link);
}

bool cell_directory::leaderReported(const std::string &cell, const leader_record &leader,
                                    epoch number)
{
    cell_state &state = m_cells[cell];
    // Reports of other entries carry only the address; the record in the store adds the worker.
    if (number == state.planner.number && state.planner.leader.worker.empty())
        state.planner.leader = leader;
    if (number <= state.planner.number)
        return false;
    state.planner = {leader, number};
    state.absent = false;
    state.nominatedAt.reset();
    state.tried.clear();
    notifyAgents(cell);
    return true;
}

void cell_directory::leaderAbsent(const std::string &cell, time_point now)
{
    cell_state &state = m_cells[cell];
    if (!state.absent) {
        state.absent = true;
        state.nominatedAt.reset();
        notifyAgents(cell);
    }
    nominate(cell, state, now);
}

std::set<std::string> cell_directory::cellsOfAgents() const
{
    std::set<std::string> cells;
    for (const auto &[link, agent] : m_agents)
        cells.insert(agent.request.cell);
    return cells;
}

known_planner cell_directory::plannerOf(const std::string &cell) const
{
    const auto found = m_cells.find(cell);
    return found == m_cells.end() ? known_planner{} : found->second.planner;
}

std::vector<directory_action> cell_directory::takeActions()
{
    return std::exchange(m_actions, {});
}

// Sends the cell's planner, or the notice that it has none, to all agents of the cell.
void cell_directory::notifyAgents(const std::string &cell)
{
    const cell_state &state = m_cells[cell];
    planner_info_message info;
    info.cell = cell;
    if (!state.absent) {
        info.address = state.planner.leader.address;
        info.plannerEpoch = state.planner.number;
    }
    for (const auto &[link, agent] : m_agents) {
        if (agent.request.cell == cell)
            m_actions.push_back({link, info});
    }
}

void cell_directory::nominate(const std::string &cell, cell_state &state, time_point now)
{
    if (state.nominatedAt && now - *state.nominatedAt < nominationInterval)
        return;
    std::optional<link_id> candidate = nextCandidate(cell, state);
    if (!candidate) {
        // Every eligible agent has been nominated once, so start over.
        state.tried.clear();
        candidate = nextCandidate(cell, state);
    }
    if (!candidate)
        return;
    state.nominatedAt = now;
    state.tried.insert(m_agents[*candidate].request.worker);
    m_actions.push_back({*candidate, nominate_message{cell}});
}

std::optional<link_id> cell_directory::nextCandidate(const std::string &cell,
                                                     const cell_state &state) const
{
    std::vector<std::pair<worker_id, link_id>> preferred;
    std::vector<std::pair<worker_id, link_id>> avoided;
    for (const auto &[link, agent] : m_agents) {
        const find_planner_message &request = agent.request;
        if (request.cell != cell || !request.eligible || state.tried.count(request.worker) > 0)
            continue;
        auto &list = m_avoided.count(request.worker) > 0 ? avoided : preferred;
        list.emplace_back(request.worker, link);
    }
    const auto &list = preferred.empty() ? avoided : preferred;
    if (list.empty())
        return std::nullopt;
    std::vector<std::pair<worker_id, link_id>> sorted = list;
    std::sort(sorted.begin(), sorted.end());
    return sorted[m_offset % sorted.size()].second;
}

} // namespace goldcrest
