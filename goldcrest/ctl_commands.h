#pragma once

// The commands of goldcrestctl, over the entries' HTTP API. docs/goldcrestctl.md lists them.
//
//   ctl_environment environment{client, runUntil, now, unixTimeMs, std::cout, std::cerr,
//   variables}; return runCtl({"failure-domain", "out", "Matane", "--wait"}, environment);

#include "goldcrest/entry_client.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace goldcrest {

// Exit codes of goldcrestctl. Scripts depend on the numbers.
enum class ctl_exit {
    Done = 0,
    Usage = 1, // the command line is wrong; nothing was sent
    Refused = 2, // the system refused the request; nothing was changed
    Conflict = 3, // the configuration was changed by someone else; nothing was changed
    JobFailed = 4, // with --wait: the job ran and failed
    JobNotRun = 5, // the job was not run and will not be
    Unknown = 6, // the change may have been stored, or the job may have run
    Unreachable = 7, // no entry answered
    Pending = 8, // --wait ended before the change was in force or the job had its outcome
};

struct ctl_environment
{
    call_environment calls;
    std::function<std::int64_t()> unixTimeMs;
    std::ostream &out;
    std::ostream &err;
    // Returns an environment variable, or an empty string.
    std::function<std::string(const std::string &name)> variable;
};

// Runs one command.
// @param arguments without the program's name
ctl_exit runCtl(const std::vector<std::string> &arguments, ctl_environment &environment);

// The page with all commands, options and exit codes as docs/goldcrestctl.md has it.
// GOLDCREST_WRITE_DOCS=1 build/ctl_commands_test writes it.
std::string ctlMarkdown();

} // namespace goldcrest
