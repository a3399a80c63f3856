#pragma once

// Formats rows of text as aligned columns for a terminal.
//
//   std::vector<table_row> rows{{"CELL", "STATE"}, {"region", "in force"}};
//   std::cout << formatTable(rows);

#include <gsl/span>

#include <string>
#include <vector>

namespace goldcrest {

using table_row = std::vector<std::string>;

// Returns one line for each row, with two spaces between columns. Cells are UTF-8; each code point
// is counted as one character wide.
std::string formatTable(gsl::span<const table_row> rows);

} // namespace goldcrest
