// goldcrest-entry: the process that serves the HTTP API for callers and operators.
//
//   goldcrest-entry --settings entry.json
//   goldcrest-entry --settings entry.json --check-settings

#include "goldcrest/daemon_program.h"
#include "goldcrest/entry_daemon.h"

int main(int argc, char **argv)
{
    using namespace goldcrest;
    return runDaemonProgram<entry_daemon, entry_daemon_options>(
        {"goldcrest-entry", "Entry process: HTTP API for callers and operators"}, loadEntrySettings,
        argc, argv);
}
