#pragma once

// HTTP/JSON server of a store_model in the form of etcd version 3, with injected faults.
//
//   store_server server(loop);
//   result<done> started = server.listen("127.0.0.1:7400");
//
// POST /standin/faults {"down":bool,"delayMs":n,"loseAnswers":n,"refuseWrites":bool} sets the
// fields that are given; GET /standin/counts gives the calls by kind since the start.

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

    result<done> listen(std::string_view address);

    // Address that was bound, with the real port if 0 was asked for.
    std::string address() const;

    store_model &model();
    store_faults &faults();
    const store_counts &counts() const;

    // Ends all watches, as a restart of the service does.
    void breakWatches();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
