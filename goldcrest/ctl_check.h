#pragma once

// The command `goldcrestctl check`: checks a file with a configuration, and shows how it differs
// from another one.
//
//   ctl_check_request request;
//   request.text = readFile("next.json");
//   const ctl_exit status = runCheck(request, environment);

#include "goldcrest/ctl_commands.h"

#include <optional>
#include <string>

namespace goldcrest {

struct ctl_check_request
{
    std::string text; // of the configuration
    std::optional<std::string> against; // text of a configuration to compare with
    std::string store; // host:port of the store with the one to compare with; empty: none
    std::string workers; // number of workers and accelerators of each, such as "61:8", or empty
    std::string shortestRuns; // by queue in milliseconds, such as "urgent:2500,batch:6100"
    bool wantsJson = false;
};

// Prints one line for each finding: number, severity, place and sentence.
// @return Usage if an option is malformed or the configuration has an error, Unreachable if the
// store doesn't answer, Refused if it has no configuration, else Done
ctl_exit runCheck(const ctl_check_request &request, ctl_environment &environment);

// Returns the list of the numbers of findings for docs/goldcrestctl.md.
std::string findingsMarkdown();

} // namespace goldcrest
