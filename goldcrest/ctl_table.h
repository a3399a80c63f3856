#pragma once

// Commands and options of goldcrestctl. The help texts, the bash completion and
// docs/goldcrestctl.md are generated from this table, and ctl_commands.cc parses with it.
//
//   if (const ctl_command *command = findCommand({"catalogue", "get"}))
//       std::cout << commandHelp(*command);

#include "goldcrest/outcome.h"

#include <gsl/span>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

enum class ctl_action {
    CatalogueGet,
    CatalogueValidate,
    CatalogueDiff,
    CatalogueApply,
    DomainOut,
    DomainIn,
    WorkerList,
    WorkerDrain,
    WorkerUndrain,
    BackendList,
    JobList,
    JobShow,
    JobCancel,
    JobSubmit,
    Explain,
    Status,
    ReportBurn,
    Completion,
    Check,
};

struct ctl_command
{
    ctl_action action;
    std::string_view words; // as typed, such as "catalogue get"
    std::string_view argument; // name of the positional argument; empty if there is none
    std::array<std::string_view, 4> options; // of this command; global ones are not listed
    std::string_view help;
    std::string_view example; // command line without the program's name
};

struct ctl_option
{
    std::string_view name;
    std::string_view value; // placeholder of the value in the help; empty for a flag
    bool global; // taken by every command
    std::string_view help;
};

gsl::span<const ctl_command> ctlCommands();
gsl::span<const ctl_option> ctlOptions();

// Returns whether a command takes an option. Every command takes the global options.
bool takesOption(const ctl_command &command, const ctl_option &option);

// Returns the command that `words` starts with, or nullptr if there is none. A command of two words
// is preferred to one of one word.
const ctl_command *findCommand(const std::vector<std::string> &words);

// Returns the help on all commands, and on one command.
std::string overviewHelp();
std::string commandHelp(const ctl_command &command);

// Returns a completion script for bash.
std::string bashCompletion();

// Returns advice on how to resolve an error; empty if there is none beyond its reason.
std::string_view adviceFor(code number);

} // namespace goldcrest
