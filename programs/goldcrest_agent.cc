// goldcrest-agent: the process beside a backend server. It is also the planner of its cell while it
// is elected.
//
//   goldcrest-agent --settings agent.json
//   goldcrest-agent --settings agent.json --check-settings

#include "goldcrest/agent_daemon.h"
#include "goldcrest/daemon_program.h"

int main(int argc, char **argv)
{
    using namespace goldcrest;
    return runDaemonProgram<agent_daemon, agent_daemon_options>(
        {"goldcrest-agent", "Agent process beside a backend server"}, loadAgentSettings, argc,
        argv);
}
