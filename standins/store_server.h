#pragma once

// HTTP server that exposes a store_model through the JSON API of etcd version 3, with fault
// injection.
//
//   store_server server(loop);
//   result<done> started = server.listen("127.0.0.1:7400");
//
// Test control: POST /standin/faults
// {"down":bool,"delayMs":n,"loseAnswers":n,"refuseWrites":bool,"closeAtJobMs":n} sets the fields
// that are present; GET /standin/counts returns the number of calls by kind.
//
// closeAtJobMs: the next transaction that creates a job record takes effect and gets no response.
// The server closes its listener and all connections for that time, like a service that restarts
// with its contents.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/http_server.h"
#include "standins/store_model.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

class store_server
{
public:
    explicit store_server(asio_event_loop &loop);
    ~store_server();
    store_server(const store_server &) = delete;
    store_server &operator=(const store_server &) = delete;

    // Starts the server on host:port. Errors: SettingsInvalid if the address can't be bound.
    result<done> listen(std::string_view address);

    // Returns the bound address, with the actual port if port 0 was requested; empty before
    // listen().
    std::string address() const;

    store_model &model();
    store_faults &faults();
    const store_counts &counts() const;

    // Ends all watches like a restart of the service does.
    void breakWatches();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
