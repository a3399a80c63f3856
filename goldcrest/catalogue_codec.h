#pragma once

// JSON form of the configuration. Comments are allowed on input. Unknown fields are errors.

#include "goldcrest/catalogue.h"
#include "goldcrest/outcome.h"

#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Parses the catalogue part, as operators write it.
// Errors: MalformedJson, UnknownField, MissingField, InvalidValue with the path of the field.
result<catalogue> parseCatalogue(std::string_view text);
std::string formatCatalogue(const catalogue &entries);

// Parses the whole document as stored under configurationKey.
result<configuration> parseConfiguration(std::string_view text);
std::string formatConfiguration(const configuration &config);

// Returns every fault of a catalogue: references to unknown classes, shapes, cells; limits out of
// range; failure domains in two cells. Empty if there is none.
std::vector<failure> validateCatalogue(const catalogue &entries);

} // namespace goldcrest
