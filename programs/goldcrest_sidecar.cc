// goldcrest-sidecar: the daemon beside each backend server of the users' platform.
//
//   goldcrest-sidecar --settings sidecar.json
//   goldcrest-sidecar --settings sidecar.json --check-settings

#include "goldcrest/daemon_program.h"
#include "platform/sidecar_daemon.h"

int main(int argc, char **argv)
{
    using namespace goldcrest::platform;
    return goldcrest::runDaemonProgram<sidecar_daemon, daemon_options>(
        {"goldcrest-sidecar", "Agent and planner beside a backend server of the users' platform"},
        loadSidecarSettings, argc, argv);
}
