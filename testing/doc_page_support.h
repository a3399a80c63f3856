#pragma once

// Comparison of a page under docs/ with the table in code that it is generated from.

#include <string>

namespace goldcrest {

// Returns an empty string if the page equals `expected`, or the first line that differs. With
// GOLDCREST_WRITE_DOCS set in the environment it writes the page instead.
std::string compareDocPage(const std::string &path, const std::string &expected);

} // namespace goldcrest
