#pragma once

// An entry's directory of the cells: the planner of each cell and the connected agents that asked
// for it. When a cell has no planner, the directory nominates an agent to become one. It uses no
// sockets and no clock; the caller passes the time and sends the resulting messages.
//
//   cell_directory directory("e1");
//   directory.plannerRequested(link, request, now);
//   directory.leaderAbsent("main", now);            // the store has no leader key
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

// Time that a nominated agent has to become planner before the next agent is nominated. An election
// takes two store calls; the interval leaves time for both when the store is slow.
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
    // @param name name of the entry; its hash selects the first agent to nominate, so that entries
    // tend to nominate different agents
    explicit cell_directory(std::string_view name);

    // An agent asked for the planner of its cell. Answers with planner_info, and nominates an agent
    // if the cell has no planner.
    void plannerRequested(link_id link, const find_planner_message &request, time_point now);
    void linkClosed(link_id link);

    // Updates the planner of a cell from the leader key that the store, or another entry, reported.
    // Ignores an epoch that is not higher than the known one, except that a record of the same
    // epoch adds the worker if that is still unknown.
    // Returns whether the planner changed.
    bool leaderReported(const std::string &cell, const leader_record &leader, epoch number);

    // The store has no leader key for the cell. Nominates an agent, at most once per
    // nominationInterval.
    void leaderAbsent(const std::string &cell, time_point now);

    // Agents on these workers are nominated only if no other agent is eligible.
    void setAvoidedWorkers(std::set<worker_id> workers) { m_avoided = std::move(workers); }

    // Returns the cells that the connected agents belong to.
    std::set<std::string> cellsOfAgents() const;

    // Returns the last known planner of the cell; its epoch is 0 if none is known.
    known_planner plannerOf(const std::string &cell) const;
    std::size_t agentCount() const { return m_agents.size(); }

    // Returns the messages to send since the last call, in order.
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
        std::set<worker_id> tried; // nominated since the cell lost its planner
    };

    void notifyAgents(const std::string &cell);
    void nominate(const std::string &cell, cell_state &state, time_point now);
    std::optional<link_id> nextCandidate(const std::string &cell, const cell_state &state) const;

    std::size_t m_offset = 0;
    std::map<link_id, agent_entry> m_agents;
    std::map<std::string, cell_state> m_cells;
    std::set<worker_id> m_avoided;
    std::vector<directory_action> m_actions;
};

} // namespace goldcrest
