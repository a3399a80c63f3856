#pragma once

// Compares a page under docs/ with the table in the code from which it is generated.

#include <string>

namespace goldcrest {

// Returns an empty string if the page equals `expected`, or a description of the first difference.
// With GOLDCREST_WRITE_DOCS set in the environment it writes the page instead.
std::string compareDocPage(const std::string &path, const std::string &expected);

} // namespace goldcrest
