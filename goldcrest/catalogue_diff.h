#pragma once

// Lists the differences between two configurations or catalogues, one line of text each.
//
//   for (const std::string &line : diffConfigurations(before, after))
//       std::cout << line << '\n';     // "catalogue.teams.harvest.quota.cores: 8000 -> 16000"

#include "goldcrest/catalogue.h"

#include <string>
#include <vector>

namespace goldcrest {

// Returns the differences in the order of their paths. A line starts with "+" if the value is only
// in `after`, and with "-" if it is only in `before`.
std::vector<std::string> diffCatalogues(const catalogue &before, const catalogue &after);

// As diffCatalogues, and also compares the failure domains out of service and the drained workers.
// The revision and the writer are not compared.
std::vector<std::string> diffConfigurations(const configuration &before,
                                            const configuration &after);

} // namespace goldcrest
