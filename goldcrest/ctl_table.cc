#include "goldcrest/ctl_table.h"

#include "goldcrest/ctl_check.h"
#include "goldcrest/ctl_commands.h"

#include <algorithm>
#include <sstream>

namespace goldcrest {

namespace {

// An exit code as the help describes it.
struct exit_row
{
    ctl_exit exit;
    std::string_view meaning;
};

constexpr exit_row exitTable[] = {
    {ctl_exit::Done, "Done."},
    {ctl_exit::Usage, "The command line or a file is wrong; nothing was sent."},
    {ctl_exit::Refused, "The system refused the request; nothing was changed."},
    {ctl_exit::Conflict,
     "The configuration was changed by someone else; nothing was changed. Compare and apply "
     "again."},
    {ctl_exit::JobFailed, "With --wait: the job ran and failed."},
    {ctl_exit::JobNotRun, "The job was not run and will not be."},
    {ctl_exit::Unknown,
     "The answer promises nothing: the change may have been stored, or the job may have run."},
    {ctl_exit::Unreachable, "No entry answered, or with --store, the store did not."},
    {ctl_exit::Pending,
     "--wait ended before the change was in force everywhere, or before the job had its outcome."},
};

constexpr ctl_command commandTable[] = {
    {ctl_action::CatalogueGet,
     "catalogue get",
     "",
     {"file"},
     "Prints the catalogue in force. With --file, the first line names its revision, which "
     "`catalogue apply` uses.",
     "catalogue get --file catalogue.json"},
    {ctl_action::CatalogueValidate,
     "catalogue validate",
     "FILE",
     {},
     "Checks a catalogue against the schema and the capacity of the fleet; changes nothing.",
     "catalogue validate catalogue.json"},
    {ctl_action::CatalogueDiff,
     "catalogue diff",
     "FILE",
     {},
     "Shows how a catalogue differs from the one in force.",
     "catalogue diff catalogue.json"},
    {ctl_action::CatalogueApply,
     "catalogue apply",
     "FILE",
     {"revision", "wait"},
     "Puts a catalogue in force, if no one has changed the configuration since the revision "
     "that the file is based on.",
     "catalogue apply catalogue.json --wait"},
    {ctl_action::DomainOut,
     "failure-domain out",
     "NAME",
     {"revision", "wait"},
     "Takes a failure domain out of service. No task starts there once the change is in "
     "force; with --wait, prints in which cells it is not in force yet.",
     "failure-domain out Matane --wait=10"},
    {ctl_action::DomainIn,
     "failure-domain in",
     "NAME",
     {"revision", "wait"},
     "Brings a failure domain back into service.",
     "failure-domain in Matane --wait"},
    {ctl_action::WorkerList,
     "worker list",
     "",
     {"cell"},
     "Lists the workers with their state and resource use.",
     "worker list --cell region"},
    {ctl_action::WorkerDrain,
     "worker drain",
     "ID",
     {"revision", "wait"},
     "Drains a worker: it finishes its running tasks and receives no new ones.",
     "worker drain matane-2 --wait"},
    {ctl_action::WorkerUndrain,
     "worker undrain",
     "ID",
     {"revision", "wait"},
     "Returns a drained worker to service.",
     "worker undrain matane-2"},
    {ctl_action::BackendList,
     "backend list",
     "",
     {"cell"},
     "Lists the backend servers by worker, with their tasks and used resources.",
     "backend list"},
    {ctl_action::JobList,
     "job list",
     "",
     {"team", "limit"},
     "Lists the jobs of a team.",
     "job list --team routes --limit 20"},
    {ctl_action::JobShow,
     "job show",
     "TEAM/REQUEST-ID",
     {"wait"},
     "Shows a job; with --wait, waits for its outcome first.",
     "job show routes/2026-05-02-east --wait=60"},
    {ctl_action::JobCancel,
     "job cancel",
     "TEAM/REQUEST-ID",
     {},
     "Cancels a job.",
     "job cancel routes/2026-05-02-east"},
    {ctl_action::JobSubmit,
     "job submit",
     "",
     {"file", "wait"},
     "Submits a job from a JSON file. Submitting the same file again attaches to the same job.",
     "job submit --file east.json --wait=600"},
    {ctl_action::Explain,
     "explain",
     "TEAM/REQUEST-ID",
     {},
     "Explains why a job waits and what would let it start.",
     "explain routes/2026-05-02-east"},
    {ctl_action::Status,
     "status",
     "",
     {},
     "Shows the cells, their planners and whether the configuration is in force.",
     "status"},
    {ctl_action::ReportBurn,
     "report burn",
     "",
     {"html"},
     "Merges the service-level counts of all entries; needs the addresses of all entries.",
     "report burn --entry 10.0.0.1:8080,10.0.1.1:8080 --html burn.html"},
    {ctl_action::Completion,
     "completion",
     "",
     {},
     "Prints a completion script for bash.",
     "completion > ~/.local/share/bash-completion/completions/goldcrestctl"},
    {ctl_action::Check,
     "check",
     "FILE",
     {"against", "store", "workers", "shortest-run"},
     "Checks a configuration of graph jobs before it is sent, and shows how it differs from "
     "another one; calls no entry.",
     "check next.json --store 10.0.0.7:8524 --workers 61:8"},
};

constexpr ctl_option optionTable[] = {
    {"entry", "ADDRESSES", true,
     "host:port of the entries, separated by commas or given several times; default "
     "$GOLDCREST_ENTRIES, else 127.0.0.1:8080. The next one is tried if one does not answer."},
    {"token-file", "FILE", true, "file with the token; default $GOLDCREST_TOKEN"},
    {"output", "FORMAT", true, "text or json"},
    {"timeout", "SECONDS", true, "time limit of one call, default 5"},
    {"help", "", true, "show the help of the command"},
    {"file", "FILE", false, "file to read or write; - is standard input or output"},
    {"revision", "N", false, "change only if N is the current revision"},
    {"wait", "SECONDS", false, "wait for the end of the change or of the job, default 30"},
    {"cell", "NAME", false, "only this cell"},
    {"team", "NAME", false, "team whose jobs are listed"},
    {"limit", "N", false, "number of jobs, default 50"},
    {"html", "FILE", false, "write one self-contained HTML page"},
    {"against", "FILE", false, "show the differences from this configuration"},
    {"store", "ADDRESS", false,
     "show the differences from the configuration in force; host:port of the platform's store"},
    {"workers", "N:ACCELERATORS", false,
     "number of workers and the accelerators of each, to check the guarantees"},
    {"shortest-run", "QUEUE:MS", false,
     "shortest run time of the tasks of queues, separated by commas, to check the targets"},
};

// Returns an option as the help shows it, such as "--file FILE" or "--wait[=SECONDS]".
std::string optionText(const ctl_option &option)
{
    std::string text = "--";
    text += option.name;
    if (!option.value.empty())
        text.append(option.name == "wait" ? "[=" : " ")
            .append(option.value)
            .append(option.name == "wait" ? "]" : "");
    return text;
}

// Returns a command with its argument and its own options, without the global ones.
std::string usageOf(const ctl_command &command)
{
    std::string text(command.words);
    if (!command.argument.empty())
        text.append(" ").append(command.argument);
    for (const ctl_option &option : ctlOptions()) {
        if (!option.global && takesOption(command, option))
            text.append(" [").append(optionText(option)).append("]");
    }
    return text;
}

// Pads a help column to a width and adds the gap to the next column.
std::string padded(std::string text, std::size_t width)
{
    if (text.size() < width)
        text.append(width - text.size(), ' ');
    return text + "  ";
}

// Writes one line for each global option, or for each option that only `command` takes.
void writeOptions(std::ostream &out, bool global, const ctl_command *command)
{
    constexpr std::size_t width = 20;
    for (const ctl_option &option : ctlOptions()) {
        const bool own = command && !option.global && takesOption(*command, option);
        if ((global && option.global) || own)
            out << "  " << padded(optionText(option), width) << option.help << '\n';
    }
}

} // namespace

gsl::span<const ctl_command> ctlCommands()
{
    return commandTable;
}

gsl::span<const ctl_option> ctlOptions()
{
    return optionTable;
}

bool takesOption(const ctl_command &command, const ctl_option &option)
{
    const auto &own = command.options;
    return option.global || std::find(own.begin(), own.end(), option.name) != own.end();
}

const ctl_command *findCommand(const std::vector<std::string> &words)
{
    for (const std::size_t count : {std::size_t{2}, std::size_t{1}}) {
        if (words.size() < count)
            continue;
        const std::string joined = count == 2 ? words[0] + " " + words[1] : words[0];
        for (const ctl_command &command : ctlCommands()) {
            if (command.words == joined)
                return &command;
        }
    }
    return nullptr;
}

std::string overviewHelp()
{
    std::ostringstream out;
    out << "goldcrestctl - operate goldcrestloft through its entries\n\n"
           "Usage: goldcrestctl COMMAND [ARGUMENT] [OPTIONS]\n\nCommands:\n";
    constexpr std::size_t width = 30;
    for (const ctl_command &command : ctlCommands()) {
        std::string name(command.words);
        if (!command.argument.empty())
            name.append(" ").append(command.argument);
        out << "  " << padded(name, width)
            << command.help.substr(0, command.help.find_first_of(".;")) << '\n';
    }
    out << "\nOptions of all commands:\n";
    writeOptions(out, true, nullptr);
    out << "\nExit codes:\n";
    for (const exit_row &row : exitTable)
        out << "  " << static_cast<int>(row.exit) << "  " << row.meaning << '\n';
    out << "\n`goldcrestctl COMMAND --help` shows the options of a command with an example.\n";
    return out.str();
}

std::string commandHelp(const ctl_command &command)
{
    std::ostringstream out;
    out << "Usage: goldcrestctl " << usageOf(command) << "\n\n" << command.help << "\n\n";
    if (!command.options[0].empty()) {
        out << "Options:\n";
        writeOptions(out, false, &command);
        out << '\n';
    }
    out << "Options of all commands:\n";
    writeOptions(out, true, nullptr);
    out << "\nExample:\n  goldcrestctl " << command.example << '\n';
    return out.str();
}

std::string bashCompletion()
{
    std::ostringstream out;
    out << "_goldcrestctl() {\n  local words=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"\n  local "
           "found=\"\"\n"
           "  case \"$words\" in\n";
    for (const ctl_command &command : ctlCommands()) {
        out << "    \"" << command.words << "\"*) found=\"";
        for (const ctl_option &option : ctlOptions()) {
            if (takesOption(command, option))
                out << "--" << option.name << ' ';
        }
        out << "\" ;;\n";
    }
    std::vector<std::string> first;
    std::ostringstream second;
    for (const ctl_command &command : ctlCommands()) {
        const std::string word(command.words.substr(0, command.words.find(' ')));
        if (std::find(first.begin(), first.end(), word) != first.end())
            continue;
        first.push_back(word);
        if (word.size() == command.words.size())
            continue;
        second << "    \"" << word << "\") found=\"";
        for (const ctl_command &other : ctlCommands()) {
            if (other.words.rfind(word + " ", 0) == 0)
                second << other.words.substr(word.size() + 1) << ' ';
        }
        second << "\" ;;\n";
    }
    out << second.str() << "    \"\") found=\"";
    for (const std::string &word : first)
        out << word << ' ';
    out << "\" ;;\n  esac\n  COMPREPLY=($(compgen -W \"$found\" -- "
           "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
           "  [ \"${#COMPREPLY[@]}\" -gt 0 ] || COMPREPLY=($(compgen -f -- "
           "\"${COMP_WORDS[COMP_CWORD]}\"))\n}\ncomplete -F _goldcrestctl goldcrestctl\n";
    return out.str();
}

std::string_view adviceFor(code number)
{
    switch (number) {
    case code::RevisionConflict:
        return "Someone changed the configuration. Compare with `goldcrestctl catalogue diff "
               "FILE`, merge their changes, and apply with --revision set to the current "
               "revision.";
    case code::RevisionRequired:
        return "Write the file with `goldcrestctl catalogue get --file FILE`, or give --revision; "
               "use 0 for the first catalogue.";
    case code::Unauthorized:
        return "Set GOLDCREST_TOKEN or give --token-file.";
    case code::StoreUnavailable:
    case code::StoreOverBudget:
        return "The platform's store is unavailable or over its request budget; nothing was "
               "changed. Try again later.";
    case code::StoreAmbiguous:
        return "The change may have been stored. Check with `goldcrestctl status` or `goldcrestctl "
               "catalogue diff FILE` before repeating it.";
    case code::OutcomeUnknown:
        return "The request may have taken effect. Check the state before repeating it.";
    case code::LinkClosed:
        return "Check --entry or GOLDCREST_ENTRIES, and that the entries are running.";
    case code::UnknownRequest:
        return "List the team's jobs with `goldcrestctl job list --team TEAM`.";
    case code::UnknownFailureDomain:
    case code::UnknownWorker:
        return "List the workers and their failure domains with `goldcrestctl worker list`.";
    case code::GuaranteesDoNotFit:
        return "Lower the guarantees or bring workers into service; `goldcrestctl worker list` "
               "shows them.";
    case code::QueueFull:
    case code::TeamLimit:
    case code::TooManyRequests:
    case code::TooManyConnections:
    case code::MemoryLimit:
        return "The request was not run. Repeat it when the load has dropped.";
    case code::PlannerUnreachable:
        return "The cell currently has no planner. `goldcrestctl status` shows the cells.";
    default:
        return {};
    }
}

std::string ctlMarkdown()
{
    std::ostringstream out;
    out << "# goldcrestctl\n\nThis page is generated from the table in "
           "`goldcrest/ctl_table.cc`.\n\n## Commands\n\n| command | meaning | example "
           "|\n|---|---|---|\n";
    for (const ctl_command &command : ctlCommands())
        out << "| `" << usageOf(command) << "` | " << command.help << " | `goldcrestctl "
            << command.example << "` |\n";
    out << "\n## Options\n\n| option | of | meaning |\n|---|---|---|\n";
    for (const ctl_option &option : ctlOptions())
        out << "| `" << optionText(option) << "` | " << (option.global ? "all" : "some") << " | "
            << option.help << " |\n";
    out << "\n## Exit codes\n\n| code | meaning |\n|---|---|\n";
    for (const exit_row &row : exitTable)
        out << "| " << static_cast<int>(row.exit) << " | " << row.meaning << " |\n";
    out << findingsMarkdown();
    return out.str();
}

} // namespace goldcrest
