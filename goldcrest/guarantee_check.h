#pragma once

// Checks whether the guarantees of a catalogue fit together on the workers of their cells.
//
//   for (const failure &error : checkGuarantees(entries, core.knownWorkers()))
//       refuse(error);

#include "goldcrest/catalogue.h"
#include "goldcrest/job_request.h"
#include "goldcrest/outcome.h"

#include <vector>

namespace goldcrest {

// Returns one failure with the numbers for each cell whose guarantees do not fit. Cells whose
// workers are not known are not checked. Each guarantee is placed on free workers, the largest
// tasks first and on the workers with the least room, as the planner's ledger does.
std::vector<failure> checkGuarantees(const catalogue &entries, const cell_workers &workers);

} // namespace goldcrest
