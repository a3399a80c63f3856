#pragma once

// Backend server of the soak. By random choices and on request, it does whatever PROTOCOL.md of the
// users' pages allows a backend server to do.
//
//   soak_surroundings around{loop, client, judge, random};
//   auto server = makeSoakBackend(around, options);
//   server->begin(false);
//   server->hang(3s);
//   server->settle(); // from now on a sound server

#include "goldcrest/http_client.h"
#include "testing/soak_judge_support.h"
#include "testing/soak_network_support.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace goldcrest {

struct soak_backend_options
{
    std::string name; // also of its sidecar
    std::string failureDomain;
    resources capacity;
    std::vector<std::string> labels;
    int port = 0; // of the server; that of the sidecar's control address follows
};

enum class server_fault {
    Crash, // ends without a word, all runs end with it; a lifetime begins after the time
    Hang, // calls wait, and are then carried out in any order
    Drain, // leaves seconds later and comes back under another id
    Shrink, // has half of its capacity
    OddCheckIn, // another writer sends a check-in
    LateCheckIns, // arrive out of order, and after the end of their lifetime
    LateCalls, // get no response, and may be carried out seconds later
    Refusal, // after an order: closes the connections and refuses new ones for a time
    Suspend, // stops, its clock too
};

class soak_backend
{
public:
    virtual ~soak_backend() = default;

    virtual const std::string &name() const = 0;
    // Begins the first lifetime.
    virtual void begin() = 0;
    virtual void inject(server_fault kind, duration time) = 0;
    // Ends the faults; from now on the server is sound.
    virtual void settle() = 0;
    // Ends the runs whose lease has ended.
    virtual void expire() = 0;
    // Lets a member of a gang begin its work, or end. Does nothing if the run isn't there.
    virtual void beginWork(const std::string &task, std::int32_t run) = 0;
    virtual void endRun(const std::string &task, std::int32_t run, const std::string &how) = 0;
};

// What all backend servers of a run share.
struct soak_surroundings
{
    asio_event_loop &loop;
    http_client &client;
    soak_judge &judge;
    soak_random &random;
    bool isGuarding = false; // servers refuse what does not fit
    std::function<void(const std::string &text)> note;
    std::function<bool(const std::string &server)> isInTouch; // its sidecar
    std::vector<std::unique_ptr<soak_backend>> servers;
    // Present members of each run of a gang that has not ended: server and task.
    std::map<std::string, std::vector<std::pair<soak_backend *, std::string>>> gangs;
};

std::unique_ptr<soak_backend> makeSoakBackend(soak_surroundings &around,
                                              soak_backend_options options);

} // namespace goldcrest
