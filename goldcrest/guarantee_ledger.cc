#include "goldcrest/guarantee_ledger.h"

#include <tuple>

namespace goldcrest {

namespace {

struct candidate
{
    worker_index worker = 0;
    std::int64_t fits = 0;
};

// Assigns tasks to the candidates in order. Returns nothing if they do not take all tasks.
std::vector<placed_part> takeInOrder(const std::vector<candidate> &from, std::int32_t tasks)
{
    std::vector<placed_part> parts;
    for (const candidate &c : from) {
        if (tasks == 0)
            break;
        const std::int32_t taken = std::int32_t(std::min<std::int64_t>(c.fits, tasks));
        if (taken > 0)
            parts.push_back({c.worker, taken});
        tasks -= taken;
    }
    return tasks == 0 ? parts : std::vector<placed_part>{};
}

// Selects the group with the least capacity that still fits, so that larger groups stay free for
// larger units.
class tightest_group
{
public:
    explicit tightest_group(std::int32_t tasks)
        : m_tasks(tasks)
    { }
    void offer(const std::vector<candidate> &group)
    {
        std::int64_t total = 0;
        for (const candidate &c : group)
            total += c.fits;
        if (total < m_tasks || (m_bestTotal >= 0 && total >= m_bestTotal))
            return;
        m_bestTotal = total;
        m_best = group;
    }
    std::vector<placed_part> take()
    {
        std::stable_sort(m_best.begin(), m_best.end(),
                         [](const candidate &a, const candidate &b) { return a.fits > b.fits; });
        return takeInOrder(m_best, m_tasks);
    }

private:
    std::int32_t m_tasks;
    std::int64_t m_bestTotal = -1;
    std::vector<candidate> m_best;
};

auto planOrder(const guarantee_unit &unit)
{
    return std::make_tuple(-int(unit.closeness), -unit.perTask.accelerators() * unit.tasks,
                           std::string_view(unit.label));
}

} // namespace

guarantee_ledger::worker_shares &guarantee_ledger::sharesFor(worker_index worker)
{
    if (m_shares.size() <= std::size_t(worker))
        m_shares.resize(std::size_t(worker) + 1);
    return m_shares[std::size_t(worker)];
}

guarantee_ledger::share &guarantee_ledger::shareFor(worker_index worker, team_index team)
{
    worker_shares &shares = sharesFor(worker);
    for (share &s : shares.teams) {
        if (s.team == team)
            return s;
    }
    shares.teams.push_back({team, {}, {}, {}});
    return shares.teams.back();
}

const std::vector<guarantee_ledger::share> &guarantee_ledger::sharesOn(worker_index worker) const
{
    static const std::vector<share> empty;
    return std::size_t(worker) < m_shares.size() ? m_shares[std::size_t(worker)].teams : empty;
}

const std::vector<worker_index> &guarantee_ledger::workersOf(team_index team) const
{
    static const std::vector<worker_index> empty;
    return std::size_t(team) < m_workersOf.size() ? m_workersOf[std::size_t(team)] : empty;
}

const std::vector<std::size_t> &guarantee_ledger::unitsOf(team_index team) const
{
    static const std::vector<std::size_t> empty;
    return std::size_t(team) < m_unitsOf.size() ? m_unitsOf[std::size_t(team)] : empty;
}

void guarantee_ledger::charge(worker_index worker, team_index team, const load &use, bool pinned)
{
    share &s = shareFor(worker, team);
    worker_shares &shares = sharesFor(worker);
    shares.committed -= maxOf(s.guaranteed, s.protectedUse);
    s.protectedUse += use;
    if (pinned)
        s.pinnedUse += use;
    shares.committed += maxOf(s.guaranteed, s.protectedUse);
}

void guarantee_ledger::release(worker_index worker, team_index team, const load &use, bool pinned)
{
    share &s = shareFor(worker, team);
    worker_shares &shares = sharesFor(worker);
    shares.committed -= maxOf(s.guaranteed, s.protectedUse);
    s.protectedUse -= use;
    if (pinned)
        s.pinnedUse -= use;
    shares.committed += maxOf(s.guaranteed, s.protectedUse);
    if (s.protectedUse == load{} && s.guaranteed == load{}) {
        std::swap(s, shares.teams.back());
        shares.teams.pop_back();
    }
}

load guarantee_ledger::headroom(worker_index worker, team_index team) const
{
    const load capacity = m_cell.at(worker).capacity;
    if (std::size_t(worker) >= m_shares.size())
        return capacity;
    const worker_shares &shares = m_shares[std::size_t(worker)];
    load available = capacity - shares.committed;
    for (const share &s : shares.teams) {
        if (s.team == team)
            available += maxOf(s.guaranteed, s.protectedUse) - s.protectedUse;
    }
    return available;
}

load guarantee_ledger::unusedGuarantee(worker_index worker, team_index team) const
{
    for (const share &s : sharesOn(worker)) {
        if (s.team == team)
            return maxOf(s.guaranteed, s.protectedUse) - s.protectedUse;
    }
    return {};
}

bool guarantee_ledger::isOvercommitted(worker_index worker) const
{
    return std::size_t(worker) < m_shares.size()
        && !m_cell.at(worker).capacity.covers(m_shares[std::size_t(worker)].committed);
}

bool guarantee_ledger::hasStoppableExcess(worker_index worker, team_index team) const
{
    for (const share &s : sharesOn(worker)) {
        if (s.team == team)
            return !maxOf(s.guaranteed, s.pinnedUse).covers(s.protectedUse);
    }
    return false;
}

load guarantee_ledger::capacityForGuarantee(worker_index worker, team_index team) const
{
    load available = m_cell.at(worker).capacity;
    for (const share &s : sharesOn(worker))
        available -= s.team == team ? s.guaranteed : maxOf(s.guaranteed, s.pinnedUse);
    return available;
}

std::vector<placed_part> guarantee_ledger::findPlace(const guarantee_unit &unit) const
{
    tightest_group best(unit.tasks);
    std::vector<candidate> cellGroup;
    for (const domain_state &domain : m_cell.domains()) {
        std::vector<candidate> domainGroup;
        for (const rack_index rack : domain.racks) {
            std::vector<candidate> rackGroup;
            for (const worker_index w : m_cell.racks()[std::size_t(rack)].workers) {
                if (!m_cell.at(w).inService())
                    continue;
                const std::int64_t fits
                    = fitCount(capacityForGuarantee(w, unit.team), unit.perTask);
                if (fits == 0)
                    continue;
                rackGroup.push_back({w, fits});
                if (unit.closeness == adjacency::Worker)
                    best.offer({rackGroup.back()});
            }
            if (unit.closeness == adjacency::Rack)
                best.offer(rackGroup);
            domainGroup.insert(domainGroup.end(), rackGroup.begin(), rackGroup.end());
        }
        if (unit.closeness == adjacency::FailureDomain)
            best.offer(domainGroup);
        cellGroup.insert(cellGroup.end(), domainGroup.begin(), domainGroup.end());
    }
    if (unit.closeness == adjacency::None)
        best.offer(cellGroup);
    return best.take();
}

bool guarantee_ledger::couldPlace(const guarantee_unit &unit) const
{
    return !findPlace(unit).empty();
}

void guarantee_ledger::changeGuaranteed(const guarantee_unit &unit, int sign)
{
    for (const placed_part &part : unit.parts) {
        share &s = shareFor(part.worker, unit.team);
        worker_shares &shares = sharesFor(part.worker);
        shares.committed -= maxOf(s.guaranteed, s.protectedUse);
        s.guaranteed += unit.perTask * (sign * part.tasks);
        shares.committed += maxOf(s.guaranteed, s.protectedUse);
        m_changedWorkers.push_back(part.worker);
    }
}

void guarantee_ledger::assign(guarantee_unit &unit, std::vector<placed_part> parts)
{
    unit.parts = std::move(parts);
    changeGuaranteed(unit, 1);
}

void guarantee_ledger::clear(guarantee_unit &unit)
{
    changeGuaranteed(unit, -1);
    unit.parts.clear();
}

void guarantee_ledger::setUnits(std::vector<guarantee_unit> units)
{
    std::sort(units.begin(), units.end(), [](const guarantee_unit &a, const guarantee_unit &b) {
        return planOrder(a) < planOrder(b);
    });
    std::vector<guarantee_unit> old = std::move(m_units);
    m_units = std::move(units);
    for (guarantee_unit &unit : m_units) {
        for (guarantee_unit &known : old) {
            if (known.parts.empty() || known.label != unit.label || known.tasks != unit.tasks
                || known.perTask != unit.perTask || known.closeness != unit.closeness)
                continue;
            unit.parts = std::move(known.parts);
            known.parts.clear();
            break;
        }
    }
    for (guarantee_unit &unit : old)
        changeGuaranteed(unit, -1);
    indexTeams();
}

void guarantee_ledger::unassign(worker_index worker)
{
    for (guarantee_unit &unit : m_units) {
        const bool uses = std::any_of(unit.parts.begin(), unit.parts.end(),
                                      [&](const placed_part &p) { return p.worker == worker; });
        if (uses)
            clear(unit);
    }
    indexTeams();
}

void guarantee_ledger::planMissing()
{
    // Skips the search where the total capacity proves that a unit does not fit, as happens while
    // workers register one by one.
    load available = unassignedCapacity();
    for (guarantee_unit &unit : m_units) {
        if (!unit.parts.empty() || !available.covers(unit.perTask * unit.tasks))
            continue;
        assign(unit, findPlace(unit));
        if (!unit.parts.empty())
            available -= unit.perTask * unit.tasks;
    }
    indexTeams();
}

load guarantee_ledger::unassignedCapacity() const
{
    load available;
    for (const worker_state &worker : m_cell.workers()) {
        if (worker.inService())
            available += worker.capacity;
    }
    for (const guarantee_unit &unit : m_units) {
        if (!unit.parts.empty())
            available -= unit.perTask * unit.tasks;
    }
    return available;
}

bool guarantee_ledger::couldFitAfterReplan() const
{
    const load available = unassignedCapacity();
    return std::any_of(m_units.begin(), m_units.end(), [&](const guarantee_unit &unit) {
        return unit.parts.empty() && available.covers(unit.perTask * unit.tasks);
    });
}

std::vector<worker_index> guarantee_ledger::plan()
{
    const std::vector<guarantee_unit> before = m_units;
    planMissing();
    if (m_unmet > 0 && couldFitAfterReplan()) {
        const std::vector<guarantee_unit> incremental = m_units;
        const std::size_t unmet = m_unmet;
        for (guarantee_unit &unit : m_units)
            clear(unit);
        planMissing();
        if (m_unmet >= unmet) {
            for (guarantee_unit &unit : m_units)
                clear(unit);
            for (std::size_t i = 0; i < m_units.size(); ++i)
                assign(m_units[i], incremental[i].parts);
            indexTeams();
        }
    }
    std::vector<worker_index> changed;
    for (std::size_t i = 0; i < m_units.size(); ++i) {
        const auto same = [](const placed_part &a, const placed_part &b) {
            return a.worker == b.worker && a.tasks == b.tasks;
        };
        const std::vector<placed_part> &now = m_units[i].parts;
        const std::vector<placed_part> &old = before[i].parts;
        if (std::equal(now.begin(), now.end(), old.begin(), old.end(), same))
            continue;
        for (const placed_part &part : now)
            changed.push_back(part.worker);
    }
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    return changed;
}

void guarantee_ledger::indexTeams()
{
    m_unmet = 0;
    for (std::vector<worker_index> &workers : m_workersOf)
        workers.clear();
    m_unitsOf.clear();
    for (std::size_t i = 0; i < m_units.size(); ++i) {
        const guarantee_unit &unit = m_units[i];
        if (m_workersOf.size() <= std::size_t(unit.team))
            m_workersOf.resize(std::size_t(unit.team) + 1);
        if (m_unitsOf.size() <= std::size_t(unit.team))
            m_unitsOf.resize(std::size_t(unit.team) + 1);
        m_unitsOf[std::size_t(unit.team)].push_back(i);
        if (unit.parts.empty())
            ++m_unmet;
        for (const placed_part &part : unit.parts)
            m_workersOf[std::size_t(unit.team)].push_back(part.worker);
    }
    for (std::vector<worker_index> &workers : m_workersOf) {
        std::sort(workers.begin(), workers.end());
        workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    }
}

} // namespace goldcrest
