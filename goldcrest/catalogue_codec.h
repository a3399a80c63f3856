#pragma once

// JSON form of the catalogue and of the configuration. Input may contain comments; unknown and
// duplicate fields are errors.
//
//   result<catalogue> parsed = parseCatalogue(text);
//   if (const failure *error = failureOf(parsed))
//       return respond(*error);
//   for (const failure &error : validateCatalogue(valueOf(parsed)))
//       std::cerr << error.field << ": " << error.reason << '\n';
//   std::cout << formatCatalogue(valueOf(parsed));

#include "goldcrest/catalogue.h"
#include "goldcrest/outcome.h"

#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Parses a catalogue as operators write it. References between entries are not checked; see
// validateCatalogue.
// Errors: MalformedJson, UnknownField, MissingField, InvalidValue with the path of the field.
result<catalogue> parseCatalogue(std::string_view text);

// Returns the catalogue as indented JSON.
std::string formatCatalogue(const catalogue &entries);

// Parses the document that is stored under configurationKey. Errors: as parseCatalogue.
result<configuration> parseConfiguration(std::string_view text);

// Returns the configuration as compact JSON.
std::string formatConfiguration(const configuration &config);

// Returns all errors of a catalogue, such as references to unknown classes, shapes or cells, limits
// out of range, quotas below the guarantees and failure domains in two cells. Empty if the
// catalogue is valid.
std::vector<failure> validateCatalogue(const catalogue &entries);

} // namespace goldcrest
