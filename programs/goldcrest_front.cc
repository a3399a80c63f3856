// goldcrest-front: the daemon that receives the requests of callers on the users' platform.
//
//   goldcrest-front --settings front.json
//   goldcrest-front --settings front.json --check-settings

#include "goldcrest/daemon_program.h"
#include "platform/front_daemon.h"

int main(int argc, char **argv)
{
    using namespace goldcrest::platform;
    return goldcrest::runDaemonProgram<front_daemon, daemon_options>(
        {"goldcrest-front", "Front for callers on the users' platform"}, loadFrontSettings, argc,
        argv);
}
