#pragma once

// Aligned columns of text for a terminal.
//
//   std::cout << formatTable(rows);    // the first row holds the headings

#include <gsl/span>

#include <string>
#include <vector>

namespace goldcrest {

using table_row = std::vector<std::string>;

// Returns one line for each row, with two spaces between columns. Cells are UTF-8; a code point
// takes one column.
std::string formatTable(gsl::span<const table_row> rows);

} // namespace goldcrest
