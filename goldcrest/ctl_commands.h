#pragma once

// Command line of goldcrestctl, the operator's tool, which calls the HTTP API of the entries.
// docs/goldcrestctl.md lists the commands.
//
//   ctl_environment environment{calls, unixTimeMs, std::cout, std::cerr, variable};
//   const ctl_exit status = runCtl({"failure-domain", "out", "Matane", "--wait"}, environment);
//   return static_cast<int>(status);

#include "goldcrest/entry_client.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace goldcrest {

class configuration_reader;

// Exit codes of goldcrestctl. Scripts depend on the numbers, so they must not change.
enum class ctl_exit {
    Done = 0,
    Usage = 1, // the command line is wrong; nothing was sent
    Refused = 2, // the system refused the request; nothing was changed
    Conflict = 3, // the configuration was changed by someone else; nothing was changed
    JobFailed = 4, // with --wait: the job ran and failed
    JobNotRun = 5, // the job was not run and will not be
    Unknown = 6, // the change may have been stored, or the job may have run
    Unreachable = 7, // no entry answered, or the store did not
    Pending = 8, // --wait ended before the change was in force or the job had its outcome
};

// What a command uses of its process; tests replace it.
struct ctl_environment
{
    call_environment calls;
    std::function<std::int64_t()> unixTimeMs;
    std::ostream &out;
    std::ostream &err;
    // Returns the value of an environment variable, or an empty string if it is not set.
    std::function<std::string(const std::string &name)> variable;
    // Reads configurations of graph jobs. Only the command `check` needs it.
    configuration_reader *configurations = nullptr;
};

// Parses and runs one command. Prints its result, or the error and advice on it.
// @param arguments command line without the program's name
ctl_exit runCtl(const std::vector<std::string> &arguments, ctl_environment &environment);

// Returns the content of docs/goldcrestctl.md: all commands, options and exit codes.
// GOLDCREST_WRITE_DOCS=1 build/ctl_commands_test writes the page.
std::string ctlMarkdown();

} // namespace goldcrest
