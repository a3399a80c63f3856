#pragma once

// Routes of the entry's HTTP API for callers and operators. Each operation answers with JSON,
// except the Prometheus metrics; docs/design.md lists the operations.
//
//   entry_http api(core, publisher, tracker, view, pages, options);
//   makeHttpServer(loop, address, limits, [&](const server_request &request,
//                                             std::shared_ptr<responder> respond) {
//       api.handle(request, std::move(respond));
//   });
//
// An error response has the body {"error": {"code", "name", "field", "reason"}, "notRun"}. `notRun`
// is true if this request started nothing and never will.

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

// Operations that entry_daemon implements, because they need more than jobs and configuration.
class entry_pages
{
public:
    virtual ~entry_pages() = default;

    // Calls back with the status of the entry and its cells as JSON.
    virtual void status(std::function<void(std::string json)> callback) = 0;

    // Returns the error budget burn of the service objectives as JSON.
    virtual std::string burnReport() = 0;

    // Returns the metrics in the Prometheus text format.
    virtual std::string metrics() = 0;

    // Sets which links drop their messages, for fault-injection tests.
    // Errors: NotFound if fault injection is not allowed; InvalidValue if a block can't be parsed.
    virtual result<done> setLinkBlocks(const std::vector<std::string> &blocks) = 0;
};

struct entry_http_options
{
    std::string token; // empty: no authentication
    duration maxWait = 60s; // upper bound of the waitMs parameter
    std::size_t maxListed = 1000; // upper bound of the jobs in one list response
};

class entry_http
{
public:
    entry_http(entry_core &core, config_publisher &publisher, const config_tracker &tracker,
               const config_view &view, entry_pages &pages, entry_http_options options);
    ~entry_http();
    entry_http(const entry_http &) = delete;
    entry_http &operator=(const entry_http &) = delete;

    // Authenticates and routes one request. The response may be sent after this function returns.
    void handle(const server_request &request, const std::shared_ptr<responder> &respond);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// Return the JSON bodies of an error response and of a job.
std::string formatError(const failure &error, bool notRun);
std::string formatJob(const job_view &view);

// Return the names used in the HTTP API, such as "running" and "not run".
std::string_view nameOf(job_phase phase);
std::string_view nameOf(job_outcome outcome);

} // namespace goldcrest
