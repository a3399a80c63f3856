#pragma once

// Interface to a deployment's format and store of the configuration, for goldcrestctl.
//
//   configuration_document document = reader.parse(text);
//   result<std::string> inForce = reader.fetch("10.0.0.7:8524");

#include "goldcrest/configuration_check.h"
#include "goldcrest/outcome.h"

#include <string>
#include <string_view>

namespace goldcrest {

class configuration_reader
{
public:
    virtual ~configuration_reader() = default;

    // Reads as much as possible of a configuration. What the programs refuse or ignore is in the
    // findings.
    virtual configuration_document parse(std::string_view text) const = 0;

    // Returns the text of the configuration in force.
    // @param address host:port of the store
    // @return fails with the code of the store, or with code::UnknownRequest if there is none
    virtual result<std::string> fetch(const std::string &address) = 0;
};

} // namespace goldcrest
