#pragma once

// Routes of the entry's HTTP interface. docs/design.md names the operations; each answers JSON.
//
//   entry_http api(core, publisher, tracker, view, pages, options);
//   makeHttpServer(loop, address, limits, [&](const server_request &request,
//                                             std::shared_ptr<responder> respond) {
//       api.handle(request, std::move(respond));
//   });
//
// An error is {"error": {"code", "name", "field", "reason"}, "notRun"}; notRun is true if this
// request started nothing and never will.

#include "goldcrest/catalogue.h"
#include "goldcrest/config_publisher.h"
#include "goldcrest/config_view.h"
#include "goldcrest/entry_core.h"
#include "goldcrest/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Pages whose content comes from other parts of the daemon.
class entry_pages
{
public:
    virtual ~entry_pages() = default;

    virtual void status(std::function<void(std::string json)> callback) = 0;
    virtual std::string burnReport() = 0; // JSON
    virtual std::string metrics() = 0; // Prometheus text

    // Sets the dropped links of a fault-injection test.
    // Errors: NotFound if fault injection is not allowed, InvalidValue.
    virtual result<done> setLinkBlocks(const std::vector<std::string> &blocks) = 0;
};

struct entry_http_options
{
    std::string token; // empty: no authentication
    duration maxWait = 60s; // bound of waitMs
    std::size_t maxListed = 1000; // jobs in one answer
};

class entry_http
{
public:
    entry_http(entry_core &core, config_publisher &publisher, const config_tracker &tracker,
               const config_view &view, entry_pages &pages, entry_http_options options);
    ~entry_http();
    entry_http(const entry_http &) = delete;
    entry_http &operator=(const entry_http &) = delete;

    void handle(const server_request &request, const std::shared_ptr<responder> &respond);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// JSON of a failure and of a job, as callers get them.
std::string formatError(const failure &error, bool notRun);
std::string formatJob(const job_view &view);

// Returns the names that callers see, such as "running" and "not run".
std::string_view nameOf(job_phase phase);
std::string_view nameOf(job_outcome outcome);

} // namespace goldcrest
