#pragma once

// Assigns every guarantee to concrete workers and decides what may run where without endangering
// it.
//
// On each worker, a team has a guaranteed amount and a protected use (jobs that no reclaim may
// stop). The ledger keeps   sum over teams of max(guaranteed, protected use) <= capacity   in every
// dimension. Then every team can take its whole guarantee at its assigned place by stopping only
// borrowers, whatever the others do.
//
//   guarantee_ledger ledger(cell);
//   ledger.setUnits(std::move(units));
//   ledger.plan();
//   load room = ledger.headroom(worker, team);      // for protected use
//   ledger.charge(worker, team, use, pinned);

#include "goldcrest/topology.h"

#include <string>
#include <vector>

namespace goldcrest {

using team_index = std::int32_t;

// One guaranteed gang.
struct guarantee_unit
{
    team_index team = 0;
    std::string label; // "team/shape"
    std::int32_t tasks = 1;
    load perTask;
    adjacency closeness = adjacency::None;
    std::vector<placed_part> parts; // empty if it does not fit on the workers in service
};

class guarantee_ledger
{
public:
    // What a team has on a worker.
    struct share
    {
        team_index team = 0;
        load guaranteed;
        load protectedUse;
        load pinnedUse; // the part of protectedUse that cannot be stopped
    };

    explicit guarantee_ledger(const topology &cell)
        : m_cell(cell)
    { }

    // Replaces all guarantees. Units that were known keep their place. The rest is planned in this
    // order: stricter adjacency, more accelerators, label.
    void setUnits(std::vector<guarantee_unit> units);

    // Takes the units off a worker that left service; plan() assigns them again.
    void unassign(worker_index worker);

    // Assigns the units that have no place. If one does not fit beside the others, all are
    // assigned anew, and the result is kept if more of them fit.
    // @return workers where guarantees were added
    std::vector<worker_index> plan();

    void charge(worker_index worker, team_index team, const load &use, bool pinned);
    void release(worker_index worker, team_index team, const load &use, bool pinned);

    // Returns what the team may add as protected use. Ignores what borrowers use.
    load headroom(worker_index worker, team_index team) const;

    // Returns the unused part of the team's guarantee on the worker.
    load unusedGuarantee(worker_index worker, team_index team) const;

    // Returns whether protected use and guarantees exceed the worker's capacity, which plan() may
    // cause where protected use can be turned into borrowed use.
    bool isOvercommitted(worker_index worker) const;

    // Returns whether the team uses more than its guarantee on the worker by work that can be
    // stopped.
    bool hasStoppableExcess(worker_index worker, team_index team) const;

    const std::vector<guarantee_unit> &units() const { return m_units; }
    std::size_t unmetCount() const { return m_unmet; }
    const std::vector<share> &sharesOn(worker_index worker) const;

    // Workers where the team has a guarantee, in index order, each once.
    const std::vector<worker_index> &workersOf(team_index team) const;

    // Units of the team, as positions in units().
    const std::vector<std::size_t> &unitsOf(team_index team) const;

    // Returns the workers whose guarantees changed since the last call.
    std::vector<worker_index> takeTouched() { return std::exchange(m_touched, {}); }

    // Returns whether a unit without a place would fit now.
    bool couldPlace(const guarantee_unit &unit) const;

private:
    struct worker_shares
    {
        std::vector<share> teams;
        load committed; // sum of max(guaranteed, protectedUse)
    };

    worker_shares &sharesFor(worker_index worker);
    share &shareFor(worker_index worker, team_index team);
    load roomForGuarantee(worker_index worker, team_index team) const;
    std::vector<placed_part> findPlace(const guarantee_unit &unit) const;
    void assign(guarantee_unit &unit, std::vector<placed_part> parts);
    void clear(guarantee_unit &unit);
    void planMissing();
    load totalRoom() const; // of the workers in service, outside guarantees
    bool couldFitAnew() const;
    void changeGuaranteed(const guarantee_unit &unit, int sign);
    void indexTeams();

    const topology &m_cell;
    std::vector<guarantee_unit> m_units;
    std::vector<worker_shares> m_shares;
    std::vector<std::vector<worker_index>> m_workersOf;
    std::vector<std::vector<std::size_t>> m_unitsOf;
    std::vector<worker_index> m_touched;
    std::size_t m_unmet = 0;
};

} // namespace goldcrest
