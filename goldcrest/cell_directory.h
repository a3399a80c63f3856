#pragma once

// What an entry knows of the planners of its cells, the agents that ask for them, and whom it
// nominates when a cell has none. No sockets and no clock.
//
//   cell_directory directory("e1");
//   directory.agentAsked(link, find_planner, now);
//   directory.leaderAbsent("main", now);            // the store says so
//   for (const directory_action &action : directory.takeActions())
//       send(action.link, action.content);

#include "goldcrest/clock.h"
#include "goldcrest/membership.h"
#include "goldcrest/messages.h"
#include "goldcrest/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

using link_id = std::uint64_t;

// A nominated agent has this long to become planner before the next one is asked. An election takes
// two store calls, so that a working agent is not passed over when the store is slow.
constexpr duration nominationInterval = 1500ms;

struct directory_action
{
    link_id link = 0;
    message content; // planner_info or nominate
};

struct known_planner
{
    leader_record leader;
    epoch number = 0; // 0: none
};

class cell_directory
{
public:
    // @param name of the entry; entries with different names begin with different agents
    explicit cell_directory(std::string_view name);

    void agentAsked(link_id link, const find_planner_message &request, time_point now);
    void linkClosed(link_id link);

    // The leader key as the store, or another entry, reports it. An epoch that is not higher than
    // the known one changes nothing.
    // Returns whether the planner changed.
    bool leaderSeen(const std::string &cell, const leader_record &leader, epoch number);

    // The store has no leader key for the cell. Nominates an agent.
    void leaderAbsent(const std::string &cell, time_point now);

    // Agents on these workers are nominated only if there is no other.
    void setUnwanted(std::set<worker_id> workers) { m_unwanted = std::move(workers); }

    // Cells that the connected agents belong to.
    std::set<std::string> cellsOfAgents() const;

    known_planner plannerOf(const std::string &cell) const;
    std::size_t agentCount() const { return m_agents.size(); }
    std::vector<directory_action> takeActions();

private:
    struct agent_entry
    {
        find_planner_message request;
    };
    struct cell_state
    {
        known_planner planner;
        bool absent = false;
        std::optional<time_point> nominatedAt;
        std::set<worker_id> tried; // since the cell lost its planner
    };

    void tell(const std::string &cell);
    void nominate(const std::string &cell, cell_state &state, time_point now);
    std::optional<link_id> nextCandidate(const std::string &cell, const cell_state &state) const;

    std::size_t m_offset = 0;
    std::map<link_id, agent_entry> m_agents;
    std::map<std::string, cell_state> m_cells;
    std::set<worker_id> m_unwanted;
    std::vector<directory_action> m_actions;
};

} // namespace goldcrest
