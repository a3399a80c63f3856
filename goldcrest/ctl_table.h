#pragma once

// Command table of goldcrestctl, from which help, completion and docs/goldcrestctl.md come.
// Internal to ctl_commands.cc.

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
};

struct ctl_command
{
    ctl_action action;
    std::string_view words; // "catalogue get"
    std::string_view argument; // name of the one positional argument; empty: none
    std::array<std::string_view, 2> options; // of this command, without the global ones
    std::string_view help;
    std::string_view example; // arguments after the program's name
};

struct ctl_option
{
    std::string_view name;
    std::string_view value; // shown in help; empty: a flag
    bool global;
    std::string_view help;
};

gsl::span<const ctl_command> ctlCommands();
gsl::span<const ctl_option> ctlOptions();

// Returns whether a command takes an option.
bool takesOption(const ctl_command &command, const ctl_option &option);

// Returns the command that the words start with, or nullptr. The longest match wins.
const ctl_command *findCommand(const std::vector<std::string> &words);

std::string overviewHelp();
std::string commandHelp(const ctl_command &command);
std::string bashCompletion();

// Returns what to do about an error; empty if its reason says it all.
std::string_view adviceFor(code number);

} // namespace goldcrest
