#pragma once

// Differences of two configurations, one readable line each.
//
//   for (const std::string &line : diffConfigurations(before, after))
//       std::cout << line << '\n';     // "teams.harvest.quota.cores: 8000 -> 16000"

#include "goldcrest/catalogue.h"

#include <string>
#include <vector>

namespace goldcrest {

// Returns the differences in order of their path; entries only in `after` start with "+", entries
// only in `before` with "-".
std::vector<std::string> diffCatalogues(const catalogue &before, const catalogue &after);

// As diffCatalogues, with failure domains out of service and drained workers. The revision and the
// writer are left out.
std::vector<std::string> diffConfigurations(const configuration &before,
                                            const configuration &after);

} // namespace goldcrest
