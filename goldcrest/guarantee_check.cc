#include "goldcrest/guarantee_check.h"

#include "goldcrest/guarantee_ledger.h"

namespace goldcrest {

std::string guarantee_report::text() const
{
    std::string numbers = "guarantees take " + std::to_string(guaranteed.accelerators) + " of "
        + std::to_string(capacity.accelerators) + " accelerators, "
        + std::to_string(guaranteed.cores) + " of " + std::to_string(capacity.cores)
        + " millicores, " + std::to_string(guaranteed.memory) + " of "
        + std::to_string(capacity.memory) + " MiB";
    if (fits())
        return numbers + " and fit";
    numbers += " and do not fit:";
    for (const unmet_guarantee &missing : unmet)
        numbers += " " + missing.team + "/" + missing.shape + " " + std::to_string(missing.placed)
            + " of " + std::to_string(missing.wanted) + ";";
    numbers.pop_back();
    return numbers;
}

guarantee_report checkGuarantees(const catalogue &entries, std::string_view cell,
                                 const std::vector<worker_info> &workers,
                                 const std::set<std::string> &domainsOut)
{
    guarantee_report report;
    topology empty;
    for (const worker_info &info : workers) {
        if (domainsOut.count(info.failureDomain) > 0)
            continue;
        empty.setBlocked(empty.add(info), block_reason::Down, false);
        report.capacity += info.capacity;
    }

    std::vector<guarantee_unit> units;
    std::vector<unmet_guarantee> wanted;
    for (const auto &[name, team] : entries.teams) {
        for (const guarantee_entry &guarantee : team.guarantees) {
            const auto shape = entries.shapes.find(guarantee.shape);
            if (shape == entries.shapes.end() || guarantee.cell != cell || guarantee.count <= 0)
                continue;
            guarantee_unit unit;
            unit.team = team_index(wanted.size());
            unit.label = name + "/" + guarantee.shape;
            unit.tasks = shape->second.tasks;
            unit.perTask = load::ofTask(shape->second.perTask);
            unit.closeness = shape->second.closeness;
            units.insert(units.end(), std::size_t(guarantee.count), unit);
            wanted.push_back({name, guarantee.shape, guarantee.count, 0});
            report.guaranteed
                += shape->second.perTask * (std::int64_t(unit.tasks) * guarantee.count);
        }
    }

    guarantee_ledger ledger(empty);
    ledger.setUnits(std::move(units));
    ledger.plan();
    for (const guarantee_unit &unit : ledger.units())
        wanted[std::size_t(unit.team)].placed += unit.parts.empty() ? 0 : 1;
    for (const unmet_guarantee &entry : wanted) {
        if (entry.placed < entry.wanted)
            report.unmet.push_back(entry);
    }
    return report;
}

} // namespace goldcrest
