#pragma once

// Checks whether a catalogue's guarantees for one cell fit on a set of workers, without a running
// decision engine.
//
//   guarantee_report report = checkGuarantees(candidate, "east", workers, domainsOut);
//   if (!report.fits())
//       return makeFailure(code::GuaranteesDoNotFit, report.text());

#include "goldcrest/catalogue.h"

#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Guarantees of one team for one shape of which not all fit.
struct unmet_guarantee
{
    team_id team;
    std::string shape;
    std::int32_t wanted = 0; // gangs
    std::int32_t placed = 0; // gangs
};

struct guarantee_report
{
    resources guaranteed; // sum over all teams
    resources capacity; // sum over the workers in service
    std::vector<unmet_guarantee> unmet;

    bool fits() const { return unmet.empty(); }

    // Returns the totals and the unmet guarantees as one line for an operator.
    std::string text() const;
};

// Assigns all guarantees of a cell to workers without jobs, in the order that a running engine
// uses, and reports those that do not fit.
// @param cell guarantees of other cells are ignored
// @param workers the known workers of the cell
// @param domainsOut failure domains that are out of service
guarantee_report checkGuarantees(const catalogue &entries, std::string_view cell,
                                 const std::vector<worker_info> &workers,
                                 const std::set<std::string> &domainsOut = {});

} // namespace goldcrest
