#pragma once

// Assigns every guarantee to specific workers and computes how much each team may use on a worker
// without violating the guarantees of the others.
//
// On each worker, a team has a guaranteed amount and a protected use (jobs that no reclaim may
// stop). The ledger keeps   sum over teams of max(guaranteed, protected use) <= capacity   in every
// dimension. Then every team can use its whole guarantee on its assigned workers by stopping only
// borrowers, whatever the other teams run.
//
//   guarantee_ledger ledger(cell);
//   ledger.setUnits(std::move(units));
//   ledger.plan();
//   load available = ledger.headroom(worker, team); // for protected use
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
    // Guarantee and protected use of one team on one worker.
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

    // Replaces all guarantees. Unchanged units keep their place. plan() assigns the rest in this
    // order: stricter adjacency, more accelerators, label.
    void setUnits(std::vector<guarantee_unit> units);

    // Clears the place of all units that use a worker that left service; plan() assigns them again.
    void unassign(worker_index worker);

    // Assigns the units that have no place. If one does not fit beside the others, all units are
    // assigned from scratch, and the result is kept if more of them fit.
    // @return workers where guarantees were added
    std::vector<worker_index> plan();

    // Adds protected use of a team on a worker, and removes it again.
    // @param pinned whether the use cannot be stopped
    void charge(worker_index worker, team_index team, const load &use, bool pinned);
    void release(worker_index worker, team_index team, const load &use, bool pinned);

    // Returns the protected use that the team may add. Ignores what borrowers use; negative amounts
    // are possible while the worker is overcommitted.
    load headroom(worker_index worker, team_index team) const;

    // Returns the unused part of the team's guarantee on the worker.
    load unusedGuarantee(worker_index worker, team_index team) const;

    // Returns whether protected use and guarantees exceed the worker's capacity. plan() may cause
    // this where protected use can be converted to borrowed use.
    bool isOvercommitted(worker_index worker) const;

    // Returns whether the team's use on the worker exceeds its guarantee by work that can be
    // stopped.
    bool hasStoppableExcess(worker_index worker, team_index team) const;

    const std::vector<guarantee_unit> &units() const { return m_units; }

    // Returns the number of units without a place.
    std::size_t unmetCount() const { return m_unmet; }
    const std::vector<share> &sharesOn(worker_index worker) const;

    // Returns the workers where the team has a guarantee, in index order, each once.
    const std::vector<worker_index> &workersOf(team_index team) const;

    // Returns the units of the team, as positions in units().
    const std::vector<std::size_t> &unitsOf(team_index team) const;

    // Returns the workers whose guarantees changed since the last call.
    std::vector<worker_index> takeChangedWorkers() { return std::exchange(m_changedWorkers, {}); }

    // Returns whether a unit without a place would fit now, beside the assigned guarantees and the
    // use that cannot be stopped.
    bool couldPlace(const guarantee_unit &unit) const;

private:
    struct worker_shares
    {
        std::vector<share> teams;
        load committed; // sum of max(guaranteed, protectedUse)
    };

    worker_shares &sharesFor(worker_index worker);
    share &shareFor(worker_index worker, team_index team);
    load capacityForGuarantee(worker_index worker, team_index team) const;
    std::vector<placed_part> findPlace(const guarantee_unit &unit) const;
    void assign(guarantee_unit &unit, std::vector<placed_part> parts);
    void clear(guarantee_unit &unit);
    void planMissing();
    load unassignedCapacity() const; // capacity of the workers in service that is not guaranteed
    bool couldFitAfterReplan() const;
    void changeGuaranteed(const guarantee_unit &unit, int sign);
    void indexTeams();

    const topology &m_cell;
    std::vector<guarantee_unit> m_units;
    std::vector<worker_shares> m_shares;
    std::vector<std::vector<worker_index>> m_workersOf;
    std::vector<std::vector<std::size_t>> m_unitsOf;
    std::vector<worker_index> m_changedWorkers;
    std::size_t m_unmet = 0;
};

} // namespace goldcrest
